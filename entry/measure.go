package entry

// This file defines how the fleet is measured: from the rules, the platform's VM
// list and the answers of sidecars to the sites that a planner reads.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
)

// defaultSlots is assumed of an upstream whose rule sets no concurrency.
const defaultSlots = 16

// measurement is what is known at one time.
type measurement struct {
	now    time.Time
	rules  *rule.Set
	views  []upstream.View
	vms    []hosting.VM
	orders []fleet.Order
	order  time.Duration // from an order's decision to its deadline
	expect time.Duration // for which an ordered upstream is expected
}

// trusted reports whether enough of the listed sidecars have answered. A process
// that is cut off must not order replacements for a fleet it cannot see.
func (m *measurement) trusted() bool {
	listed := 0
	for _, vm := range m.vms {
		if vm.Role == roleSidecar && vm.State == hosting.VMLive {
			listed++
		}
	}
	return 2*len(m.views) >= listed
}

// sites returns every site that a fleet rule names.
func (m *measurement) sites() []fleet.UpstreamGroup {
	leaving := make(map[id.Node]bool)
	for _, vm := range m.vms {
		leaving[vm.ID] = vm.State == hosting.VMLeaving
	}
	var sites []fleet.UpstreamGroup
	for _, f := range m.rules.Fleets {
		s := fleet.UpstreamGroup{
			Model: f.Model, DataCentre: f.DataCentre, Min: f.Min, Max: f.Max,
			OutOfService: m.rules.Drained(f.DataCentre), Slots: m.slots(f.Model), LastOrderAt: m.lastOrder(f.Model, f.DataCentre),
		}
		for i := range m.views {
			v := &m.views[i]
			if v.DataCentre == f.DataCentre && v.Serves(f.Model) && !v.Leaving && !leaving[v.Node] {
				m.add(&s, v)
			}
		}
		s.Pending = m.pending(f.Model, f.DataCentre)
		sites = append(sites, s)
	}
	return sites
}

func (m *measurement) slots(model id.Model) int {
	u := m.rules.UpstreamFor("", []id.Model{model}, "")
	if u == nil || u.MaxConcurrency == 0 {
		return defaultSlots
	}
	return u.MaxConcurrency
}

// pending returns how many upstreams were ordered at a site lately and have not
// appeared: what the platform is slow to start must not be ordered again.
func (m *measurement) pending(model id.Model, dc id.DataCentre) int {
	ordered, oldest := 0, m.now
	for _, d := range m.orders {
		decided := d.Deadline().Add(-m.order)
		if d.MayResize(model, dc) && fleet.OrderKind(d.Record.GetKind()) == fleet.Start && m.now.Sub(decided) <= m.expect {
			ordered += int(d.Record.GetCount())
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

// lastOrder returns the deadline of the newest order at a site that can have taken
// effect; it is on the log, so a successor knows it too.
func (m *measurement) lastOrder(model id.Model, dc id.DataCentre) time.Time {
	var last time.Time
	for _, d := range m.orders {
		if d.MayResize(model, dc) && d.Deadline().After(last) {
			last = d.Deadline()
		}
	}
	return last
}

// add counts one upstream.
func (m *measurement) add(s *fleet.UpstreamGroup, v *upstream.View) {
	busy := v.Load.Running + v.Load.Waiting
	switch upstream.State(v.Load.State) {
	case upstream.Gone:
	case upstream.Draining:
		if since, ok := m.drainedSince(v.ID); ok {
			s.Drained = append(s.Drained, fleet.DrainedUpstream{ID: v.ID, Requests: busy, DrainedFor: m.now.Sub(since)})
		}
	case upstream.Unknown, upstream.Cold:
		s.Upstreams = append(s.Upstreams, fleet.Upstream{ID: v.ID, Requests: busy, Warming: true})
	default:
		s.Upstreams = append(s.Upstreams, fleet.Upstream{ID: v.ID, Requests: busy})
	}
}

// drainedSince returns the earliest time at which the newest drain order of an
// upstream can have begun.
func (m *measurement) drainedSince(u id.Upstream) (since time.Time, ok bool) {
	for _, d := range m.orders {
		if fleet.OrderKind(d.Record.GetKind()) == fleet.Drain && id.Upstream(d.Record.GetUpstream()) == u {
			since, ok = d.Deadline().Add(-m.order), true
		}
	}
	return since, ok
}
