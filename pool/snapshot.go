package pool

// This file defines Pool.Snapshot, a copy of what the pool knows of a service, on which decisions can be made
// that must not count.

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
)

// Snapshot returns a pool with the present state of one service, which reads the settings of services from latest.
// What is decided on it, by the numbers of r, changes nothing of p, and the reverse.
func (p *Pool) Snapshot(service id.Service, latest *catalog.Latest, r *rand.Rand) *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := New(latest)
	s.rand = r
	s.evacuated, s.evacuationEndedAt = maps.Clone(p.evacuated), maps.Clone(p.evacuationEndedAt)
	s.viewsOutdated, s.storeRecoveredAt = p.viewsOutdated, p.storeRecoveredAt
	s.gatewayCount, s.peerLoads, s.fleet = p.gatewayCount, p.peerLoads, p.fleet // loads and fleets are replaced, not changed
	for _, u := range p.byService[service] {
		c := u.clone()
		s.upstreams[u.ID] = c
		s.byService[service] = append(s.byService[service], c)
	}
	if known := p.lines[service]; known != nil {
		s.lines[service] = &line{waiting: slices.Clone(known.waiting), returns: known.returns}
	}
	copyEntry(s.splits, p.splits, service)
	copyEntry(s.admissions, p.admissions, service)
	copyEntry(s.paces, p.paces, service)
	if n, known := p.shortRunning[service]; known {
		s.shortRunning[service] = n
	}
	return s
}

// copyEntry copies what a map has of a service. The values have no pointers.
func copyEntry[V any](to, from map[id.Service]*V, service id.Service) {
	if known := from[service]; known != nil {
		c := *known
		to[service] = &c
	}
}

// clone returns a copy of an upstream that nobody waits for. The caller holds the lock.
func (u *upstreamState) clone() *upstreamState {
	c := *u
	c.coldSlots, c.gone = u.coldSlots.Clone(), nil
	if u.remark != nil {
		said := *u.remark
		if u.remark.limit != nil {
			said.limit = &limitState{Named: u.remark.limit.Clone(), changedAt: u.remark.limit.changedAt, slots: u.remark.limit.slots.Clone()}
		}
		c.remark = &said
	}
	return &c
}
