package gateway

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOwnShortageMarksUpstreamUnreachable guards against sound upstreams that are avoided because this process has no
// descriptors or ports left to connect to them.
func TestOwnShortageMarksUpstreamUnreachable(t *testing.T) {
	for errno, unreachable := range map[syscall.Errno]bool{
		syscall.EMFILE: false, syscall.ENFILE: false, syscall.EADDRNOTAVAIL: false,
		syscall.ECONNREFUSED: true, syscall.EHOSTUNREACH: true, syscall.ETIMEDOUT: true,
	} {
		err := &UnsentError{&net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}}
		result := new(forwarding).sendFailed(t.Context(), err)
		require.Equal(t, &notSent{err: err, unreachable: unreachable}, result, errno)
	}
}
