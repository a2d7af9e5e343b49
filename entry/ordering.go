package entry

// This file defines ordering, the work of the orders lease: it measures the
// fleet, decides orders on the log, gives them and settles them.

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

// OrderRefusedError says that a sidecar refused an order.
type OrderRefusedError struct {
	Upstream id.Upstream
	Reason   string
}

func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("sidecar of %s refused the order: %s", e.Upstream, e.Reason)
}

// UpstreamUnknownError says that no sidecar of an upstream is known.
type UpstreamUnknownError struct{ Upstream id.Upstream }

func (e *UpstreamUnknownError) Error() string {
	return fmt.Sprintf("no sidecar of %s is known", e.Upstream)
}

// ordering does the work of the orders lease.
type ordering struct {
	e         *Entry
	duty      *duty
	planner   *fleet.Planner
	measured  time.Time
	addresses map[id.Upstream]string // of the sidecars, when last measured
}

func newOrdering(e *Entry, control *logbook.Stream) *ordering {
	o := &ordering{e: e, planner: fleet.NewPlanner(e.cfg.Fleet)}
	o.duty = newDuty(e, control, id.DutyOrders, o.round)
	return o
}

// round ends what is open, then plans.
func (o *ordering) round(ctx context.Context) {
	for _, d := range o.e.deps.State.Orders.Open() {
		o.pursue(ctx, d.Record)
	}
	now := time.Now()
	if len(o.e.deps.State.Orders.Open()) > 0 || now.Sub(o.measured) < o.e.cfg.FleetEvery {
		return
	}
	m, ok := o.measure(ctx, now)
	if !ok {
		o.e.count("fleet_not_measured")
		return
	}
	o.measured = now
	for _, move := range o.planner.Step(now, m.sites()) {
		o.order(ctx, move)
	}
}

// measure looks at the fleet; it reports false if what it sees is not enough to
// decide on.
func (o *ordering) measure(ctx context.Context, now time.Time) (*measurement, bool) {
	vms, err := o.e.deps.Platform.ListVMs(ctx)
	if err != nil {
		return nil, false
	}
	m := &measurement{
		now: now, rules: o.e.deps.State.Rules(), views: o.e.survey(ctx, vms), vms: vms,
		orders: o.e.deps.State.Orders.All(), order: 2 * o.duty.cfg.MaxOrderLifetime,
		expect: o.e.cfg.Fleet.PendingTimeout,
	}
	o.addresses = make(map[id.Upstream]string, len(m.views))
	for i := range m.views {
		o.addresses[m.views[i].ID] = m.views[i].Address
	}
	return m, m.trusted()
}

// order decides an order on the log and gives it.
func (o *ordering) order(ctx context.Context, move fleet.Action) {
	now := time.Now()
	r := record(move)
	r.Order = id.New("order", now)
	r.DeadlineUnixMs = now.Add(2 * o.duty.cfg.MaxOrderLifetime).UnixMilli()
	var result logbook.Result
	err := o.duty.sendWithin(ctx, 2*o.duty.cfg.MaxOrderLifetime, func(ctx context.Context, term id.Term) error {
		r.Term = uint64(term)
		out, err := o.e.deps.Writer.Append(ctx, now, &ragwortv1.Record{Body: &ragwortv1.Record_OrderDecided{OrderDecided: r}})
		result = out.Result
		return err
	})
	_ = o.e.deps.Logger.Log("event", "order_decided", "order", r.GetOrder(), "kind", r.GetKind(), "data_centre", r.GetDataCentre(),
		"model", r.GetModel(), "upstream", r.GetUpstream(), "count", r.GetCount(), "term", r.GetTerm(), "result", result, "err", err)
	if err == nil && result == logbook.Accepted {
		o.pursue(ctx, r)
	}
}

// record returns the order that makes a move.
func record(move fleet.Action) *ragwortv1.OrderDecided {
	switch m := move.(type) {
	case *fleet.StartAction:
		return &ragwortv1.OrderDecided{Kind: string(fleet.Start), DataCentre: string(m.DataCentre), Model: string(m.Model), Count: uint32(m.Count)}
	case *fleet.DrainAction:
		return &ragwortv1.OrderDecided{Kind: string(fleet.Drain), DataCentre: string(m.DataCentre), Model: string(m.Model), Upstream: string(m.Upstream), Count: 1}
	case *fleet.StopAction:
		return &ragwortv1.OrderDecided{Kind: string(fleet.Stop), DataCentre: string(m.DataCentre), Model: string(m.Model), Upstream: string(m.Upstream), Count: 1}
	}
	panic("unreachable")
}

