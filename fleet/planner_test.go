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

// site returns a site with upstreams that are each busy with the given work.
func site(dc id.DataCentre, busy ...int) fleet.UpstreamGroup {
	s := fleet.UpstreamGroup{Model: "m", DataCentre: dc, Min: 1, Max: 8, Slots: 10}
	for i, b := range busy {
		s.Upstreams = append(s.Upstreams, fleet.Upstream{ID: id.Upstream(fmt.Sprint(dc, i)), Requests: b})
	}
	return s
}

// steady feeds the same sites for a time and returns the last moves.
func steady(p *fleet.Planner, from time.Time, d time.Duration, sites ...fleet.UpstreamGroup) (moves []fleet.Action) {
	for at := time.Duration(0); at <= d; at += 5 * time.Second {
		moves = p.Step(from.Add(at), sites)
	}
	return moves
}

func TestPlan(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	short, long := 10*time.Second, 11*time.Minute
	settling := site("a", 10)
	settling.LastOrderAt = now
	closed := site("a", 10)
	closed.OutOfService = true
	warming := site("a", 10)
	for i := range 3 {
		warming.Upstreams = append(warming.Upstreams, fleet.Upstream{ID: id.Upstream(fmt.Sprint("w", i)), Warming: true})
	}
	pending := site("a", 10)
	pending.Pending = 1
	idle := site("a", 0)
	idle.Drained = []fleet.DrainedUpstream{{ID: "x", DrainedFor: time.Second}}
	busy := site("a", 0)
	busy.Drained = []fleet.DrainedUpstream{{ID: "x", Requests: 1, DrainedFor: time.Second}}
	old := site("a", 0)
	old.Drained = []fleet.DrainedUpstream{{ID: "x", DrainedFor: fleet.DrainDuration / 2}}
	cases := []struct {
		name  string
		lasts time.Duration
		sites []fleet.UpstreamGroup
		want  []fleet.Action
	}{
		{"not measured long enough", 5 * time.Second, []fleet.UpstreamGroup{site("a", 10)}, nil},
		{"one data centre has no reserve", short, []fleet.UpstreamGroup{site("a", 10)}, []fleet.Action{&fleet.StartAction{Model: "m", DataCentre: "a", Count: 1}}},
		{"either of two bears all", short, []fleet.UpstreamGroup{site("a", 7), site("b", 7)}, []fleet.Action{
			&fleet.StartAction{Model: "m", DataCentre: "a", Count: 1}, &fleet.StartAction{Model: "m", DataCentre: "b", Count: 1},
		}},
		{"the last order has not settled", short, []fleet.UpstreamGroup{settling}, nil},
		{"ordered and not seen yet", short, []fleet.UpstreamGroup{pending}, nil},
		{"taken out by operators", short, []fleet.UpstreamGroup{closed}, nil},
		{"the weight store is busy", short, []fleet.UpstreamGroup{warming, site("b", 10, 10)}, []fleet.Action{&fleet.StartAction{Model: "m", DataCentre: "a", Count: 1}}},
		{"lower only for a while", time.Minute, []fleet.UpstreamGroup{site("a", 0, 0)}, nil},
		{"lower for the hold time", long, []fleet.UpstreamGroup{site("a", 1, 0)}, []fleet.Action{&fleet.DrainAction{Model: "m", DataCentre: "a", Upstream: "a1"}}},
		{"never below the least", long, []fleet.UpstreamGroup{site("a", 0)}, nil},
		{"drained and idle", long, []fleet.UpstreamGroup{idle}, []fleet.Action{&fleet.StopAction{Model: "m", DataCentre: "a", Upstream: "x"}}},
		{"drained and busy", long, []fleet.UpstreamGroup{busy}, nil},
		{"the drain is about to end", long, []fleet.UpstreamGroup{old}, []fleet.Action{&fleet.DrainAction{Model: "m", DataCentre: "a", Upstream: "x"}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, steady(fleet.NewPlanner(fleet.DefaultConfig()), now, c.lasts, c.sites...))
		})
	}
}

func TestMeasuresAgainAfterAGap(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := fleet.NewPlanner(fleet.DefaultConfig())
	require.NotEmpty(t, steady(p, now, 11*time.Minute, site("a", 0, 0)))
	require.Empty(t, p.Step(now.Add(time.Hour), []fleet.UpstreamGroup{site("a", 0, 0)}), "nothing is stopped on what is not known")
	require.Empty(t, steady(p, now.Add(time.Hour), 9*time.Minute, site("a", 0, 0)))
}

func TestOneLostAnswerStartsNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := fleet.NewPlanner(fleet.DefaultConfig())
	whole, lost := site("a", 1, 1), site("a", 1)
	whole.Min, lost.Min = 2, 2
	require.Empty(t, steady(p, now, time.Minute, whole))
	require.Empty(t, p.Step(now.Add(65*time.Second), []fleet.UpstreamGroup{lost}))
	require.Empty(t, p.Step(now.Add(70*time.Second), []fleet.UpstreamGroup{whole}))
	require.Empty(t, p.Step(now.Add(75*time.Second), []fleet.UpstreamGroup{lost}))
	require.NotEmpty(t, p.Step(now.Add(85*time.Second), []fleet.UpstreamGroup{lost}))
}

// TestBounds lets random demand pass and requires of each move that it keeps the
// bounds of the rules and stops nothing that was not drained.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := fleet.NewPlanner(fleet.DefaultConfig())
		now := time.Unix(1_000_000, 0)
		for range 60 {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{5, 5, 5, 5, 10, 700}).Draw(rt, "seconds")) * time.Second)
			var sites []fleet.UpstreamGroup
			for _, dc := range []id.DataCentre{"a", "b", "c"} {
				s := site(dc, rapid.SliceOfN(rapid.IntRange(0, 15), 0, 9).Draw(rt, "busy")...)
				s.Drained = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleet.DrainedUpstream {
					return fleet.DrainedUpstream{ID: "x", Requests: rapid.IntRange(0, 1).Draw(t, "work")}
				}), 0, 1).Draw(rt, "drained")
				sites = append(sites, s)
			}
			starts := 0
			for _, m := range p.Step(now, sites) {
				switch m := m.(type) {
				case *fleet.StartAction:
					s := sites[m.DataCentre[0]-'a']
					require.LessOrEqual(rt, len(s.Upstreams)+m.Count, s.Max)
					starts += m.Count
				case *fleet.DrainAction:
					require.Greater(rt, len(sites[m.DataCentre[0]-'a'].Upstreams), 1)
				case *fleet.StopAction:
					require.Zero(rt, sites[m.DataCentre[0]-'a'].Drained[0].Requests)
				}
			}
			require.LessOrEqual(rt, starts, fleet.DefaultConfig().MaxStarting)
		}
	})
}
