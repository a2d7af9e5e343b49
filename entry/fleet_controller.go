package entry

// This file defines fleetController, which does the work of the orders lease: it
// measures the fleet, records the planner's orders on the log, sends them, and records
// their outcomes.

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

// OrderRefusedError reports that a sidecar refused an order.
type OrderRefusedError struct {
	Upstream id.Upstream
	Reason   string
}

func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("sidecar of upstream %q refused the order: %s", e.Upstream, e.Reason)
}

// UpstreamUnknownError reports that no sidecar of an upstream is known.
type UpstreamUnknownError struct{ Upstream id.Upstream }

func (e *UpstreamUnknownError) Error() string {
	return fmt.Sprintf("no sidecar of upstream %q is known", e.Upstream)
}

// fleetController does the work of the orders lease.
type fleetController struct {
	e                *Entry
	task             *leaseTask
	planner          *fleet.Planner
	lastMeasured     time.Time
	sidecarAddresses map[id.Upstream]string // from the last measurement
}

func newFleetController(e *Entry, control *logbook.Stream) *fleetController {
	c := &fleetController{e: e, planner: fleet.NewPlanner(e.cfg.Fleet)}
	c.task = newLeaseTask(e, control, id.DutyOrders, c.step)
	return c
}

// step executes the open orders. Once none is left and MeasureInterval has passed since the
// last measurement, it plans new ones.
func (c *fleetController) step(ctx context.Context) {
	for _, order := range c.e.deps.State.Orders.Open() {
		c.executeOrder(ctx, order.Record)
	}
	now := time.Now()
	if len(c.e.deps.State.Orders.Open()) > 0 || now.Sub(c.lastMeasured) < c.e.cfg.MeasureInterval {
		return
	}
	m, ok := c.measure(ctx, now)
	if !ok {
		c.e.count("fleet_not_measured")
		return
	}
	c.lastMeasured = now
	for _, action := range c.planner.Step(now, m.upstreamGroups()) {
		c.decideOrder(ctx, action)
	}
}

// measure measures the fleet. It reports false if too little of the fleet is visible for
// a decision.
func (c *fleetController) measure(ctx context.Context, now time.Time) (*fleetMeasurement, bool) {
	vms, err := c.e.deps.Platform.ListVMs(ctx)
	if err != nil {
		return nil, false
	}
	m := &fleetMeasurement{
		now: now, rules: c.e.deps.State.Rules(), views: c.e.surveySidecars(ctx, vms), vms: vms,
		orders: c.e.deps.State.Orders.All(), orderTimeout: 2 * c.task.cfg.MaxOrderLifetime,
		pendingTimeout: c.e.cfg.Fleet.PendingTimeout,
	}
	c.sidecarAddresses = make(map[id.Upstream]string, len(m.views))
	for i := range m.views {
		c.sidecarAddresses[m.views[i].ID] = m.views[i].Address
	}
	return m, m.coversFleet()
}

// decideOrder records the order for an action on the log and executes it if the record is
// accepted.
func (c *fleetController) decideOrder(ctx context.Context, action fleet.Action) {
	now := time.Now()
	r := orderRecord(action)
	r.Order = id.New("order", now)
	r.DeadlineUnixMs = now.Add(2 * c.task.cfg.MaxOrderLifetime).UnixMilli()
	var result logbook.Result
	err := c.task.doWithMargin(ctx, 2*c.task.cfg.MaxOrderLifetime, func(ctx context.Context, term id.Term) error {
		r.Term = uint64(term)
		out, err := c.e.deps.Writer.Append(ctx, now, &ragwortv1.Record{Body: &ragwortv1.Record_OrderDecided{OrderDecided: r}})
		result = out.Result
		return err
	})
	_ = c.e.deps.Logger.Log("event", "order_decided", "order", r.GetOrder(), "kind", r.GetKind(), "data_centre", r.GetDataCentre(),
		"model", r.GetModel(), "upstream", r.GetUpstream(), "count", r.GetCount(), "term", r.GetTerm(), "result", result, "err", err)
	if err == nil && result == logbook.Accepted {
		c.executeOrder(ctx, r)
	}
}

// orderRecord returns the order for an action of the planner.
func orderRecord(action fleet.Action) *ragwortv1.OrderDecided {
	switch a := action.(type) {
	case *fleet.StartAction:
		return &ragwortv1.OrderDecided{Kind: string(fleet.Start), DataCentre: string(a.DataCentre), Model: string(a.Model), Count: uint32(a.Count)}
	case *fleet.DrainAction:
		return &ragwortv1.OrderDecided{Kind: string(fleet.Drain), DataCentre: string(a.DataCentre), Model: string(a.Model), Upstream: string(a.Upstream), Count: 1}
	case *fleet.StopAction:
		return &ragwortv1.OrderDecided{Kind: string(fleet.Stop), DataCentre: string(a.DataCentre), Model: string(a.Model), Upstream: string(a.Upstream), Count: 1}
	}
	panic(fmt.Sprintf("unknown action %T", action))
}

