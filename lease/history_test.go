package lease_test

// This file simulates several candidates on one log, with lost append results,
// delayed reads, paused processes, suspended VMs, and clocks that drift and jump.

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	duty         = id.DutyOrders
	ttl          = 1000 * time.Millisecond
	stepDuration = 25 * time.Millisecond
	// The expiry margin tolerates a drift of up to 9 %.
	maxClockDrift = 0.05
)

// logEntry is a record on the simulated log.
type logEntry struct {
	author   int // index of the member that appended it
	appendID uint64
	body     any
}

// inFlightAppend is an append that has not reached the log yet.
type inFlightAppend struct {
	logEntry
	arrivesAt time.Duration // in true time
}

// member is one candidate with its clocks and its copy of the lease table.
type member struct {
	candidate   *lease.Candidate
	table       *lease.Table
	name        id.Node
	clockRate   float64
	monotonic   time.Duration
	wallOffset  time.Duration
	wallSetBack bool            // the wall clock was set back; the VM is not suspended from then on
	applied     int             // records applied to table
	pausedUntil time.Duration   // the process is paused until this true time
	suspended   bool            // the monotonic clock stands still while the process is paused
	lagsUntil   time.Duration   // the process reads nothing until this true time
	uncertain   map[uint64]bool // IDs of the appends whose results are lost
}

type simulation struct {
	t           *rapid.T
	now         time.Duration // true time
	log         []logEntry
	inFlight    []inFlightAppend
	members     []*member
	outageUntil time.Duration // in true time; no append reaches the log until then
	holderCount int
}

func (s *simulation) reading(m *member) lease.ClockReading {
	return lease.ClockReading{Monotonic: m.monotonic, Wall: time.Unix(1_000_000, 0).Add(s.now + m.wallOffset)}
}

func (s *simulation) step(m *member, ev lease.Event) {
	for _, a := range m.candidate.Step(s.reading(m), ev) {
		var appendID uint64
		var body any
		switch a := a.(type) {
		case *lease.AppendClaim:
			appendID = a.AppendID
			body = &ragwortv1.LeaseClaimed{Duty: string(duty), Holder: string(m.name), Term: uint64(a.Term), SeenOffset: uint64(a.SeenOffset), TtlMs: ttl.Milliseconds()}
		case *lease.AppendRenewal:
			appendID = a.AppendID
			body = &ragwortv1.LeaseRenewed{Duty: string(duty), Holder: string(m.name), Term: uint64(a.Term), TtlMs: ttl.Milliseconds()}
		case *lease.AppendRelease:
			body = &ragwortv1.LeaseReleased{Duty: string(duty), Holder: string(m.name), Term: uint64(a.Term)}
		case *lease.StateChanged:
			continue
		}
		delay := time.Duration(rapid.IntRange(0, 600).Draw(s.t, "append_ms")) * time.Millisecond
		if rapid.IntRange(0, 9).Draw(s.t, "fast") > 0 {
			delay /= 20
		}
		e := logEntry{author: s.index(m), appendID: appendID, body: body}
		s.inFlight = append(s.inFlight, inFlightAppend{logEntry: e, arrivesAt: s.now + delay})
		if rapid.IntRange(0, 9).Draw(s.t, "lost") == 0 {
			m.uncertain[appendID] = true
		}
	}
}

func (s *simulation) index(m *member) int {
	for i, o := range s.members {
		if o == m {
			return i
		}
	}
	panic("unreachable")
}

// deliverAppends moves the appends that have arrived to the log.
func (s *simulation) deliverAppends() {
	if s.now < s.outageUntil {
		return
	}
	var remaining []inFlightAppend
	for _, a := range s.inFlight {
		if a.arrivesAt <= s.now {
			s.log = append(s.log, a.logEntry)
		} else {
			remaining = append(remaining, a)
		}
	}
	s.inFlight = remaining
}

func applyRecord(t *lease.Table, offset id.Offset, body any) bool {
	switch b := body.(type) {
	case *ragwortv1.LeaseClaimed:
		return t.ApplyClaim(offset, b)
	case *ragwortv1.LeaseRenewed:
		return t.ApplyRenewal(offset, b)
	case *ragwortv1.LeaseReleased:
		return t.ApplyRelease(offset, b)
	}
	panic("unreachable")
}

// readLog applies some of the records that a member has not read yet.
func (s *simulation) readLog(m *member) {
	upTo := len(s.log)
	if s.now < m.lagsUntil {
		upTo = m.applied
	}
	if rapid.IntRange(0, 4).Draw(s.t, "lag") == 0 {
		upTo = rapid.IntRange(m.applied, upTo).Draw(s.t, "up_to")
	}
	for ; m.applied < upTo; m.applied++ {
		e := s.log[m.applied]
		ok := applyRecord(m.table, id.Offset(m.applied+1), e.body)
		s.step(m, &lease.GrantObserved{Grant: m.table.Grant(duty)})
		if e.author == s.index(m) && e.appendID > 0 && !m.uncertain[e.appendID] {
			result := lease.AppendRejected
			if ok {
				result = lease.AppendAccepted
			}
			s.step(m, &lease.AppendCompleted{AppendID: e.appendID, Result: result})
		}
	}
	for appendID := range m.uncertain {
		s.step(m, &lease.AppendCompleted{AppendID: appendID, Result: lease.AppendUncertain})
	}
}

