package tier

// This file defines classQueue, which holds the waiters of one class, and flow,
// which holds those of one workspace within the class. The flows are served by
// deficit round robin: the current flow gains a quantum of tokens in proportion to
// its share, and is served while its deficit counter covers the cost of its oldest
// waiter.

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	minQuantum     = 64.0     // tokens
	meanCostWeight = 1.0 / 64 // weight of one cost in the moving average
	maxCost        = 1 << 15  // tokens; bounds the rounds until one waiter can be served
	maxDebtQuanta  = 8        // quanta that a flow may owe
)

// flow holds the waiters of one workspace in one class, oldest first.
type flow struct {
	classQueue     *classQueue
	workspace      id.Workspace
	share          float64 // weight within the class
	deficit        float64 // tokens that may be spent; negative: tokens owed
	quantumGranted bool    // has gained its quantum of the current round
	waiters        []*Waiter
	head           int // index of the oldest waiter
}

func (f *flow) length() int { return len(f.waiters) - f.head }

// classQueue holds the waiters of one class.
type classQueue struct {
	name         id.Class
	tier         Tier
	floor        float64 // minimum share of dispatches; zero: none
	length       int
	servedTokens float64 // orders the classes of one tier
	meanCost     float64 // moving average of the cost of a waiter, in tokens
	minShare     float64 // smallest share of a flow since the class became active

	flows       map[id.Workspace]*flow // flows with waiters
	activeFlows []*flow                // flows with waiters, in round-robin order
	current     int                    // index in activeFlows
	freeFlows   []*flow                // empty flows, kept for reuse

	dispatches      slidingSum
	otherDispatches int       // dispatches of other classes since lastDispatch
	lastDispatch    time.Time // or the time when the class became active, if later
}

func newClassQueue(name id.Class) *classQueue {
	return &classQueue{name: name, meanCost: minQuantum, flows: make(map[id.Workspace]*flow)}
}

// insertClass inserts c into a list that is sorted by name.
func insertClass(list []*classQueue, c *classQueue) []*classQueue {
	i, _ := slices.BinarySearchFunc(list, c, func(a, b *classQueue) int { return strings.Compare(string(a.name), string(b.name)) })
	return slices.Insert(list, i, c)
}

// activate resets the state of a class that gets its first waiter after it was
// empty, with the given number of served tokens.
func (c *classQueue) activate(now time.Time, servedTokens float64) {
	c.servedTokens = servedTokens
	c.otherDispatches = 0
	c.lastDispatch = now
	c.current = 0
	c.minShare = math.Inf(1)
}

// quantum returns the tokens that the flow with the smallest share gains in a round.
// It is about the cost of one waiter, so that a flow is rarely visited without a
// dispatch.
func (c *classQueue) quantum() float64 { return max(minQuantum, c.meanCost) }

// insert limits the cost of w to the range from 1 to maxCost and adds w to the flow of
// its workspace.
func (c *classQueue) insert(w *Waiter) {
	w.Cost = min(max(w.Cost, 1), maxCost)
	c.meanCost += (float64(w.Cost) - c.meanCost) * meanCostWeight
	f := c.flows[w.Workspace]
	if f == nil {
		f = c.newFlow(w.Workspace)
	}
	f.share = 1
	if w.Share > 0 {
		f.share = w.Share
	}
	c.minShare = min(c.minShare, f.share)
	f.insert(w)
	c.length++
}

func (c *classQueue) newFlow(ws id.Workspace) *flow {
	var f *flow
	if n := len(c.freeFlows); n > 0 {
		f = c.freeFlows[n-1]
		c.freeFlows = c.freeFlows[:n-1]
	} else {
		f = &flow{classQueue: c}
	}
	f.workspace = ws
	c.flows[ws] = f
	c.activeFlows = append(c.activeFlows, f)
	return f
}

// insert adds w at the position of its arrival time. If the slice is full and at
// least half of it is unused head space, it moves the waiters to the front first.
func (f *flow) insert(w *Waiter) {
	w.flow = f
	if f.head >= f.length() && len(f.waiters) == cap(f.waiters) {
		n := copy(f.waiters, f.waiters[f.head:])
		clear(f.waiters[n:])
		f.waiters = f.waiters[:n]
		f.head = 0
	}
	if n := len(f.waiters); f.length() == 0 || f.waiters[n-1].before(w) {
		f.waiters = append(f.waiters, w)
		return
	}
	f.waiters = slices.Insert(f.waiters, f.index(w), w)
}

// index returns the index in waiters at which w is, or at which it belongs.
func (f *flow) index(w *Waiter) int {
	return f.head + sort.Search(f.length(), func(i int) bool { return !f.waiters[f.head+i].before(w) })
}

func (c *classQueue) remove(w *Waiter) {
	f := w.flow
	w.flow = nil
	if i := f.index(w); i == f.head {
		f.waiters[i] = nil
		f.head++
	} else {
		f.waiters = slices.Delete(f.waiters, i, i+1)
	}
	c.length--
	if f.length() == 0 {
		c.removeFlow(f)
	}
}

// removeFlow removes an empty flow from the active flows. Its deficit is reset, so
// that an idle workspace accumulates no credit.
func (c *classQueue) removeFlow(f *flow) {
	i := c.current
	if c.activeFlows[i] != f {
		i = slices.Index(c.activeFlows, f)
	}
	c.activeFlows = slices.Delete(c.activeFlows, i, i+1)
	if i < c.current {
		c.current--
	}
	if c.current >= len(c.activeFlows) {
		c.current = 0
	}
	delete(c.flows, f.workspace)
	*f = flow{classQueue: c, waiters: f.waiters[:0]}
	c.freeFlows = append(c.freeFlows, f)
}

// next advances the round robin to the flow to serve and returns its oldest waiter.
func (c *classQueue) next() *Waiter {
	quantum := c.quantum()
	for {
		f := c.activeFlows[c.current]
		if !f.quantumGranted {
			f.quantumGranted = true
			f.deficit += quantum * f.share / c.minShare
		}
		w := f.waiters[f.head]
		if float64(w.Cost) <= f.deficit {
			return w
		}
		f.quantumGranted = false
		c.current = (c.current + 1) % len(c.activeFlows)
	}
}

// charge charges the cost of w to its flow and to the class, and counts its dispatch.
func (c *classQueue) charge(now time.Time, w *Waiter) {
	w.flow.deficit -= float64(w.Cost)
	c.servedTokens += float64(w.Cost)
	c.dispatches.add(now, 1)
	c.otherDispatches = 0
	c.lastDispatch = now
}

// belowFloor reports whether the class got less than its floor of all dispatches in
// the window. It also spaces the dispatches of the class, so that the class cannot
// claim a whole window's share at once.
func (c *classQueue) belowFloor(now time.Time, all *slidingSum) bool {
	if c.otherDispatches+1 < int(1/c.floor) {
		return false
	}
	return float64(c.dispatches.total(now)) < c.floor*float64(all.total(now))
}
