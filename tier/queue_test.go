package tier_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/tier"
)

var epoch = time.Unix(1_800_000_000, 0)

type kind struct {
	class id.Class
	tier  tier.Tier
	floor float64
}

var kinds = []kind{
	{"counter", tier.Platinum, 0},
	{"desk", tier.Platinum, 0},
	{"order", tier.Gold, 0},
	{"foreman", tier.Silver, 0.1},
	{"clerk", tier.Bronze, 0.03},
}

var workspaces = []id.Workspace{"bangkok", "korat", "nan", "udon"}

func waiter(n int, k kind, ws int, now time.Time, cost id.Tokens, wait time.Duration) *tier.Waiter {
	return &tier.Waiter{
		Request: id.Request(fmt.Sprintf("rq_%06d", n)), Workspace: workspaces[ws], Class: k.class, Tier: k.tier,
		Floor: k.floor, Share: float64(1 + ws%2*3), Cost: cost, Arrived: now, StartBy: now.Add(wait),
	}
}

func drawWaiter(t *rapid.T, n int, now time.Time) *tier.Waiter {
	w := waiter(n, rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.IntRange(0, len(workspaces)-1).Draw(t, "workspace"), now,
		id.Tokens(rapid.IntRange(1, 2000).Draw(t, "cost")), time.Duration(rapid.IntRange(100, 60000).Draw(t, "wait_ms"))*time.Millisecond)
	if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
		w.Requeued = true
		w.Arrived = now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age_ms")) * time.Millisecond)
	}
	return w
}

// TestLikeNaive runs random operations against the queue and the naive version,
// which must decide alike.
func TestLikeNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := tier.Config{MaxLength: rapid.IntRange(1, 40).Draw(t, "length"), StarvationTimeout: 3 * time.Second, StarvationDispatches: 5}
		q, n := tier.NewQueue(cfg), newNaive(cfg)
		now := epoch
		steps := rapid.IntRange(1, 300).Draw(t, "steps")
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass_ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2, 3, 4:
				w := drawWaiter(t, i, now)
				require.Equal(t, n.push(now, w), q.Push(now, w))
			case 5:
				if len(n.waiting) > 0 {
					w := rapid.SampledFrom(n.waiting).Draw(t, "leaves")
					n.remove(now, w)
					require.True(t, q.Remove(now, w))
				}
			case 6:
				require.Equal(t, n.expired(now), q.PopExpired(now))
			default:
				turn := q.Next(now)
				require.Equal(t, n.next(now), turn)
				require.Equal(t, turn, q.Next(now), "asking again changes nothing")
				if w, _ := tier.Selected(turn); w != nil {
					n.take(now, w)
					q.Dispatch(now, w)
				}
			}
			require.Equal(t, len(n.waiting), q.Len())
		}
	})
}

// TestNoInversion checks, over random loads, that a lower tier goes first only
// for its floor or against starvation, and no oftener than these allow.
func TestNoInversion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := tier.Config{MaxLength: 200, StarvationTimeout: 5 * time.Second, StarvationDispatches: 20}
		q := tier.NewQueue(cfg)
		now := epoch
		dispatched, starved := 0, 0
		byFloor := map[id.Class]int{}
		for i := range 600 {
			now = now.Add(20 * time.Millisecond)
			for j := range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				q.Push(now, drawWaiter(t, i*10+j, now))
			}
			for q.PopExpired(now) != nil {
				continue
			}
			turn := q.Next(now)
			w, _ := tier.Selected(turn)
			if w == nil {
				continue
			}
			higher := 0
			for above := range w.Tier {
				higher += q.TierLen(above)
			}
			dispatched++
			switch turn.(type) {
			case tier.InTurn:
				require.Zero(t, higher, "%s goes in turn while higher tiers wait", w.Class)
			case tier.BelowFloor:
				byFloor[w.Class]++
			case tier.Starving:
				starved++
			}
			q.Dispatch(now, w)
		}
		for _, k := range kinds {
			allowed := k.floor*float64(dispatched)*1.1 + 1
			require.LessOrEqual(t, float64(byFloor[k.class]), allowed, "dispatches of %s for its floor", k.class)
		}
		periods := int(now.Sub(epoch)/cfg.StarvationTimeout) + 1
		require.LessOrEqual(t, starved, periods*(len(kinds)-1))
	})
}

