package lease

// This file defines Candidate, the state machine of one process that competes for
// a lease.
//
// Three rules ensure that no two processes hold the lease at once:
//
//   - The holder measures its lease on both clocks, starting just before it sent
//     the claim or renewal that it later read back from the log. The lease has
//     expired as soon as either clock says so.
//   - Every other process waits for the time to live of the last record plus
//     ExpiryMargin, on its monotonic clock, starting when it read that record. It
//     reads the record after the holder sent it, and a monotonic clock that stops
//     only makes the wait longer.
//   - A claim names the last lease record that its writer has read. Table rejects
//     the claim if a renewal was appended in between.
//
// If clock rates differ from true time by at most r, the holder considers its lease
// valid for at most ttl/(1-r), and other processes wait for at least
// (ttl+margin)/(1+r). With a margin of ttl/5 the former is shorter for every r up
// to 9 %.

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/ragwortpass/ragwortpass/id"
)

// marginDivisor is the time to live divided by the expiry margin.
const marginDivisor = 5

// ExpiryMargin returns how long other processes wait after a lease's time to live
// has passed before they claim it.
func ExpiryMargin(ttl time.Duration) time.Duration { return ttl / marginDivisor }

// Config configures a Candidate.
type Config struct {
	Holder           id.Node       // unique to this run of the process
	TTL              time.Duration // time to live of the leases that it requests
	RenewInterval    time.Duration
	MaxOrderLifetime time.Duration // longest time after sending at which an order can take effect
	Stagger          time.Duration // extra delay before a claim; differs between candidates to avoid concurrent claims
}

// DefaultConfig returns a configuration whose intervals are proportional to ttl.
func DefaultConfig(holder id.Node, ttl, stagger time.Duration) Config {
	return Config{Holder: holder, TTL: ttl, RenewInterval: ttl / 4, MaxOrderLifetime: ttl / 4, Stagger: stagger}
}

// Candidate is the lease state machine of one process for one duty. It is not safe
// for concurrent use.
type Candidate struct {
	cfg     Config
	machine *fsm.FSM

	grant       Grant         // last grant observed
	grantReadAt time.Duration // monotonic time at which grant was observed

	pendingAppend uint64 // ID of the append in flight; zero: none
	lastAppendID  uint64
	sentAt        ClockReading  // taken before the append in flight was sent
	renewedAt     time.Duration // monotonic time at which the last renewal was sent

	term       id.Term       // of the last claim or of the lease that is held
	leaseStart ClockReading  // when the lease's time to live started
	holdFrom   time.Duration // monotonic time at which Settling ends
}

// NewCandidate returns a candidate in state Follower that has observed no grant.
func NewCandidate(now ClockReading, cfg Config) *Candidate {
	states := []string{string(Follower), string(Claiming), string(Settling), string(Holding)}
	events := fsm.Events{
		{Name: string(Claiming), Src: []string{string(Follower)}, Dst: string(Claiming)},
		{Name: string(Settling), Src: []string{string(Claiming), string(Follower)}, Dst: string(Settling)},
		{Name: string(Holding), Src: []string{string(Settling)}, Dst: string(Holding)},
		{Name: string(Follower), Src: states[1:], Dst: string(Follower)},
		{Name: string(Gone), Src: states, Dst: string(Gone)},
	}
	return &Candidate{cfg: cfg, machine: fsm.NewFSM(string(Follower), events, nil), grantReadAt: now.Monotonic}
}

// State returns the current state.
func (c *Candidate) State() State { return State(c.machine.Current()) }

// Holding reports whether the candidate holds the lease at now and may act on it.
// It returns the term and the time until the lease expires unless it is renewed.
func (c *Candidate) Holding(now ClockReading) (term id.Term, remaining time.Duration, ok bool) {
	remaining = c.remaining(now)
	if c.State() != Holding || remaining <= 0 {
		return 0, 0, false
	}
	return c.term, remaining, true
}

// remaining returns the time left of the lease on the clock that has advanced
// further. If the wall clock was set back behind the start of the lease, the time
// that has passed is unknown, and remaining returns zero.
func (c *Candidate) remaining(now ClockReading) time.Duration {
	wall := now.Wall.Sub(c.leaseStart.Wall)
	if wall < 0 {
		return 0
	}
	return c.cfg.TTL - max(wall, now.Monotonic-c.leaseStart.Monotonic)
}

// Step handles one event and returns the actions that the caller must carry out.
func (c *Candidate) Step(now ClockReading, ev Event) []Action {
	if c.State() == Gone {
		return nil
	}
	switch ev := ev.(type) {
	case *Tick:
		return c.tick(now, ev.LogAvailable)
	case *GrantObserved:
		return c.observeGrant(now, ev.Grant)
	case *AppendCompleted:
		return c.appendCompleted(now, ev)
	case *Resigned:
		return c.resign()
	}
	panic("unreachable")
}

