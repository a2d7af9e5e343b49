package rollout

// This file plays roll-outs in the simulated fleet.

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
)

// tick plays ten milliseconds.
func (s *simulation) tick(i int) {
	for len(s.running) > 0 && !s.running[0].at.After(s.now) {
		a := heap.Pop(&s.running).(*simAnswer)
		a.up.running--
		*s.counter(a.gateway, a.up)--
		a.run.Ended(a.plan, a.up.version, a.up.id, a.outcome)
		if a.isBad && !a.gateway.cut {
			if s.bad++; s.bad == 50 {
				s.badAt = s.now
			}
		}
		if a.retry != nil && !a.gateway.dead {
			s.request(a.gateway, a.retry, false)
		}
	}
	for n, g := range s.gateways {
		if g.dead {
			if s.now.Before(g.startAt) {
				continue
			}
			g = s.newGateway(g.node)
			s.gateways[n] = g
			g.register.Order(s.now, s.order)
		}
		if (i+7*n)%25 == 0 {
			s.round(g)
		}
		if (i+3*n)%10 == 0 {
			s.control(g)
		}
	}
	for arrivals := s.rate * simTick.Seconds(); arrivals > 0; arrivals-- {
		if s.Float64() >= arrivals {
			continue
		}
		g := s.gateways[s.IntN(len(s.gateways))]
		x := s.Float64()
		at := slices.IndexFunc(s.routes, func(r simRoute) bool { x -= r.part; return x < 0 })
		if !g.dead {
			s.request(g, &s.routes[max(at, 0)], true)
		}
	}
	if r := s.store.records[simService]; r.State.Final() && s.finalAt.IsZero() {
		s.finalAt = s.now
		if r.State == Done {
			s.old = nil
		}
	}
	s.now = s.now.Add(simTick)
}

// run plays the order until some seconds after its deadline.
func (s *simulation) run() {
	s.ordered = s.now
	listed := time.Duration(300+s.IntN(700)) * time.Millisecond
	known := make(map[*simGateway]time.Duration)
	for _, g := range s.gateways {
		known[g] = time.Duration(s.IntN(400)) * time.Millisecond
	}
	n := len(s.old)
	for i := 0; s.now.Sub(s.ordered) < s.order.Duration+8*time.Second; i++ {
		since := s.now.Sub(s.ordered)
		for g, delay := range known {
			if since >= delay {
				g.register.Order(s.now, s.order)
				delete(known, g)
			}
		}
		if since >= listed && s.new == nil {
			for range n {
				s.new = append(s.new, &simUpstream{id: id.Upstream(fmt.Sprint("i-", len(s.new))), version: simNew, started: s.now})
			}
		}
		s.tick(i)
	}
}

// TestFleetKeepsExposureAndFinishesInTime answers versions that are bad in each of the ways, while the gateway that
// acts is killed at its steps, gateways are cut off, and the store is away or loses answers.
func TestFleetKeepsExposureAndFinishesInTime(t *testing.T) {
	const seeds = 40
	worst, done, rolledBack := 0.0, 0, 0
	for seed := range uint64(seeds) {
		s := newSimulation(seed, simKinds[seed%uint64(len(simKinds))])
		switch seed / uint64(len(simKinds)) % 4 {
		case 1:
			s.store.lossy = 0.4
		case 2:
			from := time.Duration(s.Float64() * 0.4 * float64(s.order.Duration))
			s.store.downFor = [2]time.Duration{from, from + 2*time.Second}
		case 3:
			g := s.gateways[s.IntN(len(s.gateways))]
			g.cut, g.cutAt = true, s.now.Add(time.Duration(s.IntN(5))*time.Second)
		}
		s.run()
		final := s.store.records[simService]
		bound := s.cfg.Share*float64(s.total) + s.cfg.Slack
		name := fmt.Sprintf("seed %d, %s, rate %.0f, %v, %d gateways: %s for %s at %v, exposed %d of %d (bound %.0f), bad %d, late %d",
			seed, s.kind.name, s.rate, s.order.Duration, len(s.gateways), final.State, final.Reason, s.finalAt.Sub(s.ordered).Round(10*time.Millisecond), s.exposed, s.total, bound, s.bad, s.late)
		t.Log(name)
		states := make([]State, 0, len(s.store.history))
		for _, r := range s.store.history {
			states = append(states, r.State)
		}
		require.True(t, slices.IsSortedFunc(states, func(a, b State) int { return cmp.Compare(a, b) }), name)
		if !s.finalAt.IsZero() && s.finalAt.After(s.ordered.Add(s.order.Duration)) || !final.State.Final() {
			t.Errorf("not in time: %s", name)
		}
		if s.kind.isGood() {
			if final.State != Done {
				t.Errorf("good version: %s", name)
			}
			done++
			continue
		}
		rolledBack++
		worst = max(worst, float64(s.exposed)/bound)
		if final.State != RolledBack || float64(s.exposed) > bound || s.late > 0 {
			t.Errorf("bad version: %s", name)
		}
	}
	t.Logf("%d good, %d bad; the most exposure is %.2f of the bound", done, rolledBack, worst)
}

