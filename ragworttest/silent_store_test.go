package ragworttest_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// TestWithdrawnKeyServesWhileStoreIsSilent guards against a configuration that is not in force in
// time at gateways whose reads of the store all hear nothing, while new ones would.
func TestWithdrawnKeyServesWhileStoreIsSilent(t *testing.T) {
	const phases = 6 // of the reads, which have waited differently long when the store falls silent
	causes := map[string]func(*ragworttest.Proxy, *standin.Store){
		"silent connections":   func(link *ragworttest.Proxy, _ *standin.Store) { link.SilenceConnections() },
		"reads that hear late": func(_ *ragworttest.Proxy, s *standin.Store) { s.SetFaults(standin.StoreFaults{DeafReads: true}) },
	}
	for cause, silence := range causes {
		for _, tc := range []struct{ gateways, phases int }{{1, phases}, {4, phases / 2}, {9, phases / 3}} {
			for phase := range tc.phases {
				t.Run(fmt.Sprintf("%s, %d gateways, phase %d", cause, tc.gateways, phase), func(t *testing.T) {
					t.Parallel()
					testSilentStore(t, tc.gateways, time.Duration(phase)*2*time.Second/time.Duration(tc.phases), silence)
				})
			}
		}
	}
}

// drainBound is the time from the end of a listing until its upstream must get no more requests.
const drainBound = 2 * time.Second

// testSilentStore has the store fall silent after a time, changes a key and ends a listing, and requires that
// each gateway obeys within the bounds.
func testSilentStore(t *testing.T, gateways int, after time.Duration, silence func(*ragworttest.Proxy, *standin.Store)) {
	f := newRelayFleet(t, 0)
	link := ragworttest.NewProxy(t, f.storeAddress)
	f.storeAddress = link.Address()
	f.addNodes(gateways)
	time.Sleep(after)
	silence(link, f.store)
	f.putCatalog("key-1", "key-3")
	f.store.DeleteListing("i-2")
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
	time.Sleep(time.Until(changed.Add(drainBound)))
	runs := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.byUpstream["i-2"]
	}
	before := runs()
	for range 20 {
		for _, r := range f.nodes {
			f.statusFor(r, "key-1")
		}
	}
	assert.Equal(t, before, runs(), "an upstream whose listing has ended gets requests")
}

// TestNewKeyIsRefusedForGoodByAnOldConfiguration guards against a gateway that cannot read the store and
// refuses, with a status that callers do not retry, what a configuration allows that is due to be in force.
func TestNewKeyIsRefusedForGoodByAnOldConfiguration(t *testing.T) {
	f := newRelayFleet(t, 0)
	link := ragworttest.NewProxy(t, f.storeAddress)
	f.storeAddress = link.Address()
	f.addNodes(1)
	link.BlockDirection("upstream")
	link.BlockDirection("downstream")
	f.putCatalog("key-1", "key-3")
	published := time.Now()
	bound := time.Duration(f.settings(f.nodes[0]).Bounds.ConfigMS) * time.Millisecond
	for time.Since(published) < 3*bound {
		sent := time.Now()
		if status := f.statusFor(f.nodes[0], "key-3"); sent.Sub(published) > bound {
			require.Equal(t, http.StatusServiceUnavailable, status, "%v after the publication", sent.Sub(published))
		}
		time.Sleep(20 * time.Millisecond)
	}
	link.RemoveFaults()
	ragworttest.Eventually(t, func() bool { return f.statusFor(f.nodes[0], "key-3") == http.StatusOK }, "the new key is in force")
}
