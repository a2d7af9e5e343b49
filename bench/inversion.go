package bench

// This file defines CheckPriorities, which checks that requests of a higher tier go
// first. It uses what callers and engines recorded, and the traces only to know which
// streams were preempted; it shares no code with the scheduler.

import (
	"fmt"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/tier"
)

// transitSlack bounds the time that a request is in transit between a caller, an
// entry and an engine.
const transitSlack = 100 * time.Millisecond

// RequestSpan holds the times of one model request, as its caller and its engine
// recorded them.
type RequestSpan struct {
	Request     id.Request
	Class       id.Class
	Tier        tier.Tier
	Arrived     time.Time
	Began       time.Time // first start at an engine; zero: never
	Upstream    id.Upstream
	Ended       time.Time // end of that first run
	Preempted   bool      // that first run was preempted
	ShedAt      time.Time // when the router refused it for lack of capacity; zero: not shed
	Reason      problem.Reason
	LatestBegin time.Time // latest start within the maximum wait of its class
}

// PriorityReport is the result of CheckPriorities.
type PriorityReport struct {
	// Inversions describes the requests that were shed or preempted while a request
	// of a lower tier started or went on.
	Inversions []string
	// Overtakes counts, for each class, the requests that started while one of a
	// higher tier was waiting.
	Overtakes map[id.Class]int
	// ContendedStarts counts, for each class, the requests that started while one of
	// another tier was waiting.
	ContendedStarts map[id.Class]int
}

// sheddingReasons are the reasons of refusals for lack of capacity.
var sheddingReasons = []problem.Reason{
	problem.QueueFull, problem.DeadlineExceeded, problem.DeadlineHopeless, problem.ShedForTier,
	problem.NoUpstream, problem.UpstreamBusy, problem.Preempted,
}

// RequestSpans joins the results of callers with the runs of engines. Preempted is
// the set of requests whose traces contain a preemption.
func RequestSpans(set *rule.Set, results []*Result, runs []EngineRun, preempted map[id.Request]bool) []RequestSpan {
	firstRuns := make(map[id.Request]EngineRun)
	for _, r := range runs {
		if old, ok := firstRuns[r.Request]; !ok || r.Began.Before(old.Began) {
			firstRuns[r.Request] = r
		}
	}
	var spans []RequestSpan
	for _, x := range results {
		if x.Arrival.Traffic.Kind != Chat || x.Request == "" {
			continue
		}
		c := set.Classes[x.Arrival.Traffic.Class]
		s := RequestSpan{Request: x.Request, Class: c.Name, Tier: c.Tier, Arrived: x.Sent, LatestBegin: x.Sent.Add(c.MaxWait)}
		if run, ok := firstRuns[x.Request]; ok {
			s.Began, s.Ended, s.Upstream = run.Began, run.Ended, run.Upstream.Name
			s.Preempted = preempted[x.Request] && !run.Completed
		}
		if x.Outcome != Whole && slices.Contains(sheddingReasons, x.Reason) {
			s.ShedAt, s.Reason = x.Last, x.Reason
		}
		spans = append(spans, s)
	}
	return spans
}

// CheckPriorities checks the spans of one load.
func CheckPriorities(spans []RequestSpan) *PriorityReport {
	p := &PriorityReport{Overtakes: make(map[id.Class]int), ContendedStarts: make(map[id.Class]int)}
	began := slices.DeleteFunc(slices.Clone(spans), func(s RequestSpan) bool { return s.Began.IsZero() })
	slices.SortFunc(began, func(a, b RequestSpan) int { return a.Began.Compare(b.Began) })
	for i := range spans {
		s := &spans[i]
		if !s.ShedAt.IsZero() && s.Began.IsZero() {
			p.checkShed(s, began)
		}
		if s.Preempted {
			p.checkPreempted(s, began)
		}
	}
	p.countOvertakes(spans, began)
	return p
}

