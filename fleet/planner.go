package fleet

// This file defines Planner, which decides how many upstreams of each model every data
// centre runs.
//
// Demand is the number of requests of a model that run or wait. It is added up over
// all data centres, since requests are routed to wherever there is capacity. The need
// is the number of upstreams that serve the demand at the target utilisation.
//
// Upstreams are started after they were missing in a few consecutive measurements.
// They are stopped only after the need was lower for the whole ScaleDownDelay, since
// starting an upstream is slow and puts load on the store of model weights.
//
// The need is spread evenly over the data centres, with enough reserve for the loss of
// any one of them: each of k data centres gets the need divided by k-1.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Config configures a Planner.
type Config struct {
	TargetUtilisation float64       // fraction of an upstream's slots that demand should take
	ScaleDownDelay    time.Duration // how long the need must be lower before upstreams are stopped
	ScaleUpDelay      time.Duration // how long upstreams must be missing, in every measurement, before any is started
	MaxSampleGap      time.Duration // longest time between two measurements; after a longer one the planner starts over
	OrderCooldown     time.Duration // from LastOrderAt of a group until the effect of the order can be measured
	PendingTimeout    time.Duration // how long an ordered upstream that has not appeared yet is expected
	MaxStarting       int           // most upstreams of a model that load weights at the same time
	DrainDuration     time.Duration // how long a drained upstream takes no work
}

// DefaultConfig returns the configuration for a fleet whose upstreams take about a
// minute to load their weights.
func DefaultConfig() Config {
	return Config{
		TargetUtilisation: 0.7, ScaleDownDelay: 10 * time.Minute, ScaleUpDelay: 10 * time.Second, MaxSampleGap: 15 * time.Second,
		OrderCooldown: time.Minute, PendingTimeout: 10 * time.Minute, MaxStarting: 4, DrainDuration: DrainDuration,
	}
}

// DrainDuration is how long a sidecar takes no work after a drain order.
const DrainDuration = 2 * time.Minute

// Upstream is the measurement of one upstream that takes work, or will once its model is
// loaded.
type Upstream struct {
	ID       id.Upstream
	Requests int  // number of requests that run or wait there
	Loading  bool // its model is not known to be loaded yet
}

// DrainedUpstream is the measurement of an upstream that was ordered to drain and takes
// no new work.
type DrainedUpstream struct {
	ID         id.Upstream
	Requests   int
	DrainedFor time.Duration // longest time for which the order can have been in effect
}

// UpstreamGroup is the measurement of the upstreams of one model in one data centre.
type UpstreamGroup struct {
	Model        id.Model
	DataCentre   id.DataCentre
	Min, Max     int  // bounds of the number of upstreams
	OutOfService bool // operators have drained the data centre
	Slots        int  // requests that one warmed-up upstream runs at once
	Upstreams    []Upstream
	Drained      []DrainedUpstream
	Pending      int       // ordered upstreams that have not appeared yet but are still expected
	LastOrderAt  time.Time // deadline of the newest start or stop order, after which it is no longer sent; zero: none
}

// Action is what to order: *StartAction, *DrainAction or *StopAction.
type Action interface{ action() }

// StartAction starts upstreams.
type StartAction struct {
	Model      id.Model
	DataCentre id.DataCentre
	Count      int
}

// DrainAction makes an upstream take no new work.
type DrainAction struct {
	Model      id.Model
	DataCentre id.DataCentre
	Upstream   id.Upstream
}

// StopAction stops an upstream that was drained and has no requests left.
type StopAction struct {
	Model      id.Model
	DataCentre id.DataCentre
	Upstream   id.Upstream
}

func (*StartAction) action() {}
func (*DrainAction) action() {}
func (*StopAction) action()  {}

// needSample is the need of a model at one time.
type needSample struct {
	at   time.Time
	need int
}

// Planner decides from the measurements of the last ScaleDownDelay. It is not safe for
// concurrent use.
type Planner struct {
	cfg         Config
	firstSample time.Time // first measurement without a gap since; zero: none
	lastSample  time.Time
	needs       map[id.Model][]needSample // in order of rising time and falling need; the first is the maximum
	shortSince  map[groupKey]time.Time    // since when a group has too few upstreams
}

// groupKey identifies an UpstreamGroup.
type groupKey struct {
	model      id.Model
	dataCentre id.DataCentre
}

// NewPlanner returns a planner without measurements.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, needs: make(map[id.Model][]needSample), shortSince: make(map[groupKey]time.Time)}
}

// Step takes one measurement of every group and returns the actions to order. The
// measurements must be current, not estimated or left over from an earlier time.
func (p *Planner) Step(now time.Time, groups []UpstreamGroup) []Action {
	if p.firstSample.IsZero() || now.Sub(p.lastSample) > p.cfg.MaxSampleGap || now.Before(p.lastSample) {
		p.firstSample = now
		clear(p.needs)
		clear(p.shortSince)
	}
	p.lastSample = now
	var actions []Action
	for _, modelGroups := range groupByModel(groups) {
		peak := p.recordNeed(now, modelGroups[0].Model, requiredUpstreams(modelGroups, p.cfg.TargetUtilisation))
		actions = append(actions, p.plan(now, modelGroups, peak)...)
	}
	return actions
}

