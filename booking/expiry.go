package booking

// This file defines the heap of the times at which calls expire. A call is in the heap
// once for each of its accepted records; only the time of the last one counts.

import "time"

type expiry struct {
	at  time.Time
	key CallKey
}

type expiries []expiry

// Len implements heap.Interface.
func (e expiries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e expiries) Less(i, j int) bool { return e[i].at.Before(e[j].at) }

// Swap implements heap.Interface.
func (e expiries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *expiries) Push(x any) { *e = append(*e, x.(expiry)) }

// Pop implements heap.Interface.
func (e *expiries) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
