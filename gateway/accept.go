package gateway

// This file defines what happens to a request before it is sent anywhere: its
// route, its key, its body and its deadline.

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
)

const (
	// notReadyAdvice is when a caller should come back to an entry that knows no
	// configuration yet: a start reads one within some tens of milliseconds.
	notReadyAdvice = 200 * time.Millisecond
	// shortestOutageAdvice and longestOutageAdvice bound the advice while the store cannot be
	// read. A caller has few tries: one that comes back within the outage has wasted
	// one. Outages of the store last some seconds.
	shortestOutageAdvice = 1200 * time.Millisecond
	longestOutageAdvice  = 4 * time.Second
	// leavingAdvice is when a caller should come back who used a connection to a process
	// that ends: at once, to another.
	leavingAdvice = 10 * time.Millisecond
	// defaultDeadline bounds a request of which neither caller nor route says how long
	// it may take.
	defaultDeadline = time.Minute
	// maxUrgency is the least urgent value that upstreams know.
	maxUrgency = 9
	// defaultBody bounds a body if the configuration does not.
	defaultBody = 8 << 20
)

// request is one request of a caller.
type request struct {
	ask       RequestInfo
	arrived   time.Time
	deadline  time.Time
	limit     string // what sets the deadline: caller or route
	catalog   *catalog.Catalog
	route     *catalog.Route
	service   id.Service
	workspace id.Workspace
	urgency   int
	method    string
	uri       string
	host      string
	header    http.Header
	body      []byte
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	rq, p := g.accept(w, r, time.Now())
	if p != nil {
		g.refuse(w, rq, p)
		return
	}
	g.dispatch(w, r, rq)
}

// accept reads a request whole. The request that it returns is never nil.
func (g *Gateway) accept(w http.ResponseWriter, r *http.Request, now time.Time) (*request, *problem.Problem) {
	rq := &request{
		ask: g.deps.Codec.ParseRequest(r.Header), arrived: now, method: r.Method, uri: r.RequestURI, host: r.Host, header: r.Header,
	}
	if rq.ask.ID == "" {
		return rq, problem.New(problem.BadRequest, problem.NotRun, http.StatusBadRequest, "the request has no id")
	}
	rq.catalog = g.deps.Catalog.Newest()
	if rq.catalog == nil {
		return rq, problem.New(problem.NotReady, problem.NotRun, http.StatusServiceUnavailable,
			"no configuration is known yet").WithRetryAfter(notReadyIn(g.deps.CatalogStatus.Failing(now)))
	}
	if limit := rq.catalog.Limits.HeaderBytes; limit > 0 && headerBytes(r) > limit {
		return rq, problem.New(problem.HeaderTooLarge, problem.NotRun, http.StatusRequestHeaderFieldsTooLarge, "the head exceeds %d bytes", limit)
	}
	if p := g.admit(rq, r, now); p != nil {
		return rq, p
	}
	if g.outlasts(rq.deadline) {
		return rq, problem.New(problem.Leaving, problem.NotRun, http.StatusServiceUnavailable,
			"the process ends before the time set by the %s", rq.limit).WithRetryAfter(leavingAdvice)
	}
	limit := rq.catalog.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return rq, problem.New(problem.BodyTooLarge, problem.NotRun, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	case err != nil:
		return rq, problem.New(problem.BadRequest, problem.NotRun, http.StatusBadRequest, "read the body: %v", err)
	}
	rq.body = body
	return rq, nil
}

// notReadyIn returns when a caller should come back to an entry that knows no
// configuration, and whose reads have failed for some time: an outage is likely to
// last as long again as it has lasted.
func notReadyIn(failing time.Duration) time.Duration {
	if failing == 0 {
		return notReadyAdvice
	}
	return min(max(failing, shortestOutageAdvice), longestOutageAdvice)
}

// admit finds the route and the workspace of a request, and when it must be done.
func (g *Gateway) admit(rq *request, r *http.Request, now time.Time) *problem.Problem {
	c := rq.catalog
	rq.route = c.Route(r.Host, r.URL.Path)
	if rq.route == nil {
		return g.deny(now, problem.New(problem.RouteUnknown, problem.NotRun, http.StatusNotFound, "no route for %s %s%s", r.Method, r.Host, r.URL.Path))
	}
	holder := c.Workspaces[rq.ask.Key]
	if c.Keyed && holder == nil && !rq.route.Public {
		return g.deny(now, problem.New(problem.KeyUnknown, problem.NotRun, http.StatusUnauthorized, "the key is not known"))
	}
	if holder != nil {
		rq.workspace = holder.Name
	}
	rq.urgency = c.Urgency(holder, rq.route, maxUrgency)
	rq.service = rq.route.Service(rand.Float64())
	rq.deadline, rq.limit = now.Add(defaultDeadline), "default"
	if rq.ask.Timeout > 0 {
		rq.deadline, rq.limit = now.Add(rq.ask.Timeout), "caller"
	}
	if t := rq.route.Timeout; t > 0 && now.Add(t).Before(rq.deadline) {
		rq.deadline, rq.limit = now.Add(t), "route"
	}
	return nil
}

// deny returns the refusal p if the catalog is known to be in force. Otherwise the
// newest one may allow the request, which gets an answer that invites it back.
func (g *Gateway) deny(now time.Time, p *problem.Problem) *problem.Problem {
	if g.deps.CatalogStatus.Fresh(now) {
		return p
	}
	return problem.New(problem.StaleConfig, problem.NotRun, http.StatusServiceUnavailable,
		"%s, by a configuration that may be out of date", p.Detail).WithRetryAfter(notReadyAdvice)
}

// refuse counts, logs and sends an answer of our own.
func (g *Gateway) refuse(w http.ResponseWriter, rq *request, p *problem.Problem) {
	g.count("refused_" + string(p.Reason))
	final := *p
	final.Request = string(rq.ask.ID)
	_ = g.log(rq, "event", "refused", "reason", p.Reason, "status", p.Status, "run", p.Run, "detail", p.Detail, "retry_after", p.RetryAfter, "config_age", g.configAge())
	g.deps.Codec.SetRequestID(w.Header(), rq.ask.ID)
	if final.RetryAfter > 0 {
		// Callers of this front read fractions of a second.
		w.Header().Set("Retry-After", strconv.FormatFloat(final.RetryAfter.Seconds(), 'f', 3, 64))
		final.RetryAfter = 0
	}
	final.Write(w)
}

// configAge returns how long ago the configuration was last seen to be current.
func (g *Gateway) configAge() time.Duration {
	contact, known := g.deps.CatalogStatus.Contact()
	if !known {
		return 0
	}
	return time.Since(contact).Round(time.Millisecond)
}

// log writes a line about a request.
func (g *Gateway) log(rq *request, keyvals ...any) error {
	head := []any{"request", rq.ask.ID, "age", time.Since(rq.arrived).Round(time.Millisecond)}
	if rq.catalog != nil {
		head = append(head, "config", rq.catalog.Version)
	}
	if rq.route != nil {
		head = append(head, "route", rq.route.Name, "workspace", rq.workspace)
	}
	return g.deps.Logger.Log(append(head, keyvals...)...)
}
