package fleet

// This file defines Planner, which decides how many upstreams each data centre
// runs of each model.
//
// Demand is the number of requests that run or wait, in all data centres together:
// requests go wherever there is room. The need is the upstreams that serve it at
// the target use. Upstreams are started when they were missing for a few
// measurements and stopped only when the need was lower for the whole hold time,
// since starting an upstream is slow and costs the weight store. The need is
// spread evenly, so that any one data centre can be lost: with k of them, each
// gets the need divided by k-1.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Config is how a planner decides.
type Config struct {
	TargetUtilisation float64       // part of an upstream's slots that demand should take
	ScaleDownDelay    time.Duration // for which the need must be lower before upstreams are stopped
	ScaleUpDelay      time.Duration // for which upstreams must be missing, in unbroken measurement, before any is started
	MaxSampleGap      time.Duration // between two measurements; a longer one starts over
	OrderCooldown     time.Duration // after an order at a site, until its effect can be seen
	PendingTimeout    time.Duration // for which an upstream that was ordered and not seen yet is expected
	MaxStarting       int           // upstreams of a model that load weights at once
	DrainDuration     time.Duration // for which a drained upstream takes no work
}

// DefaultConfig returns the config of a fleet whose upstreams take about a minute
// to load their weights.
func DefaultConfig() Config {
	return Config{
		TargetUtilisation: 0.7, ScaleDownDelay: 10 * time.Minute, ScaleUpDelay: 10 * time.Second, MaxSampleGap: 15 * time.Second,
		OrderCooldown: time.Minute, PendingTimeout: 10 * time.Minute, MaxStarting: 4, DrainDuration: DrainDuration,
	}
}

// DrainHold is how long a sidecar that was ordered to drain takes no work.
const DrainDuration = 2 * time.Minute

// Upstream is what is known of one upstream that takes work.
type Upstream struct {
	ID       id.Upstream
	Requests int  // requests that run or wait there
	Warming  bool // still growing into its full limit
}

// DrainedUpstream is an upstream that was ordered to drain.
type DrainedUpstream struct {
	ID         id.Upstream
	Requests   int
	DrainedFor time.Duration // since it was ordered
}

// UpstreamGroup is one model in one data centre, as measured.
type UpstreamGroup struct {
	Model        id.Model
	DataCentre   id.DataCentre
	Min, Max     int
	OutOfService bool // operators have taken the data centre out
	Slots        int  // requests that one warm upstream runs at once
	Upstreams    []Upstream
	Drained      []DrainedUpstream
	Pending      int       // upstreams that were ordered and are still expected
	LastOrderAt  time.Time // of the newest start or stop here; zero: none
}

// Action is what to order: *StartMove, *DrainMove or *StopMove.
type Action interface{ move() }

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

// StopAction stops an upstream that was drained and has no work left.
type StopAction struct {
	Model      id.Model
	DataCentre id.DataCentre
	Upstream   id.Upstream
}

func (*StartAction) move() {}
func (*DrainAction) move() {}
func (*StopAction) move()  {}

// sample is a need at one time.
type sample struct {
	at   time.Time
	need int
}

// Planner remembers the needs of the hold time. It is not safe for concurrent use.
type Planner struct {
	cfg   Config
	first time.Time // of the unbroken run of measurements; zero: none
	last  time.Time
	needs map[id.Model][]sample // falling needs of rising times
	short map[place]time.Time   // since when upstreams are missing
}

// place names a site.
type place struct {
	model      id.Model
	dataCentre id.DataCentre
}

// NewPlanner returns a planner that has measured nothing.
func NewPlanner(cfg Config) *Planner {
	return &Planner{cfg: cfg, needs: make(map[id.Model][]sample), short: make(map[place]time.Time)}
}

// Step takes one measurement of every site and returns what to order. Sites must
// be fresh: what is not known now must not be guessed.
func (p *Planner) Step(now time.Time, sites []UpstreamGroup) []Action {
	if p.first.IsZero() || now.Sub(p.last) > p.cfg.MaxSampleGap || now.Before(p.last) {
		p.first = now
		clear(p.needs)
		clear(p.short)
	}
	p.last = now
	var moves []Action
	for _, model := range byModel(sites) {
		peak := p.remember(now, model[0].Model, need(model, p.cfg.TargetUtilisation))
		moves = append(moves, p.plan(now, model, peak)...)
	}
	return moves
}

