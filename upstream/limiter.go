package upstream

// This file defines Limiter, the number of requests that may run at once on one
// upstream: low at first, higher on evidence, lower at once when latency rises.

import (
	"sync"
	"time"
)

// Limits bound a Limiter.
type Limits struct {
	Initial int // of a new incarnation
	Max     int
}

// Evidence is what one finished answer shows.
type Evidence struct {
	FirstToken time.Duration
	Target     time.Duration // for the first token; zero: none
	Failed     bool
}

// Limiter is a concurrency limit. It grows by one for each full round of answers
// within their target and halves on an answer far outside it.
type Limiter struct {
	mu      sync.Mutex
	limits  Limits
	limit   float64
	running int
}

const (
	decrease   = 0.5
	lateFactor = 2 // an answer this many times its target lowers the limit
)

// NewLimiter returns a limiter at its initial limit.
func NewLimiter(l Limits) *Limiter {
	return &Limiter{limits: l, limit: float64(l.Initial)}
}

// SetLimits changes the bounds.
func (l *Limiter) SetLimits(b Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = b
	l.limit = min(l.limit, float64(b.Max))
}

// Acquire takes a slot if one is free.
func (l *Limiter) Acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= int(l.limit) {
		return false
	}
	l.running++
	return true
}

// Release gives a slot back with the evidence of its answer.
func (l *Limiter) Release(e Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	late := e.Target > 0 && e.FirstToken > lateFactor*e.Target
	switch {
	case e.Failed || late:
		l.limit = max(1, l.limit*decrease)
	case l.running+1 >= int(l.limit): // evidence only counts at the limit
		l.limit = min(float64(l.limits.Max), l.limit+1/l.limit)
	}
}

// Limit returns the requests that may run at once, and those that do.
func (l *Limiter) Limit() (limit, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit), l.running
}
