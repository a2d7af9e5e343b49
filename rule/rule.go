// Package rule defines the rules file that operators publish: the kinds of rules, the
// parser, and the rule set that a file defines.
//
// A line is in logfmt: the kind of the rule, key=value pairs, and a mandatory comment
// that names who requested the rule:
//
//	class name=counter tier=gold ttft=750ms  # Malee: a buyer waits at the counter
//
// Blank lines and lines with only a comment are ignored.
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

// Meta holds the position and comment that every rule has.
type Meta struct {
	Line    int    // starts at 1
	Comment string // who requested the rule, and why
}

func (m *Meta) meta() *Meta { return m }

// Class defines the latency targets, limits and tier of one class of traffic.
type Class struct {
	Meta
	Name     id.Class
	Tier     tier.Tier
	TTFT     time.Duration // target for the time to first token; zero: none
	TokenGap time.Duration // target for the time between two tokens; zero: none
	Deadline time.Duration // maximum time until the response is complete; zero: none
	MaxWait  time.Duration // a request that is not dispatched within this time is refused
	Floor    float64       // minimum fraction of all dispatches that the class gets, 0 to 1
}

// RepeatPolicy specifies whether the service may execute a call of a route more than once.
type RepeatPolicy string

// The values of RepeatPolicy.
const (
	RepeatIdempotent RepeatPolicy = "idempotent" // any number of executions is safe
	RepeatNever      RepeatPolicy = "never"      // at most one execution
)

// Route maps requests to model engines or to a plain service.
type Route struct {
	Meta
	Name       id.Route
	Service    id.Service // empty: a model route
	Method     string     // empty: every method
	Path       string     // below /services/{service}; empty: every path
	Classes    []id.Class // classes that a request may select; the first is the default
	Repeat     RepeatPolicy
	Workspaces []id.Workspace // empty: every workspace
}

// Workspace defines the scheduling weight and rate limits of a tenant.
type Workspace struct {
	Meta
	Name              id.Workspace
	Weight            float64       // relative to the other workspaces of a class
	RequestsPerSecond float64       // zero: no limit
	TokensPerSecond   float64       // output tokens; zero: no limit
	Burst             time.Duration // size of the token buckets, as the time to fill them
}

// Model defines a language model that upstreams serve.
type Model struct {
	Meta
	Name    id.Model
	Context id.Tokens // context length
}

// Fencing specifies what an upstream does with an order whose fencing number is stale.
type Fencing string

// The values of Fencing.
const (
	FencingChecks  Fencing = "checks"  // the upstream rejects it
	FencingIgnores Fencing = "ignores" // the upstream carries it out; the sidecar must check
)

// Upstream defines the concurrency limits and the fencing behaviour of one upstream, or
// of every upstream of a model or service.
type Upstream struct {
	Meta
	Name           id.Upstream // empty: every upstream of Model or Service
	Model          id.Model
	Service        id.Service
	MaxConcurrency int // upper bound of the concurrency limit; zero: a default
	InitialLimit   int // concurrency limit of a new incarnation; zero: a default
	Fencing        Fencing
}

// Drain takes a data centre out of service.
type Drain struct {
	Meta
	DataCentre id.DataCentre
}

// Fleet sets the minimum and maximum number of upstreams of a model in a data centre.
type Fleet struct {
	Meta
	Model      id.Model
	DataCentre id.DataCentre
	Min        int
	Max        int
}
