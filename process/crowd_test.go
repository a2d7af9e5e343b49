package process_test

// This file tests a server that crowds of connections come to, with HTTP/2 of peers beside them.

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/process"
)

// serveFew serves with few descriptors until the test ends, and returns the address.
func serveFew(t *testing.T, conns int, handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- process.Serve(ctx, process.Server{
			Listener: l, Handler: handler, Ready: func() error { return nil }, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
			Memory: memory.NewBudgets(0), MaxDescriptors: process.OtherDescriptors + 2*conns, DrainTimeout: time.Second,
		})
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			require.ErrorIs(t, err, context.DeadlineExceeded) // connections of the test are open still
		}
	})
	return l.Addr().String()
}

// dialRaw opens a connection and writes to it.
func dialRaw(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// TestUnreadBodyIsNotAwaited sends requests whose bodies never end, and that nothing reads: each is answered.
func TestUnreadBodyIsNotAwaited(t *testing.T) {
	address := serveFew(t, 20, http.NotFoundHandler())
	for path, want := range map[string]int{"/readyz": http.StatusOK, "/metrics": http.StatusOK, "/nowhere": http.StatusNotFound} {
		t.Run(path[1:], func(t *testing.T) {
			method := "GET"
			conn := dialRaw(t, address, method+" "+path+" HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nfirst")
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
			rs, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer rs.Body.Close()
			require.Equal(t, want, rs.StatusCode)
		})
	}
}

// TestPeersAreServedBesideCrowd has a peer keep its connection of HTTP/2 while more silent connections come than there are
// descriptors for: the connection of the peer stays, also between its requests.
func TestPeersAreServedBesideCrowd(t *testing.T) {
	remote := make(chan string, 1)
	address := serveFew(t, 8, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { remote <- r.RemoteAddr }))
	client := process.NewHeartbeatClient()
	call := func() string {
		rs, err := client.Get("http://" + address + "/x")
		require.NoError(t, err)
		require.NoError(t, rs.Body.Close())
		require.Equal(t, 2, rs.ProtoMajor)
		return <-remote
	}
	first := call()
	for range 30 {
		dialRaw(t, address, "")
	}
	time.Sleep(1200 * time.Millisecond) // the silent ones have kept the server waiting for long enough
	for range 30 {
		dialRaw(t, address, "")
	}
	require.Equal(t, first, call())
}
