package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/id"
)

// newGroup returns a group whose upstreams have the given numbers of requests.
func newGroup(dc id.DataCentre, busy ...int) fleet.UpstreamGroup {
	g := fleet.UpstreamGroup{Model: "m", DataCentre: dc, Min: 1, Max: 8, Slots: 10}
	for i, b := range busy {
		g.Upstreams = append(g.Upstreams, fleet.Upstream{ID: id.Upstream(fmt.Sprint(dc, i)), Requests: b})
	}
	return g
}

// stepFor passes the same measurements to a planner for a time, and returns the actions
// of the last step.
func stepFor(p *fleet.Planner, from time.Time, d time.Duration, groups ...fleet.UpstreamGroup) (actions []fleet.Action) {
	for at := time.Duration(0); at <= d; at += 5 * time.Second {
		actions = p.Step(from.Add(at), groups)
	}
	return actions
}

// TestPlan passes unchanged measurements to a planner for a time, and checks the actions of
// the last step.
func TestPlan(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	short, long := 10*time.Second, 11*time.Minute
	coolingDown := newGroup("a", 10)
	coolingDown.LastOrderAt = now
	outOfService := newGroup("a", 10)
	outOfService.OutOfService = true
	loading := newGroup("a", 10)
	for i := range 3 {
		loading.Upstreams = append(loading.Upstreams, fleet.Upstream{ID: id.Upstream(fmt.Sprint("w", i)), Loading: true})
	}
	pending := newGroup("a", 10)
	pending.Pending = 1
	idle := newGroup("a", 0)
	idle.Drained = []fleet.DrainedUpstream{{ID: "x", DrainedFor: time.Second}}
	busy := newGroup("a", 0)
	busy.Drained = []fleet.DrainedUpstream{{ID: "x", Requests: 1, DrainedFor: time.Second}}
	drainEnding := newGroup("a", 0)
	drainEnding.Drained = []fleet.DrainedUpstream{{ID: "x", DrainedFor: fleet.DrainDuration / 2}}
	cases := []struct {
		name     string
		duration time.Duration
		groups   []fleet.UpstreamGroup
		want     []fleet.Action
	}{
		{"not measured long enough", 5 * time.Second, []fleet.UpstreamGroup{newGroup("a", 10)}, nil},
		{"a single data centre gets no reserve", short, []fleet.UpstreamGroup{newGroup("a", 10)}, []fleet.Action{&fleet.StartAction{Model: "m", DataCentre: "a", Count: 1}}},
		{"each of two data centres can serve the whole demand", short, []fleet.UpstreamGroup{newGroup("a", 7), newGroup("b", 7)}, []fleet.Action{
			&fleet.StartAction{Model: "m", DataCentre: "a", Count: 1}, &fleet.StartAction{Model: "m", DataCentre: "b", Count: 1},
		}},
		{"within the cooldown of the last order", short, []fleet.UpstreamGroup{coolingDown}, nil},
		{"ordered and not started yet", short, []fleet.UpstreamGroup{pending}, nil},
		{"data centre drained by operators", short, []fleet.UpstreamGroup{outOfService}, nil},
		{"too many upstreams are loading weights", short, []fleet.UpstreamGroup{loading, newGroup("b", 10, 10)}, []fleet.Action{&fleet.StartAction{Model: "m", DataCentre: "a", Count: 1}}},
		{"need lower for too short a time", time.Minute, []fleet.UpstreamGroup{newGroup("a", 0, 0)}, nil},
		{"need lower for the whole delay", long, []fleet.UpstreamGroup{newGroup("a", 1, 0)}, []fleet.Action{&fleet.DrainAction{Model: "m", DataCentre: "a", Upstream: "a1"}}},
		{"never below the minimum", long, []fleet.UpstreamGroup{newGroup("a", 0)}, nil},
		{"drained and idle", long, []fleet.UpstreamGroup{idle}, []fleet.Action{&fleet.StopAction{Model: "m", DataCentre: "a", Upstream: "x"}}},
		{"drained and busy", long, []fleet.UpstreamGroup{busy}, nil},
		{"the drain is about to end", long, []fleet.UpstreamGroup{drainEnding}, []fleet.Action{&fleet.DrainAction{Model: "m", DataCentre: "a", Upstream: "x"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, stepFor(fleet.NewPlanner(fleet.DefaultConfig()), now, c.duration, c.groups...))
		})
	}
}

// TestRestartsAfterSampleGap checks that a planner without measurements for an hour stops
// nothing until it has measured for the whole ScaleDownDelay again.
func TestRestartsAfterSampleGap(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := fleet.NewPlanner(fleet.DefaultConfig())
	require.NotEmpty(t, stepFor(p, now, 11*time.Minute, newGroup("a", 0, 0)))
	require.Empty(t, p.Step(now.Add(time.Hour), []fleet.UpstreamGroup{newGroup("a", 0, 0)}), "nothing must be stopped without measurements")
	require.Empty(t, stepFor(p, now.Add(time.Hour), 9*time.Minute, newGroup("a", 0, 0)))
}

// TestSingleLostResponseStartsNothing checks that an upstream is started only if another
// one is missing in consecutive measurements, not in single ones.
func TestSingleLostResponseStartsNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := fleet.NewPlanner(fleet.DefaultConfig())
	whole, lost := newGroup("a", 1, 1), newGroup("a", 1)
	whole.Min, lost.Min = 2, 2
	require.Empty(t, stepFor(p, now, time.Minute, whole))
	require.Empty(t, p.Step(now.Add(65*time.Second), []fleet.UpstreamGroup{lost}))
	require.Empty(t, p.Step(now.Add(70*time.Second), []fleet.UpstreamGroup{whole}))
	require.Empty(t, p.Step(now.Add(75*time.Second), []fleet.UpstreamGroup{lost}))
	require.NotEmpty(t, p.Step(now.Add(85*time.Second), []fleet.UpstreamGroup{lost}))
}

// TestActionsRespectLimits steps a planner with random demand. It checks that every
// action stays within the limits of the group and stops only drained, idle upstreams.
func TestActionsRespectLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := fleet.NewPlanner(fleet.DefaultConfig())
		now := time.Unix(1_000_000, 0)
		for range 60 {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{5, 5, 5, 5, 10, 700}).Draw(rt, "seconds")) * time.Second)
			var groups []fleet.UpstreamGroup
			for _, dc := range []id.DataCentre{"a", "b", "c"} {
				g := newGroup(dc, rapid.SliceOfN(rapid.IntRange(0, 15), 0, 9).Draw(rt, "busy")...)
				g.Drained = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleet.DrainedUpstream {
					return fleet.DrainedUpstream{ID: "x", Requests: rapid.IntRange(0, 1).Draw(t, "work")}
				}), 0, 1).Draw(rt, "drained")
				groups = append(groups, g)
			}
			starts := 0
			for _, action := range p.Step(now, groups) {
				switch action := action.(type) {
				case *fleet.StartAction:
					g := groups[action.DataCentre[0]-'a']
					require.LessOrEqual(rt, len(g.Upstreams)+action.Count, g.Max)
					starts += action.Count
				case *fleet.DrainAction:
					require.Greater(rt, len(groups[action.DataCentre[0]-'a'].Upstreams), 1)
				case *fleet.StopAction:
					require.Zero(rt, groups[action.DataCentre[0]-'a'].Drained[0].Requests)
				}
			}
			require.LessOrEqual(rt, starts, fleet.DefaultConfig().MaxStarting)
		}
	})
}
