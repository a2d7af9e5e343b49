package sidecar

// This file defines slots, which gives the limiter's slots to requests, highest
// tier first. Few wait, and for a short time: the long queue is at the entries.

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/tier"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	slotWait   = 200 * time.Millisecond
	saveWait   = time.Second // to wait longer for the moment to preempt
	maxWaiting = 8           // for a slot
)

// errPreempted is the cause with which a running request's context ends.
var errPreempted = errors.New("preempted by a higher tier")

// slot is one request that waits for a slot or holds one.
type slot struct {
	request id.Request
	tier    tier.Tier
	outcome chan *problem.Problem // nil: granted

	// Of holders.
	begun     time.Time
	cancel    context.CancelCauseFunc
	resumable bool // a stream whose rest another upstream can generate
	tokens    int  // relayed so far
}

// before reports whether a goes first: the higher tier, then the older request,
// since request ids sort by time.
func before(a, b *slot) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.request, b.request))
}

// slots is the waiting requests and the holders of one upstream's slots.
type slots struct {
	limiter  *upstream.Limiter
	upstream id.Upstream

	mu      sync.Mutex
	waiting []*slot // in the order of before
	holders map[*slot]struct{}
}

func newSlots(l *upstream.Limiter, u id.Upstream) *slots {
	return &slots{limiter: l, upstream: u, holders: make(map[*slot]struct{})}
}

// enter takes a free slot, or waits for one, or is refused at once. The outcome
// is sent on the slot.
func (s *slots) enter(now time.Time, e wire.Envelope) *slot {
	t := &slot{request: e.Request, tier: e.Tier, outcome: make(chan *problem.Problem, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := slices.BinarySearchFunc(s.waiting, t, before)
	s.waiting = slices.Insert(s.waiting, i, t)
	s.grant(now)
	if len(s.waiting) > maxWaiting {
		last := s.waiting[maxWaiting]
		s.waiting = s.waiting[:maxWaiting]
		last.outcome <- s.displaced(last, t)
	}
	return t
}

// displaced returns the refusal of the last waiter after t has come.
func (s *slots) displaced(last, t *slot) *problem.Problem {
	if t.tier.Above(last.tier) {
		return problem.New(problem.ShedForTier, problem.NotRun, http.StatusServiceUnavailable, "upstream %s: displaced by tier %v", s.upstream, t.tier)
	}
	return s.busy()
}

func (s *slots) busy() *problem.Problem {
	return problem.New(problem.UpstreamBusy, problem.NotRun, http.StatusServiceUnavailable, "upstream %s has no free slot", s.upstream)
}

// grant gives free slots to the first waiters. The caller holds the lock.
func (s *slots) grant(now time.Time) {
	for len(s.waiting) > 0 && s.limiter.Acquire() {
		t := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		t.begun = now
		s.holders[t] = struct{}{}
		t.outcome <- nil
	}
}

// offer gives slots that have become free to the first waiters.
func (s *slots) offer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grant(now)
}

// withdraw ends the wait of t. It reports false if t has an outcome already.
func (s *slots) withdraw(t *slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, t)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// leave ends the hold of t, whose slot the limiter already has back, and hands
// the slot over at once.
func (s *slots) leave(now time.Time, t *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.holders, t)
	s.grant(now)
}

// relayed notes how much of t's answer has been relayed, and whether it is a
// stream that can go on elsewhere.
func (s *slots) relayed(t *slot, tokens int, resumable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.tokens = tokens
	t.resumable = resumable
}

// firm notes that t's answer is not to be preempted any more.
func (s *slots) firm(t *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.resumable = false
}

// acquire waits a short while for a slot. The context that it returns ends with
// errPreempted if the slot is taken away.
func (s *Sidecar) acquire(ctx context.Context, e wire.Envelope) (context.Context, *slot, *problem.Problem) {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	now := time.Now()
	t := s.slots.enter(now, e)
	p, done := s.await(ctx, t, now, s.saveBy(now, e))
	if !done {
		p = s.giveUp(ctx, t)
	}
	if p != nil {
		return ctx, nil, p
	}
	return s.slots.hold(ctx, t), t, nil
}

// giveUp ends the wait of t, unless it was granted at the last moment to a caller
// that is still there.
func (s *Sidecar) giveUp(ctx context.Context, t *slot) *problem.Problem {
	if s.slots.withdraw(t) {
		return s.slots.busy()
	}
	p := <-t.outcome
	if p != nil || ctx.Err() == nil {
		return p
	}
	now := time.Now()
	s.limiter.Release(upstream.AnswerSample{Started: now, Ended: now})
	s.slots.leave(now, t)
	return s.slots.busy()
}

// hold makes t's context one that preemption ends.
func (s *slots) hold(ctx context.Context, t *slot) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.cancel = cancel
	return ctx
}

// await waits for the outcome of t. Done is false if there is none within
// slotWait or before the caller leaves. If saveBy is near, t waits on until then,
// when it may preempt a lower tier.
func (s *Sidecar) await(ctx context.Context, t *slot, now, saveBy time.Time) (p *problem.Problem, done bool) {
	wait := slotWait
	var save <-chan time.Time
	if left := saveBy.Sub(now); !saveBy.IsZero() && left <= saveWait {
		timer := time.NewTimer(left)
		defer timer.Stop()
		save = timer.C
		wait += left
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		select {
		case p := <-t.outcome:
			return p, true
		case <-ctx.Done():
			return nil, false
		case <-end.C:
			return nil, false
		case now := <-save:
			s.preempt(now, t)
		}
	}
}
