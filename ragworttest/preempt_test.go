package ragworttest_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// An answer of a lower tier that is preempted goes on, and its caller gets it
// whole.
func TestPreemptedAnswerIsWhole(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(strings.Replace(ragworttest.ExampleRules(t, "hingeworks.rules"), "concurrency=16 initial=2", "concurrency=2 initial=2", 1))
	key, _ := f.GiveKey("bangkok-forge")
	cfg := standin.DefaultEngineConfig()
	cfg.TokenGap = 100 * time.Millisecond
	g, url := f.StartEngine(cfg)
	g.MakeWarm()
	side := f.StartSidecar("s1", "th-a", url, "--models=temper-70b")
	e := f.StartEntry("e1", "th-a")
	side.WaitReady(t)
	e.WaitReady(t)
	requireWhole(t, ask(t, e, key, "first", streamed), "first")
	var wg sync.WaitGroup
	for i := range 2 {
		content := fmt.Sprint("foreman ", i)
		rs := send(t, e, key, content, streamed)
		wg.Go(func() {
			defer rs.Body.Close()
			requireWhole(t, listen(t, rs), content)
		})
	}
	rs := sendAs(t, e, key, "counter", "counter", streamed)
	requireWhole(t, listen(t, rs), "counter")
	rs.Body.Close()
	wg.Wait()
	require.Positive(t, counter(t, side, "preempted_silver"))
	require.Positive(t, counter(t, e, "retried_preempted"))
}

// An engine at a quarter of its speed goes on working.
func TestSlowEngineGoesOn(t *testing.T) {
	e, side, g, key := single(t, standin.DefaultEngineConfig())
	g.MakeWarm()
	crowd(t, e, key, 12, 2)
	g.SetFaults(standin.EngineFaults{SlowFactor: 4})
	crowd(t, e, key, 12, 1)
	require.Zero(t, counter(t, side, "upstream_lost"))
	require.Zero(t, g.Stats().Crashes)
}