// TestFloorSparesHigherTiers has a floor due while a higher request is about to
// run out of time.
func TestFloorSparesHigherTiers(t *testing.T) {
	q := tier.NewQueue(tier.DefaultConfig())
	now := epoch
	for i := range 20 {
		q.Push(now, waiter(i, kinds[0], 0, now, 10, time.Minute))
	}
	q.Push(now, waiter(100, kinds[3], 0, now, 10, time.Minute))
	for range 9 {
		w, _ := tier.Selected(q.Next(now))
		q.Dispatch(now, w)
	}
	urgent := waiter(50, kinds[0], 1, now, 10, 500*time.Millisecond)
	q.Push(now, urgent)
	require.IsType(t, tier.InTurn{}, q.Next(now))
	q.Remove(now, urgent)
	require.IsType(t, tier.BelowFloor{}, q.Next(now))
}

// TestNoClassStarves keeps every higher tier busy and about to expire.
func TestNoClassStarves(t *testing.T) {
	cfg := tier.DefaultConfig()
	q := tier.NewQueue(cfg)
	now := epoch
	for _, k := range kinds[1:] {
		for i := range 10 {
			q.Push(now, waiter(10000+i, k, 0, now, 10, time.Hour))
		}
	}
	last := map[id.Class]time.Time{}
	for i := 0; now.Before(epoch.Add(2 * time.Minute)); i++ {
		now = now.Add(50 * time.Millisecond)
		q.Push(now, waiter(i, kinds[0], 0, now, 10, 900*time.Millisecond))
		w, _ := tier.Selected(q.Next(now))
		q.Dispatch(now, w)
		last[w.Class] = now
		if w.Class != kinds[0].class {
			q.Push(now, waiter(20000+i, kinds[slices.IndexFunc(kinds, func(k kind) bool { return k.class == w.Class })], 0, now, 10, time.Hour))
		}
		for _, k := range kinds {
			since, ok := last[k.class]
			if !ok {
				since = epoch
			}
			require.LessOrEqual(t, now.Sub(since), cfg.StarvationTimeout+time.Second, "%s", k.class)
		}
	}
}

// TestDeficitRoundRobin keeps every workspace busy and compares what each gets
// with its share.
func TestDeficitRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := tier.NewQueue(tier.Config{MaxLength: 1 << 20, StarvationTimeout: time.Hour, StarvationDispatches: 1 << 30})
		now := epoch
		costliest := id.Tokens(1)
		for ws := range workspaces {
			most := rapid.IntRange(1, 1500).Draw(t, "most")
			for i := range 400 {
				cost := id.Tokens(rapid.IntRange(1, most).Draw(t, "cost"))
				costliest = max(costliest, cost)
				q.Push(now, waiter(ws*1000+i, kinds[0], ws, now, cost, time.Hour))
			}
		}
		got := map[id.Workspace]float64{}
		left := map[id.Workspace]int{}
		for range 400 {
			w, _ := tier.Selected(q.Next(now))
			q.Dispatch(now, w)
			got[w.Workspace] += float64(w.Cost) / w.Share
			left[w.Workspace]++
			if left[w.Workspace] == 400 {
				break // one is served out: the others' shares grow
			}
			// Two busy workspaces differ by a quantum and a waiter each; a quantum
			// is at most the costliest waiter or the least quantum.
			bound := 2*float64(max(costliest, 64)) + 2*float64(costliest)
			for _, a := range workspaces {
				for _, b := range workspaces {
					require.LessOrEqual(t, got[a]-got[b], bound)
				}
			}
		}
	})
}

