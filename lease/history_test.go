package lease_test

// Random histories of several candidates over one log: lost answers, delayed
// reads, processes that stop, VMs that are suspended, clocks that drift and step.

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
	duty     = id.DutyOrders
	ttl      = 1000 * time.Millisecond
	stepTime = 25 * time.Millisecond
	// A drift of 5 % is within the 9 % that the margin bears.
	maxDrift = 0.05
)

// entry is a record on the simulated log.
type entry struct {
	by   int
	try  uint64
	body any
}

// sending is an append that has not reached the log yet.
type sending struct {
	entry
	lands time.Duration // true time
}

// member is one candidate with its clocks and its reading of the log.
type member struct {
	c         *lease.Candidate
	table     *lease.Table
	name      id.Node
	rate      float64
	monotonic time.Duration
	wallOff   time.Duration
	stepped   bool          // the wall clock was set back: no suspension from here on
	folded    int           // records folded
	stopped   time.Duration // until this true time the process does not run
	suspended bool          // while stopped, the monotonic clock stands
	lags      time.Duration // until this true time it reads nothing
	uncertain map[uint64]bool
}

type world struct {
	t       *rapid.T
	now     time.Duration // true time
	log     []entry
	flying  []sending
	members []*member
	outage  time.Duration // until
	holds   int
}

func (w *world) reading(m *member) lease.ClockReading {
	return lease.ClockReading{Monotonic: m.monotonic, Wall: time.Unix(1_000_000, 0).Add(w.now + m.wallOff)}
}

func (w *world) run(m *member, ev lease.Event) {
	for _, a := range m.c.Step(w.reading(m), ev) {
		var try uint64
		var body any
		switch a := a.(type) {
		case *lease.AppendClaim:
			try = a.AppendID
			body = &ragwortv1.LeaseClaimed{Duty: string(duty), Holder: string(m.name), Term: uint64(a.Term), SeenOffset: uint64(a.SeenOffset), TtlMs: ttl.Milliseconds()}
		case *lease.AppendRenewal:
			try = a.AppendID
			body = &ragwortv1.LeaseRenewed{Duty: string(duty), Holder: string(m.name), Term: uint64(a.Term), TtlMs: ttl.Milliseconds()}
		case *lease.AppendRelease:
			body = &ragwortv1.LeaseReleased{Duty: string(duty), Holder: string(m.name), Term: uint64(a.Term)}
		case *lease.StateChanged:
			continue
		}
		delay := time.Duration(rapid.IntRange(0, 600).Draw(w.t, "append_ms")) * time.Millisecond
		if rapid.IntRange(0, 9).Draw(w.t, "fast") > 0 {
			delay /= 20
		}
		e := entry{by: w.index(m), try: try, body: body}
		w.flying = append(w.flying, sending{entry: e, lands: w.now + delay})
		if rapid.IntRange(0, 9).Draw(w.t, "lost") == 0 {
			m.uncertain[try] = true
		}
	}
}

func (w *world) index(m *member) int {
	for i, o := range w.members {
		if o == m {
			return i
		}
	}
	panic("unreachable")
}

// land moves arrived appends onto the log.
func (w *world) land() {
	if w.now < w.outage {
		return
	}
	var rest []sending
	for _, s := range w.flying {
		if s.lands <= w.now {
			w.log = append(w.log, s.entry)
		} else {
			rest = append(rest, s)
		}
	}
	w.flying = rest
}

