package workspace

// This file defines demand, which holds the measured demand of a workspace at this
// entry, peers, which holds the state of the other entries and the demand that they
// reported, and the exchange of reports between entries.

import (
	"slices"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// TickInterval is the interval at which Limits.Tick must be called.
	TickInterval = 500 * time.Millisecond

	unreachableAfter = 2 * time.Second  // time without a report or an acknowledgement after which an entry is unreachable
	forgetAfter      = 60 * time.Second // time without a report after which an entry no longer counts

	demandSmoothing = 0.3 // weight of one tick in the moving average
	minDemandChange = 0.2 // smallest relative change that is reported; a change to zero always is
	minDemand       = 0.5 // tokens per second; a smaller value counts as none once requests stop
)

// demand is the demand of a workspace at this entry, in expected tokens per second.
//
// Each reported value has a version. Until every other entry has acknowledged it,
// some may still use the previous value, so lowerBound returns the lower of the two.
// The next change is reported only after that.
type demand struct {
	requested float64 // expected tokens in this tick
	mean      float64 // moving average
	reported  float64
	previous  float64 // used by entries that have not received version
	version   uint64  // of reported; zero: never reported
}

func (d *demand) add(tokens float64) { d.requested += tokens }

// tick adds the requested tokens of one tick to the moving average.
func (d *demand) tick() {
	perSecond := d.requested / TickInterval.Seconds()
	d.requested = 0
	d.mean += (perSecond - d.mean) * demandSmoothing
	if d.mean < minDemand && perSecond == 0 {
		d.mean = 0
	}
}

// updateReported sets the reported value to the mean under a new version. It returns
// false if the change is too small, or if the last reported value has not yet been
// acknowledged by all entries.
func (d *demand) updateReported(version, ackedByAll uint64) bool {
	if d.version > ackedByAll {
		return false
	}
	d.previous = d.reported
	if diff := d.mean - d.reported; diff == 0 || max(diff, -diff) < minDemandChange*d.reported && d.mean > 0 {
		return false
	}
	d.reported, d.version = d.mean, version
	return true
}

// lowerBound returns the lowest value that any other entry may currently use.
func (d *demand) lowerBound() float64 { return min(d.previous, d.reported) }

// Report is a message in which one entry tells another the demand that it measures.
type Report struct {
	Incarnation      id.Incarnation
	Version          uint64                   // newest version of the sender's values
	Base             uint64                   // the report holds the values with later versions than this
	Acked            uint64                   // newest version that the sender has received from the recipient
	AckedIncarnation id.Incarnation           // of the recipient that Acked refers to
	Partitioned      bool                     // the sender cannot reach some entry
	Demand           map[id.Workspace]float64 // expected tokens per second
}

// peers holds what this entry knows about the other entries.
type peers struct {
	incarnation id.Incarnation
	startedAt   time.Time

	mu          sync.Mutex // locked before that of a shard
	version     uint64     // newest version of this entry's values
	byNode      map[id.Node]*peer
	peersListed bool // SetPeers was called
	partitioned bool // some entry was unreachable at the last tick
	lastState   clusterState
}

// peer is the state of one other entry.
type peer struct {
	incarnation id.Incarnation
	version     uint64 // newest version received from it
	acked       uint64 // newest version of this entry's values that it has received
	lastHeard   time.Time
	lastAck     time.Time // last report that acknowledges this incarnation
	partitioned bool      // it reported that it cannot reach some entry
	demandKnown bool      // a complete report has been received
	demand      map[id.Workspace]float64
}

func (s *peers) init(now time.Time, incarnation id.Incarnation) {
	s.incarnation = incarnation
	s.startedAt = now
	s.byNode = make(map[id.Node]*peer)
	s.lastState = clusterState{entries: 1, starting: true}
}

// SetPeers sets the other entries that exist. Entries that are neither listed nor
// reachable no longer count.
func (l *Limits) SetPeers(now time.Time, entries []id.Node) {
	s := &l.peers
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peersListed = true
	for _, n := range entries {
		if s.byNode[n] == nil {
			s.byNode[n] = &peer{lastHeard: now, lastAck: now, demand: make(map[id.Workspace]float64)}
		}
	}
	for n, p := range s.byNode {
		if now.Sub(p.lastHeard) > unreachableAfter && !slices.Contains(entries, n) {
			delete(s.byNode, n)
		}
	}
}

// Receive processes a report of another entry. It ignores reports of an older
// incarnation.
func (l *Limits) Receive(now time.Time, from id.Node, r Report) {
	s := &l.peers
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.byNode[from]
	if p == nil || r.Incarnation > p.incarnation {
		p = &peer{incarnation: r.Incarnation, lastAck: now, demand: make(map[id.Workspace]float64)}
		s.byNode[from] = p
	}
	if r.Incarnation < p.incarnation {
		return
	}
	p.lastHeard = now
	p.partitioned = r.Partitioned
	if r.AckedIncarnation == s.incarnation {
		p.acked = max(p.acked, r.Acked)
		p.lastAck = now
	}
	if r.Base > p.version || r.Version < p.version {
		return // some versions in between are missing, or a newer report came first
	}
	p.version = r.Version
	p.demandKnown = true
	for ws, d := range r.Demand {
		if d == 0 {
			delete(p.demand, ws)
			continue
		}
		p.demand[ws] = d
	}
}

