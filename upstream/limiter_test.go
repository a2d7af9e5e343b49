package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
)

var epoch = time.Unix(1_800_000_000, 0)

// fakeEngine simulates an engine that generates tokens more slowly when it runs more
// requests than its capacity. It is driven in rounds at full load: in each round, as
// many requests start as the limit allows, and all of them end.
type fakeEngine struct {
	l           *Limiter
	now         time.Time
	capacity    float64 // requests at full speed
	slowness    float64 // factor on the time between tokens
	maxOverload float64 // highest ratio of running requests to capacity
}

const (
	baseGap         = 10 * time.Millisecond // time between tokens at full speed
	tokensPerAnswer = 40

	// rounds is enough for a limit to converge. Of the answers that end together,
	// only the first one counts as running at the limit.
	rounds = 300
)

func newFakeEngine(capacity float64) *fakeEngine {
	return &fakeEngine{l: NewLimiter(Limits{Initial: 2, Max: 16}), now: epoch, capacity: capacity, slowness: 1}
}

func (f *fakeEngine) round(t require.TestingT, gapTarget time.Duration) {
	started, n := f.now, 0
	for f.l.Acquire() {
		n++
	}
	limit, running := f.l.Limit()
	require.Equal(t, limit, running)
	f.maxOverload = max(f.maxOverload, float64(n)/f.capacity)
	gap := time.Duration(float64(baseGap) * f.slowness * max(1, float64(n)/f.capacity))
	for range tokensPerAnswer {
		f.now = f.now.Add(gap)
		for range n {
			f.l.ObserveTokenGap(f.now, gap)
		}
	}
	for range n {
		f.l.Release(AnswerSample{Started: started, Ended: f.now, FirstToken: gap, Gap: gap, GapTarget: gapTarget})
	}
}

// TestColdUpstreamUnderFullLoad checks that an engine that starts cold and warms up under
// load is not overloaded meanwhile, with a target so loose that it would hide the
// overload.
func TestColdUpstreamUnderFullLoad(t *testing.T) {
	f := newFakeEngine(4)
	for range rounds {
		f.round(t, time.Minute)
		f.capacity = min(16, f.capacity+0.06)
	}
	limit, _ := f.l.Limit()
	require.Equal(t, 16, limit)
	require.Less(t, f.maxOverload, 1.5)
	require.True(t, f.l.Warm())
}

// TestUpstreamStaysCold checks that the limit of an engine that does not warm up stays
// near its capacity.
func TestUpstreamStaysCold(t *testing.T) {
	f := newFakeEngine(4)
	for range rounds {
		f.round(t, time.Minute)
	}
	require.Less(t, f.maxOverload, 1.6)
}

// TestUpstreamTurnsCold checks that the limit of a warm engine that turns cold falls to
// its initial value within one token of each running answer.
func TestUpstreamTurnsCold(t *testing.T) {
	f := newFakeEngine(16)
	for range rounds {
		f.round(t, time.Minute)
	}
	require.True(t, f.l.Warm())
	gap := 4 * baseGap // 16 requests run at a capacity of 4
	for n := 1; f.l.Warm(); n++ {
		require.LessOrEqual(t, n, 16, "one token of each running answer must suffice")
		f.l.ObserveTokenGap(f.now, gap)
	}
	limit, _ := f.l.Limit()
	require.Equal(t, 2, limit)
}

// TestSlowUpstream checks that an engine at a quarter of its speed stays in use, with a
// limit that fits its targets.
func TestSlowUpstream(t *testing.T) {
	for _, c := range []struct {
		name     string
		target   time.Duration
		minLimit int
		maxLimit int
	}{
		{"tight target", 30 * time.Millisecond, 1, 3},
		{"loose target", 200 * time.Millisecond, 2, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeEngine(16)
			for range rounds {
				f.round(t, c.target)
			}
			f.slowness = 4
			for range rounds {
				f.round(t, c.target)
			}
			limit, _ := f.l.Limit()
			require.GreaterOrEqual(t, limit, c.minLimit)
			require.LessOrEqual(t, limit, c.maxLimit)
		})
	}
}

