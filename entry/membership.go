package entry

// This file defines membership: the other processes that an entry knows from its
// settings and the platform's VM list, and the heartbeats it sends to them. watch.go
// selects which of the listed processes it watches, that is, sends heartbeats to.

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
	heartbeatInterval = workspace.TickInterval
	heartbeatTimeout  = time.Second
	vmListInterval    = time.Second
	upstreamExpiry    = 30 * time.Second // least time for which an upstream is kept after it was last heard from

	// maxMissedHeartbeats is the number of consecutive missed heartbeats after which the
	// last known load of a sidecar is too old to use.
	maxMissedHeartbeats = 3
)

// membership sends heartbeats to the known processes.
type membership struct {
	e *Entry

	mu             sync.Mutex
	schedule       *heartbeatSchedule
	kinds          sidecarKinds
	entryByAddress map[string]id.Node
}

func newMembership(e *Entry) *membership {
	m := &membership{e: e, schedule: newHeartbeatSchedule(), entryByAddress: make(map[string]id.Node), kinds: newSidecarKinds()}
	m.schedule.setPeers(time.Time{}, nil, e.cfg.Seeds)
	return m
}

// run sends heartbeats until ctx is done.
func (m *membership) run(ctx context.Context) {
	heartbeatTick := time.NewTicker(heartbeatInterval)
	defer heartbeatTick.Stop()
	vmListTick := time.NewTicker(vmListInterval)
	defer vmListTick.Stop()
	m.refreshVMList(ctx)
	for {
		now := time.Now()
		m.sendDueHeartbeats(ctx, now)
		m.e.limits.Tick(now)
		m.e.upstreams.RemoveStale(now.Add(-max(upstreamExpiry, 2*m.e.upstreams.StaleAfter())))
		select {
		case <-ctx.Done():
			return
		case <-vmListTick.C:
			go m.e.guard.Do("vm_list", func() { m.refreshVMList(ctx) })
		case <-heartbeatTick.C:
		}
	}
}

// refreshVMList reads the platform's VM list and updates which processes are watched
// and which VMs are leaving.
func (m *membership) refreshVMList(ctx context.Context) {
	vms, err := m.e.deps.Platform.ListVMs(ctx)
	if err != nil {
		m.e.count("vm_list_failed")
		return
	}
	m.e.upstreams.SetLeavingVMs(leavingNodes(vms))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	entries, others := m.e.updateEntries(now, vms), m.e.cfg.Seeds
	for _, vm := range m.kinds.selectWatched(m.e.cfg.Node, vms) {
		switch {
		case vm.Address == m.e.cfg.Address:
		case vm.Role == roleEntry:
			entries = append(entries, vm.Address)
		default:
			others = append(others, vm.Address)
		}
	}
	m.schedule.setPeers(now, entries, others)
	maps.DeleteFunc(m.entryByAddress, func(address string, _ id.Node) bool { return m.schedule.peers[address] == nil })
	m.e.upstreams.SetStaleAfter(maxMissedHeartbeats * m.schedule.interval(false))
}

// sendDueHeartbeats sends the due heartbeats concurrently. An entry that has not caught up
// with the log sends one to every peer instead, because, while the log cannot be read, it
// becomes ready once it has applied everything that they have.
func (m *membership) sendDueHeartbeats(ctx context.Context, now time.Time) {
	caughtUp := m.e.deps.Follower.CaughtUp()
	m.mu.Lock()
	due := m.schedule.due(now, !caughtUp)
	m.mu.Unlock()
	onComplete := func(id.Offset) {}
	if !caughtUp {
		onComplete = m.e.deps.Follower.ObservePeers
	}
	round := newHeartbeatRound(len(due), onComplete)
	for _, a := range due {
		go func() {
			var offset id.Offset
			m.e.guard.Do("heartbeat", func() { offset = m.heartbeat(ctx, a) })
			round.peerDone(offset)
		}()
	}
}

// heartbeat sends a heartbeat to the process at an address and applies the answer. It
// returns the log offset that the process reported, or zero if it did not answer.
func (m *membership) heartbeat(ctx context.Context, address string) id.Offset {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(m.e.deps.ControlClient, "http://"+address)
	rs, err := client.Heartbeat(ctx, connect.NewRequest(&ragwortv1.HeartbeatRequest{
		From: m.e.identity(), JournalOffset: uint64(m.e.deps.State.Offset()), Demand: m.e.demandFor(m.entryAt(address)),
	}))
	if err != nil {
		m.e.count("heartbeat_failed")
		m.recordMissed(time.Now(), address)
		return 0
	}
	m.recordEntry(address, rs.Msg.GetNode())
	m.e.receiveDemand(time.Now(), rs.Msg.GetNode(), rs.Msg.GetDemand())
	if rs.Msg.GetLoad() != nil {
		m.kinds.record(id.Node(rs.Msg.GetNode().GetId()), rs.Msg.GetLoad())
		m.e.upstreams.Update(viewFromHeartbeat(time.Now(), rs.Msg))
	}
	offset := id.Offset(rs.Msg.GetJournalOffset())
	m.e.fetchIfBehind(address, offset)
	return offset
}

// recordMissed schedules the next heartbeat to an address soon after one that failed.
func (m *membership) recordMissed(now time.Time, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.schedule.retrySoon(now, address)
}

// entryAt returns the name of the entry at an address, or "" if none has answered there yet.
func (m *membership) entryAt(address string) id.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.entryByAddress[address]
}

// recordEntry records the name of the process that answered at an address if it is an entry.
func (m *membership) recordEntry(address string, n *ragwortv1.Node) {
	if n.GetRole() != roleEntry {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entryByAddress[address] = id.Node(n.GetId())
}

// viewFromHeartbeat returns the view of an upstream from its sidecar's answer to a heartbeat.
func viewFromHeartbeat(now time.Time, hb *ragwortv1.HeartbeatResponse) upstream.View {
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
