package pool

// This file defines how many slots of the engines are in use by all gateways, and which requests leave
// the last ones to more urgent requests.

import (
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// slotReserve is the part of the slots of a service that a request leaves free if all recent requests are
// more urgent; it leaves less if fewer are, by a power of their share. Engines give slots by urgency: a less urgent request that has
// one keeps it, and one that has none waits behind all that are more urgent.
const slotReserve = 0.5

const slotReservePower = 4

// minMoreUrgent is the share of the recent requests that more urgent ones must have for slots to be left to
// them. The wait behind fewer is short.
const minMoreUrgent = 0.25

// ServiceLoads returns how many requests of this gateway run at the upstreams of each service.
func (p *Pool) ServiceLoads() map[id.Service]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	loads := make(map[id.Service]int, len(p.byService))
	for service := range p.byService {
		loads[service] = p.ownLoad(service)
	}
	return loads
}

// ownLoad returns how many requests of this gateway run at the upstreams of a service. The caller holds
// the lock.
func (p *Pool) ownLoad(s id.Service) (running int) {
	for _, u := range p.byService[s] {
		running += u.running
	}
	return running
}

// SetPeerLoads sets how many requests of other gateways run at the upstreams of each service.
func (p *Pool) SetPeerLoads(loads map[id.Service]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerLoads = loads
}

// fleetFactor returns how many times the requests of this gateway those of all gateways are, at the
// upstreams of a service. Without requests of its own it is the number of gateways. The caller holds
// the lock.
func (p *Pool) fleetFactor(s id.Service) float64 {
	own := p.ownLoad(s)
	peers, known := p.peerLoads[s], p.peerLoads != nil
	if !known || own == 0 {
		return float64(p.gatewayCount)
	}
	return float64(own+peers) / float64(own)
}

// slotUtilisation estimates the fraction of their slots that engines of one service use, including
// queued requests. It assumes that the requests of all gateways are spread over them as those of this
// one. Known is false without engines, and when one of them has too few slots for each gateway for an
// estimate (see minSlotsPerGateway). The caller holds the lock.
func (p *Pool) slotUtilisation(engines []*upstreamState) (fraction float64, known bool) {
	running, slots := 0, 0
	for _, u := range engines {
		if u.Slots < minSlotsPerGateway*p.gatewayCount {
			return 0, false
		}
		running += u.running
		slots += u.Slots
	}
	if slots == 0 {
		return 0, false
	}
	return float64(running) * p.fleetFactor(engines[0].Service) / float64(slots), true
}

// serviceUtilisation returns the fraction of the slots of a service that all gateways use, including queued
// requests. Known is false if peers have not told their loads. The caller holds the lock.
func (p *Pool) serviceUtilisation(s id.Service) (fraction float64, known bool) {
	peers, known := p.peerLoads[s], p.peerLoads != nil
	slots := 0
	for _, u := range p.byService[s] {
		if p.acceptsWork(u) {
			slots += u.Slots
		}
	}
	if !known || slots == 0 {
		return 0, false
	}
	return float64(p.ownLoad(s)+peers) / float64(slots), true
}

// leavesSlots reports whether a request of a level is refused because so few slots of its service are free
// that more urgent requests will need them. The caller holds the lock.
func (p *Pool) leavesSlots(now time.Time, s id.Service, level int) bool {
	utilisation, known := p.serviceUtilisation(s)
	if !known || utilisation < 1-slotReserve {
		return false
	}
	moreUrgent, total := 0, 0
	for l, a := range p.admissionsOf(s) {
		arrived := a.arrived.value(now)
		total += arrived
		if l < level {
			moreUrgent += arrived
		}
	}
	share := float64(moreUrgent) / float64(total)
	return share > minMoreUrgent && utilisation >= 1-slotReserve*math.Pow(share, slotReservePower)
}
