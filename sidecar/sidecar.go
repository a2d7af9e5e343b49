// Package sidecar is the process beside each upstream. It has the last word on
// what its upstream bears: it vets a request, waits for a slot, runs it, and
// relays the answer with the upstream's load.
package sidecar

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/journal"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	probeEvery = 500 * time.Millisecond

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
	State   *journal.State
	Catcher *journal.Catcher
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
	life    *upstream.Lifecycle
	uses    *key.Uses
	leaving atomic.Bool
	waiting atomic.Int64
}

// New returns a sidecar; Run watches its upstream.
func New(cfg Config, deps Deps) *Sidecar {
	s := &Sidecar{cfg: cfg, deps: deps, life: upstream.NewLifecycle(), uses: key.NewUses(deps.State.Keys)}
	s.endWithdrawn()
	s.limiter = upstream.NewLimiter(s.limits())
	return s
}

// limits returns the bounds that the rules set for this upstream.
func (s *Sidecar) limits() upstream.Limits {
	b := upstream.Limits{Initial: defaultInitial, Max: defaultMax}
	u := s.deps.State.Rules().UpstreamFor(s.cfg.Upstream, s.cfg.Models, s.cfg.Service)
	if u == nil {
		return b
	}
	if u.Initial > 0 {
		b.Initial = u.Initial
	}
	if u.Concurrency > 0 {
		b.Max = u.Concurrency
	}
	b.Initial = min(b.Initial, b.Max)
	return b
}

// Handler serves entries, and the control calls of other processes.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(ragwortv1connect.NewNodeServiceHandler(&node{s: s}))
	mux.Handle("/", alice.New(s.vet).ThenFunc(s.run))
	return mux
}

// Ready returns nil if the upstream takes work.
func (s *Sidecar) Ready() error {
	if s.leaving.Load() {
		return &StateError{State: upstream.Draining}
	}
	if st := s.life.State(); !st.TakesWork() {
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

// Run probes the upstream and follows the rules until ctx is done.
func (s *Sidecar) Run(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		s.probe(ctx)
		s.limiter.SetLimits(s.limits())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// probe asks the upstream whether it is healthy.
func (s *Sidecar) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeEvery)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, s.cfg.UpstreamURL+"/health", nil)
	if err != nil {
		return
	}
	rs, err := s.deps.Client.Do(rq)
	if err != nil {
		s.life.Apply(upstream.Lost)
		return
	}
	_ = rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return
	}
	s.life.Apply(upstream.Answered)
	s.life.Apply(upstream.Loaded)
}

// load returns what the sidecar tells of its upstream.
func (s *Sidecar) load() wire.Load {
	limit, running := s.limiter.Limit()
	return wire.Load{
		Incarnation: s.cfg.Incarnation,
		State:       string(s.state()),
		Limit:       limit,
		Running:     running,
		Waiting:     int(s.waiting.Load()),
		Config:      s.deps.State.Offset(),
	}
}

func (s *Sidecar) state() upstream.State {
	if s.leaving.Load() {
		return upstream.Draining
	}
	return s.life.State()
}

func (s *Sidecar) count(name string) { s.add(name, 1) }

func (s *Sidecar) add(name string, n int) {
	metrics.GetOrRegisterCounter(name, s.deps.Metrics).Inc(int64(n))
}
