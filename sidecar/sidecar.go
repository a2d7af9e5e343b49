// Package sidecar implements the process that runs beside each upstream. It enforces the
// upstream's concurrency limit: it validates a request, waits for a slot, sends the
// request to the upstream, and relays the answer together with the upstream's load.
package sidecar

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	defaultInitialLimit = 2
	defaultMaxLimit     = 16
)

// Config holds the settings of a sidecar.
type Config struct {
	Node        id.Node
	DataCentre  id.DataCentre
	Address     string // IP and port that entries connect to
	Upstream    id.Upstream
	UpstreamURL string
	Models      []id.Model     // that the upstream serves; none if it is a plain service
	Service     id.Service     // the plain service that the upstream is; empty if it serves models
	Incarnation id.Incarnation // of the sidecar, and of its upstream until that restarts
}

// Deps holds the dependencies of a sidecar.
type Deps struct {
	State          *logbook.State
	PeerFetcher    *logbook.PeerFetcher
	UpstreamClient *http.Client // for requests to the upstream
	OnceClient     *http.Client // for orders, and requests to the upstream that must not be repeated
	Traces         *trace.Log
	Memory         *memory.Budgets // nil: calls are not bounded
	Metrics        metrics.Registry
	Logger         log.Logger
}

// Sidecar controls access to one upstream.
type Sidecar struct {
	cfg            Config
	deps           Deps
	limiter        *upstream.Limiter
	rate           *rateLimit
	slots          *slotQueue
	lifecycle      *upstream.Lifecycle
	requestTracker *key.RequestTracker
	shuttingDown   atomic.Bool
	waiting        atomic.Int64 // requests that wait for a slot
	orders         *orderService

	meanFirstTokenNs atomic.Int64 // moving average of the time to the first token

	incarnation  atomic.Uint64 // of the upstream
	missedProbes int           // probes in a row without an answer; used only by Run
}

// New returns a sidecar. Run must be called to probe its upstream.
func New(cfg Config, deps Deps) *Sidecar {
	s := &Sidecar{cfg: cfg, deps: deps, lifecycle: upstream.NewLifecycle(), requestTracker: key.NewRequestTracker(deps.State.Keys)}
	s.incarnation.Store(uint64(cfg.Incarnation))
	s.cancelWithdrawn()
	s.limiter = upstream.NewLimiter(s.limiterBounds())
	s.rate = new(rateLimit)
	s.slots = newSlotQueue(s.limiter, s.rate, cfg.Upstream)
	s.orders = &orderService{s: s}
	return s
}

// limiterBounds returns the bounds that the rules set for the upstream's limiter, or else the
// defaults.
func (s *Sidecar) limiterBounds() upstream.Limits {
	b := upstream.Limits{Initial: defaultInitialLimit, Max: defaultMaxLimit}
	u := s.deps.State.Rules().UpstreamFor(s.cfg.Upstream, s.cfg.Models, s.cfg.Service)
	if u == nil {
		return b
	}
	if u.InitialLimit > 0 {
		b.Initial = u.InitialLimit
	}
	if u.MaxConcurrency > 0 {
		b.Max = u.MaxConcurrency
	}
	b.Initial = min(b.Initial, b.Max)
	return b
}

// Handler returns the handler for requests of entries and for control calls.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	calls := process.NewCallBounds(s.deps.Memory, process.CallTime, s.deps.Metrics, s.deps.Logger)
	mux.Handle(calls.Handler(ragwortv1connect.NewNodeServiceHandler(&node{s: s})))
	mux.Handle(calls.Handler(ragwortv1connect.NewOrderServiceHandler(s.orders)))
	mux.Handle("/", alice.New(s.validate).ThenFunc(s.serve))
	return mux
}

// Ready returns nil if the upstream takes work.
func (s *Sidecar) Ready() error {
	if st := s.state(); !st.AcceptsRequests() {
		return &StateError{State: st}
	}
	return nil
}

// StateError reports that the upstream takes no work in its current state.
type StateError struct{ State upstream.State }

func (e *StateError) Error() string { return "upstream is " + string(e.State) }

// BeginShutdown makes the sidecar refuse new work.
func (s *Sidecar) BeginShutdown() {
	s.shuttingDown.Store(true)
	s.lifecycle.Apply(upstream.Drain)
}

// load returns the load that the sidecar reports for its upstream.
func (s *Sidecar) load() wire.Load {
	limit, running := s.limiter.Limit()
	if now := time.Now(); s.rate.next(now).After(now) {
		limit = running // entries must not send a request before the next slot of the rate limit
	}
	return wire.Load{
		Incarnation:  id.Incarnation(s.incarnation.Load()),
		State:        string(s.state()),
		Limit:        limit,
		Running:      running,
		Waiting:      int(s.waiting.Load()),
		ConfigOffset: s.deps.State.Offset(),
	}
}

// state returns the upstream's state. A drain applies as soon as the rules say so, before
// the lifecycle is updated.
func (s *Sidecar) state() upstream.State {
	st := s.lifecycle.State()
	if st != upstream.Gone && s.outOfService(time.Now()) {
		return upstream.Draining
	}
	return st
}

// outOfService reports whether the sidecar is shutting down, its data centre is drained by
// the rules, or its upstream is drained by an order.
func (s *Sidecar) outOfService(now time.Time) bool {
	return s.shuttingDown.Load() || s.deps.State.Rules().Drained(s.cfg.DataCentre) || s.orders.draining(now)
}

func (s *Sidecar) count(name string) { s.add(name, 1) }

func (s *Sidecar) add(name string, n int) {
	metrics.GetOrRegisterCounter(name, s.deps.Metrics).Inc(int64(n))
}
