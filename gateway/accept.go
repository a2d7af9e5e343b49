package gateway

// This file defines the checks of a caller's request before it is dispatched: header
// size, route, key, deadline and body.

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
)

const (
	// notReadyRetryAfter is the Retry-After of a gateway that has no catalog yet. A
	// starting gateway reads one within some tens of milliseconds.
	notReadyRetryAfter = 200 * time.Millisecond
	// minOutageRetryAfter and maxOutageRetryAfter bound the Retry-After while the store
	// cannot be read. Outages of the store last some seconds, and a caller that retries
	// during the outage wastes one of its few attempts.
	minOutageRetryAfter = 1200 * time.Millisecond
	maxOutageRetryAfter = 4 * time.Second
	// shutdownRetryAfter is the Retry-After of a process that is shutting down. The
	// caller can retry at once, as its next connection goes to another process.
	shutdownRetryAfter = 10 * time.Millisecond
	// defaultTimeout applies if neither the caller nor the route sets a timeout.
	defaultTimeout = time.Minute
	// leastUrgent is the largest, least urgent value that upstreams accept.
	leastUrgent = 9
)

// request is a caller's request with the catalog that applies to it and what the catalog
// says about it.
type request struct {
	info           RequestInfo
	arrived        time.Time
	deadline       time.Time
	deadlineSource string // caller, route or default, as in the logs
	catalog        *catalog.Catalog
	route          *catalog.Route
	service        id.Service
	workspace      id.Workspace
	urgency        int
	method         string
	uri            string
	host           string
	header         http.Header
	share          *memory.Share  // what the request takes; nil: nothing is reserved
	body           *memory.Buffer // nil: none
}

// serve handles a caller's request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	req, p := g.accept(w, r, time.Now())
	if req.share != nil {
		defer req.share.Release()
	}
	if p != nil {
		g.refuseUnread(w, r, req, p)
		return
	}
	g.dispatch(w, r, req)
}

// accept checks a caller's request and reads its body. It returns a problem if the
// request is refused; the returned request is never nil.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*request, *problem.Problem) {
	req, p := g.check(r, now)
	if p != nil {
		return req, p
	}
	if p := g.reserve(r, req); p != nil {
		return req, p
	}
	return req, g.readBody(w, r, req)
}

// check checks the head of a request. It returns a problem if the request is refused; the returned request is never
// nil.
func (g *Gateway) check(r *http.Request, now time.Time) (*request, *problem.Problem) {
	req := &request{
		info: g.deps.Codec.ParseRequest(r.Header), arrived: now, method: r.Method, uri: requestTarget(r), host: r.Host, header: r.Header,
	}
	if req.info.ID == "" {
		return req, problem.New(problem.BadRequest, problem.NotRun, http.StatusBadRequest, "the request has no id")
	}
	req.catalog = g.deps.Catalog.Load()
	if req.catalog == nil {
		return req, problem.New(problem.NotReady, problem.NotRun, http.StatusServiceUnavailable,
			"no configuration is known yet").WithRetryAfter(noCatalogRetryAfter(g.deps.CatalogStatus.Failing(now)))
	}
	if limit := req.catalog.Limits.HeaderBytes; limit > 0 && process.HeadSize(r) > limit {
		return req, problem.New(problem.HeaderTooLarge, problem.NotRun, http.StatusRequestHeaderFieldsTooLarge, "the head exceeds %d bytes", limit)
	}
	if p := g.resolve(req, r, now); p != nil {
		return req, p
	}
	if g.exceedsShutdown(req.deadline) {
		return req, g.leavingProblem(req)
	}
	return req, nil
}

// requestTarget returns the target of a request without the scheme and host that a caller may name.
func requestTarget(r *http.Request) string {
	if r.URL.IsAbs() {
		return r.URL.RequestURI()
	}
	return r.RequestURI
}

