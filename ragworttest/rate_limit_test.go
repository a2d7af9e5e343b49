package ragworttest_test

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// TestEngineBehindEntriesGetsMoreThanItsLimit guards against two entries and a sidecar that together exceed the
// limit that their engine names, or that keep it when it has ended.
func TestEngineBehindEntriesGetsMoreThanItsLimit(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ := f.GiveKey("bangkok-forge")
	engine, url := f.StartEngine(standin.DefaultEngineConfig())
	engine.MakeWarm()
	sidecar := f.StartSidecar("s1", "th-a", url, "--models=temper-70b")
	entries := []*ragworttest.Process{f.StartEntry("e1", "th-a"), f.StartEntry("e2", "th-b")}
	sidecar.WaitReady(t)
	for _, e := range entries {
		e.WaitReady(t)
	}
	engine.SetFaults(standin.EngineFaults{RateLimit: "2"})
	var calls sync.WaitGroup
	var served atomic.Int64
	load := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, e := range entries {
				calls.Go(func() {
					rs := sendChat(t, e, key, "a hinge", "")
					defer rs.Body.Close()
					if _, err := io.Copy(io.Discard, rs.Body); err == nil && rs.StatusCode == http.StatusOK {
						served.Add(1)
					}
				})
			}
		}
	}
	began := time.Now()
	load(8 * time.Second)
	var arrivals ragworttest.Arrivals
	for _, run := range engine.Runs() {
		arrivals.Add(run.Began)
	}
	const allowed = 1.5*2*4 + 5
	require.LessOrEqual(t, arrivals.Most(began.Add(time.Second), 4*time.Second), int(allowed))
	require.GreaterOrEqual(t, arrivals.Between(began.Add(time.Second), time.Now()), 7, "the engine gets most of its limit")
	engine.SetFaults(standin.EngineFaults{})
	before := served.Load()
	ragworttest.Eventually(t, func() bool {
		load(100 * time.Millisecond)
		return served.Load() > before+40
	}, "the engine serves as before")
	calls.Wait()
}
