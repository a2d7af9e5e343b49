package process

import (
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
)

// takenAddress returns an address that another listener has until release is called.
func takenAddress(t *testing.T) (address netip.AddrPort, release func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return netip.MustParseAddrPort(l.Addr().String()), func() { l.Close() }
}

// serveOK serves from l and returns a channel with the error that ends it.
func serveOK(l net.Listener) chan error {
	ended := make(chan error, 1)
	go func() { ended <- http.Serve(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})) }()
	return ended
}

func requireAnswers(t *testing.T, address netip.AddrPort) {
	t.Helper()
	require.Eventually(t, func() bool {
		rs, err := http.Get("http://" + address.String())
		if err != nil {
			return false
		}
		rs.Body.Close()
		return rs.StatusCode == http.StatusOK
	}, 10*time.Second, 5*time.Millisecond)
}

// TestListenerWaitsForPort starts a server on a port that is taken, and breaks its listener later. It must
// serve once the port is free, and again after the failure.
func TestListenerWaitsForPort(t *testing.T) {
	address, release := takenAddress(t)
	var logged bytes.Buffer
	l := NewListener(time.Now(), "callers", address, 0, log.NewLogfmtLogger(log.NewSyncWriter(&logged)))
	require.True(t, l.Blocked())
	ended := serveOK(l)
	release()
	requireAnswers(t, address)
	require.False(t, l.Blocked())

	http.DefaultClient.CloseIdleConnections()
	require.NoError(t, l.current().Close())
	requireAnswers(t, address)

	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
	require.NoError(t, l.Close())
	for _, line := range []string{"event=listen_failed server=callers", "event=listening", "event=server_failed"} {
		require.Contains(t, logged.String(), line)
	}
}

// TestListenerGivesUp waits for a port that stays taken. The error must name the server and its address.
func TestListenerGivesUp(t *testing.T) {
	address, release := takenAddress(t)
	defer release()
	err := <-serveOK(NewListener(time.Now(), "callers", address, 50*time.Millisecond, log.NewNopLogger()))
	var failure *ServerError
	require.ErrorAs(t, err, &failure)
	require.Equal(t, "callers", failure.Server)
	require.Equal(t, address.String(), failure.Address)
	require.ErrorContains(t, err, "address already in use")
}

// TestListenerCloseEndsWait closes a listener that waits for its port.
func TestListenerCloseEndsWait(t *testing.T) {
	address, release := takenAddress(t)
	defer release()
	l := NewListener(time.Now(), "callers", address, 0, log.NewNopLogger())
	ended := serveOK(l)
	require.NoError(t, l.Close())
	require.ErrorIs(t, <-ended, net.ErrClosed)
}
