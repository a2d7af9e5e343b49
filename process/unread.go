package process

// This file defines unreadConns, for the connections that a server has accepted last before it shuts down.

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// unreadConns are the connections of a server from which no request was read. It is safe for concurrent use.
type unreadConns struct {
	mu       sync.Mutex
	accepted map[net.Conn]time.Time
}

func newUnreadConns() *unreadConns { return &unreadConns{accepted: make(map[net.Conn]time.Time)} }

// unreadConnKey is the key of a request's connection in its context.
type unreadConnKey struct{}

// track makes the server tell of its connections.
func (u *unreadConns) track(server *http.Server) {
	server.ConnState = u.connStateChanged
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, unreadConnKey{}, conn)
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(unreadConnKey{}).(net.Conn); ok {
			u.remove(conn)
		}
		next.ServeHTTP(w, r)
	})
}

// connStateChanged is the ConnState hook of the server. A connection becomes active before the server, if it is shutting
// down, drops its request, so that only the handler shows that one was read.
func (u *unreadConns) connStateChanged(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		u.mu.Lock()
		defer u.mu.Unlock()
		u.accepted[conn] = time.Now()
	case http.StateClosed, http.StateHijacked:
		u.remove(conn)
	case http.StateActive, http.StateIdle:
	}
}

func (u *unreadConns) remove(conn net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.accepted, conn)
}

// acceptedSince reports whether one of the connections was accepted at t or later.
func (u *unreadConns) acceptedSince(t time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, accepted := range u.accepted {
		if !accepted.Before(t) {
			return true
		}
	}
	return false
}
