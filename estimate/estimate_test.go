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

// TestExpect observes answers of one length and asks for an estimate.
func TestExpect(t *testing.T) {
	l := estimate.New()
	require.EqualValues(t, 256, l.Predict("clerk", "nan"), "nothing seen")
	for range 100 {
		l.Observe("clerk", "korat", 1000)
	}
	require.InEpsilon(t, 1000, int64(l.Predict("clerk", "nan")), 0.1, "by its class")
	require.EqualValues(t, 256, l.Predict("counter", "korat"), "another class")
	for range 100 {
		l.Observe("clerk", "nan", 20)
	}
	require.InEpsilon(t, 20, int64(l.Predict("clerk", "nan")), 0.1, "by its own")
	l.Retain(func(ws id.Workspace) bool { return ws != "nan" })
	require.NotEqualValues(t, 20, l.Predict("clerk", "nan"), "forgotten")
}

// TestChange checks that a change of length is followed within two fillings.
func TestChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := rapid.Int64Range(1, 60000).Draw(t, "from"), rapid.Int64Range(1, 60000).Draw(t, "to")
		l := estimate.New()
		for range rapid.IntRange(0, 700).Draw(t, "before") {
			l.Observe("clerk", "nan", id.Tokens(from))
		}
		for range 512 {
			l.Observe("clerk", "nan", id.Tokens(to))
		}
		require.InEpsilon(t, to, int64(l.Predict("clerk", "nan")), 0.1)
	})
}

// TestMemory fills every histogram of 2,100 workspaces in one of four classes.
func TestMemory(t *testing.T) {
	l := estimate.New()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for ws := range 2100 {
		for range 257 {
			l.Observe("clerk", id.Workspace(fmt.Sprint(ws)), 500)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(l)
	used := (after.HeapAlloc - before.HeapAlloc) >> 20
	t.Logf("%d MB", used)
	require.LessOrEqual(t, used, uint64(16), "four of these: a quarter of a daemon's 256 MB")
}

func BenchmarkExpect(b *testing.B) {
	l := estimate.New()
	names := make([]id.Workspace, 2100)
	for i := range names {
		names[i] = id.Workspace(fmt.Sprint("ws-", i))
		for range 20 {
			l.Observe("clerk", names[i], 300)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Predict("clerk", names[i%len(names)])
	}
}
