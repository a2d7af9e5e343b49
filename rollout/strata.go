package rollout

// This file defines strata, the counts of a second each. A second in which the other versions are slow or fail says
// nothing of the target: what all of them run on has stalled, and the target may have got most of its answers just then.

import (
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// stratumInterval is the time of a stratum, longer in the past if there are more than maxStrata.
	stratumInterval = time.Second
	maxStrata       = 64
	// A stratum is disturbed if so many answers of other versions are bad in it, and a part of them so much greater
	// than usual.
	minDisturbed       = 3
	minExtraDisturbed  = 0.2
	recentStrataWithin = recentTime + stratumInterval
)

// stratum holds the counts of all gateways from one time to another.
type stratum struct {
	from, to  time.Time
	counts    Counts
	upstreams Upstreams
}

// strata holds the counts of an order in the order of time. The zero value has none.
type strata struct {
	list      []stratum // the last one is not complete
	at        time.Time // when the last one has begun
	counts    Counts    // until then
	upstreams Upstreams
}

// update takes over the counts of the whole order.
func (s *strata) update(now time.Time, whole Counts, upstreams Upstreams) {
	if n := len(s.list); n > 0 {
		s.list = s.list[:n-1]
	}
	s.list = append(s.list, stratum{s.at, now, whole.since(s.counts), upstreams.since(s.upstreams)})
	if now.Sub(s.at) < stratumInterval {
		return
	}
	s.at, s.counts, s.upstreams = now, whole, upstreams
	if len(s.list) > maxStrata {
		s.join()
	}
	s.list = append(s.list, stratum{from: now, to: now})
}

// join joins pairs of the older half of the strata.
func (s *strata) join() {
	half := len(s.list) / 4 * 2
	joined := s.list[:0:0]
	for i := 0; i < half; i += 2 {
		a, b := s.list[i], s.list[i+1]
		both := stratum{a.from, b.to, make(Counts), make(Upstreams)}
		for _, part := range []stratum{a, b} {
			both.counts.add(part.counts)
			both.upstreams.add(part.upstreams)
		}
		joined = append(joined, both)
	}
	s.list = append(joined, s.list[half:]...)
}

// evidence is what a target is judged by.
type evidence struct {
	counts    Counts
	upstreams Upstreams
	// settled holds the counts of which it is known that the second after them is not disturbed.
	settled     Counts
	isDisturbed bool // others are slow or fail now
}

// evidence returns the counts of the strata that began at a time or later, without those that are disturbed or
// beside one that is, on the route or on all.
func (s *strata) evidence(whole Counts, since time.Time) evidence {
	e := evidence{counts: make(Counts), upstreams: make(Upstreams), settled: make(Counts)}
	from := slowBucketsOf(whole)
	onAll := s.disturbed(func(c Counts) (p badParts) {
		for route, counts := range c {
			p.add(&counts.Other, from[route])
		}
		return p
	})
	n := len(s.list)
	e.isDisturbed = n > 0 && onAll[n-1]
	for route := range whole {
		onRoute := s.disturbed(func(c Counts) (p badParts) {
			if counts := c[route]; counts != nil {
				p.add(&counts.Other, from[route])
			}
			return p
		})
		for i := range s.list {
			counts := s.list[i].counts[route]
			if counts == nil || s.list[i].from.Before(since) || onAll[i] || onRoute[i] {
				continue
			}
			part := Counts{route: counts}
			e.counts.add(part)
			if i+2 < n {
				e.settled.add(part)
			}
		}
	}
	for i := range s.list {
		if !s.list[i].from.Before(since) && !onAll[i] {
			e.upstreams.add(s.list[i].upstreams)
		}
	}
	return e
}

// slowFrom holds the first buckets of slow durations and streams by route.
type slowFrom map[id.Route][2]int

// slowBucketsOf returns the first buckets of what is slow by the medians of other versions.
func slowBucketsOf(c Counts) slowFrom {
	from := make(slowFrom, len(c))
	for route, counts := range c {
		from[route] = [2]int{slowBucket(&counts.Other.Durations), slowBucket(&counts.Other.Streams)}
	}
	return from
}

// slowBucket returns the first bucket of slow answers by those of other versions. There are none if these are too few for a median.
func slowBucket(others *Histogram) int {
	if others.sum(0) < minMedianAnswers {
		return histogramBuckets
	}
	return others.median() + slowBuckets
}

// badParts holds which part of the answers of other versions is bad in a stratum.
type badParts struct{ slow, failed part }

// part is how many of some answers are bad.
type part struct{ bad, answers uint32 }

func (p part) value() float64 { return float64(p.bad) / float64(max(p.answers, 1)) }

// add adds the answers of other versions. From holds the first buckets of slow ones.
func (p *badParts) add(t *Tally, from [2]int) {
	p.failed.answers += t.Answers
	p.failed.bad += t.Failures
	p.slow.answers += t.Durations.sum(0) + t.Streams.sum(0)
	p.slow.bad += t.Durations.sum(from[0]) + t.Streams.sum(from[1])
}

// disturbed returns whether each stratum or one beside it is disturbed, by the bad parts of counts.
func (s *strata) disturbed(badParts func(Counts) badParts) []bool {
	disturbed := make([]bool, len(s.list))
	slow, failed := make([]part, len(s.list)), make([]part, len(s.list))
	for i := range s.list {
		p := badParts(s.list[i].counts)
		slow[i], failed[i] = p.slow, p.failed
	}
	for _, parts := range [][]part{slow, failed} {
		usual := usualPart(parts)
		for i, p := range parts {
			if p.bad >= minDisturbed && p.value()-usual >= minExtraDisturbed {
				for beside := max(0, i-1); beside <= min(i+1, len(parts)-1); beside++ {
					disturbed[beside] = true
				}
			}
		}
	}
	return disturbed
}

// usualPart returns the median of the parts of strata that have answers.
func usualPart(parts []part) float64 {
	var values []float64
	for _, p := range parts {
		if p.answers > 0 {
			values = append(values, p.value())
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
