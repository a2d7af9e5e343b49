package sidecar

// This file defines slotQueue, which assigns the limiter's slots to requests, highest tier
// first, as far as the rate limit of the upstream allows. It is short and waits are brief, because requests queue at the entries.

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
	"github.com/ragwortpass/ragwortpass/quota"
	"github.com/ragwortpass/ragwortpass/tier"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	slotTimeout       = 200 * time.Millisecond // longest wait for a slot, apart from the time to preempt
	maxPreemptionWait = time.Second            // longest additional wait for the time to preempt
	maxWaiting        = 8                      // requests that wait for a slot
)

// errPreempted is the cause with which the context of a preempted request ends.
var errPreempted = errors.New("preempted by a request of a higher tier")

// slotRequest is a request that waits for a slot or holds one.
type slotRequest struct {
	request id.Request
	tier    tier.Tier
	outcome chan *problem.Problem // nil: granted

	// Only for holders of a slot.
	rateSlot  quota.Slot // of the rate limit, if rateUsed
	rateUsed  bool
	started   time.Time               // when the slot was granted
	cancel    context.CancelCauseFunc // cancels the request's context; nil until makePreemptible
	resumable bool                    // a stream that another upstream can resume
	tokens    int                     // tokens relayed so far
}

// compareSlotRequests orders requests by tier, highest first, then by id. Request ids sort
// by time, so the older request comes first.
func compareSlotRequests(a, b *slotRequest) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.request, b.request))
}

// slotQueue holds the requests that wait for or hold a slot of one upstream.
type slotQueue struct {
	limiter  *upstream.Limiter
	rate     *rateLimit
	upstream id.Upstream

	mu      sync.Mutex
	waiting []*slotRequest // in the order of compareSlotRequests
	holders map[*slotRequest]struct{}
	wake    *time.Timer // grants at the next slot of the rate limit; nil: not started
}

func newSlotQueue(l *upstream.Limiter, r *rateLimit, u id.Upstream) *slotQueue {
	return &slotQueue{limiter: l, rate: r, upstream: u, holders: make(map[*slotRequest]struct{})}
}

// enqueue grants a free slot, queues the request or refuses it. The outcome is sent on the
// returned slotRequest.
func (s *slotQueue) enqueue(now time.Time, e wire.Envelope) *slotRequest {
	req := &slotRequest{request: e.Request, tier: e.Tier, outcome: make(chan *problem.Problem, 1)}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, _ := slices.BinarySearchFunc(s.waiting, req, compareSlotRequests)
	s.waiting = slices.Insert(s.waiting, i, req)
	s.grantLocked(now)
	if len(s.waiting) > maxWaiting {
		last := s.waiting[maxWaiting]
		s.waiting = s.waiting[:maxWaiting]
		last.outcome <- s.displacedProblem(last, req)
	}
	return req
}

// displacedProblem returns the refusal of the last waiter after req was queued.
func (s *slotQueue) displacedProblem(last, req *slotRequest) *problem.Problem {
	if req.tier.Above(last.tier) {
		return problem.New(problem.ShedForTier, problem.NotRun, http.StatusServiceUnavailable, "upstream %s: displaced by a request of tier %v", s.upstream, req.tier)
	}
	return s.busyProblem()
}

func (s *slotQueue) busyProblem() *problem.Problem {
	return problem.New(problem.UpstreamBusy, problem.NotRun, http.StatusServiceUnavailable, "upstream %s has no free slot", s.upstream)
}

// grantLocked grants free slots to the first waiters. The caller must hold the lock.
func (s *slotQueue) grantLocked(now time.Time) {
	for len(s.waiting) > 0 {
		if next := s.rate.next(now); next.After(now) {
			s.wakeAt(now, next)
			return
		}
		if !s.limiter.Acquire() {
			return
		}
		req := s.waiting[0]
		s.waiting = slices.Delete(s.waiting, 0, 1)
		req.rateSlot, req.rateUsed = s.rate.take(now)
		req.started = now
		s.holders[req] = struct{}{}
		req.outcome <- nil
	}
}

// wakeAt grants free slots at a time. The caller must hold the lock.
func (s *slotQueue) wakeAt(now, at time.Time) {
	if s.wake != nil {
		s.wake.Stop()
	}
	s.wake = time.AfterFunc(at.Sub(now), func() { s.grant(time.Now()) })
}

// unsent gives back the slot of the rate limit of a request of which nothing was sent.
func (s *slotQueue) unsent(req *slotRequest) {
	if req.rateUsed {
		s.rate.giveBack(req.rateSlot)
	}
}

// grant grants free slots to the first waiters.
func (s *slotQueue) grant(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantLocked(now)
}

// cancelWait ends the wait of req. It reports false if req has an outcome already.
func (s *slotQueue) cancelWait(req *slotRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.waiting, req)
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// release removes the holder req, whose slot has been released to the limiter, and grants
// the slot to the next waiter.
func (s *slotQueue) release(now time.Time, req *slotRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.holders, req)
	s.grantLocked(now)
}

// updateProgress records how many tokens of req's answer have been relayed, and whether
// another upstream can resume it.
func (s *slotQueue) updateProgress(req *slotRequest, tokens int, resumable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.tokens = tokens
	req.resumable = resumable
}

// disablePreemption records that req's answer must not be preempted any more.
func (s *slotQueue) disablePreemption(req *slotRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req.resumable = false
}

// acquire waits a short time for a slot. The returned context ends with errPreempted if the
// request is preempted.
func (s *Sidecar) acquire(ctx context.Context, e wire.Envelope) (context.Context, *slotRequest, *problem.Problem) {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	now := time.Now()
	req := s.slots.enqueue(now, e)
	p, done := s.await(ctx, req, now, s.preemptAt(now, e))
	if !done {
		p = s.abandonWait(ctx, req)
	}
	if p != nil {
		return ctx, nil, p
	}
	return s.slots.makePreemptible(ctx, req), req, nil
}

// abandonWait ends the wait of req. If req was granted a slot meanwhile, it keeps the slot
// unless ctx has ended.
func (s *Sidecar) abandonWait(ctx context.Context, req *slotRequest) *problem.Problem {
	if s.slots.cancelWait(req) {
		return s.slots.busyProblem()
	}
	p := <-req.outcome
	if p != nil || ctx.Err() == nil {
		return p
	}
	now := time.Now()
	s.limiter.Release(upstream.AnswerSample{Started: now, Ended: now})
	s.slots.unsent(req)
	s.slots.release(now, req)
	return s.slots.busyProblem()
}

// makePreemptible returns a context for req that ends when req is preempted.
func (s *slotQueue) makePreemptible(ctx context.Context, req *slotRequest) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	req.cancel = cancel
	return ctx
}

// await waits for the outcome of req. Done is false if there is none within slotTimeout or
// before ctx ends. If preemptAt is near, req waits until then in addition, and preempts an
// answer of a lower tier at that time.
func (s *Sidecar) await(ctx context.Context, req *slotRequest, now, preemptAt time.Time) (p *problem.Problem, done bool) {
	wait := slotTimeout
	var preempt <-chan time.Time
	if left := preemptAt.Sub(now); !preemptAt.IsZero() && left <= maxPreemptionWait {
		timer := time.NewTimer(left)
		defer timer.Stop()
		preempt = timer.C
		wait += left
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		select {
		case p := <-req.outcome:
			return p, true
		case <-ctx.Done():
			return nil, false
		case <-end.C:
			return nil, false
		case now := <-preempt:
			s.preempt(now, req)
		}
	}
}
