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

// TestPreemptedAnswerIsComplete guards against a truncated answer to a request of a lower tier
// that is preempted by one of a higher tier: it must continue elsewhere or later.
func TestPreemptedAnswerIsComplete(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(strings.Replace(ragworttest.ExampleRules(t, "hingeworks.rules"), "concurrency=16 initial=2", "concurrency=2 initial=2", 1))
	key, _ := f.GiveKey("bangkok-forge")
	cfg := standin.DefaultEngineConfig()
	cfg.TokenGap = 100 * time.Millisecond
	g, url := f.StartEngine(cfg)
	g.MakeWarm()
	sidecar := f.StartSidecar("s1", "th-a", url, "--models=temper-70b")
	e := f.StartEntry("e1", "th-a")
	sidecar.WaitReady(t)
	e.WaitReady(t)
	requireComplete(t, completeChat(t, e, key, "first", streamOptions), "first")
	var wg sync.WaitGroup
	for i := range 2 {
		content := fmt.Sprint("foreman ", i)
		rs := sendChat(t, e, key, content, streamOptions)
		wg.Go(func() {
			defer rs.Body.Close()
			requireComplete(t, readAnswer(t, rs), content)
		})
	}
	rs := sendChatAs(t, e, key, "counter", "counter", streamOptions)
	requireComplete(t, readAnswer(t, rs), "counter")
	rs.Body.Close()
	wg.Wait()
	require.Positive(t, counterValue(t, sidecar, "preempted_silver"))
	require.Positive(t, counterValue(t, e, "retried_preempted"))
}

// TestSlowEngineIsNotLost guards against an engine that is taken out of service only because
// it has slowed down to a quarter of its speed.
func TestSlowEngineIsNotLost(t *testing.T) {
	e, sidecar, g, key := newSingleEngineFleet(t, standin.DefaultEngineConfig())
	g.MakeWarm()
	runCallers(t, e, key, 12, 2)
	g.SetFaults(standin.EngineFaults{SlowFactor: 4})
	runCallers(t, e, key, 12, 1)
	require.Zero(t, counterValue(t, sidecar, "upstream_lost"))
	require.Zero(t, g.Stats().Crashes)
}
