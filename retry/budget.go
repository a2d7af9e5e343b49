package retry

// This file defines Budget, a token bucket that requests fill and retries empty,
// and Budgets, one for each class.

import (
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// ratio is the retries that each request earns its class.
	ratio = 0.2
	// reserve bounds the retries saved up. It covers the answers that one entry
	// has in flight in a data centre that is lost at once.
	reserve = 64.0
	// refill restores the reserve of a class with few requests.
	refill = 1.0 // retries a second

	comeBack = 2 * time.Second // advice to a caller whose request was given up
)

// Budget is the retries that one class may still spend. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// NewBudget returns a budget with a full reserve.
func NewBudget(now time.Time) *Budget {
	return &Budget{tokens: reserve, filled: now}
}

// Earn counts a new request.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.tokens = min(reserve, b.tokens+ratio)
}

// Spend takes one retry; it reports false if none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// fill adds what time has earned. The caller holds the lock.
func (b *Budget) fill(now time.Time) {
	if d := now.Sub(b.filled); d > 0 {
		b.tokens = min(reserve, b.tokens+refill*d.Seconds())
		b.filled = now
	}
}

// Budgets holds the budget of each class. It is safe for concurrent use.
type Budgets struct {
	byClass sync.Map // id.Class to *Budget
}

// ForClass returns the budget of class c.
func (s *Budgets) ForClass(now time.Time, c id.Class) *Budget {
	if b, ok := s.byClass.Load(c); ok {
		return b.(*Budget)
	}
	b, _ := s.byClass.LoadOrStore(c, NewBudget(now))
	return b.(*Budget)
}
