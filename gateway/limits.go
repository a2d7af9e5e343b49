package gateway

// This file enforces limits of the catalog in force that an http.Server cannot change
// while it runs: the idle timeout of connections and the size of headers.

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes a server's connections that are idle for longer than a timeout. It
// is safe for concurrent use.
type idleCloser struct {
	timeout func() time.Duration // zero: no limit

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(timeout func() time.Duration) *idleCloser {
	return &idleCloser{timeout: timeout, timers: make(map[net.Conn]*time.Timer)}
}

// connStateChanged is the ConnState hook of an http.Server.
func (i *idleCloser) connStateChanged(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if timeout := i.timeout(); s == http.StateIdle && timeout > 0 {
		i.timers[c] = time.AfterFunc(timeout, func() { c.Close() })
	}
}

// idleTimeout returns the idle timeout of the catalog in force; zero: no limit.
func (g *Gateway) idleTimeout() time.Duration {
	if c := g.deps.Catalog.Load(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// EnforceIdleTimeout makes a server close idle connections after the timeout of the
// catalog in force.
func (g *Gateway) EnforceIdleTimeout(server *http.Server) {
	server.ConnState = newIdleCloser(g.idleTimeout).connStateChanged
}

// headerSize returns the approximate size in bytes of a request's line and headers.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
