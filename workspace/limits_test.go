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
	step      = 50 * time.Millisecond
	perSecond = 100.0 // requests and tokens of the rule
	notice    = 2 * time.Second
)

func limit() *rule.Workspace {
	return &rule.Workspace{Name: "nan", RequestsPerSecond: perSecond, TokensPerSecond: perSecond, Burst: time.Second}
}

// cluster is a few entries that exchange reports, some of which are lost.
type cluster struct {
	entries map[id.Node]*workspace.Limits
	cut     map[[2]id.Node]bool
	lost    func() bool
}

func newCluster(lost func() bool) *cluster {
	return &cluster{entries: map[id.Node]*workspace.Limits{}, cut: map[[2]id.Node]bool{}, lost: lost}
}

func node(i int) id.Node { return id.Node(fmt.Sprint("e", i)) }

func (c *cluster) join(now time.Time, n id.Node) {
	c.entries[n] = workspace.New(now, id.Incarnation(now.UnixNano()))
}

// nodes returns the entries in order, so that a seed gives the same run again.
func (c *cluster) nodes() []id.Node { return slices.Sorted(maps.Keys(c.entries)) }

// beat lets every pair exchange a request and an answer.
func (c *cluster) beat(now time.Time) {
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
			if a == b || c.cut[[2]id.Node{a, b}] || c.cut[[2]id.Node{b, a}] || c.lost() {
				continue
			}
			lb.Receive(now, a, la.ReportTo(b))
			if !c.lost() {
				la.Receive(now, b, lb.ReportTo(a))
			}
		}
	}
	for _, l := range c.entries {
		l.Tick(now)
	}
}

// TestSumWithinLimit runs entries with changing demand that join, leave, part and
// meet again, with reports lost, and adds up what they let through.
func TestSumWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c := newCluster(func() bool { return random.Float64() < loss })
		entries := rapid.IntRange(1, 5).Draw(t, "entries")
		for i := range entries {
			c.join(epoch, node(i))
		}
		rule := limit()
		stable := rapid.Bool().Draw(t, "stable")
		spent, changes := 0.0, 0
		weights := make([]float64, 10)
		now := epoch
		for i := 0; now.Before(epoch.Add(30 * time.Second)); i++ {
			now = now.Add(step)
			if i%10 == 0 {
				c.beat(now)
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
						spent++
					}
				}
			}
			// A burst of each entry that ever was, and for each change the limit of
			// the time until all have noticed.
			bound := perSecond * (now.Sub(epoch).Seconds() + float64(entries)*rule.Burst.Seconds() + float64(changes)*notice.Seconds())
			require.LessOrEqual(t, spent, bound)
		}
	})
}

// TestPartsSumToOne changes demand among entries that stay the same, with reports
// lost. As long as none is out of touch, their parts add up to one at most.
func TestPartsSumToOne(t *testing.T) {
	checked := 0
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		c := newCluster(func() bool { return random.Float64() < loss })
		for i := range rapid.IntRange(2, 5).Draw(t, "entries") {
			c.join(epoch, node(i))
		}
		now, touch := epoch, epoch
		weight := map[id.Node]int{}
		for range 60 {
			now = now.Add(workspace.TickInterval)
			for _, n := range c.nodes() {
				l := c.entries[n]
				if random.IntN(5) == 0 {
					weight[n] = random.IntN(4) * random.IntN(50)
				}
				for range weight[n] {
					l.Charge(now, limit(), 1)
				}
			}
			c.beat(now)
			sum := 0.0
			for _, l := range c.entries {
				sum += l.Fraction("nan")
				if l.ReportTo("").Partitioned {
					touch = now
				}
			}
			if now.Sub(touch) >= notice {
				checked++
				require.LessOrEqual(t, sum, 1+1e-9)
			}
		}
	})
	require.NotZero(t, checked)
}

