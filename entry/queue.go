package entry

// This file defines queue, which dispatches the requests of one model or service to
// upstreams that have capacity, highest tier first.

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/route"
	"github.com/ragwortpass/ragwortpass/tier"
	"github.com/ragwortpass/ragwortpass/upstream"
)

const (
	maxRetryAfter = time.Minute            // upper bound of Retry-After
	sweepInterval = 500 * time.Millisecond // between checks for waiters that can no longer start in time
	maxPerSweep   = 64                     // waiters refused in one sweep
)

// target identifies a queue: it is a model or a service.
type target struct {
	model   id.Model
	service id.Service
}

// queues holds the queue of each target.
type queues struct {
	e        *Entry
	mu       sync.Mutex
	byTarget map[target]*queue
}

func newQueues(e *Entry) *queues {
	return &queues{e: e, byTarget: make(map[target]*queue)}
}

func (s *queues) get(t target) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.byTarget[t]
	if q == nil {
		q = &queue{e: s.e, waiters: tier.NewQueue(tier.DefaultConfig()), wake: make(chan struct{}, 1)}
		s.byTarget[t] = q
	}
	return q
}

// queue holds the waiting requests of one target. While any request waits, one goroutine,
// which executes run, dispatches requests as capacity changes.
type queue struct {
	e    *Entry
	wake chan struct{} // signals that a waiter expires before nextRun

	mu        sync.Mutex
	waiters   *tier.Queue
	running   bool      // the goroutine exists
	nextRun   time.Time // when run processes the queue next, at the latest
	lastSweep time.Time
}

// push adds a request or refuses it, and dispatches as many waiters as possible.
func (q *queue) push(now time.Time, pending *pendingRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &pending.waiter
	switch a := q.waiters.Push(now, w).(type) {
	case tier.Queued:
	case tier.Displaced:
		q.refuseWaiter(now, a.Waiter, a.Reason(w), "queue is full; displaced by a request of tier %v", w.Tier)
	case tier.Full:
		q.refuseWaiter(now, w, problem.QueueFull, "queue is full of requests of equal and higher tiers")
		return
	case tier.Infeasible:
		q.refuseWaiter(now, w, problem.DeadlineHopeless, "expected wait is at least %v, time left to start is %v", a.MinWait, w.StartBy.Sub(now))
		return
	}
	q.process(now)
	if q.waiters.Len() == 0 {
		return
	}
	if !q.running {
		q.running = true
		go q.e.guard.Run(context.Background(), "queue", func(context.Context) { q.run() })
		return
	}
	if w.Waiting() && w.StartBy.Before(q.nextRun) {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// cancel removes a request whose context has ended: its caller has disconnected, its
// deadline has passed or its key is withdrawn. If it has been dispatched in the meantime, it
// no longer counts as active at its upstream.
func (q *queue) cancel(now time.Time, pending *pendingRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters.Remove(now, &pending.waiter) {
		return
	}
	select {
	case o := <-pending.result:
		if o.upstream != nil {
			q.e.upstreams.RequestEnded(o.upstream.ID)
		}
	default:
	}
}

// run processes the queue whenever capacity changes or a waiter expires, until the queue
// is empty.
func (q *queue) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := q.e.upstreams.Changed() // before processing, so that no change is missed
		next, waiting := q.processAndSchedule(time.Now())
		if !waiting {
			return
		}
		timer.Reset(time.Until(next))
		select {
		case <-changed:
		case <-q.wake:
		case <-timer.C:
		}
	}
}

// processAndSchedule processes the queue and returns when to process it next. Waiting is
// false if the queue is empty; run must then return.
func (q *queue) processAndSchedule(now time.Time) (next time.Time, waiting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.process(now)
	if q.waiters.Len() == 0 {
		q.running = false
		return next, false
	}
	q.nextRun = now.Add(sweepInterval)
	if by := q.waiters.NextExpiry(); by.Before(q.nextRun) {
		q.nextRun = by
	}
	return q.nextRun, true
}

// process refuses the expired waiters and dispatches the others while there is capacity.
func (q *queue) process(now time.Time) {
	for w := q.waiters.PopExpired(now); w != nil; w = q.waiters.PopExpired(now) {
		q.expire(now, w)
	}
	if now.Sub(q.lastSweep) >= sweepInterval {
		q.lastSweep = now
		q.sweep(now)
	}
	for {
		w, reason := tier.Selected(q.waiters.Next(now))
		if w == nil || !q.dispatch(now, w, reason) {
			return
		}
	}
}

// sweep refuses waiters that can no longer start in time.
func (q *queue) sweep(now time.Time) {
	for range maxPerSweep {
		w, infeasible := q.waiters.ShedInfeasible(now)
		if w == nil {
			return
		}
		q.refuseWaiter(now, w, problem.DeadlineHopeless, "expected wait is at least %v, time left to start is %v", infeasible.MinWait, w.StartBy.Sub(now))
	}
}

// dispatch assigns an upstream to the waiter; it reports false if none has capacity. A
// waiter whose key has been withdrawn is refused.
func (q *queue) dispatch(now time.Time, w *tier.Waiter, reason string) bool {
	pending := w.Owner.(*pendingRequest)
	if _, err := q.e.deps.State.Keys.Find(pending.rq.key.ID); err != nil {
		q.waiters.Remove(now, w)
		p := keyProblem(err)
		q.e.traceDecision(now, pending.rq.id, "admit", string(p.Reason), p.Detail)
		pending.result <- admission{problem: p}
		return true
	}
	c, ok := q.e.chooseUpstream(now, pending.requirements).(route.Chosen)
	if !ok {
		return false
	}
	q.waiters.Dispatch(now, w)
	q.e.upstreams.RequestSent(c.Upstream.ID)
	q.e.count("dispatched_" + reason)
	q.e.traceDecision(now, pending.rq.id, "admit", reason, fmt.Sprintf("tier=%v waited=%v cost=%d queue=%d", w.Tier, now.Sub(w.Arrived), w.Cost, q.waiters.Len()))
	q.e.traceDecision(now, pending.rq.id, "route", "chosen", describeChoice(c.Upstream))
	pending.result <- admission{upstream: c.Upstream}
	return true
}

// expire refuses a waiter that was not dispatched in time.
func (q *queue) expire(now time.Time, w *tier.Waiter) {
	pending := w.Owner.(*pendingRequest)
	if _, none := q.e.chooseUpstream(now, pending.requirements).(*route.NoneUsable); none {
		q.refuseWaiter(now, w, problem.NoUpstream, "no upstream was available within %v", pending.rq.class.MaxWait)
		return
	}
	q.refuseWaiter(now, w, problem.DeadlineExceeded, "no upstream had capacity within %v", pending.rq.class.MaxWait)
}

// chooseUpstream returns the routing decision for a request.
func (e *Entry) chooseUpstream(now time.Time, requirements route.Requirements) route.Decision {
	return route.Choose(now, e.deps.State.Rules(), e.upstreams, requirements)
}

// describeChoice describes the chosen upstream and its load, for the explain call.
func describeChoice(v *upstream.View) string {
	l := v.Load
	return fmt.Sprintf("upstream=%s data_centre=%s state=%s limit=%d running=%d waiting=%d", v.ID, v.DataCentre, l.State, l.Limit, l.Running, l.Waiting)
}
