// Package rollout moves the traffic of a service to upstreams of another version, as an operator
// orders, if that version proves as good as the others, and away from it if not.
//
// An Order names the target version and a deadline. Its State lies in a Record on the store of the
// platform, where each step is one append on a condition. Register is what one gateway knows of all
// orders: it decides which versions a request may go to, counts what comes of them, and judges
// the target from the counts of all gateways (judge.go). Controller decides when this gateway
// records the next step. Both have no clock and no I/O; times are those of the fleet
// (docs/design/rollouts.md).
package rollout

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service  id.Service
	Target   id.Version
	Duration time.Duration // from the order to its deadline
	Offset   feed.Offset   // of its record; a newer order of the service has a larger one
}

// State is how far an order has got. States of an order only increase.
type State int

// The states of an order. Unknown means that no record is known.
const (
	Unknown State = iota
	Canary
	Shifting
	RolledBack
	Done
)

var stateNames = [...]string{"unknown", "canary", "shifting", "rolled_back", "done"}

// String returns the name of the state in logs and records.
func (s State) String() string {
	if s < Unknown || s > Done {
		return fmt.Sprintf("state %d", int(s))
	}
	return stateNames[s]
}

// Final reports whether the state is the last of its order.
func (s State) Final() bool { return s >= RolledBack }

// MarshalJSON implements json.Marshaler.
func (s State) MarshalJSON() ([]byte, error) { return json.Marshal(s.String()) }

// UnmarshalJSON implements json.Unmarshaler. It accepts the states that a record can have.
func (s *State) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return err
	}
	for i := Canary; i <= Done; i++ {
		if stateNames[i] == name {
			*s = i
			return nil
		}
	}
	return fmt.Errorf("state %.40q: expected canary, shifting, rolled_back or done", name)
}

// Reason says why a step was taken.
type Reason string

// The reasons of steps.
const (
	ReasonOrdered   Reason = "ordered"
	ReasonGood      Reason = "good"
	ReasonMoved     Reason = "moved"   // nothing runs on other versions any more
	ReasonTime      Reason = "time"    // the deadline is near
	ReasonRunning   Reason = "running" // the target is the only version
	ReasonFailing   Reason = "failing"
	ReasonSlow      Reason = "slow"
	ReasonUndecided Reason = "undecided" // there were not enough answers to call the target good
	ReasonAbsent    Reason = "absent"    // no upstream of the target takes requests
	ReasonNoService Reason = "no_service"
	ReasonWithdrawn Reason = "withdrawn"
)

// Record is the state of an order as it lies on the store.
type Record struct {
	Service id.Service  `json:"service"`
	Target  id.Version  `json:"target"`
	Order   feed.Offset `json:"order"` // offset of the order
	State   State       `json:"state"`
	Reason  Reason      `json:"reason"`
	Started time.Time   `json:"started"` // when the order was first known
	At      time.Time   `json:"at"`      // when the step was requested
	By      id.Node     `json:"by"`
	// Rejected holds the targets of earlier orders that get nothing.
	Rejected []id.Version `json:"rejected,omitempty"`
}

// of reports whether the record is about an order.
func (r *Record) of(o *Order) bool {
	return r.Service == o.Service && r.Target == o.Target && r.Order == o.Offset
}

// Config holds the bounds of what a target that may be bad gets.
type Config struct {
	Share    float64       // of the service's requests
	Slack    float64       // requests beyond the share
	Rollback time.Duration // from the time at which a target has shown to be bad until it gets nothing more
}

const (
	// shareFraction is the part of Share that gateways use, and slackFraction that of Slack. The
	// rest is for requests that are sent while the verdict spreads, and for errors of the counts.
	shareFraction = 0.7
	slackFraction = 0.45
	// trialShareFraction and trialSlackFraction are those from the trial on, and before a target is undecided.
	trialShareFraction = 0.85
	trialSlackFraction = 0.7
)

// The times of an order are fractions of its duration, within bounds.
const (
	// The shift takes shiftFraction of the time: long streams on other versions end meanwhile.
	shiftFraction        = 0.4
	minShift, maxShift   = 2 * time.Second, 20 * time.Second
	marginFraction       = 0.18 // of the time, by which a final state is recorded before the deadline
	minMargin, maxMargin = 500 * time.Millisecond, 4 * time.Second
	// warmUp is how long an upstream may be slow after its start, at most warmUpFraction of the time.
	warmUp         = 5 * time.Second
	warmUpFraction = 0.25
	// The trial, in which the target gets the load that it will have, takes trialFraction of the time.
	trialFraction      = 0.125
	minTrial, maxTrial = 500 * time.Millisecond, 4 * time.Second
	// rampTime is how long the shift takes to send the target all new requests.
	rampTime = 1500 * time.Millisecond
	// settleTime is how long a shift takes at least: all new requests go to the target, and slow answers to those of the first half of the ramp have come, by then.
	settleTime = 2 * time.Second
	// informTime is how long a gateway waits for rows of all gateways.
	informTime = 1500 * time.Millisecond
)

// Schedule holds the times of an order.
type Schedule struct {
	Started  time.Time
	Trial    time.Time // when the target gets the load that it will have, for as long as its share lasts
	Shift    time.Time // the first time at which the target may get more than its share
	Undecide time.Time // the last time at which a shift may begin
	Finish   time.Time // when the last step is recorded, whatever still runs
	Deadline time.Time
}

// NewSchedule returns the times of an order that started at a time.
func NewSchedule(started time.Time, d time.Duration) Schedule {
	part := func(fraction float64, smallest, largest time.Duration) time.Duration {
		return min(max(time.Duration(fraction*float64(d)), smallest), largest, d/2)
	}
	deadline := started.Add(d)
	s := Schedule{
		Started: started, Deadline: deadline,
		Shift: deadline.Add(-part(shiftFraction, minShift, maxShift)), Finish: deadline.Add(-part(marginFraction, minMargin, maxMargin)),
	}
	s.Trial = s.Shift.Add(-part(trialFraction, minTrial, maxTrial))
	s.Undecide = s.Shift.Add(s.Finish.Sub(s.Shift) / 2)
	return s
}

// ConflictError reports that a record was not appended, as the topic ends elsewhere than expected.
type ConflictError struct{ End feed.Offset }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the topic of roll-outs ends at offset %d", e.End)
}
