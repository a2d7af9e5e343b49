package bench

// This file defines Outcome and Result: what became of one call, as its caller
// saw it.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
)

// Outcome says how a call ended. Every call has exactly one.
type Outcome string

// The outcomes of a call.
const (
	Whole          Outcome = "whole"           // the whole answer, and the right one
	RefusedNotRun  Outcome = "refused_not_run" // a problem document that says not_run
	RefusedUnknown Outcome = "refused_unknown" // a problem document that says unknown
	Cut            Outcome = "cut"             // part of the answer, then an explicit error event
	Wrong          Outcome = "wrong"           // another answer's text, or a cut or empty one that looks whole
	Lost           Outcome = "lost"            // no answer, or a stream that broke off without an error event
)

// Outcomes lists every outcome in the order of tables.
var Outcomes = []Outcome{Whole, RefusedNotRun, RefusedUnknown, Cut, Wrong, Lost}

// Result is one call with its end.
type Result struct {
	Arrival *Arrival
	Request id.Request // as the answer names it; empty: no answer
	Booking string     // reference of a booking
	Tries   int        // calls made for it; more than one only for a booking with a key
	Outcome Outcome
	Reason  problem.Reason // of a refusal or an error event
	Detail  string         // of a wrong or lost answer
	Entry   string         // address that answered
	Sent    time.Time
	First   time.Time // of the first token; zero: none
	Last    time.Time // of the last token or byte
	Tokens  int       // of the answer, delivered
	LongGap time.Duration
}

// TTFT returns the time to the first token.
func (r *Result) TTFT() time.Duration { return r.First.Sub(r.Sent) }

// MeanGap returns the mean time between tokens; zero if there is one at most.
func (r *Result) MeanGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return r.Last.Sub(r.First) / time.Duration(r.Tokens-1)
}

// InTime reports whether the answer is whole and meets every target of its class:
// time to first token, mean gap between tokens, and deadline.
func (r *Result) InTime(c *rule.Class) bool {
	switch {
	case r.Outcome != Whole:
		return false
	case c.Deadline > 0 && r.Last.Sub(r.Sent) > c.Deadline:
		return false
	case r.Arrival.Traffic.Kind != Chat:
		return true
	case c.TTFT > 0 && r.TTFT() > c.TTFT:
		return false
	}
	return c.TokenGap == 0 || r.MeanGap() <= c.TokenGap
}
