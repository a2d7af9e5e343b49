package guard_test

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/guard"
)

// TestTaskStartsAgain runs a task that panics twice and then returns. Each panic must be logged with its
// value and its stack, and counted.
func TestTaskStartsAgain(t *testing.T) {
	var logged bytes.Buffer
	registry := metrics.NewRegistry()
	runs := 0
	guard.New(log.NewLogfmtLogger(&logged), registry).Run(t.Context(), "follower", func(context.Context) {
		if runs++; runs <= 2 {
			panic("broken record")
		}
	})
	require.Equal(t, 3, runs)
	require.Equal(t, 2, bytes.Count(logged.Bytes(), []byte("event=task_panicked task=follower err=\"panic in follower: broken record\"")))
	require.Contains(t, logged.String(), "guard_test.go")
	require.Equal(t, int64(2), metrics.GetOrRegisterCounter("task_panicked_follower", registry).Count())
}

// TestStoppedTaskDoesNotStartAgain stops a task before its panic.
func TestStoppedTaskDoesNotStartAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	runs := 0
	guard.New(log.NewNopLogger(), metrics.NewRegistry()).Run(ctx, "follower", func(context.Context) {
		runs++
		cancel()
		panic("broken record")
	})
	require.Equal(t, 1, runs)
}

// TestCatch returns errors as they are and panics as errors.
func TestCatch(t *testing.T) {
	failure := errors.New("failure")
	require.ErrorIs(t, guard.Catch("f", func() error { return failure }), failure)
	require.NoError(t, guard.Catch("f", func() error { return nil }))
	var panicked *guard.PanicError
	require.ErrorAs(t, guard.Catch("f", func() error { panic("broken") }), &panicked)
	require.Equal(t, "broken", panicked.Value)
}
