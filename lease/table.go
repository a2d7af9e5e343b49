// Package lease implements leases on a replicated log. A lease lets one process at a
// time do the work of a duty.
//
// Table holds, for each duty, the process to which the lease was last granted and
// the term. It is built by applying the lease records of the platform's log in
// order. Candidate is the state machine of one process that competes for a lease. It
// takes events and returns actions, and uses no clock, network connection or
// goroutine itself. The term is the fencing number of the orders and reports that
// the holder sends.
package lease

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Grant is the state of a duty's lease after its last accepted record. The zero
// value means that the lease was never granted.
type Grant struct {
	Holder   id.Node
	Term     id.Term
	Offset   id.Offset // of the last accepted claim, renewal or release
	TTL      time.Duration
	Released bool
}

// Table holds the last grant of every duty. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	grants map[id.Duty]Grant
}

// NewTable returns a table without grants.
func NewTable() *Table { return &Table{grants: make(map[id.Duty]Grant)} }

// ApplyClaim applies a claim and reports whether it was accepted. A claim is accepted
// only for the next term, and only if the claimant had read the last accepted record
// of the duty. Otherwise a claimant that reads the log late could take the lease
// from a holder that has just renewed it.
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

// ApplyRenewal applies a renewal and reports whether it was accepted. A renewal is
// accepted only from the holder of the current term.
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

// ApplyRelease applies the release of a lease and reports whether it was accepted. A
// release is accepted only from the holder of the current term.
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

// heldBy reports whether the lease was granted to a holder under a term and not
// released. It does not check whether the lease has expired.
func (g Grant) heldBy(holder string, term uint64) bool {
	return g.Term > 0 && !g.Released && g.Holder == id.Node(holder) && g.Term == id.Term(term)
}

// Grant returns the last grant of a duty.
func (t *Table) Grant(duty id.Duty) Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[duty]
}

// Current reports whether term is the current term of a duty's lease and the lease
// was not released.
func (t *Table) Current(duty id.Duty, term id.Term) bool {
	g := t.Grant(duty)
	return term > 0 && g.Term == term && !g.Released
}

// Snapshot writes the table to s, sorted by duty.
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

// Restore replaces the table's content with that of a snapshot.
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