// noCatalogRetryAfter returns the Retry-After of a gateway that has no catalog and
// whose reads of the topic have failed for the given time. It assumes that an outage lasts
// as long again as it has lasted so far.
func noCatalogRetryAfter(failing time.Duration) time.Duration {
	if failing == 0 {
		return notReadyRetryAfter
	}
	return min(max(failing, minOutageRetryAfter), maxOutageRetryAfter)
}

// resolve sets the route, workspace, service, urgency and deadline of a request. It
// returns a problem if the catalog does not allow the request.
func (g *Gateway) resolve(req *request, r *http.Request, now time.Time) *problem.Problem {
	c := req.catalog
	req.route = c.Route(r.Host, r.URL.Path)
	if req.route == nil {
		return g.refusalByCatalog(now, problem.New(problem.RouteUnknown, problem.NotRun, http.StatusNotFound, "no route for %s %s%s", r.Method, r.Host, r.URL.Path))
	}
	keyOwner := c.Workspaces[req.info.Key]
	if c.RequireKeys && keyOwner == nil && !req.route.Public {
		return g.refusalByCatalog(now, problem.New(problem.KeyUnknown, problem.NotRun, http.StatusUnauthorized, "the key is not known"))
	}
	if keyOwner != nil {
		req.workspace = keyOwner.Name
	}
	req.urgency = c.Urgency(keyOwner, req.route, leastUrgent)
	req.service = req.route.PickService(rand.Float64())
	req.deadline, req.deadlineSource = now.Add(defaultTimeout), "default"
	if req.info.Timeout > 0 {
		req.deadline, req.deadlineSource = now.Add(req.info.Timeout), "caller"
	}
	if t := req.route.Timeout; t > 0 && now.Add(t).Before(req.deadline) {
		req.deadline, req.deadlineSource = now.Add(t), "route"
	}
	return nil
}

// refusalByCatalog returns p, a refusal that follows from the catalog, if the catalog
// is known to be in force. Otherwise a newer catalog may allow the request, so that
// refusalByCatalog returns a refusal after which the caller can retry.
func (g *Gateway) refusalByCatalog(now time.Time, p *problem.Problem) *problem.Problem {
	if g.deps.CatalogStatus.Fresh(now) {
		return p
	}
	return problem.New(problem.StaleConfig, problem.NotRun, http.StatusServiceUnavailable,
		"%s, by a configuration that may be out of date", p.Detail).WithRetryAfter(notReadyRetryAfter)
}

// refuse sends a problem as the response, and counts and logs it.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, p *problem.Problem) {
	g.incrementCounter("refused_" + string(p.Reason))
	final := *p
	final.Request = string(req.info.ID)
	_ = g.logRequest(req, "event", "refused", "reason", p.Reason, "status", p.Status, "run", p.Run, "detail", p.Detail, "retry_after", p.RetryAfter, "config_age", g.configAge())
	g.deps.Codec.SetRequestID(w.Header(), req.info.ID)
	if final.RetryAfter > 0 {
		// Callers of a gateway accept fractions of a second.
		w.Header().Set("Retry-After", strconv.FormatFloat(final.RetryAfter.Seconds(), 'f', 3, 64))
		final.RetryAfter = 0
	}
	final.Write(w)
}

// configAge returns the time since the catalog was last confirmed to be current; zero if no
// catalog is known. For a catalog from a copy that was never confirmed, it is the longest
// time.Duration.
func (g *Gateway) configAge() time.Duration {
	contact, known := g.deps.CatalogStatus.Contact()
	if !known {
		return 0
	}
	return time.Since(contact).Round(time.Millisecond)
}

// logRequest writes a log line with the fields that identify a request.
func (g *Gateway) logRequest(req *request, keyvals ...any) error {
	fields := []any{"request", req.info.ID, "age", time.Since(req.arrived).Round(time.Millisecond)}
	if req.catalog != nil {
		fields = append(fields, "config", req.catalog.Version)
	}
	if req.route != nil {
		fields = append(fields, "route", req.route.Name, "workspace", req.workspace)
	}
	return g.deps.Logger.Log(append(fields, keyvals...)...)
}
