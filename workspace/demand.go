package workspace

// This file defines demand, what a workspace asks of this entry, and peers, what
// it asks of the others, with the exchange of reports between entries.

import (
	"slices"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 500 * time.Millisecond

	noticeAfter = 2 * time.Second  // an entry is out of touch when unheard for this long
	forgetAfter = 60 * time.Second // and no longer counted after this

	demandWeight = 0.3 // of one tick in the moving mean
	demandChange = 0.2 // a relative change that is reported
	least        = 0.5 // tokens a second; less counts as none
)

// demand is what a workspace asks of this entry, in expected tokens a second.
//
// A value is reported under a version. While some entry may not have got it yet,
// the one before still counts as well: low is the lesser of the two. A further
// change waits until then.
type demand struct {
	asked    float64 // in this tick
	mean     float64
	reported float64
	before   float64 // believed by those that lack version
	version  uint64  // zero: never reported
}

func (d *demand) add(tokens float64) { d.asked += tokens }

// tick takes what was asked in one tick into the mean.
func (d *demand) tick() {
	perSecond := d.asked / TickInterval.Seconds()
	d.asked = 0
	d.mean += (perSecond - d.mean) * demandWeight
	if d.mean < least && perSecond == 0 {
		d.mean = 0
	}
}

// report takes the mean as the reported value under a new version if it differs
// enough; it returns false if it does not, or while the last one is not known to
// all.
func (d *demand) report(version, known uint64) bool {
	if d.version > known {
		return false
	}
	d.before = d.reported
	if diff := d.mean - d.reported; diff == 0 || max(diff, -diff) < demandChange*d.reported && d.mean > 0 {
		return false
	}
	d.reported, d.version = d.mean, version
	return true
}

func (d *demand) low() float64 { return min(d.before, d.reported) }

// Report is what one entry tells another about the demand that it sees.
type Report struct {
	Incarnation      id.Incarnation
	Version          uint64 // of the newest value
	Base             uint64 // the report holds the values after this version
	Acked            uint64 // the other's version that this entry has got
	AckedIncarnation id.Incarnation
	Partitioned      bool                     // out of touch with some entry
	Demand           map[id.Workspace]float64 // expected tokens a second
}

// peers is what this entry knows of the other entries.
type peers struct {
	incarnation id.Incarnation
	begun       time.Time

	mu      sync.Mutex // taken before that of a shard
	version uint64     // of the newest value of this entry
	known   map[id.Node]*peer
	listed  bool // has been told which entries exist
	parted  bool // out of touch with an entry at the last tick
	last    standing
}

type peer struct {
	incarnation id.Incarnation
	version     uint64 // got from it
	acked       uint64 // it has got from this entry
	heard       time.Time
	confirmed   time.Time // last ack
	parted      bool
	told        bool // its demand is known
	demand      map[id.Workspace]float64
}

func (s *peers) init(now time.Time, incarnation id.Incarnation) {
	s.incarnation = incarnation
	s.begun = now
	s.known = make(map[id.Node]*peer)
	s.last = standing{entries: 1, starting: true}
}

// SetPeers names the other entries that exist. Those that are not named and out of
// touch are not counted any more.
func (l *Limits) SetPeers(now time.Time, entries []id.Node) {
	s := &l.peers
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = true
	for _, n := range entries {
		if s.known[n] == nil {
			s.known[n] = &peer{heard: now, confirmed: now, demand: make(map[id.Workspace]float64)}
		}
	}
	for n, p := range s.known {
		if now.Sub(p.heard) > noticeAfter && !slices.Contains(entries, n) {
			delete(s.known, n)
		}
	}
}

// Receive takes a report of another entry.
func (l *Limits) Receive(now time.Time, from id.Node, r Report) {
	s := &l.peers
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.known[from]
	if p == nil || r.Incarnation > p.incarnation {
		p = &peer{incarnation: r.Incarnation, confirmed: now, demand: make(map[id.Workspace]float64)}
		s.known[from] = p
	}
	if r.Incarnation < p.incarnation {
		return
	}
	p.heard = now
	p.parted = r.Partitioned
	if r.AckedIncarnation == s.incarnation {
		p.acked = max(p.acked, r.Acked)
		p.confirmed = now
	}
	if r.Base > p.version || r.Version < p.version {
		return // values are missing in between, or it was overtaken
	}
	p.version = r.Version
	p.told = true
	for ws, d := range r.Demand {
		if d == 0 {
			delete(p.demand, ws)
			continue
		}
		p.demand[ws] = d
	}
}

