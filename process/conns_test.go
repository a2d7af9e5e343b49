package process

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/memory"
)

func noIdleTimeout() time.Duration { return 0 }

// listenForCallers returns the tracked listener of a server that is not started.
func listenForCallers(t *testing.T) (*Conns, *http.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	callers := NewConns(ConnsConfig{IdleTimeout: noIdleTimeout, Memory: memory.NewBudgets(0).Connections}, server, listener)
	t.Cleanup(func() { _ = callers.Close() })
	return callers, server
}

// TestStopEndsWithExitStatus1 closes the listener of callers at each step of a planned stop: by the stop
// itself, by the server at the end, and by Serve as it returns. What is closed already is no error.
func TestStopEndsWithExitStatus1(t *testing.T) {
	callers, server := listenForCallers(t)
	require.NoError(t, callers.Close())
	require.ErrorIs(t, server.Serve(callers), net.ErrClosed)
	require.NoError(t, callers.Close())
	require.NoError(t, server.Close())
}

// TestArrivedRequestIsResetByIdleClose closes a connection as idle while its request has arrived and was not
// read, as on a VM whose processor others use. The request must be kept.
func TestArrivedRequestIsResetByIdleClose(t *testing.T) {
	callers, _ := listenForCallers(t)
	caller, err := net.Dial("tcp", callers.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	conn, err := callers.Accept()
	require.NoError(t, err)
	defer conn.Close()
	tracked := conn.(*trackedConn)
	request := "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	_, err = io.WriteString(caller, request)
	require.NoError(t, err)
	raw, err := tracked.Conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	arrived := func() (n int) {
		_ = raw.Control(func(fd uintptr) {
			n, _, _ = syscall.Recvfrom(int(fd), make([]byte, len(request)), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		})
		return n
	}
	require.Eventually(t, func() bool { return arrived() == len(request) }, 20*time.Second, time.Millisecond)
	tracked.closeIfIdleSince(time.Now())
	got := make([]byte, len(request))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, request, string(got))
}

// TestRefusedHeadIsServed completes heads while they are refused. Each request is either served or refused; one that is
// refused must not reach its handler, as its answer says that it was not run.
func TestRefusedHeadIsServed(t *testing.T) {
	const (
		tries   = 100
		refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	)
	callers, server := listenForCallers(t)
	var served atomic.Int64
	server.Handler = abortRefused(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	go func() { _ = server.Serve(callers) }()
	t.Cleanup(func() { _ = server.Close() })
	for i := range tries {
		before := served.Load()
		conn, err := net.Dial("tcp", callers.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: d")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return callers.States().Reading == 1 }, 20*time.Second, time.Millisecond)
		refused := make(chan int, 1)
		rest := func() { _, _ = io.WriteString(conn, "esk.example\r\n\r\n") }
		refuse := func() { refused <- callers.RefuseHeads(time.Now(), []byte(refusal)) }
		if i == 0 {
			refuse()
		} else {
			go refuse()
		}
		rest()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		if <-refused == 1 {
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, before, served.Load())
		} else {
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, before+1, served.Load())
		}
		require.NoError(t, conn.Close())
		require.Eventually(t, func() bool { return callers.Len() == 0 }, 20*time.Second, time.Millisecond)
	}
	require.Less(t, served.Load(), int64(tries))
}

// TestAcceptedConnectionIsForgotten guards against a stop that ends while a connection was accepted and the server
// has not seen it yet.
func TestAcceptedConnectionIsForgotten(t *testing.T) {
	callers, _ := listenForCallers(t)
	caller, err := net.Dial("tcp", callers.Addr().String())
	require.NoError(t, err)
	defer caller.Close()
	accepted := make(chan net.Conn, 1)
	stopped := make(chan error, 1)
	go func() {
		time.Sleep(10 * time.Millisecond) // the kernel holds the connection while the listener is about to close
		conn, _ := callers.Accept()
		accepted <- conn
		_, err := callers.Accept()
		stopped <- err
	}()
	require.NoError(t, callers.Stop())
	require.Equal(t, 1, callers.Len())
	conn := <-accepted
	require.NotNil(t, conn)
	require.ErrorIs(t, <-stopped, net.ErrClosed)
	require.NoError(t, conn.Close())
}