// TestLimiterInvariants runs random calls and checks that no more requests run than the
// limit allowed when they started, that the limit stays within its bounds, and that it
// equals the limit that the reference implementation computes.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Limits{Initial: rapid.IntRange(1, 4).Draw(t, "initial"), Max: rapid.IntRange(4, 32).Draw(t, "max")}
		l := NewLimiter(bounds)
		reference := &referenceLimiter{limits: bounds}
		now := epoch
		var started []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				limit, running := l.Limit()
				require.Equal(t, running < limit, l.Acquire())
				if running < limit {
					started = append(started, now)
				}
			case 2:
				gap := time.Duration(rapid.IntRange(5, 60).Draw(t, "gap")) * time.Millisecond
				l.ObserveTokenGap(now, gap)
				reference.events = append(reference.events, event{now: now, running: len(started), gap: gap})
			case 3:
				if len(started) == 0 {
					continue
				}
				sample := AnswerSample{
					Started: started[0], Ended: now, FirstToken: time.Duration(rapid.IntRange(1, 30).Draw(t, "ttft")) * time.Millisecond,
					FirstTokenTarget: 10 * time.Millisecond, Failed: rapid.IntRange(0, 9).Draw(t, "failed") == 0,
				}
				reference.events = append(reference.events, event{now: now, running: len(started), answer: &sample})
				started = started[1:]
				l.Release(sample)
			}
			limit, running := l.Limit()
			require.Equal(t, len(started), running)
			require.True(t, limit >= 1 && limit <= bounds.Max)
			require.Equal(t, reference.limit(), limit)
		}
	})
}

// referenceLimiter recomputes the limit from the whole history of events.
type referenceLimiter struct {
	limits Limits
	events []event
}

// event is a call of ObserveTokenGap, or of Release if answer is set.
type event struct {
	now     time.Time
	running int
	gap     time.Duration
	answer  *AnswerSample
}

func (r *referenceLimiter) limit() int {
	limit, lastLowered, coldSamples := float64(r.limits.Initial), time.Time{}, 0
	slowStart := true
	for i, e := range r.events {
		slowdown := r.slowdown(r.events[:i+1])
		if e.answer == nil {
			coldSamples++
			if slowdown < coldSlowdown {
				coldSamples = 0
			}
			if coldSamples >= coldSampleCount && limit > float64(r.limits.Initial) {
				limit, lastLowered, coldSamples, slowStart = float64(r.limits.Initial), e.now, 0, false
			}
			continue
		}
		switch failedOrLate := e.answer.Failed || e.answer.FirstToken > 2*e.answer.FirstTokenTarget; {
		case failedOrLate && !e.answer.Started.Before(lastLowered):
			limit, lastLowered, slowStart = max(1, limit/2), e.now, false
		case !failedOrLate && e.running >= int(limit) && slowdown <= maxGrowthSlowdown && slowStart:
			limit = min(float64(r.limits.Max), limit+0.5)
		case !failedOrLate && e.running >= int(limit) && slowdown <= maxGrowthSlowdown:
			limit = min(float64(r.limits.Max), limit+1/limit)
		}
	}
	return int(limit)
}

// slowdown recomputes the slowdown from the token gaps among the events.
func (r *referenceLimiter) slowdown(events []event) float64 {
	samples, average, baseline := 0, 0.0, 0.0
	for _, e := range events {
		if e.answer != nil {
			continue
		}
		x := e.gap.Seconds()
		samples++
		if samples == 1 {
			average, baseline = x, x
			continue
		}
		if samples > minSamples {
			x = min(x, outlierFactor*baseline)
		}
		average += (x - average) / 8
		weight := 0.0
		switch {
		case samples <= minSamples:
			weight = 1.0 / 8
		case average < baseline:
			weight = 1.0 / 32
		case e.running <= r.limits.Initial:
			weight = 1.0 / 128
		}
		baseline += weight * (average - baseline)
	}
	if samples <= minSamples {
		return 1
	}
	return average / baseline
}
