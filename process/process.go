// Package process holds what every program does besides its own work: logs,
// metrics, health pages, and serving until a signal with a graceful shutdown.
package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	finishTimeout     = 10 * time.Second
	dialTimeout       = time.Second

	// A connection to another process that is silent for pingAfter is asked for a
	// sign of life, and closed if none comes within pingTimeout.
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second
)

// NewLogger returns a logger that writes one line of key=value pairs an event.
func NewLogger(program, node string) log.Logger {
	l := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	return log.With(l, "ts", log.DefaultTimestampUTC, "program", program, "node", node)
}

// Version returns the version the program was built from.
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

// Server is a program's HTTP side and how it shuts down.
type Server struct {
	Address       string
	Listener      net.Listener // used in place of Address if not nil
	Handler       http.Handler
	Ready         func() error // nil error: ready for work
	Metrics       metrics.Registry
	Logger        log.Logger
	OnShutdown    func()                  // called once when a signal arrives, before draining
	ShutdownDelay time.Duration           // between OnShutdown and refusing new connections
	DrainTimeout  time.Duration           // for running requests; zero: without bound
	OnDrained     func(context.Context)   // called once after the last request, while the tasks still run; nil: nothing to do
	Abort         <-chan struct{}         // closed: cut what runs and end at once; nil: never
	Tasks         []func(context.Context) // run beside the server until their context is done
}

// SignalContext returns a context that ends at SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Serve serves until ctx is done, then lets every running request finish. The
// tasks go on until then.
func Serve(ctx context.Context, s Server) error {
	l := s.Listener
	if l == nil {
		var err error
		if l, err = net.Listen("tcp", s.Address); err != nil {
			return eris.Wrapf(err, "listen on %s", s.Address)
		}
	}
	server := NewHTTPServer(s.mux())
	defer s.run(ctx)()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-s.Abort:
			_ = server.Close()
		case <-ended:
		}
	}()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	_ = s.Logger.Log("event", "serving", "address", l.Addr(), "version", Version())
	select {
	case err := <-failed:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return s.shutdown(server)
}

// run starts the tasks and returns a function that ends them and waits.
func (s Server) run(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	for _, task := range s.Tasks {
		wg.Go(func() { task(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (s Server) shutdown(server *http.Server) error {
	_ = s.Logger.Log("event", "leaving")
	if s.OnShutdown != nil {
		s.OnShutdown()
	}
	time.Sleep(s.ShutdownDelay)
	ctx, cancel := context.Background(), func() {}
	if s.DrainTimeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, s.DrainTimeout)
	}
	defer cancel()
	err := server.Shutdown(ctx)
	s.finish()
	_ = s.Logger.Log("event", "left", "err", err)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// finish lets the program end its own work in bounded time.
func (s Server) finish() {
	if s.OnDrained == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	s.OnDrained(ctx)
}

// NewHTTPServer returns a server that speaks HTTP/1.1 and unencrypted HTTP/2.
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
	}
}

// NewPeerClient returns a client for requests to the router's own processes, which
// speak unencrypted HTTP/2. It closes a connection before it would have to ask for a
// sign of life on it without a request.
func NewPeerClient() *http.Client {
	return newClient(&http.Transport{
		Protocols:          unencryptedHTTP2(),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression: true,
		IdleConnTimeout:    pingAfter,
	})
}

// NewHeartbeatClient returns a client for heartbeats, which have a timeout of their
// own. It keeps connections without asking for signs of life.
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

// NewExternalClient returns a client for upstreams and the platform.
func NewExternalClient() *http.Client {
	return newClient(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		DisableCompression:  true,
		IdleConnTimeout:     idleTimeout,
	})
}

// NewNoResendClient returns a client that sends a request at most once. A client that
// keeps connections sends a request again by itself when a kept connection breaks,
// if its method is idempotent or it carries an Idempotency-Key; on a connection of
// its own a request is never sent twice.
func NewNoResendClient() *http.Client {
	return newClient(&http.Transport{
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	})
}

// newClient returns a client that hands redirects to its caller: following one
// would send a request to an address that no rule names, and send it twice.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (s Server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /metrics", MetricsHandler(s.Metrics))
	mux.Handle("GET /metrics.json", MetricsHandler(s.Metrics))
	mux.Handle("/", s.Handler)
	return mux
}

func (s Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
