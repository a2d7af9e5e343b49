package process_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/process"
)

// startBreakingServer starts a server that answers the first request of each connection
// and closes the connection on the second, like a service that crashes during a call. It
// returns the server's URL and a counter of requests.
func startBreakingServer(t *testing.T) (url string, requests *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for i := range 2 {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					requests.Add(1)
					if i == 0 {
						_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), requests
}

func post(t *testing.T, c *http.Client, url string) {
	rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, http.NoBody)
	require.NoError(t, err)
	rq.Header.Set("Idempotency-Key", "k")
	rs, err := c.Do(rq)
	if err == nil {
		rs.Body.Close()
	}
}

// TestNoResendClientSendsOnce sends two calls, the second of which fails on the server. A
// keep-alive client resends the second call, which shows that the test provokes the fault.
func TestNoResendClientSendsOnce(t *testing.T) {
	url, requests := startBreakingServer(t)
	keepAlive := process.NewExternalClient()
	post(t, keepAlive, url)
	post(t, keepAlive, url)
	require.Equal(t, int64(3), requests.Load(), "the keep-alive client did not send the second call twice")

	url, requests = startBreakingServer(t)
	noResend := process.NewNoResendClient()
	post(t, noResend, url)
	post(t, noResend, url)
	require.Equal(t, int64(2), requests.Load())
}

// TestClientsDoNotFollowRedirects sends a call with each client to a server that redirects
// it. A client that followed the redirect would send the call again, to an address that no
// rule allows.
func TestClientsDoNotFollowRedirects(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	server.Config.Protocols = process.NewHTTPServer(nil).Protocols
	server.Start()
	defer server.Close()
	clients := []*http.Client{process.NewPeerClient(), process.NewExternalClient(), process.NewNoResendClient()}
	for _, c := range clients {
		post(t, c, server.URL)
	}
	require.Equal(t, int64(len(clients)), requests.Load())
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// TestPeerClientSendsOnce closes the connection during two calls, one without and one with a
// body. The client must not resend them.
func TestPeerClientSendsOnce(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 1 {
			r.Context().Value(connContextKey{}).(net.Conn).Close()
		}
	}))
	server.Config.Protocols = process.NewHTTPServer(nil).Protocols
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connContextKey{}, c)
	}
	server.Start()
	defer server.Close()
	c := process.NewPeerClient()
	for _, body := range []string{"", "", "x"} {
		rq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(body))
		require.NoError(t, err)
		rq.Header.Set("Idempotency-Key", "k")
		if rs, err := c.Do(rq); err == nil {
			rs.Body.Close()
		}
	}
	require.Equal(t, int64(3), requests.Load())
}

// droppingListener accepts connections that drop all written data once drop is set.
type droppingListener struct {
	net.Listener
	drop *atomic.Bool
}

func (l droppingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return droppingConn{Conn: c, drop: l.drop}, err
}

type droppingConn struct {
	net.Conn
	drop *atomic.Bool
}

func (c droppingConn) Write(p []byte) (int, error) {
	if c.drop.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestPeerClientDetectsSilentPeer stops all traffic from a peer in the middle of a response,
// as when its VM is lost and the connection is never closed. The client must detect this by
// its pings.
func TestPeerClientDetectsSilentPeer(t *testing.T) {
	var drop atomic.Bool
	server := process.NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		drop.Store(true)
		<-r.Context().Done()
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(droppingListener{Listener: l, drop: &drop}) }()
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.Addr().String(), nil)
	require.NoError(t, err)
	rs, err := process.NewPeerClient().Do(rq)
	if err == nil {
		_, err = io.ReadAll(rs.Body)
		rs.Body.Close()
	}
	require.Error(t, err)
	require.NoError(t, ctx.Err(), "the test's timeout ended the call, not the client's ping")
}
