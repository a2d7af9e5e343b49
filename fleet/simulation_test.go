package fleet_test

// This file simulates a day of demand on a fleet that Planner scales, and on fleets of
// fixed size. It compares their costs and the share of the demand that they serve.

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
	stepDuration     = 5 * time.Second
	simulationLength = 24 * time.Hour
	warmUpDuration   = 90 * time.Second // until then a new upstream takes a quarter of its slots
	slotsPerUpstream = 16
	minUpstreams     = 1
	maxUpstreams     = 6
	outageFrom       = 13 * time.Hour // data centre 0 is down at the peak of demand
	outageTo         = 14 * time.Hour
	burstFrom        = 17 * time.Hour
	burstTo          = 17*time.Hour + 20*time.Minute
	dataCentres      = 4
)

// demandAt returns the number of requests that run or wait: low at night, high at noon,
// tripled during a burst, and with noise.
func demandAt(at time.Duration, rng *rand.Rand) float64 {
	d := 120 - 100*math.Cos(2*math.Pi*at.Hours()/24)
	if at >= burstFrom && at < burstTo {
		d *= 3
	}
	return max(0, d*(1+0.1*rng.NormFloat64()))
}

// simulation is the state of the simulated fleet.
type simulation struct {
	startedAt [dataCentres]map[id.Upstream]time.Duration // of the upstreams that take work
	drainedAt [dataCentres]map[id.Upstream]time.Duration // of the drained upstreams
	orderedAt [dataCentres]time.Duration                 // of the last start or stop
	lastID    int
	starts    int

	upstreamSeconds  float64
	demanded, served float64
	worstServed      float64 // lowest served share of the demand in any step
}

func newSimulation(upstreamsPerCentre int) *simulation {
	sim := &simulation{worstServed: 1}
	for c := range dataCentres {
		sim.startedAt[c], sim.drainedAt[c] = make(map[id.Upstream]time.Duration), make(map[id.Upstream]time.Duration)
		sim.orderedAt[c] = -time.Hour
		sim.start(c, upstreamsPerCentre, -time.Hour)
	}
	sim.starts = 0
	return sim
}

func (sim *simulation) start(c, n int, at time.Duration) {
	for range n {
		sim.lastID++
		sim.starts++
		sim.startedAt[c][id.Upstream(fmt.Sprintf("u%05d", sim.lastID))] = at
	}
}

// isDown reports whether data centre c is down.
func isDown(c int, at time.Duration) bool { return c == 0 && at >= outageFrom && at < outageTo }

// serve simulates one step and returns the load of each upstream: the wanted requests as
// a fraction of the capacity.
func (sim *simulation) serve(at time.Duration, wanted float64) float64 {
	capacity := 0.0
	for c := range dataCentres {
		sim.upstreamSeconds += float64(len(sim.startedAt[c])+len(sim.drainedAt[c])) * stepDuration.Seconds()
		if isDown(c, at) {
			continue
		}
		for _, s := range sim.startedAt[c] {
			if at-s >= warmUpDuration {
				capacity += slotsPerUpstream
			} else {
				capacity += slotsPerUpstream / 4
			}
		}
	}
	served := min(wanted, capacity)
	sim.demanded += wanted
	sim.served += served
	if wanted > 0 {
		sim.worstServed = min(sim.worstServed, served/wanted)
	}
	return wanted / max(capacity, 1)
}

// groups returns the measurements that the planner gets.
func (sim *simulation) groups(at time.Duration, load float64) []fleet.UpstreamGroup {
	var groups []fleet.UpstreamGroup
	for c := range dataCentres {
		g := fleet.UpstreamGroup{
			Model: "m", DataCentre: id.DataCentre(fmt.Sprint("dc", c)), Min: minUpstreams, Max: maxUpstreams,
			Slots: slotsPerUpstream, LastOrderAt: simulationStart.Add(sim.orderedAt[c]),
		}
		for u, started := range sim.startedAt[c] {
			if isDown(c, at) {
				continue
			}
			up := fleet.Upstream{ID: u, Loading: at-started < warmUpDuration, Requests: int(min(load, 1) * slotsPerUpstream)}
			if up.Loading {
				up.Requests /= 4
			}
			g.Upstreams = append(g.Upstreams, up)
		}
		for u, since := range sim.drainedAt[c] {
			g.Drained = append(g.Drained, fleet.DrainedUpstream{ID: u, DrainedFor: at - since})
		}
		groups = append(groups, g)
	}
	return groups
}

var simulationStart = time.Unix(1_000_000, 0)

// apply carries out the planner's actions.
func (sim *simulation) apply(t testing.TB, at time.Duration, actions []fleet.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case *fleet.StartAction:
			c := int(action.DataCentre[2] - '0')
			sim.orderedAt[c] = at
			if !isDown(c, at) {
				sim.start(c, action.Count, at)
			}
		case *fleet.DrainAction:
			c := int(action.DataCentre[2] - '0')
			delete(sim.startedAt[c], action.Upstream)
			sim.drainedAt[c][action.Upstream] = at
		case *fleet.StopAction:
			c := int(action.DataCentre[2] - '0')
			require.Contains(t, sim.drainedAt[c], action.Upstream, "upstream stopped without being drained first")
			delete(sim.drainedAt[c], action.Upstream)
			sim.orderedAt[c] = at
		}
	}
	for c := range dataCentres {
		// An upstream that is being drained does not count towards the maximum.
		require.LessOrEqual(t, len(sim.startedAt[c])+len(sim.drainedAt[c]), maxUpstreams+1)
	}
}

// run simulates a day. If planner is nil, the fleet keeps its size.
func (sim *simulation) run(t testing.TB, planner *fleet.Planner, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0))
	for at := time.Duration(0); at < simulationLength; at += stepDuration {
		load := sim.serve(at, demandAt(at, rng))
		if planner != nil {
			sim.apply(t, at, planner.Step(simulationStart.Add(at), sim.groups(at, load)))
		}
	}
}

// TestPlannedFleetAgainstFixedSize checks that a planned fleet costs less than a fleet
// of maximum size and serves nearly as much of the demand.
func TestPlannedFleetAgainstFixedSize(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		static, planned := newSimulation(maxUpstreams), newSimulation(maxUpstreams)
		static.run(t, nil, seed)
		planned.run(t, fleet.NewPlanner(fleet.DefaultConfig()), seed)
		require.Less(t, planned.upstreamSeconds, static.upstreamSeconds)
		require.Greater(t, planned.served/planned.demanded, 0.99*static.served/static.demanded)
	}
}

// BenchmarkDay reports the cost and the served share of the demand of two fleets of fixed
// size and of a planned one.
func BenchmarkDay(b *testing.B) {
	fleets := []struct {
		name               string
		upstreamsPerCentre int
		planned            bool
	}{{"static_6", 6, false}, {"static_4", 4, false}, {"planned", 4, true}}
	for _, f := range fleets {
		b.Run(f.name, func(b *testing.B) {
			var sim *simulation
			for range b.N {
				sim = newSimulation(f.upstreamsPerCentre)
				var p *fleet.Planner
				if f.planned {
					p = fleet.NewPlanner(fleet.DefaultConfig())
				}
				sim.run(b, p, 1)
			}
			b.ReportMetric(sim.upstreamSeconds/3600, "upstream_hours")
			b.ReportMetric(100*sim.served/sim.demanded, "served_%")
			b.ReportMetric(100*sim.worstServed, "worst_served_%")
			b.ReportMetric(float64(sim.starts), "starts")
		})
	}
}
