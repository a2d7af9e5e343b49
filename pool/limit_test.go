package pool_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/quota"
)

// after returns a time some milliseconds after now.
func after(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }

// takes returns how many requests an upstream of a pool gets in ten seconds from ms on, of one in each
// five milliseconds.
func takes(p *pool.Pool, u id.Upstream, ms int) (n int) {
	for i := range 2000 {
		if a, ok := p.Choose(after(ms+5*i), &pool.Request{Service: modelService}).(*pool.Assignment); ok {
			if a.Upstream.ID == u {
				n++
			}
			a.End(now)
		}
	}
	return n
}

// TestLimitHoldsForOneStart guards against a limit that outlives the start of the upstream that
// named it, that is lost with its listing, or that is taken for one of another upstream.
func TestLimitHoldsForOneStart(t *testing.T) {
	p := newPool(2)
	l := listing(0)
	require.NotNil(t, p.HearLimit(after(10), &l, true, 1, now))
	require.Equal(t, 1, p.LimitedUpstreams())
	require.InDelta(t, 9, takes(p, "i-0", 1000), 2)
	require.Greater(t, takes(p, "i-1", 11000), 500)
	p.Remove(after(21000), "i-0")
	p.Put(after(21010), listing(0))
	require.InDelta(t, 9, takes(p, "i-0", 22000), 2)
	p.Put(after(33000), restarted())
	require.Zero(t, p.LimitedUpstreams())
	require.Greater(t, takes(p, "i-0", 34000), 500)
	p.HearLimit(after(45000), &l, true, 3, after(44000)) // of the earlier start
	require.Zero(t, p.LimitedUpstreams())
}

// TestLateResponseEndsNoLimit guards against a limit that ends, or rises, by a response to a request that
// was sent before the limit was last heard.
func TestLateResponseEndsNoLimit(t *testing.T) {
	type heard struct {
		sent, at int // milliseconds
		limited  bool
		limit    id.PerSecond
		limits   int // upstreams with a limit then
		now      id.PerSecond
	}
	for name, steps := range map[string][]heard{
		"ends":                   {{0, 10, true, 2, 1, 2}, {11, 12, false, 0, 0, 0}},
		"late end":               {{0, 10, true, 2, 1, 2}, {9, 5000, false, 0, 1, 2}, {5001, 5002, false, 0, 0, 0}},
		"heard again meanwhile":  {{0, 10, true, 2, 1, 2}, {12, 30, true, 2, 1, 2}, {20, 40, false, 0, 1, 2}, {31, 50, false, 0, 0, 0}},
		"falls":                  {{0, 10, true, 2, 1, 2}, {1, 11, true, 1, 1, 1}},
		"falls after its end":    {{0, 10, true, 2, 1, 2}, {11, 12, false, 0, 0, 0}, {0, 13, true, 3, 1, 3}},
		"rises":                  {{0, 10, true, 2, 1, 2}, {5, 11, true, 4, 1, 2}, {12, 13, true, 4, 1, 4}},
		"the middle one is next": {{0, 10, true, 1, 1, 1}, {5, 20, true, 3, 1, 1}, {15, 30, true, 5, 1, 3}, {21, 31, true, 5, 1, 5}},
		"zero":                   {{0, 10, true, 0, 1, 0}, {11, 12, true, 4, 1, 4}},
	} {
		t.Run(name, func(t *testing.T) {
			p, l := newPool(1), listing(0)
			for i, s := range steps {
				p.HearLimit(after(s.at), &l, s.limited, s.limit, after(s.sent))
				require.Equal(t, s.limits, p.LimitedUpstreams(), "step %d", i)
				reports, _ := p.LimitReports(after(s.at))
				require.Len(t, reports, 1)
				require.Equal(t, s.now, reports[0].Limit, "step %d", i)
			}
		})
	}
}

