package logbook

// This file defines Follower, which reads the log and folds what it reads.

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
)

const (
	readWait      = time.Second
	readTimeout   = time.Second // beyond the wait; a half-open connection is given up after this
	readRetryMax  = time.Second
	readRetryFrom = 50 * time.Millisecond
)

// Follower feeds a State from the platform's log.
type Follower struct {
	log    hosting.Log
	state  *State
	logger log.Logger
	counts metrics.Registry

	caughtUp atomic.Bool
	lastRead atomic.Int64 // Unix nanoseconds of the last successful read
}

// NewFollower returns a follower; Run starts it.
func NewFollower(l hosting.Log, s *State, logger log.Logger, counts metrics.Registry) *Follower {
	f := &Follower{log: l, state: s, logger: logger, counts: counts}
	s.Observe(f.observe)
	return f
}

// observe counts every folded record and reports those that cannot be used.
func (f *Follower) observe(o Outcome) {
	metrics.GetOrRegisterCounter("journal_folded_"+string(o.Result), f.counts).Inc(1)
	switch o.Result {
	case Corrupt, Invalid, Unknown:
		_ = f.logger.Log("event", "journal_record_unusable", "result", string(o.Result),
			"offset", uint64(o.Offset), "writer", o.Record.GetWriter(), "sequence", o.Record.GetSequence())
	}
}

// CaughtUp reports whether the state has once held everything the log held, or
// everything the peers held while the log did not answer.
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
	wait := readWait
	if !f.CaughtUp() {
		wait = 0 // the log may be empty
	}
	newest, err := foldPage(ctx, f.log, f.state, wait)
	if err != nil {
		return err
	}
	f.lastRead.Store(time.Now().UnixNano())
	if f.state.Offset() >= newest {
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
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		reason = "trimmed"
	}
	metrics.GetOrRegisterCounter("journal_read_failed_"+reason, f.counts).Inc(1)
	_ = f.logger.Log("event", "journal_read_failed", "reason", reason, "err", err)
	sleep(ctx, wait)
}

// Load folds the log to its present end.
func Load(ctx context.Context, l hosting.Log, s *State) error {
	for {
		newest, err := foldPage(ctx, l, s, 0)
		if err != nil {
			return err
		}
		if s.Offset() >= newest {
			return nil
		}
	}
}

// foldPage folds the next page, from a checkpoint if the next record is no longer
// kept. It returns the offset of the log's newest record.
func foldPage(ctx context.Context, l hosting.Log, s *State, wait time.Duration) (id.Offset, error) {
	page, err := readPage(ctx, l, s.Offset(), wait)
	var trimmed *hosting.TrimmedError
	if errors.As(err, &trimmed) {
		if err := restoreCheckpoint(ctx, l, s, trimmed); err != nil {
			return 0, err
		}
		page, err = readPage(ctx, l, s.Offset(), 0)
	}
	if err != nil {
		return 0, err
	}
	for _, r := range page.Records {
		s.Apply(r.Offset, r.Payload)
	}
	return page.NewestOffset, nil
}

func readPage(ctx context.Context, l hosting.Log, after id.Offset, wait time.Duration) (hosting.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	return l.Read(ctx, after, wait)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// HeardAll tells the follower that the peers have been asked: the highest offset
// that any of them named, or zero if none answered. A process that cannot read the
// log becomes caught up once it holds what its peers hold.
func (f *Follower) ObservePeers(most id.Offset) {
	if most > 0 && f.state.Offset() >= most {
		f.caughtUp.Store(true)
	}
}
