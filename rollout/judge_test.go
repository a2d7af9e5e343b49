package rollout

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
)

// tally returns so many answers, of which some have failed and others took long.
func tally(answers, failures, slow uint32) Tally {
	t := Tally{Answers: answers, Failures: failures}
	t.Durations[bucketOf(100*time.Millisecond)] = answers - failures - slow
	t.Durations[bucketOf(500*time.Millisecond)] = slow
	return t
}

func TestJudge(t *testing.T) {
	tests := []struct {
		name   string
		counts Counts
		reason Reason // empty: it is not condemned
	}{
		{"sound", Counts{"a": {tally(500, 2, 10), tally(60, 1, 2)}}, ""},
		{"fails in part", Counts{"a": {tally(500, 2, 0), tally(60, 9, 0)}}, ReasonFailing},
		{"fails on one route", Counts{"a": {tally(500, 0, 0), tally(60, 0, 0)}, "b": {tally(50, 0, 0), tally(12, 6, 0)}}, ReasonFailing},
		{"fails a little on each route", Counts{"a": {tally(900, 0, 0), tally(40, 3, 0)}, "b": {tally(900, 0, 0), tally(40, 4, 0)}}, ReasonFailing},
		{"all fail", Counts{"a": {tally(500, 200, 0), tally(60, 25, 0)}}, ""},
		{"slow in part", Counts{"a": {tally(500, 0, 20), tally(60, 0, 20)}}, ReasonSlow},
		{"all slow", Counts{"a": {tally(500, 0, 200), tally(60, 0, 25)}}, ""},
		{"few bad ones", Counts{"a": {tally(500, 0, 0), tally(60, 4, 0)}}, ""},
		{"nothing to compare with", Counts{"a": {Tally{}, tally(8, 5, 0)}}, ""},
		{"all fail, nothing to compare with", Counts{"a": {Tally{}, tally(30, 30, 0)}}, ReasonFailing},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := cmp.Or(failingIn(test.counts, false, condemned), slowIn(test.counts, false, condemned))
			if test.reason == "" {
				require.Nil(t, v)
				return
			}
			require.NotNil(t, v)
			require.Equal(t, test.reason, v.Reason)
		})
	}
}

// TestTargetThatTurnsBadIsNotHiddenByItsPast answers a version that fails after a long time without a failure.
func TestTargetThatTurnsBadIsNotHiddenByItsPast(t *testing.T) {
	long := Order{Service: "ledger", Target: "v2", Duration: 10 * time.Minute, Offset: 1}
	r := newRegister()
	r.Order(start, long)
	r.SetService(start, "ledger", bothVersions)
	r.Adopt(Record{Service: "ledger", Target: "v2", Order: 1, State: Canary, Started: start})
	for i := range 240 {
		p := r.Plan(start, "ledger", "r")
		for k := range 20 {
			r.Ended(p, "v2", id.Upstream(fmt.Sprint("i-", k%2)), Outcome{})
		}
		for range 200 {
			r.Ended(p, "v1", "i-1", Outcome{})
		}
		if i >= 236 {
			for k := range 6 {
				r.Ended(p, "v2", id.Upstream(fmt.Sprint("i-", k%2)), Outcome{Failed: true})
			}
		}
		for _, c := range r.Round(at(time.Duration(i)*time.Second), nil, 0) {
			if c.Verdict != nil {
				require.True(t, c.Verdict.Recent)
				return
			}
		}
	}
	t.Fatal("not condemned")
}

func TestRoutesWithTrafficHaveToBeSampled(t *testing.T) {
	whole := Counts{"a": {tally(900, 0, 0), tally(60, 0, 0)}, "b": {tally(200, 0, 0), tally(7, 0, 0)}, "c": {tally(40, 0, 0), tally(2, 0, 0)}}
	r := &rollout{whole: whole, sound: evidence{counts: whole}, recent: evidence{counts: whole}}
	require.False(t, r.isGood())
	whole["b"].Target = tally(8, 0, 0)
	require.True(t, r.isGood())
}

