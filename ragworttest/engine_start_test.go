package ragworttest_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// newSingleEngineFleet starts an entry and one sidecar with a cold engine.
func newSingleEngineFleet(t *testing.T, cfg standin.EngineConfig) (e, sidecar *ragworttest.Process, g *standin.Engine, key string) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ = f.GiveKey("bangkok-forge")
	g, url := f.StartEngine(cfg)
	sidecar = f.StartSidecar("s1", "th-a", url, "--models=temper-70b")
	e = f.StartEntry("e1", "th-a")
	sidecar.WaitReady(t)
	e.WaitReady(t)
	return e, sidecar, g, key
}

// runCallers runs concurrent callers that send chats one after another, and returns when each
// has received its number of answers, all complete.
func runCallers(t *testing.T, e *ragworttest.Process, key string, callers, answers int) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for j := range answers {
				content := fmt.Sprintf("caller %d asks %d", i, j)
				rs := sendChat(t, e, key, content, streamOptions)
				requireComplete(t, readAnswer(t, rs), content)
				rs.Body.Close()
			}
		})
	}
	wg.Wait()
}

// TestColdEngineUnderFullLoad guards against a crash of a cold engine, which runs 4 answers at
// full speed and crashes under more than 10: the limit of concurrent requests must start low
// and grow.
func TestColdEngineUnderFullLoad(t *testing.T) {
	e, sidecar, g, key := newSingleEngineFleet(t, standin.DefaultEngineConfig())
	runCallers(t, e, key, 24, 6)
	stats := g.Stats()
	require.Zero(t, stats.Crashes)
	require.Greater(t, stats.MaxBatch, 4, "the concurrency limit has not grown")
	require.Zero(t, counterValue(t, sidecar, "upstream_lost"))
}

// TestCrashedEngineRecovers guards against full load on an engine that has restarted after a
// crash: it must count as a new incarnation, which starts cold.
func TestCrashedEngineRecovers(t *testing.T) {
	cfg := standin.DefaultEngineConfig()
	cfg.RestartDuration = time.Second
	e, sidecar, g, key := newSingleEngineFleet(t, cfg)
	runCallers(t, e, key, 4, 1)
	g.Crash(time.Now())
	ragworttest.Eventually(t, func() bool { return counterValue(t, sidecar, "upstream_restarted") == 1 }, "the sidecar sees a new incarnation of the engine")
	runCallers(t, e, key, 24, 2)
	require.EqualValues(t, 1, g.Stats().Crashes, "the engine has crashed again")
}
