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

var epoch = time.Unix(1_800_000_000, 0)

// ready returns the view of an upstream that accepts requests.
func ready(name string, limit, running int) upstream.View {
	return upstream.View{
		ID: id.Upstream(name), Node: id.Node("s-" + name), DataCentre: "a", Models: []id.Model{"m"}, LastHeard: epoch,
		Load: wire.Load{State: string(upstream.Ready), Limit: limit, Running: running},
	}
}

func newTable(views ...upstream.View) *upstream.Table {
	t := upstream.NewTable()
	for _, v := range views {
		t.Update(v)
	}
	return t
}

// TestEligibility checks that an upstream that cannot run a request is not chosen, and
// that Choose tells a full upstream from one that is not usable.
func TestEligibility(t *testing.T) {
	rules, err := rule.Parse("rules", "drain data_centre=b # test\n")
	require.NoError(t, err)
	cases := []struct {
		name   string
		change func(*upstream.View)
		req    Requirements
		want   Decision
	}{
		{"another model", func(*upstream.View) {}, Requirements{Model: "n"}, none},
		{"a service", func(*upstream.View) {}, Requirements{Service: "m"}, none},
		{"leaving", func(v *upstream.View) { v.Leaving = true }, Requirements{Model: "m"}, none},
		{"cold", func(v *upstream.View) { v.Load.State = string(upstream.Cold) }, Requirements{Model: "m"}, none},
		{"gone", func(v *upstream.View) { v.Load.State = string(upstream.Gone) }, Requirements{Model: "m"}, none},
		{"stale", func(v *upstream.View) { v.LastHeard = epoch.Add(-upstream.MinStaleAfter - 1) }, Requirements{Model: "m"}, none},
		{"drained data centre", func(v *upstream.View) { v.DataCentre = "b" }, Requirements{Model: "m"}, none},
		{"full", func(v *upstream.View) { v.Load.Running = 4 + Overcommit }, Requirements{Model: "m"}, full},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := ready("u", 4, 0)
			require.IsType(t, Chosen{}, Choose(epoch, rules, newTable(v), Requirements{Model: "m"}))
			require.IsType(t, Chosen{}, Choose(epoch, rules, newTable(v), Requirements{Model: "m", Avoid: []id.Upstream{"u"}}))
			c.change(&v)
			require.Equal(t, c.want, Choose(epoch, rules, newTable(v), c.req))
		})
	}
	leaving := newTable(ready("u", 4, 0))
	leaving.SetLeavingVMs(map[id.Node]struct{}{"s-u": {}})
	require.Equal(t, none, Choose(epoch, rules, leaving, Requirements{Model: "m"}))
	leaving.Update(ready("u", 4, 0))
	require.Equal(t, none, Choose(epoch, rules, leaving, Requirements{Model: "m"}), "a heartbeat must not change the set of leaving VMs")
	leaving.SetLeavingVMs(nil)
	require.IsType(t, Chosen{}, Choose(epoch, rules, leaving, Requirements{Model: "m"}))
}

// TestPrefixAffinity checks that a prefix stays on one upstream, moves only while that
// one is overloaded, and prefers an upstream that reports the prefix as cached.
func TestPrefixAffinity(t *testing.T) {
	rules := &rule.Set{}
	var views []upstream.View
	for i := range 20 {
		views = append(views, ready(fmt.Sprint("u", i), 16, 4))
	}
	table := newTable(views...)
	req := Requirements{Model: "m", Prefix: 77}
	preferred := Choose(epoch, rules, table, req).(Chosen).Upstream.ID
	require.Equal(t, preferred, Choose(epoch, rules, table, req).(Chosen).Upstream.ID)
	for range 8 {
		table.RequestSent(preferred)
	}
	require.NotEqual(t, preferred, Choose(epoch, rules, table, req).(Chosen).Upstream.ID)
	for range 8 {
		table.RequestEnded(preferred)
	}
	require.Equal(t, preferred, Choose(epoch, rules, table, req).(Chosen).Upstream.ID)
	caching := ready("u3", 16, 4)
	caching.Prefixes = map[uint64]struct{}{77: {}}
	table.Update(caching)
	require.EqualValues(t, "u3", Choose(epoch, rules, table, req).(Chosen).Upstream.ID)
}

