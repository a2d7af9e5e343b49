// Package rule defines the operators' rules file: its kinds of rule, how a line
// is read, and the set of rules that a whole file makes.
//
// A line is logfmt: a kind, then key=value pairs, then a comment that names who
// asked for the rule:
//
//	class name=counter tier=gold ttft=750ms  # Malee: a buyer waits at the counter
//
// Blank lines and lines that hold only a comment are skipped.
package rule

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/tier"
)

// Rule is one line of the file. Its variants are *Class, *Route, *Workspace,
// *Model, *Upstream, *Drain and *Fleet.
type Rule interface {
	meta() *Meta
}

// Meta is what every rule carries besides its own fields.
type Meta struct {
	Line    int    // counted from 1
	Comment string // who asked for the rule, and why
}

func (m *Meta) meta() *Meta { return m }

// Class is a kind of traffic with one target and one tier.
type Class struct {
	Meta
	Name     id.Class
	Tier     tier.Tier
	TTFT     time.Duration // target for the first token
	TokenGap time.Duration // target between tokens
	Deadline time.Duration // for the whole answer; zero: none
	MaxWait  time.Duration // longest wait before the first token before it is refused
	Floor    float64       // least share of dispatches, 0 to 1
}

// RepeatPolicy says whether calls of a route may be run again.
type RepeatPolicy string

// The values of RepeatPolicy.
const (
	RepeatIdempotent RepeatPolicy = "idempotent" // may run any number of times
	RepeatNever      RepeatPolicy = "never"      // must run at most once
)

// Route maps paths below a prefix to model engines or to a plain service.
type Route struct {
	Meta
	Name       id.Route
	Service    id.Service // empty: a model route
	Method     string     // empty: every method
	Path       string     // below /services/{route}; empty: every path
	Classes    []id.Class // classes that may be asked for; the first is the default
	Repeat     RepeatPolicy
	Workspaces []id.Workspace // empty: open to all
}

// Workspace is a tenant with what it is owed.
type Workspace struct {
	Meta
	Name              id.Workspace
	Weight            float64 // weight among workspaces of one class
	RequestsPerSecond float64 // requests a second; zero: no limit
	TokensPerSecond   float64 // output tokens a second; zero: no limit
	Burst             time.Duration
}

// Model is a language model that upstreams may serve.
type Model struct {
	Meta
	Name    id.Model
	Context id.Tokens
}

// Fencing says what an upstream does with orders that carry an old term.
type Fencing string

// The values of Fencing.
const (
	FencingChecks  Fencing = "checks"
	FencingIgnores Fencing = "ignores"
)

// Upstream bounds what one upstream, or every upstream of a model or service, gets.
type Upstream struct {
	Meta
	Name           id.Upstream // empty: every upstream of Model or Service
	Model          id.Model
	Service        id.Service
	MaxConcurrency int // most requests that may run at once
	InitialLimit   int // limit of a new incarnation
	Fencing        Fencing
}

// Drain takes a data centre out of service.
type Drain struct {
	Meta
	DataCentre id.DataCentre
}

// Fleet bounds how many upstreams of a model a data centre runs.
type Fleet struct {
	Meta
	Model      id.Model
	DataCentre id.DataCentre
	Min        int
	Max        int
}
