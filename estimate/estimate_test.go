package estimate_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/estimate"
	"github.com/ragwortpass/ragwortpass/id"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
)

// TestPredict checks predictions from no answers, from the answers of the class, and
// from those of the workspace.
func TestPredict(t *testing.T) {
	p := estimate.New()
	require.EqualValues(t, 256, p.Predict("clerk", "nan"), "no answers observed")
	for range 100 {
		p.Observe("clerk", "korat", 1000)
	}
	require.InEpsilon(t, 1000, int64(p.Predict("clerk", "nan")), 0.1, "prediction of the class")
	require.EqualValues(t, 256, p.Predict("counter", "korat"), "no answers of this class observed")
	for range 100 {
		p.Observe("clerk", "nan", 20)
	}
	require.InEpsilon(t, 20, int64(p.Predict("clerk", "nan")), 0.1, "prediction of the workspace")
	p.Retain(func(ws id.Workspace) bool { return ws != "nan" })
	require.NotEqualValues(t, 20, p.Predict("clerk", "nan"), "a removed workspace must have no prediction of its own")
}

// TestPredictionFollowsChange checks that predictions follow a change of length within
// two full histograms.
func TestPredictionFollowsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := rapid.Int64Range(1, 60000).Draw(t, "from"), rapid.Int64Range(1, 60000).Draw(t, "to")
		p := estimate.New()
		for range rapid.IntRange(0, 700).Draw(t, "before") {
			p.Observe("clerk", "nan", id.Tokens(from))
		}
		for range 512 {
			p.Observe("clerk", "nan", id.Tokens(to))
		}
		require.InEpsilon(t, to, int64(p.Predict("clerk", "nan")), 0.1)
	})
}

// TestMemoryUse fills both histograms of 2,100 workspaces in one class and checks their
// heap use.
func TestMemoryUse(t *testing.T) {
	p := estimate.New()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for ws := range 2100 {
		for range 257 {
			p.Observe("clerk", id.Workspace(fmt.Sprint(ws)), 500)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(p)
	used := (after.HeapAlloc - before.HeapAlloc) >> 20
	t.Logf("heap use: %d MB", used)
	require.LessOrEqual(t, used, uint64(16), "four classes of this size must fit in a quarter of the 256 MB of a process")
}

func BenchmarkPredict(b *testing.B) {
	p := estimate.New()
	names := make([]id.Workspace, 2100)
	for i := range names {
		names[i] = id.Workspace(fmt.Sprint("ws-", i))
		for range 20 {
			p.Observe("clerk", names[i], 300)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Predict("clerk", names[i%len(names)])
	}
}
