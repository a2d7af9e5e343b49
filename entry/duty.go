package entry

// This file defines duty, which stands for one lease and does its work while this
// process holds it. The decisions are in package lease; here are the clocks, the
// appends and the goroutines.

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
	// ticksPerTTL is how often in a time to live a candidate looks at its clocks.
	ticksPerTTL = 40
	// roundsPerTTL is how often in a time to live a holder looks for work.
	roundsPerTTL = 20
)

// NotHoldingError says that a duty must not be done now.
type NotHoldingError struct{ Duty id.Duty }

func (e *NotHoldingError) Error() string { return fmt.Sprintf("lease %s is not held", e.Duty) }

// duty is safe for concurrent use.
type duty struct {
	e     *Entry
	log   *logbook.Stream // that holds the lease
	name  id.Duty
	cfg   lease.Config
	round func(ctx context.Context) // one round of work; called only while the lease is held
	born  time.Time
	wake  chan struct{}

	mu        sync.Mutex // guards candidate
	candidate *lease.Candidate

	stood  atomic.Bool        // run has begun
	rounds context.Context    // of the rounds
	stop   context.CancelFunc // ends the rounds
	done   chan struct{}      // closed when no round runs any more
}

// newDuty returns a duty that does not stand yet. Its holder name is that of the
// writer, which no other run of this process has.
func newDuty(e *Entry, l *logbook.Stream, name id.Duty, round func(context.Context)) *duty {
	holder := id.Node(l.Writer.Name())
	cfg := lease.DefaultConfig(holder, e.cfg.LeaseTTL, stagger(holder, name, e.cfg.LeaseTTL))
	d := &duty{
		e: e, log: l, name: name, cfg: cfg, round: round, born: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	d.rounds, d.stop = context.WithCancel(context.Background())
	d.candidate = lease.NewCandidate(d.reading(), cfg)
	l.State.Observe(d.folded)
	return d
}

// stagger spreads the claims of a fleet over half a time to live, so that the
// first claim has been read by most before they would claim themselves.
func stagger(holder id.Node, name id.Duty, ttl time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(holder)+"/"+string(name)) % uint64(ttl/2))
}

// reading looks at both clocks.
func (d *duty) reading() lease.ClockReading {
	now := time.Now()
	return lease.ClockReading{Monotonic: now.Sub(d.born), Wall: now.Round(0)}
}

// folded wakes the candidate for records of leases.
func (d *duty) folded(o logbook.Outcome) {
	switch o.Record.GetBody().(type) {
	case *ragwortv1.Record_LeaseClaimed, *ragwortv1.Record_LeaseRenewed, *ragwortv1.Record_LeaseReleased:
		d.signal()
	}
}

func (d *duty) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// holding returns the term under which this process may act now, if at least need
// is left of the lease. It is to be asked right before each act.
func (d *duty) holding(need time.Duration) (id.Term, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	term, left, ok := d.candidate.Holding(d.reading())
	return term, ok && left >= need
}

// send does one act that must end within the lease: it checks the lease, then
// calls with the term and a context that ends with the longest order.
func (d *duty) send(ctx context.Context, call func(context.Context, id.Term) error) error {
	return d.sendWithin(ctx, d.cfg.MaxOrderLifetime, call)
}

// sendWithin is send for an act after which need must be left of the lease.
func (d *duty) sendWithin(ctx context.Context, need time.Duration, call func(context.Context, id.Term) error) error {
	ctx, cancel := context.WithTimeout(ctx, d.cfg.MaxOrderLifetime)
	defer cancel()
	term, ok := d.holding(need)
	if !ok {
		d.e.count("duty_" + string(d.name) + "_not_holding")
		return &NotHoldingError{Duty: d.name}
	}
	return call(ctx, term)
}

