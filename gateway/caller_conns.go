package gateway

// This file defines CallerConns, which closes idle connections of callers without losing a
// request that is just arriving.
//
// An http.Server takes a connection for idle until it has read the whole head of a request.
// Closing it by that state may cut off a request whose head is being read, or one that is
// already on its way to an upstream. CallerConns therefore decides by the bytes received: a
// connection is closed only if no byte of a further request has arrived, and nothing is read
// from it any more once that is decided.

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unreadGrace is how much longer than the idle timeout a connection is kept, so that a
// process that was stopped for a while reads what has arrived meanwhile.
const unreadGrace = 100 * time.Millisecond

// CallerConns is the listener of one http.Server and tracks its connections. It is safe for
// concurrent use.
type CallerConns struct {
	net.Listener
	idleTimeout func() time.Duration // zero: no limit

	closeOnce sync.Once
	closeErr  error // of Listener

	mu    sync.Mutex
	conns map[net.Conn]*callerConn
}

// TrackCallers makes a server close idle connections after the timeout of the catalog in
// force. The server must accept its connections from the returned listener.
func (g *Gateway) TrackCallers(server *http.Server, l net.Listener) *CallerConns {
	c := &CallerConns{Listener: l, idleTimeout: g.idleTimeout, conns: make(map[net.Conn]*callerConn)}
	server.ConnState = c.connStateChanged
	return c
}

// Accept implements net.Listener.
func (c *CallerConns) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, idleSince: time.Now()}, nil
}

// Close implements net.Listener. A planned stop closes the listener before the server and Serve do; their
// calls return what the first one did.
func (c *CallerConns) Close() error {
	c.closeOnce.Do(func() { c.closeErr = c.Listener.Close() })
	return c.closeErr
}

// Len returns the number of open connections.
func (c *CallerConns) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// CloseIdle closes the connections that have been idle for at least a period.
func (c *CallerConns) CloseIdle(now time.Time, period time.Duration) {
	c.mu.Lock()
	var conns []*callerConn
	for _, conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		conn.closeIfIdleSince(now.Add(-period))
	}
}

// connStateChanged is the ConnState hook of the server.
func (c *CallerConns) connStateChanged(conn net.Conn, s http.ConnState) {
	tracked, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		c.mu.Lock()
		c.conns[conn] = tracked
		c.mu.Unlock()
	case http.StateActive:
		tracked.beginRequest()
	case http.StateIdle:
		tracked.endRequest(time.Now(), c.idleTimeout())
	case http.StateClosed, http.StateHijacked:
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}
}

// callerConn is a connection of a caller.
type callerConn struct {
	net.Conn

	mu        sync.Mutex
	idleSince time.Time // no byte of a request was read since then; zero: a request has begun
	readAhead bool      // a byte was read while the request before was being served
	closed    bool      // closed as idle: what is read now is discarded
	idleTimer *time.Timer
}

// Read implements net.Conn. It fails if the connection was closed as idle.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	if c.idleSince.IsZero() && len(b) == 1 {
		c.readAhead = true // the server reads single bytes only to notice that the caller disconnects
	}
	c.mu.Unlock()
	if !c.beginRequest() {
		return 0, net.ErrClosed
	}
	return n, err
}

// beginRequest records that a request has begun. It reports false if the connection was
// closed before.
func (c *callerConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
	return !c.closed
}

// endRequest records that a request was answered, and closes the connection after the
// timeout unless another one begins. A timeout of zero means never.
func (c *callerConn) endRequest(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readAhead {
		c.readAhead = false // the first byte of the next request
		return
	}
	c.idleSince = now
	if timeout > 0 {
		c.idleTimer = time.AfterFunc(timeout+unreadGrace, func() { c.closeIfIdleSince(now) })
	}
}

// closeIfIdleSince closes the connection if it has been idle since t or longer.
func (c *callerConn) closeIfIdleSince(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && !c.idleSince.IsZero() && !c.idleSince.After(t) && !readable(c.Conn) {
		c.closed = true
		_ = c.Close() // nothing is lost: no request has begun
	}
}

// readable reports whether a connection has received bytes or an end that were not read, or a listener
// connections that were not accepted. It reports false for what is not a socket.
func readable(socket any) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false // closed
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, err = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}
