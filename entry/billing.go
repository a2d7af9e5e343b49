package entry

// This file defines billing, which puts what was metered on the log in batches.

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/journal"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// lastFlushTimeout bounds the last flush, so that time is left to hand over what
// the log did not take.
const lastFlushTimeout = 5 * time.Second

// billing appends by a writer of its own, which appends nothing else: its records
// can be handed to other entries and folded in order.
type billing struct {
	e      *Entry
	meter  usage.Meter
	holder *holder

	writing     context.Context // of the writer
	stopWriting context.CancelFunc
	wrote       chan struct{} // closed when the writer has ended

	appending context.Context // of the appends
	abandon   context.CancelFunc
	appends   sync.WaitGroup

	mu       sync.Mutex          // also held while figures are taken from the meter
	unfolded []*ragwortv1.Record // abandoned
}

func newBilling(e *Entry) *billing {
	b := &billing{e: e, holder: newHolder(e), wrote: make(chan struct{})}
	b.writing, b.stopWriting = context.WithCancel(context.Background())
	b.appending, b.abandon = context.WithCancel(context.Background())
	return b
}

// write runs the writer until ctx is done or finish stops it.
func (b *billing) write(ctx context.Context) {
	defer close(b.wrote)
	defer context.AfterFunc(ctx, b.stopWriting)()
	b.e.deps.UsageWriter.Run(b.writing)
}

// run flushes at every interval until ctx is done.
func (b *billing) run(ctx context.Context) {
	defer context.AfterFunc(ctx, b.abandon)()
	tick := time.NewTicker(b.e.cfg.UsageFlush)
	defer tick.Stop()
	pending := metrics.GetOrRegisterGauge("usage_pending_output_tokens", b.e.deps.Metrics)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			pending.Update(int64(b.meter.Pending().OutputTokens))
			b.flush()
		}
	}
}

// flush appends everything counted and waits until it is folded here, however long
// the log is out; meanwhile the meter goes on counting for the next flush.
func (b *billing) flush() {
	b.mu.Lock()
	taken := b.meter.Take()
	b.appends.Add(len(taken)) // with the taking, so that finish misses none
	b.mu.Unlock()
	var wg sync.WaitGroup
	for w, lines := range taken {
		wg.Go(func() {
			defer b.appends.Done()
			b.append(w, lines)
		})
	}
	wg.Wait()
}

// append appends the lines of one window under one sequence, so that they are
// folded once however often the append is repeated.
func (b *billing) append(w usage.Window, lines usage.Lines) {
	r := &ragwortv1.Record{Body: &ragwortv1.Record_UsageCounted{UsageCounted: usage.Counted(w, lines)}}
	out, err := b.e.deps.UsageWriter.Append(b.appending, time.Now(), r)
	switch {
	case err != nil:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.unfolded = append(b.unfolded, r)
	case out.Result == journal.Conflict || out.Result == journal.Invalid:
		b.lost("usage_count_refused", lines.Total())
	default:
		b.e.count("usage_flushed")
	}
}

// finish flushes for the last time. What the log does not take in time is handed to
// other entries, with what this entry holds for others. The writer is stopped
// first: if it went on, a later record could be folded before an abandoned one,
// which would then count as a repeat.
func (b *billing) finish(ctx context.Context) {
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		b.flush()
		b.appends.Wait()
	}()
	last := time.NewTimer(lastFlushTimeout)
	defer last.Stop()
	select {
	case <-flushed:
	case <-last.C:
	case <-ctx.Done():
	}
	b.stopWriting()
	<-b.wrote
	b.abandon()
	<-flushed
	b.mu.Lock()
	records := append(b.holder.all(), b.unfolded...)
	b.mu.Unlock()
	if len(records) > 0 {
		b.handOver(ctx, records)
	}
}

// handOver gives records to other entries.
func (b *billing) handOver(ctx context.Context, records []*ragwortv1.Record) {
	slices.SortFunc(records, byWriter)
	taken := b.holder.handOver(ctx, records)
	_ = b.e.deps.Logger.Log("event", "usage_handed_over", "records", len(records), "entries", taken)
	if taken > 0 {
		b.e.count("usage_handed_over")
		return
	}
	var sum usage.Figures
	for _, r := range records {
		sum = sum.Add(usage.FromWire(r.GetUsageCounted().GetLines()).Total())
	}
	b.lost("usage_unflushed", sum)
}

// lost logs and counts figures that are not known to be on the log.
func (b *billing) lost(event string, f usage.Figures) {
	metrics.GetOrRegisterCounter(event+"_output_tokens", b.e.deps.Metrics).Inc(int64(f.OutputTokens))
	_ = b.e.deps.Logger.Log("event", event, "requests", strconv.FormatUint(f.Requests, 10),
		"prompt_tokens", f.PromptTokens, "output_tokens", f.OutputTokens)
}
