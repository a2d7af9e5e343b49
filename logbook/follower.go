package logbook

// This file defines Follower, which reads the log and applies its records to a State.

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
)

const (
	readWait         = time.Second // longest time that a read waits for new records
	readTimeout      = time.Second // in addition to readWait; bounds a read on a half-open connection
	readRetryMax     = time.Second
	readRetryInitial = 50 * time.Millisecond
)

// Follower applies the records of the platform's log to a State.
type Follower struct {
	log    hosting.Log
	state  *State
	logger log.Logger
	counts metrics.Registry

	caughtUp atomic.Bool
	lastRead clock.AtomicInstant // of the last successful read
}

// NewFollower returns a follower that reads l and updates s. Run starts it.
func NewFollower(l hosting.Log, s *State, logger log.Logger, counts metrics.Registry) *Follower {
	f := &Follower{log: l, state: s, logger: logger, counts: counts}
	s.Observe(f.countOutcome)
	return f
}

// countOutcome counts every outcome and logs the records that cannot be used.
func (f *Follower) countOutcome(o Outcome) {
	metrics.GetOrRegisterCounter("journal_folded_"+string(o.Result), f.counts).Inc(1)
	switch o.Result {
	case Corrupt, Invalid, Unknown:
		_ = f.logger.Log("event", "journal_record_unusable", "result", string(o.Result),
			"offset", uint64(o.Offset), "writer", o.Record.GetWriter(), "sequence", o.Record.GetSequence())
	}
}

// CaughtUp reports whether the state has at some time reached the end of the log, or,
// while the log was unavailable, the highest offset of the peers.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// LogAvailable reports whether the log was read successfully within the given time
// before now.
func (f *Follower) LogAvailable(now time.Time, within time.Duration) bool {
	last := f.lastRead.Load()
	return last != 0 && clock.InstantOf(now).Sub(last) <= within
}

// Run follows the log until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = readRetryInitial
	wait.MaxInterval = readRetryMax
	for ctx.Err() == nil {
		if err := f.read(ctx); err != nil {
			f.handleReadError(ctx, err, wait.NextBackOff())
			continue
		}
		wait.Reset()
	}
}

// read reads and applies one page of the log.
func (f *Follower) read(ctx context.Context) error {
	wait := readWait
	if !f.CaughtUp() {
		wait = 0 // a read that waits would delay start-up if the log has no more records
	}
	newest, err := applyPage(ctx, f.log, f.state, wait)
	if err != nil {
		return err
	}
	f.lastRead.Store(clock.InstantOf(time.Now()))
	if f.state.Offset() >= newest {
		f.caughtUp.Store(true)
	}
	return nil
}

// handleReadError logs and counts a failed read, then waits.
func (f *Follower) handleReadError(ctx context.Context, err error, wait time.Duration) {
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

// Load reads the log up to its current end and applies its records to s.
func Load(ctx context.Context, l hosting.Log, s *State) error {
	for {
		newest, err := applyPage(ctx, l, s, 0)
		if err != nil {
			return err
		}
		if s.Offset() >= newest {
			return nil
		}
	}
}

// applyPage reads and applies the next page. If the log no longer keeps the next
// record, it restores a checkpoint first. It returns the offset of the log's newest
// record.
func applyPage(ctx context.Context, l hosting.Log, s *State, wait time.Duration) (id.Offset, error) {
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

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// ObservePeers handles the result of one round of heartbeats to all peers. The
// argument is the highest offset that any of them returned, or zero if none
// responded. If the log cannot be read, the follower counts as caught up once its
// state has reached the offset of its peers.
func (f *Follower) ObservePeers(maxOffset id.Offset) {
	if maxOffset > 0 && f.state.Offset() >= maxOffset {
		f.caughtUp.Store(true)
	}
}
