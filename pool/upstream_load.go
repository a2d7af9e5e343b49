package pool

// This file defines the load of single engines by the requests of all gateways. A gateway of a large fleet has
// one or two requests at an engine that is full, so that its own ones do not tell full engines from idle ones.

import "github.com/ragwortpass/ragwortpass/id"

// UpstreamKey identifies an upstream among those of a service.
type UpstreamKey uint32

// UpstreamLoad is the part of a Load that runs at one model engine.
type UpstreamLoad struct {
	Running int
	Unread  id.Tokens                // of prompts
	Levels  [UrgencyLevels]id.Tokens // parts of Unread, by urgency; the rest may be of any
}

// before returns the unread tokens that are read before a new request of a level, as far as is known.
func (l *UpstreamLoad) before(level int) id.Tokens {
	later := id.Tokens(0)
	for _, n := range l.Levels[level+1:] {
		later += n
	}
	return max(0, l.Unread-later)
}

// key returns the key of an upstream, which is the same at all gateways.
func (u *upstreamState) key() UpstreamKey { return UpstreamKey(u.hashOrder) }

// upstreamLoads returns the loads of the model engines of a service at which this gateway has requests. The caller
// holds the lock.
func (p *Pool) upstreamLoads(s id.Service) map[UpstreamKey]UpstreamLoad {
	if p.admissions[s] == nil {
		return nil
	}
	loads := make(map[UpstreamKey]UpstreamLoad)
	for _, u := range p.byService[s] {
		if u.running > 0 {
			loads[u.key()] = UpstreamLoad{Running: u.running, Unread: u.backlog.before(UrgencyLevels - 1), Levels: u.backlog}
		}
	}
	return loads
}

// addUpstreams adds the loads of engines by the requests of another gateway.
func (l *Load) addUpstreams(other map[UpstreamKey]UpstreamLoad) {
	if l.Upstreams == nil && len(other) > 0 {
		l.Upstreams = make(map[UpstreamKey]UpstreamLoad, len(other))
	}
	for key, more := range other {
		sum := l.Upstreams[key]
		sum.Running += more.Running
		sum.Unread += more.Unread
		for i, n := range more.Levels {
			sum.Levels[i] += n
		}
		l.Upstreams[key] = sum
	}
}

// work returns the work that an upstream has, as the prompt tokens that one of average pace reads in the time that it
// takes: for this gateway, and for its peers as far as they tell. The caller holds the lock.
func (p *Pool) work(u *upstreamState) float64 {
	peers := p.peerLoads[u.Service].Upstreams[u.key()]
	unread, running := float64(u.backlog.before(UrgencyLevels-1)+peers.Unread), float64(u.running+peers.Running)
	return float64(u.distinct) * (unread + runningLoadTokens*running)
}

// runningEstimate estimates how many requests of all gateways the engines of a service have, queued ones included.
type runningEstimate struct {
	peers      map[UpstreamKey]UpstreamLoad
	factor     float64 // where peers do not tell: by how many times those of this gateway they are
	leastSlots int     // of an engine at which that is known
}

// fleetRunning returns the estimate for a service. Where peers do not tell, it assumes that theirs are spread over the
// engines as those of this gateway. The caller holds the lock.
func (p *Pool) fleetRunning(s id.Service) runningEstimate {
	if peers := p.peerLoads[s].Upstreams; peers != nil {
		return runningEstimate{peers: peers, factor: 1}
	}
	return runningEstimate{factor: p.fleetFactor(s), leastSlots: minSlotsPerGateway * p.gatewayCount}
}

// at returns the estimate for an engine. Known is false if it has too few slots for each gateway for that (see
// minSlotsPerGateway). The caller holds the lock.
func (f *runningEstimate) at(u *upstreamState) (running float64, known bool) {
	return float64(u.running)*f.factor + float64(f.peers[u.key()].Running), u.Slots >= f.leastSlots
}

// slotUtilisation estimates the fraction of their slots that engines of one service use, including queued
// requests. Known is false without engines, and where the requests at one of them are not known. The caller holds
// the lock.
func (p *Pool) slotUtilisation(engines []*upstreamState) (fraction float64, known bool) {
	if len(engines) == 0 {
		return 0, false
	}
	fleet := p.fleetRunning(engines[0].Service)
	running, slots := 0.0, 0
	for _, u := range engines {
		n, known := fleet.at(u)
		if !known {
			return 0, false
		}
		running += n
		slots += u.Slots
	}
	if slots == 0 {
		return 0, false
	}
	return running / float64(slots), true
}
