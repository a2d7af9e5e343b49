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
	s := New(latest)
	s.rand = r
	copies := p.copyState(s, service)
	for i := range copies {
		u := &copies[i]
		s.upstreams[u.ID] = u
		s.byService[service] = append(s.byService[service], u)
	}
	return s
}

// copyState copies the state of a service to a pool, and returns copies of its upstreams in hash order.
func (p *Pool) copyState(s *Pool, service id.Service) []upstreamState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.evacuated, s.evacuationEndedAt = maps.Clone(p.evacuated), maps.Clone(p.evacuationEndedAt)
	s.viewsOutdated, s.storeRecoveredAt = p.viewsOutdated, p.storeRecoveredAt
	s.gatewayCount, s.peerLoads, s.fleet = p.gatewayCount, p.peerLoads, p.fleet // loads and fleets are replaced, not changed
	if known := p.lines[service]; known != nil {
		s.lines[service] = &line{waiting: slices.Clone(known.waiting), returns: known.returns}
	}
	copyEntry(s.splits, p.splits, service)
	copyEntry(s.admissions, p.admissions, service)
	copyEntry(s.paces, p.paces, service)
	if n, known := p.shortRunning[service]; known {
		s.shortRunning[service] = n
	}
	copies := make([]upstreamState, len(p.byService[service]))
	for i, u := range p.byService[service] {
		u.copyTo(&copies[i])
	}
	return copies
}

// copyEntry copies what a map has of a service. The values have no pointers.
func copyEntry[V any](to, from map[id.Service]*V, service id.Service) {
	if known := from[service]; known != nil {
		c := *known
		to[service] = &c
	}
}

// copyTo copies an upstream to one that nobody waits for. The caller holds the lock.
func (u *upstreamState) copyTo(c *upstreamState) {
	*c = *u
	c.coldSlots, c.gone = u.coldSlots.Clone(), nil
	if u.remark != nil {
		said := *u.remark
		if u.remark.limit != nil {
			said.limit = &limitState{Named: u.remark.limit.Clone(), changedAt: u.remark.limit.changedAt, slots: u.remark.limit.slots.Clone()}
		}
		c.remark = &said
	}
}
