package workspace_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/id"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/workspace"
)

var epoch = time.Unix(1_800_000_000, 0)

const (
	step             = 50 * time.Millisecond
	perSecond        = 100.0 // limit of the rule, in requests and in tokens
	unreachableAfter = 2 * time.Second
)

func limitedRule() *rule.Workspace {
	return &rule.Workspace{Name: "nan", RequestsPerSecond: perSecond, TokensPerSecond: perSecond, Burst: time.Second}
}

// cluster simulates a few entries that exchange reports, some of which are lost.
type cluster struct {
	entries     map[id.Node]*workspace.Limits
	partitioned map[[2]id.Node]bool
	lose        func() bool
}

func newCluster(lose func() bool) *cluster {
	return &cluster{entries: map[id.Node]*workspace.Limits{}, partitioned: map[[2]id.Node]bool{}, lose: lose}
}

func node(i int) id.Node { return id.Node(fmt.Sprint("e", i)) }

func (c *cluster) join(now time.Time, n id.Node) {
	c.entries[n] = workspace.New(now, id.Incarnation(now.UnixNano()))
}

// nodes returns the entries in order, so that a seed gives the same run again.
func (c *cluster) nodes() []id.Node { return slices.Sorted(maps.Keys(c.entries)) }

// exchange runs one round of reports between every pair of entries, a request and a
// response each, and then ticks every entry.
func (c *cluster) exchange(now time.Time) {
	for _, n := range c.nodes() {
		l := c.entries[n]
		var others []id.Node
		for _, o := range c.nodes() {
			if o != n {
				others = append(others, o)
			}
		}
		l.SetPeers(now, others)
	}
	for _, a := range c.nodes() {
		for _, b := range c.nodes() {
			la, lb := c.entries[a], c.entries[b]
			if a == b || c.partitioned[[2]id.Node{a, b}] || c.partitioned[[2]id.Node{b, a}] || c.lose() {
				continue
			}
			lb.Receive(now, a, la.ReportTo(b))
			if !c.lose() {
				la.Receive(now, b, lb.ReportTo(a))
			}
		}
	}
	for _, l := range c.entries {
		l.Tick(now)
	}
}

// TestSpendStaysWithinLimit runs entries with changing demand that join, leave, are
// partitioned and reconnect, while reports are lost, and checks that all entries
// together allow no more than the limit and the documented excess.
func TestSpendStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c := newCluster(func() bool { return random.Float64() < loss })
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		for i := range entries {
			c.join(epoch, node(i))
		}
		rule := limitedRule()
		stable := rapid.Bool().Draw(t, "stable")
		allowed, changes := 0.0, 0
		weights := make([]float64, 10)
		now := epoch
		for i := 0; now.Before(epoch.Add(30 * time.Second)); i++ {
			now = now.Add(step)
			if i%10 == 0 {
				c.exchange(now)
			}
			if i%50 == 0 {
				for w := range weights {
					weights[w] = float64(rapid.IntRange(0, 3).Draw(t, "weight"))
				}
				if !stable {
					changes += c.change(t, now, &entries)
				}
			}
			for n, l := range c.entries {
				for range int(4 * weights[int(n[1]-'0')]) {
					if _, ok := l.Charge(now, rule, 1).(workspace.Allowed); ok {
						allowed++
					}
				}
			}
			// One burst for each entry that ever existed, and for each change what
			// the limit grants until all entries have noticed it.
			bound := perSecond * (now.Sub(epoch).Seconds() + float64(entries)*rule.Burst.Seconds() + float64(changes)*unreachableAfter.Seconds())
			require.LessOrEqual(t, allowed, bound)
		}
	})
}

// TestFractionsSumToAtMostOne shifts demand among a fixed set of entries while reports
// are lost. While no entry is unreachable, the fractions add up to at most one.
func TestFractionsSumToAtMostOne(t *testing.T) {
	checked := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c := newCluster(func() bool { return random.Float64() < loss })
		for i := range rapid.IntRange(2, 5).Draw(t, "entries") {
			c.join(epoch, node(i))
		}
		now, lastPartitioned := epoch, epoch
		weight := map[id.Node]int{}
		for range 60 {
			now = now.Add(workspace.TickInterval)
			for _, n := range c.nodes() {
				l := c.entries[n]
				if random.IntN(5) == 0 {
					weight[n] = random.IntN(4) * random.IntN(50)
				}
				for range weight[n] {
					l.Charge(now, limitedRule(), 1)
				}
			}
			c.exchange(now)
			sum := 0.0
			for _, l := range c.entries {
				sum += l.Fraction("nan")
				if l.ReportTo("").Partitioned { // a report to any entry tells it
					lastPartitioned = now
				}
			}
			if now.Sub(lastPartitioned) >= unreachableAfter {
				checked++
				require.LessOrEqual(t, sum, 1+1e-9)
			}
		}
	})
	require.NotZero(t, checked)
}

// change partitions two entries, heals all partitions, or lets an entry join or leave.
// It returns the number of changes, zero or one.
func (c *cluster) change(t *rapid.T, now time.Time, entries *int) int {
	pair := [2]id.Node{node(rapid.IntRange(0, 4).Draw(t, "from")), node(rapid.IntRange(0, 4).Draw(t, "to"))}
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		c.partitioned[pair] = true
	case 1:
		clear(c.partitioned)
	case 2:
		if *entries < 9 {
			c.join(now, node(*entries))
			*entries++
		}
	case 3:
		if len(c.entries) > 1 {
			delete(c.entries, pair[0])
		}
	default:
		return 0
	}
	return 1
}

