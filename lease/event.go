package lease

// This file defines what a Candidate is told and what it asks for.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Reading is one look at both clocks of a process. The monotonic clock never steps
// but stops while a VM is suspended; the wall clock goes on but can step.
type Reading struct {
	Monotonic time.Duration // since a start that is fixed for the process
	Wall      time.Time
}

// Event is what a candidate is told: *Tick, *Observed, *Answered or *Left.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct {
	LogAvailable bool // the log has been read lately
}

// Observed tells the grant that this process has folded. Grants are told in log
// order, and no later than the answer to the append that made them.
type Observed struct{ Grant Grant }

// Answer is what became of an append.
type Answer int

// The values of Answer. An uncertain append may still be folded at any later time.
const (
	Accepted Answer = iota
	Refused
	Uncertain
)

// Answered tells what became of the append that a Claim or Renew asked for.
type Answered struct {
	Try    uint64
	Answer Answer
}

// Left tells that the process is leaving and has ended all work of the duty.
type Left struct{}

func (*Tick) event()     {}
func (*Observed) event() {}
func (*Answered) event() {}
func (*Left) event()     {}

// Action is what a candidate asks for: *Claim, *Renew, *Release or *Changed.
type Action interface{ action() }

// Claim asks to append a claim.
type Claim struct {
	Try  uint64
	Term id.Term
	Seen id.Offset
}

// Renew asks to append a renewal.
type Renew struct {
	Try  uint64
	Term id.Term
}

// Release asks to append a release.
type Release struct{ Term id.Term }

// Changed tells that the candidate's state has changed.
type Changed struct {
	From, To State
	Term     id.Term
	Reason   Reason
}

func (*Claim) action()   {}
func (*Renew) action()   {}
func (*Release) action() {}
func (*Changed) action() {}

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
