package gateway

// This file defines Gateway.Explain, which says where a request would go now that is not sent. It decides by the code
// that decides for requests, on copies of what that code would change.

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/rollout"
	"github.com/ragwortpass/ragwortpass/setting"
)

// Question describes a request that is not sent.
type Question struct {
	Method, Host string
	Path         string       // with the query, if it has one
	Info         RequestInfo  // its ID does not matter
	Workspace    id.Workspace // whose key the request has; empty: that of Info counts
	Service      id.Service   // of those of the route; empty: one is drawn, as for a request
	Top          int          // most candidates that are listed
}

// explanationID stands for the id of a request that is explained, which nobody sees.
const explanationID id.Request = "explanation"

// Explain says where a request would go at a time. It changes nothing that a request depends on. The error is that of a
// question which nothing can be said about.
func (g *Gateway) Explain(now time.Time, q *Question) (*Explanation, error) {
	first, second := rand.Uint64(), rand.Uint64()
	return g.explain(now, q, func() rand.Source { return rand.NewPCG(first, second) })
}

// explain is Explain by the random numbers of sources that newSource returns, which are all alike.
func (g *Gateway) explain(now time.Time, q *Question, newSource func() rand.Source) (*Explanation, error) {
	x := &explainer{gateway: g, question: q, now: now, newSource: newSource, shadow: g.shadow(q.Info)}
	x.said.At = now.UTC()
	if err := x.findKey(); err != nil {
		return nil, err
	}
	refusal, err := x.check()
	if err != nil {
		return nil, err
	}
	if x.req.route == nil {
		x.noteRefusal(refusal)
		return &x.said, nil
	}
	x.describeRoute()
	if x.req.service == "" {
		x.noteRefusal(refusal)
		return &x.said, nil
	}
	if err := x.pickService(); err != nil {
		return nil, err
	}
	x.decide(refusal)
	return &x.said, nil
}

// shadow returns a gateway that checks a request as g does, with the information of its headers. It has none of what
// sending a request takes or changes.
func (g *Gateway) shadow(info RequestInfo) *Gateway {
	info.ID = explanationID
	current, fleetNow := new(catalog.Latest), g.deps.FleetTime()
	if c := g.deps.Catalog.Load(); c != nil {
		current.Update(c)
	}
	s := &Gateway{deps: Deps{
		Codec: knownInfo{g.deps.Codec, info}, Catalog: current, CatalogStatus: g.deps.CatalogStatus, Quarantine: g.deps.Quarantine,
		FleetTime: func() time.Time { return fleetNow }, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	}}
	s.shutdownStarted.Store(g.shutdownStarted.Load())
	s.shutdownDeadline.Store(g.shutdownDeadline.Load())
	return s
}

// knownInfo is a codec for a request whose information is known.
type knownInfo struct {
	HeaderCodec
	info RequestInfo
}

// ParseRequest implements HeaderCodec.
func (k knownInfo) ParseRequest(http.Header) RequestInfo { return k.info }

// explainer makes an explanation.
type explainer struct {
	gateway   *Gateway
	question  *Question
	now       time.Time
	newSource func() rand.Source
	shadow    *Gateway
	head      *http.Request
	req       *request
	drawn     bool // the service was drawn
	said      Explanation
}

// findKey sets the key of the workspace that the question names.
func (x *explainer) findKey() error {
	c, name := x.shadow.deps.Catalog.Load(), x.question.Workspace
	if name == "" || c == nil {
		return nil
	}
	info := x.question.Info
	info.ID = explanationID
	for _, key := range slices.Sorted(maps.Keys(c.Workspaces)) {
		if c.Workspaces[key].Name == name {
			info.Key = key
			x.shadow.deps.Codec = knownInfo{x.gateway.deps.Codec, info}
			return nil
		}
	}
	return setting.Errors{{Flag: "workspace", Value: shownValue(string(name)), Expected: fmt.Sprintf("a workspace with a key in configuration %d", c.Version)}}
}

