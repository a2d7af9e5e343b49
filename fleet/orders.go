// Package fleet scales the number of upstreams that each data centre runs.
//
// Planner decides from measured demand what to start, drain and stop. It takes the
// time as an argument and performs no I/O. OrderTable is the state of the orders that
// carry out its decisions; it results from the order records of the platform's log.
package fleet

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// OrderKind is what an order does.
type OrderKind string

// The kinds of order. Start and stop orders are sent to the platform, and drain orders to
// the sidecar of the upstream. Orders to load a model are sent to the platform, or to the
// sidecar if the upstream does not check fencing numbers.
const (
	Start     OrderKind = "start"
	Stop      OrderKind = "stop"
	LoadModel OrderKind = "load_model"
	Drain     OrderKind = "drain"
)

// OrderOutcome is how an order ended.
type OrderOutcome string

// The outcomes of orders. An expired order may have taken effect.
const (
	Done    OrderOutcome = "done"
	Refused OrderOutcome = "refused"
	Expired OrderOutcome = "expired"
)

// maxSettledOrders is the number of settled orders that are kept. The orders of the
// last minutes are needed to find the upstreams that are still expected to start; older
// ones are kept for operators.
const maxSettledOrders = 1024

// Order is an order on the log. Its records must not be modified.
type Order struct {
	Record     *ragwortv1.OrderDecided
	Settlement *ragwortv1.OrderSettled // nil: the order is open
}

// Deadline returns the time after which the order is no longer sent.
func (o Order) Deadline() time.Time { return time.UnixMilli(o.Record.GetDeadlineUnixMs()) }

// MayResize reports whether the order can have changed the number of upstreams of a
// model in a data centre.
func (o Order) MayResize(model id.Model, dc id.DataCentre) bool {
	kind := OrderKind(o.Record.GetKind())
	refused := OrderOutcome(o.Settlement.GetOutcome()) == Refused
	return (kind == Start || kind == Stop) && !refused &&
		id.Model(o.Record.GetModel()) == model && id.DataCentre(o.Record.GetDataCentre()) == dc
}

// OrderTable holds the open orders and the newest settled ones. It is safe for
// concurrent use.
type OrderTable struct {
	mu     sync.Mutex
	orders []Order // in log order
}

// NewOrderTable returns an empty table.
func NewOrderTable() *OrderTable { return &OrderTable{} }

// ApplyDecided adds an order and reports whether it was accepted. The argument current
// says whether the record carries the current term of the orders lease.
func (o *OrderTable) ApplyDecided(r *ragwortv1.OrderDecided, current bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !current || r.GetOrder() == "" || o.find(r.GetOrder()) >= 0 {
		return false
	}
	o.orders = append(o.orders, Order{Record: r})
	return true
}

// ApplySettled settles an order and reports whether the settlement was accepted. Only
// the first settlement of an order is accepted.
func (o *OrderTable) ApplySettled(r *ragwortv1.OrderSettled, current bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := o.find(r.GetOrder())
	if !current || i < 0 || o.orders[i].Settlement != nil {
		return false
	}
	o.orders[i].Settlement = r
	o.prune()
	return true
}

// find returns the index of an order, or a negative number. The caller must hold o.mu.
func (o *OrderTable) find(order string) int {
	return slices.IndexFunc(o.orders, func(d Order) bool { return d.Record.GetOrder() == order })
}

// prune drops the oldest settled orders beyond maxSettledOrders. The caller must hold
// o.mu.
func (o *OrderTable) prune() {
	settled := 0
	for _, d := range o.orders {
		if d.Settlement != nil {
			settled++
		}
	}
	o.orders = slices.DeleteFunc(o.orders, func(d Order) bool {
		if d.Settlement == nil || settled <= maxSettledOrders {
			return false
		}
		settled--
		return true
	})
}

// All returns the orders that are kept, in log order.
func (o *OrderTable) All() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.orders)
}

// Open returns the orders that are not settled, in log order.
func (o *OrderTable) Open() []Order {
	return slices.DeleteFunc(o.All(), func(d Order) bool { return d.Settlement != nil })
}

// Snapshot writes the orders to s, in log order.
func (o *OrderTable) Snapshot(s *ragwortv1.State) {
	s.Orders = nil
	for _, d := range o.All() {
		s.Orders = append(s.Orders, &ragwortv1.OrderState{Decided: proto.CloneOf(d.Record), Settled: proto.CloneOf(d.Settlement)})
	}
}

// Restore replaces the orders with those of a snapshot.
func (o *OrderTable) Restore(s *ragwortv1.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders = nil
	for _, d := range s.GetOrders() {
		o.orders = append(o.orders, Order{Record: proto.CloneOf(d.GetDecided()), Settlement: proto.CloneOf(d.GetSettled())})
	}
}