// TestLimitFollowsNaive compares the limit that holds with the lowest one of all reports that no other
// one follows, in whatever order they arrive.
func TestLimitFollowsNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPool(1)
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) pool.LimitReport {
			sent := rapid.IntRange(0, 40).Draw(t, "sent")
			r := pool.LimitReport{Upstream: "i-0", StartUnixMS: 1, Statement: quota.Statement{SentAt: after(sent), HeardAt: after(sent + rapid.IntRange(0, 12).Draw(t, "took"))}}
			if limit := rapid.IntRange(0, 3).Draw(t, "limit"); limit > 0 {
				r.Limited, r.Limit = true, id.PerSecond(limit)
			}
			return r
		}), 1, 12).Draw(t, "reports")
		for _, r := range reports {
			p.MergeLimits(after(100), []pool.LimitReport{r})
		}
		want := math.Inf(1)
		for _, r := range reports {
			followed := false
			for _, s := range reports {
				followed = followed || s.SentAt.After(r.HeardAt)
			}
			if !followed && r.Limited {
				want = min(want, float64(r.Limit))
			}
		}
		l := listing(0)
		change := p.HearLimit(after(100), &l, true, 0, after(99)) // tells what was before
		got := math.Inf(1)
		if change != nil && change.Before.Limited {
			got = float64(change.Before.Limit)
		}
		require.Equal(t, want, got)
	})
}

// TestPeersTellOfLimits guards against a gateway that hears of a limit or of its end by its own requests
// only, and against reports that no upstream can have made.
func TestPeersTellOfLimits(t *testing.T) {
	first, second, l := newPool(1), newPool(1), listing(0)
	first.HearLimit(after(10), &l, true, 2, now)
	reports, version := first.LimitReports(after(11))
	require.Len(t, second.MergeLimits(after(12), reports), 1)
	require.Equal(t, 1, second.LimitedUpstreams())
	require.Empty(t, second.MergeLimits(after(13), reports), "known")
	second.HearLimit(after(100), &l, true, 2, after(90)) // heard again here
	first.HearLimit(after(101), &l, false, 0, after(95))
	reports, later := first.LimitReports(after(102))
	require.NotEqual(t, version, later)
	require.Empty(t, second.MergeLimits(after(103), reports), "the end may be older")
	first.HearLimit(after(110), &l, false, 0, after(105))
	reports, _ = first.LimitReports(after(111))
	require.Len(t, second.MergeLimits(after(112), reports), 1)
	require.Zero(t, second.LimitedUpstreams())
	reports, _ = first.LimitReports(after(60_000))
	require.Empty(t, reports, "old")

	for _, r := range []pool.LimitReport{
		{Statement: quota.Statement{Limited: true, Limit: 1, SentAt: now, HeardAt: now}}, // of no upstream
		{Upstream: "i-0", StartUnixMS: 1, Statement: quota.Statement{Limited: true, Limit: id.PerSecond(math.NaN()), SentAt: now, HeardAt: now}},
		{Upstream: "i-0", StartUnixMS: 1, Statement: quota.Statement{Limited: true, Limit: -1, SentAt: now, HeardAt: now}},
		{Upstream: "i-0", StartUnixMS: 1, Statement: quota.Statement{Limited: true, Limit: id.PerSecond(math.Inf(1)), SentAt: now, HeardAt: now}},
		{Upstream: "i-0", StartUnixMS: 1, Statement: quota.Statement{Limited: true, Limit: 1, SentAt: after(1), HeardAt: now}},
	} {
		p := newPool(1)
		require.Empty(t, p.MergeLimits(after(10), []pool.LimitReport{r}), "%+v", r)
		require.Zero(t, p.LimitedUpstreams())
	}
	p := newPool(1) // a peer whose clock is ahead must not make a limit last
	p.MergeLimits(after(10), []pool.LimitReport{{Upstream: "i-0", StartUnixMS: 1, Statement: quota.Statement{Limited: true, Limit: 1, SentAt: after(1_000_000), HeardAt: after(1_000_001)}}})
	require.Equal(t, 1, p.LimitedUpstreams())
	p.HearLimit(after(30), &l, false, 0, after(20))
	require.Zero(t, p.LimitedUpstreams())
}

