// Package signals receives the signals of a program that serves callers, from its start until the
// kernel ends it.
//
// A signal has its default action, which ends the program, until it is registered. This package is therefore
// initialised early: Go initialises packages in the order of their import paths, each as soon as all that it
// imports are, and this one imports nothing of the router. What is left is described in
// docs/design/process.md. Nothing is ever unregistered: the default action would be back for the rest of the
// program.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Each channel keeps one signal, so that one that comes before the program is ready for it is not lost.
var (
	terminations = make(chan os.Signal, 1)
	hangups      = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, syscall.SIGINT)
	// Otherwise Go ends a program that writes to standard output or standard error after their
	// reader has gone. A write now fails with EPIPE.
	signal.Ignore(syscall.SIGPIPE)
}

// Terminations returns the channel of SIGTERM and SIGINT.
func Terminations() <-chan os.Signal { return terminations }

// Hangups returns the channel of SIGHUP. A program that does not read it ignores the signal.
func Hangups() <-chan os.Signal { return hangups }

// Context returns a context that is done once a signal came from Terminations. It takes that signal from
// the channel.
func Context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-terminations
		cancel()
	}()
	return ctx
}
