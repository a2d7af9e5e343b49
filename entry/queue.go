package entry

// This file defines queue, which dispatches the requests of one model or service
// to upstreams with room, highest tier first.

import (
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
	maxRetryAfter = time.Minute
	sweepEvery    = 500 * time.Millisecond // between looks for hopeless waiters
	maxSweep      = 64                     // waiters refused as hopeless in one sweep
)

// target is what requests queue for: a model or a service.
type target struct {
	model   id.Model
	service id.Service
}

// queues holds one queue for each target.
type queues struct {
	e  *Entry
	mu sync.Mutex
	by map[target]*queue
}

func newQueues(e *Entry) *queues {
	return &queues{e: e, by: make(map[target]*queue)}
}

func (s *queues) of(t target) *queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.by[t]
	if q == nil {
		q = &queue{e: s.e, waiters: tier.NewQueue(tier.DefaultConfig()), wake: make(chan struct{}, 1)}
		s.by[t] = q
	}
	return q
}

// queue is the waiting requests of one target. While any wait, one goroutine
// dispatches them as capacity changes.
type queue struct {
	e    *Entry
	wake chan struct{} // a waiter expires before the next look

	mu      sync.Mutex
	waiters *tier.Queue
	serving bool
	next    time.Time // of the serving goroutine's look at the queue
	swept   time.Time
}

// push adds t, or refuses it, and dispatches what can be.
func (q *queue) push(now time.Time, t *ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &t.waiter
	switch a := q.waiters.Push(now, w).(type) {
	case tier.Queued:
	case tier.Displaced:
		q.refuseWaiter(now, a.Waiter, a.Reason(w), "full queue, displaced by tier %v", w.Tier)
	case tier.Full:
		q.refuseWaiter(now, w, problem.QueueFull, "full queue of equal and higher tiers")
		return
	case tier.Infeasible:
		q.refuseWaiter(now, w, problem.DeadlineHopeless, "would wait at least %v, has %v", a.MinWait, w.StartBy.Sub(now))
		return
	}
	q.look(now)
	if q.waiters.Len() == 0 {
		return
	}
	if !q.serving {
		q.serving = true
		go q.serve()
		return
	}
	if w.Waiting() && w.StartBy.Before(q.next) {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
}

// leave takes out the ticket of a caller that has left. If it was dispatched in
// the meantime, the upstream is released.
func (q *queue) leave(now time.Time, t *ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiters.Remove(now, &t.waiter) {
		return
	}
	select {
	case o := <-t.outcome:
		if o.upstream != nil {
			q.e.upstreams.RequestEnded(o.upstream.ID)
		}
	default:
	}
}

// serve looks at the queue whenever capacity changes or a waiter expires, until
// no one waits.
func (q *queue) serve() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := q.e.upstreams.Changed() // before the look, so that no change is missed
		next, more := q.lookAgain(time.Now())
		if !more {
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

// lookAgain returns when the queue is to be looked at next; more is false if no
// one waits and serving has ended.
func (q *queue) lookAgain(now time.Time) (next time.Time, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.look(now)
	if q.waiters.Len() == 0 {
		q.serving = false
		return next, false
	}
	q.next = now.Add(sweepEvery)
	if by := q.waiters.NextExpiry(); by.Before(q.next) {
		q.next = by
	}
	return q.next, true
}

// look refuses those whose time is over and dispatches the others while there is
// room.
func (q *queue) look(now time.Time) {
	for w := q.waiters.PopExpired(now); w != nil; w = q.waiters.PopExpired(now) {
		q.expire(now, w)
	}
	if now.Sub(q.swept) >= sweepEvery {
		q.swept = now
		q.sweep(now)
	}
	for {
		w, reason := tier.Selected(q.waiters.Next(now))
		if w == nil || !q.dispatch(now, w, reason) {
			return
		}
	}
}

// sweep refuses those that can no longer start in time.
func (q *queue) sweep(now time.Time) {
	for range maxSweep {
		w, h := q.waiters.ShedInfeasible(now)
		if w == nil {
			return
		}
		q.refuseWaiter(now, w, problem.DeadlineHopeless, "would wait at least %v, has %v", h.MinWait, w.StartBy.Sub(now))
	}
}

// dispatch gives the waiter an upstream; it reports false if none has room. A
// waiter whose key was withdrawn meanwhile is refused.
func (q *queue) dispatch(now time.Time, w *tier.Waiter, reason string) bool {
	t := w.Owner.(*ticket)
	if _, err := q.e.deps.State.Keys.Find(t.rq.key.ID); err != nil {
		q.waiters.Remove(now, w)
		p := keyProblem(err)
		q.e.decide(now, t.rq.id, "admit", string(p.Reason), p.Detail)
		t.outcome <- outcome{problem: p}
		return true
	}
	c, ok := q.e.choose(now, t.ask).(route.Chosen)
	if !ok {
		return false
	}
	q.waiters.Dispatch(now, w)
	q.e.upstreams.RequestSent(c.Upstream.ID)
	q.e.count("dispatched_" + reason)
	q.e.decide(now, t.rq.id, "admit", reason, fmt.Sprintf("tier=%v waited=%v cost=%d queue=%d", w.Tier, now.Sub(w.Arrived), w.Cost, q.waiters.Len()))
	q.e.decide(now, t.rq.id, "route", "chosen", chosen(c.Upstream))
	t.outcome <- outcome{upstream: c.Upstream}
	return true
}

// expire refuses a waiter that found no room in time.
func (q *queue) expire(now time.Time, w *tier.Waiter) {
	t := w.Owner.(*ticket)
	if _, none := q.e.choose(now, t.ask).(*route.NoneUsable); none {
		q.refuseWaiter(now, w, problem.NoUpstream, "no upstream within %v", t.rq.class.MaxWait)
		return
	}
	q.refuseWaiter(now, w, problem.DeadlineExceeded, "no upstream had room within %v", t.rq.class.MaxWait)
}

// choose returns the upstream for a request now.
func (e *Entry) choose(now time.Time, ask route.Requirements) route.Decision {
	return route.Choose(now, e.deps.State.Rules(), e.upstreams, ask)
}

// chosen returns what a choice rested on, for explain.
func chosen(v *upstream.View) string {
	l := v.Load
	return fmt.Sprintf("upstream=%s data_centre=%s state=%s limit=%d running=%d waiting=%d", v.ID, v.DataCentre, l.State, l.Limit, l.Running, l.Waiting)
}
