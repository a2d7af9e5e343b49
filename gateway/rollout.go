package gateway

// This file defines how roll-outs concern requests and the operators' topic: orders come from the topic, the
// plan of its service decides which upstreams a request may go to, and what comes of it is counted.

import (
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rollout"
)

// RolloutChange orders a service to be moved to another version, or withdraws the order.
type RolloutChange struct {
	Service id.Service
	Offset  feed.Offset
	Order   *rollout.Order // nil: withdrawn, unless Invalid is set
	Invalid error          // why the order cannot be used; the order before stands
}

func (*RolloutChange) change() {}

// rolloutOrders passes the orders of the operators' topic on to a register. A nil one ignores them.
type rolloutOrders struct {
	register  *rollout.Register
	fleetTime func() time.Time
	logger    log.Logger
	registry  metrics.Registry
	latest    map[id.Service]feed.Offset // of the record that was last applied; used under the follower's lock only
}

// apply takes up or withdraws an order.
func (o *rolloutOrders) apply(c *RolloutChange) {
	if o == nil {
		return
	}
	o.latest[c.Service] = c.Offset
	if c.Order == nil {
		if o.register.Withdraw(c.Service) {
			metrics.GetOrRegisterCounter("rollout_withdrawn", o.registry).Inc(1)
			_ = o.logger.Log("event", "rollout_withdrawn", "service", c.Service)
		}
		return
	}
	isNew, superseded := o.register.Order(o.fleetTime(), *c.Order)
	if !isNew {
		return
	}
	metrics.GetOrRegisterCounter("rollout_ordered", o.registry).Inc(1)
	fields := []any{"event", "rollout_ordered", "service", c.Service, "target", c.Order.Target, "duration", c.Order.Duration, "order", c.Order.Offset}
	if superseded != nil {
		fields = append(fields, "supersedes", superseded.Offset, "superseded_target", superseded.Target)
	}
	_ = o.logger.Log(fields...)
}

// hold reports whether a change is left out that comes from a store that has come back older: an order
// that was known to be withdrawn or superseded.
func (o *rolloutOrders) hold(c *RolloutChange) bool {
	if o == nil || c.Order == nil {
		return false
	}
	known, stands := o.register.Known(c.Service)
	held := o.latest[c.Service] > c.Offset || known == *c.Order && !stands
	if held {
		_ = o.logger.Log("event", "rollout_held", "service", c.Service, "latest", o.latest[c.Service], "store_has", c.Offset)
	}
	return held
}

// withdrawOthers withdraws the orders of all services but some.
func (o *rolloutOrders) withdrawOthers(ordered map[id.Service]bool) {
	if o == nil {
		return
	}
	for _, service := range o.register.Services() {
		if !ordered[service] {
			o.apply(&RolloutChange{Service: service, Offset: o.latest[service]})
		}
	}
}

// choose chooses an upstream for the next attempt, of a version that the order of the service allows.
func (f *forwarding) choose(now time.Time, query *pool.Request) pool.Decision {
	rollouts := f.gateway.deps.Rollouts
	f.plan = nil
	query.Allows, query.MaxUpstreams = nil, 0
	if rollouts == nil || !rollouts.Has(query.Service) {
		return f.gateway.deps.Pool.Choose(now, query)
	}
	fleetNow := f.gateway.deps.FleetTime()
	plan := rollouts.Plan(fleetNow, query.Service, f.req.route.Name)
	var decision pool.Decision
	for i := range plan.Filters {
		filter := &plan.Filters[i]
		query.Allows = func(l *pool.Listing, added time.Time) bool {
			return filter.Allows(l.Version, startTime(l, fleetNow.Add(-now.Sub(added)), fleetNow))
		}
		query.MaxUpstreams = filter.Most
		next := f.gateway.deps.Pool.Choose(now, query)
		if assignment, ok := next.(*pool.Assignment); ok {
			f.plan = plan
			rollouts.Sent(plan, assignment.Upstream.Version)
			return assignment
		}
		if _, none := decision.(*pool.NoUpstream); decision == nil || none || plan.Canary {
			decision = next
		}
	}
	rollouts.Release(plan)
	return decision
}

// startTime returns when an upstream started, or when it was first listed if it does not tell or tells a time to come.
func startTime(l *pool.Listing, added, now time.Time) time.Time {
	if l.StartUnixMS == 0 || l.StartUnixMS > now.UnixMilli() {
		return added
	}
	return time.UnixMilli(l.StartUnixMS)
}

// noteVersion counts what came of the latest attempt for the version of its upstream. What says nothing of the
// version does not count: a request that was not run, one that this gateway has ended, and one whose caller
// has left before an answer was due.
func (f *forwarding) noteVersion(assignment *pool.Assignment, result outcome) {
	if f.plan == nil {
		return
	}
	now := time.Now()
	elapsed := now.Sub(f.attemptStarted)
	outcome := rollout.Outcome{Duration: elapsed}
	if !f.firstEvent.IsZero() {
		outcome.Duration = f.firstEvent.Sub(f.attemptStarted)
	}
	switch result := result.(type) {
	case *answered:
		outcome.Failed = result.status >= http.StatusInternalServerError
		if !f.firstEvent.IsZero() {
			outcome.Stream = elapsed
		}
	case *responseLost:
		if result.reason == problem.PromptHeld || result.reason == problem.Leaving || result.reason == problem.AnswerCrossed {
			return
		}
		outcome.Failed, outcome.Duration = true, 0
	case *abandoned:
		isDue := result.reason == problem.DeadlineExceeded || elapsed >= f.req.route.LatencyObjective
		if result.unsent || f.firstEvent.IsZero() && !isDue {
			return
		}
	default:
		return
	}
	sentAt := f.gateway.deps.FleetTime().Add(-elapsed)
	outcome.UpstreamAge = sentAt.Sub(startTime(&assignment.Upstream, sentAt.Add(-assignment.ListedFor), sentAt))
	f.gateway.deps.Rollouts.Ended(f.plan, assignment.Upstream.Version, assignment.Upstream.ID, outcome)
}
