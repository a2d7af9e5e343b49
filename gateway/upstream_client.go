package gateway

// This file defines UpstreamClient, which sends requests to upstreams.

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"
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

// UpstreamClient sends requests to upstreams over connections that it keeps open, or over new
// ones. It does not follow redirects: callers receive them.
type UpstreamClient struct {
	dialer     *net.Dialer
	reusing    *http.Client
	connecting *http.Client // opens a connection for each request and closes it afterwards
}

// NewUpstreamClient returns a client without connections.
func NewUpstreamClient() *UpstreamClient {
	dialer := &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	client := func(keepAlive bool) *http.Client {
		return &http.Client{
			Transport: &http.Transport{
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return &countingConn{Conn: c}, nil
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
	return &UpstreamClient{dialer: dialer, reusing: client(true), connecting: client(false)}
}

// Connect opens a connection to an upstream.
func (c *UpstreamClient) Connect(ctx context.Context, address string) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp", address)
}

// Do sends a request, over a new connection if that is asked for. Its error is that of
// http.Client.Do.
func (c *UpstreamClient) Do(req *http.Request, newConnection bool) (*http.Response, error) {
	if newConnection {
		return c.connecting.Do(req)
	}
	return c.reusing.Do(req)
}