func TestBucketsAreHalfOctaves(t *testing.T) {
	for _, test := range []struct {
		ms     int
		bucket int
	}{{0, 0}, {1, 0}, {2, 2}, {3, 3}, {4, 4}, {5, 4}, {6, 5}, {8, 6}, {11, 6}, {12, 7}, {1024, 20}, {1448, 20}, {1449, 21}, {1 << 30, histogramBuckets - 1}} {
		require.Equal(t, test.bucket, bucketOf(time.Duration(test.ms)*time.Millisecond), test.ms)
	}
}

// TestCountsOfEndedGatewayStay answers a gateway that was killed and whose row is dropped: without its counts, what
// the others count in the last seconds would be less than nothing.
func TestCountsOfEndedGatewayStay(t *testing.T) {
	r := canaryRegister(2)
	report := Report{
		From: Source{"gw-1", 1}, Service: "ledger", Target: "v2", Order: 7, State: Canary, Started: start, Live: true,
		Counts: Counts{"r": {tally(100, 1, 5), tally(10, 1, 0)}},
	}
	r.Round(at(time.Second), []Report{report}, 1)
	r.Round(at(3*time.Second), nil, 0)
	require.Equal(t, *report.Counts["r"], *r.rollouts["ledger"].whole["r"])
	require.Zero(t, r.rollouts["ledger"].recent.counts.answers())
}

// TestFirstSecondsOfUpstreamsAreNotSlow answers upstreams of the target that are slow because they have just started.
func TestFirstSecondsOfUpstreamsAreNotSlow(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 6 * time.Second} {
		r := canaryRegister(1)
		p := r.Plan(start, "ledger", "r")
		for range 100 {
			r.Ended(p, "v1", "i-1", Outcome{Duration: 50 * time.Millisecond, UpstreamAge: time.Hour})
		}
		for range 20 {
			r.Ended(p, "v2", "i-1", Outcome{Duration: 500 * time.Millisecond, UpstreamAge: age})
		}
		require.Empty(t, r.Round(at(time.Second), nil, 0), "the second after is not known")
		changes := r.Round(at(2*time.Second), nil, 0)
		require.Equal(t, age > warmUp, len(changes) == 1, age)
	}
}

// TestSlowStreamsAreSlow answers a version whose first events are in time and whose events then are not.
func TestSlowStreamsAreSlow(t *testing.T) {
	r := canaryRegister(1)
	p := r.Plan(start, "ledger", "r")
	for range 100 {
		r.Ended(p, "v1", "i-1", Outcome{Duration: 50 * time.Millisecond, Stream: time.Second, UpstreamAge: time.Hour})
	}
	for range 20 {
		r.Ended(p, "v2", "i-1", Outcome{Duration: 50 * time.Millisecond, Stream: 4 * time.Second, UpstreamAge: time.Hour})
	}
	require.Empty(t, r.Round(at(time.Second), nil, 0), "the second after is not known")
	changes := r.Round(at(2*time.Second), nil, 0)
	require.Len(t, changes, 1)
	require.Equal(t, ReasonSlow, changes[0].Verdict.Reason)
}

// TestFailuresOfOneUpstreamAreNotOfItsVersion answers an upstream of the target that crashes, or fails a part of its requests,
// beside others that are sound.
func TestFailuresOfOneUpstreamAreNotOfItsVersion(t *testing.T) {
	for _, test := range []struct {
		name       string
		rest, fail int // answers of another upstream, and failures among them
		condemned  bool
	}{{"too few others to tell", 11, 0, false}, {"sound others", 30, 0, false}, {"others fail too", 30, 4, true}} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t)
			g.append(start)
			g.answer(at(time.Second), 0, 0, 300, 1)
			p := g.Plan(at(time.Second), "ledger", "r")
			for i := range 20 {
				g.Ended(p, "v2", "i-bad", Outcome{Failed: i < 10, Duration: 50 * time.Millisecond, UpstreamAge: time.Hour})
			}
			for i := range test.rest {
				g.Ended(p, "v2", "i-good", Outcome{Failed: i < test.fail, Duration: 50 * time.Millisecond, UpstreamAge: time.Hour})
			}
			require.Equal(t, test.condemned, len(g.Round(at(time.Second), nil, 0)) == 1)
			if test.rest == 30 && !test.condemned {
				require.Equal(t, Shifting, g.append(at(13*time.Second)).State)
			}
		})
	}
}