// chooseReference is a simple implementation of Choose that sorts copies of all views.
func chooseReference(now time.Time, rules *rule.Set, views []upstream.View, req Requirements) (id.Upstream, bool) {
	type scored struct {
		v     upstream.View
		load  float64
		score uint64
	}
	var eligible, avoided []scored
	activeSum, limitSum := 0, 0
	for _, v := range views {
		acceptsRequests := v.Load.State == "ready" || v.Load.State == "warming"
		if !v.Serves(req.Model) || v.Leaving || !acceptsRequests || now.Sub(v.LastHeard) > upstream.MinStaleAfter || rules.Drained(v.DataCentre) {
			continue
		}
		active := v.Outstanding + v.Load.Running + v.Load.Waiting
		limit := max(1, v.Load.Limit)
		activeSum, limitSum = activeSum+active, limitSum+limit
		if active > v.Load.Limit {
			continue
		}
		c := scored{v, float64(active+1) / float64(limit), score(xxhash.Sum64String(string(v.ID)), req.Prefix) % (1 << 63)}
		if slices.Contains(req.Avoid, v.ID) {
			avoided = append(avoided, c)
		} else {
			eligible = append(eligible, c)
		}
	}
	byLoad := func(a, b scored) int { return cmp.Compare(a.load, b.load) }
	if len(eligible) == 0 {
		if len(avoided) == 0 {
			return "", limitSum > 0
		}
		slices.SortStableFunc(avoided, byLoad)
		return avoided[0].v.ID, true
	}
	top := slices.Clone(eligible)
	slices.SortStableFunc(top, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	top = top[:min(3, len(top))]
	mean := float64(activeSum+1) / float64(limitSum)
	if top[0].load <= 1 && top[0].load <= 1.25*mean+1/float64(max(1, top[0].v.Load.Limit)) {
		return top[0].v.ID, true
	}
	slices.SortStableFunc(top, byLoad)
	if top[0].load <= 1 {
		return top[0].v.ID, true
	}
	slices.SortStableFunc(eligible, byLoad)
	return eligible[0].v.ID, true
}

// TestChooseMatchesReference compares the decisions of Choose and of chooseReference on
// random tables.
func TestChooseMatchesReference(t *testing.T) {
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
			v.LastHeard = epoch.Add(-time.Duration(rapid.IntRange(0, 4).Draw(t, "age")) * time.Second)
			table.Update(v)
			for range rapid.IntRange(0, 3).Draw(t, "sent") {
				table.RequestSent(v.ID)
			}
		}
		req := Requirements{Model: "m", Prefix: rapid.Uint64().Draw(t, "prefix")}
		for i := range rapid.IntRange(0, 3).Draw(t, "avoid") {
			req.Avoid = append(req.Avoid, id.Upstream(fmt.Sprint("u", i)))
		}
		want, usable := chooseReference(epoch, rules, table.All(), req)
		switch d := Choose(epoch, rules, table, req).(type) {
		case Chosen:
			require.Equal(t, want, d.Upstream.ID)
		case *Full:
			require.True(t, usable && want == "")
		case *NoneUsable:
			require.False(t, usable)
		}
	})
}

// newFleetTable returns a table of the given size, with its upstreams spread over 28
// models and four data centres.
func newFleetTable(size int) *upstream.Table {
	t := upstream.NewTable()
	for i := range size {
		v := ready(fmt.Sprint("u", i), 16, i%12)
		v.Models = []id.Model{id.Model(fmt.Sprint("m", i%28))}
		v.DataCentre = id.DataCentre(fmt.Sprint("dc", i/28%4))
		t.Update(v)
	}
	return t
}

// TestChooseDoesNotAllocate checks that Choose, which runs for every request, allocates no
// memory.
func TestChooseDoesNotAllocate(t *testing.T) {
	table, rules := newFleetTable(2700), &rule.Set{}
	req := Requirements{Model: "m3", Prefix: 1}
	require.Zero(t, testing.AllocsPerRun(100, func() {
		req.Prefix++
		Choose(epoch, rules, table, req)
	}))
}

func BenchmarkChoose(b *testing.B) {
	table, req := newFleetTable(2700), Requirements{Model: "m3"}
	drained, err := rule.Parse("rules", "drain data_centre=dc1 # test\n")
	require.NoError(b, err)
	for name, rules := range map[string]*rule.Set{"plain": {}, "drained": drained} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req.Prefix++
				Choose(epoch, rules, table, req)
			}
		})
	}
}

func BenchmarkChooseReference(b *testing.B) {
	table, req := newFleetTable(2700), Requirements{Model: "m3"}
	for b.Loop() {
		req.Prefix++
		chooseReference(epoch, &rule.Set{}, table.All(), req)
	}
}

// TestSubsetCoversBothSides checks that every entry watches enough members, and that
// every member is watched by enough entries.
func TestSubsetCoversBothSides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := nodes("e", rapid.IntRange(1, 30).Draw(t, "entries"))
		members := nodes("s", rapid.IntRange(0, 60).Draw(t, "members"))
		watchers := make(map[id.Node]int)
		for _, e := range entries {
			own := Subset(e, entries, members)
			require.GreaterOrEqual(t, len(own), min(watchedPerEntry, len(members)))
			for _, m := range own {
				watchers[m]++
			}
		}
		for _, m := range members {
			require.GreaterOrEqual(t, watchers[m], min(entriesPerMember, len(entries)))
		}
	})
}

// TestSubsetSizeDoesNotGrow checks that, in a fleet with many more entries than
// members, an entry watches fewer than three members on average. The size of a subset
// depends on the ratio of entries to members, not on the size of the fleet.
func TestSubsetSizeDoesNotGrow(t *testing.T) {
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
