// Package gateway relays requests whose routes, services and keys operators put in
// force as a catalog, from callers to upstreams that take them directly.
//
// A request goes through these steps, each in a file of its own: accept (catalog,
// route, key, body), dispatch (attempts), attempt (one send to one upstream) and
// relay (the answer). How a request looks on the wire is the business of a Codec.
package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/justinas/alice"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// RequestInfo is what a caller says of a request in its headers.
type RequestInfo struct {
	ID          id.Request
	Key         string
	Timeout     time.Duration // how long the caller waits; zero: not said
	Prompt      pool.Prompt
	LastEventID uint64 // the last event that the caller has, if it resumes a stream
	Resumes     bool
}

// UpstreamRequestInfo is what an upstream is told of a request.
type UpstreamRequestInfo struct {
	Upstream    id.Upstream // the only one that may run it
	Workspace   id.Workspace
	Timeout     time.Duration
	Urgency     int    // 0 is first
	LastEventID uint64 // events up to this one are left out, if a stream is resumed
	Resumes     bool
}

// ResponseInfo is what an upstream's answer says beside its content.
type ResponseInfo struct {
	RequestID   id.Request // that it answers; empty: not said
	NotRun      bool       // the upstream did not run the request and never will
	Misdirected bool       // another upstream than the one named is at the address
	Signed      bool       // an upstream wrote it
}

// HeaderCodec knows the headers of requests and answers.
type HeaderCodec interface {
	// ParseRequest reads the headers of a caller's request.
	ParseRequest(h http.Header) RequestInfo
	// SetUpstreamHeaders turns the headers of a caller's request into those for an upstream.
	SetUpstreamHeaders(h http.Header, s UpstreamRequestInfo)
	// ParseResponse reads the headers of an upstream's answer.
	ParseResponse(rs *http.Response) ResponseInfo
	// SetRequestID puts the request's id on an answer of our own.
	SetRequestID(h http.Header, rq id.Request)
}

// UsageMeter counts what upstreams have begun.
type UsageMeter interface {
	// CountRequest counts a request of a workspace that began some time ago.
	CountRequest(ago time.Duration, w id.Workspace)
}

// CatalogStatus tells how well the catalog is followed.
type CatalogStatus interface {
	// Fresh reports whether the catalog is known to be in force. A request that the
	// catalog does not allow is refused for good only then.
	Fresh(now time.Time) bool
	// Contact returns when what is known was last seen to be current.
	Contact() (time.Time, bool)
	// Failing returns for how long the catalog could not be read; zero: it can.
	Failing(now time.Time) time.Duration
}

// Deps is what a gateway works with.
type Deps struct {
	Codec         HeaderCodec
	Catalog       *catalog.Shelf
	Pool          *pool.Pool
	RetryBudgets  *RetryBudgets
	Meter         UsageMeter
	CatalogStatus CatalogStatus
	Client        *http.Client
	Metrics       metrics.Registry
	Logger        log.Logger
}

// Gateway serves callers.
type Gateway struct {
	deps    Deps
	leaving atomic.Int64 // since when, in Unix nanoseconds; zero: it stays
	ends    atomic.Int64 // when the process ends, in Unix nanoseconds; zero: not known
	running atomic.Int64
	last    atomic.Int64 // when the last request came or ended, in Unix nanoseconds
}

// New returns a gateway.
func New(deps Deps) *Gateway { return &Gateway{deps: deps} }

// Handler serves callers.
func (g *Gateway) Handler() http.Handler {
	return alice.New(g.account).ThenFunc(g.serve)
}

// account counts what runs, and tells callers to leave when the process does.
func (g *Gateway) account(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.running.Add(1)
		g.last.Store(time.Now().UnixNano())
		defer func() {
			g.last.Store(time.Now().UnixNano())
			g.running.Add(-1)
		}()
		if g.ShuttingDown() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// InFlight returns how many requests run.
func (g *Gateway) InFlight() int64 { return g.running.Load() }

// Ready reports whether the gateway can serve callers.
func (g *Gateway) Ready() bool { return !g.ShuttingDown() && g.deps.Catalog.Newest() != nil }

// ShuttingDown reports whether Leave was called.
func (g *Gateway) ShuttingDown() bool { return g.leaving.Load() != 0 }

// ShutdownStarted returns when Leave was called; zero: it was not.
func (g *Gateway) ShutdownStarted() time.Time {
	if since := g.leaving.Load(); since != 0 {
		return time.Unix(0, since)
	}
	return time.Time{}
}

// BeginShutdown makes the gateway unready. Running and new requests are served to their
// end, each the last on its connection.
func (g *Gateway) BeginShutdown(now time.Time) { g.leaving.Store(now.UnixNano()) }

// SetShutdownDeadline makes the gateway refuse new requests that may take until after its end;
// those that run go on.
func (g *Gateway) SetShutdownDeadline(end time.Time) { g.ends.Store(end.UnixNano()) }

// outlasts reports whether a request may take until after the end of the process.
func (g *Gateway) outlasts(deadline time.Time) bool {
	end := g.ends.Load()
	return end != 0 && deadline.UnixNano() > end
}

// Idle reports whether nothing runs, and no request has come for some time.
func (g *Gateway) Idle(now time.Time, span time.Duration) bool {
	return g.running.Load() == 0 && now.Sub(time.Unix(0, g.last.Load())) >= span
}

func (g *Gateway) count(name string) {
	metrics.GetOrRegisterCounter(name, g.deps.Metrics).Inc(1)
}

// A histogram keeps a sample of histogramSize values, weighted towards the last
// minutes: the library's own choice for load averages.
const (
	histogramSize  = 1028
	histogramAlpha = 0.015
)

// observe notes a duration in milliseconds.
func (g *Gateway) observe(name string, d time.Duration) {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(histogramSize, histogramAlpha) }
	h := g.deps.Metrics.GetOrRegister(name, func() metrics.Histogram { return metrics.NewHistogram(sample()) })
	h.(metrics.Histogram).Update(d.Milliseconds())
}

const (
	// connectTimeout bounds a connection to an upstream. They are a few milliseconds
	// away, and a lost opening packet is sent again only after one second: another
	// upstream is reached sooner.
	connectTimeout = 150 * time.Millisecond
	// A connection on which nothing arrives is probed, so that an upstream that has
	// gone dark is noticed while its requests have time left. An upstream that is
	// merely silent answers the probes.
	probeAfter = time.Second
	probeCount = 3
	// idleConnections bounds the connections kept to one upstream.
	idleConnections = 64
	// idleTimeout closes kept connections before upstreams do, which is after some
	// seconds.
	idleTimeout = 4 * time.Second
)

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// NewUpstreamClient returns a client for upstreams. It never follows redirects.
func NewUpstreamClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeAfter, Count: probeCount},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: c}, nil
			},
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
