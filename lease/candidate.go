package lease

// This file defines Candidate.
//
// Safety rests on three rules. A holder counts its lease from before it sent the
// record that it has read back, by both clocks, and takes it for lapsed as soon as
// either clock says so. Every other process waits the record's time to live plus a
// margin from when it read that record, which is later than the sending, by its
// monotonic clock, whose stops only lengthen the wait. And a claim names the last
// record its writer has read, so the fold drops it if a renewal came in between.
//
// With clock rates that differ from true time by at most r, a holder believes for
// at most ttl/(1-r), and others wait at least (ttl+margin)/(1+r). With a margin of
// ttl/5 the first is the shorter one for every r up to 9 %.

import (
	"context"
	"time"

	"github.com/looplab/fsm"

	"github.com/ragwortpass/ragwortpass/id"
)

// marginDivisor makes the margin a fixed part of the time to live.
const marginDivisor = 5

// ExpiryMargin is how much longer than the time to live other processes wait.
func ExpiryMargin(ttl time.Duration) time.Duration { return ttl / marginDivisor }

// Config is how a candidate stands for a duty.
type Config struct {
	Holder           id.Node       // unique to this run of the process
	TTL              time.Duration // of the leases it asks for
	RenewInterval    time.Duration
	MaxOrderLifetime time.Duration // after which an order can take effect no more
	Stagger          time.Duration // by which it claims later than others, to keep claims few
}

// DefaultConfig returns the config with times in proportion to ttl.
func DefaultConfig(holder id.Node, ttl, stagger time.Duration) Config {
	return Config{Holder: holder, TTL: ttl, RenewInterval: ttl / 4, MaxOrderLifetime: ttl / 4, Stagger: stagger}
}

// Candidate is one process that stands for one duty. It is not safe for
// concurrent use.
type Candidate struct {
	cfg     Config
	machine *fsm.FSM

	grant Grant         // the last one folded here
	read  time.Duration // monotonic reading at which it was told

	try     uint64 // append in flight; zero: none
	tries   uint64
	sent    ClockReading // before that append was sent
	renewed time.Duration

	term    id.Term
	counted ClockReading // from which the lease is counted
	actFrom time.Duration
}

// NewCandidate returns a follower that has read no record.
func NewCandidate(now ClockReading, cfg Config) *Candidate {
	all := []string{string(Follower), string(Claiming), string(Settling), string(Holding)}
	events := fsm.Events{
		{Name: string(Claiming), Src: []string{string(Follower)}, Dst: string(Claiming)},
		{Name: string(Settling), Src: []string{string(Claiming), string(Follower)}, Dst: string(Settling)},
		{Name: string(Holding), Src: []string{string(Settling)}, Dst: string(Holding)},
		{Name: string(Follower), Src: all[1:], Dst: string(Follower)},
		{Name: string(Gone), Src: all, Dst: string(Gone)},
	}
	return &Candidate{cfg: cfg, machine: fsm.NewFSM(string(Follower), events, nil), read: now.Monotonic}
}

// State returns the present state.
func (c *Candidate) State() State { return State(c.machine.Current()) }

// Holding reports whether the duty may be done at now, under which term, and for
// how long if nothing is renewed.
func (c *Candidate) Holding(now ClockReading) (term id.Term, left time.Duration, ok bool) {
	left = c.left(now)
	if c.State() != Holding || left <= 0 {
		return 0, 0, false
	}
	return c.term, left, true
}

// left is what remains of the lease by the clock that leaves less. A wall clock
// that was set back says nothing about the past, so it leaves nothing.
func (c *Candidate) left(now ClockReading) time.Duration {
	wall := now.Wall.Sub(c.counted.Wall)
	if wall < 0 {
		return 0
	}
	return c.cfg.TTL - max(wall, now.Monotonic-c.counted.Monotonic)
}

// Step takes one event and returns what is to be done.
func (c *Candidate) Step(now ClockReading, ev Event) []Action {
	if c.State() == Gone {
		return nil
	}
	switch ev := ev.(type) {
	case *Tick:
		return c.tick(now, ev.LogAvailable)
	case *GrantObserved:
		return c.observe(now, ev.Grant)
	case *AppendCompleted:
		return c.answered(now, ev)
	case *Resigned:
		return c.leave()
	}
	panic("unreachable")
}

