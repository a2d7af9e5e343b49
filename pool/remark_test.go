package pool_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// choices is how many requests chosen assigns.
const choices = 50

// chosen returns the upstreams that requests are assigned to, by how often.
func chosen(t *testing.T, p *pool.Pool, at time.Time) map[string]int {
	t.Helper()
	out := map[string]int{}
	for range choices {
		a := choose(t, p, at, pool.Request{})
		a.End(now)
		out[string(a.Upstream.ID)]++
	}
	return out
}

// TestLeavingUpstream marks one of two upstreams as leaving, before, after and without a
// listing that says so, and while its listing disappears and returns.
func TestLeavingUpstream(t *testing.T) {
	draining := listing(0)
	draining.Draining = true
	for name, tc := range map[string]struct {
		then   []pool.Listing // further listings
		remove bool           // its listing disappears before these
		used   bool
	}{
		"not listed as draining":         {},
		"listed as ready again":          {then: []pool.Listing{listing(0)}},
		"listed as draining after":       {then: []pool.Listing{draining}},
		"listed as draining, then ready": {then: []pool.Listing{draining, listing(0)}},
		"listing returns":                {then: []pool.Listing{listing(0)}, remove: true},
		"started anew":                   {then: []pool.Listing{restarted()}, used: true},
		"started anew, gone between":     {then: []pool.Listing{restarted()}, remove: true, used: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(2)
			l := listing(0)
			require.True(t, p.MarkLeaving(now, &l))
			require.False(t, p.MarkLeaving(now, &l), "known already")
			require.NotContains(t, chosen(t, p, now), "i-0")
			if tc.remove {
				p.Remove(now, "i-0")
			}
			for _, l := range tc.then {
				p.Put(now, l)
			}
			if tc.used {
				require.Contains(t, chosen(t, p, now), "i-0")
			} else {
				require.NotContains(t, chosen(t, p, now), "i-0")
			}
		})
	}
}

// restarted returns the listing of the first upstream after another start, a moment from now.
func restarted() pool.Listing {
	l := listing(0)
	l.StartUnixMS = now.UnixMilli() + 1
	return l
}

// TestWaitIsForgottenAsItsStartIsListed guards against a wait that is forgotten because its response came before
// the listing of the start that asked for it.
func TestWaitIsForgottenAsItsStartIsListed(t *testing.T) {
	for name, tc := range map[string]struct {
		asked  time.Duration // after the listing of the earlier start; the next start is 1 ms after that
		remove bool          // the listing disappears between
		used   bool
	}{
		"asked by the next start":               {asked: time.Second},
		"asked by the next start, gone between": {asked: time.Second, remove: true},
		"asked by the earlier start":            {asked: 0, used: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(2)
			earlier := listing(0)
			asked := now.Add(tc.asked)
			p.AskWait(asked, &earlier, 4*time.Second)
			if tc.remove {
				p.Remove(asked, "i-0")
			}
			p.Put(asked, restarted())
			if tc.used {
				require.Contains(t, chosen(t, p, asked), "i-0")
			} else {
				require.NotContains(t, chosen(t, p, asked.Add(4*time.Second-1)), "i-0")
			}
			require.Contains(t, chosen(t, p, asked.Add(4*time.Second)), "i-0")
		})
	}
}

// TestLateMarkOfEarlierStart guards against a mark of an earlier start of an upstream that
// takes out the present one.
func TestLateMarkOfEarlierStart(t *testing.T) {
	p := newPool(2)
	p.Put(now, restarted())
	l := listing(0)
	p.MarkLeaving(now, &l)
	p.AskWait(now, &l, time.Minute)
	require.Contains(t, chosen(t, p, now), "i-0")
}

// TestAskedWait checks which upstreams get requests while some have asked for a wait, and
// what is known of the time after which one is free.
func TestAskedWait(t *testing.T) {
	p := newPool(2)
	first, second := listing(0), listing(1)
	require.Equal(t, now.Add(4*time.Second), p.AskWait(now, &first, 4*time.Second))
	require.Equal(t, now.Add(4*time.Second), p.AskWait(now, &first, time.Second), "a shorter wait does not end a longer one")
	require.Equal(t, map[string]int{"i-1": choices}, chosen(t, p, now.Add(4*time.Second-1)))
	require.Contains(t, chosen(t, p, now.Add(4*time.Second)), "i-0")

	p.AskWait(now, &second, 2*time.Second)
	require.Equal(t, &pool.Throttled{Until: now.Add(2 * time.Second)}, p.Choose(now, &pool.Request{Service: modelService}))
	after := pool.Request{Service: modelService, Avoid: []id.Upstream{"i-0", "i-1"}}
	require.Equal(t, now.Add(2*time.Second), p.Choose(now, &after).(*pool.NoUpstream).RetryAt)
	require.Zero(t, p.Choose(now.Add(3*time.Second), &after).(*pool.NoUpstream).RetryAt, "i-1 refused without asking for a wait")

	p.Put(now, restarted())
	require.Equal(t, map[string]int{"i-0": choices}, chosen(t, p, now), "a new start begins without a wait")
	l := restarted()
	require.Equal(t, now.Add(10*time.Minute), p.AskWait(now, &l, math.MaxInt64), "the longest wait")
}
