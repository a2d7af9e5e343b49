package gateway

// This file defines Budgets, which bounds how many requests are sent to a second
// upstream. The bound holds for the whole fleet: in any window, repeats at a service
// are at most a ratio of its requests plus a slack. Each entry counts the ratio of
// its own requests and its part of the slack, so that the sum keeps the bound.
//
// It answers a failure of many upstreams at once, when every request would be
// repeated and double the load of those left.

import (
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// RetryBudgetConfig is the bound of the whole fleet.
type RetryBudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// budgetUse is the part of the bound that entries use together: a restarted one has
	// forgotten what it sent, and for a moment entries differ in how many are alive.
	budgetUse = 0.5
	// budgetSlots divides the window that is counted.
	budgetSlots = 10
)

// RetryBudgets is the budget of each service. It is safe for concurrent use.
type RetryBudgets struct {
	mu      sync.Mutex
	cfg     RetryBudgetConfig
	entries int
	byName  map[id.Service]*budget
}

// NewRetryBudgets returns budgets of which nothing is spent.
func NewRetryBudgets(cfg RetryBudgetConfig) *RetryBudgets {
	return &RetryBudgets{cfg: cfg, entries: 1, byName: make(map[id.Service]*budget)}
}

// SetGateways says how many entries share the slack.
func (b *RetryBudgets) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, n)
}

// Configure changes the bound of the fleet.
func (b *RetryBudgets) Configure(cfg RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg = cfg
}

// CountRequest counts a new request for a service.
func (b *RetryBudgets) CountRequest(now time.Time, s id.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(now, s).slots[0].requests++
}

// TakeRetry takes one repeat; it reports false if the budget is spent.
func (b *RetryBudgets) TakeRetry(now time.Time, s id.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.of(now, s)
	requests, repeats := 0, 0
	for _, slot := range x.slots {
		requests += slot.requests
		repeats += slot.repeats
	}
	allowed := budgetUse * (b.cfg.Ratio*float64(requests) + b.cfg.Slack/float64(b.entries))
	if float64(repeats+1) > allowed {
		return false
	}
	x.slots[0].repeats++
	return true
}

// budget counts what one service was sent in the slots of the last window, the
// newest first.
type budget struct {
	start time.Time // of the newest slot
	slots [budgetSlots + 1]struct{ requests, repeats int }
}

// of returns the budget of a service with its slots moved on to now.
func (b *RetryBudgets) of(now time.Time, s id.Service) *budget {
	x := b.byName[s]
	if x == nil {
		x = &budget{start: now}
		b.byName[s] = x
	}
	width := b.cfg.Window / budgetSlots
	for n := 0; width > 0 && now.Sub(x.start) >= width && n <= budgetSlots; n++ {
		copy(x.slots[1:], x.slots[:])
		x.slots[0].requests, x.slots[0].repeats = 0, 0
		x.start = x.start.Add(width)
	}
	if width > 0 && now.Sub(x.start) >= width {
		x.start = now
	}
	return x
}
