package entry

// This file defines classify: from a request to its route, class and deadline.

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
)

// ClassHeader lets a caller choose among the classes of a route.
const ClassHeader = "X-Class"

// request is one request on its way through the filters.
type request struct {
	id       id.Request
	key      *key.Key
	route    *rule.Route
	class    *rule.Class
	arrived  time.Time
	deadline time.Time // for the whole answer; zero: none
	startBy  time.Time // refused if it has not been dispatched by then
	admitted bool      // has been in a queue before

	method string
	uri    string // towards the upstream
	header http.Header
	body   []byte

	// Of model calls.
	model     id.Model
	stream    bool
	usage     bool // the caller asked for a usage event
	chat      bool
	prompt    id.Tokens // estimated from the length of the text
	expected  id.Tokens // output tokens, estimated from earlier answers
	delivered id.Tokens // output tokens

	prefix    uint64 // hash of the start of the prompt
	choices   int    // answers asked for in one
	resumable bool   // a cut answer can go on from its text

	// Of plain services.
	service id.Service
}

// workspace returns the workspace the request runs for.
func (rq *request) workspace() id.Workspace { return rq.key.Workspace }

// once reports whether the request must run at most once.
func (rq *request) once() bool { return rq.route.Repeat == rule.RepeatNever }

// classify fills in the route's class and the deadlines.
func (e *Entry) classify(now time.Time, r *http.Request, t *rule.Route) (*request, *problem.Problem) {
	k := caller(r.Context())
	rules := e.deps.State.Rules()
	if t == nil {
		return nil, problem.New(problem.RouteUnknown, problem.NotRun, http.StatusNotFound, "no route for %s %s", r.Method, r.URL.Path)
	}
	if !t.AllowsWorkspace(k.Workspace) {
		return nil, problem.New(problem.RouteClosed, problem.NotRun, http.StatusForbidden, "route %q is not open to workspace %q", t.Name, k.Workspace)
	}
	name := t.Classes[0]
	if asked := r.Header.Get(ClassHeader); asked != "" {
		name = id.Class(asked)
	}
	if !t.AllowsClass(name) {
		return nil, problem.New(problem.ClassUnknown, problem.NotRun, http.StatusBadRequest, "route %q has no class %q: expected one of %v", t.Name, name, t.Classes)
	}
	if !k.Allows(name) {
		return nil, problem.New(problem.ClassNotAllowed, problem.NotRun, http.StatusForbidden, "key %q may not use class %q", k.ID, name)
	}
	if rules.Workspaces[k.Workspace] == nil {
		return nil, problem.New(problem.WorkspaceUnknown, problem.NotRun, http.StatusForbidden, "no rule for workspace %q", k.Workspace)
	}
	c := rules.Classes[name]
	rq := &request{
		id: requestID(r.Context()), key: k, route: t, class: c, arrived: now, prefix: xxhash.Sum64String(string(requestID(r.Context()))),
		startBy: now.Add(c.MaxWait), method: r.Method, header: r.Header,
	}
	if c.Deadline > 0 {
		rq.deadline = now.Add(c.Deadline)
	}
	e.decide(now, rq.id, "classify", "class", "route="+string(t.Name)+" class="+string(name)+" tier="+c.Tier.String())
	return rq, nil
}
