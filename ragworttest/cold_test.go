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

// single starts an entry before one sidecar with an engine.
func single(t *testing.T, cfg standin.EngineConfig) (e, side *ragworttest.Process, g *standin.Engine, key string) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ = f.GiveKey("bangkok-forge")
	g, url := f.StartEngine(cfg)
	side = f.StartSidecar("s1", "th-a", url, "--models=temper-70b")
	e = f.StartEntry("e1", "th-a")
	side.WaitReady(t)
	e.WaitReady(t)
	return e, side, g, key
}

// crowd keeps the given number of callers asking, and returns when each has had
// its answers, every one whole.
func crowd(t *testing.T, e *ragworttest.Process, key string, callers, answers int) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			for j := range answers {
				content := fmt.Sprintf("caller %d asks %d", i, j)
				rs := send(t, e, key, content, streamed)
				requireWhole(t, listen(t, rs), content)
				rs.Body.Close()
			}
		})
	}
	wg.Wait()
}

// A cold engine bears 4 answers and falls over at more than 10.
func TestColdEngineUnderFullLoad(t *testing.T) {
	e, side, g, key := single(t, standin.DefaultEngineConfig())
	crowd(t, e, key, 24, 6)
	seen := g.Stats()
	require.Zero(t, seen.Crashes)
	require.Greater(t, seen.MaxBatch, 4, "the limit has grown")
	require.Zero(t, counter(t, side, "upstream_lost"))
}

// An engine that crashed comes back as a new incarnation, which starts slowly.
func TestCrashedEngineComesBack(t *testing.T) {
	cfg := standin.DefaultEngineConfig()
	cfg.RestartDuration = time.Second
	e, side, g, key := single(t, cfg)
	crowd(t, e, key, 4, 1)
	g.Crash(time.Now())
	ragworttest.Eventually(t, func() bool { return counter(t, side, "upstream_restarted") == 1 }, "the engine is a new incarnation")
	crowd(t, e, key, 24, 2)
	require.EqualValues(t, 1, g.Stats().Crashes, "only the crash itself")
}
