package sidecar

// This file defines the control calls that a sidecar serves.

import (
	"context"

	"connectrpc.com/connect"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

// node implements the control calls of a sidecar.
type node struct {
	ragwortv1connect.UnimplementedNodeServiceHandler
	s *Sidecar
}

// Heartbeat implements ragwortv1connect.NodeServiceHandler.
func (n *node) Heartbeat(_ context.Context, rq *connect.Request[ragwortv1.HeartbeatRequest]) (*connect.Response[ragwortv1.HeartbeatResponse], error) {
	n.s.fetchIfBehind(rq.Msg.GetFrom().GetAddress(), id.Offset(rq.Msg.GetJournalOffset()))
	return connect.NewResponse(&ragwortv1.HeartbeatResponse{
		Node:          n.identity(),
		JournalOffset: uint64(n.s.deps.State.Offset()),
		Load:          n.load(),
	}), nil
}

// Fetch implements ragwortv1connect.NodeServiceHandler.
func (n *node) Fetch(_ context.Context, rq *connect.Request[ragwortv1.FetchRequest]) (*connect.Response[ragwortv1.FetchResponse], error) {
	return connect.NewResponse(logbook.AnswerFetch(n.s.deps.State, rq.Msg)), nil
}

// Explain implements ragwortv1connect.NodeServiceHandler.
func (n *node) Explain(_ context.Context, rq *connect.Request[ragwortv1.ExplainRequest]) (*connect.Response[ragwortv1.ExplainResponse], error) {
	decisions := n.s.deps.Traces.Explain(id.Request(rq.Msg.GetRequest()))
	return connect.NewResponse(&ragwortv1.ExplainResponse{Decisions: trace.ToWire(decisions)}), nil
}

// Status implements ragwortv1connect.NodeServiceHandler.
func (n *node) Status(_ context.Context, _ *connect.Request[ragwortv1.StatusRequest]) (*connect.Response[ragwortv1.StatusResponse], error) {
	l := n.load()
	return connect.NewResponse(&ragwortv1.StatusResponse{
		Node:          n.identity(),
		Version:       process.Version(),
		Ready:         n.s.Ready() == nil,
		JournalOffset: uint64(n.s.deps.State.Offset()),
		RulesOffset:   uint64(n.s.deps.State.Rules().Offset),
		Running:       int64(l.GetRunning()),
		Waiting:       int64(l.GetWaiting()),
	}), nil
}

// identity returns what the sidecar tells other processes about itself.
func (n *node) identity() *ragwortv1.Node {
	c := n.s.cfg
	return &ragwortv1.Node{
		Id: string(c.Node), Role: "sidecar", DataCentre: string(c.DataCentre), Address: c.Address,
		Incarnation: uint64(c.Incarnation), Leaving: n.s.shuttingDown.Load(),
	}
}

// load returns the upstream's load as the control calls report it.
func (n *node) load() *ragwortv1.UpstreamLoad {
	l := n.s.load()
	models := make([]string, len(n.s.cfg.Models))
	for i, m := range n.s.cfg.Models {
		models[i] = string(m)
	}
	return &ragwortv1.UpstreamLoad{
		Upstream: string(n.s.cfg.Upstream), Incarnation: uint64(l.Incarnation), State: l.State,
		Limit: uint32(l.Limit), Running: uint32(l.Running), Waiting: uint32(l.Waiting),
		Models: models, Service: string(n.s.cfg.Service), ConfigOffset: uint64(l.ConfigOffset),
	}
}
