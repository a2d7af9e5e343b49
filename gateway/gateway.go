// Package gateway is a reverse proxy between callers and upstreams. It sends requests to
// upstreams directly, without a sidecar. Its routes, services and keys come from a
// catalog that operators publish.
//
// A request passes through four stages, each in a file of its own: accept.go looks up
// the route and the key and reads the body, dispatch.go chooses upstreams and retries,
// attempt.go sends the request to one upstream, and relay.go passes the response on.
// A HeaderCodec translates the headers, so that this package knows no header names of
// the platform.
//
// Program runs a gateway as a process. Such a process is also called an entry.
package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/quarantine"
	"github.com/ragwortpass/ragwortpass/rollout"
)

// RequestInfo holds what the headers of a caller's request say.
type RequestInfo struct {
	ID          id.Request
	Key         string
	Timeout     time.Duration // how long the caller waits; zero: not given
	Prompt      pool.Prompt
	LastEventID uint64 // last event that the caller has received, if Resumes
	Resumes     bool   // the caller resumes an interrupted stream
}

// UpstreamRequestInfo holds what the headers of a request to an upstream say.
type UpstreamRequestInfo struct {
	Upstream    id.Upstream // the only upstream that may run the request
	Workspace   id.Workspace
	Timeout     time.Duration // time left until the deadline of the request
	Urgency     int           // 0 is the most urgent
	LastEventID uint64        // the upstream leaves out events up to this one, if Resumes
	Resumes     bool          // the upstream continues an interrupted stream
}

// ResponseInfo holds what the headers and the status of an upstream's response say.
type ResponseInfo struct {
	NotRun      bool // the upstream did not run the request and never will
	Misdirected bool // the address now belongs to another upstream than the requested one
	Signed      bool // carries an upstream's signature
	Leaving     bool // the upstream is leaving and must get no new requests
	// Wait is how long the upstream, which refuses the request, wants no further ones; zero:
	// not given. If the response has an unusable value, InvalidWait is its text, shortened.
	Wait        time.Duration
	InvalidWait string
	// Limited means that the upstream takes at most Limit requests from all gateways together,
	// for as long as it says so. If the response has an unusable value, InvalidLimit is its text in quotes.
	Limited      bool
	Limit        id.PerSecond
	InvalidLimit string
}

// HeaderCodec translates the headers of requests and responses.
type HeaderCodec interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// SetUpstreamHeaders turns the headers of a caller's request into those for an upstream.
	SetUpstreamHeaders(h http.Header, info UpstreamRequestInfo)
	// ResponseRequestID returns the request that a response belongs to; empty: not given.
	ResponseRequestID(h http.Header) id.Request
	// ParseResponse reads the headers of the response to a request. What they say holds only
	// for that request and its upstream.
	ParseResponse(resp *http.Response) ResponseInfo
	// SetRequestID adds the request's id to a response that the gateway makes itself.
	SetRequestID(h http.Header, req id.Request)
}

// UsageMeter counts the requests that upstreams have started to run.
type UsageMeter interface {
	// CountRequest counts a request of a workspace that started the given time ago.
	CountRequest(age time.Duration, w id.Workspace)
}

// CatalogStatus tells whether the newest known catalog is up to date.
type CatalogStatus interface {
	// Fresh reports whether the newest known catalog was confirmed recently enough to be
	// the one in force. Only then does a request that the catalog does not allow get a
	// final refusal.
	Fresh(now time.Time) bool
	// Contact returns when the catalog was last confirmed to be current, and whether a
	// catalog is known. The time is zero if the catalog comes from a copy and was never
	// confirmed.
	Contact() (time.Time, bool)
	// Failing returns for how long reading the catalog has failed; zero: the last read
	// succeeded.
	Failing(now time.Time) time.Duration
}

// Deps holds the dependencies of a gateway.
type Deps struct {
	Codec         HeaderCodec
	Catalog       *catalog.Latest
	Pool          *pool.Pool
	RetryBudgets  *RetryBudgets
	Meter         UsageMeter
	CatalogStatus CatalogStatus
	Client        *UpstreamClient
	Memory        *memory.Budgets
	MaxCallers    int // most connections of callers; zero: as many as there is memory for
	Quarantine    *quarantine.Register
	Rollouts      *rollout.Register // nil: versions of upstreams make no difference
	FleetTime     func() time.Time  // the time that the evidence of Quarantine has
	TellPeers     func()            // asks for an exchange with peers soon
	Metrics       metrics.Registry
	Logger        log.Logger
}

