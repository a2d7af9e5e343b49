package logbook

// This file defines Writer, which appends this process's records to the log.
//
// A writer has at most one append in flight, and starts at most one per
// appendInterval. Records that arrive in the meantime form the next batch, so the
// number of appends stays low even with many records. A failed append is retried
// with the same sequences; State drops repeated records. A record whose caller has
// timed out can still be accepted later, but not after a later record of the same
// writer was applied, since its sequence is then too low.

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	appendInterval     = 50 * time.Millisecond
	appendRetryInitial = 20 * time.Millisecond
	appendRetryMax     = 500 * time.Millisecond
	maxBatchRecords    = 1000
)

// UncertainError means that it is unknown whether a record was appended.
type UncertainError struct {
	Sequence uint64
	Cause    error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("record with sequence %d may or may not have been appended: %v", e.Sequence, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// NotSentError means that a record was never sent to the log.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("record was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// pending is a record whose outcome is not known yet.
type pending struct {
	record *ragwortv1.Record
	ctx    context.Context
	done   chan Outcome
	sent   bool
}

// Writer appends records to the log in batches. It is safe for concurrent use.
type Writer struct {
	log    hosting.Log
	state  *State
	name   string
	logger log.Logger
	counts metrics.Registry
	wake   chan struct{}

	mu       sync.Mutex
	sequence uint64
	waiting  []*pending // in the order of their sequences
}

// NewWriter returns a writer that appends to l and gets the outcomes of its records
// from s. The name must never have been used by another process or an earlier run of
// this one. Run starts the writer.
func NewWriter(l hosting.Log, s *State, name string, logger log.Logger, counts metrics.Registry) *Writer {
	w := &Writer{log: l, state: s, name: name, logger: logger, counts: counts, wake: make(chan struct{}, 1)}
	s.Observe(w.handleOutcome)
	return w
}

// Name returns the writer's name.
func (w *Writer) Name() string { return w.name }

// Append sets the record's writer, sequence and time, appends it, and returns the
// outcome of applying it. The result Restored means that a snapshot was restored that
// includes the record; whether the record was accepted can only be seen in the
// state's tables. The error is a *NotSentError or an *UncertainError.
func (w *Writer) Append(ctx context.Context, now time.Time, r *ragwortv1.Record) (Outcome, error) {
	p := &pending{record: r, ctx: ctx, done: make(chan Outcome, 1)}
	w.mu.Lock()
	w.sequence++
	r.Writer = w.name
	r.Sequence = w.sequence
	r.WrittenUnixMs = now.UnixMilli()
	w.waiting = append(w.waiting, p)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	select {
	case o := <-p.done:
		return o, nil
	case <-ctx.Done():
		return w.abandon(p)
	}
}

// abandon ends the wait for a record whose context is done.
func (w *Writer) abandon(p *pending) (Outcome, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case o := <-p.done:
		return o, nil
	default:
	}
	for i, q := range w.waiting {
		if q == p {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			break
		}
	}
	if !p.sent {
		return Outcome{}, &NotSentError{Cause: p.ctx.Err()}
	}
	return Outcome{}, &UncertainError{Sequence: p.record.GetSequence(), Cause: p.ctx.Err()}
}

// handleOutcome passes the outcome of an applied record to the Append call that waits
// for it.
func (w *Writer) handleOutcome(o Outcome) {
	if o.Result == Restored {
		// Restore holds the state's lock while it calls observers, so reading
		// writers is safe here.
		w.completeRestored(o.Offset, w.state.writers[w.name].GetSequence())
		return
	}
	if o.Record.GetWriter() != w.name || o.Result == Repeated {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, p := range w.waiting {
		if p.record.GetSequence() == o.Record.GetSequence() {
			p.done <- o
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return
		}
	}
}

// completeRestored ends the wait for records that a restored snapshot includes, which
// are those up to the given sequence.
func (w *Writer) completeRestored(offset id.Offset, sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var remaining []*pending
	for _, p := range w.waiting {
		if p.record.GetSequence() > sequence {
			remaining = append(remaining, p)
			continue
		}
		p.done <- Outcome{Offset: offset, Record: p.record, Result: Restored}
	}
	w.waiting = remaining
}

// Run appends waiting records until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	pace := time.NewTicker(appendInterval)
	defer pace.Stop()
	for ctx.Err() == nil {
		payload, last := w.nextBatch()
		if payload == nil {
			select {
			case <-ctx.Done():
			case <-w.wake:
			}
			continue
		}
		pace.Reset(appendInterval)
		w.appendBatch(ctx, payload, last)
		select {
		case <-ctx.Done():
		case <-pace.C:
		}
	}
}

// nextBatch encodes the records that have not been sent yet, at most maxBatchRecords, and
// returns the sequence of the last one.
func (w *Writer) nextBatch() (payload []byte, last uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b ragwortv1.Batch
	for _, p := range w.waiting {
		if p.sent || len(b.Records) == maxBatchRecords {
			continue
		}
		p.sent = true
		b.Records = append(b.Records, p.record)
		last = p.record.GetSequence()
	}
	if len(b.Records) == 0 {
		return nil, 0
	}
	payload, err := proto.Marshal(&b)
	if err != nil {
		panic("logbook: encoding a batch: " + err.Error())
	}
	return payload, last
}

// appendBatch appends one batch, and retries until it succeeds or no caller waits for
// the batch's records any more.
func (w *Writer) appendBatch(ctx context.Context, payload []byte, last uint64) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = appendRetryInitial
	wait.MaxInterval = appendRetryMax
	for ctx.Err() == nil && w.hasWaiter(last) {
		_, err := w.log.Append(ctx, payload)
		if err == nil {
			metrics.GetOrRegisterCounter("journal_appended", w.counts).Inc(1)
			return
		}
		metrics.GetOrRegisterCounter("journal_append_retried", w.counts).Inc(1)
		_ = w.logger.Log("event", "journal_append_failed", "err", err)
		sleep(ctx, wait.NextBackOff())
	}
}

// hasWaiter reports whether a caller still waits for a record up to sequence last.
func (w *Writer) hasWaiter(last uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting) > 0 && w.waiting[0].record.GetSequence() <= last
}
