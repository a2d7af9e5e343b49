package bench

// This file defines Report, the summary of a run, and NewReport and NewEngineTotals,
// which compute it from the results and the records of the upstreams.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/standin"
)

// Range, in microseconds, and significant digits of the histograms.
const (
	histogramMin    = 1
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Report is the summary of one run.
type Report struct {
	Experiment           string           `json:"experiment,omitempty"`
	Deployment           string           `json:"deployment"`
	Policy               string           `json:"policy,omitempty"`
	Seed                 uint64           `json:"seed"`
	Version              string           `json:"version"`
	Seconds              float64          `json:"seconds"` // length of the measured period
	Total                CallStats        `json:"total"`
	Classes              []ClassStats     `json:"classes"`
	Workspaces           []WorkspaceStats `json:"workspaces"`
	OvertakesBeyondFloor float64          `json:"overtakes_beyond_floor"` // see PriorityReport.BeyondFloor
	Engines              *EngineTotals    `json:"engines,omitempty"`
	Usage                *UsageTotals     `json:"usage,omitempty"`
	Series               []Bin            `json:"series"`
	Checks               []Check          `json:"checks,omitempty"`
	Notes                []string         `json:"notes,omitempty"` // the first wrong and lost responses and priority inversions, and notes on the run
}

// CallStats counts calls by outcome, and their tokens.
type CallStats struct {
	Calls           int                    `json:"calls"`
	InTime          int                    `json:"in_time"`
	Attainment      float64                `json:"attainment"` // share of calls answered in time
	Outcomes        map[Outcome]int        `json:"outcomes"`
	Reasons         map[problem.Reason]int `json:"reasons,omitempty"`
	RequestedTokens int                    `json:"asked_tokens"` // tokens that all calls would get in whole responses
	InTimeTokens    int                    `json:"good_tokens"`  // tokens received in whole responses in time
	WholeTokens     int                    `json:"whole_tokens"` // tokens received in whole responses
	GoodputTokens   float64                `json:"goodput_tokens_per_second"`
	GoodputRequests float64                `json:"goodput_requests_per_second"`
}

// ClassStats holds the counts and latencies of one class.
type ClassStats struct {
	Name         id.Class  `json:"class"`
	Tier         string    `json:"tier"`
	Stats        CallStats `json:"figures"`
	TTFT         Quantiles `json:"ttft"`
	MeanGap      Quantiles `json:"mean_gap"`     // mean time between the tokens of a response
	MaxGap       Quantiles `json:"longest_gap"`  // longest time between two tokens of a response
	ResponseTime Quantiles `json:"whole_answer"` // from sending a call to the end of its response
}

// WorkspaceStats holds the attainment of one workspace.
type WorkspaceStats struct {
	Name       id.Workspace `json:"workspace"`
	Calls      int          `json:"calls"`
	Attainment float64      `json:"attainment"`
}

// Quantiles holds quantiles of a duration, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// EngineTotals sums the work of a fleet's engines, warm-up included.
type EngineTotals struct {
	UpstreamSeconds float64 `json:"upstream_seconds"` // sum of the times that the engines ran
	GeneratedTokens int64   `json:"generated_tokens"`
	WastedTokens    int64   `json:"wasted_tokens"`    // generated, but not part of a whole response
	Crashes         int64   `json:"falls"`            // from overload, and injected ones
	FalseNotRun     int     `json:"false_not_run"`    // refused with not_run although an upstream ran it
	DoubledBookings int     `json:"doubled_bookings"` // references booked more than once

	FalseRefusals []string `json:"false_refusals,omitempty"` // descriptions of the first ones
}

// Bin counts the calls of a class that were sent within one second.
type Bin struct {
	Second int      `json:"second"` // since the start of the measured period
	Class  id.Class `json:"class"`
	Calls  int      `json:"calls"`
	InTime int      `json:"in_time"`
}

// Check is the result of checking one guarantee of an experiment.
type Check struct {
	Name  string  `json:"name"`
	Ok    bool    `json:"ok"`
	Value float64 `json:"value"` // measured
	Bound float64 `json:"bound"` // highest or lowest value that keeps the guarantee
	Note  string  `json:"note,omitempty"`
}

// maxNotes bounds how many failures of a kind a report describes.
const maxNotes = 6

// NewReport summarises the results without those of the warm-up. Start and length
// give the measured period, which follows the warm-up.
func NewReport(d *Deployment, set *rule.Set, results []*Result, start time.Time, length time.Duration) *Report {
	r := &Report{Deployment: d.Name, Seconds: length.Seconds(), Total: newCallStats()}
	classes := make(map[id.Class]*classAccumulator)
	workspaces := make(map[id.Workspace]*CallStats)
	for _, x := range results {
		if x.Arrival.Warmup {
			continue
		}
		name := x.Arrival.Traffic.Class
		c := classes[name]
		if c == nil {
			c = newClassAccumulator(name, set.Classes[name])
			classes[name] = c
		}
		w := workspaces[x.Arrival.Workspace]
		if w == nil {
			stats := newCallStats()
			w = &stats
			workspaces[x.Arrival.Workspace] = w
		}
		inTime := x.InTime(c.rule)
		r.Total.add(x, inTime)
		c.stats.add(x, inTime)
		w.add(x, inTime)
		c.recordTimes(x)
		c.addToBin(int(x.Sent.Sub(start).Seconds()), inTime)
		if (x.Outcome == Wrong || x.Outcome == Lost) && len(r.Notes) < maxNotes {
			r.Notes = append(r.Notes, describeResult(x))
		}
	}
	r.Total.computeRates(r.Seconds)
	for _, c := range classes {
		c.stats.computeRates(r.Seconds)
		r.Classes = append(r.Classes, c.classStats())
		r.Series = append(r.Series, c.bins...)
	}
	for name, stats := range workspaces {
		stats.computeRates(r.Seconds)
		r.Workspaces = append(r.Workspaces, WorkspaceStats{Name: name, Calls: stats.Calls, Attainment: stats.Attainment})
	}
	r.sort(set)
	return r
}

// sort orders classes by tier, workspaces by attainment, the lowest first, and bins by
// class and second.
func (r *Report) sort(set *rule.Set) {
	slices.SortFunc(r.Classes, func(a, b ClassStats) int {
		if ta, tb := set.Classes[a.Name].Tier, set.Classes[b.Name].Tier; ta != tb {
			return int(ta) - int(tb)
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	slices.SortFunc(r.Workspaces, func(a, b WorkspaceStats) int {
		switch {
		case a.Attainment < b.Attainment:
			return -1
		case a.Attainment > b.Attainment:
			return 1
		}
		return strings.Compare(string(a.Name), string(b.Name))
	})
	slices.SortStableFunc(r.Series, func(a, b Bin) int {
		if a.Class != b.Class {
			return strings.Compare(string(a.Class), string(b.Class))
		}
		return a.Second - b.Second
	})
}

// Class returns the statistics of a class, or nil.
func (r *Report) Class(name id.Class) *ClassStats {
	for i := range r.Classes {
		if r.Classes[i].Name == name {
			return &r.Classes[i]
		}
	}
	return nil
}

// AllResolved reports whether every call has exactly one outcome and none is Wrong or Lost.
func (r *Report) AllResolved() bool {
	sum := 0
	for _, n := range r.Total.Outcomes {
		sum += n
	}
	return sum == r.Total.Calls && r.Total.Outcomes[Wrong] == 0 && r.Total.Outcomes[Lost] == 0
}

func describeResult(x *Result) string {
	return string(x.Outcome) + " request=" + string(x.Request) + " class=" + string(x.Arrival.Traffic.Class) +
		" entry=" + x.Entry + " sent=" + x.Sent.UTC().Format(time.RFC3339Nano) + " " + x.Detail
}

func newCallStats() CallStats {
	return CallStats{Outcomes: make(map[Outcome]int), Reasons: make(map[problem.Reason]int)}
}

func (s *CallStats) add(x *Result, inTime bool) {
	s.Calls++
	s.Outcomes[x.Outcome]++
	s.RequestedTokens += len(x.Arrival.expectedTokens())
	if x.Reason != "" {
		s.Reasons[x.Reason]++
	}
	if x.Outcome == Whole {
		s.WholeTokens += x.Tokens
	}
	if inTime {
		s.InTime++
		s.InTimeTokens += x.Tokens
	}
}

// MissedTokens returns the requested tokens that were not part of a response in
// time.
func (s *CallStats) MissedTokens() int { return s.RequestedTokens - s.InTimeTokens }

func (s *CallStats) computeRates(seconds float64) {
	if s.Calls > 0 {
		s.Attainment = float64(s.InTime) / float64(s.Calls)
	}
	if seconds > 0 {
		s.GoodputTokens = float64(s.InTimeTokens) / seconds
		s.GoodputRequests = float64(s.InTime) / seconds
	}
}

// classAccumulator accumulates the statistics of one class.
type classAccumulator struct {
	name         id.Class
	rule         *rule.Class
	stats        CallStats
	ttft         *hdrhistogram.Histogram
	meanGap      *hdrhistogram.Histogram
	maxGap       *hdrhistogram.Histogram
	responseTime *hdrhistogram.Histogram
	bins         []Bin
}

func newClassAccumulator(name id.Class, c *rule.Class) *classAccumulator {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(histogramMin, histogramMax, histogramDigits) }
	return &classAccumulator{name: name, rule: c, stats: newCallStats(), ttft: h(), meanGap: h(), maxGap: h(), responseTime: h()}
}

// recordTimes records the latencies of a whole response; other outcomes have none.
func (c *classAccumulator) recordTimes(x *Result) {
	if x.Outcome != Whole {
		return
	}
	recordDuration(c.ttft, x.TTFT())
	recordDuration(c.responseTime, x.Last.Sub(x.Sent))
	if x.Tokens > 1 {
		recordDuration(c.meanGap, x.MeanGap())
		recordDuration(c.maxGap, x.MaxGap)
	}
}

// recordDuration adds a duration, clipped to the range of the histogram.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func (c *classAccumulator) addToBin(second int, inTime bool) {
	second = max(0, second)
	for len(c.bins) <= second {
		c.bins = append(c.bins, Bin{Second: len(c.bins), Class: c.name})
	}
	c.bins[second].Calls++
	if inTime {
		c.bins[second].InTime++
	}
}

func (c *classAccumulator) classStats() ClassStats {
	return ClassStats{
		Name: c.name, Tier: c.rule.Tier.String(), Stats: c.stats,
		TTFT: quantiles(c.ttft), MeanGap: quantiles(c.meanGap), MaxGap: quantiles(c.maxGap), ResponseTime: quantiles(c.responseTime),
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 {
		return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// NewEngineTotals sums the runs of engines and the bookings by reference. It counts
// calls that were refused with not_run although an upstream ran them.
func NewEngineTotals(results []*Result, runs []standin.Run, bookings map[string]int) *EngineTotals {
	e := &EngineTotals{}
	generatedTokens := make(map[id.Request]int)
	for _, run := range runs {
		e.GeneratedTokens += int64(run.Tokens)
		generatedTokens[run.Request] += run.Tokens
	}
	delivered := int64(0)
	for _, x := range results {
		if x.Outcome == Whole && x.Arrival.Traffic.Kind == Chat {
			delivered += int64(x.Tokens)
		}
		if x.Outcome == RefusedNotRun && (generatedTokens[x.Request] > 0 || bookings[x.Booking] > 0) {
			e.FalseNotRun++
			if len(e.FalseRefusals) < maxNotes {
				e.FalseRefusals = append(e.FalseRefusals, fmt.Sprintf("false not_run request=%s reason=%s booking=%q tries=%d tokens=%d: %s",
					x.Request, x.Reason, x.Booking, x.Attempts, generatedTokens[x.Request], x.Detail))
			}
		}
	}
	e.WastedTokens = e.GeneratedTokens - delivered
	for _, n := range bookings {
		if n > 1 {
			e.DoubledBookings++
		}
	}
	return e
}
