// Package guard keeps a panic of one goroutine from ending the process, and with it everything that
// is served.
//
// A panic in a request's own goroutine is recovered by net/http. Every other goroutine that decodes what
// others have written, or acts on it, runs under a Guard.
package guard

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// minRestartPause and maxRestartPause bound the pause before a task starts again, which doubles with each
	// panic. A record that causes one is likely to cause the next.
	minRestartPause = 100 * time.Millisecond
	maxRestartPause = 5 * time.Second
	// steadyPeriod is how long a task must have run for the pause to be the shortest again.
	steadyPeriod = 30 * time.Second
)

// PanicError is a panic that was recovered.
type PanicError struct {
	Task  string // which was running
	Value any
	Stack string
}

// Error implements error. The message has no stack.
func (e *PanicError) Error() string { return fmt.Sprintf("panic in %s: %v", e.Task, e.Value) }

// Catch runs f and returns its error, or a *PanicError.
func Catch(task string, f func() error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Task: task, Value: v, Stack: string(debug.Stack())}
		}
	}()
	return f()
}

// Guard runs goroutines and logs and counts their panics.
type Guard struct {
	logger   log.Logger
	registry metrics.Registry
}

// New returns a guard with a log and a registry.
func New(logger log.Logger, registry metrics.Registry) *Guard {
	return &Guard{logger: logger, registry: registry}
}

// Do runs f once.
func (g *Guard) Do(task string, f func()) {
	_ = g.Try(task, func() error { // a panic was logged
		f()
		return nil
	})
}

// Try runs f once and returns its error, or a *PanicError.
func (g *Guard) Try(task string, f func() error) error {
	err := Catch(task, f)
	var panicked *PanicError
	if errors.As(err, &panicked) && panicked.Task == task {
		metrics.GetOrRegisterCounter("task_panicked_"+task, g.registry).Inc(1)
		_ = g.logger.Log("event", "task_panicked", "task", task, "err", err, "stack", panicked.Stack)
	}
	return err
}

// Run runs a task until it returns or ctx is done. After a panic the task starts again.
func (g *Guard) Run(ctx context.Context, task string, f func(context.Context)) {
	for pause := minRestartPause; ; pause = min(2*pause, maxRestartPause) {
		started := time.Now()
		err := g.Try(task, func() error {
			f(ctx)
			return nil
		})
		if err == nil {
			return
		}
		if time.Since(started) >= steadyPeriod {
			pause = minRestartPause
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}
