package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
)

// TestPeerLoadsAddUp has two peers tell their loads, and one that says nonsense.
func TestPeerLoadsAddUp(t *testing.T) {
	now := time.Now()
	row := func(node string, loads map[id.Service]int) *peer.Row {
		return &peer.Row{Node: node, Incarnation: 1, Sequence: 1, Loads: encodeLoads(loads)}
	}
	p := &Program{settings: &Settings{Node: "a"}, table: peer.NewTable(peer.Member{Node: "a", Incarnation: 1}, now)}
	p.table.Publish(now, row("a", map[id.Service]int{"llm": 40}), false)
	require.Empty(t, p.peerLoads(now), "no peers")
	foreign := row("d", nil)
	foreign.Loads = encodeLoads(map[id.Service]int{"llm": 1 << 31})
	p.table.Merge(now, []*peer.Row{row("b", map[id.Service]int{"llm": 7, "desk": 0}), row("c", map[id.Service]int{"llm": 5, "desk": 2}), foreign}, nil)
	require.Equal(t, map[id.Service]int{"llm": 12 + maxPeerLoad, "desk": 2}, p.peerLoads(now))
	require.Less(t, proto.Size(row("b", map[id.Service]int{"zipu76a": 200}))-proto.Size(row("b", nil)), 20, "for docs/CAPACITY.md")
}
