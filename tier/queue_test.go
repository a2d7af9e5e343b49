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

type classSpec struct {
	class id.Class
	tier  tier.Tier
	floor float64
}

var classSpecs = []classSpec{
	{"counter", tier.Platinum, 0},
	{"desk", tier.Platinum, 0},
	{"order", tier.Gold, 0},
	{"foreman", tier.Silver, 0.1},
	{"clerk", tier.Bronze, 0.03},
}

var workspaces = []id.Workspace{"bangkok", "korat", "nan", "udon"}

// waiter returns a waiter of class k and of the workspace with index ws. It arrives at
// now and expires after wait. Every second workspace has four times the share of the
// others.
func waiter(n int, k classSpec, ws int, now time.Time, cost id.Tokens, wait time.Duration) *tier.Waiter {
	return &tier.Waiter{
		Request: id.Request(fmt.Sprintf("rq_%06d", n)), Workspace: workspaces[ws], Class: k.class, Tier: k.tier,
		Floor: k.floor, Share: float64(1 + ws%2*3), Cost: cost, Arrived: now, StartBy: now.Add(wait),
	}
}

func drawWaiter(t *rapid.T, n int, now time.Time) *tier.Waiter {
	w := waiter(n, rapid.SampledFrom(classSpecs).Draw(t, "kind"), rapid.IntRange(0, len(workspaces)-1).Draw(t, "workspace"), now,
		id.Tokens(rapid.IntRange(1, 2000).Draw(t, "cost")), time.Duration(rapid.IntRange(100, 60000).Draw(t, "wait_ms"))*time.Millisecond)
	if rapid.IntRange(0, 9).Draw(t, "again") == 0 {
		w.Requeued = true
		w.Arrived = now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "age_ms")) * time.Millisecond)
	}
	return w
}

// TestQueueMatchesReference runs random operations on the queue and on the reference
// implementation, and checks that both return the same results.
func TestQueueMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := tier.Config{MaxLength: rapid.IntRange(1, 40).Draw(t, "length"), StarvationTimeout: 3 * time.Second, StarvationDispatches: 5}
		q, reference := tier.NewQueue(cfg), newReferenceQueue(cfg)
		now := epoch
		steps := rapid.IntRange(1, 300).Draw(t, "steps")
		for i := range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass_ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2, 3, 4:
				w := drawWaiter(t, i, now)
				require.Equal(t, reference.push(now, w), q.Push(now, w))
			case 5:
				if len(reference.waiting) > 0 {
					w := rapid.SampledFrom(reference.waiting).Draw(t, "leaves")
					reference.remove(now, w)
					require.True(t, q.Remove(now, w))
				}
			case 6:
				require.Equal(t, reference.popExpired(now), q.PopExpired(now))
			default:
				selection := q.Next(now)
				require.Equal(t, reference.next(now), selection)
				require.Equal(t, selection, q.Next(now), "a second call of Next must return the same waiter")
				if w, _ := tier.Selected(selection); w != nil {
					reference.dispatch(now, w)
					q.Dispatch(now, w)
				}
			}
			require.Equal(t, len(reference.waiting), q.Len())
		}
	})
}

// TestNoPriorityInversion checks, under random loads, that a lower tier goes first
// only because of a floor or of starvation, and no more often than these rules
// allow.
func TestNoPriorityInversion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := tier.Config{MaxLength: 200, StarvationTimeout: 5 * time.Second, StarvationDispatches: 20}
		q := tier.NewQueue(cfg)
		now := epoch
		dispatched, starvationDispatches := 0, 0
		floorDispatches := map[id.Class]int{}
		for i := range 600 {
			now = now.Add(20 * time.Millisecond)
			for j := range rapid.IntRange(0, 3).Draw(t, "arrivals") {
				q.Push(now, drawWaiter(t, i*10+j, now))
			}
			for q.PopExpired(now) != nil {
				continue
			}
			selection := q.Next(now)
			w, _ := tier.Selected(selection)
			if w == nil {
				continue
			}
			higher := 0
			for higherTier := range w.Tier {
				higher += q.TierLen(higherTier)
			}
			dispatched++
			switch selection.(type) {
			case tier.InTurn:
				require.Zero(t, higher, "class %s was dispatched in turn while higher tiers waited", w.Class)
			case tier.BelowFloor:
				floorDispatches[w.Class]++
			case tier.Starving:
				starvationDispatches++
			}
			q.Dispatch(now, w)
		}
		for _, k := range classSpecs {
			allowed := k.floor*float64(dispatched)*1.1 + 1
			require.LessOrEqual(t, float64(floorDispatches[k.class]), allowed, "too many dispatches of class %s ahead of higher tiers", k.class)
		}
		periods := int(now.Sub(epoch)/cfg.StarvationTimeout) + 1
		require.LessOrEqual(t, starvationDispatches, periods*(len(classSpecs)-1))
	})
}

