package gateway

// This file defines UpstreamClient, which sends requests to upstreams and keeps connections to
// them.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/pool"
)

const (
	// connectTimeout limits the time to connect to an upstream. Upstreams are a few
	// milliseconds away, and TCP repeats a lost SYN only after one second: trying another
	// upstream is faster.
	connectTimeout = 150 * time.Millisecond
	// TCP keep-alive probes detect an upstream that has become unreachable while its
	// requests still have time left for a retry. An upstream that is only slow to respond
	// acknowledges the probes.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// dueHeadWait is how long the head of a response may still come after its caller has left. A refusal
	// that is on its way says what the upstream takes next: it may ask for a wait.
	dueHeadWait = 20 * time.Millisecond
	// upstreamConnBytes is about what an idle connection to an upstream takes, and idleUpstreamLeaves the
	// part of the memory for connections that those leave to callers.
	upstreamConnBytes  = 12 << 10
	idleUpstreamLeaves = 0.4
)

// upstreamStart identifies one start of an upstream at an address. Connections to an earlier
// start are of no use to a later one, which does not know them.
type upstreamStart struct {
	address     string
	upstream    id.Upstream
	startUnixMS int64
}

// startOf returns the start of an upstream that is listed.
func startOf(u *pool.Listing) upstreamStart { return upstreamStart{u.Address, u.ID, u.StartUnixMS} }

// UpstreamClient sends requests to upstreams over connections that it keeps open, or over new
// ones. It never sends a request a second time. It is safe for concurrent use.
type UpstreamClient struct {
	dialer      *net.Dialer
	codec       HeaderCodec
	responses   *memory.Budget
	connections *memory.Budget
	registry    metrics.Registry
	guard       *guard.Guard
	logger      log.Logger

	connectionPart func(id.Service) float64 // set by ShareConnections

	mu   sync.Mutex
	kept map[upstreamStart][]*upstreamConn // idle connections, the one used last at the end
	open map[upstreamStart]int             // connections, idle ones included
}

// NewUpstreamClient returns a client without connections that keeps responses and idle connections within
// budgets.
func NewUpstreamClient(codec HeaderCodec, budgets *memory.Budgets, registry metrics.Registry, logger log.Logger) *UpstreamClient {
	return &UpstreamClient{
		dialer: &net.Dialer{
			Timeout:         connectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		},
		codec: codec, responses: budgets.Responses, connections: budgets.Connections, registry: registry, guard: guard.New(logger, registry), logger: logger,
		connectionPart: func(id.Service) float64 { return 0 }, kept: make(map[upstreamStart][]*upstreamConn), open: make(map[upstreamStart]int),
	}
}

// ShareConnections sets which part of the connections that an upstream of a service accepts is this gateway's; zero:
// not known. It is called before the client is used.
func (c *UpstreamClient) ShareConnections(part func(id.Service) float64) { c.connectionPart = part }

// Connect opens a connection to an upstream.
func (c *UpstreamClient) Connect(ctx context.Context, address string) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp", address)
}

// exchangeObserver is told what happens on the way of a request.
type exchangeObserver interface {
	// connected is called before the request is written.
	connected(x *exchange)
	// foreignResponse is called for each response on the connection that belongs to another
	// request or to none.
	foreignResponse(x *exchange, crossed *CrossedError)
}

// Adopt keeps a connection that was opened to an upstream to see whether it is there.
func (c *UpstreamClient) Adopt(opened net.Conn, u *pool.Listing) { c.keep(c.newConn(opened, u)) }

// do sends a request with an id to an assigned upstream, over a new connection if newConn is
// set, and returns the response that belongs to it. The response's body must be
// closed. The error is an *UnsentError if nothing was sent, or a *CrossedError if the response
// belongs to another request. After any other error the request may have been received.
func (c *UpstreamClient) do(req *http.Request, want id.Request, u *pool.Listing, newConn bool, observer exchangeObserver) (*ownResponse, error) {
	ctx := req.Context()
	if err := ctx.Err(); err != nil {
		return nil, &UnsentError{err}
	}
	conn, kept, err := c.connection(ctx, want, u, newConn)
	if err != nil {
		return nil, &UnsentError{err}
	}
	x := &exchange{client: c, conn: conn, headMemory: c.responses.Share(memory.Holder(u.ID)), kept: kept, req: req, want: want, wrote: make(chan struct{})}
	observer.connected(x)
	var headRead atomic.Bool
	x.stopCancel = context.AfterFunc(ctx, func() {
		c.guard.Do("cancel_exchange", func() {
			if unsent := x.sealUnsent(); unsent || headRead.Load() || !errors.Is(context.Cause(ctx), context.Canceled) {
				conn.Close()
				return
			}
			time.AfterFunc(dueHeadWait, func() { conn.Close() })
		})
	})
	go x.writeRequest()
	resp, err := x.readResponse(func(crossed *CrossedError) { observer.foreignResponse(x, crossed) }) //nolint:bodyclose // the caller closes it
	headRead.Store(true)
	if err != nil {
		unsent := x.sealUnsent()
		x.end(closedBroken)
		if unsent {
			return nil, &UnsentError{err}
		}
		return nil, err
	}
	conn.idleTime = idleTime(resp.Header)
	if resp.Close {
		x.closeAfterwards(closedAsked)
	}
	own := &ownResponse{Response: resp, ResponseInfo: c.codec.ParseResponse(resp)}
	if own.NotRun || own.Misdirected {
		x.noteRefused()
	}
	resp.Body = &exchangeBody{Reader: resp.Body, exchange: x, resp: resp}
	return own, nil
}

