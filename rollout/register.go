package rollout

// This file defines Register, what one gateway knows of the orders: records, counts and verdicts, its own and
// those of its peers. choice.go defines what it decides for a request.

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// Load is what this gateway knows of the upstreams of one version that take requests.
type Load struct {
	Upstreams int
	Slots     int // zero: not known
	Running   int // requests of this gateway, also at upstreams that take no more
}

// size returns by how much upstreams count against those of another version.
func (l Load) size() int { return cmp.Or(l.Slots, l.Upstreams) }

// Service describes a service that an order is about.
type Service struct {
	Known    bool // a configuration names it, or none is known yet
	Versions map[id.Version]Load
}

// Source is one run of a gateway.
type Source struct {
	Node        id.Node
	Incarnation id.Incarnation
}

// Report is what one gateway knows of one order.
type Report struct {
	From      Source // not told, as it is known of the row
	Service   id.Service
	Target    id.Version
	Order     uint64    // offset of the order
	Live      bool      // the gateway is alive; not told
	State     State     // of the newest record that it knows
	Reason    Reason    // of that record
	Started   time.Time // zero: not known
	At        time.Time // of that record
	By        id.Node   // of that record
	Rejected  []id.Version
	Condemned Reason // why the target is condemned; empty: it is not
	// OtherRunning is how many of its requests run at upstreams of other versions.
	OtherRunning int
	Counts       Counts
	Upstreams    Upstreams
}

// toldCounts is what one run of a gateway has counted.
type toldCounts struct {
	counts    Counts
	upstreams Upstreams
}

// rollout is an order with all that is known of it.
type rollout struct {
	order     Order
	withdrawn bool
	unread    bool // only its record or a peer tells of the order: its duration is not known
	// missingSince is since when this gateway has read all orders up to this one and later, and not this one; zero: it has not.
	missingSince time.Time
	started      time.Time
	// knownSince is when this gateway learned of the order: it has used no slack before.
	knownSince   time.Time
	targetSince  time.Time // when this gateway first had upstreams of the target; zero: never
	record       Record    // zero: none is known
	condemned    Reason    // empty: the target is not condemned
	rejected     map[id.Version]bool
	superseded   feed.Offset // the largest of the orders that this gateway knows it to supersede
	service      Service
	own          Counts
	ownUpstreams Upstreams
	exposure     exposure
	// trialUpstreams is how many upstreams of the target this gateway uses in the trial; zero before.
	trialUpstreams int
	// Of all gateways, as of the last round. Counts of a run that has ended stay, so that they never get less.
	told         map[Source]toldCounts
	whole        Counts
	upstreams    Upstreams
	strata       strata
	sound        evidence // of the whole order
	recent       evidence // of the last seconds
	inDoubt      bool     // the target is worse by the standard of doubt
	otherRunning int
	allShifting  bool // every gateway that may be alive knows that the target goes first
}

// target returns whether a request for a version is one for the target.
func (r *rollout) isTarget(v id.Version) bool { return v == r.order.Target }

// schedule returns the times of the order.
func (r *rollout) schedule() Schedule { return NewSchedule(r.started, r.order.Duration) }

// warmUp returns how long after its start an upstream may be slow.
func (r *rollout) warmUp() time.Duration {
	return min(warmUp, time.Duration(warmUpFraction*float64(r.order.Duration)))
}

// stopped reports whether the target gets nothing, whatever the record says.
func (r *rollout) stopped() bool {
	switch r.record.State {
	case Done:
		return false
	case RolledBack:
		return true
	}
	return r.withdrawn || r.condemned != ""
}

// loads returns the loads of the target and of all other versions that are not rejected.
func (r *rollout) loads() (target, others Load) {
	for v, l := range r.service.Versions {
		switch {
		case r.isTarget(v):
			target = l
		case !r.rejected[v]:
			others.Upstreams += l.Upstreams
			others.Slots += l.Slots
			others.Running += l.Running
		}
	}
	return target, others
}

// Register is what a gateway knows of the orders. It is safe for concurrent use.
type Register struct {
	cfg    Config
	random func() float64 // from zero to one

	mu       sync.Mutex
	rollouts map[id.Service]*rollout
	gateways int  // the most that were known at once
	isolated bool // most peers were not heard of late, or none since the start
	roundAt  time.Time
	version  int // rises when peers should know of something at once
}