func fold(t *lease.Table, offset id.Offset, body any) bool {
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

// read folds some of what a member has not read yet.
func (w *world) read(m *member) {
	upTo := len(w.log)
	if w.now < m.lags {
		upTo = m.folded
	}
	if rapid.IntRange(0, 4).Draw(w.t, "lag") == 0 {
		upTo = rapid.IntRange(m.folded, upTo).Draw(w.t, "up_to")
	}
	for ; m.folded < upTo; m.folded++ {
		e := w.log[m.folded]
		ok := fold(m.table, id.Offset(m.folded+1), e.body)
		w.run(m, &lease.GrantObserved{Grant: m.table.Grant(duty)})
		if e.by == w.index(m) && e.try > 0 && !m.uncertain[e.try] {
			answer := lease.AppendRejected
			if ok {
				answer = lease.AppendAccepted
			}
			w.run(m, &lease.AppendCompleted{AppendID: e.try, Result: answer})
		}
	}
	for try := range m.uncertain {
		w.run(m, &lease.AppendCompleted{AppendID: try, Result: lease.AppendUncertain})
	}
}

// disturb draws the faults of one step.
func (w *world) disturb(m *member) {
	switch rapid.IntRange(0, 199).Draw(w.t, "fault") {
	case 0, 1:
		m.stopped = w.now + time.Duration(rapid.IntRange(0, 4000).Draw(w.t, "stop_ms"))*time.Millisecond
	case 2, 3:
		if !m.stepped {
			m.suspended = true
			m.stopped = w.now + time.Duration(rapid.IntRange(0, 4000).Draw(w.t, "suspend_ms"))*time.Millisecond
		}
	case 4:
		step := time.Duration(rapid.IntRange(-5000, 5000).Draw(w.t, "jump_ms")) * time.Millisecond
		m.wallOff += step
		m.stepped = m.stepped || step < 0
	case 5, 6:
		m.lags = w.now + time.Duration(rapid.IntRange(0, 900).Draw(w.t, "lag_ms"))*time.Millisecond
	case 7:
		w.outage = w.now + time.Duration(rapid.IntRange(0, 3000).Draw(w.t, "outage_ms"))*time.Millisecond
	}
}

// advance lets one step of true time pass for every member.
func (w *world) advance() {
	w.now += stepTime
	w.land()
	for _, m := range w.members {
		if w.now < m.stopped {
			if !m.suspended {
				m.monotonic += time.Duration(float64(stepTime) * m.rate)
			}
			continue
		}
		m.suspended = false
		m.monotonic += time.Duration(float64(stepTime) * m.rate)
		w.disturb(m)
		w.read(m)
		w.run(m, &lease.Tick{LogAvailable: w.now >= w.outage})
	}
}

// check requires that at most one member believes that it holds the lease. The
// belief of a stopped process counts too: it may be about to act on it.
func (w *world) check(t require.TestingT) {
	var holders []string
	for _, m := range w.members {
		if term, _, ok := m.c.Holding(w.reading(m)); ok {
			holders = append(holders, fmt.Sprintf("%s@%d", m.name, term))
		}
	}
	w.holds += len(holders)
	require.LessOrEqual(t, len(holders), 1, "at %v: %v", w.now, holders)
}

func TestNeverTwoHolders(t *testing.T) {
	held := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{t: rt}
		n := rapid.IntRange(2, 4).Draw(rt, "members")
		for i := range n {
			m := &member{name: id.Node(fmt.Sprintf("e%d", i)), table: lease.NewTable(), uncertain: make(map[uint64]bool)}
			m.rate = rapid.Float64Range(1-maxDrift, 1+maxDrift).Draw(rt, "rate")
			w.members = append(w.members, m)
			stagger := time.Duration(rapid.IntRange(0, 100).Draw(rt, "stagger_ms")) * time.Millisecond
			m.c = lease.NewCandidate(w.reading(m), lease.DefaultConfig(m.name, ttl, stagger))
		}
		for range 400 {
			w.advance()
			w.check(rt)
		}
		held += w.holds
	})
	require.Positive(t, held, "no history had a holder")
}

// naive recomputes the grant of the duty from every record, in the words of the
// rules: it keeps the accepted records and looks at the last one.
func naive(records []any) []int {
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

func TestFoldAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		holder := rapid.SampledFrom([]string{"a", "b", "c"})
		term, seen := rapid.Uint64Range(0, 6), rapid.Uint64Range(0, 30)
		var records []any
		for range rapid.IntRange(0, 30).Draw(rt, "records") {
			h, n := holder.Draw(rt, "holder"), term.Draw(rt, "term")
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				at := seen.Draw(rt, "seen")
				if last := naive(records); rapid.Bool().Draw(rt, "right") && len(last) > 0 {
					at = uint64(last[len(last)-1] + 1)
				}
				records = append(records, &ragwortv1.LeaseClaimed{Duty: string(duty), Holder: h, Term: n, SeenOffset: at, TtlMs: 10})
			case 1:
				records = append(records, &ragwortv1.LeaseRenewed{Duty: string(duty), Holder: h, Term: n, TtlMs: 10})
			default:
				records = append(records, &ragwortv1.LeaseReleased{Duty: string(duty), Holder: h, Term: n})
			}
		}
		table := lease.NewTable()
		var got []int
		for i, body := range records {
			if fold(table, id.Offset(i+1), body) {
				got = append(got, i)
			}
			var s ragwortv1.State
			table.Snapshot(&s)
			table = lease.NewTable()
			table.Restore(&s)
		}
		require.Equal(rt, naive(records), got)
	})
}
