package bench_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/bench"
	"github.com/ragwortpass/ragwortpass/emulator"
)

// readShortSite returns an example site with a load of three seconds.
func readShortSite(t *testing.T) *emulator.Site {
	text, err := os.ReadFile("../examples/small.site.json")
	require.NoError(t, err)
	s, err := emulator.ReadSite(bytes.NewReader(text))
	require.NoError(t, err)
	s.Warmup.Duration, s.Length.Duration = time.Second, 3*time.Second
	return s
}

// TestEmulationSumsSeeds: the figures of the seeds do not depend on how many are played at once.
func TestEmulationSumsSeeds(t *testing.T) {
	t.Parallel()
	site := readShortSite(t)
	site.Engine.Slots, site.Engine.Queue = 6, 3 // too few, so that not all calls are served
	one := bench.Emulation{Site: site, Seeds: 3, Parallel: 1, Factor: 1}
	three := bench.Emulation{Site: site, Seeds: 3, Parallel: 3, Factor: 1}
	a, err := one.Run(t.Context())
	require.NoError(t, err)
	b, err := three.Run(t.Context())
	require.NoError(t, err)
	require.Equal(t, a.Kinds, b.Kinds)
	require.Equal(t, a.Series, b.Series)
	calls, inSeries := 0, 0.0
	for _, k := range a.Kinds {
		require.InDelta(t, 1, k.InTime+k.Late+k.Refused+k.Failed, 1e-9, k.Name)
		calls += k.Calls
	}
	for _, s := range a.Series {
		inSeries += s.InTime + s.Late + s.Refused + s.Failed
	}
	require.InDelta(t, float64(calls), 3*inSeries, 1e-6)
	require.NotEqual(t, a.Runs[0].Worth, a.Runs[1].Worth)
}

// TestEmulationFactorMultipliesLoad leaves the site itself as it was.
func TestEmulationFactorMultipliesLoad(t *testing.T) {
	t.Parallel()
	e := bench.Emulation{Site: readShortSite(t), Seeds: 1, Parallel: 1, Factor: 0.5}
	rate := e.Site.Kinds[0].PerSecond
	r, err := e.Run(t.Context())
	require.NoError(t, err)
	require.InDelta(t, rate*0.5*3, r.Kinds[0].Calls, 24)
	require.InDelta(t, rate, e.Site.Kinds[0].PerSecond, 0)
}

func TestEmulationReportIsSaved(t *testing.T) {
	t.Parallel()
	e := bench.Emulation{Site: readShortSite(t), Seeds: 1, Parallel: 1, Factor: 1}
	r, err := e.Run(t.Context())
	require.NoError(t, err)
	dir := t.TempDir()
	require.NoError(t, r.Save(dir))
	text, err := os.ReadFile(filepath.Join(dir, "report.json"))
	require.NoError(t, err)
	var read bench.EmulationReport
	require.NoError(t, json.Unmarshal(text, &read))
	require.Equal(t, r.Kinds, read.Kinds)
	for _, name := range []string{"calls.png", "engines.png", "waits.png"} {
		image, err := os.ReadFile(filepath.Join(dir, name))
		require.NoError(t, err)
		require.True(t, bytes.HasPrefix(image, []byte("\x89PNG")), name)
	}
	table, err := os.ReadFile(filepath.Join(dir, "report.txt"))
	require.NoError(t, err)
	require.Contains(t, string(table), "question")
}
