package ragworttest_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/ragwortpass/ragwortpass/ragworttest"
)

// TestWithdrawnKeyServesWhileStoreIsSilent guards against a configuration that is not in force in
// time at gateways whose connections to the store have all fallen silent, while new ones work.
func TestWithdrawnKeyServesWhileStoreIsSilent(t *testing.T) {
	const phases = 6 // of the reads, which are differently far when the connections fall silent
	for name, tc := range map[string]struct{ gateways, phases int }{"one gateway": {1, phases}, "four gateways": {4, phases / 2}} {
		t.Run(name, func(t *testing.T) {
			for phase := range tc.phases {
				t.Run("", func(t *testing.T) {
					t.Parallel()
					testSilentStore(t, tc.gateways, time.Duration(phase)*2*time.Second/time.Duration(tc.phases))
				})
			}
		})
	}
}

// testSilentStore silences the connections of all gateways to the store after a time, changes a key,
// and requires that the change is in force at each within the bound of the settings.
func testSilentStore(t *testing.T, gateways int, after time.Duration) {
	f := newRelayFleet(t, 0)
	link := ragworttest.NewProxy(t, f.storeAddress)
	f.storeAddress = link.Address()
	f.addNodes(gateways)
	time.Sleep(after)
	link.SilenceConnections()
	f.putCatalog("key-1", "key-3")
	changed := time.Now()
	bound := time.Duration(f.settings(f.nodes[0]).Bounds.ConfigMS) * time.Millisecond
	var checks sync.WaitGroup
	for _, r := range f.nodes {
		checks.Go(func() {
			for _, key := range []struct {
				name   string
				status int
			}{{"key-2", http.StatusUnauthorized}, {"key-3", http.StatusOK}} {
				status := 0
				for status != key.status && time.Since(changed) < 3*bound {
					time.Sleep(10 * time.Millisecond)
					status = f.statusOf(r, http.MethodGet, "/look/x", key.name, newRequestID())
				}
				took := time.Since(changed).Round(time.Millisecond)
				t.Logf("%s: %s gets %d after %v", r.name, key.name, status, took)
				assert.Equal(t, key.status, status, "%s: %s", r.name, key.name)
				assert.LessOrEqual(t, took, bound, "%s: %s", r.name, key.name)
			}
		})
	}
	checks.Wait()
}
