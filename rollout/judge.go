package rollout

// This file defines the judgement of a target from the counts of all gateways. It answers versions
// that fail or are slow, in all answers or in a part of them, on all routes or on one, and outages
// that the other versions suffer too.

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// A target is condemned for at least minBad bad answers, if they are a greater part of its answers than of
	// those of other versions, and if so many would be found among as many answers of one version
	// with a probability of maxChance at most.
	minBad    = 5
	maxChance = 1e-5
	// It is in doubt, and not good, already for these.
	minDoubtBad    = 3
	maxDoubtChance = 1e-3
	// It is suspected, and the shift to it takes all of its time, for these.
	minSuspectBad    = 2
	maxSuspectChance = 0.05
	// minExtraFailures and minExtraSlow are by how much that part has to be greater.
	minExtraFailures = 0.03
	minExtraSlow     = 0.15
	// slowBuckets is how far above the median of other versions an answer is slow: two to 2.8 times as long.
	slowBuckets = 3
	// minMedianAnswers is how many durations of other versions a median takes.
	minMedianAnswers = 20
	// unknownAnswers is how many sound answers of other versions are added to those that were seen, so that a target
	// can be condemned without them.
	unknownAnswers = 10

	// A target is good with minAnswers answers in all, and on each route that has traffic with
	// minRouteAnswers or one for each routeAnswersEach of other versions, of which
	// maxFailing have failed at most, and with minDurations that count, unless others have none. Its upstreams have minCapacity of the slots of the others.
	minAnswers       = 30
	minDurations     = 18 // of a version that is slow in half of its answers, minDoubtBad of them are slow in 999 of 1000 cases
	minRouteAnswers  = 8
	routeAnswersEach = 20
	maxFailing       = 0.1
	// minRestAnswers is how many answers of the target's other upstreams show whether one alone fails. Without them, it
	// takes minBadOfOne failures to condemn the version.
	minRestAnswers = 12
	minBadOfOne    = 15
	minCapacity    = 0.5

	// recentTime is the time of the counts that are judged besides those of the whole order, so that
	// a target that turns bad is not hidden by its past.
	recentTime = 5 * time.Second
)

// Verdict is why a target is condemned.
type Verdict struct {
	Reason Reason
	Route  id.Route // empty: all together
	// Bad of Answers of the target, and OtherBad of OtherAnswers of other versions.
	Bad, Answers, OtherBad, OtherAnswers uint32
	Recent                               bool // of the last seconds only
}

// String returns the verdict in the form of log values.
func (v *Verdict) String() string {
	where, when := "all", "whole"
	if v.Route != "" {
		where = string(v.Route)
	}
	if v.Recent {
		when = "recent"
	}
	return fmt.Sprintf("%s:%s:%s:%d/%d:%d/%d", v.Reason, where, when, v.Bad, v.Answers, v.OtherBad, v.OtherAnswers)
}

// standard is what it takes to find a target worse than other versions.
type standard struct {
	minBad    uint32
	maxChance float64
}

var (
	condemned = standard{minBad, maxChance}
	inDoubt   = standard{minDoubtBad, maxDoubtChance}
	suspected = standard{minSuspectBad, maxSuspectChance}
)

// meets reports whether the answers of the target are worse by a standard. Extra is by how much the part
// of bad ones has to be greater.
func (v *Verdict) meets(s standard, extra float64) bool {
	if v.Bad < s.minBad {
		return false
	}
	others := v.OtherAnswers + unknownAnswers
	if float64(v.Bad)/float64(v.Answers)-float64(v.OtherBad)/float64(others) < extra {
		return false
	}
	return tail(v.Bad, v.Answers, v.OtherBad, others) <= s.maxChance
}

