// Package sidecar is the process beside each upstream. It has the last word on
// what its upstream bears: it vets a request, waits for a slot, runs it, and
// relays the answer with the upstream's load.
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
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	defaultInitial = 2
	defaultMax     = 16
)

// Config is what a sidecar learns from its settings.
type Config struct {
	Node        id.Node
	DataCentre  id.DataCentre
	Address     string // IP and port at which entries reach it
	Upstream    id.Upstream
	UpstreamURL string
	Models      []id.Model
	Service     id.Service
	Incarnation id.Incarnation
}

// Deps is what a sidecar works with.
type Deps struct {
	State   *logbook.State
	Catcher *logbook.PeerFetcher
	Client  *http.Client // towards the upstream
	Once    *http.Client // towards the upstream, for calls that must not be repeated
	Traces  *trace.Log
	Metrics metrics.Registry
	Logger  log.Logger
}

// Sidecar guards one upstream.
type Sidecar struct {
	cfg     Config
	deps    Deps
	limiter *upstream.Limiter
	slots   *slots
	life    *upstream.Lifecycle
	uses    *key.RequestTracker
	leaving atomic.Bool
	waiting atomic.Int64
	orders  *orders

	firstTokens atomic.Int64 // mean time to the first token, in nanoseconds

	incarnation atomic.Uint64 // of the upstream
	missed      int           // probes in a row without an answer; used by Run alone
}

// New returns a sidecar; Run watches its upstream.
func New(cfg Config, deps Deps) *Sidecar {
	s := &Sidecar{cfg: cfg, deps: deps, life: upstream.NewLifecycle(), uses: key.NewRequestTracker(deps.State.Keys)}
	s.incarnation.Store(uint64(cfg.Incarnation))
	s.endWithdrawn()
	s.limiter = upstream.NewLimiter(s.limits())
	s.slots = newSlots(s.limiter, cfg.Upstream)
	s.orders = &orders{s: s}
	return s
}

// limits returns the bounds that the rules set for this upstream.
func (s *Sidecar) limits() upstream.Limits {
	b := upstream.Limits{Initial: defaultInitial, Max: defaultMax}
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

// Handler serves entries, and the control calls of other processes.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(ragwortv1connect.NewNodeServiceHandler(&node{s: s}))
	mux.Handle(ragwortv1connect.NewOrderServiceHandler(s.orders))
	mux.Handle("/", alice.New(s.vet).ThenFunc(s.run))
	return mux
}

// Ready returns nil if the upstream takes work.
func (s *Sidecar) Ready() error {
	if st := s.state(); !st.AcceptsRequests() {
		return &StateError{State: st}
	}
	return nil
}

// StateError says that the upstream takes no work in its present state.
type StateError struct{ State upstream.State }

func (e *StateError) Error() string { return "upstream is " + string(e.State) }

// Leave makes the sidecar take no new work.
func (s *Sidecar) Leave() {
	s.leaving.Store(true)
	s.life.Apply(upstream.Drain)
}

// load returns what the sidecar tells of its upstream.
func (s *Sidecar) load() wire.Load {
	limit, running := s.limiter.Limit()
	return wire.Load{
		Incarnation:  id.Incarnation(s.incarnation.Load()),
		State:        string(s.state()),
		Limit:        limit,
		Running:      running,
		Waiting:      int(s.waiting.Load()),
		ConfigOffset: s.deps.State.Offset(),
	}
}

// state returns the upstream's state. A drain counts from the moment the rules
// say so, before the lifecycle has followed.
func (s *Sidecar) state() upstream.State {
	st := s.life.State()
	if st != upstream.Gone && s.closed(time.Now()) {
		return upstream.Draining
	}
	return st
}

// closed reports whether the sidecar leaves, or its data centre or its upstream is
// taken out of service.
func (s *Sidecar) closed(now time.Time) bool {
	return s.leaving.Load() || s.deps.State.Rules().Drained(s.cfg.DataCentre) || s.orders.draining(now)
}

func (s *Sidecar) count(name string) { s.add(name, 1) }

func (s *Sidecar) add(name string, n int) {
	metrics.GetOrRegisterCounter(name, s.deps.Metrics).Inc(int64(n))
}
