package fleet_test

// A day of demand against a fleet that is planned, and against fleets of fixed
// size: what is spent, and what part of the demand finds a slot.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/id"
)

const (
	dayStep    = 5 * time.Second
	dayLength  = 24 * time.Hour
	warmUp     = 90 * time.Second // a new upstream bears a quarter until then
	daySlots   = 16
	dayMin     = 1
	dayMax     = 6
	lossFrom   = 13 * time.Hour // one data centre is lost at the peak
	lossTo     = 14 * time.Hour
	burstFrom  = 17 * time.Hour
	burstTo    = 17*time.Hour + 20*time.Minute
	dayCentres = 4
)

// demand is the requests that run or wait: low at night, high at noon, a burst of
// three times as much, and noise.
func demand(at time.Duration, rng *rand.Rand) float64 {
	d := 120 - 100*math.Cos(2*math.Pi*at.Hours()/24)
	if at >= burstFrom && at < burstTo {
		d *= 3
	}
	return max(0, d*(1+0.1*rng.NormFloat64()))
}

// day is the state of the simulated fleet: the start time of every upstream.
type day struct {
	started [dayCentres]map[id.Upstream]time.Duration
	drained [dayCentres]map[id.Upstream]time.Duration
	ordered [dayCentres]time.Duration
	next    int
	starts  int

	upstreamSeconds float64
	wanted, served  float64
	worst           float64
}

func newDay(each int) *day {
	d := &day{worst: 1}
	for c := range dayCentres {
		d.started[c], d.drained[c] = make(map[id.Upstream]time.Duration), make(map[id.Upstream]time.Duration)
		d.ordered[c] = -time.Hour
		d.start(c, each, -time.Hour)
	}
	d.starts = 0
	return d
}

func (d *day) start(c, n int, at time.Duration) {
	for range n {
		d.next++
		d.starts++
		d.started[c][id.Upstream(fmt.Sprintf("u%05d", d.next))] = at
	}
}

func lost(c int, at time.Duration) bool { return c == 0 && at >= lossFrom && at < lossTo }

// serve counts one step and returns the load of each upstream, as a part of its slots.
func (d *day) serve(at time.Duration, wanted float64) float64 {
	capacity := 0.0
	for c := range dayCentres {
		d.upstreamSeconds += float64(len(d.started[c])+len(d.drained[c])) * dayStep.Seconds()
		if lost(c, at) {
			continue
		}
		for _, s := range d.started[c] {
			if at-s >= warmUp {
				capacity += daySlots
			} else {
				capacity += daySlots / 4
			}
		}
	}
	served := min(wanted, capacity)
	d.wanted += wanted
	d.served += served
	if wanted > 0 {
		d.worst = min(d.worst, served/wanted)
	}
	return wanted / max(capacity, 1)
}

// sites is what a planner measures.
func (d *day) sites(at time.Duration, load float64) []fleet.UpstreamGroup {
	var sites []fleet.UpstreamGroup
	for c := range dayCentres {
		s := fleet.UpstreamGroup{
			Model: "m", DataCentre: id.DataCentre(fmt.Sprint("dc", c)), Min: dayMin, Max: dayMax,
			Slots: daySlots, LastOrderAt: dayStart.Add(d.ordered[c]),
		}
		for u, started := range d.started[c] {
			if lost(c, at) {
				continue
			}
			up := fleet.Upstream{ID: u, Warming: at-started < warmUp, Requests: int(min(load, 1) * daySlots)}
			if up.Warming {
				up.Requests /= 4
			}
			s.Upstreams = append(s.Upstreams, up)
		}
		for u, since := range d.drained[c] {
			s.Drained = append(s.Drained, fleet.DrainedUpstream{ID: u, DrainedFor: at - since})
		}
		sites = append(sites, s)
	}
	return sites
}

var dayStart = time.Unix(1_000_000, 0)

func (d *day) carryOut(t testing.TB, at time.Duration, moves []fleet.Action) {
	for _, m := range moves {
		switch m := m.(type) {
		case *fleet.StartAction:
			c := int(m.DataCentre[2] - '0')
			d.ordered[c] = at
			if !lost(c, at) {
				d.start(c, m.Count, at)
			}
		case *fleet.DrainAction:
			c := int(m.DataCentre[2] - '0')
			delete(d.started[c], m.Upstream)
			d.drained[c][m.Upstream] = at
		case *fleet.StopAction:
			c := int(m.DataCentre[2] - '0')
			require.Contains(t, d.drained[c], m.Upstream, "stopped without draining")
			delete(d.drained[c], m.Upstream)
			d.ordered[c] = at
		}
	}
	for c := range dayCentres {
		require.LessOrEqual(t, len(d.started[c])+len(d.drained[c]), dayMax+1)
	}
}

// run lets a day pass; planner nil keeps the fleet as it is.
func (d *day) run(t testing.TB, planner *fleet.Planner, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for at := time.Duration(0); at < dayLength; at += dayStep {
		load := d.serve(at, demand(at, rng))
		if planner != nil {
			d.carryOut(t, at, planner.Step(dayStart.Add(at), d.sites(at, load)))
		}
	}
}

func TestDayAgainstStatic(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		static, planned := newDay(dayMax), newDay(dayMax)
		static.run(t, nil, seed)
		planned.run(t, fleet.NewPlanner(fleet.DefaultConfig()), seed)
		require.Less(t, planned.upstreamSeconds, static.upstreamSeconds)
		require.Greater(t, planned.served/planned.wanted, 0.99*static.served/static.wanted)
	}
}

func BenchmarkDay(b *testing.B) {
	fleets := []struct {
		name    string
		each    int
		planned bool
	}{{"static_6", 6, false}, {"static_4", 4, false}, {"planned", 4, true}}
	for _, f := range fleets {
		b.Run(f.name, func(b *testing.B) {
			var d *day
			for range b.N {
				d = newDay(f.each)
				var p *fleet.Planner
				if f.planned {
					p = fleet.NewPlanner(fleet.DefaultConfig())
				}
				d.run(b, p, 1)
			}
			b.ReportMetric(d.upstreamSeconds/3600, "upstream_hours")
			b.ReportMetric(100*d.served/d.wanted, "served_%")
			b.ReportMetric(100*d.worst, "worst_served_%")
			b.ReportMetric(float64(d.starts), "starts")
		})
	}
}
