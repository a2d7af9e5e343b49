// Package process provides what every program of the router shares: logging, metrics,
// health checks, HTTP clients, and an HTTP server with graceful shutdown.
package process

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"net/netip"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/response"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// maxStreams is how many requests a connection of HTTP/2 carries at once: as many as clients open before they are told.
	maxStreams       = 100
	onDrainedTimeout = 10 * time.Second
	dialTimeout      = time.Second

	// A peer connection sends an HTTP/2 ping after sendPingTimeout without receiving a
	// frame, and is closed if no response to the ping arrives within pingResponseTimeout.
	sendPingTimeout     = 2 * time.Second
	pingResponseTimeout = 2 * time.Second
)

// Version returns the VCS revision that the program was built from, or else the version of
// its main module.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

// Server configures a program's HTTP server, its background tasks and its shutdown.
type Server struct {
	Address  string
	Listener net.Listener // replaces Address if not nil
	Handler  http.Handler
	Ready    func() error // nil error: ready for requests
	Metrics  metrics.Registry
	Logger   log.Logger
	// Memory bounds what connections take, and MaxDescriptors is how many descriptors the process may have; nil, or zero: not known, and memory is bounded as for a
	// process of 2,048 MB.
	Memory         *memory.Budgets
	MaxDescriptors int
	OnShutdown     func()                  // called once when the shutdown begins; nil: nothing to do
	ShutdownDelay  time.Duration           // from OnShutdown until new connections are refused
	DrainTimeout   time.Duration           // limits the wait for running requests; zero: no limit
	OnDrained      func(context.Context)   // called once after the last request, while the tasks still run; nil: nothing to do
	Abort          <-chan struct{}         // when closed, requests are aborted, and Serve returns without a shutdown unless it has begun; nil: never
	Tasks          []func(context.Context) // run until their context is done, which is after OnDrained; start again after a panic
	// JournalTasks are like Tasks, but a panic ends the process: a record of the log that was applied in
	// part would leave it with another state than all others, and a start reads the log again.
	JournalTasks []func(context.Context)
}

// SignalContext returns a context that is done on SIGTERM or SIGINT, for commands that an operator runs. A
// program that serves uses package signals.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// apiServer names the one server of a program, in its log.
const apiServer = "api"

// Serve serves until ctx is done and then shuts down gracefully: running requests are
// completed before the tasks are stopped.
func Serve(ctx context.Context, s Server) error {
	RegisterVitals(s.Metrics)
	LogStart(s.Logger, "address", s.Address)
	l := s.Listener
	if l == nil {
		address, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			return &ServerError{Server: apiServer, Address: s.Address, Err: err}
		}
		l = NewListener(time.Now(), apiServer, address, ListenPatience, s.Logger)
	}
	leaving := new(atomic.Bool)
	server := NewHTTPServer(closeWhenLeaving(leaving, boundUnreadBodies(s.handler())))
	server.ErrorLog = stdlog.New(log.NewStdlibAdapter(log.With(s.Logger, "event", "http_server_error", "server", apiServer)), "", 0)
	defer s.startTasks(ctx)()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-s.Abort:
			_ = server.Close()
		case <-done:
		}
	}()
	serveErr := make(chan error, 1)
	conns := s.track(server, l)
	go func() { serveErr <- server.Serve(conns) }()
	select {
	case err := <-serveErr:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	leaving.Store(true)
	return s.shutdown(server, func() error {
		err := conns.Stop()
		if ended := <-serveErr; !errors.Is(ended, net.ErrClosed) { // all that were accepted are known
			err = errors.Join(err, ended)
		}
		conns.settle()
		return err
	})
}

// track returns the listener that the server accepts connections from.
func (s Server) track(server *http.Server, l net.Listener) *Conns {
	budgets := s.Memory
	if budgets == nil {
		budgets = memory.NewBudgets(0)
	}
	return NewConns(ConnsConfig{
		IdleTimeout: func() time.Duration { return 0 }, Memory: budgets.Connections, MaxOpen: MaxCallers(s.MaxDescriptors), Registry: s.Metrics, Logger: s.Logger,
	}, server, l)
}

