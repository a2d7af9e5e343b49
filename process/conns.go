package process

// This file defines Conns, which bounds what the connections of a server take, closes idle ones without losing a
// request that is just arriving, and refuses what arrives too late for the end of the process.
//
// An http.Server takes a connection for idle until it has read the whole head of a request.
// Closing it by that state may cut off a request whose head is being read, or one that is
// already on its way to an upstream. Conns therefore decides by the bytes received: a
// connection is closed only if no byte of a further request has arrived, and nothing is read
// from it any more once that is decided.

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/memory"
)

// unreadGrace is how much longer than the idle timeout a connection is kept, so that a
// process that was stopped for a while reads what has arrived meanwhile.
const unreadGrace = 100 * time.Millisecond

const (
	// maxRefusalWrite is how long the refusal of an incomplete head is written.
	maxRefusalWrite = 10 * time.Millisecond
	// writeBytes is how much of an answer is written at once.
	writeBytes = 64 << 10
)

// Conns is the listener of one http.Server and tracks its connections. It is safe for
// concurrent use.
type Conns struct {
	*DrainingListener
	prefix      string               // of counters and log lines; empty: the server is that of callers
	idleTimeout func() time.Duration // zero: no limit
	memory      *memory.Budget
	maxOpen     int64 // zero: no limit
	// writesBounded says that the server sets deadlines for its answers, multiplexes that it speaks HTTP/2.
	writesBounded bool
	multiplexes   bool
	open          atomic.Int64
	registry      metrics.Registry
	logger        log.Logger

	waitedInVain time.Time // when Accept last waited for memory and got none

	mu           sync.Mutex
	conns        map[*trackedConn]struct{}
	closedLogged time.Time // when a connection that was closed for want of memory was last logged
}

// ConnsConfig configures Conns.
type ConnsConfig struct {
	Prefix      string               // of counters and log lines; empty: the server is that of callers
	IdleTimeout func() time.Duration // after which an idle connection is closed; zero: only the server closes it
	Memory      *memory.Budget
	MaxOpen     int // most connections; zero: as many as there is memory for
	Registry    metrics.Registry
	Logger      log.Logger
}

