package ragworttest

// This file defines Arrivals, which counts the requests that reach an upstream.

import (
	"slices"
	"sync"
	"time"
)

// Arrivals records when requests reached an upstream. It is safe for concurrent use.
type Arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// Add records a request.
func (a *Arrivals) Add(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, now)
}

// Between returns how many requests arrived from one time until before another.
func (a *Arrivals) Between(from, until time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.times {
		if !t.Before(from) && t.Before(until) {
			n++
		}
	}
	return n
}

// Most returns the largest number of requests that arrived within any span of time that begins at
// from or later.
func (a *Arrivals) Most(from time.Time, span time.Duration) (most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := slices.SortedFunc(slices.Values(a.times), time.Time.Compare)
	first := 0
	for i, t := range times {
		for times[first].Before(from) && first < i || t.Sub(times[first]) > span {
			first++
		}
		if !times[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}