// groupByModel splits groups by model, sorted by model and data centre.
func groupByModel(groups []UpstreamGroup) [][]UpstreamGroup {
	sorted := slices.SortedFunc(slices.Values(groups), func(a, b UpstreamGroup) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return slices.Collect(func(yield func([]UpstreamGroup) bool) {
		for len(sorted) > 0 {
			n := slices.IndexFunc(sorted, func(s UpstreamGroup) bool { return s.Model != sorted[0].Model })
			if n < 0 {
				n = len(sorted)
			}
			if !yield(sorted[:n]) {
				return
			}
			sorted = sorted[n:]
		}
	})
}

// requiredUpstreams returns the number of upstreams that serve the demand of one model
// at the given utilisation.
func requiredUpstreams(groups []UpstreamGroup, utilisation float64) int {
	requests, slots := 0, 0
	for _, g := range groups {
		slots = max(slots, g.Slots)
		for _, u := range g.Upstreams {
			requests += u.Requests
		}
		for _, d := range g.Drained {
			requests += d.Requests
		}
	}
	return int(math.Ceil(float64(requests) / (utilisation * float64(max(1, slots)))))
}

// recordNeed stores the current need of a model and returns the highest need of the
// last ScaleDownDelay.
func (p *Planner) recordNeed(now time.Time, model id.Model, need int) int {
	kept := slices.DeleteFunc(p.needs[model], func(s needSample) bool { return s.need <= need || now.Sub(s.at) > p.cfg.ScaleDownDelay })
	p.needs[model] = append(kept, needSample{at: now, need: need})
	return p.needs[model][0].need
}

// plan returns the actions that bring the groups of one model towards their target
// sizes. The argument need is the highest need of the last ScaleDownDelay.
func (p *Planner) plan(now time.Time, groups []UpstreamGroup, need int) []Action {
	inService, starting := 0, 0
	for _, g := range groups {
		if !g.OutOfService {
			inService++
		}
		starting += g.loading() + g.Pending
	}
	share := need
	if inService > 1 {
		share = (need + inService - 2) / (inService - 1)
	}
	startable := max(0, p.cfg.MaxStarting-starting)
	var actions []Action
	for _, g := range groups {
		target := min(max(share, g.Min), g.Max)
		running := len(g.Upstreams)
		missing := target - running - g.Pending
		shortFor := p.shortFor(now, groupKey{g.Model, g.DataCentre}, missing > 0)
		switch {
		case g.OutOfService || now.Sub(g.LastOrderAt) < p.cfg.OrderCooldown:
		case missing > 0:
			if n := min(missing, startable); n > 0 && shortFor >= p.cfg.ScaleUpDelay {
				startable -= n
				actions = append(actions, &StartAction{Model: g.Model, DataCentre: g.DataCentre, Count: n})
			}
		case running+len(g.Drained) > target && now.Sub(p.firstSample) >= p.cfg.ScaleDownDelay:
			if action := p.scaleDown(g, target); action != nil {
				actions = append(actions, action)
			}
		}
	}
	return actions
}

// shortFor returns how long a group has had too few upstreams, by which ScaleUpDelay is
// measured. Because of that delay, a single lost response of a sidecar does not start
// another upstream.
func (p *Planner) shortFor(now time.Time, key groupKey, short bool) time.Duration {
	if !short {
		delete(p.shortSince, key)
		return 0
	}
	if _, ok := p.shortSince[key]; !ok {
		p.shortSince[key] = now
	}
	return now.Sub(p.shortSince[key])
}

// loading returns the number of upstreams that are loading their model.
func (g *UpstreamGroup) loading() int {
	n := 0
	for _, u := range g.Upstreams {
		if u.Loading {
			n++
		}
	}
	return n
}

// scaleDown returns the next action towards one upstream fewer, or nil: it drains the
// least busy upstream, and stops it once it has no requests. A drain ends by itself
// after DrainDuration, so that the upstream takes work again if the process that
// ordered the drain is lost. An upstream is therefore stopped only in the first half of
// that time; after that, the drain is ordered again.
func (p *Planner) scaleDown(g UpstreamGroup, target int) Action {
	for _, d := range g.Drained {
		if d.DrainedFor >= p.cfg.DrainDuration/2 {
			return &DrainAction{Model: g.Model, DataCentre: g.DataCentre, Upstream: d.ID}
		}
		if d.Requests == 0 {
			return &StopAction{Model: g.Model, DataCentre: g.DataCentre, Upstream: d.ID}
		}
	}
	if len(g.Drained) > 0 || len(g.Upstreams) <= target {
		return nil
	}
	leastBusy := slices.MinFunc(g.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	})
	return &DrainAction{Model: g.Model, DataCentre: g.DataCentre, Upstream: leastBusy.ID}
}