// NewConns makes a server, whose handler is set, tell of its connections. The server must accept them from the returned
// listener.
func NewConns(cfg ConnsConfig, server *http.Server, l net.Listener) *Conns {
	c := &Conns{
		DrainingListener: NewDrainingListener(l), prefix: cfg.Prefix, idleTimeout: cfg.IdleTimeout, memory: cfg.Memory, maxOpen: int64(cfg.MaxOpen),
		registry: cfg.Registry, logger: cfg.Logger, conns: make(map[*trackedConn]struct{}), writesBounded: server.WriteTimeout > 0,
		multiplexes: server.Protocols != nil && server.Protocols.UnencryptedHTTP2(),
	}
	server.Handler = abortRefused(server.Handler)
	nextState, nextContext := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		c.connStateChanged(conn, s)
		if nextState != nil {
			nextState(conn, s)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if nextContext != nil {
			ctx = nextContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
	return c
}

// abortRefused returns a handler that drops the requests that were refused, or whose connections were closed for others,
// while their heads were being read: their callers may have sent them again already.
func abortRefused(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !beginServing(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Accept implements net.Listener. It tracks the connection at once, so that a stop never misses one, and makes
// room for it by closing others that no request is being served on.
func (c *Conns) Accept() (net.Conn, error) {
	for {
		conn, err := c.DrainingListener.Accept()
		if err != nil {
			return nil, err
		}
		holder := memory.Holder(conn.RemoteAddr().String())
		tracked := &trackedConn{
			Conn: conn, conns: c, share: c.memory.ShareLeaving(holder, headReserve), headShare: c.memory.ShareLeaving(holder, connReserve), idleSince: time.Now(),
		}
		if c.multiplexes {
			tracked.prefaceLeft = http2Preface
		}
		c.track(tracked)
		if c.admit(tracked) == nil {
			return tracked, nil
		}
		c.forget(tracked)
		_ = conn.Close() // nothing is lost: nothing was read
	}
}

func (c *Conns) track(conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = struct{}{}
}

func (c *Conns) untrack(conn *trackedConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// forget gives back what a connection that is closed has.
func (c *Conns) forget(conn *trackedConn) {
	c.untrack(conn)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.release()
}

// Len returns the number of open connections.
func (c *Conns) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// ConnStates counts connections by what they are doing.
type ConnStates struct{ Idle, Reading, Serving int }

// States returns how many connections are idle, have a head that is being read, and have a request.
func (c *Conns) States() (n ConnStates) {
	for _, conn := range c.all() {
		conn.mu.Lock()
		switch {
		case conn.serving:
			n.Serving++
		case conn.idleSince.IsZero():
			n.Reading++
		default:
			n.Idle++
		}
		conn.mu.Unlock()
	}
	return n
}

func (c *Conns) all() []*trackedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.conns))
}

// CloseIdle closes the connections that have been idle for at least a period and returns their number.
func (c *Conns) CloseIdle(now time.Time, period time.Duration) (n int) {
	for _, conn := range c.all() {
		if conn.closeIfIdleSince(now.Add(-period)) {
			n++
		}
	}
	return n
}

// RefuseHeads answers the requests whose heads have been incomplete since t or longer, and returns their number.
// Their connections are closed.
func (c *Conns) RefuseHeads(t time.Time, answer []byte) (n int) {
	for _, conn := range c.all() {
		if conn.refuseHead(t, answer) {
			n++
		}
	}
	return n
}

// connStateChanged is the ConnState hook of the server.
func (c *Conns) connStateChanged(conn net.Conn, s http.ConnState) {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive: // the head was read
		tracked.beginRequest()
		tracked.endHead()
	case http.StateIdle:
		if c.writesBounded {
			_ = tracked.SetWriteDeadline(time.Time{}) // its timer would wake an idle process; fails only if the connection is closed
		}
		tracked.endRequest(time.Now(), c.idleTimeout())
	case http.StateClosed, http.StateHijacked:
		c.forget(tracked)
	}
}

// trackedConn is a connection of a caller.
type trackedConn struct {
	net.Conn
	conns *Conns

	mu        sync.Mutex
	counted   bool          // in Conns.open
	share     *memory.Share // for the connection
	headShare *memory.Share // for the head that is being read
	idleSince time.Time     // no byte of a request was read since then; zero: a request has begun
	begunAt   time.Time     // when the request began, if idleSince is zero
	headCost  int64         // bytes that what was read of a head takes, while it is not complete
	serving   bool          // the head of a request was read, and the request is being served
	handled   bool          // that request has reached its handler
	served    bool          // a request was served
	body      *bodyArrival  // of the request, if the server reads its body; nil: it does not
	readAhead bool          // a byte was read while the request before was being served
	// unreadSince is since when a part of an answer cannot be written, as the caller has not read what came before; zero: none waits.
	unreadSince time.Time
	// prefaceLeft is what has to come for a connection of HTTP/2 to begin, if nothing else has come. Until then it is
	// read as a head.
	prefaceLeft []byte
	// multiplexed says that the connection carries HTTP/2: what is read is no head, and the server tells when requests
	// begin and end.
	multiplexed  bool
	framesReadAt time.Time // when the last frames were read, which may begin a request that the server has not told of
	closed       bool      // closed as idle or for others, or refused: what is read now is discarded
	idleTimer    *time.Timer
}

// http2Preface is what a connection of HTTP/2 begins with. Only the whole of it is no request of HTTP/1.1.
var http2Preface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

// Read implements net.Conn. It fails if the connection was closed as idle.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	c.readPreface(time.Now(), b[:n])
	if c.multiplexed {
		defer c.mu.Unlock()
		c.framesReadAt = time.Now()
		if c.closed {
			return 0, net.ErrClosed
		}
		return n, err
	}
	if c.body != nil {
		c.body.add(time.Now(), int64(n))
	}
	if c.idleSince.IsZero() && len(b) == 1 {
		c.readAhead = true // the server reads single bytes only to notice that the caller disconnects
	}
	c.mu.Unlock()
	if !c.beginRequest() || !c.growHead(b[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// readPreface records that a part of the connection was read, which may complete the preface of HTTP/2. The caller holds
// c.mu.
func (c *trackedConn) readPreface(now time.Time, part []byte) {
	if len(c.prefaceLeft) == 0 {
		return
	}
	n := min(len(part), len(c.prefaceLeft))
	if !bytes.Equal(part[:n], c.prefaceLeft[:n]) {
		c.prefaceLeft = nil
		return
	}
	c.prefaceLeft = c.prefaceLeft[n:]
	if len(c.prefaceLeft) == 0 {
		c.multiplexed, c.served, c.idleSince, c.headCost = true, true, now, 0
	}
}

// endHead records that a head was read, unless the connection was closed or refused before.
func (c *trackedConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.served, c.headCost = !c.closed, true, 0
}

// beginRequest records that a request has begun. It reports false if the connection was
// closed before.
func (c *trackedConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleSince.IsZero() {
		c.idleSince, c.begunAt = time.Time{}, time.Now()
	}
	if c.idleTimer != nil {
		c.idleTimer.Stop()
		c.idleTimer = nil
	}
	return !c.closed
}

// beginServing reports whether a handler may serve a request, and records that it does. If the request was refused as its head became complete, or
// its connection closed for others, the caller may have sent it again already.
func beginServing(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = c.serving
	return c.serving
}

// endRequest records that a request was answered, and closes the connection after the
// timeout unless another one begins. A timeout of zero means never.
func (c *trackedConn) endRequest(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.handled, c.body = false, false, nil
	c.headShare.Release()
	if c.readAhead {
		c.readAhead, c.begunAt = false, now // the first byte of the next request
		return
	}
	c.idleSince = now
	if timeout > 0 {
		c.idleTimer = time.AfterFunc(timeout+unreadGrace, func() { c.closeIfIdleSince(now) })
	}
}

// closeIfIdleSince closes the connection if it has been idle since t or longer, and reports whether it did.
func (c *trackedConn) closeIfIdleSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.idleSince.IsZero() || c.idleSince.After(t) || Readable(c.Conn) {
		return false
	}
	c.closed = true
	_ = c.Close() // nothing is lost: no request has begun
	return true
}

// refuseHead answers a request whose head has been incomplete since t or longer, and reports whether it did.
// The server's read then fails, and it closes the connection.
func (c *trackedConn) refuseHead(t time.Time, answer []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.serving || !c.idleSince.IsZero() || c.begunAt.After(t) {
		return false
	}
	c.closed = true
	err := c.SetWriteDeadline(time.Now().Add(maxRefusalWrite))
	if err == nil {
		_, err = c.Conn.Write(answer)
	}
	return errors.Join(err, c.SetReadDeadline(time.Now())) == nil
}

// Write implements net.Conn. It fails if the connection was closed as idle or for others, or its request refused.
func (c *trackedConn) Write(b []byte) (written int, err error) {
	defer c.setUnreadSince(time.Time{})
	for {
		if !c.setUnreadSince(time.Now()) {
			return written, net.ErrClosed
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+writeBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// setUnreadSince reports false if the connection was closed.
func (c *trackedConn) setUnreadSince(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadSince = t
	return !c.closed
}
