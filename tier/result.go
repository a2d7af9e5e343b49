package tier

// This file defines the results of Queue.Push and Queue.Next.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
)

// PushResult is the outcome of Queue.Push: Queued, Displaced, Full or Infeasible.
type PushResult interface{ pushResult() }

// Queued means that the waiter was added.
type Queued struct{}

// Displaced means that the waiter was added and the given Waiter was removed to
// make room. The caller must refuse the removed one.
type Displaced struct{ Waiter *Waiter }

// Full means that the waiter was not added, because the queue is full and holds no
// waiter of a lower tier or a newer one of the same tier.
type Full struct{}

// Infeasible means that the waiter cannot be dispatched by its StartBy. Push does
// not add such a waiter, and ShedInfeasible removes one.
type Infeasible struct {
	MinWait time.Duration // lower bound of the time until it could be dispatched
}

func (Queued) pushResult()     {}
func (Displaced) pushResult()  {}
func (Full) pushResult()       {}
func (Infeasible) pushResult() {}

// Reason returns the refusal reason for the displaced waiter, where w is the one
// that took its place.
func (d Displaced) Reason(w *Waiter) problem.Reason {
	if w.Tier.Above(d.Waiter.Tier) {
		return problem.ShedForTier
	}
	return problem.QueueFull
}

// Selection is the result of Queue.Next: Idle, InTurn, BelowFloor or Starving.
type Selection interface{ selection() }

// Idle means that the queue is empty.
type Idle struct{}

// InTurn means that the waiter is first by tier, class and workspace.
type InTurn struct{ Waiter *Waiter }

// BelowFloor means that the waiter goes ahead of higher tiers because its class is
// below its floor.
type BelowFloor struct{ Waiter *Waiter }

// Starving means that the waiter goes before its turn, ahead of its own or of higher
// tiers, because its class has had no dispatch for too long.
type Starving struct{ Waiter *Waiter }

func (Idle) selection()       {}
func (InTurn) selection()     {}
func (BelowFloor) selection() {}
func (Starving) selection()   {}

// Selected returns the waiter of a selection, or nil if it is Idle, and the
// selection's reason code.
func Selected(s Selection) (w *Waiter, reason string) {
	switch s := s.(type) {
	case InTurn:
		return s.Waiter, "in_turn"
	case BelowFloor:
		return s.Waiter, "below_floor"
	case Starving:
		return s.Waiter, "starving"
	}
	return nil, "idle"
}
