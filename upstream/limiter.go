package upstream

// This file defines Limiter, an adaptive limit on the number of concurrent requests at
// one upstream. It starts low, grows while samples show normal latency, and is lowered
// at once when latency rises.

import (
	"sync"
	"time"
)

// Limits holds the bounds of a Limiter, in concurrent requests.
type Limits struct {
	Initial int // limit of a new incarnation
	Max     int
}

// AnswerSample holds the measurements of one finished answer.
type AnswerSample struct {
	Started, Ended time.Time

	FirstToken       time.Duration // time to first token; zero: the answer was not streamed
	FirstTokenTarget time.Duration // zero: none
	Gap              time.Duration // mean time between tokens; zero: not streamed
	GapTarget        time.Duration // zero: none
	TimePerByte      time.Duration // of an answer that was not streamed; zero: streamed
	Failed           bool          // the upstream failed to answer; not set if the request was cancelled
}

// Limiter is an adaptive concurrency limit.
//
// In each round of as many answers as the limit, the limit grows by half until it is
// lowered for the first time (slow start), and by one from then on. It grows only while
// answers are within their targets and the slowdown against light load is at most
// maxGrowthSlowdown. Growth stops at maxGrowthSlowdown times the capacity of the
// upstream, so the last round takes the limit to at most twice the capacity. The second
// condition does not depend on the class, so that a loose target cannot hide an
// overload. A much larger slowdown means that the upstream has turned cold, and the
// limit falls to its initial value at once. A failed or late answer halves the limit,
// and an answer above its GapTarget lowers it by a tenth, in both cases once for all
// answers that were running at the time.
type Limiter struct {
	mu            sync.Mutex
	limits        Limits
	limit         float64
	running       int           // requests
	tokenGaps     slowdownGauge // time between tokens, in seconds
	byteTimes     slowdownGauge // time per byte of answers that were not streamed, in seconds
	coldSamples   int           // consecutive samples that showed a cold upstream
	lastLowered   time.Time
	slowStartDone bool // the limit has been lowered in this incarnation
}

const (
	failureFactor    = 0.5 // for the limit, after a failed or late answer
	slowTokensFactor = 0.9 // for the limit, after an answer above its GapTarget
	lateFactor       = 2   // multiple of FirstTokenTarget above which an answer is late

	slowStartStep          = 0.5 // growth per answer until the limit is lowered for the first time
	maxGrowthSlowdown      = 1.3 // largest slowdown at which the limit grows
	coldSlowdown           = 2.0 // slowdown that shows a cold upstream
	coldSlowdownUnstreamed = 3.0 // higher, because answers that are not streamed vary more
	coldSampleCount        = 4   // consecutive samples after which an upstream counts as cold
	warmFactor             = 2   // multiple of the initial limit at which an upstream is warm
)

// NewLimiter returns a limiter at its initial limit.
func NewLimiter(l Limits) *Limiter {
	return &Limiter{limits: l, limit: float64(l.Initial)}
}

// SetLimits changes the bounds. A limiter that was never used starts at the new
// initial limit.
func (l *Limiter) SetLimits(bounds Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastLowered.IsZero() && l.tokenGaps.samples+l.byteTimes.samples == 0 {
		l.limit = float64(bounds.Initial)
	}
	l.limits = bounds
	l.limit = min(l.limit, float64(bounds.Max))
}

// Reset returns to the initial limit and discards all measurements, for a new
// incarnation of the upstream.
func (l *Limiter) Reset(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokenGaps, l.byteTimes = slowdownGauge{}, slowdownGauge{}
	l.resetLimit(now)
	l.slowStartDone = false
}

// Acquire starts a request if the limit allows it, and reports whether it does.
func (l *Limiter) Acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running >= int(l.limit) {
		return false
	}
	l.running++
	return true
}

// ObserveTokenGap records the time between two tokens of a running answer.
func (l *Limiter) ObserveTokenGap(now time.Time, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokenGaps.observe(gap.Seconds(), l.lightLoad())
	l.checkCold(now, &l.tokenGaps, coldSlowdown)
}

// Release ends a request that Acquire started and adapts the limit to its sample.
func (l *Limiter) Release(sample AnswerSample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	atLimit := l.running >= int(l.limit)
	if sample.TimePerByte > 0 && !sample.Failed {
		l.byteTimes.observe(sample.TimePerByte.Seconds(), l.lightLoad())
		l.checkCold(sample.Ended, &l.byteTimes, coldSlowdownUnstreamed)
	}
	l.running--
	late := sample.FirstTokenTarget > 0 && sample.FirstToken > lateFactor*sample.FirstTokenTarget
	tooSlow := sample.GapTarget > 0 && sample.Gap > sample.GapTarget
	switch {
	case sample.Failed || late:
		l.lower(sample, failureFactor)
	case tooSlow:
		l.lower(sample, slowTokensFactor)
	case atLimit && l.tokenGaps.slowdown() <= maxGrowthSlowdown && l.byteTimes.slowdown() <= maxGrowthSlowdown:
		l.limit = min(float64(l.limits.Max), l.limit+l.growthStep())
	}
}

// growthStep returns the amount by which one answer raises the limit.
func (l *Limiter) growthStep() float64 {
	if l.slowStartDone {
		return 1 / l.limit
	}
	return slowStartStep
}

// lower multiplies the limit by factor, unless it was already lowered while the answer
// ran, because that may have fixed what the sample shows.
func (l *Limiter) lower(sample AnswerSample, factor float64) {
	if sample.Started.Before(l.lastLowered) {
		return
	}
	l.limit = max(1, l.limit*factor)
	l.lastLowered = sample.Ended
	l.slowStartDone = true
}

// checkCold resets the limit after coldSampleCount consecutive samples whose slowdown
// reached the threshold.
func (l *Limiter) checkCold(now time.Time, g *slowdownGauge, threshold float64) {
	if g.slowdown() < threshold {
		l.coldSamples = 0
		return
	}
	l.coldSamples++
	if l.coldSamples >= coldSampleCount && l.limit > float64(l.limits.Initial) {
		l.resetLimit(now)
	}
}

// resetLimit sets the limit to its initial value.
func (l *Limiter) resetLimit(now time.Time) {
	l.limit = float64(l.limits.Initial)
	l.lastLowered = now
	l.coldSamples = 0
	l.slowStartDone = true
}

// lightLoad reports whether at most the initial number of requests is running.
func (l *Limiter) lightLoad() bool { return l.running <= l.limits.Initial }

// Limit returns the concurrency limit and the number of running requests.
func (l *Limiter) Limit() (limit, running int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.limit), l.running
}

// Warm reports whether the limit has grown to warmFactor times its initial value, or to
// its maximum.
func (l *Limiter) Warm() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit >= float64(min(warmFactor*l.limits.Initial, l.limits.Max))
}