// TestSlotsGoToTheMostUrgent guards against a slot that goes to whoever asks first: of those that
// wait it is for the most urgent, and then for the one that has waited longest.
func TestSlotsGoToTheMostUrgent(t *testing.T) {
	p, l := newPool(1), listing(0)
	p.HearLimit(after(10), &l, true, 1, now)
	takes(p, "i-0", 20)
	var waiting []*pool.Request
	for i, urgency := range []int{7, 3, 3, 0} {
		waiting = append(waiting, &pool.Request{Service: modelService, Urgency: urgency, ArrivedAt: after(10_020 + i)})
	}
	var order []int
	gaveUp := waiting[2]
	for ms := 10_020; ms < 20_000; ms += 50 {
		for i, rq := range waiting {
			switch d := p.Choose(after(ms), rq).(type) {
			case *pool.Assignment:
				order = append(order, i)
				d.End(now)
				waiting[i] = &pool.Request{Service: "none"}
			case *pool.Throttled:
				require.True(t, d.Limited)
				p.Wait(rq)
			}
		}
		if ms > 11_000 {
			p.Leave(gaveUp)
			waiting[2] = &pool.Request{Service: "none"}
		}
	}
	require.Subset(t, [][]int{{3, 1, 0}, {3, 1, 2, 0}}, [][]int{order})
}

// TestRefusedCallersReturnOneByOne guards against callers that are all told to return at the time of the
// next slot.
func TestRefusedCallersReturnOneByOne(t *testing.T) {
	p, l := newPool(1), listing(0)
	p.HearLimit(after(10), &l, true, 2, now)
	takes(p, "i-0", 20)
	at := after(10_020)
	seen := make(map[time.Time]bool)
	for range 10 {
		rq := &pool.Request{Service: modelService}
		throttled, ok := p.Choose(at, rq).(*pool.Throttled)
		require.True(t, ok)
		back := p.Refuse(at, rq, throttled)
		require.True(t, back.After(at))
		require.LessOrEqual(t, back.Sub(at), 10*time.Second)
		require.False(t, seen[back])
		seen[back] = true
	}
}

// TestUnsentRequestUsesNoSlot guards against a slot that is lost with a request of which nothing was
// sent.
func TestUnsentRequestUsesNoSlot(t *testing.T) {
	p, l := newPool(1), listing(0)
	p.HearLimit(after(10), &l, true, 0.2, now)
	for ms := 20; ms < 20_000; ms += 5 {
		a, ok := p.Choose(after(ms), &pool.Request{Service: modelService}).(*pool.Assignment)
		if !ok {
			continue
		}
		require.IsType(t, &pool.Throttled{}, p.Choose(after(ms), &pool.Request{Service: modelService}))
		a.Unsent()
		a.End(now)
		again, ok := p.Choose(after(ms+150), &pool.Request{Service: modelService}).(*pool.Assignment)
		require.True(t, ok)
		again.End(now)
		require.IsType(t, &pool.Throttled{}, p.Choose(after(ms+160), &pool.Request{Service: modelService}))
		return
	}
	require.Fail(t, "no slot")
}

// TestAskRateHearsTheEnd guards against an upstream that names zero, or next to nothing, and would never
// get a request that tells of the end of its limit.
func TestAskRateHearsTheEnd(t *testing.T) {
	for _, limit := range []id.PerSecond{0, 1e-300, 0.001} {
		p, l := newPool(2), listing(0)
		p.HearLimit(after(10), &l, true, limit, now)
		require.InDelta(t, 2, takes(p, "i-0", 20), 1, fmt.Sprint(limit))
	}
}

// TestHugeLimitIsNone guards against an overflow that makes a huge limit a low one.
func TestHugeLimitIsNone(t *testing.T) {
	for _, limit := range []id.PerSecond{1e6, 1e18, 1e300} {
		p, l := newPool(1), listing(0)
		p.SetFleet(quota.NewFleet("a", []id.Node{"a"}, now, now))
		p.HearLimit(after(10), &l, true, limit, now)
		require.Equal(t, 2000, takes(p, "i-0", 20), fmt.Sprint(limit))
	}
}

// TestHighLimitDrawsNoLoad guards against an upstream in need that gets more requests than others, since
// its limit allows more than its share.
func TestHighLimitDrawsNoLoad(t *testing.T) {
	p, l := newPool(10), listing(0)
	p.HearLimit(after(10), &l, true, 100, now)
	var running []*pool.Assignment
	count := map[id.Upstream]int{}
	for ms := 20; ms < 20_000; ms += 10 { // 100 requests a second, which run for half a second
		a := choose(t, p, after(ms), pool.Request{})
		count[a.Upstream.ID]++
		if running = append(running, a); len(running) > 50 {
			running[0].End(now)
			running = running[1:]
		}
	}
	require.InDelta(t, 200, count["i-0"], 60)
}
