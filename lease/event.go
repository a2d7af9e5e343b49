package lease

// This file defines what a Candidate is told and what it asks for.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// ClockReading is one look at both clocks of a process. The monotonic clock never steps
// but stops while a VM is suspended; the wall clock goes on but can step.
type ClockReading struct {
	Monotonic time.Duration // since a start that is fixed for the process
	Wall      time.Time
}

// Event is what a candidate is told: *Tick, *Observed, *Answered or *Left.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct {
	LogAvailable bool // the log has been read lately
}

// GrantObserved tells the grant that this process has folded. Grants are told in log
// order, and no later than the answer to the append that made them.
type GrantObserved struct{ Grant Grant }

// AppendResult is what became of an append.
type AppendResult int

// The values of Answer. An uncertain append may still be folded at any later time.
const (
	AppendAccepted AppendResult = iota
	AppendRejected
	AppendUncertain
)

// AppendCompleted tells what became of the append that a Claim or Renew asked for.
type AppendCompleted struct {
	AppendID uint64
	Result   AppendResult
}

// Resigned tells that the process is leaving and has ended all work of the duty.
type Resigned struct{}

func (*Tick) event()            {}
func (*GrantObserved) event()   {}
func (*AppendCompleted) event() {}
func (*Resigned) event()        {}

// Action is what a candidate asks for: *Claim, *Renew, *Release or *Changed.
type Action interface{ action() }

// AppendClaim asks to append a claim.
type AppendClaim struct {
	AppendID   uint64
	Term       id.Term
	SeenOffset id.Offset
}

// AppendRenewal asks to append a renewal.
type AppendRenewal struct {
	AppendID uint64
	Term     id.Term
}

// AppendRelease asks to append a release.
type AppendRelease struct{ Term id.Term }

// StateChanged tells that the candidate's state has changed.
type StateChanged struct {
	From, To State
	Term     id.Term
	Reason   Reason
}

func (*AppendClaim) action()   {}
func (*AppendRenewal) action() {}
func (*AppendRelease) action() {}
func (*StateChanged) action()  {}

// State is how far a candidate is from doing the duty.
type State string

// The states of a candidate.
const (
	Follower State = "follower" // another process may hold the lease
	Claiming State = "claiming" // a claim is on its way
	Settling State = "settling" // granted; an order of the predecessor may still be on its way
	Holding  State = "holding"  // may act
	Gone     State = "gone"     // stands no longer
)

// Reason says why a candidate's state changed. It is also the name of a counter.
type Reason string

// The reasons.
const (
	ReasonVacant     Reason = "vacant"     // the last lease has lapsed or was released
	ReasonGranted    Reason = "granted"    // the claim was folded first
	ReasonResumed    Reason = "resumed"    // a lease that had lapsed here was renewed before anyone claimed it
	ReasonSettled    Reason = "settled"    // the predecessor's longest order is over
	ReasonRefused    Reason = "refused"    // another record was folded first
	ReasonUncertain  Reason = "uncertain"  // the claim's fate is not known
	ReasonLapsed     Reason = "lapsed"     // no renewal was read back in time
	ReasonSuperseded Reason = "superseded" // another process holds a later term
	ReasonLeft       Reason = "left"
)