// small returns a fleet with two upstreams of each version and two routes that are alike, and an order of 12 s.
func small(seed uint64, kind badness, rate float64) *simulation {
	if kind.slow > 0 {
		kind.slow = 6
	}
	if kind.route != "" {
		kind.route = "look"
	}
	if kind.part > 0 {
		kind.part = 0.6
	}
	s := newSimulation(seed, kind)
	s.routes = []simRoute{{"look", 0.5, 80 * time.Millisecond}, {"stream", 0.5, 80 * time.Millisecond}}
	s.rate, s.order.Duration, s.kills = rate, 12*time.Second, 0
	s.deviation, s.coldFactor, s.underLoadRunning = 0.1, 1, 3
	s.old = s.old[:2]
	return s
}

// TestLittleTrafficIsEnough answers services with so few requests that the share of a short order is some forty: good versions were rolled
// back as undecided, and those that are bad under load only were called good or came over their bound.
func TestLittleTrafficIsEnough(t *testing.T) {
	for _, rate := range []float64{40, 80} {
		for seed := range uint64(30) {
			kind := simKinds[seed%uint64(len(simKinds))]
			if rate == 40 && kind.underLoad {
				continue // at this rate, upstreams hardly ever run as many requests
			}
			s := small(seed, kind, rate)
			s.run()
			final, bound := s.store.records[simService], s.cfg.Share*float64(s.total)+s.cfg.Slack
			name := fmt.Sprintf("seed %d, %s, rate %.0f: %s for %s at %v, exposed %d of %.0f, late %d %v",
				seed, s.kind.name, rate, final.State, final.Reason, s.finalAt.Sub(s.ordered), s.exposed, bound, s.late, s.verdicts)
			if s.kind.isGood() {
				require.Equal(t, Done, final.State, name)
				continue
			}
			require.Equal(t, RolledBack, final.State, name)
			require.LessOrEqual(t, float64(s.exposed), bound, name)
			require.Zero(t, s.late, name)
		}
	}
}

// TestStallOfAllVersionsCondemnsNone answers a host that stalls while a version has its share: the few answers of the target that fell into the
// stall were held against it. A bad version is not saved by it.
func TestStallOfAllVersionsCondemnsNone(t *testing.T) {
	good, undecided := 0, 0
	for seed := range uint64(60) {
		s := newSimulation(seed, simKinds[seed%uint64(len(simKinds))])
		if s.kind.isGood() && seed%2 == 1 {
			s.kind = simKinds[0]
		}
		s.stallFrom = s.now.Add(time.Duration((0.1 + 0.2*s.Float64()) * float64(s.order.Duration)))
		s.stallUntil = s.stallFrom.Add(1500 * time.Millisecond)
		s.run()
		final, bound := s.store.records[simService], s.cfg.Share*float64(s.total)+s.cfg.Slack
		name := fmt.Sprintf("seed %d, %s, rate %.0f, %v: %s for %s at %v, exposed %d of %.0f, late %d %v",
			seed, s.kind.name, s.rate, s.order.Duration, final.State, final.Reason, s.finalAt.Sub(s.ordered), s.exposed, bound, s.late, s.verdicts)
		if s.kind.isGood() {
			require.Empty(t, s.verdicts, name)
			good++
			if final.State != Done {
				undecided++
			}
			continue
		}
		require.Equal(t, RolledBack, final.State, name)
		require.LessOrEqual(t, float64(s.exposed), bound, name)
		require.Zero(t, s.late, name)
	}
	t.Logf("%d good versions, of which %d were rolled back as undecided", good, undecided)
}
