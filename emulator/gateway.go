package emulator

// This file defines the gateways of a Fleet, which exchange rows as package peer does.

import (
	"fmt"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/quarantine"
)

const (
	roundInterval   = 250 * time.Millisecond // of exchanges between peers
	fanout          = 2
	urgentFanout    = 8
	urgentInterval  = 100 * time.Millisecond
	keepInterval    = 200 * time.Millisecond // between checks of whether the holds must be saved
	loadTime        = 30 * time.Millisecond  // from the start of a gateway to when it knows the saved holds
	exchangeLatency = 15 * time.Millisecond
)

// member is a gateway with its partial views.
type member struct {
	fleet       *Fleet
	name        id.Node
	incarnation id.Incarnation
	table       *peer.Table
	register    *quarantine.Register
	pool        *pool.Pool
	down        bool
	version     uint64 // of the last report
	lastUrgent  time.Time
	runs        []*run // attempts, ended ones included until the next hold
}

// gatewayNode returns the node of a gateway.
func gatewayNode(n int) id.Node { return id.Node(fmt.Sprintf("gateway-%03d", n)) }

// newGateway returns a gateway that takes part in exchanges.
func (f *Fleet) newGateway(n int) *member {
	g := &member{fleet: f, name: gatewayNode(n), pool: pool.New(f.latest)}
	g.start()
	f.clock.After(f.between(0, roundInterval), func() { f.clock.Every(roundInterval, g.exchange) })
	f.clock.After(f.between(0, keepInterval), func() { f.clock.Every(keepInterval, g.keepHolds) })
	return g
}

// start begins a new incarnation, which knows nothing.
func (g *member) start() {
	now := g.fleet.clock.Now()
	g.incarnation++
	g.table = peer.NewTable(peer.Member{Node: g.name, Incarnation: g.incarnation}, now)
	g.register = quarantine.New()
	g.pool.SetGatewayCount(g.fleet.cfg.Gateways)
	g.version = 0
}

// restart kills the gateway and starts it again. Its view of the engines is complete at once.
func (g *member) restart() {
	g.down = true
	g.fleet.clock.After(gatewayRestart, func() {
		g.start()
		g.fleet.clock.After(loadTime, func() {
			g.fleet.applyChanges(g, g.register.Restore(g.fleet.clock.Now(), g.fleet.saved))
			g.down = false
		})
	})
}

// leads reports whether the gateway is the first by name that it knows to be alive.
func (g *member) leads() bool {
	live := g.table.Live(g.fleet.clock.Now())
	return len(live) == 0 || live[0].GetNode() == string(g.name)
}

// cancelPending ends the attempts with a part of which no event has come.
func (g *member) cancelPending(part id.PromptPart) {
	for _, r := range g.runs {
		if !r.ended && !r.begun && slices.Contains(r.request.parts, part) {
			r.complete()
		}
	}
	g.runs = slices.DeleteFunc(g.runs, func(r *run) bool { return r.ended })
}

// exchangeUrgently exchanges rows with many peers at once, unless it did so of late.
func (g *member) exchangeUrgently() {
	if now := g.fleet.clock.Now(); now.Sub(g.lastUrgent) >= urgentInterval {
		g.lastUrgent = now
		g.exchangeWithRandom(urgentFanout)
	}
}

// exchange publishes the own row and exchanges rows with random peers.
func (g *member) exchange() { g.exchangeWithRandom(fanout) }

func (g *member) exchangeWithRandom(calls int) {
	f, now := g.fleet, g.fleet.clock.Now()
	if g.down {
		return
	}
	report, version := g.register.Report(now, g.leads())
	g.table.Publish(now, &peer.Row{Address: string(g.name), Prompts: quarantine.Encode(report, true)}, version != g.version)
	g.version = version
	for _, n := range f.rand.Perm(len(f.gateways))[:min(calls+1, len(f.gateways))] {
		other := f.gateways[n]
		if other == g || f.rand.Float64() < f.cfg.Faults.LostExchanges {
			continue
		}
		f.clock.After(exchangeLatency, func() { g.exchangeWith(other) })
	}
}

func (g *member) exchangeWith(other *member) {
	if g.down || other.down {
		return
	}
	if own := g.table.OwnRow(); own != nil {
		other.merge([]*peer.Row{own}, g.table.Marks())
	}
	g.merge(other.table.MissingRows(g.table.Marks()), other.table.Marks())
}

func (g *member) merge(rows []*peer.Row, marks []*peer.Mark) {
	now := g.fleet.clock.Now()
	g.table.Merge(now, rows, marks)
	for _, r := range rows {
		g.fleet.applyChanges(g, g.register.Merge(now, quarantine.Decode(r.GetPrompts())))
	}
}

// keepHolds saves the holds for the fleet.
func (g *member) keepHolds() {
	if !g.down && g.leads() {
		g.fleet.saved = g.register.Holds(g.fleet.clock.Now())
	}
}
