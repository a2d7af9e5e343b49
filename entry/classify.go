package entry

// This file defines the classify filter, which determines a request's route, class and
// deadline.

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/memory"
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
	startBy      time.Time // the request is refused if it is not dispatched by then
	queuedBefore bool      // has been in the queue before

	method string
	uri    string // path and query sent to the upstream
	header http.Header
	body   []byte
	share  *memory.Share // what the request takes; nil: nothing is reserved

	// Of requests to models.
	model           id.Model
	stream          bool
	includeUsage    bool // the caller asked for a usage event
	chat            bool
	promptTokens    id.Tokens // estimated from the length of the body
	expectedOutput  id.Tokens // estimated from earlier answers
	deliveredOutput id.Tokens // delivered to the caller

	prefixHash uint64 // of the model and the start of the prompt; of the request id for plain services
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
func (e *Entry) classify(now time.Time, r *http.Request, route *rule.Route) (*request, *problem.Problem) {
	k := authenticatedKey(r.Context())
	rules := e.deps.State.Rules()
	if route == nil {
		return nil, problem.New(problem.RouteUnknown, problem.NotRun, http.StatusNotFound, "no route for %s %s", r.Method, r.URL.Path)
	}
	if !route.AllowsWorkspace(k.Workspace) {
		return nil, problem.New(problem.RouteClosed, problem.NotRun, http.StatusForbidden, "route %q is not open to workspace %q", route.Name, k.Workspace)
	}
	className := route.Classes[0]
	if asked := r.Header.Get(ClassHeader); asked != "" {
		className = id.Class(asked)
	}
	if !route.AllowsClass(className) {
		return nil, problem.New(problem.ClassUnknown, problem.NotRun, http.StatusBadRequest, "route %q has no class %q: expected one of %v", route.Name, className, route.Classes)
	}
	if !k.Allows(className) {
		return nil, problem.New(problem.ClassNotAllowed, problem.NotRun, http.StatusForbidden, "key %q may not use class %q", k.ID, className)
	}
	if rules.Workspaces[k.Workspace] == nil {
		return nil, problem.New(problem.WorkspaceUnknown, problem.NotRun, http.StatusForbidden, "no rule for workspace %q", k.Workspace)
	}
	c := rules.Classes[className]
	rq := &request{
		id: requestID(r.Context()), key: k, route: route, class: c, arrived: now, prefixHash: xxhash.Sum64String(string(requestID(r.Context()))),
		startBy: now.Add(c.MaxWait), method: r.Method, header: r.Header,
	}
	if c.Deadline > 0 {
		rq.deadline = now.Add(c.Deadline)
	}
	e.traceDecision(now, rq.id, "classify", "class", "route="+string(route.Name)+" class="+string(className)+" tier="+c.Tier.String())
	return rq, nil
}
