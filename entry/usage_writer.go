package entry

// This file defines usageWriter, which appends recorded usage to the usage stream of
// the log.
//
// Each record carries its writer and sequence, so it is applied once, whoever appends
// it and however often. A successful append is on the log; one without an answer is
// retried. An entry therefore need not read the stream back, which in a large fleet would
// exceed its read budget. A writer's records must reach the log in sequence: one that
// arrives after a later one counts as a repeat and is lost. So only one append is in
// flight at a time, and it starts with the oldest record.

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
	appendRetryInitial = 50 * time.Millisecond // delay after the first failed append
	appendRetryMax     = time.Second
	maxBatchRecords    = 1000   // records in one append
	maxQueuedRecords   = 20_000 // above this, records of other entries are refused

	// lastFlushTimeout bounds the final flush, to leave time to hand the remaining
	// records over to other entries.
	lastFlushTimeout = 5 * time.Second
)

// usageWriter collects usage and appends it to the log. Only one goroutine calls flush
// at a time.
type usageWriter struct {
	e          *Entry
	log        hosting.Log
	writerName string
	counted    usage.Meter   // usage that is in no record yet
	stop       chan struct{} // closed to end run
	stopped    chan struct{} // closed when run has ended

	sequence uint64 // of the newest record of this entry; used only while flushing

	mu    sync.Mutex
	queue []*ragwortv1.Record // records not yet known to be on the log, each writer's in sequence
}

func newUsageWriter(e *Entry, log hosting.Log) *usageWriter {
	return &usageWriter{
		e: e, log: log, writerName: fmt.Sprintf("%s-usage-%d", e.cfg.Node, e.cfg.Incarnation),
		stop: make(chan struct{}), stopped: make(chan struct{}),
	}
}

// run flushes periodically until ctx is done or finish is called.
func (u *usageWriter) run(ctx context.Context) {
	defer close(u.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-u.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	tick := time.NewTicker(u.e.cfg.UsageFlushInterval)
	defer tick.Stop()
	pending := metrics.GetOrRegisterGauge("usage_pending_output_tokens", u.e.deps.Metrics)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			u.e.guard.Do("usage_flush", func() {
				pending.Update(int64(u.counted.Pending().Add(totalCounts(u.unflushed())).OutputTokens))
				u.flush(ctx)
			})
		}
	}
}

// flush appends all recorded usage and retries until the log accepts it or ctx is
// done. Usage recorded meanwhile is left to the next flush.
func (u *usageWriter) flush(ctx context.Context) {
	u.queueCounted(time.Now())
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = appendRetryInitial, appendRetryMax
	for ctx.Err() == nil {
		records := u.unflushed()
		if len(records) == 0 {
			return
		}
		records = records[:min(len(records), maxBatchRecords)]
		if err := u.append(ctx, records); err != nil {
			u.e.count("usage_append_failed")
			sleep(ctx, retry.NextBackOff())
			continue
		}
		u.e.count("usage_flushed")
		u.remove(records)
		retry.Reset()
	}
}

// queueCounted moves the counted usage into new records, one for each usage window.
func (u *usageWriter) queueCounted(now time.Time) {
	counted := u.counted.Take()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range slices.Sorted(maps.Keys(counted)) {
		u.sequence++
		u.queue = append(u.queue, &ragwortv1.Record{
			Writer: u.writerName, Sequence: u.sequence, WrittenUnixMs: now.UnixMilli(),
			Body: &ragwortv1.Record_UsageCounted{UsageCounted: usage.CountedRecord(w, counted[w])},
		})
	}
}

func (u *usageWriter) append(ctx context.Context, records []*ragwortv1.Record) error {
	payload, err := proto.Marshal(&ragwortv1.Batch{Records: records})
	if err != nil {
		panic("usage records cannot be encoded: " + err.Error())
	}
	_, err = u.log.Append(ctx, payload)
	return err
}

// unflushed returns the records that are not known to be on the log.
func (u *usageWriter) unflushed() []*ragwortv1.Record {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.queue)
}

func (u *usageWriter) remove(records []*ragwortv1.Record) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.queue = slices.DeleteFunc(u.queue, func(r *ragwortv1.Record) bool { return slices.Contains(records, r) })
}

// holdForPeer queues the records of an entry that shuts down; it reports false if the
// queue would exceed maxQueuedRecords.
func (u *usageWriter) holdForPeer(records []*ragwortv1.Record) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.queue)+len(records) > maxQueuedRecords {
		return false
	}
	u.queue = append(u.queue, records...)
	slices.SortStableFunc(u.queue, byWriter)
	u.queue = slices.CompactFunc(u.queue, func(a, b *ragwortv1.Record) bool { return byWriter(a, b) == 0 })
	return true
}

// byWriter compares records by writer, then by sequence.
func byWriter(a, b *ragwortv1.Record) int {
	return cmp.Or(cmp.Compare(a.GetWriter(), b.GetWriter()), cmp.Compare(a.GetSequence(), b.GetSequence()))
}

// finish stops run and flushes once more. Records that the log does not accept in time are
// handed to other entries, including those that this entry holds for others.
func (u *usageWriter) finish(ctx context.Context) {
	close(u.stop)
	<-u.stopped
	flushCtx, cancel := context.WithTimeout(ctx, lastFlushTimeout)
	defer cancel()
	u.flush(flushCtx)
	u.queueCounted(time.Now())
	records := u.unflushed()
	if len(records) == 0 {
		return
	}
	accepted := u.e.handOverUsage(ctx, records)
	_ = u.e.deps.Logger.Log("event", "usage_handed_over", "records", len(records), "entries", accepted)
	if accepted > 0 {
		u.e.count("usage_handed_over")
		return
	}
	lost := totalCounts(records)
	metrics.GetOrRegisterCounter("usage_unflushed_output_tokens", u.e.deps.Metrics).Inc(int64(lost.OutputTokens))
	_ = u.e.deps.Logger.Log("event", "usage_unflushed", "requests", strconv.FormatUint(lost.Requests, 10),
		"prompt_tokens", lost.PromptTokens, "output_tokens", lost.OutputTokens)
}

// totalCounts returns the sum of the counts of records.
func totalCounts(records []*ragwortv1.Record) usage.Counts {
	var sum usage.Counts
	for _, r := range records {
		sum = sum.Add(usage.FromWire(r.GetUsageCounted().GetLines()).Total())
	}
	return sum
}
