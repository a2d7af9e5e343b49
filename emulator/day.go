package emulator

// This file defines Play, which plays the load of a Site, and the engines and arrivals of it.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/quota"
)

// model is the only model of a site, and siteWorkspace the only workspace.
const model id.Model = "model"

// day is a site in play.
type day struct {
	site     *Site
	clock    *Clock
	start    time.Time
	rand     *rand.Rand
	latest   *catalog.Latest
	gateways []*relay
	engines  map[id.Upstream]*batchEngine
	live     []*batchEngine
	callers  []int // the gateway of each
	urgency  []int // by kind
	lastID   int   // of engines, attempts and private parts
	result   *DayResult
}

// Play plays a site. The same seed gives the same result.
func Play(site *Site, seed uint64) *DayResult {
	epoch := time.Unix(1_800_000_000, 0)
	d := &day{
		site: site, clock: NewClock(epoch), start: epoch, rand: rand.New(rand.NewPCG(seed, 2)), latest: new(catalog.Latest),
		engines: make(map[id.Upstream]*batchEngine), result: newResult(site, seed),
	}
	d.indexCatalog()
	for n := range site.Gateways {
		d.gateways = append(d.gateways, d.newRelay(n))
	}
	for range site.Callers {
		d.callers = append(d.callers, d.rand.IntN(site.Gateways))
	}
	for n := range site.Engines {
		speed := 1.0
		if site.Engines > 1 {
			speed -= (1 - site.SlowestEngine) * float64(n) / float64(site.Engines-1)
		}
		e := d.startEngine(speed)
		for _, g := range d.gateways { // all views are complete at the beginning
			g.pool.Put(d.clock.Now(), e.listing)
		}
	}
	for i := range site.Kinds {
		d.scheduleArrivals(i)
	}
	for n, g := range d.gateways {
		d.clock.After(roundInterval*time.Duration(n)/time.Duration(len(d.gateways)), func() {
			d.clock.Every(roundInterval, g.exchangeLoads)
		})
	}
	for _, c := range site.Crashes {
		d.clock.After(c.At.Duration, func() {
			for range min(c.Count, len(d.live)) {
				d.live[d.rand.IntN(len(d.live))].crash()
			}
		})
	}
	end := site.Warmup.Duration + site.Length.Duration
	for second := time.Duration(0); second <= end; second += time.Second {
		d.clock.After(second, d.sampleEngines)
	}
	d.clock.Run(epoch.Add(end + site.longestDeadline() + time.Second))
	return d.result
}

// indexCatalog publishes the configuration that a site amounts to.
func (d *day) indexCatalog() {
	workspace := &catalog.Workspace{Name: "workspace"}
	c := &catalog.Catalog{
		Version:    1,
		Workspaces: map[string]*catalog.Workspace{"key": workspace},
		Services: map[id.Service]*catalog.Service{service: {
			Name: service, Engine: &catalog.Engine{Slots: d.site.Engine.Slots, KVCacheTokens: d.site.Engine.KVCacheTokens},
		}},
	}
	for i := range d.site.Kinds {
		k := &d.site.Kinds[i]
		c.Routes = append(c.Routes, catalog.Route{
			Name: id.Route(k.Name), Host: "host", PathPrefix: "/" + k.Name + "/", Kind: catalog.KindStream, Timeout: k.Deadline.Duration,
			LatencyObjective: k.Objective.Duration, MaxEventGap: k.GapObjective.Duration, Priority: k.Priority, MaxAttempts: k.Attempts,
			PromptAffinity: true, Services: []catalog.WeightedService{{Service: service, Weight: 1}},
		})
	}
	c.Index()
	d.latest.Update(c)
	for i := range c.Routes {
		d.urgency = append(d.urgency, c.Urgency(workspace, &c.Routes[i], leastUrgent))
	}
}

// leastUrgent is the largest, least urgent value that engines accept.
const leastUrgent = 9

// elapsed returns the time since the beginning.
func (d *day) elapsed() time.Duration { return d.clock.Now().Sub(d.start) }

// counted reports whether requests that are sent now belong to the result.
func (d *day) counted() bool {
	at := d.elapsed() - d.site.Warmup.Duration
	return at >= 0 && at < d.site.Length.Duration
}

// nextID returns a number that no other engine, attempt or private part has.
func (d *day) nextID() int {
	d.lastID++
	return d.lastID
}

// scheduleArrivals has callers send requests of a kind at random times.
func (d *day) scheduleArrivals(kind int) {
	k := &d.site.Kinds[kind]
	prompts := d.newPrompts(k)
	var next func()
	next = func() {
		gap := d.rand.ExpFloat64() / d.site.rate(k, d.elapsed())
		d.clock.After(time.Duration(gap*float64(time.Second)), func() {
			if d.elapsed() < d.site.Warmup.Duration+d.site.Length.Duration {
				d.newCall(kind, prompts.draw()).send()
				next()
			}
		})
	}
	next()
}

