package gateway

// This file defines RetryBudgets, which limits how many requests are sent to another
// upstream after a failure. The limit holds for the whole fleet: in any window, the
// retries at a service are at most a ratio of its requests plus a slack. Each gateway
// applies the ratio to its own requests and takes an equal part of the slack, so that
// all together keep within the limit.
//
// Without a budget, a failure of many upstreams at once would cause a retry of every
// request and double the load on the remaining upstreams.

import (
	"math"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
)

// RetryBudgetConfig is the retry limit of the whole fleet.
type RetryBudgetConfig struct {
	Ratio  float64       // retries for each request
	Slack  float64       // retries in a window beyond the ratio
	Window time.Duration // in which requests and retries are counted
}

const (
	// usableFraction is the part of the limit that the gateways use. The rest is a margin:
	// a restarted gateway has lost its counts, and gateways may disagree for a moment on
	// how many of them are alive.
	usableFraction = 0.5
	// windowSlots is the number of slots into which a window is divided for counting.
	windowSlots = 10
)

// RetryBudgets holds this gateway's retry budget for each service. It is safe for
// concurrent use.
type RetryBudgets struct {
	mu        sync.Mutex
	cfg       RetryBudgetConfig
	fleet     quota.Fleet // shares the slack
	byService map[id.Service]*serviceBudget
}

// NewRetryBudgets returns budgets without any requests or retries.
func NewRetryBudgets(cfg RetryBudgetConfig) *RetryBudgets {
	return &RetryBudgets{cfg: cfg, byService: make(map[id.Service]*serviceBudget)}
}

// SetFleet sets which gateways share the slack.
func (b *RetryBudgets) SetFleet(f quota.Fleet) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fleet = f
}

// Configure changes the retry limit of the fleet.
func (b *RetryBudgets) Configure(cfg RetryBudgetConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg = cfg
}

// CountRequest counts a new request for a service, which adds to its budget.
func (b *RetryBudgets) CountRequest(now time.Time, s id.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now, s).slots[0].requests++
}

// TakeRetry takes one retry from the budget of a service. It reports false if the
// budget is exhausted.
func (b *RetryBudgets) TakeRetry(now time.Time, s id.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.advance(now, s)
	if b.left(budget) < 1 {
		return false
	}
	budget.slots[0].retries++
	return true
}

// Left returns how many retries the budget of a service has left. It changes nothing.
func (b *RetryBudgets) Left(now time.Time, s id.Service) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := RetryBudgets{cfg: b.cfg, fleet: b.fleet, byService: make(map[id.Service]*serviceBudget)}
	if budget := b.byService[s]; budget != nil {
		present := *budget
		c.byService[s] = &present
	}
	return max(0, c.left(c.advance(now, s)))
}

// left returns how many retries a budget that was advanced has left. The caller holds the lock.
func (b *RetryBudgets) left(budget *serviceBudget) float64 {
	requests, retries := 0, 0
	for _, slot := range budget.slots {
		requests += slot.requests
		retries += slot.retries
	}
	return math.Floor(usableFraction*(b.cfg.Ratio*float64(requests)+b.fleet.Part(b.cfg.Slack))) - float64(retries)
}

// serviceBudget counts the requests and retries of one service in the slots of the last
// window, the newest slot first.
type serviceBudget struct {
	newestStart time.Time // when the newest slot started
	slots       [windowSlots + 1]struct{ requests, retries int }
}

// advance returns the budget of a service after shifting its slots to the current time.
func (b *RetryBudgets) advance(now time.Time, s id.Service) *serviceBudget {
	budget := b.byService[s]
	if budget == nil {
		budget = &serviceBudget{newestStart: now}
		b.byService[s] = budget
	}
	width := b.cfg.Window / windowSlots
	for n := 0; width > 0 && now.Sub(budget.newestStart) >= width && n <= windowSlots; n++ {
		copy(budget.slots[1:], budget.slots[:])
		budget.slots[0].requests, budget.slots[0].retries = 0, 0
		budget.newestStart = budget.newestStart.Add(width)
	}
	if width > 0 && now.Sub(budget.newestStart) >= width {
		budget.newestStart = now
	}
	return budget
}
