//go:build cgo

package ragworttest_test

import (
	"syscall"

	"github.com/ragwortpass/ragwortpass/ragworttest"
)

// survivesHangup reports whether a process that has just started can be seen to survive a SIGHUP: a program
// that is linked with cgo ignores it before Go's runtime starts.
func survivesHangup(p *ragworttest.Process) bool {
	return p.HandlesSignal(syscall.SIGHUP)
}