// TestFloorSparesHigherTiers checks that a class below its floor does not go ahead
// of a request of a higher tier that is about to expire.
func TestFloorSparesHigherTiers(t *testing.T) {
	q := tier.NewQueue(tier.DefaultConfig())
	now := epoch
	for i := range 20 {
		q.Push(now, waiter(i, classSpecs[0], 0, now, 10, time.Minute))
	}
	q.Push(now, waiter(100, classSpecs[3], 0, now, 10, time.Minute))
	for range 9 {
		w, _ := tier.Selected(q.Next(now))
		q.Dispatch(now, w)
	}
	urgent := waiter(50, classSpecs[0], 1, now, 10, 500*time.Millisecond)
	q.Push(now, urgent)
	require.IsType(t, tier.InTurn{}, q.Next(now))
	q.Remove(now, urgent)
	require.IsType(t, tier.BelowFloor{}, q.Next(now))
}

// TestNoClassStarves checks that every class is dispatched within the starvation
// bound, while requests of the highest tier that are about to expire arrive at every
// step.
func TestNoClassStarves(t *testing.T) {
	cfg := tier.DefaultConfig()
	q := tier.NewQueue(cfg)
	now := epoch
	for _, k := range classSpecs[1:] {
		for i := range 10 {
			q.Push(now, waiter(10000+i, k, 0, now, 10, time.Hour))
		}
	}
	last := map[id.Class]time.Time{}
	for i := 0; now.Before(epoch.Add(2 * time.Minute)); i++ {
		now = now.Add(50 * time.Millisecond)
		q.Push(now, waiter(i, classSpecs[0], 0, now, 10, 900*time.Millisecond))
		w, _ := tier.Selected(q.Next(now))
		q.Dispatch(now, w)
		last[w.Class] = now
		if w.Class != classSpecs[0].class {
			q.Push(now, waiter(20000+i, classSpecs[slices.IndexFunc(classSpecs, func(k classSpec) bool { return k.class == w.Class })], 0, now, 10, time.Hour))
		}
		for _, k := range classSpecs {
			lastDispatch, ok := last[k.class]
			if !ok {
				lastDispatch = epoch
			}
			require.LessOrEqual(t, now.Sub(lastDispatch), cfg.StarvationTimeout+time.Second, "class %s starved", k.class)
		}
	}
}

// TestDeficitRoundRobin keeps a backlog for every workspace and checks that the
// tokens served to each, divided by its share, stay close together.
func TestDeficitRoundRobin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := tier.NewQueue(tier.Config{MaxLength: 1 << 20, StarvationTimeout: time.Hour, StarvationDispatches: 1 << 30})
		now := epoch
		largestCost := id.Tokens(1)
		for ws := range workspaces {
			maxCost := rapid.IntRange(1, 1500).Draw(t, "most")
			for i := range 400 {
				cost := id.Tokens(rapid.IntRange(1, maxCost).Draw(t, "cost"))
				largestCost = max(largestCost, cost)
				q.Push(now, waiter(ws*1000+i, classSpecs[0], ws, now, cost, time.Hour))
			}
		}
		weightedTokens := map[id.Workspace]float64{}
		dispatched := map[id.Workspace]int{}
		for range 400 {
			w, _ := tier.Selected(q.Next(now))
			q.Dispatch(now, w)
			weightedTokens[w.Workspace] += float64(w.Cost) / w.Share
			dispatched[w.Workspace]++
			if dispatched[w.Workspace] == 400 {
				break // this workspace has no waiters left, so the others get its share
			}
			// Two backlogged workspaces differ by at most a quantum and one waiter
			// each. A quantum is at most the largest cost or minQuantum.
			bound := 2*float64(max(largestCost, 64)) + 2*float64(largestCost)
			for _, a := range workspaces {
				for _, b := range workspaces {
					require.LessOrEqual(t, weightedTokens[a]-weightedTokens[b], bound)
				}
			}
		}
	})
}