// executeOrder sends an open order and settles it. An order from another term or past its
// deadline is not sent but settled as expired. An order without an answer stays open and is
// sent again, which is idempotent, since the order keeps its id.
func (c *fleetController) executeOrder(ctx context.Context, r *ragwortv1.OrderDecided) {
	err := c.task.do(ctx, func(ctx context.Context, term id.Term) error {
		if id.Term(r.GetTerm()) != term || time.Now().UnixMilli() >= r.GetDeadlineUnixMs() {
			return context.DeadlineExceeded
		}
		ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(r.GetDeadlineUnixMs()))
		defer cancel()
		return c.sendOrder(ctx, r)
	})
	var unavailable *hosting.UnavailableError
	var notHolding *NotHoldingError
	switch {
	case err == nil:
		c.settleOrder(ctx, r, fleet.Done, "")
	case errors.As(err, &notHolding), errors.As(err, &unavailable):
		c.e.count("order_" + r.GetKind() + "_unanswered")
	case errors.Is(err, context.DeadlineExceeded):
		c.settleOrder(ctx, r, fleet.Expired, err.Error())
	default:
		c.settleOrder(ctx, r, fleet.Refused, err.Error())
	}
}

// sendOrder sends an order to the process that checks its term: to the upstream's sidecar if
// it is a drain order, or an order to load a model at an upstream that ignores fencing
// numbers; otherwise to the platform.
func (c *fleetController) sendOrder(ctx context.Context, r *ragwortv1.OrderDecided) error {
	kind := fleet.OrderKind(r.GetKind())
	if kind == fleet.Drain || (kind == fleet.LoadModel && !c.checksFencing(r)) {
		return c.sendToSidecar(ctx, r)
	}
	return c.e.deps.Platform.SubmitOrder(ctx, hosting.Order{
		ID: id.Order(r.GetOrder()), Kind: hosting.OrderKind(r.GetKind()), DataCentre: id.DataCentre(r.GetDataCentre()),
		Model: id.Model(r.GetModel()), Upstream: id.Upstream(r.GetUpstream()), Count: int(r.GetCount()),
		FencingNumber: id.Term(r.GetTerm()), OrderedBy: c.task.cfg.Holder,
	})
}

// checksFencing reports whether the rules say that the upstream checks fencing numbers.
func (c *fleetController) checksFencing(r *ragwortv1.OrderDecided) bool {
	u := c.e.deps.State.Rules().UpstreamFor(id.Upstream(r.GetUpstream()), []id.Model{id.Model(r.GetModel())}, "")
	return u != nil && u.Fencing == rule.FencingChecks
}

// sendToSidecar sends an order to the sidecar of the upstream that the order names.
func (c *fleetController) sendToSidecar(ctx context.Context, r *ragwortv1.OrderDecided) error {
	u := id.Upstream(r.GetUpstream())
	address, ok := c.sidecarAddresses[u]
	if !ok {
		return &UpstreamUnknownError{Upstream: u}
	}
	client := ragwortv1connect.NewOrderServiceClient(c.e.deps.PeerClient, "http://"+address)
	rs, err := client.Apply(ctx, connect.NewRequest(&ragwortv1.ApplyRequest{Order: r}))
	switch {
	case err != nil:
		return &hosting.UnavailableError{Call: "apply", Cause: err}
	case !rs.Msg.GetApplied():
		return &OrderRefusedError{Upstream: u, Reason: rs.Msg.GetReason()}
	}
	return nil
}

// settleOrder records the outcome of an order on the log.
func (c *fleetController) settleOrder(ctx context.Context, r *ragwortv1.OrderDecided, outcome fleet.OrderOutcome, detail string) {
	c.e.count("order_" + r.GetKind() + "_" + string(outcome))
	err := c.task.do(ctx, func(ctx context.Context, term id.Term) error {
		_, err := c.e.deps.Writer.Append(ctx, time.Now(), &ragwortv1.Record{Body: &ragwortv1.Record_OrderSettled{
			OrderSettled: &ragwortv1.OrderSettled{Order: r.GetOrder(), Term: uint64(term), Outcome: string(outcome), Detail: detail},
		}})
		return err
	})
	_ = c.e.deps.Logger.Log("event", "order_settled", "order", r.GetOrder(), "kind", r.GetKind(), "term", r.GetTerm(),
		"outcome", outcome, "detail", detail, "err", err)
}