// check checks the head of the request, and describes its caller.
func (x *explainer) check() (refusal *problem.Problem, err error) {
	q := x.question
	target, err := url.ParseRequestURI(q.Path)
	if err != nil || target.IsAbs() {
		return nil, setting.Errors{{Flag: "path", Value: shownValue(q.Path), Expected: "a path that begins with /"}}
	}
	x.head = &http.Request{Method: q.Method, Host: q.Host, URL: target, RequestURI: q.Path, Header: make(http.Header), Body: http.NoBody}
	x.req, refusal = x.shadow.check(x.head, x.now)
	caller := &x.said.Caller
	caller.Workspace, caller.Urgency, caller.DeadlineSource = x.req.workspace, x.req.urgency, x.req.deadlineSource
	if !x.req.deadline.IsZero() {
		caller.DeadlineMS = x.req.deadline.Sub(x.now).Milliseconds()
	}
	caller.Key = "none"
	if x.req.info.Key != "" {
		caller.Key = "unknown"
	}
	c := x.req.catalog
	if c == nil {
		return refusal, nil
	}
	x.said.ConfigVersion = c.Version
	if owner := c.Workspaces[x.req.info.Key]; owner != nil {
		caller.Key, caller.Workspace = "known", owner.Name
		if owner.Priority != nil {
			caller.Priority = *owner.Priority
		}
	}
	return refusal, nil
}

// describeRoute describes the route of the request.
func (x *explainer) describeRoute() {
	r := x.req.route
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	x.said.Route = &ExplainedRoute{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Kind: r.Kind.String(), Public: r.Public, Priority: r.Priority,
		LatencyObjectiveMS: r.LatencyObjective.Milliseconds(), MaxEventGapMS: r.MaxEventGap.Milliseconds(), MaxAttempts: r.MaxAttempts,
	}
	for _, s := range r.Services {
		share := 0.0
		if total > 0 {
			share = s.Weight / total
		}
		x.said.Route.Services = append(x.said.Route.Services, ExplainedService{s.Service, share})
	}
}

// pickService takes the service that the question names, or the one that was drawn.
func (x *explainer) pickService() error {
	named, services := x.question.Service, x.req.route.Services
	switch {
	case named == "":
		x.drawn = len(services) > 1
	case !slices.ContainsFunc(services, func(s catalog.WeightedService) bool { return s.Service == named }):
		return setting.Errors{{Flag: "service", Value: shownValue(string(named)), Expected: fmt.Sprintf("a service of route %s", x.req.route.Name)}}
	default:
		x.req.service = named
	}
	x.said.Service = x.req.service
	return nil
}

// decide decides what becomes of the request, unless it is refused by its head, and describes what that depends on.
func (x *explainer) decide(refusal *problem.Problem) {
	g, req := x.gateway, x.req
	x.describeLimits(&refusal)
	present := g.deps.Pool.Snapshot(req.service, x.shadow.deps.Catalog, rand.New(x.newSource()))
	choosing, planning := &counter{source: x.newSource()}, &counter{source: x.newSource()}
	var plan *rollout.Plan
	if g.deps.Rollouts != nil {
		orders := g.deps.Rollouts.Snapshot(req.service, rand.New(x.newSource()).Float64)
		x.shadow.deps.Rollouts = orders.Snapshot(req.service, rand.New(planning).Float64)
		plan = x.describeRollout(orders)
	}
	x.shadow.deps.Pool = present.Snapshot(req.service, x.shadow.deps.Catalog, rand.New(choosing))
	f := &forwarding{gateway: x.shadow, req: req, parts: partIDs(&req.info.Prompt)}
	query := f.query(x.now)
	if refusal == nil {
		refusal = f.heldProblem()
	}
	assignment, unfit, turn := f.tryChoice(x.now, x.now, query) // also sets of which versions the view is
	if refusal == nil {
		refusal = unfit
	}
	var chosen id.Upstream
	if assignment != nil && refusal == nil {
		chosen = assignment.Upstream.ID
	}
	view := present.View(x.now, query, chosen, x.question.Top)
	x.describeAdmission(f, query, view)
	switch {
	case refusal != nil:
		x.noteRefusal(refusal)
	case assignment != nil:
		x.said.Verdict, x.said.Target = WouldBeSent, &ExplainedTarget{
			Upstream: chosen, Choice: assignment.Reason, ByChance: x.drawn || choosing.drawn+planning.drawn > 0, Canary: plan != nil && plan.Canary,
			NewConnection: assignment.NewConnection, ExpectedMS: assignment.Expected.Milliseconds(), ExpectedEndMS: assignment.ExpectedEnd.Milliseconds(),
		}
	default:
		x.said.Verdict = WouldWait
		x.said.Wait = &ExplainedWait{ExpectedMS: turn.Until.Sub(x.now).Milliseconds(), Limited: turn.Limited}
	}
	x.listCandidates(view, chosen)
}

