package emulator_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/emulator"
)

// seconds returns a duration of a site.
func seconds(n float64) emulator.Duration {
	return emulator.Duration{Duration: time.Duration(n * float64(time.Second))}
}

// readSite returns one of the example sites with a shorter load.
func readSite(t *testing.T, name string, length float64) *emulator.Site {
	f, err := os.Open("../examples/" + name + ".site.json")
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	s, err := emulator.ReadSite(f)
	require.NoError(t, err)
	s.Warmup, s.Length = seconds(1), seconds(length)
	return s
}

// lonelySite has one gateway, one engine and few requests: 100 tokens in, 4 out.
func lonelySite() *emulator.Site {
	return &emulator.Site{
		Gateways: 1, Callers: 1, Engines: 1, Engine: smallBatch(), SlowestEngine: 1,
		Latency: seconds(0.001), CallerLatency: seconds(0.002), MinListingLag: seconds(0.5), MaxListingLag: seconds(1), RestartTime: seconds(2),
		RetryRatio: 0.2, RetrySlack: 10, RetryWindow: seconds(10), Length: seconds(60),
		Kinds: []emulator.Kind{{
			Name: "k", PerSecond: 0.5, Own: emulator.Length{Mean: 100}, Output: emulator.Length{Mean: 4}, Objective: seconds(0.1), GapObjective: seconds(0.1),
			Deadline: seconds(2), Patience: seconds(2), Worth: 1, Attempts: 2, Retries: 1,
		}},
	}
}

// TestPlayAddsWaysToTimeOfEngine: the engine's first event comes after 30 ms; the ways take 6 ms, and 2 ms
// more if a connection is opened.
func TestPlayAddsWaysToTimeOfEngine(t *testing.T) {
	t.Parallel()
	r := emulator.Play(lonelySite(), 1)
	k := r.Kinds[0]
	require.Greater(t, k.Calls, 15)
	require.Equal(t, k.Calls, k.Outcomes[emulator.InTime])
	require.InDelta(t, 37_000, k.Waits.ValueAtQuantile(50), 1_500)
	require.InDelta(t, r.Engines.Busy, r.EngineTime, float64(time.Millisecond), "all time of the engine belongs to a request")
	require.Zero(t, r.Wasted())
}

// TestPlayIsRepeatable: the decisions of the pools belong to the seed as well.
func TestPlayIsRepeatable(t *testing.T) {
	t.Parallel()
	s := readSite(t, "small", 3)
	s.Crashes = []emulator.Crash{{At: seconds(2), Count: 3}}
	require.Equal(t, emulator.Play(s, 1), emulator.Play(s, 1))
	require.NotEqual(t, emulator.Play(s, 1).Kinds, emulator.Play(s, 2).Kinds)
}

// TestEveryCallHasOneOutcome holds under overload, crashes and impatient callers.
func TestEveryCallHasOneOutcome(t *testing.T) {
	t.Parallel()
	s := readSite(t, "small", 5)
	s.Engine.Slots, s.Engine.Queue = 6, 3
	s.Surges = []emulator.Surge{{At: seconds(1), For: seconds(4), Factor: 3}}
	s.Crashes = []emulator.Crash{{At: seconds(2), Count: 2}}
	s.Kinds[2].Impatient = 0.5
	r := emulator.Play(s, 1)
	inSeconds := 0
	for _, second := range r.Seconds {
		for _, n := range second.Outcomes {
			inSeconds += n
		}
	}
	calls := 0
	for _, k := range r.Kinds {
		sum := 0
		for _, n := range k.Outcomes {
			sum += n
		}
		require.Equal(t, k.Calls, sum, k.Name)
		require.LessOrEqual(t, k.ReturnedServed, k.Returned)
		require.LessOrEqual(t, k.Returned, k.Refusals)
		calls += k.Calls
	}
	require.Equal(t, calls, inSeconds)
	require.InDelta(t, 5*100*2.8, calls, 250, "the arrivals of all kinds")
	require.Positive(t, r.Wasted())
}

// TestRefusedCallersReturn: an engine that is busy for 60 ms refuses who comes meanwhile; returning after
// the 300 ms that they are told, most are served.
func TestRefusedCallersReturn(t *testing.T) {
	t.Parallel()
	s := lonelySite()
	s.Engine.Slots, s.Engine.Queue, s.Kinds[0].PerSecond, s.Kinds[0].Attempts = 1, 0, 6, 1
	patient := emulator.Play(s, 1).Kinds[0]
	require.Positive(t, patient.Returned)
	require.Greater(t, 2*patient.ReturnedServed, patient.Returned)

	s.Kinds[0].Retries = 0
	leaving := emulator.Play(s, 1).Kinds[0]
	require.Zero(t, leaving.Returned)
	require.Equal(t, leaving.Refusals, leaving.Outcomes[emulator.Refused])
	require.Greater(t, leaving.Share(emulator.Refused), patient.Share(emulator.Refused))
}

// TestEnginesComeBackAfterCrash: the only engine starts again after 2 s and is known after 1 s more.
func TestEnginesComeBackAfterCrash(t *testing.T) {
	t.Parallel()
	s := lonelySite()
	s.Kinds[0].PerSecond, s.Kinds[0].Deadline, s.Length = 10, seconds(0.5), seconds(20)
	s.Crashes = []emulator.Crash{{At: seconds(10), Count: 1}}
	r := emulator.Play(s, 1)
	for n, second := range r.Seconds {
		inTime, calls := second.Outcomes[emulator.InTime], 0
		for _, o := range second.Outcomes {
			calls += o
		}
		switch {
		case n < 9, n > 13:
			require.Positive(t, inTime, n)
		case n == 10 || n == 11:
			require.Zero(t, inTime, n)
			require.Positive(t, calls, n)
		}
	}
}

func TestFaultySitesAreRefused(t *testing.T) {
	t.Parallel()
	_, err := emulator.ReadSite(strings.NewReader(`{"gatways": 4}`))
	require.ErrorContains(t, err, "gatways")
	_, err = emulator.ReadSite(strings.NewReader(`{"gateways": 4}`))
	var faulty *emulator.SiteError
	require.ErrorAs(t, err, &faulty)
	require.Equal(t, "callers", faulty.Field)
	_, err = emulator.ReadSite(strings.NewReader(`{"latency": "soon"}`))
	require.Error(t, err)
}

// TestComparedSitesAreReadable: those that docs/BENCH.md holds against played days.
func TestComparedSitesAreReadable(t *testing.T) {
	t.Parallel()
	names, err := filepath.Glob("../bench/testdata/*.site.json")
	require.NoError(t, err)
	require.Len(t, names, 7)
	for _, name := range names {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		_, err = emulator.ReadSite(bytes.NewReader(text))
		require.NoError(t, err, name)
	}
}
