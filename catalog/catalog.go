// Package catalog holds the configuration that operators have put in force: the routes,
// the services that answer them, and the workspaces that keys belong to.
//
// A Catalog is immutable once it is shared. Latest holds the newest one, which an older
// version never replaces.
package catalog

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Version is the number of a configuration. Later configurations have higher numbers,
// not necessarily consecutive ones.
type Version uint64

// Kind is the kind of the requests on a route. It determines whether they may be sent
// again and whether they are answered by a stream of events.
type Kind int

// The kinds of requests.
const (
	KindSafe      Kind = iota // may run any number of times
	KindOnce                  // may run at most once
	KindStream                // is answered by a stream of events; may run at most once
	KindResumable             // is answered by a stream that another upstream can continue after any event
)

// String returns the name of the kind for logs.
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

// Retryable reports whether a request may be sent again after it may have run.
func (k Kind) Retryable() bool { return k == KindSafe || k == KindResumable }

// Streams reports whether the answer is a stream of events.
func (k Kind) Streams() bool { return k == KindStream || k == KindResumable }

// WeightedService is one of the services of a route. Its share of the requests is its
// weight divided by the sum of all weights.
type WeightedService struct {
	Service id.Service
	Weight  float64
}

// Route maps requests to services by host and path.
type Route struct {
	Name             id.Route
	Host             string
	PathPrefix       string // begins and ends with a slash
	Kind             Kind
	Timeout          time.Duration     // from the request to the end of its answer; zero: none
	LatencyObjective time.Duration     // from the request to its answer or the first event of it
	MaxEventGap      time.Duration     // longest time between two events of a stream that is on time
	Priority         int               // 0 is the highest
	MaxAttempts      int               // upstreams that one request may be sent to, at least 1
	Public           bool              // requests need no key
	PromptAffinity   bool              // requests carry the parts of their prompts for prefix affinity
	Services         []WeightedService // at least one
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name       id.Service
	HealthPath string
	MaxConns   int // most connections that one upstream accepts from all its clients together
	Cold       ColdLimit
	Engine     *Engine // nil: a plain service
}

// ColdLimit is the rate limit of an upstream that has started recently and is cold.
type ColdLimit struct {
	Duration          time.Duration // for which an upstream is cold after its start
	RequestsPerSecond float64       // from all gateways together; zero: no limit
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int       // most requests in a batch
	KVCacheTokens id.Tokens // capacity of the cache for prompts and answers
}

// Limits are the bounds on requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is the owner of keys.
type Workspace struct {
	Name     id.Workspace
	Priority *int // takes precedence over the priorities of routes; 0 is the highest; nil: 0
}

// Catalog is one version of the configuration. It must not be changed after Index was
// called.
type Catalog struct {
	Version     Version
	Routes      []Route
	Services    map[id.Service]*Service
	Limits      Limits
	Workspaces  map[string]*Workspace // by key
	RequireKeys bool                  // routes that are not public require a key, even if there are no keys

	routesByHost      map[string][]*Route
	shortestEventGaps map[id.Service]time.Duration // the shortest MaxEventGap of the routes to a service
	priorityOrder     []priorityPair               // all pairs of priorities that requests can have, the most urgent first
}

// priorityPair holds the priorities of a request. The priority of the workspace takes
// precedence over that of the route.
type priorityPair struct{ workspace, route int }

// Index builds the indexes for lookups. It must be called once, before the catalog is
// shared.
func (c *Catalog) Index() {
	c.indexPriorities()
	c.routesByHost = make(map[string][]*Route)
	c.shortestEventGaps = make(map[id.Service]time.Duration)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
		for _, s := range r.Services {
			if shortest, known := c.shortestEventGaps[s.Service]; r.MaxEventGap > 0 && (!known || r.MaxEventGap < shortest) {
				c.shortestEventGaps[s.Service] = r.MaxEventGap
			}
		}
	}
}

// indexPriorities sorts all pairs of priorities that requests can have by urgency.
func (c *Catalog) indexPriorities() {
	workspacePriorities := map[int]bool{}
	for _, w := range c.Workspaces {
		workspacePriorities[w.effectivePriority()] = true
	}
	if len(workspacePriorities) == 0 {
		workspacePriorities[0] = true
	}
	routePriorities := map[int]bool{}
	for i := range c.Routes {
		routePriorities[c.Routes[i].Priority] = true
	}
	c.priorityOrder = nil
	for _, w := range slices.Sorted(maps.Keys(workspacePriorities)) {
		for _, r := range slices.Sorted(maps.Keys(routePriorities)) {
			c.priorityOrder = append(c.priorityOrder, priorityPair{workspace: w, route: r})
		}
	}
}

// effectivePriority returns the priority of the workspace, or 0 if it has none or w is nil.
func (w *Workspace) effectivePriority() int {
	if w == nil || w.Priority == nil {
		return 0
	}
	return *w.Priority
}

// Urgency returns how urgent a request of a workspace on a route is, from 0, the most
// urgent, to largest. If there are more pairs of priorities than values, neighbouring
// pairs share a value. W is nil for a request without a key.
func (c *Catalog) Urgency(w *Workspace, r *Route, largest int) int {
	position := slices.Index(c.priorityOrder, priorityPair{workspace: w.effectivePriority(), route: r.Priority})
	if position < 0 {
		position = 0 // a request without a key in a catalog whose workspaces all have priorities other than 0
	}
	if last := len(c.priorityOrder) - 1; last > largest {
		return position * largest / last
	}
	return position
}

// ShortestEventGap returns the shortest MaxEventGap of the routes to a service, or zero if
// none of the routes sets one.
func (c *Catalog) ShortestEventGap(s id.Service) time.Duration { return c.shortestEventGaps[s] }

// Route returns the route of the host whose prefix is the longest that matches the path,
// or nil if there is none.
func (c *Catalog) Route(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	var best *Route
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}

// PickService returns one of the services of the route by their weights. Fraction is a
// random number in [0, 1).
func (r *Route) PickService(fraction float64) id.Service {
	var total float64
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := fraction * total
	for _, s := range r.Services {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

// Latest holds the newest catalog. It is safe for concurrent use.
type Latest struct{ current atomic.Pointer[Catalog] }

// Load returns the newest catalog, or nil if none is known yet.
func (l *Latest) Load() *Catalog { return l.current.Load() }

// Update replaces the catalog by a newer version. It reports whether it did: the same or
// an older version changes nothing.
func (l *Latest) Update(c *Catalog) bool {
	for {
		old := l.current.Load()
		if old != nil && old.Version >= c.Version {
			return false
		}
		if l.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
