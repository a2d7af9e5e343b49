// Package fleet decides how many upstreams each data centre runs, and keeps the
// orders by which that is done.
//
// Orders is the fold of the order records of the platform's log. Planner decides
// from measured demand; it is a step that takes the time as an argument.
package fleet

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// OrderKind is what an order asks for.
type OrderKind string

// The kinds of order. Drain goes to a sidecar, the others to the platform or,
// for upstreams that ignore fencing numbers, to a sidecar.
const (
	Start     OrderKind = "start"
	Stop      OrderKind = "stop"
	LoadModel OrderKind = "load_model"
	Drain     OrderKind = "drain"
)

// OrderOutcome is how an order ended.
type OrderOutcome string

// The outcomes. An expired order may have taken effect.
const (
	Done    OrderOutcome = "done"
	Refused OrderOutcome = "refused"
	Expired OrderOutcome = "expired"
)

// keepSettled is how many settled orders are kept: those of the last minutes tell
// what is still expected to start, the older ones are for operators.
const keepSettled = 1024

// Order is an order on the log. Its records are never changed.
type Order struct {
	Record     *ragwortv1.OrderDecided
	Settlement *ragwortv1.OrderSettled // nil: open
}

// Deadline returns the time after which the order is not sent any more.
func (d Order) Deadline() time.Time { return time.UnixMilli(d.Record.GetDeadlineUnixMs()) }

// MayResize reports whether the order can have changed how many upstreams a site
// runs.
func (d Order) MayResize(model id.Model, dc id.DataCentre) bool {
	kind := OrderKind(d.Record.GetKind())
	refused := OrderOutcome(d.Settlement.GetOutcome()) == Refused
	return (kind == Start || kind == Stop) && !refused &&
		id.Model(d.Record.GetModel()) == model && id.DataCentre(d.Record.GetDataCentre()) == dc
}

// OrderTable is safe for concurrent use.
type OrderTable struct {
	mu     sync.Mutex
	orders []Order // in log order
}

// NewOrderTable returns an empty fold.
func NewOrderTable() *OrderTable { return &OrderTable{} }

// ApplyDecided folds an order of the holder of the current term.
func (o *OrderTable) ApplyDecided(r *ragwortv1.OrderDecided, current bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !current || r.GetOrder() == "" || o.find(r.GetOrder()) >= 0 {
		return false
	}
	o.orders = append(o.orders, Order{Record: r})
	return true
}

// ApplySettled folds the end of an order. The first settlement wins.
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

func (o *OrderTable) find(order string) int {
	return slices.IndexFunc(o.orders, func(d Order) bool { return d.Record.GetOrder() == order })
}

// prune drops the oldest settled orders beyond those kept. The caller holds the
// lock.
func (o *OrderTable) prune() {
	settled := 0
	for _, d := range o.orders {
		if d.Settlement != nil {
			settled++
		}
	}
	o.orders = slices.DeleteFunc(o.orders, func(d Order) bool {
		if d.Settlement == nil || settled <= keepSettled {
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

// Snapshot writes the orders onto s, in log order.
func (o *OrderTable) Snapshot(s *ragwortv1.State) {
	s.Orders = nil
	for _, d := range o.All() {
		s.Orders = append(s.Orders, &ragwortv1.OrderState{Decided: proto.CloneOf(d.Record), Settled: proto.CloneOf(d.Settlement)})
	}
}

// Restore replaces the orders by what Snapshot wrote.
func (o *OrderTable) Restore(s *ragwortv1.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders = nil
	for _, d := range s.GetOrders() {
		o.orders = append(o.orders, Order{Record: proto.CloneOf(d.GetDecided()), Settlement: proto.CloneOf(d.GetSettled())})
	}
}
