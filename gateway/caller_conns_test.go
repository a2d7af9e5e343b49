package gateway

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listenForCallers returns the tracked listener of a server that is not started.
func listenForCallers(t *testing.T) (*CallerConns, *http.Server) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	callers := (&Gateway{}).TrackCallers(server, listener)
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
	tracked := conn.(*callerConn)
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
	require.Eventually(t, func() bool { return arrived() == len(request) }, time.Second, time.Millisecond)
	tracked.closeIfIdleSince(time.Now())
	got := make([]byte, len(request))
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, request, string(got))
}