// Gateway relays the requests of callers to upstreams.
type Gateway struct {
	deps             Deps
	guard            *guard.Guard
	crashes          *crashDetector
	attempts         *runningAttempts
	pending          *pendingAttempts
	bodies           *bodyReads
	shutdownStarted  clock.AtomicInstant // not set: not shutting down
	shutdownDeadline clock.AtomicInstant // when the process ends; not set: not known
	inFlight         atomic.Int64        // requests that are being served
	lastActivity     clock.AtomicInstant // when a request last arrived or ended
}

// New returns a gateway.
func New(deps Deps) *Gateway {
	return &Gateway{
		deps: deps, guard: guard.New(deps.Logger, deps.Metrics), crashes: newCrashDetector(deps.Client, deps.Pool),
		attempts: newRunningAttempts(), pending: newPendingAttempts(), bodies: newBodyReads(),
	}
}

// Handler returns the handler for callers' requests.
func (g *Gateway) Handler() http.Handler {
	return alice.New(g.trackActivity).ThenFunc(g.serve)
}

// trackActivity counts the requests in flight. During a shutdown it asks callers to
// close their connections.
func (g *Gateway) trackActivity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.inFlight.Add(1)
		g.lastActivity.Store(clock.InstantOf(time.Now()))
		defer func() {
			g.lastActivity.Store(clock.InstantOf(time.Now()))
			g.inFlight.Add(-1)
		}()
		if g.ShuttingDown() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// InFlight returns how many requests are being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Ready reports whether the gateway has a catalog and is not shutting down.
func (g *Gateway) Ready() bool { return !g.ShuttingDown() && g.deps.Catalog.Load() != nil }

// ShuttingDown reports whether BeginShutdown was called.
func (g *Gateway) ShuttingDown() bool { return g.shutdownStarted.Load() != 0 }

// ShutdownStarted returns the time given to BeginShutdown; zero: it was not called.
func (g *Gateway) ShutdownStarted() time.Time {
	if since := g.shutdownStarted.Load(); since != 0 {
		return since.Time()
	}
	return time.Time{}
}

// BeginShutdown makes the gateway unready. It still serves running and new requests,
// each as the last one on its connection.
func (g *Gateway) BeginShutdown(now time.Time) { g.shutdownStarted.Store(clock.InstantOf(now)) }

// minDeadlineChange is the least time by which a shutdown deadline is brought forward.
const minDeadlineChange = 10 * time.Millisecond

// SetShutdownDeadline sets when the process ends, or brings that forward. From now on the gateway
// sends no requests to upstreams whose deadline is later, new ones or those that wait; running ones
// continue.
func (g *Gateway) SetShutdownDeadline(end time.Time) {
	instant := clock.InstantOf(end)
	if known := g.shutdownDeadline.Load(); known != 0 && known.Sub(instant) < minDeadlineChange {
		return
	}
	g.shutdownDeadline.Store(instant)
	if err := g.bodies.setEnd(end); err != nil {
		_ = g.deps.Logger.Log("event", "body_deadline_not_set", "err", err)
	}
}

// exceedsShutdown reports whether a request's deadline lies after the end of the process.
func (g *Gateway) exceedsShutdown(deadline time.Time) bool {
	end := g.shutdownDeadline.Load()
	return end != 0 && clock.InstantOf(deadline) > end
}

// Idle reports whether no request is in flight and none has arrived or ended for at
// least the period.
func (g *Gateway) Idle(now time.Time, period time.Duration) bool {
	return g.inFlight.Load() == 0 && clock.InstantOf(now).Sub(g.lastActivity.Load()) >= period
}

func (g *Gateway) incrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, g.deps.Metrics).Inc(1)
}

// The size and the decay factor of a histogram's sample, which gives the last minutes more
// weight. The metrics library uses the same values for its timers, after those of UNIX load
// averages.
const (
	histogramSize  = 1028
	histogramAlpha = 0.015
)

// observeDuration adds a duration in milliseconds to a histogram.
func (g *Gateway) observeDuration(name string, d time.Duration) {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(histogramSize, histogramAlpha) }
	h := g.deps.Metrics.GetOrRegister(name, func() metrics.Histogram { return metrics.NewHistogram(sample()) })
	h.(metrics.Histogram).Update(d.Milliseconds())
}
