package main

// This file defines history: what callers, upstreams and the stand-in platform recorded in
// one run. It is the only input of the checkers.

import (
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// Times are offsets from the start of the run.

// span is an interval of time, both ends included.
type span struct{ from, until time.Duration }

func (s span) overlaps(o span) bool { return s.from <= o.until && o.from <= s.until }

// disturbance is a fault as it affected a node, or every node if none is named.
type disturbance struct {
	cause string
	node  id.Node
	span
	maintenance bool // a SIGTERM or SIGHUP, during which no request may be lost
}

// arrival is a request as an upstream received it.
type arrival struct {
	at          time.Duration
	request     id.Request
	upstream    id.Upstream
	service     id.Service
	workspace   id.Workspace
	urgency     int
	ran         bool
	began       time.Duration // first event of a stream, otherwise the arrival; zero: never
	ended       time.Duration // when the upstream stopped working on it; zero: never
	interrupted bool          // a fault of the upstream or its link ended it
	leaving     bool          // the response said that the upstream is leaving
	garbled     bool          // the head of the response was garbled
}

// faultEdge is a time at which a fault of an upstream or its link begins or ends.
type faultEdge struct {
	at      time.Duration
	service id.Service
}

// linkTransit bounds the time that data takes from an upstream to a caller.
const linkTransit = 100 * time.Millisecond

// askedWait is a refusal by which an upstream asked a node for a wait.
type askedWait struct {
	request  id.Request
	upstream id.Upstream
	span
}

// treated is what an upstream that repeats refusals did with a request.
type treated struct {
	request   id.Request
	treatment ragworttest.Treatment
}

// result is a request and its response as the caller saw them.
type result struct {
	request     id.Request
	kind        catalog.Kind
	key         string
	node        id.Node
	incarnation int // of the node's process; -1: it restarted meanwhile
	sent        time.Duration
	done        time.Duration
	status      int    // zero: no response
	complete    bool   // the whole response was received
	own         bool   // the content is the upstream's response to this request
	abandoned   bool   // the caller disconnected at done
	priority    [2]int // of the workspace and of the route
	prompt      string // its last shared part; empty: it has no prompt
	stop        int    // the stop during which its caller calls without a pause; zero: none
	notAccepted bool   // no connection was made for it
}

func (r *result) refused() bool {
	switch r.status {
	case 408, 421, 429, 503:
		return true
	}
	return false
}

func (r *result) served() bool { return r.status == 200 && r.complete && !r.abandoned }

// change is a change to a key, an upstream or a data centre.
type change struct {
	kind string // key_added, key_withdrawn, drained, cold, evacuated
	name string
	span // until is set for cold and evacuated only
}

// usageReport is a usage report as the store received it.
type usageReport struct {
	at time.Duration
	standin.ReceivedUsage
}

// history holds the records of one run; while it goes on, they are guarded by mu.
type history struct {
	mu           sync.Mutex
	start        time.Time
	bounds       bounds
	arrivals     []*arrival
	results      []*result
	waits        []askedWait
	limits       []namedLimit
	visits       []visit // in the order of arrival
	treated      []treated
	edges        []faultEdge
	crashes      []time.Duration // of upstreams under a request
	changes      []change
	disturbances []disturbance
	reports      []usageReport
	dataCentreOf map[id.Upstream]id.DataCentre
	ends         []processEnd
	rolled       []rolledOut
	stops        int // with callers that call without a pause
	faultsEnded  time.Duration
	duration     time.Duration
}

// bounds are the bounds of the guarantees. A node is in contact with the store once undisturbed
// for contact; resumeGrace starts when a disturbance ends, rollbackGrace at a key's first refusal.
type bounds struct {
	contact, drain, evacuate, config, rollbackGrace, resumeGrace, recovery time.Duration
	retryRatio, retrySlack                                                 float64
	retryWindow                                                            time.Duration
	coldRate, coldExcess, coldSlack                                        float64
	window, reportWithin, lease, grace                                     time.Duration
	usageTolerance                                                         float64
}

// testedBounds are the bounds of the users' deployments, except for half of the recovery time,
// and a fifth of the usage window with less time to report it, so that a run holds many windows.
var testedBounds = bounds{
	contact: 3 * time.Second, drain: 2 * time.Second, evacuate: 5 * time.Second, config: 2 * time.Second, rollbackGrace: 250 * time.Millisecond,
	resumeGrace: 300 * time.Millisecond, recovery: 6 * time.Second, retryRatio: 0.2, retrySlack: 52, retryWindow: 10 * time.Second,
	coldRate: 10, coldExcess: 1.5, coldSlack: 5, window: time.Second, reportWithin: 4 * time.Second, usageTolerance: 0.05,
	lease: 3 * time.Second, grace: 8 * time.Second,
}

func (h *history) now() time.Duration { return time.Since(h.start) }

func (h *history) add(f func()) { // calls f while holding mu
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
}

// undisturbed reports whether nothing but maintenance disturbed a node in a span.
func (h *history) undisturbed(node id.Node, s span) bool {
	for _, d := range h.disturbances {
		if !d.maintenance && (d.node == "" || d.node == node) && d.overlaps(s) {
			return false
		}
	}
	return true
}

// inContact reports whether a node was undisturbed in a span and the contact time before it.
func (h *history) inContact(node id.Node, s span) bool {
	return h.undisturbed(node, span{s.from - h.bounds.contact, s.until})
}

// arrivalsByRequest groups the arrivals by request.
func (h *history) arrivalsByRequest() map[id.Request][]*arrival {
	out := make(map[id.Request][]*arrival, len(h.results))
	for _, a := range h.arrivals {
		out[a.request] = append(out[a.request], a)
	}
	return out
}
