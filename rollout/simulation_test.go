package rollout

// This file defines a fleet of gateways in simulated time, with its upstreams and its store, and the
// versions, good and bad, that are rolled out in it.

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

const (
	simService id.Service = "ledger"
	simOld     id.Version = "v1"
	simNew     id.Version = "v2"
	simTick               = 10 * time.Millisecond
)

// badness is a way in which a version is bad.
type badness struct {
	name      string
	part      float64 // of its answers
	slow      float64 // how many times slower a bad answer is; zero: it fails
	after     float64 // part of the order's time after which it is bad
	route     id.Route
	underLoad bool
	upstream  bool // only one of its upstreams, so that the version is good
}

func (b *badness) isGood() bool { return b.part == 0 || b.upstream }

var simKinds = []badness{
	{name: "good"},
	{name: "fails at once", part: 0.3},
	{name: "fails later", part: 0.4, after: 0.35},
	{name: "fails under load", part: 0.4, underLoad: true},
	{name: "fails on one route", part: 0.5, route: "orders"},
	{name: "slow at once", part: 0.5, slow: 5},
	{name: "slow later", part: 0.6, slow: 5, after: 0.35},
	{name: "slow on one route", part: 0.7, slow: 5, route: "lookups"},
	{name: "slow under load", part: 0.6, slow: 5, underLoad: true},
	{name: "good, one upstream fails", part: 0.5, upstream: true},
}

// simRoute is a route with its part of the requests and the median of its durations.
type simRoute struct {
	name   id.Route
	part   float64
	median time.Duration
}

var simRoutes = []simRoute{{"orders", 0.6, 60 * time.Millisecond}, {"lookups", 0.25, 25 * time.Millisecond}, {"reports", 0.15, 700 * time.Millisecond}}

type simUpstream struct {
	id      id.Upstream
	version id.Version
	started time.Time
	running int
}

type published struct {
	at      time.Time
	reports []Report
}

// simGateway is one run of a gateway.
type simGateway struct {
	source     Source
	node       id.Node
	register   *Register
	controller *Controller
	dead       bool
	startAt    time.Time // if dead
	cut        bool      // from peers and the store, since cutAt
	cutAt      time.Time
	healedAt   time.Time
	busyUntil  time.Time // a call to the store is on its way
	after      func()    // what happens at busyUntil
	rows       []published
	others     int // requests that run at upstreams of the old version
	target     int
}

// simAnswer is a request that ends at a time.
type simAnswer struct {
	at      time.Time
	gateway *simGateway
	run     *Register
	plan    *Plan
	up      *simUpstream
	outcome Outcome
	isBad   bool
	retry   *simRoute
}

type answers []*simAnswer

func (a answers) Len() int           { return len(a) }
func (a answers) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a answers) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *answers) Push(x any)        { *a = append(*a, x.(*simAnswer)) }
func (a *answers) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// simStore is the store of the records.
type simStore struct {
	records map[id.Service]Record
	end     feed.Offset
	history []Record
	downFor [2]time.Duration // from the order on
	lossy   float64          // part of appends of which the answer is lost
}

// simulation is one order in a fleet.
type simulation struct {
	*rand.Rand
	cfg      Config
	now      time.Time
	ordered  time.Time
	order    Order
	kind     badness
	rate     float64
	store    simStore
	gateways []*simGateway
	old, new []*simUpstream
	running  answers
	kills    int // of the acting gateway, still to come
	routes   []simRoute
	// deviation is that of the logarithm of durations, and coldFactor how many times longer they are in an upstream's first three seconds.
	deviation, coldFactor float64
	underLoadRunning      float64   // how many requests an upstream runs while a version is bad that is so under load; zero: half of those at full load
	stallFrom, stallUntil time.Time // the host makes stallSpeed of its progress, for all upstreams

	total, exposed, bad int
	badAt               time.Time // of the 50th bad answer
	late                int       // requests sent to the target later than Rollback after that
	finalAt             time.Time
	verdicts            []string // of gateways
}

