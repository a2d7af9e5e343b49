package ragworttest_test

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/ragworttest"
)

// serveTCP serves connections until the test ends and returns its address.
func serveTCP(t *testing.T, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// TestProxyFaultsBesideResets adds and removes faults while connections are reset in the middle of what
// they carry: both must go on.
func TestProxyFaultsBesideResets(t *testing.T) {
	const rounds, callers = 300, 16
	address := serveTCP(t, func(c net.Conn) {
		_, _ = io.ReadFull(c, make([]byte, 64<<10))
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	})
	proxy := ragworttest.NewProxy(t, address)
	stopped := make(chan struct{})
	var tasks sync.WaitGroup
	for range callers {
		tasks.Go(func() {
			for {
				select {
				case <-stopped:
					return
				default:
				}
				c, err := net.Dial("tcp", proxy.Address())
				if err != nil {
					t.Errorf("connect: %v", err)
					return
				}
				for err == nil {
					_, err = c.Write(make([]byte, 32<<10))
				}
				c.Close()
			}
		})
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range rounds {
			proxy.AddLatency(time.Millisecond)
			proxy.BlockDirection("upstream")
			proxy.RemoveFaults()
		}
	}()
	select {
	case <-done:
	case <-time.After(ragworttest.WaitTimeout):
		t.Fatal("the faults of the proxy are stuck")
	}
	close(stopped)
	tasks.Wait()
}

// TestProxy checks each fault of a proxy, and that it forwards as before after it.
func TestProxy(t *testing.T) {
	const latency, blocked = 200 * time.Millisecond, 50 * time.Millisecond
	address := serveTCP(t, func(c net.Conn) {
		defer c.Close()
		_, _ = io.Copy(c, c) // until the caller closes
	})
	proxy := ragworttest.NewProxy(t, address)
	echo := func(c net.Conn) (after time.Duration, err error) {
		began := time.Now()
		if _, err := c.Write([]byte("x")); err != nil {
			return 0, err
		}
		_, err = c.Read(make([]byte, 1))
		return time.Since(began), err
	}
	connect := func() net.Conn {
		c, err := net.Dial("tcp", proxy.Address())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = echo(c)
		require.NoError(t, err)
		return c
	}
	kept := connect()
	proxy.AddLatency(latency)
	after, err := echo(kept)
	require.NoError(t, err)
	require.GreaterOrEqual(t, after, latency)
	proxy.RemoveFaults()
	_, err = echo(kept)
	require.NoError(t, err)

	for _, direction := range []string{"upstream", "downstream"} {
		c, idle := connect(), connect()
		proxy.BlockDirection(direction)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(blocked)))
		_, err = echo(c)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, c.SetReadDeadline(time.Time{}))
		proxy.RemoveFaults()
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF) // the data is lost, and so is the connection
		_, err = idle.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
	}

	c := connect()
	proxy.Disable()
	_, err = c.Read(make([]byte, 1))
	require.Error(t, err)
	_, err = net.Dial("tcp", proxy.Address())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	proxy.Enable()
	connect()
}
