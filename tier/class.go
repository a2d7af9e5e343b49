package tier

// This file defines class, the waiters of one class, and flow, those of one
// workspace in it. The flows are served by deficit round robin: a flow whose
// turn it is gains a quantum of tokens for its share, and is served while its
// deficit covers the cost of its oldest waiter.

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	minQuantum    = 64.0     // tokens
	quantumWeight = 1.0 / 64 // of one cost in the moving mean
	maxCost       = 1 << 15  // tokens; bounds the rounds that one waiter needs
	maxDebt       = 8        // quanta that a flow may owe
)

// flow is the waiters of one workspace in one class, oldest first.
type flow struct {
	class     *class
	workspace id.Workspace
	share     float64
	deficit   float64 // tokens; below zero: owed
	granted   bool    // has its quantum of this turn
	waiters   []*Waiter
	head      int // index of the oldest
}

func (f *flow) length() int { return len(f.waiters) - f.head }

// class is the waiters of one class.
type class struct {
	name       id.Class
	tier       Tier
	floor      float64
	length     int
	served     float64 // tokens, to order the classes of one tier
	meanCost   float64
	leastShare float64 // of those that waited in this spell

	flows map[id.Workspace]*flow // those with waiters
	ring  []*flow                // in the order of their turns
	turn  int                    // index in ring
	spare []*flow                // emptied flows for reuse

	dispatches window
	others     int       // dispatches of other classes since its own last one
	lastServed time.Time // or when it began to wait
}

func newClass(name id.Class) *class {
	return &class{name: name, meanCost: minQuantum, flows: make(map[id.Workspace]*flow)}
}

// insertClass keeps the list in the order of names.
func insertClass(list []*class, c *class) []*class {
	i, _ := slices.BinarySearchFunc(list, c, func(a, b *class) int { return strings.Compare(string(a.name), string(b.name)) })
	return slices.Insert(list, i, c)
}

// activate starts a spell of waiting.
func (c *class) activate(now time.Time, served float64) {
	c.served = served
	c.others = 0
	c.lastServed = now
	c.turn = 0
	c.leastShare = math.Inf(1)
}

// quantum returns the tokens that the least share gains in a turn. It is about
// one waiter's cost, so that a turn rarely passes without a dispatch.
func (c *class) quantum() float64 { return max(minQuantum, c.meanCost) }

func (c *class) insert(w *Waiter) {
	w.Cost = min(max(w.Cost, 1), maxCost)
	c.meanCost += (float64(w.Cost) - c.meanCost) * quantumWeight
	f := c.flows[w.Workspace]
	if f == nil {
		f = c.newFlow(w.Workspace)
	}
	f.share = 1
	if w.Share > 0 {
		f.share = w.Share
	}
	c.leastShare = min(c.leastShare, f.share)
	f.insert(w)
	c.length++
}

func (c *class) newFlow(ws id.Workspace) *flow {
	var f *flow
	if n := len(c.spare); n > 0 {
		f = c.spare[n-1]
		c.spare = c.spare[:n-1]
	} else {
		f = &flow{class: c}
	}
	f.workspace = ws
	c.flows[ws] = f
	c.ring = append(c.ring, f)
	return f
}

// insert puts w in the place of its arrival.
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

// index returns the place of w.
func (f *flow) index(w *Waiter) int {
	return f.head + sort.Search(f.length(), func(i int) bool { return !f.waiters[f.head+i].before(w) })
}

func (c *class) remove(w *Waiter) {
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
		c.drop(f)
	}
}

// drop takes an emptied flow out of the ring. Its deficit lapses, so that an idle
// workspace saves up nothing.
func (c *class) drop(f *flow) {
	i := c.turn
	if c.ring[i] != f {
		i = slices.Index(c.ring, f)
	}
	c.ring = slices.Delete(c.ring, i, i+1)
	if i < c.turn {
		c.turn--
	}
	if c.turn >= len(c.ring) {
		c.turn = 0
	}
	delete(c.flows, f.workspace)
	*f = flow{class: c, waiters: f.waiters[:0]}
	c.spare = append(c.spare, f)
}

// next moves the turn on to the flow to serve and returns its oldest waiter.
func (c *class) next() *Waiter {
	quantum := c.quantum()
	for {
		f := c.ring[c.turn]
		if !f.granted {
			f.granted = true
			f.deficit += quantum * f.share / c.leastShare
		}
		w := f.waiters[f.head]
		if float64(w.Cost) <= f.deficit {
			return w
		}
		f.granted = false
		c.turn = (c.turn + 1) % len(c.ring)
	}
}

// take charges the flow of w and counts its dispatch.
func (c *class) take(now time.Time, w *Waiter) {
	w.flow.deficit -= float64(w.Cost)
	c.served += float64(w.Cost)
	c.dispatches.add(now, 1)
	c.others = 0
	c.lastServed = now
}

// dueByFloor reports whether the class is below its floor. Its dispatches are
// also spaced out, so that it cannot claim a whole window at once.
func (c *class) dueByFloor(now time.Time, all *window) bool {
	if c.others+1 < int(1/c.floor) {
		return false
	}
	return float64(c.dispatches.total(now)) < c.floor*float64(all.total(now))
}
