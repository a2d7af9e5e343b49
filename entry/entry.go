// Package entry implements the entry process, which callers reach through the
// platform's load balancer. Each request passes a chain of filters, each in its own
// file: identify, classify, limit, admit, dispatch, relay, and usage recording.
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
	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/retry"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
	"github.com/ragwortpass/ragwortpass/workspace"
)

// Config holds the settings of an entry.
type Config struct {
	Node               id.Node
	DataCentre         id.DataCentre
	Address            string         // IP and port that other processes connect to
	Seeds              []string       // addresses of entries and sidecars, in addition to the VM list
	Incarnation        id.Incarnation // of this run of the process
	MaxBodyBytes       int64          // limit of a request body
	StallTimeout       time.Duration  // time without an event after which a resumable stream is resumed elsewhere; zero: none
	LeaseTTL           time.Duration  // time to live of the leases on orders and usage
	Usage              usage.Schedule
	UsageFlushInterval time.Duration // interval between appends of recorded usage
	MeasureInterval    time.Duration // interval between fleet measurements
	Fleet              fleet.Config
}

// Deps holds the dependencies of an entry.
type Deps struct {
	State         *logbook.State
	Bookings      *logbook.Stream
	Usage         *logbook.Stream // followed by candidates for the usage lease only; nil: the control stream
	UsageLog      hosting.Log     // receives the usage records of this entry
	PeerFetcher   *logbook.PeerFetcher
	Follower      *logbook.Follower
	Writer        *logbook.Writer
	Platform      hosting.Platform
	PeerClient    *http.Client // for requests to sidecars and other entries
	ControlClient *http.Client // for heartbeats to sidecars and other entries
	Memory        *memory.Budgets
	Traces        *trace.Log
	Metrics       metrics.Registry
	Logger        log.Logger
}

// Entry authenticates callers' requests, queues them, and routes them to upstreams.
type Entry struct {
	cfg             Config
	deps            Deps
	guard           *guard.Guard
	upstreams       *upstream.Table
	membership      *membership
	requestTracker  *key.RequestTracker
	intentAges      *intentAges
	settlements     settlements
	queues          *queues
	limits          *workspace.Limits
	lengthPredictor *estimate.Predictor
	retryBudgets    retry.Budgets
	shuttingDown    atomic.Bool
	running         atomic.Int64 // requests past the limit filter that have not ended
	waiting         atomic.Int64 // those of them that wait in a queue
	usageWriter     *usageWriter
	usageReporter   *usageReporter
	fleetController *fleetController
}

// New returns an entry. Run must be called to track the other processes.
func New(cfg Config, deps Deps) *Entry {
	control := &logbook.Stream{State: deps.State, Follower: deps.Follower, Writer: deps.Writer}
	if deps.Usage == nil {
		deps.Usage = control
	}
	e := &Entry{cfg: cfg, deps: deps, guard: guard.New(deps.Logger, deps.Metrics), upstreams: upstream.NewTable()}
	e.membership = newMembership(e)
	e.requestTracker = key.NewRequestTracker(deps.State.Keys)
	e.intentAges = newIntentAges(deps.Bookings.State)
	logbook.CancelWithdrawn(deps.State, e.requestTracker, func(n int) { e.add("ended_key_withdrawn", n) })
	e.queues = newQueues(e)
	e.limits = workspace.New(time.Now(), cfg.Incarnation)
	e.lengthPredictor = estimate.New()
	e.usageWriter = newUsageWriter(e, deps.UsageLog)
	e.usageReporter = newUsageReporter(e)
	e.fleetController = newFleetController(e, control)
	return e
}

// Run sends heartbeats and tracks the other processes until ctx is done.
func (e *Entry) Run(ctx context.Context) { e.membership.run(ctx) }

// RunLeases appends usage records to the log, and takes part in the elections for
// the usage and orders leases, until ctx is done.
func (e *Entry) RunLeases(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { e.usageWriter.run(ctx) })
	wg.Go(func() { e.guard.Run(ctx, "usage_candidacy", e.runUsageCandidacy) })
	wg.Go(func() { e.fleetController.task.run(ctx) })
	wg.Wait()
}

// Finish appends the remaining usage records and releases the leases. It is called
// after the last request has ended, while the log is still being read.
func (e *Entry) Finish(ctx context.Context) {
	e.settlements.wait(ctx)
	e.usageWriter.finish(ctx)
	e.usageReporter.task.release(ctx)
	e.fleetController.task.release(ctx)
}

// Handler returns the handler for callers' requests and for control calls of other
// processes.
func (e *Entry) Handler() http.Handler {
	chain := alice.New(e.accept, e.identify)
	mux := http.NewServeMux()
	calls := process.NewCallBounds(e.deps.Memory, process.CallTime, e.deps.Metrics, e.deps.Logger)
	mux.Handle(calls.Handler(ragwortv1connect.NewNodeServiceHandler(&node{e: e})))
	mux.Handle("POST /v1/chat/completions", chain.ThenFunc(e.completions))
	mux.Handle("POST /v1/completions", chain.ThenFunc(e.completions))
	mux.Handle("GET /v1/models", chain.ThenFunc(e.models))
	mux.Handle("/services/{route}/{path...}", chain.ThenFunc(e.service))
	mux.Handle("/", chain.ThenFunc(e.notFound))
	return mux
}

// NotReadyError explains why an entry does not accept requests.
type NotReadyError struct{ Reason string }

func (e *NotReadyError) Error() string { return "not ready: " + e.Reason }

// Ready returns nil if the entry accepts requests.
func (e *Entry) Ready() error {
	if e.shuttingDown.Load() {
		return &NotReadyError{Reason: "leaving"}
	}
	if !e.deps.Follower.CaughtUp() {
		return &NotReadyError{Reason: "the log has not been read to its end"}
	}
	return nil
}

// BeginShutdown marks the entry as not ready. Running requests continue.
func (e *Entry) BeginShutdown() { e.shuttingDown.Store(true) }

func (e *Entry) notFound(w http.ResponseWriter, r *http.Request) {
	e.refuse(w, r, problem.New(problem.RouteUnknown, problem.NotRun, http.StatusNotFound, "no route for %s %s", r.Method, r.URL.Path))
}

// refuse counts, traces and sends a refusal.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, p *problem.Problem) {
	rq := requestID(r.Context())
	p = withWithdrawal(r.Context(), p)
	p.Request = string(rq)
	e.count("refused_" + string(p.Reason))
	e.deps.Traces.Add(time.Now(), rq, "refuse", string(p.Reason), p.Detail)
	if t, ok := w.(refusalRecorder); ok {
		t.recordRefusal(p)
	}
	p.Write(w)
}

func (e *Entry) count(name string) { e.add(name, 1) }

func (e *Entry) add(name string, n int) {
	metrics.GetOrRegisterCounter(name, e.deps.Metrics).Inc(int64(n))
}

// traceDecision records a decision about a request, for the explain call.
func (e *Entry) traceDecision(now time.Time, rq id.Request, step, reason, detail string) {
	e.deps.Traces.Add(now, rq, step, reason, detail)
}

// requestCancelled reports whether the request was cancelled: because its caller has
// disconnected, or because its key was withdrawn, which withWithdrawal tells apart.
func requestCancelled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled)
}
