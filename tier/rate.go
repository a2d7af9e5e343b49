package tier

// This file defines window, a sum over a sliding window, rate, the measured rate
// of dispatches of a queue, and the shedding that follows from it.

import "time"

const (
	bucketWidth = time.Second
	buckets     = 10

	minServed  = 16              // dispatches before the rate counts as known
	minBacklog = 2 * time.Second // of waiting in the window before the rate counts as known
	rateMargin = 1.5             // the rate may rise by this factor before a waiter starts
)

// window is a sum over the last buckets.
type window struct {
	sums  [buckets]int64
	whole int64
	last  int64 // bucket number
}

func (w *window) add(now time.Time, x int64) {
	w.turn(now)
	w.sums[w.last%buckets] += x
	w.whole += x
}

// total returns the sum over the window.
func (w *window) total(now time.Time) int64 {
	w.turn(now)
	return w.whole
}

// turn drops the buckets that have left the window.
func (w *window) turn(now time.Time) {
	n := now.UnixNano() / int64(bucketWidth)
	if n <= w.last {
		return
	}
	if n-w.last >= buckets {
		*w = window{last: n}
		return
	}
	for w.last < n {
		w.last++
		w.whole -= w.sums[w.last%buckets]
		w.sums[w.last%buckets] = 0
	}
}

// rate measures dispatches over the time in which someone waited. While someone
// waits, dispatches follow completions one for one.
type rate struct {
	dispatches window
	backlog    window // nanoseconds
	since      time.Time
	waiting    bool
}

// resume notes that someone waits again.
func (r *rate) resume(now time.Time) { r.since, r.waiting = now, true }

// pause notes that no one waits any more.
func (r *rate) pause(now time.Time) {
	r.account(now)
	r.waiting = false
}

// account adds the time since the last call to the buckets that it covers.
func (r *rate) account(now time.Time) {
	if !r.waiting || !now.After(r.since) {
		return
	}
	if oldest := now.Add(-buckets * bucketWidth); r.since.Before(oldest) {
		r.since = oldest
	}
	for r.since.Before(now) {
		end := time.Unix(0, r.since.UnixNano()).Truncate(bucketWidth).Add(bucketWidth)
		if end.After(now) {
			end = now
		}
		r.backlog.add(r.since, int64(end.Sub(r.since)))
		r.since = end
	}
}

func (r *rate) served(now time.Time) {
	r.account(now)
	r.dispatches.add(now, 1)
}

// perSecond returns the rate; it reports false while too little has been seen.
func (r *rate) perSecond(now time.Time) (perSecond float64, known bool) {
	r.account(now)
	served, backlog := r.dispatches.total(now), time.Duration(r.backlog.total(now))
	if served < minServed || backlog < minBacklog {
		return 0, false
	}
	return float64(served) / backlog.Seconds(), true
}

// hopeless reports whether w cannot start in time even if the queue is served
// faster by rateMargin than measured.
func (q *Queue) hopeless(now time.Time, w *Waiter) (Infeasible, bool) {
	perSecond, known := q.rate.perSecond(now)
	if !known {
		return Infeasible{}, false
	}
	each := time.Duration(float64(time.Second) / (perSecond * rateMargin))
	left := w.StartBy.Sub(now)
	if time.Duration(q.ahead(w))*each <= left { // no need to look at each
		return Infeasible{}, false
	}
	wait := q.leastWait(now, w, each)
	return Infeasible{MinWait: wait}, wait > left
}

// ahead returns the number of waiters of higher tiers, and of older ones of the
// same class and workspace.
func (q *Queue) ahead(w *Waiter) int {
	n := q.olderInFlow(w)
	for t := range w.Tier {
		n += q.tiers[t].length
	}
	return n
}

// leastWait returns when w starts at the earliest if one waiter is dispatched in
// each period. Only those delay it that will certainly be dispatched before it:
// the waiters of higher tiers that do not expire before it does, and the older
// ones of its class and workspace that do not expire before their turn. It looks
// at every one of these.
func (q *Queue) leastWait(now time.Time, w *Waiter, each time.Duration) time.Duration {
	wait := time.Duration(0)
	for t := range w.Tier {
		for _, o := range q.tiers[t].expiries {
			if !o.StartBy.Before(w.StartBy) {
				wait += each
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
			wait += each
		}
	}
	return wait
}

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

// ShedInfeasible removes and returns one waiter that can no longer start in time,
// or nil. The newest of the lowest tier is looked at first.
func (q *Queue) ShedInfeasible(now time.Time) (*Waiter, Infeasible) {
	for t := Count - 1; t >= 0; t-- {
		w := q.tiers[t].newest
		if w == nil {
			continue
		}
		if h, ok := q.hopeless(now, w); ok {
			q.Remove(now, w)
			return w, h
		}
	}
	return nil, Infeasible{}
}

// ExpectedWait estimates when a queue of the present length is served; it is the
// advice for Retry-After.
func (q *Queue) ExpectedWait(now time.Time) (time.Duration, bool) {
	perSecond, known := q.rate.perSecond(now)
	if !known {
		return 0, false
	}
	return seconds(float64(q.length) / perSecond), true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