// closeWhenLeaving makes each response of a process that is leaving the last one on its connection: a connection that is
// closed as idle may have a request on its way. HTTP/2 announces the close by itself.
func closeWhenLeaving(leaving *atomic.Bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if leaving.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// startTasks starts the tasks and returns a function that stops them and waits for them.
func (s Server) startTasks(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, task := range s.JournalTasks {
		wg.Go(func() { task(ctx) })
	}
	g := guard.New(s.Logger, s.Metrics)
	for _, task := range s.Tasks {
		wg.Go(func() { g.Run(ctx, "server_task", task) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// shutdown shuts the server down. StopAccepting closes its listener and returns once requests were read from the
// connections that were accepted last: http.Server.Shutdown cuts those from which it has read nothing yet.
func (s Server) shutdown(server *http.Server, stopAccepting func() error) error {
	_ = s.Logger.Log("event", "leaving")
	if s.OnShutdown != nil {
		s.OnShutdown()
	}
	time.Sleep(s.ShutdownDelay)
	if err := stopAccepting(); err != nil {
		_ = s.Logger.Log("event", "listener_not_closed", "err", err)
	}
	ctx, cancel := context.Background(), func() {}
	if s.DrainTimeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, s.DrainTimeout)
	}
	defer cancel()
	err := server.Shutdown(ctx)
	s.runOnDrained()
	_ = s.Logger.Log("event", "left", "err", err)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// runOnDrained calls OnDrained with onDrainedTimeout.
func (s Server) runOnDrained() {
	if s.OnDrained == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), onDrainedTimeout)
	defer cancel()
	s.OnDrained(ctx)
}

// NewHTTPServer returns a server for HTTP/1.1 and unencrypted HTTP/2.
func NewHTTPServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
}

// NewPeerClient returns a client for requests to the router's other processes over
// unencrypted HTTP/2. Its idle timeout equals sendPingTimeout, so that a connection without
// requests is closed instead of pinged.
func NewPeerClient() *http.Client {
	return newClient(&http.Transport{
		Protocols:          unencryptedHTTP2(),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingResponseTimeout},
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		IdleConnTimeout:    sendPingTimeout,
	})
}

// NewHeartbeatClient returns a client for heartbeats over unencrypted HTTP/2. It keeps
// idle connections and sends no pings, as each heartbeat has its own timeout.
func NewHeartbeatClient() *http.Client {
	return newClient(&http.Transport{
		Protocols:          unencryptedHTTP2(),
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
	})
}

func unencryptedHTTP2() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// NewExternalClient returns an HTTP/1.1 client for upstreams and the platform.
func NewExternalClient() *http.Client {
	return newExternalClient(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
	})
}

// NewNoResendClient returns a client that sends each request at most once, on a new
// connection. On a reused connection that breaks, http.Transport would resend a request
// whose method is idempotent or that has an Idempotency-Key header.
func NewNoResendClient() *http.Client {
	return newExternalClient(&http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	})
}

// newClient returns a client that does not follow redirects but returns them. Following
// one would send the request a second time, and to an address that no rule allows.
func newClient(t *http.Transport) *http.Client {
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newExternalClient is newClient for HTTP/1.1, which does not show by itself where a response ends.
func newExternalClient(t *http.Transport) *http.Client {
	c := newClient(t)
	c.Transport = response.NewTransport(t)
	return c
}

func (s Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /healthz", WithoutBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})))
	mux.Handle("GET /readyz", WithoutBodies(http.HandlerFunc(s.serveReadiness)))
	mux.Handle("GET /metrics", WithoutBodies(MetricsHandler(s.Metrics)))
	mux.Handle("GET /metrics.json", WithoutBodies(MetricsHandler(s.Metrics)))
	mux.Handle("/", s.Handler)
	return mux
}

func (s Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
