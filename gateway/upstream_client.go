package gateway

// This file defines UpstreamClient, which sends requests to upstreams.

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
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
	// maxIdleConnsPerUpstream limits the idle connections kept open to one upstream.
	maxIdleConnsPerUpstream = 64
	// maxResponseHeaderBytes limits the status line and headers of an upstream's response.
	maxResponseHeaderBytes = 64 << 10
	// upstreamIdleTimeout closes idle connections before upstreams do, which close them
	// after some seconds.
	upstreamIdleTimeout = 4 * time.Second
	// clientRetention is how long the client of one start of an upstream is kept after its last
	// request.
	clientRetention = time.Minute
)

// countingConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// upstreamStart identifies one start of an upstream at an address. Connections to an earlier
// start are of no use to a later one, which does not know them.
type upstreamStart struct {
	address     string
	upstream    id.Upstream
	startUnixMS int64
}

// startClient is the client for one start of an upstream.
type startClient struct {
	*http.Client
	lastUsed time.Time
}

// UpstreamClient sends requests to upstreams over connections that it keeps open, or over new
// ones. It does not follow redirects: callers receive them. It is safe for concurrent use.
type UpstreamClient struct {
	dialer     *net.Dialer
	connecting *http.Client // opens a connection for each request and closes it afterwards

	mu       sync.Mutex
	reusing  map[upstreamStart]*startClient
	prunedAt time.Time
}

// NewUpstreamClient returns a client without connections.
func NewUpstreamClient() *UpstreamClient {
	c := &UpstreamClient{
		dialer: &net.Dialer{
			Timeout:         connectTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		},
		reusing: make(map[upstreamStart]*startClient),
	}
	c.connecting = c.newClient(false)
	return c
}

// newClient returns a client that keeps its connections open if keepAlive is set.
func (c *UpstreamClient) newClient(keepAlive bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := c.dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost:    maxIdleConnsPerUpstream,
			IdleConnTimeout:        upstreamIdleTimeout,
			DisableKeepAlives:      !keepAlive,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Connect opens a connection to an upstream.
func (c *UpstreamClient) Connect(ctx context.Context, address string) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp", address)
}

// Do sends a request to an assigned upstream, over a new connection if the assignment asks for
// one. Its error is that of http.Client.Do.
func (c *UpstreamClient) Do(now time.Time, req *http.Request, assignment *pool.Assignment) (*http.Response, error) {
	if assignment.NewConnection {
		return c.connecting.Do(req)
	}
	return c.clientFor(now, &assignment.Upstream).Do(req)
}

// clientFor returns the client for the present start of an upstream.
func (c *UpstreamClient) clientFor(now time.Time, l *pool.Listing) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.prunedAt) > clientRetention {
		c.prunedAt = now
		for start, old := range c.reusing {
			if now.Sub(old.lastUsed) > clientRetention {
				delete(c.reusing, start)
			}
		}
	}
	start := upstreamStart{l.Address, l.ID, l.StartUnixMS}
	client := c.reusing[start]
	if client == nil {
		client = &startClient{Client: c.newClient(true)}
		c.reusing[start] = client
	}
	client.lastUsed = now
	return client.Client
}
