package pool

// This file defines the load of services: what runs at their upstreams and what arrives for them, by
// urgency, at this gateway and at all gateways together.

import (
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pace"
)

// UrgencyLevels is how many urgencies there are; the first is the most urgent.
const UrgencyLevels = 10

// Load is the load of a service by the requests of one gateway or of several.
type Load struct {
	Running   int // requests at upstreams, those without a prompt included
	Short     int // of these, those with prompts that are not long
	Levels    [UrgencyLevels]LevelLoad
	Upstreams map[UpstreamKey]UpstreamLoad // model engines at which requests run; nil: not known
	Paces     map[PaceKey][]pace.Figure    // what the gateways have seen of the pace of upstreams
}

// LevelLoad is the part of a Load that requests of one urgency for model engines make up.
type LevelLoad struct {
	Running int
	Arrived float64 // requests a second, refused ones included
	// Refused is how many requests a second were refused because no engine would have begun in time, and RefusedLong
	// how many of these had long prompts.
	Refused, RefusedLong float64
	// SlotSeconds is for how long requests have held slots, and Started and Ended how many requests have
	// begun and ended to do so. All decay with loadTimeConstant.
	SlotSeconds, Started, Ended float64
}

// add adds the load of another gateway, without that of single engines.
func (l *Load) add(other *Load) {
	l.Running += other.Running
	l.Short += other.Short
	for i := range l.Levels {
		l.Levels[i].add(&other.Levels[i])
	}
}

func (l *LevelLoad) add(other *LevelLoad) {
	l.Running += other.Running
	l.Arrived += other.Arrived
	l.Refused += other.Refused
	l.RefusedLong += other.RefusedLong
	l.SlotSeconds += other.SlotSeconds
	l.Started += other.Started
	l.Ended += other.Ended
}

// hold returns for how long a request is expected to hold a slot, in seconds. The requests that still run
// tell only that they have held theirs up to now. Without pessimism they count as half done on average; with a
// pessimism of one, as a quarter done at most, so that the result rises faster under more load.
func (l *LevelLoad) hold(pessimism float64) float64 {
	half := max(l.Ended, (l.Started+l.Ended)/2)
	least := max(l.Ended, half/2)
	return l.SlotSeconds / max(1, half-pessimism*(half-least))
}

// demand returns how many slots the requests would hold at a time if none of those that arrive were refused.
func (l *LevelLoad) demand(pessimism float64) float64 { return l.Arrived * l.hold(pessimism) }

// turnover returns the share of requests that have ended after a time in seconds if each holds its slot for
// hold seconds on average.
func turnover(after, hold float64) float64 {
	if hold > 0 {
		return 1 - math.Exp(-after/hold)
	}
	return 0
}

// occupancy returns how many slots the requests are expected to hold after a time in seconds if none are
// refused, and the variance of that number: that of a Poisson process, and that of the arrivals which the
// expectation rests on.
func (l *LevelLoad) occupancy(after, pessimism float64) (mean, variance float64) {
	running, hold, demand := float64(l.Running), l.hold(pessimism), l.demand(pessimism)
	turned := turnover(after, hold)
	mean = running + (demand-running)*turned
	variance = mean * turnover(2*after, hold)
	if counted := l.Arrived * meanCountedTime.Seconds(); counted > 0 {
		variance += demand * turned * demand * turned / counted
	}
	return mean, variance
}

// SumLoads returns the sum of the loads of several gateways, by service.
func SumLoads(loads ...map[id.Service]Load) map[id.Service]Load {
	sums := make(map[id.Service]Load)
	for _, byService := range loads {
		for service, l := range byService {
			sum := sums[service]
			sum.add(&l)
			sum.addUpstreams(l.Upstreams)
			sum.addPaces(l.Paces)
			sums[service] = sum
		}
	}
	return sums
}

// Loads returns the load of each service by the requests of this gateway.
func (p *Pool) Loads(now time.Time) map[id.Service]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[id.Service]Load, len(p.byService))
	for service := range p.byService {
		l := p.load(now, service)
		l.Upstreams = p.upstreamLoads(service)
		l.Paces = p.figures(now, service)
		loads[service] = l
	}
	return loads
}

// load returns the load of a service by the requests of this gateway, without that of single engines. The caller
// holds the lock.
func (p *Pool) load(now time.Time, s id.Service) Load {
	l := Load{Running: p.ownLoad(s), Short: p.shortRunning[s]}
	if levels := p.admissions[s]; levels != nil {
		for i := range levels {
			l.Levels[i] = levels[i].load(now)
		}
	}
	return l
}

// load returns the load by the requests of one urgency.
func (a *admission) load(now time.Time) LevelLoad {
	held := a.slotSeconds.value(now)
	if a.begun > 0 {
		held += float64(a.begun) * now.Sub(a.begunSince).Seconds()
	}
	return LevelLoad{
		Running: a.running, Arrived: a.arrived.rate(now),
		Refused: a.refused.rate(now) + a.refusedLong.rate(now), RefusedLong: a.refusedLong.rate(now),
		SlotSeconds: held, Started: a.started.value(now), Ended: a.ended.value(now),
	}
}

// setBegun adds to the requests of the level that hold slots.
func (a *admission) setBegun(now time.Time, n int) {
	if elapsed := now.Sub(a.begunSince); a.begun > 0 && elapsed > 0 {
		a.slotSeconds.add(now, float64(a.begun)*elapsed.Seconds())
	}
	if n < 0 {
		a.ended.add(now, 1)
	} else {
		a.started.add(now, 1)
	}
	a.begun, a.begunSince = a.begun+n, now
}

// ownLoad returns how many requests of this gateway run at the upstreams of a service. The caller holds
// the lock.
func (p *Pool) ownLoad(s id.Service) (running int) {
	for _, u := range p.byService[s] {
		running += u.running
	}
	return running
}

// SetPeerLoads sets the load of each service by the requests of all other gateways.
func (p *Pool) SetPeerLoads(loads map[id.Service]Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerLoads = loads
}

// fleetLoad returns the load of a service by the requests of all gateways whose loads are known. The caller
// holds the lock.
func (p *Pool) fleetLoad(now time.Time, s id.Service) Load {
	l := p.load(now, s)
	if peers, known := p.peerLoads[s]; known {
		l.add(&peers)
	}
	return l
}

// fleetFactor returns how many times the requests of this gateway those of all gateways are, at the
// upstreams of a service. Without requests of its own it is the number of gateways. The caller holds
// the lock.
func (p *Pool) fleetFactor(s id.Service) float64 {
	own := p.ownLoad(s)
	if p.peerLoads == nil || own == 0 {
		return float64(p.gatewayCount)
	}
	return float64(own+p.peerLoads[s].Running) / float64(own)
}