// listingLag returns how long a gateway takes to know of a change of an engine.
func (d *day) listingLag() time.Duration {
	low, high := d.site.MinListingLag.Duration, d.site.MaxListingLag.Duration
	return low + time.Duration(d.rand.Int64N(int64(high-low)))
}

// sampleEngines adds what the engines have done so far to the series.
func (d *day) sampleEngines() {
	requests, total := 0, BatchStats{}
	for _, e := range d.engines {
		total.add(e.batch.Stats())
	}
	for _, e := range d.live {
		requests += e.batch.Running() + e.batch.Waiting()
	}
	d.result.addSample(d.elapsed(), requests, total)
}

// batchEngine is one start of an engine.
type batchEngine struct {
	day       *day
	listing   pool.Listing
	speed     float64
	batch     *Batch
	attempts  map[*Work]*attempt
	down      bool
	scheduled bool // the end of the present step is on the clock
}

// startEngine starts an engine.
func (d *day) startEngine(speed float64) *batchEngine {
	cfg := d.site.Engine.scaled(speed)
	e := &batchEngine{
		day: d, speed: speed, batch: NewBatch(cfg), attempts: make(map[*Work]*attempt),
		listing: pool.Listing{
			ID: id.Upstream(fmt.Sprintf("engine-%06d", d.nextID())), Service: service, Address: "engine", Slots: cfg.Slots,
			StartUnixMS: d.clock.Now().UnixMilli(),
		},
	}
	d.engines[e.listing.ID] = e
	d.live = append(d.live, e)
	return e
}

// submit gives an attempt to the engine. It returns false if the engine refuses it.
func (e *batchEngine) submit(a *attempt) bool {
	if !e.batch.Submit(e.day.clock.Now(), a.work) {
		return false
	}
	e.attempts[a.work] = a
	e.schedule()
	return true
}

// cancel drops an attempt whose caller has left.
func (e *batchEngine) cancel(a *attempt) {
	if e.attempts[a.work] != nil {
		delete(e.attempts, a.work)
		e.batch.Cancel(a.work)
	}
}

// schedule has the present step end in time.
func (e *batchEngine) schedule() {
	if end, busy := e.batch.StepEnd(); busy && !e.scheduled && !e.down {
		e.scheduled = true
		e.day.clock.After(end.Sub(e.day.clock.Now()), e.step)
	}
}

// step ends the present step and sends what the requests have got.
func (e *batchEngine) step() {
	e.scheduled = false
	if e.down {
		return
	}
	for _, event := range e.batch.Step(e.day.clock.Now()) {
		a := e.attempts[event.Work]
		if event.Last {
			delete(e.attempts, event.Work)
		}
		e.day.clock.After(e.day.site.Engine.AnswerDelay.Duration+e.day.site.Latency.Duration, func() { a.relayEvent(event.Last) })
	}
	e.schedule()
}

// crash ends the engine with all that runs there; another starts in its place.
func (e *batchEngine) crash() {
	d := e.day
	e.down = true
	d.live = slices.DeleteFunc(d.live, func(o *batchEngine) bool { return o == e })
	attempts := make([]*attempt, 0, len(e.attempts))
	for _, a := range e.attempts {
		attempts = append(attempts, a)
	}
	slices.SortFunc(attempts, func(a, b *attempt) int { return a.id - b.id })
	for _, a := range attempts {
		d.clock.After(d.site.Latency.Duration, a.lost)
	}
	for _, g := range d.gateways {
		d.clock.After(d.listingLag(), func() { g.pool.Remove(d.clock.Now(), e.listing.ID) })
	}
	d.clock.After(d.site.RestartTime.Duration, func() {
		next := d.startEngine(e.speed)
		for _, g := range d.gateways {
			d.clock.After(d.listingLag(), func() { g.pool.Put(d.clock.Now(), next.listing) })
		}
	})
}

// retryBudget returns the retry budget of a gateway of a fleet.
func (d *day) retryBudget(fleet quota.Fleet) *gateway.RetryBudgets {
	b := gateway.NewRetryBudgets(gateway.RetryBudgetConfig{Ratio: d.site.RetryRatio, Slack: d.site.RetrySlack, Window: d.site.RetryWindow.Duration})
	b.SetFleet(fleet)
	return b
}

// fleet returns a gateway's view of all gateways, which is complete.
func (d *day) fleet(n int) quota.Fleet {
	nodes := make([]id.Node, d.site.Gateways)
	for i := range nodes {
		nodes[i] = gatewayNode(i)
	}
	return quota.NewFleet(gatewayNode(n), nodes, d.start, d.start)
}
