package process_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/process"
)

// unfilteredListener is a listener whose socket takes no filter: the call is made on a descriptor that the kernel refuses.
type unfilteredListener struct {
	*net.TCPListener
	refusing *os.File
}

func (l unfilteredListener) SyscallConn() (syscall.RawConn, error) { return l.refusing.SyscallConn() }

// TestRefusedFilterFailsStop stops a listener on a system that refuses the filter.
func TestRefusedFilterFailsStop(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	null, err := os.Open("/dev/null")
	require.NoError(t, err)
	t.Cleanup(func() { _ = null.Close() })
	l := process.NewDrainingListener(unfilteredListener{inner.(*net.TCPListener), null})
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	require.NoError(t, l.Stop())
}

// slowListener is a listener whose deadlines are set late, as by a goroutine that waits for its turn.
type slowListener struct{ *net.TCPListener }

func (l slowListener) SetDeadline(t time.Time) error {
	time.Sleep(100 * time.Millisecond)
	return l.TCPListener.SetDeadline(t)
}

// TestStopFailsAsAcceptCloses stops a listener while its Accept is about to look whether it is stopping, so that Accept closes it
// before Stop can wake it.
func TestStopFailsAsAcceptCloses(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := process.NewDrainingListener(slowListener{inner.(*net.TCPListener)})
	accepted := make(chan struct{})
	go func() {
		if _, err := l.Accept(); err != nil {
			return
		}
		close(accepted)
		time.Sleep(20 * time.Millisecond)
		_, _ = l.Accept()
	}()
	conn, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	<-accepted
	require.NoError(t, l.Stop())
}
