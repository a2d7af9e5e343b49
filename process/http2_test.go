package process

// This file tests connections of HTTP/2, and those that only look like it.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/memory"
)

// TestHeadOfPRITakesMemory guards against heads that begin as HTTP/2 does being taken for it, so that they take no memory of
// the budget: one on a server without HTTP/2, and one that goes on otherwise.
func TestHeadOfPRITakesMemory(t *testing.T) {
	const fields, leastFieldBytes = 2000, 100
	for name, tc := range map[string]struct {
		multiplexes bool
		head        string
	}{
		"without HTTP/2":       {false, "PRI * HTTP/2.0\r\nHost: h\r\n"},
		"of HTTP/1.1":          {false, "PRI * HTTP/1.1\r\nHost: h\r\n"},
		"with HTTP/2":          {true, "PRI * HTTP/2.0\r\nHost: h\r\n"},
		"HTTP/1.1 with HTTP/2": {true, "PRI * HTTP/1.1\r\nHost: h\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, c := newSmallServerOf(t, 200, tc.multiplexes)
			dialCaller(t, address, tc.head+strings.Repeat("a:\r\n", fields))
			require.Eventually(t, func() bool { return c.memory.Used() > fields*leastFieldBytes }, 5*time.Second, time.Millisecond)
		})
	}
}

// TestArrivingStreamIsKept guards against a connection of HTTP/2 being closed for others while a request has arrived on it that
// was not read.
func TestArrivingStreamIsKept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	theirs, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer theirs.Close()
	ours, err := listener.Accept()
	require.NoError(t, err)
	defer ours.Close()
	c := &trackedConn{Conn: ours, served: true, multiplexed: true, idleSince: time.Now()}
	mayClose := func() bool { return closable(time.Now(), 0)(c.state()) }
	require.True(t, mayClose())
	_, err = io.WriteString(theirs, "frames")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !mayClose() }, 5*time.Second, time.Millisecond)
}

// TestReadinessKeepsConnection guards against a check of readiness over HTTP/2 giving up the connection, which peers use for
// their calls.
func TestReadinessKeepsConnection(t *testing.T) {
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewHTTPServer(WithoutBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) })))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	client := NewPeerClient()
	for range 5 {
		resp, err := client.Get("http://" + server.Listener.Addr().String())
		require.NoError(t, err)
		proto, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, "HTTP/2.0", string(proto))
	}
	require.Equal(t, int64(1), opened.Load())
}

// keptBody is a body that does not come.
type keptBody struct{ ctx context.Context }

// Read implements io.Reader.
func (b keptBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, io.EOF
}

// keepCalls begins calls with a number of short fields that keep their bodies back until the test ends, at a server with a
// budget for peers. It returns the connections of the server and the statuses of the calls that are answered.
func keepCalls(t *testing.T, calls, fields int, budget *memory.Budget) (*Conns, <-chan int) {
	budgets := memory.NewBudgets(0)
	budgets.Peers = budget
	bounds := NewCallBounds(budgets, CallTime, metrics.NewRegistry(), log.NewNopLogger())
	_, handler := bounds.Handler("/", http.NotFoundHandler())
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewHTTPServer(handler)
	conns := NewConns(ConnsConfig{IdleTimeout: noIdleTimeout, Memory: budgets.Connections, Registry: metrics.NewRegistry(), Logger: log.NewNopLogger()}, server.Config, server.Listener)
	server.Listener = conns
	server.Start()
	t.Cleanup(server.Close)
	header := make(http.Header)
	for i := range fields {
		header.Set(fmt.Sprintf("X%d", i), "a")
	}
	client := NewPeerClient()
	resp, err := client.Get("http://" + server.Listener.Addr().String()) // tells the client what a connection may carry
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	statuses := make(chan int, calls)
	for range calls {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+server.Listener.Addr().String(), keptBody{t.Context()})
		require.NoError(t, err)
		r.ContentLength, r.Header = int64(len("kept")), header
		go func() {
			resp, err := client.Do(r)
			if err != nil {
				return // the test has ended
			}
			statuses <- resp.StatusCode
			_ = resp.Body.Close()
		}()
	}
	return conns, statuses
}

// TestHeadsOfStreamsTakeMemory has more calls with many short fields keep their bodies back than there is memory for their
// heads: those beyond it are refused.
func TestHeadsOfStreamsTakeMemory(t *testing.T) {
	const calls, fields, leastFieldBytes = 100, 1000, 100
	budget := memory.NewBudget(calls / 2 * fields * requestFieldBytes)
	_, statuses := keepCalls(t, calls, fields, budget)
	require.Eventually(t, func() bool { return budget.Used() > calls/4*fields*leastFieldBytes }, CallTime/2, time.Millisecond)
	select {
	case status := <-statuses:
		require.Equal(t, http.StatusServiceUnavailable, status)
	case <-time.After(CallTime / 2):
		require.Fail(t, "all calls are kept")
	}
}

// TestStreamsOfConnection has a peer make more calls at once than a connection may carry.
func TestStreamsOfConnection(t *testing.T) {
	conns, _ := keepCalls(t, 2*maxStreams, 1, memory.NewBudgets(0).Peers)
	require.Eventually(t, func() bool { return conns.Len() == 2 }, CallTime/2, time.Millisecond)
}
