package entry

// This file defines members: the other processes an entry knows, from its
// settings and the platform's VM list, and the heartbeats it sends them. Which of
// the listed it watches is in watch.go.

import (
	"context"
	"maps"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
	"github.com/ragwortpass/ragwortpass/workspace"
)

const (
	heartbeatEvery   = workspace.TickInterval
	heartbeatTimeout = time.Second
	listEvery        = time.Second
	forgetAfter      = 30 * time.Second

	// missedHeartbeats in a row make what is known of a sidecar too old to use.
	missedHeartbeats = 3
)

// members sends heartbeats to every known process.
type members struct {
	e *Entry

	mu       sync.Mutex
	schedule *schedule
	kinds    kinds
	nodes    map[string]id.Node // entries by their address
}

func newMembers(e *Entry) *members {
	m := &members{e: e, schedule: newSchedule(), nodes: make(map[string]id.Node), kinds: newKinds()}
	m.schedule.set(time.Time{}, nil, e.cfg.Seeds)
	return m
}

// run exchanges heartbeats until ctx is done.
func (m *members) run(ctx context.Context) {
	beat := time.NewTicker(heartbeatEvery)
	defer beat.Stop()
	list := time.NewTicker(listEvery)
	defer list.Stop()
	m.list(ctx)
	for {
		now := time.Now()
		m.beat(ctx, now)
		m.e.limits.Tick(now)
		m.e.upstreams.RemoveStale(now.Add(-max(forgetAfter, 2*m.e.upstreams.StaleAfter())))
		select {
		case <-ctx.Done():
			return
		case <-list.C:
			go m.list(ctx)
		case <-beat.C:
		}
	}
}

// list takes over the platform's list: whom to watch, and whose VM leaves.
func (m *members) list(ctx context.Context) {
	vms, err := m.e.deps.Platform.ListVMs(ctx)
	if err != nil {
		m.e.count("vm_list_failed")
		return
	}
	m.e.upstreams.SetLeavingVMs(departing(vms))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	entries, others := m.e.expectEntries(now, vms), m.e.cfg.Seeds
	for _, vm := range m.kinds.watched(m.e.cfg.Node, vms) {
		switch {
		case vm.Address == m.e.cfg.Address:
		case vm.Role == roleEntry:
			entries = append(entries, vm.Address)
		default:
			others = append(others, vm.Address)
		}
	}
	m.schedule.set(now, entries, others)
	maps.DeleteFunc(m.nodes, func(address string, _ id.Node) bool { return m.schedule.peers[address] == nil })
	m.e.upstreams.SetStaleAfter(missedHeartbeats * m.schedule.interval(false))
}

// beat sends the heartbeats that are due, side by side. A process that has not
// caught up asks everyone: it becomes ready when it holds what all of them hold.
func (m *members) beat(ctx context.Context, now time.Time) {
	caughtUp := m.e.deps.Follower.CaughtUp()
	m.mu.Lock()
	due := m.schedule.due(now, !caughtUp)
	m.mu.Unlock()
	ended := func(id.Offset) {}
	if !caughtUp {
		ended = m.e.deps.Follower.ObservePeers
	}
	answers := newRound(len(due), ended)
	for _, a := range due {
		go func() { answers.done(m.heartbeat(ctx, a)) }()
	}
}

// heartbeat returns the offset that the process named; zero if it did not answer.
func (m *members) heartbeat(ctx context.Context, address string) id.Offset {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(m.e.deps.Control, "http://"+address)
	rs, err := client.Heartbeat(ctx, connect.NewRequest(&ragwortv1.HeartbeatRequest{
		From: m.e.identity(), JournalOffset: uint64(m.e.deps.State.Offset()), Demand: m.e.demandFor(m.entryAt(address)),
	}))
	if err != nil {
		m.e.count("heartbeat_failed")
		m.missed(time.Now(), address)
		return 0
	}
	m.meet(address, rs.Msg.GetNode())
	m.e.heardDemand(time.Now(), rs.Msg.GetNode(), rs.Msg.GetDemand())
	if rs.Msg.GetLoad() != nil {
		m.kinds.learn(id.Node(rs.Msg.GetNode().GetId()), rs.Msg.GetLoad())
		m.e.upstreams.Update(view(time.Now(), rs.Msg))
	}
	offset := id.Offset(rs.Msg.GetJournalOffset())
	m.e.heard(address, offset)
	return offset
}

// missed notes a heartbeat that failed.
func (m *members) missed(now time.Time, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.schedule.failed(now, address)
}

// entryAt returns the entry at an address, or nothing while none was met there.
func (m *members) entryAt(address string) id.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.nodes[address]
}

// meet notes which entry is at an address.
func (m *members) meet(address string, n *ragwortv1.Node) {
	if n.GetRole() != roleEntry {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nodes[address] = id.Node(n.GetId())
}

// view returns what a sidecar's heartbeat tells of its upstream.
func view(now time.Time, hb *ragwortv1.HeartbeatResponse) upstream.View {
	l, n := hb.GetLoad(), hb.GetNode()
	v := upstream.View{
		ID: id.Upstream(l.GetUpstream()), Node: id.Node(n.GetId()), DataCentre: id.DataCentre(n.GetDataCentre()),
		Address: n.GetAddress(), Service: id.Service(l.GetService()), LastHeard: now, Leaving: n.GetLeaving(),
		Load: wire.Load{
			Incarnation: id.Incarnation(l.GetIncarnation()), State: l.GetState(), Limit: int(l.GetLimit()),
			Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), ConfigOffset: id.Offset(l.GetConfigOffset()),
		},
	}
	for _, m := range l.GetModels() {
		v.Models = append(v.Models, id.Model(m))
	}
	return v
}
