package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const measureRules = `
model name=m context=10                                      # test
upstream model=m concurrency=7 initial=1 fencing=checks      # test
fleet model=m data_centre=a min=1 max=4                      # test
fleet model=m data_centre=b min=1 max=4                      # test
drain data_centre=b                                          # test
`

// TestUpstreamGroupsOfMeasurement guards against upstreams that are counted in the wrong state
// or group, and against starts that are ordered again before their upstreams appear.
func TestUpstreamGroupsOfMeasurement(t *testing.T) {
	now := time.UnixMilli(10_000_000)
	rules, err := rule.Parse("rules", measureRules)
	require.NoError(t, err)
	view := func(name string, dc id.DataCentre, state upstream.State, running int) upstream.View {
		return upstream.View{
			ID: id.Upstream(name), Node: id.Node("n" + name), DataCentre: dc, Models: []id.Model{"m"},
			Load: wire.Load{State: string(state), Running: running, Waiting: 1},
		}
	}
	order := func(kind fleet.OrderKind, u, outcome string, sinceDeadline time.Duration) fleet.Order {
		d := fleet.Order{Record: &ragwortv1.OrderDecided{
			Kind: string(kind), Model: "m", DataCentre: "a", Upstream: u, Count: 1, DeadlineUnixMs: now.Add(-sinceDeadline).UnixMilli(),
		}}
		if outcome != "" {
			d.Settlement = &ragwortv1.OrderSettled{Outcome: outcome}
		}
		return d
	}
	cold := view("cold", "a", upstream.Cold, 0)
	cold.Load.Incarnation = id.Incarnation(now.Add(-time.Second).UnixNano())
	m := &fleetMeasurement{
		now: now, rules: rules, orderTimeout: time.Second, pendingTimeout: time.Minute,
		views: []upstream.View{
			view("ready", "a", upstream.Ready, 3), cold, view("gone", "a", upstream.Gone, 0),
			view("leaving", "a", upstream.Ready, 0), view("drained", "a", upstream.Draining, 2),
			view("shutting-down", "a", upstream.Draining, 2), view("other", "b", upstream.Draining, 1),
		},
		vms: []hosting.VM{{ID: "nleaving", Role: roleSidecar, State: hosting.VMLeaving}},
		orders: []fleet.Order{
			order(fleet.Start, "", "done", 2*time.Minute), order(fleet.Start, "", "expired", 30*time.Second),
			order(fleet.Start, "", "done", 31*time.Second), order(fleet.Start, "", "refused", 5*time.Second),
			order(fleet.Drain, "drained", "done", 9*time.Second),
		},
	}
	require.Equal(t, []fleet.UpstreamGroup{
		{
			Model: "m", DataCentre: "a", Min: 1, Max: 4, Slots: 7, LastOrderAt: now.Add(-30 * time.Second),
			Upstreams: []fleet.Upstream{{ID: "ready", Requests: 4}, {ID: "cold", Requests: 1, Loading: true}},
			Drained:   []fleet.DrainedUpstream{{ID: "drained", Requests: 3, DrainedFor: 10 * time.Second}},
			Pending:   1, // two were ordered in the last minute, and one of them has started
		},
		{Model: "m", DataCentre: "b", Min: 1, Max: 4, Slots: 7, OutOfService: true},
	}, m.upstreamGroups())
}

// TestMeasurementOfPartitionedEntryIsNotUsed guards against an entry that reaches only part of
// the fleet and orders replacements for the rest.
func TestMeasurementOfPartitionedEntryIsNotUsed(t *testing.T) {
	live := hosting.VM{Role: roleSidecar, State: hosting.VMLive}
	m := &fleetMeasurement{vms: []hosting.VM{live, live, live, {Role: roleEntry, State: hosting.VMLive}}}
	require.False(t, m.coversFleet())
	m.views = make([]upstream.View, 1)
	require.False(t, m.coversFleet())
	m.views = make([]upstream.View, 2)
	require.True(t, m.coversFleet())
}
