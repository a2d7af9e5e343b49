package upstream

// This file defines Lifecycle, the state machine of an upstream.

import (
	"context"

	"github.com/looplab/fsm"
)

// State is a state in the lifecycle of an upstream.
type State string

// The states of an upstream.
const (
	Unknown  State = "unknown"  // no health probe has succeeded yet
	Cold     State = "cold"     // answers health probes, but has no model loaded
	Warming  State = "warming"  // accepts requests under a low limit
	Ready    State = "ready"    // accepts requests under an adaptive limit
	Draining State = "draining" // finishes running requests and accepts no new ones
	Gone     State = "gone"     // does not answer health probes or connections
)

// Event is an input of the state machine.
type Event string

// The events in the lifecycle of an upstream.
const (
	Answered Event = "answered" // a health probe succeeded
	Loaded   Event = "loaded"   // the model is loaded
	Warmed   Event = "warmed"   // the limit has grown, so the upstream is warm
	Chilled  Event = "chilled"  // latency shows that the upstream has turned cold
	Drain    Event = "drain"    // the upstream or its data centre is taken out of service, or its sidecar shuts down
	Restored Event = "restored" // the upstream is back in service
	Lost     Event = "lost"     // probes or requests fail to connect
)

// Lifecycle is the state machine of one upstream. It is safe for concurrent use.
type Lifecycle struct {
	machine *fsm.FSM
}

// NewLifecycle returns a lifecycle in state Unknown.
func NewLifecycle() *Lifecycle {
	serving := []string{string(Cold), string(Warming), string(Ready)}
	alive := append([]string{string(Unknown)}, serving...)
	return &Lifecycle{machine: fsm.NewFSM(string(Unknown), fsm.Events{
		{Name: string(Answered), Src: []string{string(Unknown), string(Gone)}, Dst: string(Cold)},
		{Name: string(Loaded), Src: []string{string(Cold)}, Dst: string(Warming)},
		{Name: string(Warmed), Src: []string{string(Warming)}, Dst: string(Ready)},
		{Name: string(Chilled), Src: []string{string(Ready)}, Dst: string(Warming)},
		{Name: string(Restored), Src: []string{string(Draining)}, Dst: string(Cold)},
		{Name: string(Drain), Src: alive, Dst: string(Draining)},
		{Name: string(Lost), Src: append(alive, string(Draining)), Dst: string(Gone)},
	}, nil)}
}

// State returns the current state.
func (l *Lifecycle) State() State { return State(l.machine.Current()) }

// Apply applies an event. It reports false, and changes nothing, if the event is not
// valid in the current state.
func (l *Lifecycle) Apply(e Event) bool {
	return l.machine.Event(context.Background(), string(e)) == nil
}

// AcceptsRequests reports whether requests may be sent in state s.
func (s State) AcceptsRequests() bool { return s == Warming || s == Ready }
