package retry

// This file defines Budget, a token bucket that new requests and time fill and
// retries drain, and Budgets, which holds one per class.

import (
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// retriesPerRequest is the number of retries that each new request adds to the
	// budget of its class.
	retriesPerRequest = 0.2
	// maxSavedRetries bounds the budget. It covers the answers that one entry has in
	// flight in a data centre that fails as a whole.
	maxSavedRetries = 64.0
	// refillPerSecond restores the budget of a class with few requests.
	refillPerSecond = 1.0 // retries

	retryAfterAdvice = 2 * time.Second // Retry-After of a request that is given up
)

// Budget holds the retries that one class may still spend. It is safe for
// concurrent use.
type Budget struct {
	mu         sync.Mutex
	retries    float64
	lastRefill time.Time
}

// NewBudget returns a full budget.
func NewBudget(now time.Time) *Budget {
	return &Budget{retries: maxSavedRetries, lastRefill: now}
}

// Earn adds the retries that a new request earns.
func (b *Budget) Earn(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.retries = min(maxSavedRetries, b.retries+retriesPerRequest)
}

// Spend takes one retry; it reports false if none is left.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.retries < 1 {
		return false
	}
	b.retries--
	return true
}

// refill adds the retries earned by elapsed time. The caller must hold b.mu.
func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.retries = min(maxSavedRetries, b.retries+refillPerSecond*elapsed.Seconds())
		b.lastRefill = now
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
