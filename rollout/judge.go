package rollout

// This file defines the judgement of a target from the counts of all gateways. It answers versions
// that fail or are slow, in all answers or in a part of them, on all routes or on one, and outages
// that the other versions suffer too.

import (
	"fmt"
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// A target is condemned for at least minBad bad answers, and if they are a greater part of its
	// answers than of those of other versions at a confidence of minDeviations standard deviations.
	minBad        = 5
	minDeviations = 3.5
	// minExtraFailures and minExtraSlow are by how much that part has to be greater.
	minExtraFailures = 0.03
	minExtraSlow     = 0.15
	// slowBuckets is how far above the median of other versions an answer is slow: two to 2.8 times as long.
	slowBuckets = 3
	// minMedianAnswers is how many durations of other versions a median takes.
	minMedianAnswers = 20
	// unknownAnswers and unknownBad stand for answers of other versions that were not seen.
	unknownAnswers, unknownBad = 10, 0.5

	// A target is good with minAnswers answers in all, and on each route that has traffic with
	// minRouteAnswers or one for each routeAnswersEach of other versions, of which
	// maxFailing have failed at most. Its upstreams have minCapacity of the slots of the others.
	minAnswers       = 40
	minRouteAnswers  = 8
	routeAnswersEach = 20
	maxFailing       = 0.1
	minCapacity      = 0.5

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

// condemns reports whether the answers of the target are worse by more than chance. Extra is by how
// much the part of bad ones has to be greater.
func (v *Verdict) condemns(extra float64) bool {
	if v.Bad < minBad {
		return false
	}
	answers, others := float64(v.Answers), float64(v.OtherAnswers)+unknownAnswers
	part, otherPart := float64(v.Bad)/answers, (float64(v.OtherBad)+unknownBad)/others
	pooled := (float64(v.Bad) + float64(v.OtherBad) + unknownBad) / (answers + others)
	deviation := math.Sqrt(pooled * (1 - pooled) * (1/answers + 1/others))
	return part-otherPart >= extra && part-otherPart >= minDeviations*deviation
}

// judge returns why counts condemn the target, or nil.
func judge(c Counts, recent bool) *Verdict {
	slow := &Verdict{Reason: ReasonSlow, Recent: recent}
	for route, counts := range c {
		failing := failingVerdict(counts, recent)
		failing.Route = route
		if failing.condemns(minExtraFailures) {
			return failing
		}
		others := counts.Other.Durations.sum(0)
		if others < minMedianAnswers {
			continue
		}
		from := counts.Other.Durations.median() + slowBuckets
		onRoute := &Verdict{
			Reason: ReasonSlow, Route: route, Recent: recent, Bad: counts.Target.Durations.sum(from), Answers: counts.Target.Durations.sum(0),
			OtherBad: counts.Other.Durations.sum(from), OtherAnswers: others,
		}
		if onRoute.condemns(minExtraSlow) {
			return onRoute
		}
		slow.Bad += onRoute.Bad
		slow.Answers += onRoute.Answers
		slow.OtherBad += onRoute.OtherBad
		slow.OtherAnswers += onRoute.OtherAnswers
	}
	all := c.all()
	if failing := failingVerdict(&all, recent); failing.condemns(minExtraFailures) {
		return failing
	}
	if slow.condemns(minExtraSlow) {
		return slow
	}
	return nil
}

// failingVerdict returns the verdict that the failures in counts may justify.
func failingVerdict(c *RouteCounts, recent bool) *Verdict {
	return &Verdict{
		Reason: ReasonFailing, Recent: recent, Bad: c.Target.Failures, Answers: c.Target.Answers,
		OtherBad: c.Other.Failures, OtherAnswers: c.Other.Answers,
	}
}

// isGood reports whether a target that is not condemned has shown enough to be called good.
func isGood(whole, recent Counts) bool {
	all, last := whole.all(), recent.all()
	if all.Target.Answers < minAnswers || failsOften(&all.Target) || failsOften(&last.Target) {
		return false
	}
	for _, c := range whole {
		if c.Target.Answers < min(minRouteAnswers, c.Other.Answers/routeAnswersEach) {
			return false
		}
	}
	return true
}

// failsOften reports whether too many answers have failed, whatever others do.
func failsOften(t *Tally) bool { return float64(t.Failures) > maxFailing*float64(t.Answers) }