// injectFault draws the fault of one member in one step, if any.
func (s *simulation) injectFault(m *member) {
	switch rapid.IntRange(0, 199).Draw(s.t, "fault") {
	case 0, 1:
		m.pausedUntil = s.now + time.Duration(rapid.IntRange(0, 4000).Draw(s.t, "stop_ms"))*time.Millisecond
	case 2, 3:
		if !m.wallSetBack {
			m.suspended = true
			m.pausedUntil = s.now + time.Duration(rapid.IntRange(0, 4000).Draw(s.t, "suspend_ms"))*time.Millisecond
		}
	case 4:
		step := time.Duration(rapid.IntRange(-5000, 5000).Draw(s.t, "jump_ms")) * time.Millisecond
		m.wallOffset += step
		m.wallSetBack = m.wallSetBack || step < 0
	case 5, 6:
		m.lagsUntil = s.now + time.Duration(rapid.IntRange(0, 900).Draw(s.t, "lag_ms"))*time.Millisecond
	case 7:
		s.outageUntil = s.now + time.Duration(rapid.IntRange(0, 3000).Draw(s.t, "outage_ms"))*time.Millisecond
	}
}

// advance moves true time forward by one step for every member.
func (s *simulation) advance() {
	s.now += stepDuration
	s.deliverAppends()
	for _, m := range s.members {
		if s.now < m.pausedUntil {
			if !m.suspended {
				m.monotonic += time.Duration(float64(stepDuration) * m.clockRate)
			}
			continue
		}
		m.suspended = false
		m.monotonic += time.Duration(float64(stepDuration) * m.clockRate)
		s.injectFault(m)
		s.readLog(m)
		s.step(m, &lease.Tick{LogAvailable: s.now >= s.outageUntil})
	}
}

// checkOneHolder requires that at most one member considers itself the holder. Paused
// processes count too, since they may be about to act on the lease.
func (s *simulation) checkOneHolder(t require.TestingT) {
	var holders []string
	for _, m := range s.members {
		if term, _, ok := m.candidate.Holding(s.reading(m)); ok {
			holders = append(holders, fmt.Sprintf("%s@%d", m.name, term))
		}
	}
	s.holderCount += len(holders)
	require.LessOrEqual(t, len(holders), 1, "at %v: %v", s.now, holders)
}

// TestAtMostOneHolder simulates candidates under random faults and checks after every step
// that at most one of them holds the lease.
func TestAtMostOneHolder(t *testing.T) {
	holderCount := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{t: rt}
		n := rapid.IntRange(2, 4).Draw(rt, "members")
		for i := range n {
			m := &member{name: id.Node(fmt.Sprintf("e%d", i)), table: lease.NewTable(), uncertain: make(map[uint64]bool)}
			m.clockRate = rapid.Float64Range(1-maxClockDrift, 1+maxClockDrift).Draw(rt, "rate")
			s.members = append(s.members, m)
			stagger := time.Duration(rapid.IntRange(0, 100).Draw(rt, "stagger_ms")) * time.Millisecond
			m.candidate = lease.NewCandidate(s.reading(m), lease.DefaultConfig(m.name, ttl, stagger))
		}
		for range 400 {
			s.advance()
			s.checkOneHolder(rt)
		}
		holderCount += s.holderCount
	})
	require.Positive(t, holderCount, "no member ever held the lease")
}

// referenceAccepted is the reference implementation of Table. It returns the indices
// of the accepted records.
func referenceAccepted(records []any) []int {
	var accepted []int
	term, holder, released := uint64(0), "", true
	for i, body := range records {
		last := uint64(0)
		if len(accepted) > 0 {
			last = uint64(accepted[len(accepted)-1] + 1)
		}
		switch b := body.(type) {
		case *ragwortv1.LeaseClaimed:
			if b.GetTerm() != term+1 || b.GetSeenOffset() != last {
				continue
			}
			term, holder, released = b.GetTerm(), b.GetHolder(), false
		case *ragwortv1.LeaseRenewed:
			if released || b.GetTerm() != term || b.GetHolder() != holder {
				continue
			}
		case *ragwortv1.LeaseReleased:
			if released || b.GetTerm() != term || b.GetHolder() != holder {
				continue
			}
			released = true
		}
		accepted = append(accepted, i)
	}
	return accepted
}

// TestTableMatchesReference applies random lease records, with a snapshot and restore after
// each, and compares the accepted ones with those of the reference implementation.
func TestTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		holder := rapid.SampledFrom([]string{"a", "b", "c"})
		term, seen := rapid.Uint64Range(0, 6), rapid.Uint64Range(0, 30)
		var records []any
		for range rapid.IntRange(0, 30).Draw(rt, "records") {
			h, n := holder.Draw(rt, "holder"), term.Draw(rt, "term")
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				seenOffset := seen.Draw(rt, "seen")
				if accepted := referenceAccepted(records); rapid.Bool().Draw(rt, "right") && len(accepted) > 0 {
					seenOffset = uint64(accepted[len(accepted)-1] + 1)
				}
				records = append(records, &ragwortv1.LeaseClaimed{Duty: string(duty), Holder: h, Term: n, SeenOffset: seenOffset, TtlMs: 10})
			case 1:
				records = append(records, &ragwortv1.LeaseRenewed{Duty: string(duty), Holder: h, Term: n, TtlMs: 10})
			default:
				records = append(records, &ragwortv1.LeaseReleased{Duty: string(duty), Holder: h, Term: n})
			}
		}
		table := lease.NewTable()
		var got []int
		for i, body := range records {
			if applyRecord(table, id.Offset(i+1), body) {
				got = append(got, i)
			}
			var s ragwortv1.State
			table.Snapshot(&s)
			table = lease.NewTable()
			table.Restore(&s)
		}
		require.Equal(rt, referenceAccepted(records), got)
	})
}
