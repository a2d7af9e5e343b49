package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pace"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/pool"
	ragwortv1 "github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// TestPeerLoadsAddUp has two peers tell their loads, and one that says nonsense.
func TestPeerLoadsAddUp(t *testing.T) {
	now := time.Now()
	running := func(n int) pool.Load { return pool.Load{Running: n} }
	row := func(node string, loads map[id.Service]pool.Load) *peer.Row {
		return &peer.Row{Node: node, Incarnation: 1, Sequence: 1, Loads: encodeLoads(loads)}
	}
	p := &Program{settings: &Settings{Node: "a"}, table: peer.NewTable(peer.Member{Node: "a", Incarnation: 1}, now)}
	p.table.Publish(now, row("a", map[id.Service]pool.Load{"llm": running(40)}), false)
	require.Empty(t, p.peerLoads(now), "no peers")
	busy := running(7)
	busy.Levels[2] = pool.LevelLoad{Running: 5, Arrived: 2.5, Refused: 0.5, RefusedLong: 0.25, SlotSeconds: 20, Started: 8, Ended: 4}
	busy.Short, busy.Upstreams = 4, map[pool.UpstreamKey]pool.UpstreamLoad{1<<32 - 1: {Running: 5, Unread: 70_000, Levels: [pool.UrgencyLevels]id.Tokens{1: 20_000, 9: 50_000}}, 7: {Running: 2}}
	busy.Levels[9] = pool.LevelLoad{Running: 2, Arrived: 1, SlotSeconds: 2, Started: 2, Ended: 2}
	other := running(5)
	other.Levels[2] = pool.LevelLoad{Running: 5, Arrived: 1, SlotSeconds: 4, Started: 1, Ended: 1}
	other.Short, other.Upstreams = 1, map[pool.UpstreamKey]pool.UpstreamLoad{7: {Running: 5, Unread: 400, Levels: [pool.UrgencyLevels]id.Tokens{400}}}
	foreign := row("d", nil)
	foreign.Loads = []*ragwortv1.ServiceLoad{{Service: "llm", Running: 1 << 31, ShortRunning: 1 << 31,
		Upstreams: []uint32{8, 9, 10}, UpstreamRunning: []uint32{1 << 31, 1}, UpstreamUnread: []uint32{1 << 31},
		UnreadUpstream: []uint32{0, 0, 2, 9, 1}, UnreadUrgency: []uint32{3, pool.UrgencyLevels, 0, 0}, UnreadTokens: []uint32{1 << 31, 1, 1, 1}, Levels: []*ragwortv1.LevelLoad{
			{Urgency: pool.UrgencyLevels, Running: 1}, {Urgency: 1 << 31, Running: 1},
			{Urgency: 0, Running: 1 << 31, Arrived: float32(math.NaN()), Refused: -1, SlotSeconds: float32(math.Inf(1)), Started: float32(math.Inf(-1)), Ended: 1},
		}}}
	p.table.Merge(now, []*peer.Row{row("b", map[id.Service]pool.Load{"llm": busy, "desk": {}}), row("c", map[id.Service]pool.Load{"llm": other, "desk": running(2)}), foreign}, nil)
	llm := running(12 + maxPeerLoad)
	llm.Short = 5 + maxPeerLoad
	llm.Upstreams = map[pool.UpstreamKey]pool.UpstreamLoad{
		1<<32 - 1: busy.Upstreams[1<<32-1], 7: {Running: 7, Unread: 400, Levels: [pool.UrgencyLevels]id.Tokens{400}},
		8: {Running: maxPeerLoad, Unread: maxPeerUnread, Levels: [pool.UrgencyLevels]id.Tokens{3: maxPeerUnread}},
	}
	llm.Levels[0] = pool.LevelLoad{Running: maxPeerLoad, SlotSeconds: maxPeerLoad, Ended: 1}
	llm.Levels[2] = pool.LevelLoad{Running: 10, Arrived: 3.5, Refused: 0.5, RefusedLong: 0.25, SlotSeconds: 24, Started: 9, Ended: 5}
	llm.Levels[9] = busy.Levels[9]
	require.Equal(t, map[id.Service]pool.Load{"llm": llm, "desk": running(2)}, p.peerLoads(now))
}

// TestPeerLoadSize is for docs/CAPACITY.md.
func TestPeerLoadSize(t *testing.T) {
	load := pool.Load{Running: 200}
	empty := proto.Size(&peer.Row{Loads: encodeLoads(map[id.Service]pool.Load{"zipu76a": load})})
	load.Levels[4] = pool.LevelLoad{Running: 200, Arrived: 60, Refused: 1, SlotSeconds: 700, Started: 300, Ended: 290}
	withLevel := proto.Size(&peer.Row{Loads: encodeLoads(map[id.Service]pool.Load{"zipu76a": load})})
	require.Less(t, empty, 20)
	require.LessOrEqual(t, withLevel-empty, 34, "one urgency")
	load.Upstreams = make(map[pool.UpstreamKey]pool.UpstreamLoad)
	for i := range pool.UpstreamKey(100) {
		load.Upstreams[i<<25] = pool.UpstreamLoad{Running: 2, Unread: 8000}
	}
	withUpstreams := proto.Size(&peer.Row{Loads: encodeLoads(map[id.Service]pool.Load{"zipu76a": load})})
	require.LessOrEqual(t, withUpstreams-withLevel, 715, "100 engines")
	load.Paces = make(map[pool.PaceKey][]pace.Figure)
	for i := range pool.PaceKey(100) {
		load.Paces[i<<25] = []pace.Figure{{Pace: 2, Samples: 50}}
	}
	withPaces := proto.Size(&peer.Row{Loads: encodeLoads(map[id.Service]pool.Load{"zipu76a": load})})
	require.LessOrEqual(t, withPaces-withUpstreams, 620, "the pace of 100 engines")
}

// TestPeerPacesAddUp has two peers tell what they have seen of the pace of an upstream, and one that says nonsense.
func TestPeerPacesAddUp(t *testing.T) {
	seen := func(p pace.Pace, samples float64) map[id.Service]pool.Load {
		return map[id.Service]pool.Load{"llm": {Paces: map[pool.PaceKey][]pace.Figure{1<<32 - 1: {{Pace: p, Samples: samples}}}}}
	}
	sum := pool.SumLoads(decodeLoads(encodeLoads(seen(2, 7))), decodeLoads(encodeLoads(seen(0.5, 3))), decodeLoads([]*ragwortv1.ServiceLoad{
		{Service: "llm", Paced: []uint32{1, 2}, Pace: []uint32{1 << 31, 5}, PaceSamples: []uint32{1 << 31}},
		{Service: "desk", Paced: []uint32{1, 2}},
	}))
	require.Nil(t, sum["desk"].Paces)
	require.Len(t, sum["llm"].Paces, 2)
	figures := sum["llm"].Paces[1<<32-1]
	require.Len(t, figures, 2)
	require.InDelta(t, 2, float64(figures[0].Pace), 0.01)
	require.InDelta(t, 0.5, float64(figures[1].Pace), 0.01)
	require.InDelta(t, 3, figures[1].Samples, 0.3)
	require.InDelta(t, 4, float64(sum["llm"].Paces[1][0].Pace), 0.01, "the largest that can be told")
}
