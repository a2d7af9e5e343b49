package lease

// This file defines the events that a Candidate handles, the actions that it
// returns, and its states.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// ClockReading is one reading of both clocks of a process. The monotonic clock never
// jumps but stops while the VM is suspended; the wall clock keeps running but can
// jump.
type ClockReading struct {
	Monotonic time.Duration // since a fixed point in the life of the process
	Wall      time.Time
}

// Event is the input of a candidate: *Tick, *GrantObserved, *AppendCompleted or
// *Resigned.
type Event interface{ event() }

// Tick makes the candidate check its clocks.
type Tick struct {
	LogAvailable bool // whether the log was read successfully a short time ago
}

// GrantObserved passes the current grant in this process's Table. Grants must be
// passed in log order, and before the AppendCompleted event of the append that
// created them.
type GrantObserved struct{ Grant Grant }

// AppendResult is the result of appending a lease record.
type AppendResult int

// The results of appends. AppendRejected means that the record reached the log, but that
// Table did not accept it. The record of an uncertain append may still reach the log at
// any later time.
const (
	AppendAccepted AppendResult = iota
	AppendRejected
	AppendUncertain
)

// AppendCompleted passes the result of an append that was requested by AppendClaim or
// AppendRenewal.
type AppendCompleted struct {
	AppendID uint64
	Result   AppendResult
}

// Resigned says that the process is shutting down and has stopped all work that needs
// the lease.
type Resigned struct{}

func (*Tick) event()            {}
func (*GrantObserved) event()   {}
func (*AppendCompleted) event() {}
func (*Resigned) event()        {}

// Action is what the caller of Step must carry out: *AppendClaim, *AppendRenewal,
// *AppendRelease or *StateChanged.
type Action interface{ action() }

// AppendClaim requests that a LeaseClaimed record be appended.
type AppendClaim struct {
	AppendID   uint64
	Term       id.Term
	SeenOffset id.Offset // of the last lease record that the candidate has observed
}

// AppendRenewal requests that a LeaseRenewed record be appended.
type AppendRenewal struct {
	AppendID uint64
	Term     id.Term
}

// AppendRelease requests that a LeaseReleased record be appended.
type AppendRelease struct{ Term id.Term }

// StateChanged reports a change of the candidate's state, for logs and metrics.
type StateChanged struct {
	From, To State
	Term     id.Term
	Reason   Reason
}

func (*AppendClaim) action()   {}
func (*AppendRenewal) action() {}
func (*AppendRelease) action() {}
func (*StateChanged) action()  {}

// State is the state of a candidate.
type State string

// The states of a candidate.
const (
	Follower State = "follower" // another process may hold the lease
	Claiming State = "claiming" // a claim is being appended
	Settling State = "settling" // granted, but an order of the previous holder may still take effect
	Holding  State = "holding"  // may act on the lease
	Gone     State = "gone"     // has resigned
)

// Reason says why a candidate's state changed. It is also part of a metric's name.
type Reason string

// The reasons of state changes.
const (
	ReasonVacant     Reason = "vacant"     // the previous lease has expired or was released
	ReasonGranted    Reason = "granted"    // the claim was accepted
	ReasonResumed    Reason = "resumed"    // the lease had expired locally and was renewed before another process claimed it
	ReasonSettled    Reason = "settled"    // orders of the previous holder can no longer take effect
	ReasonRefused    Reason = "refused"    // another lease record came before the claim in the log
	ReasonUncertain  Reason = "uncertain"  // it is unknown whether the claim reached the log
	ReasonLapsed     Reason = "lapsed"     // the lease expired before a renewal was read back
	ReasonSuperseded Reason = "superseded" // another process holds a later term
	ReasonLeft       Reason = "left"       // the process is shutting down
)