// run stands for the lease until ctx is done.
func (d *duty) run(ctx context.Context) {
	d.stood.Store(true)
	go d.work(ctx)
	tick := time.NewTicker(d.cfg.TTL / ticksPerTTL)
	defer tick.Stop()
	for {
		d.step(ctx, &lease.Tick{LogAvailable: d.logAvailable()})
		select {
		case <-ctx.Done():
			<-d.done
			return
		case <-tick.C:
		case <-d.wake:
		}
	}
}

// logAvailable reports whether this process has read the log lately and to its end.
func (d *duty) logAvailable() bool {
	f := d.log.Follower
	return f.CaughtUp() && f.LogAvailable(time.Now(), d.cfg.TTL/2)
}

// work does the rounds of the duty while the lease is held.
func (d *duty) work(ctx context.Context) {
	defer close(d.done)
	defer d.stop()
	tick := time.NewTicker(d.cfg.TTL / roundsPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.rounds.Done():
			return
		case <-tick.C:
		}
		if _, ok := d.holding(d.cfg.MaxOrderLifetime); ok && d.logAvailable() {
			d.round(d.rounds)
		}
	}
}

// leave ends the rounds, then gives the lease up.
func (d *duty) leave(ctx context.Context) {
	d.stop()
	if !d.stood.Load() {
		return
	}
	select {
	case <-d.done:
		d.step(ctx, &lease.Resigned{})
	case <-ctx.Done():
	}
}

// step tells the candidate the grant that is folded here, then an event, and does
// what it asks for.
func (d *duty) step(ctx context.Context, ev lease.Event) {
	d.mu.Lock()
	grant := d.log.State.Leases.Grant(d.name)
	todo := d.candidate.Step(d.reading(), &lease.GrantObserved{Grant: grant})
	todo = append(todo, d.candidate.Step(d.reading(), ev)...)
	d.mu.Unlock()
	for _, a := range todo {
		d.act(ctx, a)
	}
}

// act carries out one action.
func (d *duty) act(ctx context.Context, a lease.Action) {
	holder, ttl := string(d.cfg.Holder), d.cfg.TTL.Milliseconds()
	switch a := a.(type) {
	case *lease.AppendClaim:
		go d.append(ctx, a.AppendID, &ragwortv1.Record{Body: &ragwortv1.Record_LeaseClaimed{LeaseClaimed: &ragwortv1.LeaseClaimed{
			Duty: string(d.name), Holder: holder, Term: uint64(a.Term), SeenOffset: uint64(a.SeenOffset), TtlMs: ttl,
		}}})
	case *lease.AppendRenewal:
		go d.append(ctx, a.AppendID, &ragwortv1.Record{Body: &ragwortv1.Record_LeaseRenewed{LeaseRenewed: &ragwortv1.LeaseRenewed{
			Duty: string(d.name), Holder: holder, Term: uint64(a.Term), TtlMs: ttl,
		}}})
	case *lease.AppendRelease:
		d.append(ctx, 0, &ragwortv1.Record{Body: &ragwortv1.Record_LeaseReleased{LeaseReleased: &ragwortv1.LeaseReleased{
			Duty: string(d.name), Holder: holder, Term: uint64(a.Term),
		}}})
	case *lease.StateChanged:
		d.e.count("lease_" + string(d.name) + "_" + string(a.Reason))
		_ = d.e.deps.Logger.Log("event", "lease_changed", "duty", d.name, "from", a.From, "to", a.To, "term", a.Term, "reason", a.Reason)
	}
}

// append appends a record of the lease and tells the candidate what became of it.
func (d *duty) append(ctx context.Context, try uint64, r *ragwortv1.Record) {
	actx, cancel := context.WithTimeout(ctx, d.cfg.TTL/2)
	defer cancel()
	out, err := d.log.Writer.Append(actx, time.Now(), r)
	if try == 0 {
		return
	}
	answer := lease.AppendUncertain
	switch {
	case err != nil:
	case out.Result == logbook.Accepted:
		answer = lease.AppendAccepted
	case out.Result == logbook.Conflict:
		answer = lease.AppendRejected
	}
	d.step(ctx, &lease.AppendCompleted{AppendID: try, Result: answer})
}