// connection returns a connection for a request to the present start of an upstream, a kept or a
// new one.
func (c *UpstreamClient) connection(ctx context.Context, want id.Request, u *pool.Listing, newConn bool) (conn *upstreamConn, kept bool, err error) {
	start := startOf(u)
	if !newConn {
		if conn := c.take(start, want); conn != nil {
			return conn, true, nil
		}
	}
	opened, err := c.Connect(ctx, u.Address)
	if err != nil {
		return nil, false, err
	}
	return c.newConn(opened, u), false, nil
}

// newConn returns a connection that was opened to an upstream.
func (c *UpstreamClient) newConn(opened net.Conn, u *pool.Listing) *upstreamConn {
	conn := newUpstreamConn(opened, startOf(u), c.connections.ShareLeaving(memory.Holder(u.ID), idleUpstreamLeaves))
	conn.service = u.Service
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn.start]++
	if others := c.kept[conn.start]; len(others) > 0 {
		conn.idleTime = others[len(others)-1].idleTime // until a response on this one states it
	}
	return conn
}

// take takes a kept connection on which nothing has arrived since its last response and on which
// the request was not refused before; nil: there is none.
func (c *UpstreamClient) take(start upstreamStart, want id.Request) *upstreamConn {
	for {
		conn := c.takeAny(start, want)
		if conn == nil {
			return nil
		}
		_ = conn.SetReadDeadline(time.Now()) // ends the read; fails only if the connection is closed
		err := <-conn.idle
		if errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil {
			return conn
		}
		c.closeIdle(conn, err)
	}
}

// closeIdle closes a connection whose read while it was idle has ended with err; nil: the upstream
// has sent something that nobody asked for.
func (c *UpstreamClient) closeIdle(conn *upstreamConn, err error) {
	reason := closedByUpstream
	switch {
	case err == nil:
		reason = closedForeign
		c.countForeign(conn.start.upstream)
		_ = c.logger.Log("event", "foreign_response", "upstream", conn.start.upstream, "connection", "idle")
	case errors.Is(err, os.ErrDeadlineExceeded):
		reason = closedIdle
	}
	c.closeConn(conn, reason)
}

// countForeign counts a response of an upstream that belongs to no request, or to another one
// than was sent.
func (c *UpstreamClient) countForeign(u id.Upstream) {
	metrics.GetOrRegisterCounter("foreign_responses", c.registry).Inc(1)
	metrics.GetOrRegisterCounter("foreign_responses_from_"+string(u), c.registry).Inc(1)
}

// takeAny takes the kept connection that was used last and on which the request was not refused.
func (c *UpstreamClient) takeAny(start upstreamStart, want id.Request) *upstreamConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.kept[start]
	for i, conn := range slices.Backward(conns) {
		if !slices.Contains(conn.refused, xxhash.Sum64String(string(want))) {
			c.setKept(start, slices.Delete(conns, i, i+1))
			return conn
		}
	}
	return nil
}

// setKept sets the idle connections to a start. The caller holds c.mu.
func (c *UpstreamClient) setKept(start upstreamStart, conns []*upstreamConn) {
	if len(conns) == 0 {
		delete(c.kept, start)
		return
	}
	c.kept[start] = conns
}

// keep keeps an idle connection until something arrives on it or the idle timeout has passed.
func (c *UpstreamClient) keep(conn *upstreamConn) {
	if conn.in.Buffered() > 0 {
		c.closeIdle(conn, nil)
		return
	}
	if conn.SetReadDeadline(time.Now().Add(conn.idleTime)) != nil {
		c.closeConn(conn, closedBroken)
		return
	}
	conn.idle = make(chan error, 1)
	part := c.connectionPart(conn.service)
	c.mu.Lock()
	conns := c.kept[conn.start]
	var full closeReason
	switch {
	case !mayKeep(len(conns), c.open[conn.start], part):
		full = closedTooMany
	case conn.share.GrowTo(upstreamConnBytes) != nil:
		full = closedMemory
	default:
		c.kept[conn.start] = append(conns, conn)
	}
	if full != "" {
		c.noteClosed(conn, full)
	}
	c.mu.Unlock()
	if full != "" {
		conn.Close()
		return
	}
	go c.watchIdle(conn)
}

// watchIdle waits until something arrives on a kept connection, or it ends or is taken.
func (c *UpstreamClient) watchIdle(conn *upstreamConn) {
	err := c.guard.Try("watch_idle", func() error {
		_, err := conn.in.Peek(1)
		return err
	})
	conn.share.Release()
	dropped := c.drop(conn) // before a taker may use the connection, and keep it again
	conn.idle <- err
	if dropped {
		c.closeIdle(conn, err)
	}
}

// drop removes a kept connection. It reports false if it was taken for a request before.
func (c *UpstreamClient) drop(conn *upstreamConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.kept[conn.start]
	i := slices.Index(conns, conn)
	if i < 0 {
		return false
	}
	c.setKept(conn.start, slices.Delete(conns, i, i+1))
	return true
}
