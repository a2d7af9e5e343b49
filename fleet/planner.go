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
	TargetUse   float64       // part of an upstream's slots that demand should take
	Hold        time.Duration // for which the need must be lower before upstreams are stopped
	Steady      time.Duration // for which upstreams must be missing, in unbroken measurement, before any is started
	MaxGap      time.Duration // between two measurements; a longer one starts over
	Settle      time.Duration // after an order at a site, until its effect can be seen
	Pending     time.Duration // for which an upstream that was ordered and not seen yet is expected
	MaxStarting int           // upstreams of a model that load weights at once
	DrainHold   time.Duration // for which a drained upstream takes no work
}

// DefaultConfig returns the config of a fleet whose upstreams take about a minute
// to load their weights.
func DefaultConfig() Config {
	return Config{
		TargetUse: 0.7, Hold: 10 * time.Minute, Steady: 10 * time.Second, MaxGap: 15 * time.Second,
		Settle: time.Minute, Pending: 10 * time.Minute, MaxStarting: 4, DrainHold: DrainHold,
	}
}

// DrainHold is how long a sidecar that was ordered to drain takes no work.
const DrainHold = 2 * time.Minute

// Upstream is what is known of one upstream that takes work.
type Upstream struct {
	ID      id.Upstream
	Busy    int  // requests that run or wait there
	Warming bool // still growing into its full limit
}

// Drained is an upstream that was ordered to drain.
type Drained struct {
	ID   id.Upstream
	Busy int
	Age  time.Duration // since it was ordered
}

// Site is one model in one data centre, as measured.
type Site struct {
	Model      id.Model
	DataCentre id.DataCentre
	Min, Max   int
	Closed     bool // operators have taken the data centre out
	Slots      int  // requests that one warm upstream runs at once
	Upstreams  []Upstream
	Drained    []Drained
	Pending    int       // upstreams that were ordered and are still expected
	LastOrder  time.Time // of the newest start or stop here; zero: none
}

// Move is what to order: *StartMove, *DrainMove or *StopMove.
type Move interface{ move() }

// StartMove starts upstreams.
type StartMove struct {
	Model      id.Model
	DataCentre id.DataCentre
	Count      int
}

// DrainMove makes an upstream take no new work.
type DrainMove struct {
	Model      id.Model
	DataCentre id.DataCentre
	Upstream   id.Upstream
}

// StopMove stops an upstream that was drained and has no work left.
type StopMove struct {
	Model      id.Model
	DataCentre id.DataCentre
	Upstream   id.Upstream
}

func (*StartMove) move() {}
func (*DrainMove) move() {}
func (*StopMove) move()  {}

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
func (p *Planner) Step(now time.Time, sites []Site) []Move {
	if p.first.IsZero() || now.Sub(p.last) > p.cfg.MaxGap || now.Before(p.last) {
		p.first = now
		clear(p.needs)
		clear(p.short)
	}
	p.last = now
	var moves []Move
	for _, model := range byModel(sites) {
		peak := p.remember(now, model[0].Model, need(model, p.cfg.TargetUse))
		moves = append(moves, p.plan(now, model, peak)...)
	}
	return moves
}

// byModel groups sites by model, in the order of model and data centre.
func byModel(sites []Site) [][]Site {
	sorted := slices.SortedFunc(slices.Values(sites), func(a, b Site) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return slices.Collect(func(yield func([]Site) bool) {
		for len(sorted) > 0 {
			n := slices.IndexFunc(sorted, func(s Site) bool { return s.Model != sorted[0].Model })
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
func need(model []Site, use float64) int {
	busy, slots := 0, 0
	for _, s := range model {
		slots = max(slots, s.Slots)
		for _, u := range s.Upstreams {
			busy += u.Busy
		}
		for _, d := range s.Drained {
			busy += d.Busy
		}
	}
	return int(math.Ceil(float64(busy) / (use * float64(max(1, slots)))))
}

// remember notes a need and returns the highest one of the hold time.
func (p *Planner) remember(now time.Time, m id.Model, n int) int {
	kept := slices.DeleteFunc(p.needs[m], func(s sample) bool { return s.need <= n || now.Sub(s.at) > p.cfg.Hold })
	p.needs[m] = append(kept, sample{at: now, need: n})
	return p.needs[m][0].need
}

// plan compares each data centre with what it should run.
func (p *Planner) plan(now time.Time, model []Site, peak int) []Move {
	open, starting := 0, 0
	for _, s := range model {
		if !s.Closed {
			open++
		}
		starting += s.warming() + s.Pending
	}
	share := peak
	if open > 1 {
		share = (peak + open - 2) / (open - 1)
	}
	room := max(0, p.cfg.MaxStarting-starting)
	var moves []Move
	for _, s := range model {
		want := min(max(share, s.Min), s.Max)
		have := len(s.Upstreams)
		short := want - have - s.Pending
		missing := p.missing(now, place{s.Model, s.DataCentre}, short > 0)
		switch {
		case s.Closed || now.Sub(s.LastOrder) < p.cfg.Settle:
		case short > 0:
			if n := min(short, room); n > 0 && missing >= p.cfg.Steady {
				room -= n
				moves = append(moves, &StartMove{Model: s.Model, DataCentre: s.DataCentre, Count: n})
			}
		case have+len(s.Drained) > want && now.Sub(p.first) >= p.cfg.Hold:
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

func (s *Site) warming() int {
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
func (p *Planner) shrink(s Site, want int) Move {
	for _, d := range s.Drained {
		if d.Age >= p.cfg.DrainHold/2 {
			return &DrainMove{Model: s.Model, DataCentre: s.DataCentre, Upstream: d.ID}
		}
		if d.Busy == 0 {
			return &StopMove{Model: s.Model, DataCentre: s.DataCentre, Upstream: d.ID}
		}
	}
	if len(s.Drained) > 0 || len(s.Upstreams) <= want {
		return nil
	}
	least := slices.MinFunc(s.Upstreams, func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Busy, b.Busy), cmp.Compare(a.ID, b.ID))
	})
	return &DrainMove{Model: s.Model, DataCentre: s.DataCentre, Upstream: least.ID}
}
