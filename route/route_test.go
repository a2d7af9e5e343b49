package route

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/id"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

var t0 = time.Unix(1_800_000_000, 0)

// ready returns the view of an upstream that takes work.
func ready(name string, limit, running int) upstream.View {
	return upstream.View{
		ID: id.Upstream(name), Node: id.Node("s-" + name), DataCentre: "a", Models: []id.Model{"m"}, LastHeard: t0,
		Load: wire.Load{State: string(upstream.Ready), Limit: limit, Running: running},
	}
}

func tableOf(views ...upstream.View) *upstream.Table {
	t := upstream.NewTable()
	for _, v := range views {
		t.Update(v)
	}
	return t
}

func TestEligible(t *testing.T) {
	rules, err := rule.Parse("rules", "drain data_centre=b # test\n")
	require.NoError(t, err)
	cases := []struct {
		name   string
		change func(*upstream.View)
		ask    Requirements
		want   Decision
	}{
		{"another model", func(*upstream.View) {}, Requirements{Model: "n"}, none},
		{"a service", func(*upstream.View) {}, Requirements{Service: "m"}, none},
		{"leaving", func(v *upstream.View) { v.Leaving = true }, Requirements{Model: "m"}, none},
		{"cold", func(v *upstream.View) { v.Load.State = string(upstream.Cold) }, Requirements{Model: "m"}, none},
		{"gone", func(v *upstream.View) { v.Load.State = string(upstream.Gone) }, Requirements{Model: "m"}, none},
		{"stale", func(v *upstream.View) { v.LastHeard = t0.Add(-upstream.MinStaleAfter - 1) }, Requirements{Model: "m"}, none},
		{"drained data centre", func(v *upstream.View) { v.DataCentre = "b" }, Requirements{Model: "m"}, none},
		{"full", func(v *upstream.View) { v.Load.Running = 4 + Overcommit }, Requirements{Model: "m"}, full},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := ready("u", 4, 0)
			require.IsType(t, Chosen{}, Choose(t0, rules, tableOf(v), Requirements{Model: "m"}))
			require.IsType(t, Chosen{}, Choose(t0, rules, tableOf(v), Requirements{Model: "m", Avoid: []id.Upstream{"u"}}))
			c.change(&v)
			require.Equal(t, c.want, Choose(t0, rules, tableOf(v), c.ask))
		})
	}
	departing := tableOf(ready("u", 4, 0))
	departing.SetLeavingVMs(map[id.Node]struct{}{"s-u": {}})
	require.Equal(t, none, Choose(t0, rules, departing, Requirements{Model: "m"}))
	departing.Update(ready("u", 4, 0))
	require.Equal(t, none, Choose(t0, rules, departing, Requirements{Model: "m"}), "a heartbeat changes nothing about the list")
	departing.SetLeavingVMs(nil)
	require.IsType(t, Chosen{}, Choose(t0, rules, departing, Requirements{Model: "m"}))
}

// A prefix stays on one upstream, and moves only for a while when that is loaded.
func TestAffinity(t *testing.T) {
	rules := &rule.Set{}
	var views []upstream.View
	for i := range 20 {
		views = append(views, ready(fmt.Sprint("u", i), 16, 4))
	}
	table := tableOf(views...)
	ask := Requirements{Model: "m", Prefix: 77}
	home := Choose(t0, rules, table, ask).(Chosen).Upstream.ID
	require.Equal(t, home, Choose(t0, rules, table, ask).(Chosen).Upstream.ID)
	for range 8 {
		table.RequestSent(home)
	}
	require.NotEqual(t, home, Choose(t0, rules, table, ask).(Chosen).Upstream.ID)
	for range 8 {
		table.RequestEnded(home)
	}
	require.Equal(t, home, Choose(t0, rules, table, ask).(Chosen).Upstream.ID)
	hinted := ready("u3", 16, 4)
	hinted.Prefixes = map[uint64]struct{}{77: {}}
	table.Update(hinted)
	require.EqualValues(t, "u3", Choose(t0, rules, table, ask).(Chosen).Upstream.ID)
}

// naive chooses by sorting copies of everything.
func naive(now time.Time, rules *rule.Set, views []upstream.View, ask Requirements) (id.Upstream, bool) {
	type row struct {
		v        upstream.View
		pressure float64
		score    uint64
	}
	var open, avoided []row
	busySum, limitSum := 0, 0
	for _, v := range views {
		takes := v.Load.State == "ready" || v.Load.State == "warming"
		if !v.Serves(ask.Model) || v.Leaving || !takes || now.Sub(v.LastHeard) > upstream.MinStaleAfter || rules.Drained(v.DataCentre) {
			continue
		}
		busy := v.Outstanding + v.Load.Running + v.Load.Waiting
		limit := max(1, v.Load.Limit)
		busySum, limitSum = busySum+busy, limitSum+limit
		if busy > v.Load.Limit {
			continue
		}
		x := row{v, float64(busy+1) / float64(limit), score(xxhash.Sum64String(string(v.ID)), ask.Prefix) % (1 << 63)}
		if slices.Contains(ask.Avoid, v.ID) {
			avoided = append(avoided, x)
		} else {
			open = append(open, x)
		}
	}
	byPressure := func(a, b row) int { return cmp.Compare(a.pressure, b.pressure) }
	if len(open) == 0 {
		if len(avoided) == 0 {
			return "", limitSum > 0
		}
		slices.SortStableFunc(avoided, byPressure)
		return avoided[0].v.ID, true
	}
	top := slices.Clone(open)
	slices.SortStableFunc(top, func(a, b row) int { return cmp.Compare(b.score, a.score) })
	top = top[:min(3, len(top))]
	mean := float64(busySum+1) / float64(limitSum)
	if top[0].pressure <= 1 && top[0].pressure <= 1.25*mean+1/float64(max(1, top[0].v.Load.Limit)) {
		return top[0].v.ID, true
	}
	slices.SortStableFunc(top, byPressure)
	if top[0].pressure <= 1 {
		return top[0].v.ID, true
	}
	slices.SortStableFunc(open, byPressure)
	return open[0].v.ID, true
}

