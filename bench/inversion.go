package bench

// This file defines the checker of priorities. It judges from what callers and
// engines saw, and from the traces only that a stream was preempted; it shares no
// code with the scheduler.

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

// orderSlack is the time that a request may be on its way between a caller, an
// entry and an engine.
const orderSlack = 100 * time.Millisecond

// Span is the life of one model request.
type Span struct {
	Request   id.Request
	Class     id.Class
	Tier      tier.Tier
	Arrived   time.Time
	Began     time.Time // at an engine for the first time; zero: never
	Upstream  id.Upstream
	Ended     time.Time // at that engine
	Preempted bool      // this first run was cut to make room
	Shed      time.Time // refused by a decision of the router; zero: not shed
	Reason    problem.Reason
	MustBegin time.Time // latest time at which it would not have been refused
}

// Priorities is what the checker found.
type Priorities struct {
	// Inversions are requests that were shed or preempted while a lower tier got
	// what they needed.
	Inversions []string
	// Overtakes counts, for each class, requests that began while one of a higher
	// tier had been waiting.
	Overtakes map[id.Class]int
	// Began counts the requests that began while one of another tier was waiting.
	Began map[id.Class]int
}

// shedding are the reasons by which the router refuses for want of capacity.
var shedding = []problem.Reason{
	problem.QueueFull, problem.DeadlineExceeded, problem.DeadlineHopeless, problem.ShedForTier,
	problem.NoUpstream, problem.UpstreamBusy, problem.Preempted,
}

// Spans joins what callers saw with what engines saw. Preempted names the requests
// whose traces hold a preemption.
func Spans(set *rule.Set, results []*Result, runs []EngineRun, preempted map[id.Request]bool) []Span {
	first := make(map[id.Request]EngineRun)
	for _, r := range runs {
		if old, ok := first[r.Request]; !ok || r.Began.Before(old.Began) {
			first[r.Request] = r
		}
	}
	var spans []Span
	for _, x := range results {
		if x.Arrival.Traffic.Kind != Chat || x.Request == "" {
			continue
		}
		c := set.Classes[x.Arrival.Traffic.Class]
		s := Span{Request: x.Request, Class: c.Name, Tier: c.Tier, Arrived: x.Sent, MustBegin: x.Sent.Add(c.MaxWait)}
		if run, ok := first[x.Request]; ok {
			s.Began, s.Ended, s.Upstream = run.Began, run.Ended, run.Upstream.Name
			s.Preempted = preempted[x.Request] && !run.Whole
		}
		if x.Outcome != Whole && slices.Contains(shedding, x.Reason) {
			s.Shed, s.Reason = x.Last, x.Reason
		}
		spans = append(spans, s)
	}
	return spans
}

// CheckPriorities judges the spans of one load.
func CheckPriorities(spans []Span) *Priorities {
	p := &Priorities{Overtakes: make(map[id.Class]int), Began: make(map[id.Class]int)}
	began := slices.DeleteFunc(slices.Clone(spans), func(s Span) bool { return s.Began.IsZero() })
	slices.SortFunc(began, func(a, b Span) int { return a.Began.Compare(b.Began) })
	for i := range spans {
		s := &spans[i]
		if !s.Shed.IsZero() && s.Began.IsZero() {
			p.shed(s, began)
		}
		if s.Preempted {
			p.preempted(s, began)
		}
	}
	p.order(spans, began)
	return p
}

// shed notes an inversion if a lower tier began in the place of a shed request.
func (p *Priorities) shed(s *Span, began []Span) {
	end := s.Shed
	if s.Reason == problem.DeadlineHopeless {
		end = s.MustBegin // it was said that none could begin until then
	}
	for _, x := range between(began, s.Arrived.Add(orderSlack), end.Add(-orderSlack)) {
		if s.Tier.Above(x.Tier) {
			p.note(s, x, "shed")
			return
		}
	}
	if s.Reason != problem.QueueFull && s.Reason != problem.ShedForTier {
		return
	}
	for _, x := range between(began, s.Shed.Add(orderSlack), s.MustBegin) {
		if s.Tier.Above(x.Tier) && x.Arrived.Before(s.Shed.Add(-orderSlack)) {
			p.note(s, x, "shed before a waiting")
			return
		}
	}
}

// preempted notes an inversion if a lower tier went on at the same engine.
func (p *Priorities) preempted(s *Span, began []Span) {
	for _, x := range began {
		if x.Upstream == s.Upstream && s.Tier.Above(x.Tier) &&
			x.Began.Before(s.Ended.Add(-orderSlack)) && x.Ended.After(s.Ended.Add(orderSlack)) {
			p.note(s, &x, "preempted beside")
			return
		}
	}
}

func (p *Priorities) note(s, x *Span, what string) {
	p.Inversions = append(p.Inversions, fmt.Sprintf("request=%s class=%s reason=%s %s request=%s class=%s began=%s",
		s.Request, s.Class, s.Reason, what, x.Request, x.Class, x.Began.UTC().Format(time.RFC3339Nano)))
}

// between returns the spans that began in a time, given all in the order of their
// beginnings.
func between(began []Span, from, to time.Time) []*Span {
	i, _ := slices.BinarySearchFunc(began, from, func(s Span, t time.Time) int { return s.Began.Compare(t) })
	var list []*Span
	for ; i < len(began) && began[i].Began.Before(to); i++ {
		list = append(list, &began[i])
	}
	return list
}

// order counts the requests that began while a higher tier waited. It sweeps over
// the beginnings and keeps, for each tier, how many are waiting.
func (p *Priorities) order(spans, began []Span) {
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
			end = s.Shed
		}
		from, to := s.Arrived.Add(orderSlack), end.Add(-orderSlack)
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
			p.Began[x.Class]++
		}
		if higher > 0 {
			p.Overtakes[x.Class]++
		}
	}
}

// BeyondFloor returns the overtakes that no floor allows, as a share of the
// requests that began while another tier was waiting.
func (p *Priorities) BeyondFloor(set *rule.Set) float64 {
	total, beyond := 0, 0.0
	for _, n := range p.Began {
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

// plainRuns drops the names of the engines.
func plainRuns(runs []EngineRun) []standin.Run {
	list := make([]standin.Run, len(runs))
	for i, r := range runs {
		list[i] = r.Run
	}
	return list
}
