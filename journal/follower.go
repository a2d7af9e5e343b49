package journal

// This file defines Follower, which reads the log and folds what it reads.

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/platform"
)

const (
	readWait      = time.Second
	readRetryMax  = time.Second
	readRetryFrom = 50 * time.Millisecond
)

// Follower feeds a State from the platform's log.
type Follower struct {
	log    platform.Log
	state  *State
	logger log.Logger
	counts metrics.Registry

	caughtUp atomic.Bool
	lastRead atomic.Int64 // Unix nanoseconds of the last successful read
}

// NewFollower returns a follower; Run starts it.
func NewFollower(l platform.Log, s *State, logger log.Logger, counts metrics.Registry) *Follower {
	return &Follower{log: l, state: s, logger: logger, counts: counts}
}

// CaughtUp reports whether the state has once held everything the log held.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// LogAvailable reports whether the log has been read within the given time.
func (f *Follower) LogAvailable(now time.Time, within time.Duration) bool {
	return now.UnixNano()-f.lastRead.Load() <= int64(within)
}

// Run follows the log until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = readRetryFrom
	wait.MaxInterval = readRetryMax
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.failed(ctx, err, wait.NextBackOff())
			continue
		}
		wait.Reset()
	}
}

// read folds one page.
func (f *Follower) read(ctx context.Context) error {
	page, err := f.log.Read(ctx, f.state.Offset(), readWait)
	if err != nil {
		return err
	}
	f.lastRead.Store(time.Now().UnixNano())
	for _, r := range page.Records {
		f.state.Fold(r.Offset, r.Payload)
	}
	if f.state.Offset() >= page.Newest {
		f.caughtUp.Store(true)
	}
	return nil
}

// failed logs and counts a failed read, then waits.
func (f *Follower) failed(ctx context.Context, err error, wait time.Duration) {
	if ctx.Err() != nil {
		return
	}
	reason := "unavailable"
	var trimmed *platform.TrimmedError
	if errors.As(err, &trimmed) {
		reason = "trimmed"
	}
	metrics.GetOrRegisterCounter("journal_read_failed_"+reason, f.counts).Inc(1)
	_ = f.logger.Log("event", "journal_read_failed", "reason", reason, "err", err)
	sleep(ctx, wait)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
