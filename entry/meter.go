package entry

// This file defines meter: what a request delivered is counted for billing, and
// put on the log in batches.

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/journal"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// meter counts a whole answer.
func (e *Entry) meter(rq *request, u used) {
	metrics.GetOrRegisterCounter("answered_"+string(rq.class.Name), e.deps.Metrics).Inc(1)
	e.bill(rq, u)
}

// meterPart counts what a caller got of an answer that broke off. If that is
// nothing, nothing is billed.
func (e *Entry) meterPart(rq *request, u used) {
	if u.output > 0 {
		e.bill(rq, u)
	}
}

func (e *Entry) bill(rq *request, u used) {
	metrics.GetOrRegisterCounter("output_tokens", e.deps.Metrics).Inc(int64(u.output))
	w := usage.WindowAt(time.Now(), e.cfg.Usage.Length)
	line := usage.Line{Workspace: rq.workspace(), Class: rq.class.Name, Model: rq.model}
	e.billing.meter.Add(w, line, usage.Figures{Requests: 1, PromptTokens: u.prompt, OutputTokens: u.output})
}

// billing puts what was counted on the log.
type billing struct {
	e     *Entry
	meter usage.Meter
	turn  chan struct{} // holds a token while nobody flushes
}

func newBilling(e *Entry) *billing {
	b := &billing{e: e, turn: make(chan struct{}, 1)}
	b.turn <- struct{}{}
	return b
}

// run flushes at every interval until ctx is done.
func (b *billing) run(ctx context.Context) {
	tick := time.NewTicker(b.e.cfg.UsageFlush)
	defer tick.Stop()
	pending := metrics.GetOrRegisterGauge("usage_pending_output_tokens", b.e.deps.Metrics)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			pending.Update(int64(b.meter.Pending().OutputTokens))
			b.flush(ctx)
		}
	}
}

// flush appends everything counted and waits until it is folded here, however long
// the log is out; meanwhile the meter goes on counting for the next flush.
func (b *billing) flush(ctx context.Context) {
	select {
	case <-b.turn:
		defer func() { b.turn <- struct{}{} }()
	case <-ctx.Done():
		return
	}
	var wg sync.WaitGroup
	for w, lines := range b.meter.Take() {
		wg.Go(func() { b.append(ctx, w, lines) })
	}
	wg.Wait()
}

// append appends the lines of one window under one sequence, so that they are
// folded once however often the append is repeated.
func (b *billing) append(ctx context.Context, w usage.Window, lines usage.Lines) {
	out, err := b.e.deps.Writer.Append(ctx, time.Now(), &ragwortv1.Record{
		Body: &ragwortv1.Record_UsageCounted{UsageCounted: usage.Counted(w, lines)},
	})
	var notSent *journal.NotSentError
	switch {
	case errors.As(err, &notSent):
		for line, f := range lines {
			b.meter.Add(w, line, f)
		}
	case err != nil:
		b.lost("usage_uncertain", lines.Total(), err)
	case out.Result == journal.Conflict || out.Result == journal.Invalid:
		b.lost("usage_count_refused", lines.Total(), nil)
	default:
		b.e.count("usage_flushed")
	}
}

// finish flushes for the last time and tells what could not be flushed.
func (b *billing) finish(ctx context.Context) {
	b.flush(ctx)
	if left := b.meter.Pending(); left != (usage.Figures{}) {
		b.lost("usage_unflushed", left, ctx.Err())
	}
}

// lost logs and counts figures that are not known to be on the log.
func (b *billing) lost(event string, f usage.Figures, err error) {
	metrics.GetOrRegisterCounter(event+"_output_tokens", b.e.deps.Metrics).Inc(int64(f.OutputTokens))
	_ = b.e.deps.Logger.Log("event", event, "requests", strconv.FormatUint(f.Requests, 10),
		"prompt_tokens", f.PromptTokens, "output_tokens", f.OutputTokens, "err", err)
}
