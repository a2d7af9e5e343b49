package entry

// This file defines the classify filter, which determines a request's route, class and
// deadline.

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
)

// ClassHeader selects one of the classes of a route.
const ClassHeader = "X-Class"

// request is a request that passes through the filters.
type request struct {
	id           id.Request
	key          *key.Key
	route        *rule.Route
	class        *rule.Class
	arrived      time.Time
	deadline     time.Time // for the complete answer; zero: none
	startBy      time.Time // refused if not dispatched by then
	queuedBefore bool      // has been in the queue before

	method string
	uri    string // path and query sent to the upstream
	header http.Header
	body   []byte

	// Of requests to models.
	model           id.Model
	stream          bool
	includeUsage    bool // the caller asked for a usage event
	chat            bool
	promptTokens    id.Tokens // estimated from the length of the body
	expectedOutput  id.Tokens // estimated from earlier answers
	deliveredOutput id.Tokens // delivered to the caller

	prefixHash uint64 // of the start of the prompt
	choices    int    // number of answers requested
	resumable  bool   // an interrupted answer can be resumed from its text

	// Of requests to plain services.
	service id.Service
}

// workspace returns the workspace of the request's key.
func (rq *request) workspace() id.Workspace { return rq.key.Workspace }

// atMostOnce reports whether the request must run at most once.
func (rq *request) atMostOnce() bool { return rq.route.Repeat == rule.RepeatNever }

// classify returns a request with its route, class and deadlines, or a refusal.
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
		id: requestID(r.Context()), key: k, route: t, class: c, arrived: now, prefixHash: xxhash.Sum64String(string(requestID(r.Context()))),
		startBy: now.Add(c.MaxWait), method: r.Method, header: r.Header,
	}
	if c.Deadline > 0 {
		rq.deadline = now.Add(c.Deadline)
	}
	e.traceDecision(now, rq.id, "classify", "class", "route="+string(t.Name)+" class="+string(name)+" tier="+c.Tier.String())
	return rq, nil
}
