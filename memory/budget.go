// Package memory bounds what a process keeps of what others have sent it, and of those who keep it
// waiting: connections of callers, their requests, and the responses of upstreams. None of them
// must end the process, or take the memory that others need.
package memory

// This file defines Budget, and the budgets into which the memory of a process is divided.

import (
	"errors"
	"fmt"
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// MaxProcessMB is the largest memory of a process, a petabyte.
	MaxProcessMB = 1 << 30
	// defaultProcessMB is the memory of a process of which it is not known.
	defaultProcessMB = 2 << 10
)

// The parts of the memory of a process. The rest is for the program itself, the state of its fleet and
// what the garbage collector has not found yet.
const (
	connectionFraction = 0.25
	requestFraction    = 0.35
	responseFraction   = 0.15
	readyFraction      = 0.02
	peerFraction       = 0.04
	pageFraction       = 0.02
)

// UrgencyReserve is the part of the memory for requests that those of each urgency leave to the more urgent
// ones.
const UrgencyReserve = 0.05

// ErrFull means that a holder has all the memory that it may have. The error that says so is a *FullError.
var ErrFull = errors.New("no memory")

// FullError is why a share did not grow.
type FullError struct {
	Asked int64 // bytes
	Held  int64 // bytes that the holder had
	Used  int64 // bytes that all had
	Limit int64 // bytes for all
}

func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for %d bytes: the holder has %d, all have %d of %d", e.Asked, e.Held, e.Used, e.Limit)
}

// Is implements the interface of errors.Is.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// Holder is who memory is kept for: an upstream, a workspace or a connection.
type Holder string

// Budget counts memory by holder. Each holder may have as much as is free. n holders that ask for more
// than there is leave one part in n+1 to the others if they grow alike, and one in 2^n if they take what
// they can get one after the other and keep it. It is safe for concurrent use.
type Budget struct {
	limit int64 // bytes

	mu       sync.Mutex
	used     int64 // bytes
	byHolder map[Holder]int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{limit: bytes, byHolder: make(map[Holder]int64)}
}

// reserve reserves memory for a holder, which leaves a part of the whole to others.
func (b *Budget) reserve(h Holder, bytes int64, left float64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.check(h, bytes, left); err != nil {
		return err
	}
	b.used += bytes
	b.byHolder[h] += bytes
	return nil
}

// check returns why there is no memory for a holder, or nil. The caller holds the lock.
func (b *Budget) check(h Holder, bytes int64, left float64) error {
	limit := b.limit - int64(left*float64(b.limit))
	if held := b.byHolder[h]; held+bytes > limit-b.used-bytes {
		return &FullError{Asked: bytes, Held: held, Used: b.used, Limit: b.limit}
	}
	return nil
}

// release gives back what was reserved for a holder.
func (b *Budget) release(h Holder, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
	if b.byHolder[h] -= bytes; b.byHolder[h] == 0 {
		delete(b.byHolder, h)
	}
}

// Used returns the bytes that are in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Share is memory of a holder. It must be released. It is not safe for concurrent use.
type Share struct {
	budget *Budget
	holder Holder
	left   float64 // part of the budget that is left to others
	bytes  int64
}

// Share returns a share of a holder, which has reserved nothing yet.
func (b *Budget) Share(h Holder) *Share { return &Share{budget: b, holder: h} }

// ShareLeaving returns a share that does not grow into a part of the whole, from 0 to 1, which is left to
// others that matter more.
func (b *Budget) ShareLeaving(h Holder, left float64) *Share {
	return &Share{budget: b, holder: h, left: left}
}

// GrowTo reserves what the share lacks of a size in bytes. The error is a *FullError.
func (s *Share) GrowTo(bytes int64) error {
	if bytes <= s.bytes {
		return nil
	}
	if err := s.budget.reserve(s.holder, bytes-s.bytes, s.left); err != nil {
		return err
	}
	s.bytes = bytes
	return nil
}

// Fits returns why the share cannot grow to a size in bytes now, or nil. It reserves nothing.
func (s *Share) Fits(bytes int64) error {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if bytes <= s.bytes {
		return nil
	}
	return s.budget.check(s.holder, bytes-s.bytes, s.left)
}

// ShrinkTo gives back what the share has beyond a size in bytes.
func (s *Share) ShrinkTo(bytes int64) {
	if bytes < s.bytes {
		s.budget.release(s.holder, s.bytes-bytes)
		s.bytes = bytes
	}
}

// Release gives everything back.
func (s *Share) Release() { s.ShrinkTo(0) }

// Budgets are the budgets of a process.
type Budgets struct {
	Connections *Budget // open connections and the heads that arrive on them, by connection
	Requests    *Budget // requests that are being served, with their heads and bodies, by workspace
	Responses   *Budget // what upstreams have sent and callers have not got yet, by upstream
	// Connections to the servers that callers have no business with, with what is sent on them, by connection.
	Ready *Budget // the check of readiness
	Peers *Budget // calls of peers
	Pages *Budget // metrics and other pages of operators
}

// NewBudgets returns the budgets of a process with the given memory in megabytes; zero: not known.
func NewBudgets(processMB float64) *Budgets {
	if processMB <= 0 {
		processMB = defaultProcessMB
	}
	part := func(fraction float64) *Budget { return NewBudget(int64(processMB * fraction * (1 << 20))) }
	return &Budgets{
		Connections: part(connectionFraction), Requests: part(requestFraction), Responses: part(responseFraction),
		Ready: part(readyFraction), Peers: part(peerFraction), Pages: part(pageFraction),
	}
}

// Register registers gauges of what is in use and of the limits, in bytes.
func (b *Budgets) Register(r metrics.Registry) error {
	var errs []error
	for name, budget := range map[string]*Budget{
		"connections": b.Connections, "requests": b.Requests, "responses": b.Responses, "ready": b.Ready, "peers": b.Peers, "pages": b.Pages,
	} {
		errs = append(errs,
			r.Register("memory_used_bytes_"+name, metrics.NewFunctionalGauge(budget.Used)),
			r.Register("memory_limit_bytes_"+name, metrics.NewFunctionalGauge(func() int64 { return budget.limit })))
	}
	return errors.Join(errs...)
}
