package rollout

// This file defines which versions of a service a request may go to, and the exposure of a target:
// the requests that it gets before it is known to be good. Each gateway bounds the exposure by
// its own requests, so that the sum over the fleet is bounded whatever a gateway knows of others.

import (
	"cmp"
	"maps"
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// exposure counts the requests of this gateway to a service since its order.
type exposure struct {
	sends  int // to any version
	target int // to the target, those included that are about to be sent
	routes map[id.Route]int
}

// pulsePeriod is the time between two beginnings of pulses of canary requests. Pulses make few upstreams of
// the target as busy as all will be, where the share is too small to do so all the time.
const pulsePeriod = 2 * time.Second

// warmUpSlack is the part of the slack that is used while upstreams are in their first seconds: what they answer then says little of their pace.
const warmUpSlack = 0.5

// burstPart is the part of the trial's time in which the exposure that is left for it is used.
const burstPart = 0.4

// minCanaryUpstreams is how many upstreams a canary uses at least: with one, a fault of that upstream cannot be
// told from one of its version.
const minCanaryUpstreams = 2

// Filter is a set of upstreams, by their versions.
type Filter struct {
	Target       id.Version
	OnTarget     bool                // only upstreams of the target; otherwise only others
	StartedAfter time.Time           // if OnTarget, also those that have started later than this; zero: none
	Rejected     map[id.Version]bool // versions of which no upstream is in the set, besides the target
	Most         int                 // upstreams, the first of those that take requests; zero: all
}

// Allows reports whether an upstream is in the set, by its version and its start.
func (f *Filter) Allows(v id.Version, started time.Time) bool {
	switch {
	case v == f.Target:
		return f.OnTarget
	case f.Rejected[v]:
		return false
	case f.OnTarget:
		return !f.StartedAfter.IsZero() && started.After(f.StartedAfter)
	}
	return true
}

// Plan says which upstreams a request may go to under the order of its service.
type Plan struct {
	Filters []Filter // of the upstreams to try, the preferred ones first
	State   State
	Canary  bool // the request is one of the exposure if it goes to the target

	rollout  *rollout
	route    id.Route
	reserved bool
}

// Has reports whether a service has an order.
func (g *Register) Has(service id.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rollouts[service] != nil
}

// Plan returns the plan of a request of a route, or nil if its service has no order. Either Sent or
// Release must be called once with it.
func (g *Register) Plan(now time.Time, service id.Service, route id.Route) *Plan {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.rollouts[service]
	if r == nil {
		return nil
	}
	p := &Plan{State: r.record.State, rollout: r, route: route}
	target := Filter{Target: r.order.Target, OnTarget: true, Rejected: maps.Clone(r.rejected)}
	others := Filter{Target: r.order.Target, Rejected: target.Rejected}
	switch {
	case r.stopped():
		p.Filters = []Filter{others}
	case r.record.State == Done:
		target.StartedAfter = r.record.At
		p.Filters = []Filter{target}
	case r.unread:
		p.Filters = []Filter{others}
	case r.record.State == Shifting:
		p.Filters = []Filter{others, target}
		if ramp := float64(now.Sub(r.record.At)) / float64(rampTime); g.isInformed(now) && g.random() < ramp {
			p.Filters = []Filter{target, others}
		}
	case r.record.State == Canary && g.isInformed(now) && g.reserve(now, r, route):
		p.Canary, p.reserved = true, true
		target.Most = cmp.Or(r.trialUpstreams, r.canaryUpstreams(&g.cfg))
		p.Filters = []Filter{target, others}
	case r.record.State == Unknown && r.runsTargetOnly():
		p.Filters = []Filter{target}
	default:
		p.Filters = []Filter{others}
	}
	return p
}

// isInformed reports whether this gateway would know of a verdict of its peers: it hears of most of them, and was not
// frozen since its last round. The caller holds the lock.
func (g *Register) isInformed(now time.Time) bool {
	return !g.isolated && now.Sub(g.roundAt) <= g.cfg.Rollback/2
}

// runsTargetOnly reports whether all upstreams of the service are of the target.
func (r *rollout) runsTargetOnly() bool {
	target, others := r.loads()
	return target.Upstreams > 0 && others.Upstreams == 0
}

// canaryUpstreams returns how many upstreams of the target canary requests go to.
func (r *rollout) canaryUpstreams(cfg *Config) int {
	target, _ := r.loads()
	return max(minCanaryUpstreams, int(shareFraction*cfg.Share*float64(target.Upstreams)))
}

// reserve reports whether the next request goes to the target, and counts it if so. The caller holds the
// lock.
func (g *Register) reserve(now time.Time, r *rollout, route id.Route) bool {
	target, _ := r.loads()
	if target.Upstreams == 0 || r.sound.isDisturbed {
		return false // what is sent now would tell nothing
	}
	e, times := &r.exposure, r.schedule()
	elapsed := min(max(float64(now.Sub(r.knownSince))/float64(times.Shift.Sub(times.Started)), 0), 1)
	ofShare := shareFraction * g.cfg.Share * float64(e.sends+1)
	ofSlack := slackFraction * g.cfg.Slack / float64(g.gateways)
	allowed := ofShare + ofSlack*elapsed
	left := allowed - float64(e.target)
	if now.Sub(r.targetSince) < r.warmUp() {
		left = min(left, warmUpSlack*ofSlack+1-float64(e.target)) // as it cannot be told to be slow yet
	} else if !now.Before(times.Trial) && !r.inDoubt {
		extra := trialSlackFraction - slackFraction
		if !r.knownSince.Before(times.Trial) {
			extra = 0 // of a gateway that has started anew, which may have used it
		}
		return g.reserveInTrial(now, r, route, ofSlack*elapsed+extra*g.cfg.Slack/float64(g.gateways))
	}
	e.routes[route] += 0
	density := min(float64(r.canaryUpstreams(&g.cfg))/float64(target.Upstreams), 1)
	isRare := e.routes[route]*len(e.routes) <= e.target
	inPulse := now.Sub(now.Truncate(pulsePeriod)) < time.Duration(shareFraction*g.cfg.Share/density*float64(pulsePeriod))
	part := max(density, shareFraction*g.cfg.Share) * allowed / ofShare // of the requests in a pulse; more if most of the exposure is slack
	switch {
	case left < 1, !isRare && left < 2:
		return false
	case isRare:
	case !inPulse, g.random() >= part:
		return false
	}
	e.target++
	e.routes[route]++
	return true
}

// reserveInTrial is reserve for the trial: all requests go to as many upstreams of the target as are as busy then as all will be
// after the shift, for as long as the exposure lasts, of which slack does not depend on the requests. The caller holds the lock.
func (g *Register) reserveInTrial(now time.Time, r *rollout, route id.Route, slack float64) bool {
	target, _ := r.loads()
	e := &r.exposure
	left := trialShareFraction*g.cfg.Share*float64(e.sends+1) + slack - float64(e.target)
	if r.trialUpstreams == 0 {
		times := r.schedule()
		rate := float64(e.sends) / max(now.Sub(r.knownSince).Seconds(), 1)
		burst := rate * times.Shift.Sub(times.Trial).Seconds() * burstPart
		r.trialUpstreams = max(minCanaryUpstreams, int(math.Ceil(float64(target.Upstreams)*min(left/max(burst, 1), 1))))
	}
	if left < 1 || g.random() >= float64(r.trialUpstreams)/float64(target.Upstreams) {
		return false
	}
	e.target++
	e.routes[route]++
	return true
}

// Release gives back what a plan has reserved, as the request is not sent.
func (g *Register) Release(p *Plan) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.release()
}

