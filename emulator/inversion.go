package emulator

// This file defines Inversion, which tells how far less urgent requests went before more urgent ones in
// a play.

import (
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// minInversionCalls is the least number of calls without an answer that counts as an inversion.
const minInversionCalls = 10

// inversionStep is the time between the beginnings of the spans that are looked at.
const inversionStep = 250 * time.Millisecond

// ended is a call that is over.
type ended struct {
	kind   int
	sent   time.Duration // since the beginning of the load
	failed bool          // without a whole answer
}

// begun is a request that was sent to an engine.
type begun struct {
	kind int
	at   time.Duration // since the beginning of the load
}

// addBegin records that a request of a call was sent to an engine.
func (r *DayResult) addBegin(c *call) {
	if c.counted {
		r.begins = append(r.begins, begun{c.kind, c.day.elapsed()})
	}
}

// Inversion is a span in which calls of a kind got no whole answer while requests began that are less urgent
// and of over twice the size.
type Inversion struct {
	Kind          string
	From          time.Duration // since the beginning of the load
	Calls, Failed int           // of the kind
	Larger        int           // requests that began
}

// Share returns the share of the calls that failed.
func (i *Inversion) Share() float64 { return float64(i.Failed) / float64(max(1, i.Calls)) }

// WorstInversions returns, by kind, the span of a length with the largest share of calls without an answer.
// Spans with fewer than ten of them, or in which nothing larger began, do not count.
func (r *DayResult) WorstInversions(span time.Duration) []Inversion {
	worst := make([]Inversion, len(r.site.Kinds))
	for kind := range r.site.Kinds {
		worst[kind].Kind = r.site.Kinds[kind].Name
		for from := time.Duration(0); from+span <= r.site.Warmup.Duration+r.site.Length.Duration; from += inversionStep {
			in := Inversion{Kind: worst[kind].Kind, From: from}
			inSpan := func(at time.Duration) bool { return at >= from && at < from+span }
			for _, e := range r.ends {
				if e.kind == kind && inSpan(e.sent) {
					in.Calls++
					if e.failed {
						in.Failed++
					}
				}
			}
			for _, b := range r.begins {
				if inSpan(b.at) && r.site.larger(b.kind, kind) {
					in.Larger++
				}
			}
			if in.Failed >= minInversionCalls && in.Larger > 0 && in.Share() > worst[kind].Share() {
				worst[kind] = in
			}
		}
	}
	return worst
}

// larger reports whether requests of a kind are less urgent than those of another one and over twice as
// long on average.
func (s *Site) larger(kind, than int) bool {
	k, other := &s.Kinds[kind], &s.Kinds[than]
	return k.Priority > other.Priority && k.meanPrompt() > 2*other.meanPrompt()
}

// meanPrompt returns the mean length of the prompts of a kind.
func (k *Kind) meanPrompt() id.Tokens {
	n := k.Own.Mean
	for p := range slices.Values(k.Shared) {
		n += p.Tokens.Mean
	}
	return n
}
