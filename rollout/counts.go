package rollout

// This file defines Counts, what has come of the requests of one service, by route and by whether
// the target or another version answered them.

import (
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

// histogramBuckets is the number of buckets of a Histogram: up to a minute and beyond.
const histogramBuckets = 34

// Histogram counts durations in buckets of half an octave, from a millisecond.
type Histogram [histogramBuckets]uint32

// bucketOf returns the bucket of a duration.
func bucketOf(d time.Duration) int {
	ms := uint64(max(d.Milliseconds(), 1))
	octave := bits.Len64(ms) - 1
	half := 0
	if ms*ms >= 2<<(2*octave) { // ms is at least the square root of two times 2^octave
		half = 1
	}
	return min(2*octave+half, histogramBuckets-1)
}

// sum returns how many durations were counted in the buckets from one on.
func (h *Histogram) sum(from int) (n uint32) {
	for _, c := range h[min(from, histogramBuckets):] {
		n += c
	}
	return n
}

// median returns the bucket of the median. It is zero for an empty histogram.
func (h *Histogram) median() int {
	half := (h.sum(0) + 1) / 2
	seen := uint32(0)
	for i, c := range h {
		if seen += c; seen >= half {
			return i
		}
	}
	return 0
}

// Tally counts answers.
type Tally struct {
	Answers   uint32 // failures included
	Failures  uint32
	Durations Histogram // until the first event, or the whole answer, of answers that count for the pace
	Streams   Histogram // until the end of those that are streams
}

// RouteCounts holds the tallies of one route.
type RouteCounts struct{ Other, Target Tally }

// UpstreamKey stands for an upstream: the low 32 bits of the XXH64 hash of its id.
type UpstreamKey uint32

// KeyOf returns the key of an upstream.
func KeyOf(u id.Upstream) UpstreamKey { return UpstreamKey(xxhash.Sum64String(string(u))) }

// UpstreamTally counts the answers of one upstream.
type UpstreamTally struct{ Answers, Failures uint32 }

// Upstreams holds the tallies of the target's upstreams.
type Upstreams map[UpstreamKey]UpstreamTally

// add adds other tallies.
func (u Upstreams) add(other Upstreams) {
	for key, t := range other {
		u[key] = UpstreamTally{u[key].Answers + t.Answers, u[key].Failures + t.Failures}
	}
}

// since returns the tallies without earlier ones, down to zero.
func (u Upstreams) since(earlier Upstreams) Upstreams {
	out := make(Upstreams, len(u))
	for key, t := range u {
		before := earlier[key]
		out[key] = UpstreamTally{t.Answers - min(t.Answers, before.Answers), t.Failures - min(t.Failures, before.Failures)}
	}
	return out
}

// withoutWorst returns the sum of all tallies but that with the most failures.
func (u Upstreams) withoutWorst() (rest UpstreamTally) {
	var worst UpstreamTally
	for _, t := range u {
		rest.Answers += t.Answers
		rest.Failures += t.Failures
		if t.Failures > worst.Failures {
			worst = t
		}
	}
	return UpstreamTally{rest.Answers - worst.Answers, rest.Failures - worst.Failures}
}

// Counts holds the counts of a service by route.
type Counts map[id.Route]*RouteCounts

// route returns the counts of a route, which it adds if needed.
func (c Counts) route(r id.Route) *RouteCounts {
	if c[r] == nil {
		c[r] = new(RouteCounts)
	}
	return c[r]
}

// add adds other counts.
func (c Counts) add(other Counts) {
	for r, counts := range other {
		mine := c.route(r)
		mine.Other.add(&counts.Other, 1)
		mine.Target.add(&counts.Target, 1)
	}
}

// answers returns how many answers were counted.
func (c Counts) answers() (n int) {
	for _, counts := range c {
		n += int(counts.Other.Answers) + int(counts.Target.Answers)
	}
	return n
}

// since returns the counts without earlier ones, of which none is greater.
func (c Counts) since(earlier Counts) Counts {
	out := make(Counts, len(c))
	for r, counts := range c {
		difference := *counts
		if before := earlier[r]; before != nil {
			difference.Other.add(&before.Other, -1)
			difference.Target.add(&before.Target, -1)
		}
		out[r] = &difference
	}
	return out
}

// all returns the tallies of all routes together, without durations, which routes do not share.
func (c Counts) all() (sum RouteCounts) {
	for _, counts := range c {
		sum.Other.add(&counts.Other, 1)
		sum.Target.add(&counts.Target, 1)
	}
	return sum
}

// add adds another tally if sign is positive, and otherwise takes it away down to zero.
func (t *Tally) add(other *Tally, sign int) {
	change := func(to *uint32, n uint32) {
		if sign > 0 {
			*to += n
		} else {
			*to -= min(*to, n)
		}
	}
	change(&t.Answers, other.Answers)
	change(&t.Failures, other.Failures)
	for i := range histogramBuckets {
		change(&t.Durations[i], other.Durations[i])
		change(&t.Streams[i], other.Streams[i])
	}
}