// pursue gives an open order, or settles it as expired if it is another holder's or
// late. Giving it again under its id changes nothing.
func (o *ordering) pursue(ctx context.Context, r *ragwortv1.OrderDecided) {
	err := o.duty.send(ctx, func(ctx context.Context, term id.Term) error {
		if id.Term(r.GetTerm()) != term || time.Now().UnixMilli() >= r.GetDeadlineUnixMs() {
			return context.DeadlineExceeded
		}
		ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(r.GetDeadlineUnixMs()))
		defer cancel()
		return o.give(ctx, r)
	})
	var away *hosting.UnavailableError
	var notHolding *NotHoldingError
	switch {
	case err == nil:
		o.settle(ctx, r, fleet.Done, "")
	case errors.As(err, &notHolding), errors.As(err, &away):
		o.e.count("order_" + r.GetKind() + "_unanswered")
	case errors.Is(err, context.DeadlineExceeded):
		o.settle(ctx, r, fleet.Expired, err.Error())
	default:
		o.settle(ctx, r, fleet.Refused, err.Error())
	}
}

// give sends an order to whoever checks its term: the platform, or the sidecar of
// an upstream that ignores terms.
func (o *ordering) give(ctx context.Context, r *ragwortv1.OrderDecided) error {
	kind := fleet.OrderKind(r.GetKind())
	if kind == fleet.Drain || (kind == fleet.LoadModel && !o.checks(r)) {
		return o.giveSidecar(ctx, r)
	}
	return o.e.deps.Platform.SubmitOrder(ctx, hosting.Order{
		ID: id.Order(r.GetOrder()), Kind: hosting.OrderKind(r.GetKind()), DataCentre: id.DataCentre(r.GetDataCentre()),
		Model: id.Model(r.GetModel()), Upstream: id.Upstream(r.GetUpstream()), Count: int(r.GetCount()),
		FencingNumber: id.Term(r.GetTerm()), OrderedBy: o.duty.cfg.Holder,
	})
}

// checks reports whether the rules say that the upstream checks fencing numbers.
func (o *ordering) checks(r *ragwortv1.OrderDecided) bool {
	u := o.e.deps.State.Rules().UpstreamFor(id.Upstream(r.GetUpstream()), []id.Model{id.Model(r.GetModel())}, "")
	return u != nil && u.Fencing == rule.FencingChecks
}

func (o *ordering) giveSidecar(ctx context.Context, r *ragwortv1.OrderDecided) error {
	u := id.Upstream(r.GetUpstream())
	address, ok := o.addresses[u]
	if !ok {
		return &UpstreamUnknownError{Upstream: u}
	}
	client := ragwortv1connect.NewOrderServiceClient(o.e.deps.Peers, "http://"+address)
	rs, err := client.Apply(ctx, connect.NewRequest(&ragwortv1.ApplyRequest{Order: r}))
	switch {
	case err != nil:
		return &hosting.UnavailableError{Call: "apply", Cause: err}
	case !rs.Msg.GetApplied():
		return &OrderRefusedError{Upstream: u, Reason: rs.Msg.GetReason()}
	}
	return nil
}

// settle notes on the log how an order ended.
func (o *ordering) settle(ctx context.Context, r *ragwortv1.OrderDecided, outcome fleet.OrderOutcome, detail string) {
	o.e.count("order_" + r.GetKind() + "_" + string(outcome))
	err := o.duty.send(ctx, func(ctx context.Context, term id.Term) error {
		_, err := o.e.deps.Writer.Append(ctx, time.Now(), &ragwortv1.Record{Body: &ragwortv1.Record_OrderSettled{
			OrderSettled: &ragwortv1.OrderSettled{Order: r.GetOrder(), Term: uint64(term), Outcome: string(outcome), Detail: detail},
		}})
		return err
	})
	_ = o.e.deps.Logger.Log("event", "order_settled", "order", r.GetOrder(), "kind", r.GetKind(), "term", r.GetTerm(),
		"outcome", outcome, "detail", detail, "err", err)
}
