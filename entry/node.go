package entry

// This file defines the control calls that an entry serves, except Hold, which is in
// handover.go.

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

// node implements the control calls of an entry.
type node struct {
	ragwortv1connect.UnimplementedNodeServiceHandler
	e *Entry
}

// Heartbeat implements ragwortv1connect.NodeServiceHandler.
func (n *node) Heartbeat(_ context.Context, rq *connect.Request[ragwortv1.HeartbeatRequest]) (*connect.Response[ragwortv1.HeartbeatResponse], error) {
	from := rq.Msg.GetFrom()
	n.e.receiveDemand(time.Now(), from, rq.Msg.GetDemand())
	n.e.fetchIfBehind(rq.Msg.GetFrom().GetAddress(), id.Offset(rq.Msg.GetJournalOffset()))
	return connect.NewResponse(&ragwortv1.HeartbeatResponse{
		Node: n.e.identity(), JournalOffset: uint64(n.e.deps.State.Offset()), Demand: n.e.demandFor(id.Node(from.GetId())),
	}), nil
}

// Fetch implements ragwortv1connect.NodeServiceHandler.
func (n *node) Fetch(_ context.Context, rq *connect.Request[ragwortv1.FetchRequest]) (*connect.Response[ragwortv1.FetchResponse], error) {
	return connect.NewResponse(logbook.AnswerFetch(n.e.deps.State, rq.Msg)), nil
}

// Explain implements ragwortv1connect.NodeServiceHandler.
func (n *node) Explain(_ context.Context, rq *connect.Request[ragwortv1.ExplainRequest]) (*connect.Response[ragwortv1.ExplainResponse], error) {
	decisions := n.e.deps.Traces.Explain(id.Request(rq.Msg.GetRequest()))
	return connect.NewResponse(&ragwortv1.ExplainResponse{Decisions: trace.ToWire(decisions)}), nil
}

// Status implements ragwortv1connect.NodeServiceHandler.
func (n *node) Status(_ context.Context, _ *connect.Request[ragwortv1.StatusRequest]) (*connect.Response[ragwortv1.StatusResponse], error) {
	rs := &ragwortv1.StatusResponse{
		Node:          n.e.identity(),
		Version:       process.Version(),
		Ready:         n.e.Ready() == nil,
		JournalOffset: uint64(n.e.deps.State.Offset()),
		RulesOffset:   uint64(n.e.deps.State.Rules().Offset),
		Running:       n.e.running.Load(),
		Waiting:       n.e.waiting.Load(),
	}
	for _, v := range n.e.upstreams.All() {
		rs.Upstreams = append(rs.Upstreams, upstreamStatus(v))
	}
	var snapshot ragwortv1.State
	for _, s := range []*logbook.State{n.e.deps.State, n.e.deps.Usage.State} {
		s.Leases.Snapshot(&snapshot)
		rs.Leases = append(rs.Leases, snapshot.GetLeases()...)
	}
	return connect.NewResponse(rs), nil
}

// upstreamStatus returns what the status call reports about an upstream.
func upstreamStatus(v upstream.View) *ragwortv1.UpstreamStatus {
	l := &ragwortv1.UpstreamLoad{
		Upstream: string(v.ID), Incarnation: uint64(v.Load.Incarnation), State: v.Load.State,
		Limit: uint32(v.Load.Limit), Running: uint32(v.Load.Running), Waiting: uint32(v.Load.Waiting),
		Service: string(v.Service), ConfigOffset: uint64(v.Load.ConfigOffset),
	}
	for _, m := range v.Models {
		l.Models = append(l.Models, string(m))
	}
	return &ragwortv1.UpstreamStatus{
		Load: l, DataCentre: string(v.DataCentre), Address: v.Address,
		Outstanding: uint32(v.Outstanding), LastHeardUnixMs: v.LastHeard.UnixMilli(),
	}
}

// identity returns what the entry tells other processes about itself.
func (e *Entry) identity() *ragwortv1.Node {
	return &ragwortv1.Node{
		Id: string(e.cfg.Node), Role: roleEntry, DataCentre: string(e.cfg.DataCentre), Address: e.cfg.Address,
		Incarnation: uint64(e.cfg.Incarnation), Leaving: e.shuttingDown.Load(),
	}
}
