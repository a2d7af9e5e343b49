package sidecar

// This file defines the orders that a sidecar carries out on its upstream. Some
// upstreams ignore fencing numbers; they get orders only through here, where an
// order with a lower term than the highest one seen or folded is refused.

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

// The reasons for which an order is refused, each with a counter.
const (
	orderStale   = "stale"   // a higher term is known
	orderLate    = "late"    // its deadline has passed
	orderUnknown = "unknown" // of a kind that sidecars do not carry out
	orderFailed  = "failed"  // the upstream did not take it
)

// keptOrders is how many applied orders are remembered, to recognise repeats.
const keptOrders = 64

// orders serves the OrderService. Orders are carried out one at a time, so that an
// old one cannot overtake a new one between the check and the upstream.
type orders struct {
	s *Sidecar

	apply sync.Mutex // held while an order is carried out

	mu           sync.Mutex // guards the next fields
	highest      id.Term
	applied      []id.Order
	drainedUntil time.Time
}

var _ ragwortv1connect.OrderServiceHandler = (*orders)(nil)

// Apply implements the OrderService.
func (o *orders) Apply(ctx context.Context, rq *connect.Request[ragwortv1.ApplyRequest]) (*connect.Response[ragwortv1.ApplyResponse], error) {
	order := rq.Msg.GetOrder()
	reason := o.carryOut(ctx, order)
	name := reason
	if reason == "" {
		name = "applied"
	}
	o.s.count("sidecar_order_" + name)
	_ = o.s.deps.Logger.Log("event", "order_"+name, "order", order.GetOrder(), "kind", order.GetKind(), "term", order.GetTerm())
	return connect.NewResponse(&ragwortv1.ApplyResponse{Applied: reason == "", Reason: reason}), nil
}

// carryOut returns the reason for refusing an order, or "" if it was applied.
func (o *orders) carryOut(ctx context.Context, order *ragwortv1.OrderDecided) string {
	o.apply.Lock()
	defer o.apply.Unlock()
	now := time.Now() // after the wait for the lock
	if refused, repeated := o.vet(now, order); refused != "" || repeated {
		return refused
	}
	switch fleet.OrderKind(order.GetKind()) {
	case fleet.Drain:
		o.drain(now)
	case fleet.LoadModel:
		if err := o.load(ctx, order); err != nil {
			_ = o.s.deps.Logger.Log("event", "order_upstream_failed", "order", order.GetOrder(), "err", err)
			return orderFailed
		}
	default:
		return orderUnknown
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applied = append(o.applied, id.Order(order.GetOrder()))
	o.applied = o.applied[max(0, len(o.applied)-keptOrders):]
	return ""
}

// vet refuses a stale or late order and recognises a repeated one. It is called
// with the lock on carrying out, after every wait.
func (o *orders) vet(now time.Time, order *ragwortv1.OrderDecided) (refused string, repeated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	term := id.Term(order.GetTerm())
	o.highest = max(o.highest, o.s.deps.State.Leases.Grant(id.DutyOrders).Term)
	if term < o.highest {
		return orderStale, false
	}
	o.highest = term
	for _, a := range o.applied {
		if a == id.Order(order.GetOrder()) {
			return "", true
		}
	}
	if now.UnixMilli() > order.GetDeadlineUnixMs() {
		return orderLate, false
	}
	return "", false
}

// drain takes the upstream out of work for a while. It comes back by itself if its
// orderer is lost before it stops the upstream.
func (o *orders) drain(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainedUntil = now.Add(fleet.DrainDuration)
}

// draining reports whether an order keeps the upstream from taking work.
func (o *orders) draining(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.drainedUntil)
}

// load passes an order to load a model on to the upstream, within its deadline.
func (o *orders) load(ctx context.Context, order *ragwortv1.OrderDecided) error {
	ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(order.GetDeadlineUnixMs()))
	defer cancel()
	body, err := json.Marshal(hosting.Order{
		ID: id.Order(order.GetOrder()), Kind: hosting.OrderKind(order.GetKind()), DataCentre: id.DataCentre(order.GetDataCentre()),
		Model: id.Model(order.GetModel()), Upstream: id.Upstream(order.GetUpstream()), FencingNumber: id.Term(order.GetTerm()), OrderedBy: o.s.cfg.Node,
	})
	if err != nil {
		return err
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, o.s.cfg.UpstreamURL+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	rs, err := o.s.deps.Client.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return &UpstreamOrderError{Status: rs.StatusCode}
	}
	return nil
}

// UpstreamOrderError says that the upstream refused an order.
type UpstreamOrderError struct{ Status int }

func (e *UpstreamOrderError) Error() string {
	return fmt.Sprintf("upstream answered an order with status %d", e.Status)
}
