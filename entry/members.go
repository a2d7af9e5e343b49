package entry

// This file defines members: the other processes an entry knows, from its
// settings and the platform's VM list, and the heartbeats it sends them. Which of
// the listed it watches is in watch.go.

import (
	"context"
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
	heartbeatEvery   = workspace.TickEvery
	heartbeatTimeout = time.Second
	listEvery        = time.Second
	forgetAfter      = 30 * time.Second
)

// members sends heartbeats to every known process.
type members struct {
	e *Entry

	mu        sync.Mutex
	addresses map[string]struct{}
	kinds     kinds
	nodes     map[string]id.Node // entries by their address
}

func newMembers(e *Entry) *members {
	m := &members{e: e, addresses: make(map[string]struct{}), nodes: make(map[string]id.Node), kinds: newKinds()}
	for _, a := range e.cfg.Seeds {
		m.addresses[a] = struct{}{}
	}
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
		m.beat(ctx)
		m.e.limits.Tick(time.Now())
		m.e.upstreams.Forget(time.Now().Add(-forgetAfter))
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
	vms, err := m.e.deps.Platform.VMs(ctx)
	if err != nil {
		m.e.count("vm_list_failed")
		return
	}
	m.e.upstreams.Depart(departing(vms))
	m.mu.Lock()
	defer m.mu.Unlock()
	watched := m.kinds.watched(m.e.cfg.Node, vms)
	clear(m.addresses)
	for _, a := range m.e.cfg.Seeds {
		m.addresses[a] = struct{}{}
	}
	for _, a := range m.e.expectEntries(time.Now(), vms) {
		m.addresses[a] = struct{}{}
	}
	for _, vm := range watched {
		if vm.Address != m.e.cfg.Address {
			m.addresses[vm.Address] = struct{}{}
		}
	}
}

// beat sends one heartbeat to every process, side by side.
func (m *members) beat(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	answers := newRound(len(m.addresses), m.e.deps.Follower.HeardAll)
	for a := range m.addresses {
		go func() { answers.done(m.heartbeat(ctx, a)) }()
	}
}

// heartbeat returns the offset that the process named; zero if it did not answer.
func (m *members) heartbeat(ctx context.Context, address string) id.Offset {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(m.e.deps.Peers, "http://"+address)
	rs, err := client.Heartbeat(ctx, connect.NewRequest(&ragwortv1.HeartbeatRequest{
		From: m.e.identity(), JournalOffset: uint64(m.e.deps.State.Offset()), Demand: m.e.demandFor(m.entryAt(address)),
	}))
	if err != nil {
		m.e.count("heartbeat_failed")
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
		Address: n.GetAddress(), Service: id.Service(l.GetService()), Heard: now, Leaving: n.GetLeaving(),
		Load: wire.Load{
			Incarnation: id.Incarnation(l.GetIncarnation()), State: l.GetState(), Limit: int(l.GetLimit()),
			Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Config: id.Offset(l.GetConfigOffset()),
		},
	}
	for _, m := range l.GetModels() {
		v.Models = append(v.Models, id.Model(m))
	}
	return v
}
