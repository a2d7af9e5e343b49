package process_test

import (
	"net"
	"os"
	"syscall"
	"testing"

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
	defer null.Close()
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
