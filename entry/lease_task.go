package entry

// This file defines leaseTask, which takes part in the election for one lease and
// does the lease's work while this process holds it. Package lease makes the
// decisions; this file adds the clocks, the appends and the goroutines.

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	// ticksPerTTL is how many times in a lease's TTL a candidate reads its clocks.
	ticksPerTTL = 40
	// workChecksPerTTL is how many times in a lease's TTL its holder checks for work.
	workChecksPerTTL = 20
)

// NotHoldingError says that this process does not hold a lease, or not for long enough.
type NotHoldingError struct{ Duty id.Duty }

func (e *NotHoldingError) Error() string {
	return fmt.Sprintf("lease %s is not held, or not for long enough", e.Duty)
}

// leaseTask competes for one lease and does its work. It is safe for concurrent use.
type leaseTask struct {
	e       *Entry
	stream  *logbook.Stream // the log stream that holds the lease records
	duty    id.Duty         // names the lease
	cfg     lease.Config
	work    func(ctx context.Context) // does the work that is due; called only while the lease is held
	created time.Time
	wake    chan struct{}

	mu        sync.Mutex // guards candidate
	candidate *lease.Candidate

	started  atomic.Bool        // run has been called
	workCtx  context.Context    // context of the calls of work
	stopWork context.CancelFunc // cancels workCtx
	workDone chan struct{}      // closed once no call of work is running
}

// newLeaseTask returns a task that run has not started yet. The holder name is that
// of the log writer, which differs between runs of this process.
func newLeaseTask(e *Entry, stream *logbook.Stream, duty id.Duty, work func(context.Context)) *leaseTask {
	holder := id.Node(stream.Writer.Name())
	cfg := lease.DefaultConfig(holder, e.cfg.LeaseTTL, claimDelay(holder, duty, e.cfg.LeaseTTL))
	t := &leaseTask{
		e: e, stream: stream, duty: duty, cfg: cfg, work: work, created: time.Now(),
		wake: make(chan struct{}, 1), workDone: make(chan struct{}),
	}
	t.workCtx, t.stopWork = context.WithCancel(context.Background())
	t.candidate = lease.NewCandidate(t.readClocks(), cfg)
	stream.State.Observe(t.onRecord)
	return t
}

// claimDelay spreads the claims of a fleet over half a TTL, so that most processes
// have read the first claim before they would make their own.
func claimDelay(holder id.Node, duty id.Duty, ttl time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(holder)+"/"+string(duty)) % uint64(ttl/2))
}

// readClocks reads the monotonic clock and the wall clock.
func (t *leaseTask) readClocks() lease.ClockReading {
	now := time.Now()
	return lease.ClockReading{Monotonic: now.Sub(t.created), Wall: now.Round(0)}
}

// onRecord wakes the candidate when a lease record is applied.
func (t *leaseTask) onRecord(o logbook.Outcome) {
	switch o.Record.GetBody().(type) {
	case *ragwortv1.Record_LeaseClaimed, *ragwortv1.Record_LeaseRenewed, *ragwortv1.Record_LeaseReleased:
		t.wakeUp()
	}
}

func (t *leaseTask) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// heldTerm returns the term of the lease and whether this process holds the lease
// for at least minLeft more. It must be called right before each use of the lease.
func (t *leaseTask) heldTerm(minLeft time.Duration) (id.Term, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	term, left, ok := t.candidate.Holding(t.readClocks())
	return term, ok && left >= minLeft
}

// do checks that at least MaxOrderLifetime remains of the lease, then calls call with the
// term and a context that ends after MaxOrderLifetime, so before the lease does.
func (t *leaseTask) do(ctx context.Context, call func(context.Context, id.Term) error) error {
	return t.doWithMargin(ctx, t.cfg.MaxOrderLifetime, call)
}

// doWithMargin is like do, but requires that at least minLeft remains of the lease.
func (t *leaseTask) doWithMargin(ctx context.Context, minLeft time.Duration, call func(context.Context, id.Term) error) error {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.MaxOrderLifetime)
	defer cancel()
	term, ok := t.heldTerm(minLeft)
	if !ok {
		t.e.count("duty_" + string(t.duty) + "_not_holding")
		return &NotHoldingError{Duty: t.duty}
	}
	return call(ctx, term)
}

// run competes for the lease until ctx is done.
func (t *leaseTask) run(ctx context.Context) {
	t.started.Store(true)
	go t.runWork(ctx)
	tick := time.NewTicker(t.cfg.TTL / ticksPerTTL)
	defer tick.Stop()
	for {
		t.e.guard.Do("lease_step", func() { t.step(ctx, &lease.Tick{LogAvailable: t.logAvailable()}) })
		select {
		case <-ctx.Done():
			<-t.workDone
			return
		case <-tick.C:
		case <-t.wake:
		}
	}
}

