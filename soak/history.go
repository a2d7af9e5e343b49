package main

// This file defines history, what callers, upstreams and the stand-in platform saw in
// one run. Checkers judge by nothing else.

import (
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// Times are offsets from the start of the run.

// span is a stretch of time.
type span struct{ from, until time.Duration }

func (s span) meets(o span) bool { return s.from <= o.until && o.from <= s.until }

// fault is a disturbance of a node, or of every node if none is named.
type fault struct {
	what string
	node id.Node
	span
	planned bool // a SIGTERM or SIGHUP, around which nothing may be lost
}

// arrival is a request as an upstream saw it.
type arrival struct {
	at        time.Duration
	request   id.Request
	upstream  id.Upstream
	service   id.Service
	workspace id.Workspace
	urgency   int
	ran       bool
	began     time.Duration // its first event, or its arrival if it is no stream; zero: never
	ended     time.Duration // when the upstream stopped working on it; zero: it did not
	broke     bool          // the upstream or its link broke it off
}

// answer is a request as its caller saw it.
type answer struct {
	request  id.Request
	kind     catalog.Kind
	key      string
	node     id.Node
	life     int // of the node's process; -1: it changed meanwhile
	sent     time.Duration
	done     time.Duration
	status   int  // zero: none came
	whole    bool // the connection brought all of it
	own      bool // it is what the upstream wrote to this request
	left     bool // the caller went away at done
	priority [2]int
}

func (a *answer) refused() bool {
	switch a.status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

func (a *answer) served() bool { return a.status == 200 && a.whole && !a.left }

// change is what operators did to a key, an upstream or a data centre.
type change struct {
	what string // key_added, key_withdrawn, drained, cold, evacuated
	name string
	span // for cold and evacuated: how long; otherwise from
}

// report is a usage report.
type report struct {
	at time.Duration
	standin.ReceivedUsage
}

// history is safe for concurrent use while a run goes on.
type history struct {
	mu       sync.Mutex
	start    time.Time
	bounds   bounds
	arrivals []*arrival
	answers  []*answer
	changes  []change
	faults   []fault
	reports  []report
	centres  map[id.Upstream]id.DataCentre
	ended    int      // processes that ended
	ends     []string // what is wrong with those that ended by themselves
	calmFrom time.Duration
	length   time.Duration
}

// bounds are the promises of the deployment that a run plays.
type bounds struct {
	contact, drain, evacuate, config, downgrade, thaw, recovers time.Duration
	retryRatio, retrySlack                                      float64
	retryWindow                                                 time.Duration
	coldRate, coldExcess, coldSlack                             float64
	window, usageLate, lease, grace                             time.Duration
	usageOff                                                    float64
}

// promised are the bounds of the users' deployments, but for half of the time to recover, and
// a fifth of the windows of usage with less time to report them, so that a run holds many.
var promised = bounds{
	contact: 3 * time.Second, drain: 2 * time.Second, evacuate: 5 * time.Second, config: 2 * time.Second, downgrade: 250 * time.Millisecond,
	thaw: 300 * time.Millisecond, recovers: 6 * time.Second, retryRatio: 0.2, retrySlack: 52, retryWindow: 10 * time.Second,
	coldRate: 10, coldExcess: 1.5, coldSlack: 5, window: time.Second, usageLate: 4 * time.Second, usageOff: 0.05,
	lease: 3 * time.Second, grace: 8 * time.Second,
}

func (h *history) now() time.Duration { return time.Since(h.start) }

func (h *history) add(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// calm reports whether nothing disturbed a node in a span, planned work aside.
func (h *history) calm(node id.Node, s span) bool {
	for _, f := range h.faults {
		if !f.planned && (f.node == "" || f.node == node) && f.meets(s) {
			return false
		}
	}
	return true
}

// inTouch reports whether a node was calm from the contact time before a span on.
func (h *history) inTouch(node id.Node, s span) bool {
	return h.calm(node, span{s.from - h.bounds.contact, s.until})
}

// byRequest groups arrivals.
func (h *history) byRequest() map[id.Request][]*arrival {
	out := make(map[id.Request][]*arrival, len(h.answers))
	for _, a := range h.arrivals {
		out[a.request] = append(out[a.request], a)
	}
	return out
}