// TestFullQueue checks which request is refused when the queue is full.
func TestFullQueue(t *testing.T) {
	cases := []struct {
		name    string
		waiting []int // indices in classSpecs, oldest first
		arrives int   // index in classSpecs
		victim  int   // index in waiting of the refused request; -1: the arriving one
		reason  problem.Reason
	}{
		{"a lower tier is displaced", []int{0, 4}, 2, 1, problem.ShedForTier},
		{"the newest of the lowest tier is displaced", []int{4, 3, 4}, 2, 2, problem.ShedForTier},
		{"same tier: the newest is refused", []int{2, 2}, 2, -1, problem.QueueFull},
		{"a higher tier is never displaced", []int{0, 0}, 4, -1, problem.QueueFull},
		{"a higher tier is never displaced by the next lower one", []int{0, 2}, 3, -1, problem.QueueFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := tier.NewQueue(tier.Config{MaxLength: len(c.waiting), StarvationTimeout: time.Hour})
			var all []*tier.Waiter
			for i, k := range c.waiting {
				all = append(all, waiter(i, classSpecs[k], 0, epoch.Add(time.Duration(i)), 1, time.Hour))
				require.Equal(t, tier.Queued{}, q.Push(epoch, all[i]))
			}
			w := waiter(99, classSpecs[c.arrives], 0, epoch.Add(time.Second), 1, time.Hour)
			switch a := q.Push(epoch, w).(type) {
			case tier.Displaced:
				require.Same(t, all[c.victim], a.Waiter)
				require.Equal(t, c.reason, a.Reason(w))
			case tier.Full:
				require.Equal(t, -1, c.victim)
			default:
				require.Fail(t, "unexpected push result", "%T", a)
			}
		})
	}
}

// TestInfeasibleRequestsCannotStart serves a queue at a steady rate and checks that
// no request refused as infeasible could have been dispatched in time: shortly
// before its StartBy, some of the waiters ahead of it must still be waiting.
func TestInfeasibleRequestsCannotStart(t *testing.T) {
	type rejection struct {
		w     *tier.Waiter
		ahead []*tier.Waiter
	}
	rejected := 0
	rapid.Check(t, func(t *rapid.T) {
		q := tier.NewQueue(tier.DefaultConfig())
		now := epoch
		every := time.Duration(rapid.IntRange(20, 200).Draw(t, "every_ms")) * time.Millisecond
		var waiting []*tier.Waiter
		var rejections []rejection
		for i := range 150 {
			now = now.Add(every)
			for j := range rapid.SampledFrom([]int{0, 0, 0, 1, 1, 1, 2, 60}).Draw(t, "arrivals") {
				k := classSpecs[(i+j)%len(classSpecs)]
				w := waiter(i*1000+j, k, 0, now, 10, time.Duration(2*(1+k.tier))*time.Second)
				if _, ok := q.Push(now, w).(tier.Infeasible); !ok {
					waiting = append(waiting, w)
					continue
				}
				rejected++
				rejections = append(rejections, rejection{w, slices.DeleteFunc(slices.Clone(waiting), func(o *tier.Waiter) bool {
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
			slices.SortFunc(rejections, func(a, b rejection) int { return a.w.StartBy.Compare(b.w.StartBy) })
			for len(rejections) > 0 && now.After(rejections[0].w.StartBy.Add(-3*every)) {
				due := rejections[0]
				rejections = rejections[1:]
				require.True(t, slices.ContainsFunc(due.ahead, (*tier.Waiter).Waiting), "the refused request of class %s could have been dispatched within %v", due.w.Class, now.Sub(due.w.Arrived))
			}
		}
	})
	require.NotZero(t, rejected, "no request was refused as infeasible, so nothing was checked")
}

// TestShedInfeasible fills a queue while its dispatch rate is not known, so that all
// waiters are accepted, and then serves it too slowly for them. It checks that waiters
// are shed, lowest tier first.
func TestShedInfeasible(t *testing.T) {
	q := tier.NewQueue(tier.DefaultConfig())
	now := epoch
	for i := range 200 {
		q.Push(now, waiter(i, classSpecs[i%2*4], 0, now, 10, 20*time.Second))
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
	require.True(t, slices.IsSortedFunc(shed, func(a, b tier.Tier) int { return int(b) - int(a) }), "waiters must be shed lowest tier first: %v", shed)
}
