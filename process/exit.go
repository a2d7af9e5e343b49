package process

// This file defines how a program ends: the causes, the exit code of each, and the line that says so.

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log"

	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/setting"
)

// ExitPanic is the exit code after a panic that ended the program in order. It is EX_SOFTWARE of
// sysexits(3), as Go's own exit code after a panic, 2, also stands for invalid settings.
const ExitPanic = 70

// ServerError says which of a program's servers has failed for good.
type ServerError struct {
	Server  string
	Address string
	Err     error
}

// Error implements error.
func (e *ServerError) Error() string {
	return fmt.Sprintf("server %s on %s: %v", e.Server, e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *ServerError) Unwrap() error { return e.Err }

// SettingsError says which settings file cannot be used.
type SettingsError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *SettingsError) Error() string { return fmt.Sprintf("settings file %s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *SettingsError) Unwrap() error { return e.Err }

// Main runs a program that serves until a signal, logs why it ended, and returns its exit code.
func Main(logger log.Logger, run func() error) (code int) {
	err := guard.Catch("main", run)
	cause, code := exitCause(err)
	exit := log.With(logger, "event", "exit", "cause", cause, "code", code, "uptime", Uptime().Round(time.Millisecond))
	if peak, ok := peakMemory(); ok {
		exit = log.With(exit, "peak_memory_kb", peak>>10)
	}
	var panicked *guard.PanicError
	if errors.As(err, &panicked) {
		exit = log.With(exit, "task", panicked.Task, "stack", panicked.Stack)
	}
	_ = exit.Log("err", err)
	return code
}

// exitCause returns the cause as the exit line names it, and the exit code.
func exitCause(err error) (cause string, code int) {
	var server *ServerError
	var settings *SettingsError
	var panicked *guard.PanicError
	switch {
	case err == nil:
		return "signal", 0
	case errors.As(err, &panicked):
		return "panic", ExitPanic
	case errors.As(err, &settings):
		return "settings", setting.ExitBadSettings
	case errors.As(err, &server):
		return "server", setting.ExitFailure
	}
	return "failure", setting.ExitCode(err)
}