// checkShed records an inversion if a request of a lower tier started instead of the
// shed request s: while s was waiting, or, if s was shed from a queue in which the
// other one was waiting, before the latest start of s.
func (p *PriorityReport) checkShed(s *RequestSpan, began []RequestSpan) {
	end := s.ShedAt
	if s.Reason == problem.DeadlineHopeless {
		end = s.LatestBegin // the refusal claims that it cannot start until then
	}
	for _, x := range beganBetween(began, s.Arrived.Add(transitSlack), end.Add(-transitSlack)) {
		if s.Tier.Above(x.Tier) {
			p.addInversion(s, x, "shed")
			return
		}
	}
	if s.Reason != problem.QueueFull && s.Reason != problem.ShedForTier {
		return
	}
	for _, x := range beganBetween(began, s.ShedAt.Add(transitSlack), s.LatestBegin) {
		if s.Tier.Above(x.Tier) && x.Arrived.Before(s.ShedAt.Add(-transitSlack)) {
			p.addInversion(s, x, "shed before a waiting one")
			return
		}
	}
}

// checkPreempted records an inversion if a request of a lower tier went on at the
// same engine.
func (p *PriorityReport) checkPreempted(s *RequestSpan, began []RequestSpan) {
	for _, x := range began {
		if x.Upstream == s.Upstream && s.Tier.Above(x.Tier) &&
			x.Began.Before(s.Ended.Add(-transitSlack)) && x.Ended.After(s.Ended.Add(transitSlack)) {
			p.addInversion(s, &x, "preempted while one went on")
			return
		}
	}
}

func (p *PriorityReport) addInversion(s, x *RequestSpan, relation string) {
	p.Inversions = append(p.Inversions, fmt.Sprintf("request=%s class=%s reason=%s was %s; of a lower tier: request=%s class=%s began=%s",
		s.Request, s.Class, s.Reason, relation, x.Request, x.Class, x.Began.UTC().Format(time.RFC3339Nano)))
}

// beganBetween returns the spans that began in an interval; began must be sorted by
// start.
func beganBetween(began []RequestSpan, from, to time.Time) []*RequestSpan {
	i, _ := slices.BinarySearchFunc(began, from, func(s RequestSpan, t time.Time) int { return s.Began.Compare(t) })
	var list []*RequestSpan
	for ; i < len(began) && began[i].Began.Before(to); i++ {
		list = append(list, &began[i])
	}
	return list
}

// countOvertakes counts the requests that started while others were waiting. It
// sweeps over the starts and keeps the number of waiting requests of each tier.
func (p *PriorityReport) countOvertakes(spans, began []RequestSpan) {
	type change struct {
		at    time.Time
		tier  tier.Tier
		delta int
	}
	var changes []change
	for i := range spans {
		s := &spans[i]
		end := s.Began
		if end.IsZero() {
			end = s.ShedAt
		}
		from, to := s.Arrived.Add(transitSlack), end.Add(-transitSlack)
		if end.IsZero() || !from.Before(to) {
			continue
		}
		changes = append(changes, change{from, s.Tier, 1}, change{to, s.Tier, -1})
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	var waiting [tier.Count]int
	next := 0
	for i := range began {
		x := &began[i]
		for ; next < len(changes) && changes[next].at.Before(x.Began); next++ {
			waiting[changes[next].tier] += changes[next].delta
		}
		higher, other := 0, 0
		for t, n := range waiting {
			if tier.Tier(t).Above(x.Tier) {
				higher += n
			}
			if tier.Tier(t) != x.Tier {
				other += n
			}
		}
		if other > 0 {
			p.ContendedStarts[x.Class]++
		}
		if higher > 0 {
			p.Overtakes[x.Class]++
		}
	}
}

// BeyondFloor returns the overtakes beyond those that the floors allow, as a share
// of the requests that started while one of another tier was waiting.
func (p *PriorityReport) BeyondFloor(set *rule.Set) float64 {
	total, beyond := 0, 0.0
	for _, n := range p.ContendedStarts {
		total += n
	}
	for class, n := range p.Overtakes {
		beyond += max(0, float64(n)-set.Classes[class].Floor*float64(total))
	}
	if total == 0 {
		return 0
	}
	return beyond / float64(total)
}

// standinRuns returns the runs without their upstreams.
func standinRuns(runs []EngineRun) []standin.Run {
	list := make([]standin.Run, len(runs))
	for i, r := range runs {
		list[i] = r.Run
	}
	return list
}
