package process

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopResetsHeldConnections stops a listener while the kernel holds connections for it, with their requests, as on a
// VM whose processor others use. Each must be accepted, and nobody may connect afterwards.
func TestStopResetsHeldConnections(t *testing.T) {
	const held = 50
	inner, err := ListenTCP("127.0.0.1:0")
	require.NoError(t, err)
	l := NewDrainingListener(inner)
	address := l.Addr().String()
	for range held {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		_, err = io.WriteString(conn, "request")
		require.NoError(t, err)
	}
	accepted := make(chan int)
	go func() {
		n := 0
		for {
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				accepted <- n
				return
			}
			if err != nil {
				continue
			}
			request := make([]byte, len("request"))
			if _, err = io.ReadFull(conn, request); err == nil {
				n++
			}
			_ = conn.Close()
			time.Sleep(time.Millisecond)
		}
	}()
	require.NoError(t, l.Stop())
	require.Equal(t, held, <-accepted)
	_, err = net.DialTimeout("tcp", address, time.Second)
	require.Error(t, err)
	require.NoError(t, l.Close())
}