func newSimulation(seed uint64, kind badness) *simulation {
	s := &simulation{
		Rand: rand.New(rand.NewPCG(seed, 52)), cfg: Config{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, kind: kind,
		now: time.Unix(1_800_000_000, 0), store: simStore{records: make(map[id.Service]Record)}, routes: simRoutes, deviation: 0.4, coldFactor: 2.5,
	}
	s.rate = []float64{120, 300, 600}[s.IntN(3)]
	s.order = Order{Service: simService, Target: simNew, Duration: []time.Duration{12 * time.Second, 20 * time.Second, 40 * time.Second}[s.IntN(3)], Offset: feed.Offset(seed)}
	for i := range 5 + s.IntN(4) {
		s.gateways = append(s.gateways, s.newGateway(id.Node(fmt.Sprintf("gw-%d", i))))
	}
	for range []int{5, 12, 30}[s.IntN(3)] {
		s.old = append(s.old, &simUpstream{version: simOld, started: s.now.Add(-time.Hour)})
	}
	s.kills = s.IntN(3)
	return s
}

func (s *simulation) newGateway(node id.Node) *simGateway {
	g := &simGateway{node: node, source: Source{node, id.Incarnation(s.now.UnixNano())}, register: New(s.cfg, s.Float64)}
	g.controller = NewController(node, g.register)
	return g
}

// live returns the gateways that another one hears, itself included.
func (s *simulation) live(of *simGateway) (live []*simGateway) {
	for _, g := range s.gateways {
		if g == of || !g.dead && !g.cut && !of.cut {
			live = append(live, g)
		}
	}
	return live
}

func (s *simulation) storeDown() bool {
	since := s.now.Sub(s.ordered)
	return since >= s.store.downFor[0] && since < s.store.downFor[1]
}

// round makes a gateway's round: it publishes its reports and takes over those of the others.
func (s *simulation) round(g *simGateway) {
	g.register.SetService(s.now, simService, Service{Known: true, Versions: s.loads(g)})
	live := s.live(g)
	g.register.SetFleet(len(s.gateways), 2*len(live) <= len(s.gateways))
	var reports []Report
	delay := time.Duration(s.IntN(300)) * time.Millisecond
	for _, peer := range s.gateways {
		if peer == g {
			continue
		}
		for _, row := range slices.Backward(peer.rows) {
			if s.now.Sub(row.at) < delay || (g.cut && row.at.After(g.cutAt)) || (peer.cut && row.at.After(peer.cutAt)) {
				continue
			}
			for _, r := range row.reports {
				r.Live, r.From = slices.Contains(live, peer), peer.source
				reports = append(reports, r)
			}
			break
		}
	}
	for _, c := range g.register.Round(s.now, reports, len(live)-1) {
		if c.Verdict != nil {
			s.verdicts = append(s.verdicts, c.Verdict.String())
		}
	}
	g.rows = append(g.rows, published{s.now, g.register.Reports()})
	g.rows = g.rows[max(0, len(g.rows)-4):]
}

func (s *simulation) loads(g *simGateway) map[id.Version]Load {
	loads := map[id.Version]Load{}
	if n := len(s.old); n > 0 {
		loads[simOld] = Load{Upstreams: n, Slots: 8 * n, Running: g.others}
	}
	if n := len(s.new); n > 0 {
		loads[simNew] = Load{Upstreams: n, Slots: 8 * n, Running: g.target}
	}
	return loads
}

// control makes the next call of a gateway's controller.
func (s *simulation) control(g *simGateway) {
	if g.after != nil {
		if s.now.Before(g.busyUntil) {
			return
		}
		after := g.after
		g.after = nil
		after()
	}
	view := View{Rank: slices.Index(s.live(g), g)}
	view.Leader = view.Rank == 0
	latency := time.Duration(4+s.IntN(20)) * time.Millisecond
	switch a := g.controller.Step(s.now, view).(type) {
	case *ReadRecords:
		g.busyUntil = s.now.Add(latency)
		g.after = func() {
			if !s.storeDown() && !g.cut {
				g.controller.RecordsRead(slices.Collect(valuesOf(s.store.records)), feed.Position{Offset: s.store.end})
			}
		}
	case *AppendRecord:
		g.busyUntil = s.now.Add(latency)
		lost, lateBy := s.Float64() < s.store.lossy, time.Duration(0)
		if lost && s.IntN(2) == 0 {
			lateBy = time.Second
		}
		if g.cut || s.storeDown() {
			g.after = g.controller.RequireReread
			return
		}
		if s.kills > 0 && s.IntN(2) == 0 {
			s.kills--
			s.kill(g)
			if s.IntN(2) == 0 {
				s.store.append(a)
			}
			return
		}
		if lost {
			if lateBy == 0 {
				s.store.append(a)
			}
			g.busyUntil = s.now.Add(700*time.Millisecond + lateBy)
			g.after = func() {
				if lateBy > 0 {
					s.store.append(a)
				}
				g.controller.RequireReread()
			}
			return
		}
		if !s.store.append(a) {
			g.after = g.controller.RequireReread
			return
		}
		end := s.store.end
		g.after = func() { g.controller.RecordAppended(a.Record, feed.Position{Offset: end}) }
	}
}

func valuesOf(m map[id.Service]Record) func(func(Record) bool) {
	return func(yield func(Record) bool) {
		for _, r := range m {
			if !yield(r) {
				return
			}
		}
	}
}

func (s *simStore) append(a *AppendRecord) bool {
	if a.ExpectedEnd.Offset != s.end {
		return false
	}
	s.end += 2
	s.records[a.Record.Service] = a.Record
	s.history = append(s.history, a.Record)
	return true
}

// kill ends a gateway with all its requests. It starts again after two seconds.
func (s *simulation) kill(g *simGateway) {
	g.dead, g.startAt, g.after, g.others, g.target = true, s.now.Add(2*time.Second), nil, 0, 0
	s.running = slices.DeleteFunc(s.running, func(a *simAnswer) bool {
		if a.gateway == g {
			a.up.running--
		}
		return a.gateway == g
	})
	heap.Init(&s.running)
}

// request sends a request of a route by a gateway.
func (s *simulation) request(g *simGateway, route *simRoute, canRetry bool) {
	plan := g.register.Plan(s.now, simService, route.name)
	upstreams := slices.Concat(s.old, s.new)
	most := 0
	if plan != nil {
		for _, f := range plan.Filters {
			allowed := slices.DeleteFunc(slices.Concat(s.old, s.new), func(u *simUpstream) bool { return !f.Allows(u.version, u.started) })
			if upstreams = allowed; len(allowed) > 0 {
				most = f.Most
				break
			}
		}
	}
	if len(upstreams) == 0 {
		if plan != nil {
			g.register.Release(plan)
		}
		return
	}
	if most > 0 {
		upstreams = upstreams[:min(most, len(upstreams))]
	}
	up := upstreams[s.IntN(len(upstreams))]
	if other := upstreams[s.IntN(len(upstreams))]; other.running < up.running {
		up = other
	}
	inTime := !s.now.After(s.ordered.Add(s.order.Duration))
	if !s.ordered.IsZero() && inTime {
		s.total++
		if up.version == simNew {
			s.exposed++
		}
	}
	if up.version == simNew && !s.badAt.IsZero() && s.now.Sub(s.badAt) > s.cfg.Rollback && !g.cut && s.now.Sub(g.healedAt) > s.cfg.Rollback {
		s.late++
	}
	if plan == nil {
		return
	}
	g.register.Sent(plan, up.version)
	a := s.answer(g, plan, up, route)
	if canRetry && a.outcome.Failed {
		a.retry = route
	}
	up.running++
	*s.counter(g, up)++
	heap.Push(&s.running, a)
}

func (s *simulation) counter(g *simGateway, up *simUpstream) *int {
	if up.version == simNew {
		return &g.target
	}
	return &g.others
}

// answer returns what comes of a request.
func (s *simulation) answer(g *simGateway, plan *Plan, up *simUpstream, route *simRoute) *simAnswer {
	a := &simAnswer{gateway: g, run: g.register, plan: plan, up: up}
	d := float64(route.median) * math.Exp(s.deviation*s.NormFloat64())
	age := s.now.Sub(up.started)
	if age < 3*time.Second {
		d *= s.coldFactor
	}
	if s.Float64() < 0.002 {
		a.outcome.Failed = true
	}
	// Half of the load that each upstream of the target has once it gets all requests.
	loaded := cmp.Or(s.underLoadRunning, 0.5*s.rate*0.16/float64(max(len(s.new), 1)))
	k := &s.kind
	if up.version == simNew && s.Float64() < k.part && (k.route == "" || k.route == route.name) &&
		s.now.Sub(s.ordered) >= time.Duration(k.after*float64(s.order.Duration)) && (!k.upstream || up == s.new[0]) && (!k.underLoad || float64(up.running+1) >= loaded) {
		a.isBad = true
		if k.slow > 0 {
			d *= k.slow
		} else {
			a.outcome.Failed = true
		}
	}
	d = float64(s.stalled(time.Duration(d)))
	a.outcome.UpstreamAge = age
	if !a.outcome.Failed {
		a.outcome.Duration = time.Duration(d)
	}
	a.at = s.now.Add(time.Duration(d))
	return a
}

// stallSpeed is how fast the host works while it stalls.
const stallSpeed = 0.05

// stalled returns how long work takes that begins now and would take d on a host that does not stall.
func (s *simulation) stalled(d time.Duration) time.Duration {
	end := s.now.Add(d)
	if !s.now.Before(s.stallUntil) || !end.After(s.stallFrom) {
		return d
	}
	before := max(0, s.stallFrom.Sub(s.now))
	stall := s.stallUntil.Sub(s.now.Add(before))
	rest := d - before
	if inStall := time.Duration(stallSpeed * float64(stall)); rest > inStall {
		return before + stall + rest - inStall
	}
	return before + time.Duration(float64(rest)/stallSpeed)
}