// byModel groups sites by model, in the order of model and data centre.
func byModel(sites []UpstreamGroup) [][]UpstreamGroup {
	sorted := slices.SortedFunc(slices.Values(sites), func(a, b UpstreamGroup) int {
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

// need returns the upstreams that serve the demand of one model at the target use.
func need(model []UpstreamGroup, use float64) int {
	busy, slots := 0, 0
	for _, s := range model {
		slots = max(slots, s.Slots)
		for _, u := range s.Upstreams {
			busy += u.Requests
		}
		for _, d := range s.Drained {
			busy += d.Requests
		}
	}
	return int(math.Ceil(float64(busy) / (use * float64(max(1, slots)))))
}

// remember notes a need and returns the highest one of the hold time.
func (p *Planner) remember(now time.Time, m id.Model, n int) int {
	kept := slices.DeleteFunc(p.needs[m], func(s sample) bool { return s.need <= n || now.Sub(s.at) > p.cfg.ScaleDownDelay })
	p.needs[m] = append(kept, sample{at: now, need: n})
	return p.needs[m][0].need
}

// plan compares each data centre with what it should run.
func (p *Planner) plan(now time.Time, model []UpstreamGroup, peak int) []Action {
	open, starting := 0, 0
	for _, s := range model {
		if !s.OutOfService {
			open++
		}
		starting += s.warming() + s.Pending
	}
	share := peak
	if open > 1 {
		share = (peak + open - 2) / (open - 1)
	}
	room := max(0, p.cfg.MaxStarting-starting)
	var moves []Action
	for _, s := range model {
		want := min(max(share, s.Min), s.Max)
		have := len(s.Upstreams)
		short := want - have - s.Pending
		missing := p.missing(now, place{s.Model, s.DataCentre}, short > 0)
		switch {
		case s.OutOfService || now.Sub(s.LastOrderAt) < p.cfg.OrderCooldown:
		case short > 0:
			if n := min(short, room); n > 0 && missing >= p.cfg.ScaleUpDelay {
				room -= n
				moves = append(moves, &StartAction{Model: s.Model, DataCentre: s.DataCentre, Count: n})
			}
		case have+len(s.Drained) > want && now.Sub(p.first) >= p.cfg.ScaleDownDelay:
			if m := p.shrink(s, want); m != nil {
				moves = append(moves, m)
			}
		}
	}
	return moves
}

// missing returns for how long upstreams have been missing at a site. One lost
// answer of a sidecar must not start another upstream.
func (p *Planner) missing(now time.Time, at place, short bool) time.Duration {
	if !short {
		delete(p.short, at)
		return 0
	}
	if _, ok := p.short[at]; !ok {
		p.short[at] = now
	}
	return now.Sub(p.short[at])
}

func (s *UpstreamGroup) warming() int {
	n := 0
	for _, u := range s.Upstreams {
		if u.Warming {
			n++
		}
	}
	return n
}

// shrink takes one step towards one upstream fewer: drain the least busy one, and
// stop it when it is idle. The drain ends by itself, so that an upstream whose
// orderer was lost comes back; it is stopped only well before that.
func (p *Planner) shrink(s UpstreamGroup, want int) Action {
	for _, d := range s.Drained {
		if d.DrainedFor >= p.cfg.DrainDuration/2 {
			return &DrainAction{Model: s.Model, DataCentre: s.DataCentre, Upstream: d.ID}
		}
		if d.Requests == 0 {
			return &StopAction{Model: s.Model, DataCentre: s.DataCentre, Upstream: d.ID}
		}
	}
	if len(s.Drained) > 0 || len(s.Upstreams) <= want {
		return nil
	}
	least := slices.MinFunc(s.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Requests, b.Requests), cmp.Compare(a.ID, b.ID))
	})
	return &DrainAction{Model: s.Model, DataCentre: s.DataCentre, Upstream: least.ID}
}
