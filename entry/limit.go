package entry

// This file defines limit: a workspace spends from this entry's part of its
// limits, and entries tell each other the demand they see.

import (
	"fmt"
	"net/http"
	"time"

	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/workspace"
)

// maxExchange is the most entries among which every two exchange reports. Among
// more, each enforces the limit over their number.
const maxExchange = 16

// limit charges the request and its expected tokens to its workspace.
func (e *Entry) limit(now time.Time, rq *request) *problem.Problem {
	rq.expected = e.expect(rq)
	rule := e.deps.State.Rules().Workspaces[rq.workspace()]
	if rule == nil {
		return nil // classify has refused it
	}
	d, limited := e.limits.Charge(now, rule, rq.expected).(workspace.Limited)
	if !limited {
		return nil
	}
	e.count("limited_" + d.Unit)
	return problem.New(problem.WorkspaceLimit, problem.NotRun, http.StatusTooManyRequests,
		"workspace %q has spent its %s: part=%.3f of the limit, expected_tokens=%d", rule.Name, d.Unit, d.Fraction, rq.expected).
		WithRetryAfter(max(d.RetryAfter, time.Second))
}

// expect estimates the output tokens of a request.
func (e *Entry) expect(rq *request) id.Tokens {
	if rq.service != "" {
		return 0
	}
	n := e.lengths.Predict(rq.class.Name, rq.workspace())
	for _, name := range tokenLimits {
		if most := gjson.GetBytes(rq.body, name); most.Type == gjson.Number {
			n = min(n, id.Tokens(most.Int()))
		}
	}
	return n
}

// settle corrects what was charged for a request by what it delivered.
func (e *Entry) settle(rq *request) {
	if rq.service != "" {
		return
	}
	e.limits.Settle(rq.workspace(), rq.expected, rq.delivered)
	e.queues.of(target{model: rq.model}).correct(rq)
	e.decide(time.Now(), rq.id, "limit", "settled", fmt.Sprintf("expected_tokens=%d output_tokens=%d", rq.expected, rq.delivered))
}

// correct charges the workspace's waiting requests for the difference.
func (q *queue) correct(rq *request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters.AdjustCost(rq.class.Name, rq.workspace(), rq.delivered-rq.expected)
}

// listedEntries returns the entries of the list besides this one that do not leave.
func (e *Entry) listedEntries(vms []hosting.VM) []hosting.VM {
	var others []hosting.VM
	for _, vm := range vms {
		if vm.Role == roleEntry && vm.ID != e.cfg.Node && vm.State != hosting.VMLeaving {
			others = append(others, vm)
		}
	}
	return others
}

// expectEntries tells the limits which other entries exist, and returns the
// addresses of those to exchange reports with.
func (e *Entry) expectEntries(now time.Time, vms []hosting.VM) []string {
	others := e.listedEntries(vms)
	nodes := make([]id.Node, len(others))
	addresses := make([]string, len(others))
	for i, vm := range others {
		nodes[i], addresses[i] = vm.ID, vm.Address
	}
	e.limits.SetPeers(now, nodes)
	if len(others) >= maxExchange {
		return nil
	}
	return addresses
}

// demandFor returns the report for the process with the given id.
func (e *Entry) demandFor(to id.Node) *ragwortv1.DemandReport {
	if to == "" {
		return nil // not met yet
	}
	r := e.limits.ReportTo(to)
	demand := make(map[string]float64, len(r.Demand))
	for ws, d := range r.Demand {
		demand[string(ws)] = d
	}
	return &ragwortv1.DemandReport{
		Version: r.Version, Base: r.Base, Seen: r.Acked, SeenOf: uint64(r.AckedIncarnation), Parted: r.Partitioned, TokensPerSecond: demand,
	}
}

// heardDemand takes the report of another entry.
func (e *Entry) heardDemand(now time.Time, from *ragwortv1.Node, d *ragwortv1.DemandReport) {
	if from.GetRole() != roleEntry || from.GetId() == string(e.cfg.Node) {
		return
	}
	if from.GetLeaving() {
		e.limits.RemovePeer(id.Node(from.GetId()))
		return
	}
	if d == nil {
		return
	}
	r := workspace.Report{
		Incarnation: id.Incarnation(from.GetIncarnation()), Version: d.GetVersion(), Base: d.GetBase(),
		Acked: d.GetSeen(), AckedIncarnation: id.Incarnation(d.GetSeenOf()), Partitioned: d.GetParted(),
		Demand: make(map[id.Workspace]float64, len(d.GetTokensPerSecond())),
	}
	for ws, perSecond := range d.GetTokensPerSecond() {
		r.Demand[id.Workspace(ws)] = perSecond
	}
	e.limits.Receive(now, id.Node(from.GetId()), r)
}
