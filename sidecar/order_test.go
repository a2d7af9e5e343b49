package sidecar

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// TestOrderExecution sends orders of several terms to the sidecar of an engine that ignores
// fencing numbers. It guards against stale, late or repeated orders that reach the engine.
func TestOrderExecution(t *testing.T) {
	engine := standin.NewEngine(standin.DefaultEngineConfig()) // ignores fencing numbers
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	state := logbook.NewState()
	s := New(Config{Upstream: "u", UpstreamURL: server.URL, Models: []id.Model{"m"}}, Deps{
		State: state, UpstreamClient: process.NewExternalClient(), OnceClient: process.NewNoResendClient(), Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	})
	order := func(name string, term uint64, kind fleet.OrderKind, untilDeadline time.Duration) *ragwortv1.OrderDecided {
		return &ragwortv1.OrderDecided{Order: name, Term: term, Kind: string(kind), Model: "m", DeadlineUnixMs: time.Now().Add(untilDeadline).UnixMilli()}
	}
	applyGrant := func(term id.Term) {
		require.True(t, state.Leases.ApplyClaim(id.Offset(term), &ragwortv1.LeaseClaimed{
			Duty: string(id.DutyOrders), Holder: "a", Term: uint64(term), SeenOffset: uint64(term - 1),
		}))
	}
	applyGrant(1)
	steps := []struct {
		name   string
		grant  id.Term // term of a grant that is applied first; zero: none
		order  *ragwortv1.OrderDecided
		want   string
		orders int64 // accepted by the engine so far
	}{
		{"current", 0, order("o1", 1, fleet.LoadModel, time.Minute), "", 1},
		{"repeated", 0, order("o1", 1, fleet.LoadModel, time.Minute), "", 1},
		{"late", 0, order("o2", 1, fleet.LoadModel, -time.Second), refusedLate, 1},
		{"newer than the applied grant", 0, order("o3", 3, fleet.LoadModel, time.Minute), "", 2},
		{"older than an order that was seen", 0, order("o4", 2, fleet.LoadModel, time.Minute), refusedStale, 2},
		{"unknown kind", 0, order("o5", 3, fleet.Start, time.Minute), refusedUnknown, 2},
		{"drain", 0, order("o6", 3, fleet.Drain, time.Minute), "", 2},
		{"older than the applied grant", 4, order("o7", 3, fleet.LoadModel, time.Minute), refusedStale, 2},
	}
	for _, c := range steps {
		for next := state.Leases.Grant(id.DutyOrders).Term + 1; next <= c.grant; next++ {
			applyGrant(next)
		}
		require.Equal(t, c.want, s.orders.execute(t.Context(), c.order), c.name)
		require.Equal(t, c.orders, engine.Stats().AcceptedOrders, c.name)
	}
	require.Equal(t, upstream.Draining, s.state())
	require.False(t, s.orders.draining(time.Now().Add(fleet.DrainDuration)), "a drain should end by itself after fleet.DrainDuration")
}
