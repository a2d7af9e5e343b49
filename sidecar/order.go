package sidecar

// This file defines the orders that a sidecar executes on its upstream. Upstreams that
// ignore fencing numbers receive orders only through their sidecar, which refuses an order
// whose term is lower than the highest one it has seen or applied from the log.

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
	"github.com/ragwortpass/ragwortpass/response"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

// The reasons for refusing an order, each counted separately.
const (
	refusedStale   = "stale"   // a higher term is known
	refusedLate    = "late"    // its deadline has passed
	refusedUnknown = "unknown" // of a kind that sidecars do not execute
	refusedFailed  = "failed"  // the upstream did not accept it
)

const (
	// maxRememberedOrders is how many executed orders are remembered to recognise repeats.
	maxRememberedOrders = 64
	// maxConfirmationBytes limits the response of an upstream to an order.
	maxConfirmationBytes = 64 << 10
)

// orderService implements the OrderService. It executes one order at a time, so that an
// old order cannot overtake a new one between the check and the upstream.
type orderService struct {
	s *Sidecar

	execution sync.Mutex // held while an order is executed

	mu           sync.Mutex // guards the following fields
	highestTerm  id.Term    // of the orders and grants seen
	applied      []id.Order // the latest executed orders
	drainedUntil time.Time  // when the last drain order ceases to apply
}

var _ ragwortv1connect.OrderServiceHandler = (*orderService)(nil)

// Apply implements ragwortv1connect.OrderServiceHandler.
func (o *orderService) Apply(ctx context.Context, rq *connect.Request[ragwortv1.ApplyRequest]) (*connect.Response[ragwortv1.ApplyResponse], error) {
	order := rq.Msg.GetOrder()
	reason := o.execute(ctx, order)
	result := reason
	if reason == "" {
		result = "applied"
	}
	o.s.count("sidecar_order_" + result)
	_ = o.s.deps.Logger.Log("event", "order_"+result, "order", order.GetOrder(), "kind", order.GetKind(), "term", order.GetTerm())
	return connect.NewResponse(&ragwortv1.ApplyResponse{Applied: reason == "", Reason: reason}), nil
}

// execute executes an order. It returns the reason for refusing it, or "".
func (o *orderService) execute(ctx context.Context, order *ragwortv1.OrderDecided) string {
	o.execution.Lock()
	defer o.execution.Unlock()
	now := time.Now() // after the wait for the lock
	if refused, isRepeat := o.check(now, order); refused != "" || isRepeat {
		return refused
	}
	switch fleet.OrderKind(order.GetKind()) {
	case fleet.Drain:
		o.startDrain(now)
	case fleet.LoadModel:
		if err := o.loadModel(ctx, order); err != nil {
			_ = o.s.deps.Logger.Log("event", "order_upstream_failed", "order", order.GetOrder(), "err", err)
			return refusedFailed
		}
	default:
		return refusedUnknown
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applied = append(o.applied, id.Order(order.GetOrder()))
	o.applied = o.applied[max(0, len(o.applied)-maxRememberedOrders):]
	return ""
}

// check refuses a stale or late order and recognises a repeated one. The caller must hold
// the execution lock and take now after acquiring it.
func (o *orderService) check(now time.Time, order *ragwortv1.OrderDecided) (refused string, isRepeat bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	term := id.Term(order.GetTerm())
	o.highestTerm = max(o.highestTerm, o.s.deps.State.Leases.Grant(id.DutyOrders).Term)
	if term < o.highestTerm {
		return refusedStale, false
	}
	o.highestTerm = term
	for _, a := range o.applied {
		if a == id.Order(order.GetOrder()) {
			return "", true
		}
	}
	if now.UnixMilli() > order.GetDeadlineUnixMs() {
		return refusedLate, false
	}
	return "", false
}

// startDrain makes the upstream take no new work for fleet.DrainDuration. The drain ends by
// itself, in case the order's sender fails before it stops the upstream.
func (o *orderService) startDrain(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drainedUntil = now.Add(fleet.DrainDuration)
}

// draining reports whether a drain order applies to the upstream at a time.
func (o *orderService) draining(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.drainedUntil)
}

// loadModel passes an order to load a model to the upstream, within the order's deadline.
func (o *orderService) loadModel(ctx context.Context, order *ragwortv1.OrderDecided) error {
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
	rs, err := o.s.deps.OnceClient.Do(rq) // on a kept connection, the response of an earlier call could count as the order's
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return &UpstreamOrderError{Status: rs.StatusCode}
	}
	_, err = response.ReadBody(rs.Body, maxConfirmationBytes) // a part of a response confirms nothing
	return err
}

// UpstreamOrderError reports that the upstream refused an order.
type UpstreamOrderError struct{ Status int }

func (e *UpstreamOrderError) Error() string {
	return fmt.Sprintf("upstream refused an order with status %d", e.Status)
}