// tail returns the probability that of all bad answers as many as bad or more are among those of the target, if
// the versions do not differ: the upper tail of the hypergeometric distribution, as in Fisher's exact test.
func tail(bad, answers, otherBad, others uint32) (p float64) {
	all := bad + otherBad
	whole := logChoose(answers+others, all)
	for k := bad; k <= min(all, answers); k++ {
		term := math.Exp(logChoose(answers, k) + logChoose(others, all-k) - whole)
		if p += term; term < p*1e-6 {
			break
		}
	}
	return p
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k uint32) float64 {
	if k > n {
		return math.Inf(-1)
	}
	logFactorial := func(n uint32) float64 {
		v, _ := math.Lgamma(float64(n) + 1)
		return v
	}
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

// failingIn returns the verdict that the target fails by a standard, from counts, or nil.
func failingIn(c Counts, recent bool, by standard) *Verdict {
	all := c.all()
	for _, route := range append(slices.Sorted(maps.Keys(c)), "") {
		counts := c[route]
		if route == "" {
			counts = &all
		}
		if v := failingVerdict(counts); v.meets(by, v.extra()) {
			v.Route, v.Recent = route, recent
			return v
		}
	}
	return nil
}

// slowIn returns the verdict that the target is slow by a standard, from counts, or nil.
func slowIn(c Counts, recent bool, by standard) *Verdict {
	all := &Verdict{Reason: ReasonSlow, Recent: recent}
	for _, route := range slices.Sorted(maps.Keys(c)) {
		counts := c[route]
		for _, v := range []*Verdict{slowVerdict(&counts.Target.Durations, &counts.Other.Durations), slowVerdict(&counts.Target.Streams, &counts.Other.Streams)} {
			if v.meets(by, v.extra()) {
				v.Route, v.Recent = route, recent
				return v
			}
			all.add(v)
		}
	}
	if all.meets(by, all.extra()) {
		return all
	}
	return nil
}

// extra returns by how much the part of bad answers has to be greater.
func (v *Verdict) extra() float64 {
	if v.Reason == ReasonSlow {
		return minExtraSlow
	}
	return minExtraFailures
}

// add adds the answers of another verdict.
func (v *Verdict) add(other *Verdict) {
	v.Bad += other.Bad
	v.Answers += other.Answers
	v.OtherBad += other.OtherBad
	v.OtherAnswers += other.OtherAnswers
}

// slowVerdict returns the verdict that durations may justify. It has no answers if those of other versions are too
// few for a median.
func slowVerdict(target, others *Histogram) *Verdict {
	v := &Verdict{Reason: ReasonSlow}
	if from := slowBucket(others); from < histogramBuckets {
		v.Bad, v.Answers, v.OtherBad, v.OtherAnswers = target.sum(from), target.sum(0), others.sum(from), others.sum(0)
	}
	return v
}

// failingVerdict returns the verdict that the failures in counts may justify.
func failingVerdict(c *RouteCounts) *Verdict {
	return &Verdict{Reason: ReasonFailing, Bad: c.Target.Failures, Answers: c.Target.Answers, OtherBad: c.Other.Failures, OtherAnswers: c.Other.Answers}
}

// judge returns why the target is worse by a standard, from the counts of the whole order or the recent ones, or nil.
// Failures of one upstream alone are not held against the version. As long as the target gets its share only, it is not condemned for being slow before
// the second after has shown whether others are slow too.
func (r *rollout) judge(by standard) *Verdict {
	for i, e := range []*evidence{&r.sound, &r.recent} {
		isRecent := i == 1
		if v := failingIn(e.counts, isRecent, by); v != nil && !mayBeOneUpstream(v, e.upstreams, e.counts) {
			return v
		}
		counts := e.counts
		if by == condemned && r.record.State < Shifting {
			counts = e.settled
		}
		if v := slowIn(counts, isRecent, by); v != nil {
			return v
		}
	}
	return nil
}

// mayBeOneUpstream reports whether failures may be those of one upstream.
func mayBeOneUpstream(v *Verdict, upstreams Upstreams, c Counts) bool {
	if rest := upstreams.withoutWorst(); rest.Answers < minRestAnswers {
		return v.Bad < minBadOfOne
	}
	return oneUpstreamFails(upstreams, c)
}

// oneUpstreamFails reports whether the upstreams of the target other than the one with the most failures have
// answered enough, and are sound by the standard of doubt.
func oneUpstreamFails(upstreams Upstreams, c Counts) bool {
	rest, all := upstreams.withoutWorst(), c.all()
	v := Verdict{Reason: ReasonFailing, Bad: rest.Failures, Answers: rest.Answers, OtherBad: all.Other.Failures, OtherAnswers: all.Other.Answers}
	return rest.Answers >= minRestAnswers && !v.meets(inDoubt, minExtraFailures)
}

// isGood reports whether a target that is not condemned has shown enough to be called good.
func (r *rollout) isGood() bool {
	if r.whole.all().Target.Answers < minAnswers || r.judge(inDoubt) != nil || failsOftenIn(&r.sound) || failsOftenIn(&r.recent) {
		return false
	}
	durations, otherDurations := uint32(0), uint32(0)
	for _, c := range r.sound.counts {
		n, others := c.Target.Durations.sum(0), c.Other.Durations.sum(0)
		if c.Target.Answers < min(minRouteAnswers, c.Other.Answers/routeAnswersEach) || n < min(minRouteAnswers, others/routeAnswersEach) {
			return false
		}
		durations += n
		otherDurations += others
	}
	return durations >= min(minDurations, otherDurations)
}

// failsOftenIn reports whether too many answers of the target have failed, and not only those of one upstream.
func failsOftenIn(e *evidence) bool {
	target := e.counts.all().Target
	return failsOften(UpstreamTally{target.Answers, target.Failures}) && (failsOften(e.upstreams.withoutWorst()) || !oneUpstreamFails(e.upstreams, e.counts))
}

// failsOften reports whether too many answers have failed, whatever others do.
func failsOften(t UpstreamTally) bool { return float64(t.Failures) > maxFailing*float64(t.Answers) }