// RemovePeer removes an entry that announced its shutdown and spends nothing from then
// on.
func (l *Limits) RemovePeer(n id.Node) {
	l.peers.mu.Lock()
	defer l.peers.mu.Unlock()
	delete(l.peers.byNode, n)
}

// ReportTo returns the report to send to another entry. It holds the values that the
// other entry has not acknowledged yet.
func (l *Limits) ReportTo(to id.Node) Report {
	s := &l.peers
	s.mu.Lock()
	r := Report{Incarnation: s.incarnation, Version: s.version, Partitioned: s.partitioned, Demand: make(map[id.Workspace]float64)}
	if p := s.byNode[to]; p != nil {
		r.Base, r.Acked, r.AckedIncarnation = p.acked, p.version, p.incarnation
	}
	s.mu.Unlock()
	for i := range l.shards {
		l.shards[i].addDemand(r)
	}
	return r
}

// addDemand adds to r the reported demand whose version is later than r.Base and at
// most r.Version.
func (s *shard) addDemand(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ws, a := range s.accounts {
		if a.demand.version > r.Base && a.demand.version <= r.Version {
			r.Demand[ws] = a.demand.reported
		}
	}
}

// clusterState is the state of all entries together, computed at each tick.
type clusterState struct {
	entries     int    // including this one
	ackedByAll  uint64 // newest version that every other entry has received
	version     uint64 // for the demand changes of this tick
	partitioned bool   // this entry, or one that reports to it, cannot reach some entry
	starting    bool   // other entries may exist that are not known yet
	demandKnown bool   // the demand at every other entry is known
}

// updateState removes entries that have been unreachable for forgetAfter, and computes
// the state of the others.
func (s *peers) updateState(now time.Time) clusterState {
	state := clusterState{entries: 1, ackedByAll: s.version, version: s.version + 1, starting: !s.peersListed && now.Sub(s.startedAt) < unreachableAfter, demandKnown: true}
	s.partitioned = false
	for n, p := range s.byNode {
		if now.Sub(p.lastHeard) > forgetAfter {
			delete(s.byNode, n)
			continue
		}
		state.entries++
		state.ackedByAll = min(state.ackedByAll, p.acked)
		state.demandKnown = state.demandKnown && p.demandKnown
		state.partitioned = state.partitioned || p.partitioned
		s.partitioned = s.partitioned || now.Sub(p.lastHeard) > unreachableAfter || now.Sub(p.lastAck) > unreachableAfter
	}
	state.partitioned = state.partitioned || s.partitioned
	s.lastState = state
	return state
}

// initialFraction returns this entry's fraction for a workspace without an account.
func (s *peers) initialFraction(ws id.Workspace) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fraction(ws, 0, s.lastState)
}

// Tick updates the measured demand and recomputes this entry's fraction of every
// limit.
func (l *Limits) Tick(now time.Time) {
	s := &l.peers
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.updateState(now)
	changed := false
	for i := range l.shards {
		if l.shards[i].tick(s, state) {
			changed = true
		}
	}
	if changed {
		s.version = state.version
	}
}

// Fraction returns the fraction of a workspace's limits that this entry may spend.
func (l *Limits) Fraction(ws id.Workspace) float64 {
	if fraction, ok := l.shard(ws).fraction(ws); ok {
		return fraction
	}
	return l.peers.initialFraction(ws)
}

func (s *shard) fraction(ws id.Workspace) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[ws]
	if a == nil {
		return 0, false
	}
	return a.fraction, true
}

func (s *shard) tick(p *peers, state clusterState) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ws, a := range s.accounts {
		a.demand.tick()
		if a.demand.updateReported(state.version, state.ackedByAll) {
			changed = true
		}
		a.fraction = p.fraction(ws, a.demand.lowerBound(), state)
	}
	return changed
}

// fraction returns this entry's fraction of a workspace's limits, given its own
// demand. The caller must hold s.mu.
func (s *peers) fraction(ws id.Workspace, ownDemand float64, state clusterState) float64 {
	n := float64(state.entries)
	switch {
	case state.entries == 1 && !state.starting:
		return 1
	case state.partitioned:
		return 1 / n
	}
	others := 0.0
	for _, p := range s.byNode {
		others += p.demand[ws]
	}
	switch {
	case ownDemand == 0 && others == 0 && state.demandKnown:
		return 1 / n // no demand at any entry
	case ownDemand == 0:
		return evenFraction / n
	}
	return evenFraction/n + (1-evenFraction)*ownDemand/(ownDemand+others)
}
