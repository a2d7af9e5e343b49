//go:build !cgo

package ragworttest_test

import (
	"syscall"

	"github.com/ragwortpass/ragwortpass/ragworttest"
)

// survivesHangup reports whether a process that has just started can be seen to survive a SIGHUP. Go's runtime
// handles it at first in order to end the program; SIGPIPE is what package signals registers last.
func survivesHangup(p *ragworttest.Process) bool {
	ignored, _ := p.SignalAction(syscall.SIGPIPE)
	return ignored
}