// logAvailable reports whether this process has caught up with the log and has read
// it within the last half TTL.
func (t *leaseTask) logAvailable() bool {
	f := t.stream.Follower
	return f.CaughtUp() && f.LogAvailable(time.Now(), t.cfg.TTL/2)
}

// runWork calls work periodically while the lease is held.
func (t *leaseTask) runWork(ctx context.Context) {
	defer close(t.workDone)
	defer t.stopWork()
	tick := time.NewTicker(t.cfg.TTL / workChecksPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.workCtx.Done():
			return
		case <-tick.C:
		}
		if _, ok := t.heldTerm(t.cfg.MaxOrderLifetime); ok && t.logAvailable() {
			t.e.guard.Do("lease_work", func() { t.work(t.workCtx) })
		}
	}
}

// release stops the work, then releases the lease. If ctx ends before the work has stopped,
// the lease is left to expire.
func (t *leaseTask) release(ctx context.Context) {
	t.stopWork()
	if !t.started.Load() {
		return
	}
	select {
	case <-t.workDone:
		t.step(ctx, &lease.Resigned{})
	case <-ctx.Done():
	}
}

// step passes the grant that this process has applied, then an event, to the candidate,
// and applies the resulting actions.
func (t *leaseTask) step(ctx context.Context, ev lease.Event) {
	for _, a := range t.decide(ev) {
		t.apply(ctx, a)
	}
}

// decide returns the candidate's actions after an event.
func (t *leaseTask) decide(ev lease.Event) []lease.Action {
	t.mu.Lock()
	defer t.mu.Unlock()
	grant := t.stream.State.Leases.Grant(t.duty)
	actions := t.candidate.Step(t.readClocks(), &lease.GrantObserved{Grant: grant})
	return append(actions, t.candidate.Step(t.readClocks(), ev)...)
}

// apply carries out an action of the candidate.
func (t *leaseTask) apply(ctx context.Context, a lease.Action) {
	holder, ttl := string(t.cfg.Holder), t.cfg.TTL.Milliseconds()
	switch a := a.(type) {
	case *lease.AppendClaim:
		t.goAppend(ctx, a.AppendID, &ragwortv1.Record{Body: &ragwortv1.Record_LeaseClaimed{LeaseClaimed: &ragwortv1.LeaseClaimed{
			Duty: string(t.duty), Holder: holder, Term: uint64(a.Term), SeenOffset: uint64(a.SeenOffset), TtlMs: ttl,
		}}})
	case *lease.AppendRenewal:
		t.goAppend(ctx, a.AppendID, &ragwortv1.Record{Body: &ragwortv1.Record_LeaseRenewed{LeaseRenewed: &ragwortv1.LeaseRenewed{
			Duty: string(t.duty), Holder: holder, Term: uint64(a.Term), TtlMs: ttl,
		}}})
	case *lease.AppendRelease:
		t.append(ctx, 0, &ragwortv1.Record{Body: &ragwortv1.Record_LeaseReleased{LeaseReleased: &ragwortv1.LeaseReleased{
			Duty: string(t.duty), Holder: holder, Term: uint64(a.Term),
		}}})
	case *lease.StateChanged:
		t.e.count("lease_" + string(t.duty) + "_" + string(a.Reason))
		_ = t.e.deps.Logger.Log("event", "lease_changed", "duty", t.duty, "from", a.From, "to", a.To, "term", a.Term, "reason", a.Reason)
	}
}

// goAppend calls append in the background.
func (t *leaseTask) goAppend(ctx context.Context, appendID uint64, r *ragwortv1.Record) {
	go t.e.guard.Do("lease_append", func() { t.append(ctx, appendID, r) })
}

// append appends a lease record and passes the outcome to the candidate, except for a
// release, whose appendID is zero.
func (t *leaseTask) append(ctx context.Context, appendID uint64, r *ragwortv1.Record) {
	appendCtx, cancel := context.WithTimeout(ctx, t.cfg.TTL/2)
	defer cancel()
	var out logbook.Outcome
	err := t.e.guard.Try("lease_append", func() (err error) {
		out, err = t.stream.Writer.Append(appendCtx, time.Now(), r)
		return err
	})
	if appendID == 0 {
		return
	}
	result := lease.AppendUncertain
	switch {
	case err != nil:
	case out.Result == logbook.Accepted:
		result = lease.AppendAccepted
	case out.Result == logbook.Conflict:
		result = lease.AppendRejected
	}
	t.step(ctx, &lease.AppendCompleted{AppendID: appendID, Result: result})
}
