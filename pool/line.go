package pool

// This file defines line, the requests that wait for a slot of the upstreams of a service, when
// none takes requests without one.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxSlotInterval bounds the time between two slots of which a line takes notice.
	maxSlotInterval = 10 * time.Second
	// maxReturnSpread bounds how far the times are spread at which refused callers are told to
	// return.
	maxReturnSpread = 10 * time.Second
)

// line holds the requests that wait, the most urgent first, and of equal urgency the first to
// arrive.
type line struct {
	waiting []*Request
	returns returnTimes
}

// returnTimes spreads the times at which refused callers are to return.
type returnTimes struct{ last time.Time }

// next returns when the next caller is to return: at a time at the earliest, and an interval after
// the caller before it. Beyond maxReturnSpread, it is a random time in the last part of that, which
// is as long as spread.
func (r *returnTimes) next(now, earliest time.Time, interval, spread time.Duration, random *rand.Rand) time.Time {
	returnAt := earliest
	if next := r.last.Add(interval); next.After(returnAt) {
		returnAt = next
	}
	if latest := now.Add(maxReturnSpread); returnAt.After(latest) {
		return latest.Add(-time.Duration(random.Float64() * float64(spread)))
	}
	r.last = returnAt
	return returnAt
}

// compareRequests orders requests in a line.
func compareRequests(a, b *Request) int {
	return cmp.Or(cmp.Compare(a.Urgency, b.Urgency), a.ArrivedAt.Compare(b.ArrivedAt))
}

// ahead returns how many waiting requests go before one.
func (l *line) ahead(rq *Request) int {
	if i := slices.Index(l.waiting, rq); i >= 0 {
		return i
	}
	i, _ := slices.BinarySearchFunc(l.waiting, rq, compareRequests)
	for i < len(l.waiting) && compareRequests(l.waiting[i], rq) == 0 {
		i++
	}
	return i
}

// leave removes a request.
func (l *line) leave(rq *Request) {
	if i := slices.Index(l.waiting, rq); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}

// Wait makes a request wait in line for the next slots, until Choose assigns it or Leave is called. It
// may be called again.
func (p *Pool) Wait(rq *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.line(rq); !slices.Contains(l.waiting, rq) {
		l.waiting = slices.Insert(l.waiting, l.ahead(rq), rq)
	}
}

// Refuse ends the wait of a request that cannot wait for its turn, and returns when its caller is to
// return. Callers that are refused one after the other because of limits are told different times, as
// far as maxReturnSpread allows. Upstreams are cold for a few seconds only, after which none need wait.
func (p *Pool) Refuse(now time.Time, rq *Request, t *Throttled) time.Time {
	p.Leave(rq)
	if !t.Limited {
		return t.Until
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.line(rq).returns.next(now, t.Until, t.Interval, maxReturnSpread-min(t.Interval, maxReturnSpread), p.rand)
}

// Leave ends the wait of a request that is given up.
func (p *Pool) Leave(rq *Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.lines[rq.Service]; l != nil {
		l.leave(rq)
	}
}

// line returns the line of a service. The caller holds the lock.
func (p *Pool) line(rq *Request) *line {
	l := p.lines[rq.Service]
	if l == nil {
		l = new(line)
		p.lines[rq.Service] = l
	}
	return l
}

// waitInLine returns that a request waits, unless it may be assigned now or no upstream will accept it.
// The caller holds the lock.
func (p *Pool) waitInLine(now time.Time, rq *Request, found *choices) *Throttled {
	l := p.lines[rq.Service]
	if len(found.upstreams) > found.paced || len(found.upstreams) == 0 && found.retryAt.IsZero() {
		if l != nil {
			l.leave(rq)
		}
		return nil
	}
	if found.rate == 0 {
		return &Throttled{Until: found.retryAt}
	}
	l = p.line(rq)
	behind := l.ahead(rq) - len(found.upstreams)
	if behind < 0 {
		l.leave(rq)
		return nil
	}
	interval := time.Duration(min(float64(time.Second)/found.rate, float64(maxSlotInterval)))
	until := found.retryAt
	if until.IsZero() {
		until = now.Add(interval)
	}
	return &Throttled{Until: until.Add(interval * time.Duration(behind)), Interval: interval, Limited: found.limited}
}
