package entry

// This file defines the limit filter: a workspace spends from this entry's fraction of
// its limits, and entries report the demand they see to each other.

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

// maxExchangingEntries is the largest number of entries that all exchange demand reports
// with each other. In a larger fleet each entry enforces the limit divided by the number of
// entries.
const maxExchangingEntries = 16

// limit charges a request and its expected tokens to its workspace, or refuses it.
func (e *Entry) limit(now time.Time, rq *request) *problem.Problem {
	rq.expectedOutput = e.estimateOutput(rq)
	rule := e.deps.State.Rules().Workspaces[rq.workspace()]
	if rule == nil {
		return nil // classify has refused the request
	}
	d, limited := e.limits.Charge(now, rule, rq.expectedOutput).(workspace.Limited)
	if !limited {
		return nil
	}
	e.count("limited_" + d.Unit)
	return problem.New(problem.WorkspaceLimit, problem.NotRun, http.StatusTooManyRequests,
		"workspace %q has spent its %s at this entry: fraction=%.3f of the limit, expected_tokens=%d", rule.Name, d.Unit, d.Fraction, rq.expectedOutput).
		WithRetryAfter(max(d.RetryAfter, time.Second))
}

// estimateOutput estimates the output tokens of a request.
func (e *Entry) estimateOutput(rq *request) id.Tokens {
	if rq.service != "" {
		return 0
	}
	n := e.lengthPredictor.Predict(rq.class.Name, rq.workspace())
	for _, name := range tokenLimits {
		if maxTokens := gjson.GetBytes(rq.body, name); maxTokens.Type == gjson.Number {
			n = min(n, id.Tokens(maxTokens.Int()))
		}
	}
	return n
}

// settleCharge corrects the charge of a request to a model from the expected tokens to the
// delivered ones.
func (e *Entry) settleCharge(rq *request) {
	if rq.service != "" {
		return
	}
	e.limits.Settle(rq.workspace(), rq.expectedOutput, rq.deliveredOutput)
	e.queues.get(target{model: rq.model}).correctCharge(rq)
	e.traceDecision(time.Now(), rq.id, "limit", "settled", fmt.Sprintf("expected_tokens=%d output_tokens=%d", rq.expectedOutput, rq.deliveredOutput))
}

// correctCharge charges the class and the workspace of an ended request the difference
// between its delivered and its expected tokens, in the accounts that decide which waiter is
// dispatched next.
func (q *queue) correctCharge(rq *request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters.AdjustCost(rq.class.Name, rq.workspace(), rq.deliveredOutput-rq.expectedOutput)
}

// otherEntriesListed returns the VMs of the other entries on the platform's VM list, except
// for those that are leaving.
func (e *Entry) otherEntriesListed(vms []hosting.VM) []hosting.VM {
	var others []hosting.VM
	for _, vm := range vms {
		if vm.Role == roleEntry && vm.ID != e.cfg.Node && vm.State != hosting.VMLeaving {
			others = append(others, vm)
		}
	}
	return others
}

// updateEntries passes the other entries on the platform's VM list to the limits. It returns
// the addresses of the entries that demand reports are exchanged with: all others, or none
// if there are more entries than maxExchangingEntries.
func (e *Entry) updateEntries(now time.Time, vms []hosting.VM) []string {
	others := e.otherEntriesListed(vms)
	nodes := make([]id.Node, len(others))
	addresses := make([]string, len(others))
	for i, vm := range others {
		nodes[i], addresses[i] = vm.ID, vm.Address
	}
	e.limits.SetPeers(now, nodes)
	if len(others) >= maxExchangingEntries {
		return nil
	}
	return addresses
}

// demandFor returns the demand report for an entry.
func (e *Entry) demandFor(to id.Node) *ragwortv1.DemandReport {
	if to == "" {
		return nil // its id is not known yet
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

// receiveDemand applies the demand report of another entry.
func (e *Entry) receiveDemand(now time.Time, from *ragwortv1.Node, d *ragwortv1.DemandReport) {
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
