package bench

// This file defines Result, one call as its caller saw it, and Outcome, which
// classifies results.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
)

// Outcome classifies the result of a call. Every call has exactly one.
type Outcome string

// The outcomes of a call.
const (
	Whole          Outcome = "whole"           // the whole response, and the correct one
	RefusedNotRun  Outcome = "refused_not_run" // a problem document that says not_run
	RefusedUnknown Outcome = "refused_unknown" // a problem document that says unknown
	Cut            Outcome = "cut"             // part of the response, then an explicit error event
	Wrong          Outcome = "wrong"           // text of another response, or a truncated or empty one that looks whole
	Lost           Outcome = "lost"            // no response, or a stream that broke off without an error event
)

// Outcomes lists every outcome in the order of the table columns.
var Outcomes = []Outcome{Whole, RefusedNotRun, RefusedUnknown, Cut, Wrong, Lost}

// Result is one call and its outcome.
type Result struct {
	Arrival  *Arrival
	Request  id.Request // as the response names it; empty: no response
	Booking  string     // reference of a booking
	Attempts int        // more than one only for a booking with an idempotency key
	Outcome  Outcome
	Reason   problem.Reason // of a refusal or an error event
	Detail   string         // of a refused, wrong or lost response
	Entry    string         // base URL of the entry that responded
	Sent     time.Time
	First    time.Time     // of the first token; zero: none
	Last     time.Time     // of the last token or byte
	Tokens   int           // delivered tokens of the response
	MaxGap   time.Duration // longest time between two tokens
}

// TTFT returns the time to the first token.
func (r *Result) TTFT() time.Duration { return r.First.Sub(r.Sent) }

// MeanGap returns the mean time between tokens; zero for fewer than two tokens.
func (r *Result) MeanGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return r.Last.Sub(r.First) / time.Duration(r.Tokens-1)
}

// InTime reports whether the response is whole and meets every target of its class:
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