// observeGrant records a new grant and gives up a lease that it supersedes.
func (c *Candidate) observeGrant(now ClockReading, g Grant) []Action {
	if g.Offset == c.grant.Offset {
		return nil
	}
	c.grant, c.grantReadAt = g, now.Monotonic
	if c.granted() && !g.heldBy(string(c.cfg.Holder), uint64(c.term)) {
		return c.transition(Follower, ReasonSuperseded)
	}
	return nil
}

// granted reports whether this candidate was granted the lease and has not lost it.
func (c *Candidate) granted() bool {
	return c.State() == Settling || c.State() == Holding
}

func (c *Candidate) tick(now ClockReading, logAvailable bool) []Action {
	switch c.State() {
	case Follower:
		return c.tryAcquire(now, logAvailable)
	case Claiming:
		return nil
	}
	if c.remaining(now) <= 0 {
		return c.transition(Follower, ReasonLapsed)
	}
	var actions []Action
	if c.State() == Settling && now.Monotonic >= c.holdFrom {
		actions = c.transition(Holding, ReasonSettled)
	}
	if c.pendingAppend == 0 && now.Monotonic-c.renewedAt >= c.cfg.RenewInterval {
		actions = append(actions, c.renew(now, c.term))
	}
	return actions
}

// tryAcquire claims the lease if it is vacant. If the last grant is this candidate's
// own and expired only locally, tryAcquire renews it.
func (c *Candidate) tryAcquire(now ClockReading, logAvailable bool) []Action {
	if c.pendingAppend != 0 || !logAvailable {
		return nil
	}
	if c.grant.heldBy(string(c.cfg.Holder), uint64(c.grant.Term)) {
		return []Action{c.renew(now, c.grant.Term)}
	}
	wait := c.cfg.Stagger
	if c.grant.Term > 0 && !c.grant.Released {
		wait += c.grant.TTL + ExpiryMargin(c.grant.TTL)
	}
	if now.Monotonic-c.grantReadAt < wait {
		return nil
	}
	c.startAppend(now)
	claim := &AppendClaim{AppendID: c.pendingAppend, Term: c.grant.Term + 1, SeenOffset: c.grant.Offset}
	c.term = claim.Term
	return append(c.transition(Claiming, ReasonVacant), claim)
}

func (c *Candidate) renew(now ClockReading, term id.Term) Action {
	c.startAppend(now)
	c.renewedAt = now.Monotonic
	return &AppendRenewal{AppendID: c.pendingAppend, Term: term}
}

// startAppend assigns an ID to an append and records the time before it is sent.
func (c *Candidate) startAppend(now ClockReading) {
	c.lastAppendID++
	c.pendingAppend, c.sentAt = c.lastAppendID, now
}

func (c *Candidate) appendCompleted(now ClockReading, ev *AppendCompleted) []Action {
	if c.pendingAppend == 0 || ev.AppendID != c.pendingAppend {
		return nil
	}
	c.pendingAppend = 0
	if ev.Result == AppendAccepted {
		return c.appendAccepted(now)
	}
	switch {
	case c.State() == Claiming && ev.Result == AppendRejected:
		return c.transition(Follower, ReasonRefused)
	case c.State() == Claiming:
		return c.transition(Follower, ReasonUncertain)
	case c.granted() && ev.Result == AppendRejected:
		return c.transition(Follower, ReasonSuperseded)
	}
	return nil
}

// appendAccepted starts the lease at the time before the append was sent, unless
// another process has been granted the lease in the meantime.
func (c *Candidate) appendAccepted(now ClockReading) []Action {
	claimed := c.State() == Claiming
	if !claimed && !c.granted() {
		c.term = c.grant.Term
	}
	if !c.grant.heldBy(string(c.cfg.Holder), uint64(c.term)) {
		if c.State() == Follower {
			return nil
		}
		return c.transition(Follower, ReasonSuperseded)
	}
	c.leaseStart = c.sentAt
	if c.granted() {
		return nil
	}
	c.renewedAt = c.sentAt.Monotonic
	c.holdFrom = now.Monotonic + c.cfg.MaxOrderLifetime
	if claimed {
		return c.transition(Settling, ReasonGranted)
	}
	return c.transition(Settling, ReasonResumed)
}

// resign releases the lease if it is held and stops the candidate.
func (c *Candidate) resign() []Action {
	granted := c.granted()
	actions := c.transition(Gone, ReasonLeft)
	if granted {
		actions = append(actions, &AppendRelease{Term: c.term})
	}
	return actions
}

// transition changes the state and returns the action that reports the change. It panics
// if the state machine has no such transition.
func (c *Candidate) transition(to State, reason Reason) []Action {
	from := c.State()
	if err := c.machine.Event(context.Background(), string(to)); err != nil {
		panic("lease: no transition from state " + string(from) + " to " + string(to))
	}
	return []Action{&StateChanged{From: from, To: to, Term: c.term, Reason: reason}}
}
