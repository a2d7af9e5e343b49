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

// Kind is what an order asks for.
type Kind string

// The kinds of order. Drain goes to a sidecar, the others to the platform or,
// for upstreams that ignore fencing numbers, to a sidecar.
const (
	Start     Kind = "start"
	Stop      Kind = "stop"
	LoadModel Kind = "load_model"
	Drain     Kind = "drain"
)

// Outcome is how an order ended.
type Outcome string

// The outcomes. An expired order may have taken effect.
const (
	Done    Outcome = "done"
	Refused Outcome = "refused"
	Expired Outcome = "expired"
)

// keepSettled is how many settled orders are kept: those of the last minutes tell
// what is still expected to start, the older ones are for operators.
const keepSettled = 1024

// Decided is an order on the log. Its records are never changed.
type Decided struct {
	Record  *ragwortv1.OrderDecided
	Settled *ragwortv1.OrderSettled // nil: open
}

// Deadline returns the time after which the order is not sent any more.
func (d Decided) Deadline() time.Time { return time.UnixMilli(d.Record.GetDeadlineUnixMs()) }

// CanChange reports whether the order can have changed how many upstreams a site
// runs.
func (d Decided) CanChange(model id.Model, dc id.DataCentre) bool {
	kind := Kind(d.Record.GetKind())
	refused := Outcome(d.Settled.GetOutcome()) == Refused
	return (kind == Start || kind == Stop) && !refused &&
		id.Model(d.Record.GetModel()) == model && id.DataCentre(d.Record.GetDataCentre()) == dc
}

// Orders is safe for concurrent use.
type Orders struct {
	mu     sync.Mutex
	orders []Decided // in log order
}

// NewOrders returns an empty fold.
func NewOrders() *Orders { return &Orders{} }

// Decide folds an order of the holder of the current term.
func (o *Orders) Decide(r *ragwortv1.OrderDecided, current bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !current || r.GetOrder() == "" || o.find(r.GetOrder()) >= 0 {
		return false
	}
	o.orders = append(o.orders, Decided{Record: r})
	return true
}

// Settle folds the end of an order. The first settlement wins.
func (o *Orders) Settle(r *ragwortv1.OrderSettled, current bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := o.find(r.GetOrder())
	if !current || i < 0 || o.orders[i].Settled != nil {
		return false
	}
	o.orders[i].Settled = r
	o.prune()
	return true
}

func (o *Orders) find(order string) int {
	return slices.IndexFunc(o.orders, func(d Decided) bool { return d.Record.GetOrder() == order })
}

// prune drops the oldest settled orders beyond those kept. The caller holds the
// lock.
func (o *Orders) prune() {
	settled := 0
	for _, d := range o.orders {
		if d.Settled != nil {
			settled++
		}
	}
	o.orders = slices.DeleteFunc(o.orders, func(d Decided) bool {
		if d.Settled == nil || settled <= keepSettled {
			return false
		}
		settled--
		return true
	})
}

// All returns the orders that are kept, in log order.
func (o *Orders) All() []Decided {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.orders)
}

// Open returns the orders that are not settled, in log order.
func (o *Orders) Open() []Decided {
	return slices.DeleteFunc(o.All(), func(d Decided) bool { return d.Settled != nil })
}

// Snapshot writes the orders onto s, in log order.
func (o *Orders) Snapshot(s *ragwortv1.State) {
	s.Orders = nil
	for _, d := range o.All() {
		s.Orders = append(s.Orders, &ragwortv1.OrderState{Decided: proto.CloneOf(d.Record), Settled: proto.CloneOf(d.Settled)})
	}
}

// Restore replaces the orders by what Snapshot wrote.
func (o *Orders) Restore(s *ragwortv1.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orders = nil
	for _, d := range s.GetOrders() {
		o.orders = append(o.orders, Decided{Record: proto.CloneOf(d.GetDecided()), Settled: proto.CloneOf(d.GetSettled())})
	}
}