// TestFullQueue lists who is refused when the queue is full.
func TestFullQueue(t *testing.T) {
	cases := []struct {
		name    string
		waiting []int // kinds, oldest first
		arrives int
		victim  int // index in waiting; -1: the arrival
		reason  problem.Reason
	}{
		{"lower yields", []int{0, 4}, 2, 1, problem.ShedForTier},
		{"lowest yields, newest first", []int{4, 3, 4}, 2, 2, problem.ShedForTier},
		{"same tier: the newest is refused", []int{2, 2}, 2, -1, problem.QueueFull},
		{"higher never yields", []int{0, 0}, 4, -1, problem.QueueFull},
		{"higher never yields to the next", []int{0, 2}, 3, -1, problem.QueueFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := tier.NewQueue(tier.Config{MaxLength: len(c.waiting), StarvationTimeout: time.Hour})
			var all []*tier.Waiter
			for i, k := range c.waiting {
				all = append(all, waiter(i, kinds[k], 0, epoch.Add(time.Duration(i)), 1, time.Hour))
				require.Equal(t, tier.Queued{}, q.Push(epoch, all[i]))
			}
			w := waiter(99, kinds[c.arrives], 0, epoch.Add(time.Second), 1, time.Hour)
			switch a := q.Push(epoch, w).(type) {
			case tier.Displaced:
				require.Same(t, all[c.victim], a.Waiter)
				require.Equal(t, c.reason, a.Reason(w))
			case tier.Full:
				require.Equal(t, -1, c.victim)
			default:
				require.Fail(t, "unexpected", "%T", a)
			}
		})
	}
}

// TestHopelessIsTrue serves a queue at a steady rate and follows the places of
// the requests that are refused as hopeless: none comes first in time.
func TestHopelessIsTrue(t *testing.T) {
	type ghost struct {
		w     *tier.Waiter
		ahead []*tier.Waiter
	}
	called := 0
	rapid.Check(t, func(t *rapid.T) {
		q := tier.NewQueue(tier.DefaultConfig())
		now := epoch
		every := time.Duration(rapid.IntRange(20, 200).Draw(t, "every_ms")) * time.Millisecond
		var waiting []*tier.Waiter
		var ghosts []ghost
		for i := range 150 {
			now = now.Add(every)
			for j := range rapid.SampledFrom([]int{0, 0, 0, 1, 1, 1, 2, 60}).Draw(t, "arrivals") {
				k := kinds[(i+j)%len(kinds)]
				w := waiter(i*1000+j, k, 0, now, 10, time.Duration(2*(1+k.tier))*time.Second)
				if _, ok := q.Push(now, w).(tier.Infeasible); !ok {
					waiting = append(waiting, w)
					continue
				}
				called++
				ghosts = append(ghosts, ghost{w, slices.DeleteFunc(slices.Clone(waiting), func(o *tier.Waiter) bool {
					return o.Tier > w.Tier || o.Tier == w.Tier && o.Class != w.Class
				})})
			}
			for q.PopExpired(now) != nil {
				continue
			}
			if w, _ := tier.Selected(q.Next(now)); w != nil {
				q.Dispatch(now, w)
			}
			waiting = slices.DeleteFunc(waiting, func(w *tier.Waiter) bool { return !w.Waiting() })
			slices.SortFunc(ghosts, func(a, b ghost) int { return a.w.StartBy.Compare(b.w.StartBy) })
			for len(ghosts) > 0 && now.After(ghosts[0].w.StartBy.Add(-3*every)) {
				g := ghosts[0]
				ghosts = ghosts[1:]
				require.True(t, slices.ContainsFunc(g.ahead, (*tier.Waiter).Waiting), "%s could have started within %v", g.w.Class, now.Sub(g.w.Arrived))
			}
		}
	})
	require.NotZero(t, called, "no request was hopeless: the test shows nothing")
}

// TestShedHopeless slows the service down under a queue that was fine.
func TestShedHopeless(t *testing.T) {
	q := tier.NewQueue(tier.DefaultConfig())
	now := epoch
	for i := range 200 {
		q.Push(now, waiter(i, kinds[i%2*4], 0, now, 10, 20*time.Second))
	}
	for range 40 {
		now = now.Add(200 * time.Millisecond)
		w, _ := tier.Selected(q.Next(now))
		q.Dispatch(now, w)
	}
	var shed []tier.Tier
	for w, _ := q.ShedInfeasible(now); w != nil; w, _ = q.ShedInfeasible(now) {
		shed = append(shed, w.Tier)
	}
	require.NotEmpty(t, shed)
	require.True(t, slices.IsSortedFunc(shed, func(a, b tier.Tier) int { return int(b) - int(a) }), "lowest tier first: %v", shed)
}