func TestChooseAgreesWithNaive(t *testing.T) {
	rules, err := rule.Parse("rules", "drain data_centre=b # test\n")
	require.NoError(t, err)
	states := []upstream.State{upstream.Ready, upstream.Ready, upstream.Warming, upstream.Cold, upstream.Gone}
	rapid.Check(t, func(t *rapid.T) {
		table := upstream.NewTable()
		for i := range rapid.IntRange(0, 12).Draw(t, "upstreams") {
			v := ready(fmt.Sprint("u", i), rapid.IntRange(0, 8).Draw(t, "limit"), rapid.IntRange(0, 9).Draw(t, "running"))
			v.Load.State = string(rapid.SampledFrom(states).Draw(t, "state"))
			v.DataCentre = rapid.SampledFrom([]id.DataCentre{"a", "a", "b"}).Draw(t, "dc")
			v.Models = rapid.SampledFrom([][]id.Model{{"m"}, {"m", "n"}, {"n"}}).Draw(t, "models")
			v.LastHeard = t0.Add(-time.Duration(rapid.IntRange(0, 4).Draw(t, "age")) * time.Second)
			table.Update(v)
			for range rapid.IntRange(0, 3).Draw(t, "sent") {
				table.RequestSent(v.ID)
			}
		}
		ask := Requirements{Model: "m", Prefix: rapid.Uint64().Draw(t, "prefix")}
		for i := range rapid.IntRange(0, 3).Draw(t, "avoid") {
			ask.Avoid = append(ask.Avoid, id.Upstream(fmt.Sprint("u", i)))
		}
		want, usable := naive(t0, rules, table.All(), ask)
		switch d := Choose(t0, rules, table, ask).(type) {
		case Chosen:
			require.Equal(t, want, d.Upstream.ID)
		case *Full:
			require.True(t, usable && want == "")
		case *NoneUsable:
			require.False(t, usable)
		}
	})
}

// fleet returns a table of the given size, its upstreams spread over 28 models and
// four data centres.
func fleet(size int) *upstream.Table {
	t := upstream.NewTable()
	for i := range size {
		v := ready(fmt.Sprint("u", i), 16, i%12)
		v.Models = []id.Model{id.Model(fmt.Sprint("m", i%28))}
		v.DataCentre = id.DataCentre(fmt.Sprint("dc", i/28%4))
		t.Update(v)
	}
	return t
}

func TestChooseDoesNotAllocate(t *testing.T) {
	table, rules := fleet(2700), &rule.Set{}
	ask := Requirements{Model: "m3", Prefix: 1}
	require.Zero(t, testing.AllocsPerRun(100, func() {
		ask.Prefix++
		Choose(t0, rules, table, ask)
	}))
}

func BenchmarkChoose(b *testing.B) {
	table, ask := fleet(2700), Requirements{Model: "m3"}
	drained, err := rule.Parse("rules", "drain data_centre=dc1 # test\n")
	require.NoError(b, err)
	for name, rules := range map[string]*rule.Set{"plain": {}, "drained": drained} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ask.Prefix++
				Choose(t0, rules, table, ask)
			}
		})
	}
}

func BenchmarkNaiveChoose(b *testing.B) {
	table, ask := fleet(2700), Requirements{Model: "m3"}
	for b.Loop() {
		ask.Prefix++
		naive(t0, &rule.Set{}, table.All(), ask)
	}
}

func TestSubsetCoversBothSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := nodes("e", rapid.IntRange(1, 30).Draw(t, "entries"))
		members := nodes("s", rapid.IntRange(0, 60).Draw(t, "members"))
		watchers := make(map[id.Node]int)
		for _, e := range entries {
			own := Subset(e, entries, members)
			require.GreaterOrEqual(t, len(own), min(watchEach, len(members)))
			for _, m := range own {
				watchers[m]++
			}
		}
		for _, m := range members {
			require.GreaterOrEqual(t, watchers[m], min(watchersEach, len(entries)))
		}
	})
}

// What one entry watches grows with the fleet only as far as entries and members
// grow apart.
func TestSubsetStaysFlat(t *testing.T) {
	total := 0
	entries, members := nodes("e", 400), nodes("s", 24)
	for _, e := range entries {
		total += len(Subset(e, entries, members))
	}
	require.Less(t, float64(total)/400, 3.0)
}

func nodes(prefix string, n int) []id.Node {
	list := make([]id.Node, n)
	for i := range list {
		list[i] = id.Node(fmt.Sprint(prefix, i))
	}
	return list
}