// counter is a source that counts the random numbers that are drawn.
type counter struct {
	source rand.Source
	drawn  int
}

// Uint64 implements rand.Source.
func (c *counter) Uint64() uint64 {
	c.drawn++
	return c.source.Uint64()
}

// describeRollout describes the order of the service, and returns the plan of the request, nil if there is none. It plans
// the request on the register.
func (x *explainer) describeRollout(register *rollout.Register) *rollout.Plan {
	known, ok := register.Describe(x.req.service)
	if !ok {
		return nil
	}
	plan := register.Plan(x.shadow.deps.FleetTime(), x.req.service, x.req.route.Name)
	x.said.Rollout = &ExplainedRollout{
		Target: known.Target, State: known.State.String(), Reason: known.Reason, Condemned: known.Condemned, Withdrawn: known.Withdrawn, Rejected: known.Rejected,
		Share: known.Share, Sent: known.Sent, Exposed: known.Exposed, Canary: plan.Canary,
	}
	for i := range plan.Filters {
		x.said.Rollout.Tries = append(x.said.Rollout.Tries, plan.Filters[i].String())
	}
	return plan
}

// describeLimits describes the limits on the request, and sets the refusal of one that there is no memory for.
func (x *explainer) describeLimits(refusal **problem.Problem) {
	g, req := x.gateway, x.req
	full := g.requestShare(req).Fits(requestBytes + process.RequestHeadCost(x.head))
	x.said.Limits = &ExplainedLimits{
		HeadBytes: req.catalog.Limits.HeaderBytes, BodyBytes: req.bodyLimit(), RetriesLeft: g.deps.RetryBudgets.Left(x.now, req.service), Memory: full == nil,
	}
	if *refusal == nil && full != nil {
		*refusal = memoryProblem(full)
	}
}

// describeAdmission describes on what the admission of the request depends.
func (x *explainer) describeAdmission(f *forwarding, query *pool.Request, view *pool.View) {
	x.said.Admission = &ExplainedAdmission{
		MaxWaitMS: query.MaxWait.Milliseconds(), PromptLong: view.LongPrompt, Running: view.Running, Slots: view.Slots, Waiting: view.Waiting,
	}
	if hold, held := x.shadow.deps.Quarantine.Held(x.shadow.deps.FleetTime(), f.parts); held {
		x.said.Admission.HeldPart, x.said.Admission.HeldSince = string(hold.Part), hold.Since.UTC()
	}
}

// noteRefusal describes the refusal of the request.
func (x *explainer) noteRefusal(p *problem.Problem) {
	x.said.Verdict = WouldBeRefused
	x.said.Refusal = &ExplainedRefusal{Reason: p.Reason, Status: p.Status, Detail: p.Detail, RetryAfterMS: p.RetryAfter.Milliseconds()}
}

// listCandidates lists the upstream that was chosen and those that come into question first.
func (x *explainer) listCandidates(view *pool.View, chosen id.Upstream) {
	x.said.Known = view.Known
	for i := range view.Candidates {
		c := &view.Candidates[i]
		explained := ExplainedCandidate{
			Upstream: c.ID, Chosen: c.ID == chosen, DataCentre: c.DataCentre, Version: c.Version, Running: c.Running, FleetRunning: c.FleetRunning, Slots: c.Slots,
			RateLimited: c.Limited, Cold: c.Cold, Rate: c.Part, Pace: float64(c.Pace), PaceSamples: c.Samples, Capacity: c.Capacity, Unread: c.Unread, WaitMS: c.Wait.Milliseconds(), EndMS: c.End.Milliseconds(),
			Affinity: c.Affinity, Group: c.InGroup, Score: c.Work, Doubted: c.Doubted, Excluded: c.Excluded,
		}
		if !c.Until.IsZero() {
			explained.ExcludedForMS = c.Until.Sub(x.now).Milliseconds()
		}
		x.said.Candidates = append(x.said.Candidates, explained)
	}
}
