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

// AnswerSample is what one finished answer shows.
type AnswerSample struct {
	Started, Ended time.Time

	FirstToken       time.Duration // zero: the answer was not streamed
	FirstTokenTarget time.Duration // for the first token; zero: none
	Gap              time.Duration // mean between tokens; zero: not streamed
	GapTarget        time.Duration // zero: none
	TimePerByte      time.Duration // of an answer that was not streamed; zero: streamed
	Failed           bool
}

// Limiter is a concurrency limit.
//
// It grows by half in each full round of answers until it is lowered for the first
// time, and by one in each round from then on, as long as answers are within
// their targets and tokens come about as fast as they did under little load. As it
// stops at growBelow times what the upstream bears, a round takes it to twice that
// at most. The
// second condition does not depend on the class, so that a loose target hides no
// trouble. Tokens that come much slower than that show an upstream that turned
// cold: the limit falls to its initial value at once. A failed or late answer
// halves the limit, once for all answers that ran at the time.
type Limiter struct {
	mu      sync.Mutex
	limits  Limits
	limit   float64
	running int
	gaps    gauge     // between tokens, in seconds
	plain   gauge     // a byte of an answer that was not streamed, in seconds
	slow    int       // samples in a row that showed a cold upstream
	lowered time.Time // last time the limit was lowered
	probed  bool      // it has been lowered since the incarnation began
}

const (
	decrease   = 0.5
	ease       = 0.9 // for answers whose tokens came too late
	lateFactor = 2   // an answer this many times its target lowers the limit

	growEach   = 0.5 // for each answer, until the limit is lowered for the first time
	growBelow  = 1.3 // times the baseline
	coldAbove  = 2.0
	coldPlain  = 3.0 // answers that were not streamed vary more
	slowInARow = 4   // samples
	warmFactor = 2   // times its initial limit at which an upstream is warm
)

// NewLimiter returns a limiter at its initial limit.
func NewLimiter(l Limits) *Limiter {
	return &Limiter{limits: l, limit: float64(l.Initial)}
}

// SetLimits changes the bounds. A limiter that was never used starts at the new
// initial limit.
func (l *Limiter) SetLimits(b Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lowered.IsZero() && l.gaps.samples+l.plain.samples == 0 {
		l.limit = float64(b.Initial)
	}
	l.limits = b
	l.limit = min(l.limit, float64(b.Max))
}

// Reset returns to the initial limit and forgets what was learnt: the upstream
// is a new incarnation.
func (l *Limiter) Reset(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gaps, l.plain = gauge{}, gauge{}
	l.fall(now)
	l.probed = false
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

// ObserveTokenGap notes the time between two tokens of a running answer.
func (l *Limiter) ObserveTokenGap(now time.Time, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gaps.observe(gap.Seconds(), l.idle())
	l.judge(now, &l.gaps, coldAbove)
}

// Release gives a slot back with the evidence of its answer.
func (l *Limiter) Release(e AnswerSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full := l.running >= int(l.limit)
	if e.TimePerByte > 0 && !e.Failed {
		l.plain.observe(e.TimePerByte.Seconds(), l.idle())
		l.judge(e.Ended, &l.plain, coldPlain)
	}
	l.running--
	late := e.FirstTokenTarget > 0 && e.FirstToken > lateFactor*e.FirstTokenTarget
	tooSlow := e.GapTarget > 0 && e.Gap > e.GapTarget
	switch {
	case e.Failed || late:
		l.lower(e, decrease)
	case tooSlow:
		l.lower(e, ease)
	case full && l.gaps.ratio() <= growBelow && l.plain.ratio() <= growBelow:
		l.limit = min(float64(l.limits.Max), l.limit+l.step())
	}
}

// step returns what one answer adds to the limit.
func (l *Limiter) step() float64 {
	if l.probed {
		return 1 / l.limit
	}
	return growEach
}

// lower multiplies the limit, unless it was lowered while the answer ran: what
// the answer shows may have been mended by that.
func (l *Limiter) lower(e AnswerSample, factor float64) {
	if e.Started.Before(l.lowered) {
		return
	}
	l.limit = max(1, l.limit*factor)
	l.lowered = e.Ended
	l.probed = true
}

// judge falls to the initial limit when a gauge shows an upstream that turned cold.
func (l *Limiter) judge(now time.Time, g *gauge, cold float64) {
	if g.ratio() < cold {
		l.slow = 0
		return
	}
	l.slow++
	if l.slow >= slowInARow && l.limit > float64(l.limits.Initial) {
		l.fall(now)
	}
}

func (l *Limiter) fall(now time.Time) {
	l.limit = float64(l.limits.Initial)
	l.lowered = now
	l.slow = 0
	l.probed = true
}

// idle reports whether the upstream has little to do.
func (l *Limiter) idle() bool { return l.running <= l.limits.Initial }

// Limit returns the requests that may run at once, and those that do.
func (l *Limiter) Limit() (limit, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit), l.running
}

// Warm reports whether the limit has grown well beyond its initial value.
func (l *Limiter) Warm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit >= float64(min(warmFactor*l.limits.Initial, l.limits.Max))
}
