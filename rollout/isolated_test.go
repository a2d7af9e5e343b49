package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/feed"
)

// shiftingPeer is the report of a peer that runs requests on other versions.
func shiftingPeer(live bool) []Report {
	return []Report{{
		From: Source{"gw-1", 1}, Service: "ledger", Target: "v2", Order: 7, State: Shifting, Started: start, At: at(13 * time.Second), Live: live,
		OtherRunning: 50, Counts: Counts{}, Upstreams: Upstreams{},
	}}
}

// TestIsolatedGatewayDoesNotEndTheShift answers a gateway that is cut off from its peers and reaches the store, while requests
// of theirs run on other versions.
func TestIsolatedGatewayDoesNotEndTheShift(t *testing.T) {
	g := newTestGateway(t)
	g.SetFleet(7, false)
	g.append(start)
	g.answer(at(5*time.Second), 40, 0, 400, 2)
	require.Equal(t, Shifting, g.append(at(13*time.Second)).State)
	g.Round(at(13500*time.Millisecond), shiftingPeer(true), 1)
	g.SetFleet(7, true)
	g.Round(at(14600*time.Millisecond), shiftingPeer(false), 0)
	g.requireWait(at(14600 * time.Millisecond))
	require.Equal(t, ReasonTime, g.append(at(18*time.Second)).Reason, "the deadline holds for it too")
}

// TestIsolatedGatewayDoesNotShift answers a verdict of peers that a gateway does not hear of.
func TestIsolatedGatewayDoesNotShift(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(5*time.Second), 40, 0, 400, 2)
	g.SetFleet(7, true)
	g.requireWait(at(13 * time.Second))
	g.SetFleet(7, false)
	require.Equal(t, Shifting, g.append(at(13*time.Second)).State)
}

// TestRestartedGatewayWithoutPeersDoesNotEndTheShift answers a gateway that has started anew and has heard no peer.
func TestRestartedGatewayWithoutPeersDoesNotEndTheShift(t *testing.T) {
	r := newRegister()
	g := &testGateway{Register: r, Controller: NewController("gw-0", r), t: t, end: feed.Position{Offset: 4}}
	now := at(14 * time.Second)
	g.Order(now, testOrder)
	g.SetService(now, "ledger", bothVersions)
	g.SetFleet(1, true)
	g.RecordsRead([]Record{{Service: "ledger", Target: "v2", Order: 7, State: Shifting, Started: start, At: at(13 * time.Second)}}, g.end)
	now = now.Add(settleTime)
	g.Round(now, nil, 0)
	g.requireWait(now)
}
