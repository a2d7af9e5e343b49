// Package signals decides what signals do to a program that serves callers, from its start until the
// kernel ends it. A program only has to import it.
package signals

import (
	"os/signal"
	"syscall"
)

func init() {
	// Otherwise Go ends a program that writes to standard output or standard error after their
	// reader has gone. A write now fails with EPIPE.
	signal.Ignore(syscall.SIGPIPE)
}
