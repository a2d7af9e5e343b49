// Package entry is the process that callers reach, behind the platform's
// balancer. A request goes through filters in this order, each in a file of its
// own: identify, classify, limit, admit, dispatch, relay, meter.
package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/estimate"
	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/retry"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
	"github.com/ragwortpass/ragwortpass/workspace"
)

// Config is what an entry learns from its settings.
type Config struct {
	Node        id.Node
	DataCentre  id.DataCentre
	Address     string   // IP and port at which other processes reach it
	Seeds       []string // addresses of entries and sidecars, besides the VM list
	Incarnation id.Incarnation
	MaxBody     int64         // bytes of a request body
	Stall       time.Duration // without an event, after which a stream goes on elsewhere; zero: none
	LeaseTTL    time.Duration
	Usage       usage.Schedule
	UsageFlush  time.Duration // between two appends of what was counted
	FleetEvery  time.Duration // between two measurements of the fleet
	Fleet       fleet.Config
}

// Deps is what an entry works with.
type Deps struct {
	State    *logbook.State
	Bookings *logbook.Stream
	Usage    *logbook.Stream // followed only by candidates for its lease; nil: the control stream
	UsageLog hosting.Log     // takes what this entry counts
	Catcher  *logbook.PeerFetcher
	Follower *logbook.Follower
	Writer   *logbook.Writer
	Platform hosting.Platform
	Peers    *http.Client // towards sidecars and other entries
	Control  *http.Client // towards the same, for heartbeats
	Traces   *trace.Log
	Metrics  metrics.Registry
	Logger   log.Logger
}

// Entry serves callers.
type Entry struct {
	cfg       Config
	deps      Deps
	upstreams *upstream.Table
	members   *members
	uses      *key.RequestTracker
	intents   *intents
	settles   settles
	queues    *queues
	limits    *workspace.Limits
	lengths   *estimate.Lengths
	budgets   retry.Budgets
	leaving   atomic.Bool
	running   atomic.Int64
	waiting   atomic.Int64
	billing   *billing
	reporting *reporting
	ordering  *ordering
}

// New returns an entry; Run keeps its view of the other processes.
func New(cfg Config, deps Deps) *Entry {
	control := &logbook.Stream{State: deps.State, Follower: deps.Follower, Writer: deps.Writer}
	if deps.Usage == nil {
		deps.Usage = control
	}
	e := &Entry{cfg: cfg, deps: deps, upstreams: upstream.NewTable()}
	e.members = newMembers(e)
	e.uses = key.NewRequestTracker(deps.State.Keys)
	e.intents = newIntents(deps.Bookings.State)
	logbook.CancelWithdrawn(deps.State, e.uses, func(n int) { e.add("ended_key_withdrawn", n) })
	e.queues = newQueues(e)
	e.limits = workspace.New(time.Now(), cfg.Incarnation)
	e.lengths = estimate.New()
	e.billing = newBilling(e, deps.UsageLog)
	e.reporting = newReporting(e)
	e.ordering = newOrdering(e, control)
	return e
}

// Run keeps the entry's view of the other processes until ctx is done.
func (e *Entry) Run(ctx context.Context) { e.members.run(ctx) }

// RunDuties puts use on the log and stands for the leases until ctx is done.
func (e *Entry) RunDuties(ctx context.Context) {
	var wg sync.WaitGroup
	for _, run := range []func(context.Context){e.billing.run, e.standForUsage, e.ordering.duty.run} {
		wg.Go(func() { run(ctx) })
	}
	wg.Wait()
}

// Finish puts the last use on the log and gives the leases up. It is called when
// every request has ended, while the log is still followed.
func (e *Entry) Finish(ctx context.Context) {
	e.settles.wait(ctx)
	e.billing.finish(ctx)
	e.reporting.duty.leave(ctx)
	e.ordering.duty.leave(ctx)
}

// Handler serves callers, and the control calls of other processes.
func (e *Entry) Handler() http.Handler {
	chain := alice.New(e.accept, e.identify)
	mux := http.NewServeMux()
	mux.Handle(ragwortv1connect.NewNodeServiceHandler(&node{e: e}))
	mux.Handle("POST /v1/chat/completions", chain.ThenFunc(e.completions))
	mux.Handle("POST /v1/completions", chain.ThenFunc(e.completions))
	mux.Handle("GET /v1/models", chain.ThenFunc(e.models))
	mux.Handle("/services/{route}/{path...}", chain.ThenFunc(e.service))
	mux.Handle("/", chain.ThenFunc(e.notFound))
	return mux
}

// NotReadyError says why an entry does not take callers.
type NotReadyError struct{ Why string }

func (e *NotReadyError) Error() string { return "not ready: " + e.Why }

// Ready returns nil if the entry takes callers.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return &NotReadyError{Why: "leaving"}
	}
	if !e.deps.Follower.CaughtUp() {
		return &NotReadyError{Why: "log not read to its end"}
	}
	return nil
}

// Leave makes the entry unready; running requests finish.
func (e *Entry) Leave() { e.leaving.Store(true) }

func (e *Entry) notFound(w http.ResponseWriter, r *http.Request) {
	e.refuse(w, r, problem.New(problem.RouteUnknown, problem.NotRun, http.StatusNotFound, "no route for %s %s", r.Method, r.URL.Path))
}

// refuse counts, traces and sends a refusal.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, p *problem.Problem) {
	rq := requestID(r.Context())
	p = cause(r.Context(), p)
	p.Request = string(rq)
	e.count("refused_" + string(p.Reason))
	e.deps.Traces.Add(time.Now(), rq, "refuse", string(p.Reason), p.Detail)
	if t, ok := w.(refusalTaker); ok {
		t.refused(p)
	}
	p.Write(w)
}

func (e *Entry) count(name string) { e.add(name, 1) }

func (e *Entry) add(name string, n int) {
	metrics.GetOrRegisterCounter(name, e.deps.Metrics).Inc(int64(n))
}

// decide notes a decision for explain.
func (e *Entry) decide(now time.Time, rq id.Request, step, reason, detail string) {
	e.deps.Traces.Add(now, rq, step, reason, detail)
}

// callerGone reports whether err comes from the caller having left.
func callerGone(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
