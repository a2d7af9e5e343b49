package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/peer"
)

// TestGatewayWithSeedsWaitsForPeers answers a gateway that starts, or goes on, without hearing a peer while others
// run; a fleet of one is not held up.
func TestGatewayWithSeedsWaitsForPeers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self, other := &peer.Row{Node: "gw-0"}, &peer.Row{Node: "gw-1"}
	alone, both := []*peer.Row{self}, []*peer.Row{self, other}
	single := &rolloutDriver{startedAt: now}
	require.False(t, single.isIsolated(now, alone, alone, 1))
	d := &rolloutDriver{hasSeeds: true, startedAt: now}
	require.True(t, d.isIsolated(now.Add(time.Second), alone, alone, 1), "just started")
	require.False(t, d.isIsolated(now.Add(2*time.Second), both, both, 2))
	require.True(t, d.isIsolated(now.Add(9*time.Second), both, alone, 1), "cut off for longer than a member is kept")
	require.False(t, d.isIsolated(now.Add(peer.RowRetention), alone, alone, 1), "the others are gone")
	require.False(t, d.isIsolated(now.Add(9*time.Second), []*peer.Row{self, {Node: "gw-1", Leaving: true}}, alone, 1), "the other has ended")
	require.True(t, d.isIsolated(now, both, both, 4))
}

// TestMissingPeersMayStillRunRequests answers a peer that is cut off; one that is leaving or runs again is not missing.
func TestMissingPeersMayStillRunRequests(t *testing.T) {
	self, cut, leaving, again := &peer.Row{Node: "gw-0"}, &peer.Row{Node: "gw-1"}, &peer.Row{Node: "gw-2", Leaving: true}, &peer.Row{Node: "gw-3"}
	rows := []*peer.Row{self, cut, leaving, again, {Node: "gw-3", Incarnation: 2}}
	require.Equal(t, 1, missing(rows, []*peer.Row{self, again}))
}