// change parts two entries, lets them meet, or has one join or leave.
func (c *cluster) change(t *rapid.T, now time.Time, entries *int) int {
	pair := [2]id.Node{node(rapid.IntRange(0, 4).Draw(t, "from")), node(rapid.IntRange(0, 4).Draw(t, "to"))}
	switch rapid.IntRange(0, 5).Draw(t, "change") {
	case 0:
		c.cut[pair] = true
	case 1:
		clear(c.cut)
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

// run serves demand for a while and returns what each entry let through a second
// in its second half.
func (c *cluster) run(from time.Time, span time.Duration, demand map[id.Node]int) map[id.Node]float64 {
	got := map[id.Node]float64{}
	rule := limit()
	for i := 0; i < int(span/step); i++ {
		now := from.Add(time.Duration(i) * step)
		if i%10 == 0 {
			c.beat(now)
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

// TestPartsFollowDemand moves all demand from one entry to another.
func TestPartsFollowDemand(t *testing.T) {
	c := newCluster(func() bool { return false })
	for i := range 4 {
		c.join(epoch, node(i))
	}
	cases := []struct {
		name   string
		demand map[id.Node]int // in each step, of 5 that the limit gives
		want   map[id.Node]float64
	}{
		{"one entry", map[id.Node]int{"e0": 10}, map[id.Node]float64{"e0": 92.5}},
		{"another entry", map[id.Node]int{"e2": 10}, map[id.Node]float64{"e2": 92.5}},
		{"two unevenly", map[id.Node]int{"e1": 15, "e2": 5}, map[id.Node]float64{"e1": 70, "e2": 25}},
		{"all evenly", map[id.Node]int{"e0": 5, "e1": 5, "e2": 5, "e3": 5}, map[id.Node]float64{"e0": 25, "e1": 25, "e2": 25, "e3": 25}},
	}
	now := epoch
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			got := c.run(now, 20*time.Second, k.demand)
			now = now.Add(20 * time.Second)
			for n, want := range k.want {
				require.InEpsilon(t, want, got[n], 0.15, "%v of %v", n, got)
			}
		})
	}
}

// TestParted cuts two entries off: each gets the limit over the number of entries.
func TestParted(t *testing.T) {
	c := newCluster(func() bool { return false })
	demand := map[id.Node]int{}
	for i := range 4 {
		c.join(epoch, node(i))
		demand[node(i)] = 10
	}
	demand["e0"] = 100
	c.run(epoch, 10*time.Second, demand)
	c.cut[[2]id.Node{"e0", "e1"}] = true
	got := c.run(epoch.Add(10*time.Second), 20*time.Second, demand)
	for n, g := range got {
		require.InEpsilon(t, perSecond/4, g, 0.05, "%v of %v", n, got)
	}
}

// TestTokens charges by estimate and settles.
func TestTokens(t *testing.T) {
	rule := &rule.Workspace{Name: "nan", TokensPerSecond: 100, Burst: time.Second}
	l := workspace.New(epoch, 1)
	now := epoch.Add(10 * time.Second)
	l.Tick(now) // alone
	require.Equal(t, workspace.Allowed{}, l.Charge(now, rule, 60))
	require.IsType(t, workspace.Limited{}, l.Charge(now, rule, 60))
	l.Settle("nan", 60, 10)
	require.Equal(t, workspace.Allowed{}, l.Charge(now, rule, 60), "50 tokens came back")
	l.Settle("nan", 60, 260)
	limited, ok := l.Charge(now.Add(time.Second), rule, 1).(workspace.Limited)
	require.True(t, ok, "owes 200 tokens more than it had")
	require.Positive(t, limited.RetryAfter)
	require.IsType(t, workspace.Limited{}, l.Charge(now.Add(2*time.Second), rule, 1), "has just paid its debt")
	require.Equal(t, workspace.Allowed{}, l.Charge(now.Add(2100*time.Millisecond), rule, 1))
	require.Equal(t, workspace.Allowed{}, l.Charge(now.Add(20*time.Second), rule, 5000), "dearer than a burst")
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
