package rule

// This file defines Set, which holds the rules of a valid file, and the lookups that the
// request path needs.

import (
	"strings"

	"github.com/ragwortpass/ragwortpass/id"
)

// Set holds the rules of a valid rules file. It is immutable and safe for concurrent use.
type Set struct {
	Offset     id.Offset // of the record that published the file; zero: not published
	Text       string    // source text of the file
	Classes    map[id.Class]*Class
	Routes     map[id.Route]*Route
	Workspaces map[id.Workspace]*Workspace
	Models     map[id.Model]*Model
	Upstreams  []*Upstream // in file order
	Drains     map[id.DataCentre]*Drain
	Fleets     []*Fleet

	routes []*Route // in file order
}

func newSet() *Set {
	return &Set{
		Classes:    make(map[id.Class]*Class),
		Routes:     make(map[id.Route]*Route),
		Workspaces: make(map[id.Workspace]*Workspace),
		Models:     make(map[id.Model]*Model),
		Drains:     make(map[id.DataCentre]*Drain),
	}
}

// Drained reports whether a drain rule takes dc out of service.
func (s *Set) Drained(dc id.DataCentre) bool {
	_, ok := s.Drains[dc]
	return ok
}

// ModelRoute returns the first route to model engines, or nil.
func (s *Set) ModelRoute() *Route {
	for _, r := range s.routes {
		if r.Service == "" {
			return r
		}
	}
	return nil
}

// ServiceRoute returns the route for a call to /services/{name}{path}, or nil. Several
// routes may have the same service; the first whose method and path match is used.
func (s *Set) ServiceRoute(name, method, path string) *Route {
	for _, r := range s.routes {
		if r.Service != "" && string(r.Service) == name && r.matches(method, path) {
			return r
		}
	}
	return nil
}

func (r *Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	return r.Path == "" || path == r.Path || strings.HasPrefix(path, strings.TrimSuffix(r.Path, "/")+"/")
}

// AllowsWorkspace reports whether workspace ws may use the route.
func (r *Route) AllowsWorkspace(ws id.Workspace) bool {
	if len(r.Workspaces) == 0 {
		return true
	}
	for _, w := range r.Workspaces {
		if w == ws {
			return true
		}
	}
	return false
}

// AllowsClass reports whether requests of the route may select class c.
func (r *Route) AllowsClass(c id.Class) bool {
	for _, k := range r.Classes {
		if k == c {
			return true
		}
	}
	return false
}

// UpstreamFor returns the rule that applies to an upstream: the rule with its name, else
// the first for its service or one of its models, else nil.
func (s *Set) UpstreamFor(name id.Upstream, models []id.Model, service id.Service) *Upstream {
	var fallback *Upstream
	for _, u := range s.Upstreams {
		if u.Name != "" {
			if u.Name == name {
				return u
			}
			continue
		}
		if fallback == nil && u.covers(models, service) {
			fallback = u
		}
	}
	return fallback
}

func (u *Upstream) covers(models []id.Model, service id.Service) bool {
	if u.Service != "" {
		return u.Service == service
	}
	for _, m := range models {
		if m == u.Model {
			return true
		}
	}
	return false
}