// serve simulates demand for the given span and returns the requests per second that
// each entry allowed in the second half of it.
func (c *cluster) serve(from time.Time, span time.Duration, demand map[id.Node]int) map[id.Node]float64 {
	got := map[id.Node]float64{}
	rule := limitedRule()
	for i := 0; i < int(span/step); i++ {
		now := from.Add(time.Duration(i) * step)
		if i%10 == 0 {
			c.exchange(now)
		}
		for n, l := range c.entries {
			for range demand[n] {
				if _, ok := l.Charge(now, rule, 1).(workspace.Allowed); ok && i >= int(span/step)/2 {
					got[n] += 2 / span.Seconds()
				}
			}
		}
	}
	return got
}

// TestFractionsFollowDemand moves demand between entries and checks that the allowed
// rates follow.
func TestFractionsFollowDemand(t *testing.T) {
	c := newCluster(func() bool { return false })
	for i := range 4 {
		c.join(epoch, node(i))
	}
	cases := []struct {
		name   string
		demand map[id.Node]int     // requests per step; the limit allows 5 in total
		want   map[id.Node]float64 // requests per second: a tenth of the limit is split evenly, the rest by demand
	}{
		{"one entry", map[id.Node]int{"e0": 10}, map[id.Node]float64{"e0": 92.5}},
		{"another entry", map[id.Node]int{"e2": 10}, map[id.Node]float64{"e2": 92.5}},
		{"two unevenly", map[id.Node]int{"e1": 15, "e2": 5}, map[id.Node]float64{"e1": 70, "e2": 25}},
		{"all evenly", map[id.Node]int{"e0": 5, "e1": 5, "e2": 5, "e3": 5}, map[id.Node]float64{"e0": 25, "e1": 25, "e2": 25, "e3": 25}},
	}
	now := epoch
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			got := c.serve(now, 20*time.Second, k.demand)
			now = now.Add(20 * time.Second)
			for n, want := range k.want {
				require.InEpsilon(t, want, got[n], 0.15, "%v of %v", n, got)
			}
		})
	}
}

// TestPartitionedEntriesSplitEvenly cuts the connection between two of four entries
// and checks that all four fall back to an even split.
func TestPartitionedEntriesSplitEvenly(t *testing.T) {
	c := newCluster(func() bool { return false })
	demand := map[id.Node]int{}
	for i := range 4 {
		c.join(epoch, node(i))
		demand[node(i)] = 10
	}
	demand["e0"] = 100
	c.serve(epoch, 10*time.Second, demand)
	c.partitioned[[2]id.Node{"e0", "e1"}] = true
	got := c.serve(epoch.Add(10*time.Second), 20*time.Second, demand)
	for n, g := range got {
		require.InEpsilon(t, perSecond/4, g, 0.05, "%v of %v", n, got)
	}
}

// TestTokenChargesAreSettled charges expected tokens and settles with the actual ones.
// It checks that an overestimate is returned to the workspace, and that an underestimate
// becomes a debt that limits later requests.
func TestTokenChargesAreSettled(t *testing.T) {
	rule := &rule.Workspace{Name: "nan", TokensPerSecond: 100, Burst: time.Second}
	l := workspace.New(epoch, 1)
	now := epoch.Add(10 * time.Second)
	l.Tick(now) // the only entry gets the whole limit
	require.Equal(t, workspace.Allowed{}, l.Charge(now, rule, 60))
	require.IsType(t, workspace.Limited{}, l.Charge(now, rule, 60))
	l.Settle("nan", 60, 10)
	require.Equal(t, workspace.Allowed{}, l.Charge(now, rule, 60), "settling must have returned 50 tokens")
	l.Settle("nan", 60, 260)
	limited, ok := l.Charge(now.Add(time.Second), rule, 1).(workspace.Limited)
	require.True(t, ok, "the request must be limited: the workspace owes 200 tokens more than its limiter had")
	require.Positive(t, limited.RetryAfter)
	require.IsType(t, workspace.Limited{}, l.Charge(now.Add(2*time.Second), rule, 1), "the request must be limited: the limiter has just paid the debt and is empty")
	require.Equal(t, workspace.Allowed{}, l.Charge(now.Add(2100*time.Millisecond), rule, 1))
	require.Equal(t, workspace.Allowed{}, l.Charge(now.Add(20*time.Second), rule, 5000), "a request larger than a burst must be allowed when the bucket is full")
	require.IsType(t, workspace.Limited{}, l.Charge(now.Add(30*time.Second), rule, 1))
}

func BenchmarkCharge(b *testing.B) {
	l := workspace.New(epoch, 1)
	rules := make([]*rule.Workspace, 2100)
	for i := range rules {
		rules[i] = &rule.Workspace{Name: id.Workspace(fmt.Sprint("ws-", i)), RequestsPerSecond: 100, TokensPerSecond: 1e6, Burst: time.Second}
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		l.Charge(now, rules[i%len(rules)], 300)
	}
}
