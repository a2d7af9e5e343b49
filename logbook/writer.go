package logbook

// This file defines Writer, which appends this process's records.
//
// A writer has one append in flight, and starts at most one every appendEvery.
// Records that arrive meanwhile form the next batch, so the number of appends stays
// low however many records there are. A
// failed append is repeated with the same sequences; the fold drops repeats. A
// record that was given up on can still land, but not after a later record of
// the same writer has been folded, since its sequence is then too low.

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
	appendEvery     = 50 * time.Millisecond
	appendRetryFrom = 20 * time.Millisecond
	appendRetryMax  = 500 * time.Millisecond
	maxBatchRecords = 1000
)

// UncertainError says that a record may or may not have been appended.
type UncertainError struct {
	Sequence uint64
	Cause    error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("record %d may have been appended: %v", e.Sequence, e.Cause)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// NotSentError says that a record was never sent to the log.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("record was not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// pending is a record on its way to the log.
type pending struct {
	record *ragwortv1.Record
	ctx    context.Context
	done   chan Outcome
	sent   bool
}

// Writer appends records to the log.
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

// NewWriter returns a writer whose name no other process, nor an earlier run of
// this one, has used. It learns the outcome of its records from s. Run starts it.
func NewWriter(l hosting.Log, s *State, name string, logger log.Logger, counts metrics.Registry) *Writer {
	w := &Writer{log: l, state: s, name: name, logger: logger, counts: counts, wake: make(chan struct{}, 1)}
	s.Observe(w.observe)
	return w
}

// Name returns the writer's name.
func (w *Writer) Name() string { return w.name }

// Append appends a record, whose writer and sequence it sets, and returns what
// the fold made of it. The result Restored says that the record was folded, but by
// whom is only to be seen in the state's tables. Its error is a *NotSentError or an
// *UncertainError.
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

// abandon gives up on a record.
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

// observe hands the outcome of a folded record to whoever waits for it.
func (w *Writer) observe(o Outcome) {
	if o.Result == Restored {
		// Restore holds the state's lock while it calls observers.
		w.settleUpTo(o.Offset, w.state.writers[w.name].GetSequence())
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

// settleUpTo ends the wait for records that a restored state has folded.
func (w *Writer) settleUpTo(offset id.Offset, sequence uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rest []*pending
	for _, p := range w.waiting {
		if p.record.GetSequence() > sequence {
			rest = append(rest, p)
			continue
		}
		p.done <- Outcome{Offset: offset, Record: p.record, Result: Restored}
	}
	w.waiting = rest
}

// Run appends what is waiting until ctx is done.
func (w *Writer) Run(ctx context.Context) {
	pace := time.NewTicker(appendEvery)
	defer pace.Stop()
	for ctx.Err() == nil {
		payload, last := w.batch()
		if payload == nil {
			select {
			case <-ctx.Done():
			case <-w.wake:
			}
			continue
		}
		pace.Reset(appendEvery)
		w.send(ctx, payload, last)
		select {
		case <-ctx.Done():
		case <-pace.C:
		}
	}
}

// batch encodes the records that have not been appended yet.
func (w *Writer) batch() (payload []byte, last uint64) {
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
		panic("records always encode")
	}
	return payload, last
}

// send appends one batch, repeating it until it is known to be on the log or
// nobody waits for its records any more.
func (w *Writer) send(ctx context.Context, payload []byte, last uint64) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = appendRetryFrom
	wait.MaxInterval = appendRetryMax
	for ctx.Err() == nil && w.awaited(last) {
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

// awaited reports whether a record up to sequence last is still waited for.
func (w *Writer) awaited(last uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting) > 0 && w.waiting[0].record.GetSequence() <= last
}
