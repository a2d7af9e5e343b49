package tier

// This file defines slidingSum, a sum over a sliding time window, dispatchRate,
// the measured dispatch rate of a queue, and the load shedding that is based on
// the rate.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/clock"
)

const (
	bucketWidth = time.Second
	bucketCount = 10

	minDispatches  = 16              // dispatches in the window before the rate counts as known
	minBacklogTime = 2 * time.Second // backlog time in the window before the rate counts as known
	rateMargin     = 1.5             // factor by which the rate is assumed to rise while a waiter is queued
)

// slidingSum adds up values over the last bucketCount buckets of bucketWidth.
type slidingSum struct {
	buckets    [bucketCount]int64
	sum        int64
	lastBucket int64 // number of the newest bucket, as of bucketOf
}

// bucketOf returns the number of the bucket of a time. Buckets follow the monotonic clock.
func bucketOf(t time.Time) int64 { return int64(clock.InstantOf(t)) / int64(bucketWidth) }

// untilNextBucket returns the time from t to the end of its bucket.
func untilNextBucket(t time.Time) time.Duration {
	return bucketWidth - time.Duration(clock.InstantOf(t))%bucketWidth
}

func (w *slidingSum) add(now time.Time, x int64) {
	w.advance(now)
	w.buckets[w.lastBucket%bucketCount] += x
	w.sum += x
}

// total returns the sum over the window that ends at now.
func (w *slidingSum) total(now time.Time) int64 {
	w.advance(now)
	return w.sum
}

// advance drops the buckets that have left the window.
func (w *slidingSum) advance(now time.Time) {
	bucket := bucketOf(now)
	if bucket <= w.lastBucket {
		return
	}
	if bucket-w.lastBucket >= bucketCount {
		*w = slidingSum{lastBucket: bucket}
		return
	}
	for w.lastBucket < bucket {
		w.lastBucket++
		w.sum -= w.buckets[w.lastBucket%bucketCount]
		w.buckets[w.lastBucket%bucketCount] = 0
	}
}

// dispatchRate measures dispatches per second of backlog time, the time during
// which the queue was not empty. While a request waits, each completion at an
// upstream leads to one dispatch, so this is also the service rate.
type dispatchRate struct {
	dispatches     slidingSum
	backlogTime    slidingSum // nanoseconds
	accountedUntil time.Time
	backlogged     bool
}

// start begins a backlog period: the queue is no longer empty.
func (r *dispatchRate) start(now time.Time) { r.accountedUntil, r.backlogged = now, true }

// stop ends the backlog period: the queue is empty.
func (r *dispatchRate) stop(now time.Time) {
	r.addBacklogTime(now)
	r.backlogged = false
}

// addBacklogTime adds the time since accountedUntil to the buckets that it covers, if a
// backlog period has begun.
func (r *dispatchRate) addBacklogTime(now time.Time) {
	if !r.backlogged || !now.After(r.accountedUntil) {
		return
	}
	if oldest := now.Add(-bucketCount * bucketWidth); r.accountedUntil.Before(oldest) {
		r.accountedUntil = oldest
	}
	for r.accountedUntil.Before(now) {
		end := r.accountedUntil.Add(untilNextBucket(r.accountedUntil))
		if end.After(now) {
			end = now
		}
		r.backlogTime.add(r.accountedUntil, int64(end.Sub(r.accountedUntil)))
		r.accountedUntil = end
	}
}

// countDispatch adds one dispatch to the rate.
func (r *dispatchRate) countDispatch(now time.Time) {
	r.addBacklogTime(now)
	r.dispatches.add(now, 1)
}

// perSecond returns the dispatches per second. It reports false until the window
// has at least minDispatches dispatches and minBacklogTime of backlog time.
func (r *dispatchRate) perSecond(now time.Time) (perSecond float64, known bool) {
	r.addBacklogTime(now)
	count, backlogTime := r.dispatches.total(now), time.Duration(r.backlogTime.total(now))
	if count < minDispatches || backlogTime < minBacklogTime {
		return 0, false
	}
	return float64(count) / backlogTime.Seconds(), true
}

// infeasible reports whether w cannot be dispatched by its StartBy, even if the
// queue is served rateMargin times as fast as measured.
func (q *Queue) infeasible(now time.Time, w *Waiter) (Infeasible, bool) {
	perSecond, known := q.dispatchRate.perSecond(now)
	if !known {
		return Infeasible{}, false
	}
	interval := time.Duration(float64(time.Second) / (perSecond * rateMargin))
	remaining := w.StartBy.Sub(now)
	if time.Duration(q.countAhead(w))*interval <= remaining { // an upper bound of minWait that is cheap to compute
		return Infeasible{}, false
	}
	wait := q.minWait(now, w, interval)
	return Infeasible{MinWait: wait}, wait > remaining
}

// countAhead returns the number of waiters in higher tiers plus the number of
// older waiters of the same class and workspace.
func (q *Queue) countAhead(w *Waiter) int {
	n := q.olderInFlow(w)
	for t := range w.Tier {
		n += q.tiers[t].length
	}
	return n
}

// minWait returns the shortest time until w can be dispatched if one waiter is
// dispatched per interval. It counts only waiters that are certain to go first:
// those of higher tiers that do not expire before w, and older ones of the same
// class and workspace that do not expire before they can be dispatched. Its cost
// is linear in the number of both.
func (q *Queue) minWait(now time.Time, w *Waiter, interval time.Duration) time.Duration {
	wait := time.Duration(0)
	for t := range w.Tier {
		for _, o := range q.tiers[t].expiryHeap {
			if !o.StartBy.Before(w.StartBy) {
				wait += interval
			}
		}
	}
	older := q.olderInFlow(w)
	if older == 0 {
		return wait
	}
	f := q.classes[w.Class].flows[w.Workspace]
	for _, o := range f.waiters[f.head : f.head+older] {
		if o.StartBy.After(now.Add(wait)) {
			wait += interval
		}
	}
	return wait
}

// olderInFlow returns the number of waiters of w's class and workspace that are
// older than w.
func (q *Queue) olderInFlow(w *Waiter) int {
	c := q.classes[w.Class]
	if c == nil {
		return 0
	}
	f := c.flows[w.Workspace]
	if f == nil {
		return 0
	}
	return f.index(w) - f.head
}

// ShedInfeasible removes and returns one waiter that can no longer be dispatched
// by its StartBy, or nil. It tests the newest waiter of each tier, lowest tier
// first.
func (q *Queue) ShedInfeasible(now time.Time) (*Waiter, Infeasible) {
	for t := Count - 1; t >= 0; t-- {
		w := q.tiers[t].newest
		if w == nil {
			continue
		}
		if result, ok := q.infeasible(now, w); ok {
			q.Remove(now, w)
			return w, result
		}
	}
	return nil, Infeasible{}
}

// ExpectedWait estimates the time to dispatch all current waiters, for use in
// Retry-After. It reports false while the dispatch rate is not known.
func (q *Queue) ExpectedWait(now time.Time) (time.Duration, bool) {
	perSecond, known := q.dispatchRate.perSecond(now)
	if !known {
		return 0, false
	}
	return seconds(float64(q.length) / perSecond), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
