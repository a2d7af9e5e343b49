package upstream

// This file defines Lifecycle, the states an upstream goes through.

import (
	"context"

	"github.com/looplab/fsm"
)

// State is how far an upstream is along in its life.
type State string

// The states of an upstream.
const (
	Unknown  State = "unknown"  // not heard from yet
	Cold     State = "cold"     // answers, but has no model loaded
	Warming  State = "warming"  // works under a low limit
	Ready    State = "ready"    // works under an adaptive limit
	Draining State = "draining" // finishes what runs and takes nothing new
	Gone     State = "gone"     // does not answer
)

// Event moves an upstream from one state to another.
type Event string

// The events of an upstream's life.
const (
	Answered Event = "answered" // a health probe succeeded
	Loaded   Event = "loaded"   // the model is loaded
	Warmed   Event = "warmed"   // the limit has grown on evidence
	Chilled  Event = "chilled"  // latency shows that it is cold again
	Drain    Event = "drain"
	Restored Event = "restored" // its data centre is back in service
	Lost     Event = "lost"     // probes or requests fail to connect
)

// Lifecycle is the state machine of one upstream. It is safe for concurrent use.
type Lifecycle struct {
	machine *fsm.FSM
}

// NewLifecycle returns a lifecycle in the Unknown state.
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

// State returns the present state.
func (l *Lifecycle) State() State { return State(l.machine.Current()) }

// Apply moves on by an event; it reports false if the event means nothing in the
// present state.
func (l *Lifecycle) Apply(e Event) bool {
	return l.machine.Event(context.Background(), string(e)) == nil
}

// AcceptsRequests reports whether requests may be sent in state s.
func (s State) AcceptsRequests() bool { return s == Warming || s == Ready }
