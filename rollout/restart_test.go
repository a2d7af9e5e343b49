package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

var threeVersions = upstreams(map[id.Version]int{"v1": 5, "v2": 5, "v3": 1})

// TestRestartKeepsRejectedVersions answers a gateway that starts anew after a version was rolled back and another one ordered:
// the topics hold the newest order and record only.
func TestRestartKeepsRejectedVersions(t *testing.T) {
	newer := Order{Service: "ledger", Target: "v3", Duration: 20 * time.Second, Offset: 8}
	g := newTestGateway(t)
	g.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: RolledBack, Started: start, At: start})
	g.Order(start, newer)
	g.SetService(start, "ledger", threeVersions)
	record := g.append(start)
	require.Equal(t, []id.Version{"v2"}, record.Rejected)

	fromStore := newRegister()
	fromStore.Order(start, newer)
	NewController("gw-1", fromStore).RecordsRead([]Record{record}, feed.Position{Offset: 4})
	fromPeer := newRegister()
	fromPeer.Order(start, newer)
	fromPeer.Round(start, Decode(Encode(g.Reports())), 1)
	fromOlder := newRegister() // the newer order has no record yet
	fromOlder.Order(start, newer)
	NewController("gw-1", fromOlder).RecordsRead([]Record{{Service: "ledger", Target: "v2", Order: 7, State: RolledBack, Started: start, At: start}}, feed.Position{Offset: 2})
	for _, r := range []*Register{fromStore, fromPeer, fromOlder} {
		r.SetService(start, "ledger", threeVersions)
		require.Equal(t, []id.Version{"v1"}, allowed(r.Plan(start, "ledger", "r"), "v1", "v2"))
	}
}

// TestRestartKeepsRejectionWithoutOrder answers a start after the order was withdrawn or while it is not read yet: only its record
// is known.
func TestRestartKeepsRejectionWithoutOrder(t *testing.T) {
	for _, state := range []State{Canary, Shifting, RolledBack, Done} {
		r := newRegister()
		c := NewController("gw-0", r)
		record := Record{Service: "ledger", Target: "v2", Order: 7, State: state, Started: start, At: start, Rejected: []id.Version{"v0"}}
		c.RecordsRead([]Record{record}, feed.Position{Offset: 2})
		r.SetService(start, "ledger", bothVersions)
		r.Round(start, nil, 0)
		expected := []id.Version{"v1"}
		if state == Done {
			expected = []id.Version{"v2"}
		}
		require.Equal(t, expected, allowed(r.Plan(start, "ledger", "r"), "v0", "v1", "v2"), state)
		require.IsType(t, &Wait{}, c.Step(at(time.Hour), leads), "nothing is recorded of an order that was not read")
		isNew, superseded := r.Order(at(time.Second), testOrder)
		require.True(t, isNew)
		require.Nil(t, superseded)
		require.Equal(t, state, r.States()[0].State)
		require.Equal(t, at(time.Second), r.rollouts["ledger"].knownSince, "no slack for the time before")
		require.Equal(t, start, r.rollouts["ledger"].started)
	}
}

// TestOrderOfPeersKeepsTargetOut answers an order that peers have read and this gateway has not.
func TestOrderOfPeersKeepsTargetOut(t *testing.T) {
	g := newRegister()
	reports := []Report{{From: Source{"gw-1", 1}, Service: "ledger", Target: "v2", Order: 7, Live: true, State: Canary, Started: start, At: start, Counts: Counts{}, Upstreams: Upstreams{}}}
	g.Round(start, reports, 3)
	require.True(t, g.Has("ledger"))
	g.SetService(start, "ledger", bothVersions)
	require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(start, "ledger", "r"), "v1", "v2"))
	require.False(t, g.Withdraw("ledger"), "a list of orders that does not have it yet")
	g.Order(at(time.Second), testOrder)
	g.Round(at(time.Second), reports, 3)
	require.Equal(t, Canary, g.States()[0].State)
}

// TestOrderWithdrawnWhileAllRestartIsRolledBack answers a withdrawal that no gateway has recorded before all of them started anew: the topic of orders
// has nothing of it any more.
func TestOrderWithdrawnWhileAllRestartIsRolledBack(t *testing.T) {
	for _, test := range []struct {
		name   string
		state  State
		next   feed.Offset // up to which orders have been read
		isOver bool
	}{{"canary", Canary, 9, true}, {"shifting", Shifting, 9, true}, {"done", Done, 9, false}, {"orders were read before it", Canary, 7, false}} {
		t.Run(test.name, func(t *testing.T) {
			r := newRegister()
			g := &testGateway{Register: r, Controller: NewController("gw-0", r), t: t, end: feed.Position{Offset: 2}}
			g.RecordsRead([]Record{{Service: "ledger", Target: "v2", Order: 7, State: test.state, Started: start, At: start}}, g.end)
			g.SetService(start, "ledger", bothVersions)
			for i := range 10 {
				g.NoteOrdersRead(at(time.Duration(i)*time.Second), test.next)
				g.requireWait(at(time.Duration(i) * time.Second))
			}
			g.NoteOrdersRead(at(missingTime), test.next)
			if !test.isOver {
				g.requireWait(at(missingTime))
				return
			}
			final := g.append(at(missingTime))
			require.Equal(t, RolledBack, final.State)
			require.Equal(t, ReasonWithdrawn, final.Reason)
			require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(at(missingTime), "ledger", "r"), "v1", "v2"))
			g.requireWait(at(time.Hour))
		})
	}
}

// TestOrderReadLateIsNotWithdrawn answers an order that was held for some seconds after the store came back older.
func TestOrderReadLateIsNotWithdrawn(t *testing.T) {
	r := newRegister()
	g := &testGateway{Register: r, Controller: NewController("gw-0", r), t: t, end: feed.Position{Offset: 2}}
	g.RecordsRead([]Record{{Service: "ledger", Target: "v2", Order: 7, State: Canary, Started: start, At: start}}, g.end)
	g.SetService(start, "ledger", bothVersions)
	g.NoteOrdersRead(start, 9)
	g.Order(at(6*time.Second), testOrder)
	g.NoteOrdersRead(at(missingTime), 9)
	g.Round(at(missingTime), nil, 0)
	g.requireWait(at(missingTime))
}
