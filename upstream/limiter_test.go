package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
)

var t0 = time.Unix(1_800_000_000, 0)

// fake is an engine whose tokens slow down beyond what it bears, driven in rounds
// at full load: each round every running answer ends and the free slots are taken.
type fake struct {
	l        *Limiter
	now      time.Time
	bears    float64
	slowness float64
	overload float64 // highest running for what it bears
}

const (
	fakeGap   = 10 * time.Millisecond
	perAnswer = 40 // tokens

	// rounds is enough for a limit to settle: of the answers that end together,
	// only the first counts as one that ran at the limit.
	rounds = 300
)

func newFake(bears float64) *fake {
	return &fake{l: NewLimiter(Limits{Initial: 2, Max: 16}), now: t0, bears: bears, slowness: 1}
}

func (f *fake) round(t require.TestingT, gapTarget time.Duration) {
	started, n := f.now, 0
	for f.l.Acquire() {
		n++
	}
	limit, running := f.l.Limit()
	require.Equal(t, limit, running)
	f.overload = max(f.overload, float64(n)/f.bears)
	gap := time.Duration(float64(fakeGap) * f.slowness * max(1, float64(n)/f.bears))
	for range perAnswer {
		f.now = f.now.Add(gap)
		for range n {
			f.l.ObserveTokenGap(f.now, gap)
		}
	}
	for range n {
		f.l.Release(AnswerSample{Started: started, Ended: f.now, FirstToken: gap, Gap: gap, GapTarget: gapTarget})
	}
}

// A cold engine that warms as it works is never given more than it bears, under a
// target so loose that it would hide the overload.
func TestColdUpstreamUnderFullLoad(t *testing.T) {
	f := newFake(4)
	for range rounds {
		f.round(t, time.Minute)
		f.bears = min(16, f.bears+0.06)
	}
	limit, _ := f.l.Limit()
	require.Equal(t, 16, limit)
	require.Less(t, f.overload, 1.5)
	require.True(t, f.l.Warm())
}

// One that stays cold is kept near what it bears.
func TestUpstreamThatStaysCold(t *testing.T) {
	f := newFake(4)
	for range rounds {
		f.round(t, time.Minute)
	}
	require.Less(t, f.overload, 1.6)
}

func TestUpstreamThatTurnsColdAgain(t *testing.T) {
	f := newFake(16)
	for range rounds {
		f.round(t, time.Minute)
	}
	require.True(t, f.l.Warm())
	gap := 4 * fakeGap // 16 run where 4 are borne
	for n := 1; f.l.Warm(); n++ {
		require.LessOrEqual(t, n, 16, "a token from each running answer must be enough")
		f.l.ObserveTokenGap(f.now, gap)
	}
	limit, _ := f.l.Limit()
	require.Equal(t, 2, limit)
}

// An engine at a quarter of its speed goes on working, under a limit that its
// targets allow.
func TestSlowUpstream(t *testing.T) {
	for _, c := range []struct {
		name   string
		target time.Duration
		least  int
		most   int
	}{
		{"tight target", 30 * time.Millisecond, 1, 3},
		{"loose target", 200 * time.Millisecond, 2, 16},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFake(16)
			for range rounds {
				f.round(t, c.target)
			}
			f.slowness = 4
			for range rounds {
				f.round(t, c.target)
			}
			limit, _ := f.l.Limit()
			require.GreaterOrEqual(t, limit, c.least)
			require.LessOrEqual(t, limit, c.most)
		})
	}
}

// After any sequence of calls no more run than the limit allowed when they
// started, the limit keeps its bounds, and it agrees with the limiter's rules
// applied step by step to the whole history.
func TestLimiterInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Limits{Initial: rapid.IntRange(1, 4).Draw(t, "initial"), Max: rapid.IntRange(4, 32).Draw(t, "max")}
		l := NewLimiter(b)
		want := &naiveLimiter{limits: b}
		now := t0
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
				want.steps = append(want.steps, naiveStep{now: now, running: len(started), gap: gap})
			case 3:
				if len(started) == 0 {
					continue
				}
				e := AnswerSample{
					Started: started[0], Ended: now, FirstToken: time.Duration(rapid.IntRange(1, 30).Draw(t, "ttft")) * time.Millisecond,
					FirstTokenTarget: 10 * time.Millisecond, Failed: rapid.IntRange(0, 9).Draw(t, "failed") == 0,
				}
				want.steps = append(want.steps, naiveStep{now: now, running: len(started), end: &e})
				started = started[1:]
				l.Release(e)
			}
			limit, running := l.Limit()
			require.Equal(t, len(started), running)
			require.True(t, limit >= 1 && limit <= b.Max)
			require.Equal(t, want.limit(), limit)
		}
	})
}

// naiveLimiter recomputes the limit from everything that has happened.
type naiveLimiter struct {
	limits Limits
	steps  []naiveStep
}

type naiveStep struct {
	now     time.Time
	running int
	gap     time.Duration
	end     *AnswerSample
}

func (n *naiveLimiter) limit() int {
	limit, lowered, slow := float64(n.limits.Initial), time.Time{}, 0
	quick := true
	for i, s := range n.steps {
		ratio := n.ratio(n.steps[:i+1])
		if s.end == nil {
			slow++
			if ratio < coldAbove {
				slow = 0
			}
			if slow >= slowInARow && limit > float64(n.limits.Initial) {
				limit, lowered, slow, quick = float64(n.limits.Initial), s.now, 0, false
			}
			continue
		}
		switch bad := s.end.Failed || s.end.FirstToken > 2*s.end.FirstTokenTarget; {
		case bad && !s.end.Started.Before(lowered):
			limit, lowered, quick = max(1, limit/2), s.now, false
		case !bad && s.running >= int(limit) && ratio <= growBelow && quick:
			limit = min(float64(n.limits.Max), limit+0.5)
		case !bad && s.running >= int(limit) && ratio <= growBelow:
			limit = min(float64(n.limits.Max), limit+1/limit)
		}
	}
	return int(limit)
}

// ratio recomputes the gauge from the gaps among steps.
func (n *naiveLimiter) ratio(steps []naiveStep) float64 {
	seen, recent, baseline := 0, 0.0, 0.0
	for _, s := range steps {
		if s.end != nil {
			continue
		}
		x := s.gap.Seconds()
		seen++
		if seen == 1 {
			recent, baseline = x, x
			continue
		}
		if seen > firstSamples {
			x = min(x, outlier*baseline)
		}
		recent += (x - recent) / 8
		weight := 0.0
		switch {
		case seen <= firstSamples:
			weight = 1.0 / 8
		case recent < baseline:
			weight = 1.0 / 32
		case s.running <= n.limits.Initial:
			weight = 1.0 / 128
		}
		baseline += weight * (recent - baseline)
	}
	if seen <= firstSamples {
		return 1
	}
	return recent / baseline
}