// RemovePeer forgets an entry that said it leaves: it spends no more.
func (l *Limits) RemovePeer(n id.Node) {
	l.peers.mu.Lock()
	defer l.peers.mu.Unlock()
	delete(l.peers.known, n)
}

// ReportTo returns the report for another entry.
func (l *Limits) ReportTo(to id.Node) Report {
	s := &l.peers
	s.mu.Lock()
	r := Report{Incarnation: s.incarnation, Version: s.version, Partitioned: s.parted, Demand: make(map[id.Workspace]float64)}
	if p := s.known[to]; p != nil {
		r.Base, r.Acked, r.AckedIncarnation = p.acked, p.version, p.incarnation
	}
	s.mu.Unlock()
	for i := range l.shards {
		l.shards[i].report(r)
	}
	return r
}

func (s *shard) report(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ws, a := range s.accounts {
		if a.demand.version > r.Base && a.demand.version <= r.Version {
			r.Demand[ws] = a.demand.reported
		}
	}
}

// standing is what a tick needs to know of the peers.
type standing struct {
	entries  int
	known    uint64 // version that every other entry has got
	version  uint64 // for changes of this tick
	parted   bool   // this entry, or one it hears, is out of touch with some entry
	starting bool   // others may exist that are not known yet
	told     bool   // the demand of every other entry is known
}

// stand drops entries that were out of touch for long, and judges the others.
func (s *peers) stand(now time.Time) standing {
	st := standing{entries: 1, known: s.version, version: s.version + 1, starting: !s.listed && now.Sub(s.begun) < noticeAfter, told: true}
	s.parted = false
	for n, p := range s.known {
		if now.Sub(p.heard) > forgetAfter {
			delete(s.known, n)
			continue
		}
		st.entries++
		st.known = min(st.known, p.acked)
		st.told = st.told && p.told
		st.parted = st.parted || p.parted
		s.parted = s.parted || now.Sub(p.heard) > noticeAfter || now.Sub(p.confirmed) > noticeAfter
	}
	st.parted = st.parted || s.parted
	s.last = st
	return st
}

// firstPart returns the part of a workspace that was not seen here before.
func (s *peers) firstPart(ws id.Workspace) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part(ws, 0, s.last)
}

// Tick computes this entry's part of every limit anew.
func (l *Limits) Tick(now time.Time) {
	s := &l.peers
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stand(now)
	changed := false
	for i := range l.shards {
		if l.shards[i].tick(s, st) {
			changed = true
		}
	}
	if changed {
		s.version = st.version
	}
}

// Fraction returns this entry's part of a workspace's limits.
func (l *Limits) Fraction(ws id.Workspace) float64 {
	if part, ok := l.shard(ws).part(ws); ok {
		return part
	}
	return l.peers.firstPart(ws)
}

func (s *shard) part(ws id.Workspace) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[ws]
	if a == nil {
		return 0, false
	}
	return a.part, true
}

func (s *shard) tick(p *peers, st standing) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ws, a := range s.accounts {
		a.demand.tick()
		if a.demand.report(st.version, st.known) {
			changed = true
		}
		a.part = p.part(ws, a.demand.low(), st)
	}
	return changed
}

// part returns this entry's part of a workspace's limits.
func (s *peers) part(ws id.Workspace, own float64, st standing) float64 {
	n := float64(st.entries)
	switch {
	case st.entries == 1 && !st.starting:
		return 1
	case st.parted:
		return 1 / n
	}
	others := 0.0
	for _, p := range s.known {
		others += p.demand[ws]
	}
	switch {
	case own == 0 && others == 0 && st.told:
		return 1 / n // no entry counts any demand
	case own == 0:
		return evenPart / n
	}
	return evenPart/n + (1-evenPart)*own/(own+others)
}
