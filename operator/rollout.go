package operator

// This file defines Rollouts, the operations of operators on roll-outs of the users' platform: they order
// and withdraw them, and see how far they are. Each change is made on the condition that nothing
// else was written since the operator's view was read.

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// RolloutOrder is an order to move the traffic of a service to a version within a time.
type RolloutOrder struct {
	Service id.Service    `json:"service"`
	Target  id.Version    `json:"target"`
	Within  time.Duration `json:"within"`
}

// RolloutStep is how far the gateways have got with an order.
type RolloutStep struct {
	Name   string    `json:"name"`
	Final  bool      `json:"final"`
	Reason string    `json:"reason"`
	By     id.Node   `json:"by"`
	At     time.Time `json:"at"`
}

// Rollout is what the store holds about the roll-out of a service.
type Rollout struct {
	Service     id.Service         `json:"service"`
	Order       *RolloutOrder      `json:"order,omitempty"`        // nil: none, or it cannot be read
	OrderFault  string             `json:"order_fault,omitempty"`  // why the order cannot be read
	State       string             `json:"state,omitempty"`        // as the router reports it; empty: not yet
	Target      id.Version         `json:"state_target,omitempty"` // of the state
	StatusFault string             `json:"status_fault,omitempty"` // why the status cannot be read
	Step        *RolloutStep       `json:"step,omitempty"`         // of this order; nil: none is known
	Upstreams   map[id.Version]int `json:"upstreams"`              // that are listed, by version
}

// Running reports whether the order is being carried out, or is still to be taken up.
func (r *Rollout) Running() bool {
	if r.Step != nil {
		return !r.Step.Final
	}
	return r.Order != nil && (r.Target != r.Order.Target || r.State == rolloutRunning)
}

// rolloutRunning is the state of a roll-out that has not ended.
const rolloutRunning = "running"

// String describes the roll-out in one line.
func (r *Rollout) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "service=%s", r.Service)
	if r.Order != nil {
		fmt.Fprintf(&b, " target=%s within=%s", r.Order.Target, r.Order.Within)
	}
	if r.State != "" {
		fmt.Fprintf(&b, " state=%s state_target=%s", r.State, r.Target)
	}
	if r.Step != nil {
		fmt.Fprintf(&b, " step=%s reason=%s by=%s at=%s", r.Step.Name, r.Step.Reason, r.Step.By, r.Step.At.UTC().Format(time.RFC3339))
	}
	if r.OrderFault != "" {
		fmt.Fprintf(&b, " order_fault=%q", r.OrderFault)
	}
	if r.StatusFault != "" {
		fmt.Fprintf(&b, " status_fault=%q", r.StatusFault)
	}
	for _, version := range slices.Sorted(maps.Keys(r.Upstreams)) {
		fmt.Fprintf(&b, " upstreams[%s]=%d", version, r.Upstreams[version])
	}
	return b.String()
}

// RolloutView is what the store holds about all roll-outs.
type RolloutView struct {
	Rollouts map[id.Service]*Rollout // of services with an order or a status, and of those of the catalog
	Services []id.Service            // of the catalog, sorted
	At       feed.Position           // end of the operators' topic
}

// RolloutStore is the store on which operators order roll-outs.
type RolloutStore interface {
	ReadRollouts(ctx context.Context) (*RolloutView, error)
	// PutRollout writes an order if the operators' topic still ends at a position; a nil order
	// withdraws that for the service. It reports false if the topic ends elsewhere. After another
	// error than a refusal the order may have been written.
	PutRollout(ctx context.Context, at feed.Position, service id.Service, o *RolloutOrder) (bool, error)
}

// Rollouts performs the operations of an operator on roll-outs.
type Rollouts struct{ store RolloutStore }

// NewRollouts returns the operations on a store.
func NewRollouts(store RolloutStore) *Rollouts { return &Rollouts{store} }

// UnknownServiceError means that no service has a name.
type UnknownServiceError struct {
	Service id.Service
	Known   []id.Service
}

func (e *UnknownServiceError) Error() string {
	return fmt.Sprintf("unknown service %q: expected one of %v", e.Service, e.Known)
}

// RolloutRunningError means that another roll-out of the service has not ended.
type RolloutRunningError struct{ Rollout *Rollout }

func (e *RolloutRunningError) Error() string {
	return fmt.Sprintf("service %s: its roll-out to %s has not ended: wait, withdraw it, or replace it", e.Rollout.Service, e.Rollout.Order.Target)
}

// NoRolloutError means that there is no order to withdraw.
type NoRolloutError struct{ Service id.Service }

func (e *NoRolloutError) Error() string {
	return fmt.Sprintf("service %q has no order of a roll-out", e.Service)
}

// ErrBusyStore means that others wrote to the store each time before a change could be made.
var ErrBusyStore = errors.New("the store changed again and again before the order could be written; try again")

// maxOrderTries is how often a change is tried when others write at the same time.
const maxOrderTries = 10

// Order writes an order. It replaces one that has not ended only if replace is true. An order that
// is on the store already as it should be is not written again unless its roll-out has ended.
func (r *Rollouts) Order(ctx context.Context, o RolloutOrder, replace bool) error {
	return r.change(ctx, o.Service, &o, func(v *RolloutView) (done bool, err error) {
		if !slices.Contains(v.Services, o.Service) {
			return false, &UnknownServiceError{Service: o.Service, Known: v.Services}
		}
		now := v.Rollouts[o.Service]
		switch {
		case now == nil || !now.Running():
			return false, nil
		case *now.Order == o:
			return true, nil
		case !replace:
			return false, &RolloutRunningError{Rollout: now}
		}
		return false, nil
	})
}

// Withdraw deletes the order for a service, also one that cannot be read.
func (r *Rollouts) Withdraw(ctx context.Context, service id.Service) error {
	tried := false
	return r.change(ctx, service, nil, func(v *RolloutView) (done bool, err error) {
		now := v.Rollouts[service]
		if now == nil || now.Order == nil && now.OrderFault == "" {
			if tried {
				return true, nil // the call before was executed
			}
			return false, &NoRolloutError{Service: service}
		}
		tried = true
		return false, nil
	})
}

// change writes an order unless check reports that it is done. It tries again if something else was
// written after the view was read.
func (r *Rollouts) change(ctx context.Context, service id.Service, o *RolloutOrder, check func(*RolloutView) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for range maxOrderTries {
		v, err := r.store.ReadRollouts(ctx)
		if err != nil {
			return err
		}
		done, err := check(v)
		if done || err != nil {
			return err
		}
		written, err := r.store.PutRollout(ctx, v.At, service, o)
		if written || err != nil {
			return err
		}
	}
	return ErrBusyStore
}

// Show returns what the store holds about the roll-out of a service, or of all services with an order or a
// status if the name is empty.
func (r *Rollouts) Show(ctx context.Context, service id.Service) ([]*Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	v, err := r.store.ReadRollouts(ctx)
	if err != nil {
		return nil, err
	}
	if service != "" {
		one := v.Rollouts[service]
		if one == nil {
			return nil, &UnknownServiceError{Service: service, Known: v.Services}
		}
		return []*Rollout{one}, nil
	}
	shown := []*Rollout{}
	for _, name := range slices.Sorted(maps.Keys(v.Rollouts)) {
		one := v.Rollouts[name]
		if one.Order != nil || one.OrderFault != "" || one.State != "" || one.StatusFault != "" {
			shown = append(shown, one)
		}
	}
	return shown, nil
}