// release is Release for a caller that holds the lock.
func (p *Plan) release() {
	if p.reserved {
		p.reserved = false
		p.rollout.exposure.target--
		p.rollout.exposure.routes[p.route]--
	}
}

// Sent counts a request that is sent to an upstream of a version.
func (g *Register) Sent(p *Plan, v id.Version) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := &p.rollout.exposure
	e.sends++
	switch {
	case !p.rollout.isTarget(v):
		p.release()
	case p.reserved:
		p.reserved = false
	default:
		e.target++
	}
}

// Outcome is what came of one request to an upstream.
type Outcome struct {
	Failed      bool          // a failure of the upstream
	Duration    time.Duration // until the first event or the whole answer; zero: it does not count for the pace
	Stream      time.Duration // until the end of a stream; zero: it is none, or has not come to its end
	UpstreamAge time.Duration // how long before the request the upstream had started
}

// Ended counts an answer of an upstream of a version, or that there was none.
func (g *Register) Ended(p *Plan, v id.Version, u id.Upstream, o Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := p.rollout
	counts := r.own.route(p.route)
	tally := &counts.Other
	if r.isTarget(v) {
		tally = &counts.Target
		ofUpstream := UpstreamTally{Answers: 1}
		if o.Failed {
			ofUpstream.Failures = 1
		}
		r.ownUpstreams.add(Upstreams{KeyOf(u): ofUpstream})
	}
	tally.Answers++
	if o.Failed {
		tally.Failures++
	}
	if o.UpstreamAge < r.warmUp() {
		return
	}
	if o.Duration > 0 {
		tally.Durations[bucketOf(o.Duration)]++
	}
	if o.Stream > 0 {
		tally.Streams[bucketOf(o.Stream)]++
	}
}
