// Package catalog holds the configuration that operators have put in force: which
// routes exist, which services answer them, and which keys belong to which
// workspace.
//
// A Catalog is immutable. Latest keeps the newest one; an older version never
// replaces a newer one.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Version numbers configurations. Versions grow in uneven steps.
type Version uint64

// Kind says what may be repeated of a request.
type Kind int

// The kinds of request.
const (
	KindSafe      Kind = iota // may run any number of times
	KindOnce                  // may run at most once
	KindStream                // a stream of events; may run at most once
	KindResumable             // a stream that another upstream can continue after an event
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindOnce:
		return "once"
	case KindStream:
		return "stream"
	case KindResumable:
		return "resumable"
	}
	return "unknown"
}

// Retryable reports whether a request that may have run can be sent again.
func (k Kind) Retryable() bool { return k == KindSafe || k == KindResumable }

// Streams reports whether the answer is a stream of events.
func (k Kind) Streams() bool { return k == KindStream || k == KindResumable }

// WeightedService is the part of a route's requests that one service answers.
type WeightedService struct {
	Service id.Service
	Weight  float64
}

// Route maps requests to services.
type Route struct {
	Name             id.Route
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration     // until the final answer; zero: none
	LatencyObjective time.Duration     // until the answer, or its first event
	MaxEventGap      time.Duration     // longest pause between two events that is in time
	Priority         int               // 0 is the highest
	MaxAttempts      int               // upstreams that one request may be sent to, at least 1
	Public           bool              // needs no key
	PromptAffinity   bool              // requests carry the parts of their prompts
	Services         []WeightedService // at least one
}

// Service is a pool of upstreams that answer the same requests.
type Service struct {
	Name       id.Service
	HealthPath string
	MaxConns   int // connections that one upstream takes from all callers together
	Cold       ColdLimit
	Engine     *Engine // nil: a plain service
}

// ColdLimit is what an upstream bears while it is cold.
type ColdLimit struct {
	Duration          time.Duration // after its start
	RequestsPerSecond float64       // requests a second; zero: no limit
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int       // requests in a batch
	KVCacheTokens id.Tokens // memory of prompts and answers
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is a holder of keys.
type Workspace struct {
	Name     id.Workspace
	Priority *int // goes before the route's, 0 is the highest; nil: 0
}

// Catalog is one version of the configuration. It must not be changed once it is
// on a shelf.
type Catalog struct {
	Version     Version
	Routes      []Route
	Services    map[id.Service]*Service
	Limits      Limits
	Workspaces  map[string]*Workspace // by key
	RequireKeys bool                  // callers need keys, even if there are none

	byHost map[string][]*Route
	pauses map[id.Service]time.Duration // the shortest of the routes to a service
	ranks  []rank                       // every pair of priorities, the most urgent first
}

// rank is how urgent a request is: the workspace's priority goes before the route's.
type rank struct{ workspace, route int }

// Index prepares lookups. It must be called once, before the catalog is shared.
func (c *Catalog) Index() {
	c.rankAll()
	c.byHost = make(map[string][]*Route)
	c.pauses = make(map[id.Service]time.Duration)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
		for _, s := range r.Services {
			if old, known := c.pauses[s.Service]; r.MaxEventGap > 0 && (!known || r.MaxEventGap < old) {
				c.pauses[s.Service] = r.MaxEventGap
			}
		}
	}
}

// rankAll puts every pair of priorities that requests can have in order.
func (c *Catalog) rankAll() {
	workspaces := map[int]bool{}
	for _, w := range c.Workspaces {
		workspaces[w.priority()] = true
	}
	if len(workspaces) == 0 {
		workspaces[0] = true
	}
	routes := map[int]bool{}
	for i := range c.Routes {
		routes[c.Routes[i].Priority] = true
	}
	c.ranks = nil
	for _, w := range slices.Sorted(maps.Keys(workspaces)) {
		for _, r := range slices.Sorted(maps.Keys(routes)) {
			c.ranks = append(c.ranks, rank{workspace: w, route: r})
		}
	}
}

func (w *Workspace) priority() int {
	if w == nil || w.Priority == nil {
		return 0
	}
	return *w.Priority
}

// Urgency returns how urgent a workspace's request on a route is, from 0, the first,
// to a largest value. Where there are more priorities than values, neighbours share
// one. W is nil for a request without a key.
func (c *Catalog) Urgency(w *Workspace, r *Route, largest int) int {
	at := slices.Index(c.ranks, rank{workspace: w.priority(), route: r.Priority})
	if at < 0 {
		at = 0 // a request without a key, where all workspaces have priorities
	}
	if over := len(c.ranks) - 1; over > largest {
		return at * largest / over
	}
	return at
}

// ShortestEventGap returns the shortest pause that a route to a service allows between
// two events; zero: none names one.
func (c *Catalog) ShortestEventGap(s id.Service) time.Duration { return c.pauses[s] }

// Route returns the route with the longest prefix that begins the path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	var best *Route
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// PickService returns the service that answers a request on the route. Draw, in [0, 1),
// chooses among the services of a split route.
func (r *Route) PickService(draw float64) id.Service {
	var total float64
	for _, s := range r.Services {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Services {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Latest keeps the newest catalog. It is safe for concurrent use.
type Latest struct{ newest atomic.Pointer[Catalog] }

// Load returns the catalog in force, or nil if none is known yet.
func (s *Latest) Load() *Catalog { return s.newest.Load() }

// Update puts a catalog in force, unless the same or a newer version already is. It
// reports whether it did.
func (s *Latest) Update(c *Catalog) bool {
	for {
		old := s.newest.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if s.newest.CompareAndSwap(old, c) {
			return true
		}
	}
}