// observe notes a grant that was folded here.
func (c *Candidate) observe(now ClockReading, g Grant) []Action {
	if g.Offset == c.grant.Offset {
		return nil
	}
	c.grant, c.read = g, now.Monotonic
	if c.granted() && !g.heldBy(string(c.cfg.Holder), uint64(c.term)) {
		return c.step(Follower, ReasonSuperseded)
	}
	return nil
}

// granted reports whether a lease was granted to this candidate and not lost.
func (c *Candidate) granted() bool {
	return c.State() == Settling || c.State() == Holding
}

func (c *Candidate) tick(now ClockReading, logAvailable bool) []Action {
	switch c.State() {
	case Follower:
		return c.standing(now, logAvailable)
	case Claiming:
		return nil
	}
	if c.left(now) <= 0 {
		return c.step(Follower, ReasonLapsed)
	}
	var todo []Action
	if c.State() == Settling && now.Monotonic >= c.actFrom {
		todo = c.step(Holding, ReasonSettled)
	}
	if c.try == 0 && now.Monotonic-c.renewed >= c.cfg.RenewInterval {
		todo = append(todo, c.renew(now, c.term))
	}
	return todo
}

// standing claims a vacant lease, or renews an own one that has lapsed here only.
func (c *Candidate) standing(now ClockReading, logAvailable bool) []Action {
	if c.try != 0 || !logAvailable {
		return nil
	}
	if c.grant.heldBy(string(c.cfg.Holder), uint64(c.grant.Term)) {
		return []Action{c.renew(now, c.grant.Term)}
	}
	wait := c.cfg.Stagger
	if c.grant.Term > 0 && !c.grant.Released {
		wait += c.grant.TTL + ExpiryMargin(c.grant.TTL)
	}
	if now.Monotonic-c.read < wait {
		return nil
	}
	c.send(now)
	claim := &AppendClaim{AppendID: c.try, Term: c.grant.Term + 1, SeenOffset: c.grant.Offset}
	c.term = claim.Term
	return append(c.step(Claiming, ReasonVacant), claim)
}

func (c *Candidate) renew(now ClockReading, term id.Term) Action {
	c.send(now)
	c.renewed = now.Monotonic
	return &AppendRenewal{AppendID: c.try, Term: term}
}

// send notes an append before it is sent.
func (c *Candidate) send(now ClockReading) {
	c.tries++
	c.try, c.sent = c.tries, now
}

func (c *Candidate) answered(now ClockReading, a *AppendCompleted) []Action {
	if c.try == 0 || a.AppendID != c.try {
		return nil
	}
	c.try = 0
	if a.Result == AppendAccepted {
		return c.accepted(now)
	}
	switch {
	case c.State() == Claiming && a.Result == AppendRejected:
		return c.step(Follower, ReasonRefused)
	case c.State() == Claiming:
		return c.step(Follower, ReasonUncertain)
	case c.granted() && a.Result == AppendRejected:
		return c.step(Follower, ReasonSuperseded)
	}
	return nil
}

// accepted counts the lease from before the append was sent, unless a later grant
// has been read meanwhile.
func (c *Candidate) accepted(now ClockReading) []Action {
	claimed := c.State() == Claiming
	if !claimed && !c.granted() {
		c.term = c.grant.Term
	}
	if !c.grant.heldBy(string(c.cfg.Holder), uint64(c.term)) {
		if c.State() == Follower {
			return nil
		}
		return c.step(Follower, ReasonSuperseded)
	}
	c.counted = c.sent
	if c.granted() {
		return nil
	}
	c.renewed = c.sent.Monotonic
	c.actFrom = now.Monotonic + c.cfg.MaxOrderLifetime
	if claimed {
		return c.step(Settling, ReasonGranted)
	}
	return c.step(Settling, ReasonResumed)
}

// leave gives the lease up.
func (c *Candidate) leave() []Action {
	held := c.granted()
	todo := c.step(Gone, ReasonLeft)
	if held {
		todo = append(todo, &AppendRelease{Term: c.term})
	}
	return todo
}

// step changes the state.
func (c *Candidate) step(to State, reason Reason) []Action {
	from := c.State()
	if err := c.machine.Event(context.Background(), string(to)); err != nil {
		panic("lease: no way from " + string(from) + " to " + string(to))
	}
	return []Action{&StateChanged{From: from, To: to, Term: c.term, Reason: reason}}
}
