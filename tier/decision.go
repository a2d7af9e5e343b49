package tier

// This file defines the decisions of a queue.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
)

// PushResult is the outcome of a push: Queued, Displaced, Full or Infeasible.
type PushResult interface{ admission() }

// Queued says that the waiter was added.
type Queued struct{}

// Displaced says that the waiter was added in the place of another, which is to
// be refused.
type Displaced struct{ Waiter *Waiter }

// Full says that the waiter was not added: every one in the queue goes before it.
type Full struct{}

// Infeasible says that the waiter was not added: it cannot start in time.
type Infeasible struct {
	MinWait time.Duration // the least that those take that go first
}

func (Queued) admission()     {}
func (Displaced) admission()  {}
func (Full) admission()       {}
func (Infeasible) admission() {}

// Reason returns why the displaced waiter was shed for w.
func (d Displaced) Reason(w *Waiter) problem.Reason {
	if w.Tier.Above(d.Waiter.Tier) {
		return problem.ShedForTier
	}
	return problem.QueueFull
}

// Selection says who is dispatched next: Idle, InTurn, BelowFloor or Starving.
type Selection interface{ turn() }

// Idle says that no one waits.
type Idle struct{}

// InTurn says that the waiter is first by tier, class and workspace.
type InTurn struct{ Waiter *Waiter }

// BelowFloor says that the waiter goes ahead of higher tiers since its class is
// below its floor.
type BelowFloor struct{ Waiter *Waiter }

// Starving says that the waiter goes ahead of higher tiers since its class
// had no dispatch for too long.
type Starving struct{ Waiter *Waiter }

func (Idle) turn()       {}
func (InTurn) turn()     {}
func (BelowFloor) turn() {}
func (Starving) turn()   {}

// Selected returns a turn's waiter, nil if it is Idle, and its reason code.
func Selected(t Selection) (w *Waiter, reason string) {
	switch t := t.(type) {
	case InTurn:
		return t.Waiter, "in_turn"
	case BelowFloor:
		return t.Waiter, "below_floor"
	case Starving:
		return t.Waiter, "starving"
	}
	return nil, "idle"
}
