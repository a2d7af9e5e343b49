// Package lease decides which process does a duty that only one may do at a time.
//
// Table is the fold of the lease records of the platform's log: whom each duty was
// last granted to, under which term. Candidate is one process that stands for a
// duty: a step over typed events that has no clock, socket or goroutine. The term
// is the fencing number of whatever the holder orders or reports.
package lease

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Grant is the last accepted record of a duty. The zero value says that the duty
// was never granted.
type Grant struct {
	Holder   id.Node
	Term     id.Term
	Offset   id.Offset // of the last accepted claim, renewal or release
	TTL      time.Duration
	Released bool
}

// Table is the fold of the lease records. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	grants map[id.Duty]Grant
}

// NewTable returns a table without grants.
func NewTable() *Table { return &Table{grants: make(map[id.Duty]Grant)} }

// ApplyClaim folds a claim. It is accepted only for the next term, and only if the
// claimant had seen the last accepted record of the duty: a slow reader must not
// depose a holder that has just renewed.
func (t *Table) ApplyClaim(offset id.Offset, r *ragwortv1.LeaseClaimed) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	duty := id.Duty(r.GetDuty())
	last := t.grants[duty]
	if id.Term(r.GetTerm()) != last.Term+1 || id.Offset(r.GetSeenOffset()) != last.Offset {
		return false
	}
	t.grants[duty] = Grant{
		Holder: id.Node(r.GetHolder()), Term: last.Term + 1, Offset: offset, TTL: milliseconds(r.GetTtlMs()),
	}
	return true
}

// ApplyRenewal folds a renewal. It is accepted only from the holder of the current term.
func (t *Table) ApplyRenewal(offset id.Offset, r *ragwortv1.LeaseRenewed) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	duty := id.Duty(r.GetDuty())
	g := t.grants[duty]
	if !g.heldBy(r.GetHolder(), r.GetTerm()) {
		return false
	}
	g.Offset, g.TTL = offset, milliseconds(r.GetTtlMs())
	t.grants[duty] = g
	return true
}

// ApplyRelease folds the end of a lease before its time.
func (t *Table) ApplyRelease(offset id.Offset, r *ragwortv1.LeaseReleased) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	duty := id.Duty(r.GetDuty())
	g := t.grants[duty]
	if !g.heldBy(r.GetHolder(), r.GetTerm()) {
		return false
	}
	g.Offset, g.Released = offset, true
	t.grants[duty] = g
	return true
}

func (g Grant) heldBy(holder string, term uint64) bool {
	return g.Term > 0 && !g.Released && g.Holder == id.Node(holder) && g.Term == id.Term(term)
}

// Grant returns the last grant of a duty.
func (t *Table) Grant(duty id.Duty) Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[duty]
}

// Current reports whether term is the current one of a duty and not released.
func (t *Table) Current(duty id.Duty, term id.Term) bool {
	g := t.Grant(duty)
	return term > 0 && g.Term == term && !g.Released
}

// Snapshot writes the table onto s, in the order of the duties.
func (t *Table) Snapshot(s *ragwortv1.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.Leases = nil
	for duty, g := range t.grants {
		s.Leases = append(s.Leases, &ragwortv1.LeaseState{
			Duty: string(duty), Holder: string(g.Holder), Term: uint64(g.Term), Offset: uint64(g.Offset),
			TtlMs: g.TTL.Milliseconds(), Released: g.Released,
		})
	}
	slices.SortFunc(s.Leases, func(a, b *ragwortv1.LeaseState) int { return strings.Compare(a.GetDuty(), b.GetDuty()) })
}

// Restore replaces the table by what Snapshot wrote.
func (t *Table) Restore(s *ragwortv1.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.grants)
	for _, l := range s.GetLeases() {
		t.grants[id.Duty(l.GetDuty())] = Grant{
			Holder: id.Node(l.GetHolder()), Term: id.Term(l.GetTerm()), Offset: id.Offset(l.GetOffset()),
			TTL: milliseconds(l.GetTtlMs()), Released: l.GetReleased(),
		}
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