// New returns a register without orders.
func New(cfg Config, random func() float64) *Register {
	return &Register{cfg: cfg, random: random, rollouts: make(map[id.Service]*rollout), gateways: 1}
}

// Order takes up an order, unless it is the known one of its service. It reports whether it did,
// and returns the order that is superseded, if any.
func (g *Register) Order(now time.Time, o Order) (isNew bool, superseded *Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rejected, newest := make(map[id.Version]bool), feed.Offset(0)
	if known := g.rollouts[o.Service]; known != nil {
		if known.order == o && !known.withdrawn {
			return false, nil
		}
		if known.unread && known.order.Offset == o.Offset && known.order.Target == o.Target {
			known.order, known.unread, known.withdrawn, known.knownSince = o, false, false, now
			g.version++
			return true, nil
		}
		if known.record.State != Done {
			rejected = maps.Clone(known.rejected)
			rejected[known.order.Target] = true
		}
		before := known.order
		superseded, newest = &before, max(before.Offset, known.superseded)
	}
	delete(rejected, o.Target)
	r := newRollout(now, o, rejected)
	r.superseded = newest
	g.rollouts[o.Service] = r
	g.version++
	return true, superseded
}

func newRollout(now time.Time, o Order, rejected map[id.Version]bool) *rollout {
	return &rollout{
		order: o, started: now, knownSince: now, rejected: rejected, service: Service{Known: true},
		own: make(Counts), ownUpstreams: make(Upstreams), told: make(map[Source]toldCounts), whole: make(Counts),
		exposure: exposure{routes: make(map[id.Route]int)},
	}
}

// Withdraw records that the order of a service was deleted. It reports whether one was known that this gateway has read.
func (g *Register) Withdraw(service id.Service) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.rollouts[service]
	if r == nil || r.withdrawn || r.unread {
		return false
	}
	r.withdrawn = true
	g.version++
	return true
}

// Known returns the newest order of a service, and whether it stands; it does not if it was withdrawn or
// there is none.
func (g *Register) Known(service id.Service) (o Order, stands bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r := g.rollouts[service]; r != nil {
		return r.order, !r.withdrawn
	}
	return Order{}, false
}

// Status is the state of an order, for metrics.
type Status struct {
	Order
	State   State
	Exposed int // requests that this gateway has sent to the target
}

// States returns the states of all orders, by service.
func (g *Register) States() (states []Status) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(g.rollouts)) {
		r := g.rollouts[service]
		states = append(states, Status{Order: r.order, State: r.record.State, Exposed: r.exposure.target})
	}
	return states
}

// Services returns the services that have or had an order.
func (g *Register) Services() []id.Service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.rollouts))
}

// SetService sets what is known of the service of an order.
func (g *Register) SetService(now time.Time, service id.Service, s Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.rollouts[service]
	if r == nil {
		return
	}
	r.service = s
	if r.targetSince.IsZero() && s.Versions[r.order.Target].Upstreams > 0 {
		r.targetSince = now
	}
}

// SetFleet sets how many gateways share the bounds, and whether this one hears from too few of them
// to learn of a verdict.
func (g *Register) SetFleet(gateways int, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gateways, g.isolated = max(g.gateways, gateways), isolated
}

// Version rises when this gateway has learned something that its peers should know at once.
func (g *Register) Version() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// Adopt takes over a record that was read or appended, if it is about the known order and newer than the
// known record. It reports whether it did.
func (g *Register) Adopt(record Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.adopt(record)
}

// adopt is Adopt for a caller that holds the lock.
func (g *Register) adopt(record Record) bool {
	r := g.rollouts[record.Service]
	if r == nil {
		return false
	}
	r.reject(&record)
	if !record.of(&r.order) || record.State <= r.record.State {
		return false
	}
	r.record = record
	if !record.Started.IsZero() && record.Started.Before(r.started) {
		r.started = record.Started
	}
	g.version++
	return true
}

// reject takes over the versions that get nothing by a record of the order, or of one that it supersedes.
func (r *rollout) reject(record *Record) {
	versions := record.Rejected
	switch {
	case record.of(&r.order):
	case record.Order >= r.order.Offset || record.State == Done:
		return
	default:
		versions = append([]id.Version{record.Target}, versions...)
	}
	for _, v := range versions {
		if !r.isTarget(v) {
			r.rejected[v] = true
		}
	}
}

