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

// breakSecond serves one connection after another. It answers the first request
// of a connection and breaks the connection at the second, as a service does that
// fails while it runs a call. It returns its URL and counts the requests.
func breakSecond(t *testing.T) (url string, runs *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	runs = new(atomic.Int64)
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
					runs.Add(1)
					if i == 0 {
						_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), runs
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

// TestOnceClientSendsOnce sends two calls. A client that keeps connections sends
// the second again by itself, which shows that the test provokes the fault.
func TestOnceClientSendsOnce(t *testing.T) {
	url, runs := breakSecond(t)
	keeping := process.NewExternalClient()
	post(t, keeping, url)
	post(t, keeping, url)
	require.Equal(t, int64(3), runs.Load(), "the keeping client sends the second call twice")

	url, runs = breakSecond(t)
	once := process.NewNoResendClient()
	post(t, once, url)
	post(t, once, url)
	require.Equal(t, int64(2), runs.Load())
}

func TestClientsDoNotFollowRedirects(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	server.Config.Protocols = process.NewHTTPServer(nil).Protocols
	server.Start()
	defer server.Close()
	clients := []*http.Client{process.NewPeerClient(), process.NewExternalClient(), process.NewNoResendClient()}
	for _, c := range clients {
		post(t, c, server.URL)
	}
	require.Equal(t, int64(len(clients)), runs.Load())
}

// connKey finds the connection that a request came on.
type connKey struct{}

// TestPeerClientSendsOnce breaks the connection while a call runs.
func TestPeerClientSendsOnce(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if runs.Add(1) > 1 {
			r.Context().Value(connKey{}).(net.Conn).Close()
		}
	}))
	server.Config.Protocols = process.NewHTTPServer(nil).Protocols
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
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
	require.Equal(t, int64(3), runs.Load())
}

// silentListener hands out connections whose data is lost once silence is set.
type silentListener struct {
	net.Listener
	silence *atomic.Bool
}

func (l silentListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return silentConn{Conn: c, silence: l.silence}, err
}

type silentConn struct {
	net.Conn
	silence *atomic.Bool
}

func (c silentConn) Write(p []byte) (int, error) {
	if c.silence.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestPeerClientNoticesSilence lets a process go silent while it answers, as a VM
// does that is lost without closing its connections.
func TestPeerClientNoticesSilence(t *testing.T) {
	var silence atomic.Bool
	server := process.NewHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		silence.Store(true)
		<-r.Context().Done()
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(silentListener{Listener: l, silence: &silence}) }()
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
	require.NoError(t, ctx.Err(), "noticed by the client, not by the test's timeout")
}
