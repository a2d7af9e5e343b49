package emulator

// This file defines DayResult, what a play of a Site counts.

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what came of a call.
type Outcome int

// The outcomes.
const (
	InTime  Outcome = iota // the whole answer, as the objectives of its kind ask
	Late                   // the whole answer, otherwise
	Refused                // the last request was refused and has not run
	Failed                 // cut off, or the caller has left
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"in time", "late", "refused", "failed"}

func (o Outcome) String() string { return outcomeNames[o] }

// KindResult counts the calls of a kind.
type KindResult struct {
	Name           string
	Calls          int
	Outcomes       [outcomeCount]int
	Refusals       int                     // answers that refuse a request
	Returned       int                     // calls that returned when they were told to
	ReturnedServed int                     // those of them that got a whole answer
	Waits          *hdrhistogram.Histogram // until the first event of whole answers, in microseconds
	Worth          float64                 // of the answers
	MostWorth      float64                 // if all had been in time
}

// Second counts the calls that were sent in a second of a play.
type Second struct {
	Outcomes [outcomeCount]int
	Running  float64 // requests at engines at its beginning, those that wait included, for each slot
	Busy     float64 // share of its time for which the engines were in a step
}

// DayResult is what came of a play.
type DayResult struct {
	Site       string
	Seed       uint64
	Kinds      []KindResult
	Seconds    []Second
	EngineTime time.Duration // of the requests that the engines have worked on
	WastedTime time.Duration // of those of which nobody got the whole answer
	Busy       float64       // share of the time for which engines were in a step
	SlotsUsed  float64       // mean share of the slots that was in use
	Engines    BatchStats    // of all engines, while calls were counted

	site   *Site
	before BatchStats // of all engines at the previous sample
	ends   []ended    // calls that are over
	begins []begun    // requests that were sent to engines
}

// The range of the histograms of waits, in microseconds.
const (
	minWait, maxWait = 1, int64(time.Hour / time.Microsecond)
	waitDigits       = 2
)

func newResult(s *Site, seed uint64) *DayResult {
	r := &DayResult{Site: s.Name, Seed: seed, site: s}
	r.Seconds = make([]Second, int((s.Length.Duration+time.Second-1)/time.Second))
	for i := range s.Kinds {
		r.Kinds = append(r.Kinds, KindResult{Name: s.Kinds[i].Name, Waits: hdrhistogram.New(minWait, maxWait, waitDigits)})
	}
	return r
}

// second returns the second of the load that is counted in which something happened, or nil.
func (r *DayResult) second(at time.Duration) *Second {
	since := at - r.site.Warmup.Duration
	if n := int(since / time.Second); since >= 0 && n < len(r.Seconds) {
		return &r.Seconds[n]
	}
	return nil
}

// addSample adds the state of the engines: the requests there, and what all of them have done so
// far.
func (r *DayResult) addSample(at time.Duration, requests int, total BatchStats) {
	if s := r.second(at - time.Second); s != nil {
		delta := total
		delta.subtract(r.before)
		r.Engines.add(delta)
		s.Busy = float64(delta.Busy) / float64(time.Second) / float64(r.site.Engines)
		r.Busy += s.Busy / float64(len(r.Seconds))
		r.SlotsUsed += float64(delta.SlotTime) / float64(time.Second) / float64(r.site.Engines*r.site.Engine.Slots*len(r.Seconds))
	}
	r.before = total
	if s := r.second(at); s != nil {
		s.Running = float64(requests) / float64(r.site.Engines*r.site.Engine.Slots)
	}
}

// addCall counts a call that is over.
func (r *DayResult) addCall(c *call, o Outcome) {
	if !c.counted {
		return
	}
	k, details := &r.Kinds[c.kind], c.details()
	r.ends = append(r.ends, ended{c.kind, c.sent.Sub(c.day.start), o == Refused || o == Failed})
	k.Calls++
	k.Outcomes[o]++
	k.MostWorth += details.Worth
	switch o {
	case InTime:
		k.Worth += details.Worth
	case Late:
		k.Worth += details.LateWorth
	}
	if o == InTime || o == Late {
		_ = k.Waits.RecordValue(min(max(c.first.Sub(c.sent).Microseconds(), minWait), maxWait))
	}
	if c.returns > 0 {
		k.Returned++
		if o == InTime || o == Late {
			k.ReturnedServed++
		}
	}
	if s := r.second(c.sent.Sub(c.day.start)); s != nil {
		s.Outcomes[o]++
	}
}

// addRefusal counts a refusal.
func (r *DayResult) addRefusal(c *call) {
	if c.counted {
		r.Kinds[c.kind].Refusals++
	}
}

// addCost adds the time that an engine has spent on an attempt that is over.
func (r *DayResult) addCost(c *call, cost time.Duration, delivered bool) {
	if !c.counted {
		return
	}
	r.EngineTime += cost
	if !delivered {
		r.WastedTime += cost
	}
}

// Wasted returns the share of the engines' time that was spent on answers that nobody got.
func (r *DayResult) Wasted() float64 {
	if r.EngineTime == 0 {
		return 0
	}
	return float64(r.WastedTime) / float64(r.EngineTime)
}

// Worth returns the worth of all answers as a share of the most.
func (r *DayResult) Worth() float64 {
	worth, most := 0.0, 0.0
	for i := range r.Kinds {
		worth += r.Kinds[i].Worth
		most += r.Kinds[i].MostWorth
	}
	if most == 0 {
		return 0
	}
	return worth / most
}

// Share returns the share of the calls of a kind that had an outcome.
func (k *KindResult) Share(o Outcome) float64 {
	if k.Calls == 0 {
		return 0
	}
	return float64(k.Outcomes[o]) / float64(k.Calls)
}