// rejectedVersions returns the versions that get nothing, for a record.
func (r *rollout) rejectedVersions() []id.Version { return slices.Sorted(maps.Keys(r.rejected)) }

// Change is what a round has changed: a verdict of this gateway, one of a peer, or a record that a peer told of.
type Change struct {
	Order   Order
	Verdict *Verdict // nil: there is none of this gateway
	Told    Reason   // why a peer has condemned the target; empty: none has
	Record  *Record  // nil: none was told
}

// Round takes over the reports of all other gateways and judges the targets. The reports are those of
// the gateways that are known, also of those that ended of late. They must not be changed afterwards. Peers is the number of
// other gateways that are alive, or may be.
func (g *Register) Round(now time.Time, reports []Report, peers int) (changes []Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.roundAt = now
	for i := range reports {
		if report := &reports[i]; report.Live {
			g.noteUnread(now, Order{Service: report.Service, Target: report.Target, Offset: feed.Offset(report.Order)})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(g.rollouts)) {
		r := g.rollouts[service]
		change := Change{Order: r.order}
		_, others := r.loads()
		running, shifting := others.Running, 0
		for i := range reports {
			report := &reports[i]
			if report.Service != service || report.Target != r.order.Target || report.Order != uint64(r.order.Offset) {
				continue
			}
			g.takeOver(r, report, &change)
			if report.Counts.answers() >= r.told[report.From].counts.answers() {
				r.told[report.From] = toldCounts{report.Counts, report.Upstreams}
			}
			if report.Live {
				running += report.OtherRunning
				if report.State >= Shifting {
					shifting++
				}
			}
		}
		r.otherRunning, r.allShifting = running, shifting >= peers
		r.sum(now)
		if !r.record.State.Final() && r.condemned == "" && !r.unread {
			r.inDoubt = r.judge(inDoubt) != nil
			change.Verdict = r.judge(condemned)
			if change.Verdict != nil {
				r.condemned = change.Verdict.Reason
				g.version++
			}
		}
		if change.Verdict != nil || change.Told != "" || change.Record != nil {
			changes = append(changes, change)
		}
	}
	return changes
}

// sum sums the counts of all gateways, until the order has ended.
func (r *rollout) sum(now time.Time) {
	if r.record.State.Final() {
		clear(r.told)
		r.strata, r.sound, r.recent = strata{}, evidence{}, evidence{}
		return
	}
	r.whole, r.upstreams = make(Counts), make(Upstreams)
	r.whole.add(r.own)
	r.upstreams.add(r.ownUpstreams)
	for _, told := range r.told {
		r.whole.add(told.counts)
		r.upstreams.add(told.upstreams)
	}
	r.strata.update(now, r.whole, r.upstreams)
	r.sound, r.recent = r.strata.evidence(r.whole, time.Time{}), r.strata.evidence(r.whole, now.Add(-recentStrataWithin))
}

// takeOver takes over what a peer reports of an order, but its counts. The caller holds the lock.
func (g *Register) takeOver(r *rollout, report *Report, change *Change) {
	record := Record{
		Service: r.order.Service, Target: r.order.Target, Order: r.order.Offset, State: report.State, Reason: report.Reason,
		Started: report.Started, At: report.At, By: report.By, Rejected: report.Rejected,
	}
	if g.adopt(record) {
		change.Record = &record
	}
	if !report.Started.IsZero() && report.Started.Before(r.started) {
		r.started = report.Started
	}
	if report.Condemned != "" && r.condemned == "" {
		r.condemned, change.Told = report.Condemned, report.Condemned
		g.version++
	}
}

// Reports returns what this gateway knows of all orders, for its peers.
func (g *Register) Reports() (reports []Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(g.rollouts)) {
		r := g.rollouts[service]
		_, others := r.loads()
		report := Report{
			Service: service, Target: r.order.Target, Order: uint64(r.order.Offset), State: r.record.State, Reason: r.record.Reason,
			Started: r.started, At: r.record.At, By: r.record.By, Condemned: r.condemned, OtherRunning: others.Running,
			Rejected: r.rejectedVersions(),
		}
		if !r.record.State.Final() {
			report.Counts, report.Upstreams = make(Counts), make(Upstreams)
			report.Counts.add(r.own)
			report.Upstreams.add(r.ownUpstreams)
		}
		reports = append(reports, report)
	}
	return reports
}
