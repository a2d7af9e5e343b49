package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// stream is a request of a simulated load: its upstream sends events until it ends.
type stream struct {
	assignment *pool.Assignment
	end        time.Time
}

// TestRequestsAvoidEnginesThatWentSilent replays the load of one gateway of five, in which two of
// six engines go silent, and guards against requests on their open connections.
func TestRequestsAvoidEnginesThatWentSilent(t *testing.T) {
	const (
		step          = 10 * time.Millisecond
		eventInterval = 50 * time.Millisecond
		streamLength  = 1500 * time.Millisecond
		perSecond     = 20.0
		permittedGap  = 200 * time.Millisecond // of latestCatalog
	)
	silentFrom := now.Add(10 * time.Second)
	silent := map[id.Upstream]bool{"i-1": true, "i-4": true}
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			p := newPool(6)
			var streams []stream
			gone := func(at time.Time, u id.Upstream) bool { return silent[u] && !at.Before(silentFrom) }
			lost, needless := 0, 0
			for at := now; at.Before(now.Add(14 * time.Second)); at = at.Add(step) {
				for i := 0; i < len(streams); i++ {
					switch s := streams[i]; {
					case gone(at, s.assignment.Upstream.ID):
					case !at.Before(s.end):
						s.assignment.End(now)
						streams[i] = streams[len(streams)-1]
						streams = streams[:len(streams)-1]
						i--
					case at.Sub(now)%eventInterval == 0:
						s.assignment.PrefillDone(at)
					}
				}
				if rng.Float64() >= perSecond*step.Seconds() {
					continue
				}
				request := pool.Request{Prompt: prompt(fmt.Sprint("thing-", rng.IntN(40)), 200, 600), RunsOnce: true}
				a := choose(t, p, at, request)
				u := a.Upstream.ID
				switch {
				case gone(at, u) && a.NewConnection:
					a.End(now)
					p.MarkUnreachable(at, u)
					continue
				case gone(at, u) && at.Sub(silentFrom) > permittedGap:
					lost++
				case !silent[u] && a.NewConnection && a.Running > 0:
					needless++
				}
				if a.NewConnection {
					a.Heard(at)
				}
				streams = append(streams, stream{a, at.Add(streamLength)})
			}
			require.Zero(t, lost, "requests over open connections to engines that had been silent for longer than permitted")
			require.Zero(t, needless, "new connections to engines that were sending events")
		})
	}
}

// TestOneRequestTriesUpstreamInDoubt guards against all requests of a moment waiting for connections
// to an upstream that has gone.
func TestOneRequestTriesUpstreamInDoubt(t *testing.T) {
	p := newPool(2)
	later := now.Add(time.Second)
	for _, avoided := range []id.Upstream{"i-0", "i-1"} {
		choose(t, p, now, pool.Request{Avoid: []id.Upstream{avoided}}) // nothing comes back
	}
	trial := choose(t, p, later, pool.Request{Avoid: []id.Upstream{"i-1"}, RunsOnce: true})
	require.True(t, trial.NewConnection)
	for range 20 {
		a := choose(t, p, later, pool.Request{})
		require.Equal(t, id.Upstream("i-1"), a.Upstream.ID)
		a.Heard(later)
	}
	require.True(t, choose(t, p, later, pool.Request{Avoid: []id.Upstream{"i-1"}}).NewConnection, "beside the trial")
	trial.Heard(later)
	require.False(t, choose(t, p, later, pool.Request{Avoid: []id.Upstream{"i-1"}}).NewConnection)
}

func TestIdleUpstreamIsTriedByRequestsThatRunOnce(t *testing.T) {
	p := newPool(1)
	a := choose(t, p, now, pool.Request{RunsOnce: true})
	a.Heard(now)
	a.End(now)
	for _, tc := range []struct {
		idle          time.Duration
		once          bool
		newConnection bool
	}{
		{900 * time.Millisecond, true, false},
		{1100 * time.Millisecond, false, false},
		{1100 * time.Millisecond, true, true},
	} {
		a := choose(t, p, now.Add(tc.idle), pool.Request{RunsOnce: tc.once})
		require.Equal(t, tc.newConnection, a.NewConnection)
		a.End(now)
	}
}

// isClosed reports whether a channel is closed, without waiting.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestSilentUpstreamIsFoundGone guards against repeatable requests that stay at an upstream that has
// gone, and against running ones that are taken from one that was only silent.
func TestSilentUpstreamIsFoundGone(t *testing.T) {
	const permittedGap = 200 * time.Millisecond // of latestCatalog
	at := now.Add(4 * permittedGap)
	for _, tc := range []struct {
		name   string
		events func(t *testing.T, p *pool.Pool, a *pool.Assignment)
		gone   bool
	}{
		{"silent and unreachable", func(t *testing.T, p *pool.Pool, _ *pool.Assignment) {
			require.Empty(t, p.StartTrials(at.Add(-time.Millisecond)))
			require.Len(t, p.StartTrials(at), 1)
			require.Empty(t, p.StartTrials(at), "one trial at a time")
			p.MarkUnreachable(at, "i-0")
		}, true},
		{"silent and reachable", func(t *testing.T, p *pool.Pool, _ *pool.Assignment) {
			require.Len(t, p.StartTrials(at), 1)
			p.MarkReachable(at, "i-0")
			require.Empty(t, p.StartTrials(at.Add(permittedGap)))
		}, false},
		{"unreachable while it sends events", func(_ *testing.T, p *pool.Pool, a *pool.Assignment) {
			p.MarkUnreachable(at, "i-0")
			a.PrefillDone(at)
			p.MarkUnreachable(at, "i-0")
		}, false},
		{"heard from during the trial", func(t *testing.T, p *pool.Pool, a *pool.Assignment) {
			require.Len(t, p.StartTrials(at), 1)
			a.Heard(at)
			p.MarkUnreachable(at, "i-0")
		}, false},
		{"unreachable after a short silence", func(t *testing.T, p *pool.Pool, _ *pool.Assignment) {
			second := choose(t, p, now.Add(permittedGap*3/4), pool.Request{RunsOnce: true})
			require.True(t, second.NewConnection)
			second.End(now)
			p.MarkUnreachable(now.Add(permittedGap*3/4), "i-0")
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPool(1)
			a := choose(t, p, now, pool.Request{})
			gone := a.Gone()
			tc.events(t, p, a)
			require.Equal(t, tc.gone, isClosed(gone))
		})
	}
}
