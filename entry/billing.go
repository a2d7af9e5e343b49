package entry

// This file defines billing, which puts what was metered on the usage stream of
// the log.
//
// A record carries its writer and sequence, so whoever appends it, and however
// often, it is folded once. An append whose answer came is on the log; one whose
// answer did not come is repeated. So an entry need not read the stream back, which
// at full size is far more than it may read. A writer's records must reach the log
// in order, or the earlier one counts as a repeat: one append is in flight at a
// time, and it begins with the oldest record.

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	appendRetryFrom = 50 * time.Millisecond
	appendRetryMax  = time.Second
	maxBatch        = 1000 // records in one append
	maxHeld         = 20_000

	// lastFlushTimeout bounds the last flush, so that time is left to hand over
	// what the log did not take.
	lastFlushTimeout = 5 * time.Second
)

// billing has one flusher at a time.
type billing struct {
	e       *Entry
	log     hosting.Log
	writer  string
	meter   usage.Meter
	stop    chan struct{} // closed when run is to end
	stopped chan struct{} // closed when it has

	sequence uint64 // of the last own record; only the flusher uses it

	mu    sync.Mutex
	queue []*ragwortv1.Record // not known to be on the log, in the order of each writer's sequences
}

func newBilling(e *Entry, l hosting.Log) *billing {
	return &billing{
		e: e, log: l, writer: fmt.Sprintf("%s-usage-%d", e.cfg.Node, e.cfg.Incarnation),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// run flushes at every interval until ctx is done or finish takes over.
func (b *billing) run(ctx context.Context) {
	defer close(b.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-b.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	tick := time.NewTicker(b.e.cfg.UsageFlush)
	defer tick.Stop()
	pending := metrics.GetOrRegisterGauge("usage_pending_output_tokens", b.e.deps.Metrics)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			pending.Update(int64(b.meter.Pending().Add(figures(b.all())).OutputTokens))
			b.flush(ctx)
		}
	}
}

// flush appends everything counted, however long the log is out; meanwhile the
// meter goes on counting for the next flush.
func (b *billing) flush(ctx context.Context) {
	b.take(time.Now())
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = appendRetryFrom, appendRetryMax
	for ctx.Err() == nil {
		records := b.all()
		if len(records) == 0 {
			return
		}
		records = records[:min(len(records), maxBatch)]
		if err := b.append(ctx, records); err != nil {
			b.e.count("usage_append_failed")
			pause(ctx, wait.NextBackOff())
			continue
		}
		b.e.count("usage_flushed")
		b.drop(records)
		wait.Reset()
	}
}

// take moves what was counted into records of their own sequences.
func (b *billing) take(now time.Time) {
	taken := b.meter.Take()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range slices.Sorted(maps.Keys(taken)) {
		b.sequence++
		b.queue = append(b.queue, &ragwortv1.Record{
			Writer: b.writer, Sequence: b.sequence, WrittenUnixMs: now.UnixMilli(),
			Body: &ragwortv1.Record_UsageCounted{UsageCounted: usage.CountedRecord(w, taken[w])},
		})
	}
}

func (b *billing) append(ctx context.Context, records []*ragwortv1.Record) error {
	payload, err := proto.Marshal(&ragwortv1.Batch{Records: records})
	if err != nil {
		panic("records always encode")
	}
	_, err = b.log.Append(ctx, payload)
	return err
}

// all returns the records that are not known to be on the log.
func (b *billing) all() []*ragwortv1.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.queue)
}

func (b *billing) drop(records []*ragwortv1.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = slices.DeleteFunc(b.queue, func(r *ragwortv1.Record) bool { return slices.Contains(records, r) })
}

// hold adds the records of an entry that had to leave; it reports false if there
// are too many.
func (b *billing) hold(records []*ragwortv1.Record) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue)+len(records) > maxHeld {
		return false
	}
	b.queue = append(b.queue, records...)
	slices.SortStableFunc(b.queue, byWriter)
	b.queue = slices.CompactFunc(b.queue, func(a, b *ragwortv1.Record) bool { return byWriter(a, b) == 0 })
	return true
}

func byWriter(a, b *ragwortv1.Record) int {
	return cmp.Or(cmp.Compare(a.GetWriter(), b.GetWriter()), cmp.Compare(a.GetSequence(), b.GetSequence()))
}

// finish flushes for the last time. What the log does not take in time is handed to
// other entries, with what this entry holds for others.
func (b *billing) finish(ctx context.Context) {
	close(b.stop)
	<-b.stopped
	fctx, cancel := context.WithTimeout(ctx, lastFlushTimeout)
	defer cancel()
	b.flush(fctx)
	b.take(time.Now())
	records := b.all()
	if len(records) == 0 {
		return
	}
	taken := b.e.handOver(ctx, records)
	_ = b.e.deps.Logger.Log("event", "usage_handed_over", "records", len(records), "entries", taken)
	if taken > 0 {
		b.e.count("usage_handed_over")
		return
	}
	lost := figures(records)
	metrics.GetOrRegisterCounter("usage_unflushed_output_tokens", b.e.deps.Metrics).Inc(int64(lost.OutputTokens))
	_ = b.e.deps.Logger.Log("event", "usage_unflushed", "requests", strconv.FormatUint(lost.Requests, 10),
		"prompt_tokens", lost.PromptTokens, "output_tokens", lost.OutputTokens)
}

// figures returns the sum of records.
func figures(records []*ragwortv1.Record) usage.Counts {
	var sum usage.Counts
	for _, r := range records {
		sum = sum.Add(usage.FromWire(r.GetUsageCounted().GetLines()).Total())
	}
	return sum
}
