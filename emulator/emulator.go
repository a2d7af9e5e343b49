// Package emulator plays fleets of gateways and engines in simulated time, to measure the
// decisions of other packages under many loads and faults that are drawn from a seed.
//
// Clock orders what happens. Fleet plays engines that crash under requests, and Play the load of a
// Site, at engines that process requests in batches. Gateways decide with the packages of the
// product, and know of each other, and of engines, only what has reached them.
package emulator

import (
	"container/heap"
	"time"
)

// Clock runs functions at simulated times, in order.
type Clock struct {
	now    time.Time
	events eventHeap
	added  int
}

// NewClock returns a clock that shows a time.
func NewClock(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the simulated time.
func (c *Clock) Now() time.Time { return c.now }

// After runs f when a duration has passed. Functions for the same time run in the order in which
// they were added.
func (c *Clock) After(d time.Duration, f func()) {
	c.added++
	heap.Push(&c.events, event{c.now.Add(max(d, 0)), c.added, f})
}

// Every runs f now and then at each interval.
func (c *Clock) Every(interval time.Duration, f func()) {
	f()
	c.After(interval, func() { c.Every(interval, f) })
}

// Run runs all functions up to a time.
func (c *Clock) Run(until time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(until) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
	c.now = until
}

// event is a function that runs at a time.
type event struct {
	at    time.Time
	order int
	run   func()
}

// eventHeap implements heap.Interface; the earliest event is the first.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}
