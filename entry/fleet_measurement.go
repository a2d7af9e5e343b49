package entry

// This file defines fleetMeasurement, which derives the planner's input from the rules,
// the platform's VM list, the orders, and the loads that sidecars report.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
)

// defaultUpstreamSlots is the concurrency of an upstream whose rule sets none.
const defaultUpstreamSlots = 16

// fleetMeasurement is a snapshot of the fleet.
type fleetMeasurement struct {
	now            time.Time
	rules          *rule.Set
	views          []upstream.View
	vms            []hosting.VM
	orders         []fleet.Order
	orderTimeout   time.Duration // from the decision of an order to its deadline
	pendingTimeout time.Duration // how long after its order an upstream is still expected to appear
}

// coversFleet reports whether at least half of the listed sidecars have answered. A
// partitioned entry must not order replacements for a fleet that it cannot see.
func (m *fleetMeasurement) coversFleet() bool {
	listed := 0
	for _, vm := range m.vms {
		if vm.Role == roleSidecar && vm.State == hosting.VMLive {
			listed++
		}
	}
	return 2*len(m.views) >= listed
}

// upstreamGroups returns the groups of upstreams that the fleet rules name, each a model
// in a data centre.
func (m *fleetMeasurement) upstreamGroups() []fleet.UpstreamGroup {
	leaving := make(map[id.Node]bool)
	for _, vm := range m.vms {
		leaving[vm.ID] = vm.State == hosting.VMLeaving
	}
	var groups []fleet.UpstreamGroup
	for _, f := range m.rules.Fleets {
		g := fleet.UpstreamGroup{
			Model: f.Model, DataCentre: f.DataCentre, Min: f.Min, Max: f.Max,
			OutOfService: m.rules.Drained(f.DataCentre), Slots: m.slotsPerUpstream(f.Model), LastOrderAt: m.lastOrder(f.Model, f.DataCentre),
		}
		for i := range m.views {
			v := &m.views[i]
			if v.DataCentre == f.DataCentre && v.Serves(f.Model) && !v.Leaving && !leaving[v.Node] {
				m.addUpstream(&g, v)
			}
		}
		g.Pending = m.pendingStarts(f.Model, f.DataCentre)
		groups = append(groups, g)
	}
	return groups
}

// slotsPerUpstream returns how many requests an upstream of a model runs at a time.
func (m *fleetMeasurement) slotsPerUpstream(model id.Model) int {
	u := m.rules.UpstreamFor("", []id.Model{model}, "")
	if u == nil || u.MaxConcurrency == 0 {
		return defaultUpstreamSlots
	}
	return u.MaxConcurrency
}

// pendingStarts returns how many recently ordered upstreams of a group have not appeared
// yet, so that those which the platform is slow to start are not ordered again.
func (m *fleetMeasurement) pendingStarts(model id.Model, dc id.DataCentre) int {
	ordered, oldest := 0, m.now
	for _, order := range m.orders {
		decided := order.Deadline().Add(-m.orderTimeout)
		if order.MayResize(model, dc) && fleet.OrderKind(order.Record.GetKind()) == fleet.Start && m.now.Sub(decided) <= m.pendingTimeout {
			ordered += int(order.Record.GetCount())
			if decided.Before(oldest) {
				oldest = decided
			}
		}
	}
	for i := range m.views {
		v := &m.views[i]
		if v.DataCentre == dc && v.Serves(model) && int64(v.Load.Incarnation) >= oldest.UnixNano() {
			ordered--
		}
	}
	return max(0, ordered)
}

// lastOrder returns the deadline of the newest order that may have resized a group. The
// deadline is on the log, so a successor as lease holder knows it too.
func (m *fleetMeasurement) lastOrder(model id.Model, dc id.DataCentre) time.Time {
	var last time.Time
	for _, order := range m.orders {
		if order.MayResize(model, dc) && order.Deadline().After(last) {
			last = order.Deadline()
		}
	}
	return last
}

// addUpstream adds an upstream to its group according to its state. It leaves out an upstream
// that is gone, and one that is draining without a drain order for it.
func (m *fleetMeasurement) addUpstream(g *fleet.UpstreamGroup, v *upstream.View) {
	busy := v.Load.Running + v.Load.Waiting
	switch upstream.State(v.Load.State) {
	case upstream.Gone:
	case upstream.Draining:
		if since, ok := m.drainedSince(v.ID); ok {
			g.Drained = append(g.Drained, fleet.DrainedUpstream{ID: v.ID, Requests: busy, DrainedFor: m.now.Sub(since)})
		}
	case upstream.Unknown, upstream.Cold:
		g.Upstreams = append(g.Upstreams, fleet.Upstream{ID: v.ID, Requests: busy, Loading: true})
	default:
		g.Upstreams = append(g.Upstreams, fleet.Upstream{ID: v.ID, Requests: busy})
	}
}

// drainedSince returns the earliest time at which the newest drain order of an upstream
// can have taken effect.
func (m *fleetMeasurement) drainedSince(u id.Upstream) (since time.Time, ok bool) {
	for _, order := range m.orders {
		if fleet.OrderKind(order.Record.GetKind()) == fleet.Drain && id.Upstream(order.Record.GetUpstream()) == u {
			since, ok = order.Deadline().Add(-m.orderTimeout), true
		}
	}
	return since, ok
}
