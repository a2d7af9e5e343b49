package gateway

// This file defines idleConns, which closes connections on which callers stay idle for
// longer than the configuration in force allows. The server's own limit cannot change
// while it runs.

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns is the idle connections of a server. It is safe for concurrent use.
type idleConns struct {
	limit func() time.Duration // zero: none

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, timers: make(map[net.Conn]*time.Timer)}
}

// state is a server's ConnState.
func (i *idleConns) state(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if limit := i.limit(); s == http.StateIdle && limit > 0 {
		i.timers[c] = time.AfterFunc(limit, func() { c.Close() })
	}
}

// idleLimit returns how long the configuration in force lets callers stay idle.
func (g *Gateway) idleLimit() time.Duration {
	if c := g.deps.Catalog.Newest(); c != nil {
		return c.Limits.IdleTimeout
	}
	return 0
}

// EnforceIdleTimeout makes a server keep to the limits of the configuration in force.
func (g *Gateway) EnforceIdleTimeout(server *http.Server) {
	server.ConnState = newIdleConns(g.idleLimit).state
}

// headerBytes returns the size of a request's head, about as it was sent.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}
