package tier

// This file defines Queue, where requests wait for an upstream.
//
// Priority between tiers is strict. Among the classes of one tier, the one that has
// been served the fewest tokens goes first. Among the workspaces of one class, a
// deficit round robin over expected tokens decides. Two rules let a class go before
// its turn: its floor, which puts it ahead of higher tiers, but only while every
// request of a higher tier still has slack before its StartBy, and starvation, which
// grants a class one dispatch each time it exceeds both starvation bounds.
//
// A queue is not safe for concurrent use: the caller must hold one lock per queue.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Waiter is a request that waits in a queue. Arrived and StartBy stay the same when
// a request is requeued after an upstream refused or preempted it, so that it
// returns to its original position.
type Waiter struct {
	Request   id.Request
	Workspace id.Workspace
	Class     id.Class
	Tier      Tier
	Floor     float64   // minimum share of dispatches of the class
	Share     float64   // weight of the workspace within its class; zero counts as one
	Cost      id.Tokens // expected tokens
	Arrived   time.Time
	StartBy   time.Time // latest time of dispatch; the waiter expires then
	Requeued  bool      // returned from an upstream; added even if the queue is full
	Owner     any       // opaque to the queue

	flow        *flow   // nil if not in a queue
	older       *Waiter // neighbours in the arrival order of its tier
	newer       *Waiter
	expiryIndex int // index in the expiry heap of its tier
}

// before reports whether w arrived before o. Ties are broken by request id.
func (w *Waiter) before(o *Waiter) bool {
	if !w.Arrived.Equal(o.Arrived) {
		return w.Arrived.Before(o.Arrived)
	}
	return w.Request < o.Request
}

// Waiting reports whether w is in a queue.
func (w *Waiter) Waiting() bool { return w.flow != nil }

// Config holds the bounds of a queue.
type Config struct {
	MaxLength            int           // maximum number of waiters
	StarvationTimeout    time.Duration // least time without a dispatch after which a class with waiters starves
	StarvationDispatches int           // least number of dispatches of other classes in that time; both bounds apply
}

// DefaultConfig returns the configuration that entries use.
func DefaultConfig() Config {
	return Config{MaxLength: 4096, StarvationTimeout: 10 * time.Second, StarvationDispatches: 32}
}

// Queue holds the waiters of one model or service.
type Queue struct {
	cfg           Config
	length        int
	tiers         [Count]tierQueue
	classes       map[id.Class]*classQueue
	classesByName []*classQueue // sorted by name, so that every entry breaks ties alike
	dispatches    *slidingSum   // of all classes
	dispatchRate  dispatchRate
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{cfg: cfg, classes: make(map[id.Class]*classQueue), dispatches: &slidingSum{}}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// TierLen returns the number of waiters of one tier.
func (q *Queue) TierLen(t Tier) int { return q.tiers[t].length }

// Push adds w, or refuses it because it cannot start in time. A full queue sheds
// the newest waiter of its lowest tier to make room, or refuses w if that waiter
// takes precedence over w. A requeued waiter is always added.
func (q *Queue) Push(now time.Time, w *Waiter) PushResult {
	if w.Requeued {
		q.insert(now, w)
		return Queued{}
	}
	if result, ok := q.infeasible(now, w); ok {
		return result
	}
	if q.length < q.cfg.MaxLength {
		q.insert(now, w)
		return Queued{}
	}
	victim := q.newestOfLowest()
	if victim == nil || !displaceable(victim, w) {
		return Full{}
	}
	q.Remove(now, victim)
	q.insert(now, w)
	return Displaced{Waiter: victim}
}

// displaceable reports whether victim may be shed to make room for w: it is of a
// lower tier, or of the same tier and newer.
func displaceable(victim, w *Waiter) bool {
	if victim.Tier != w.Tier {
		return w.Tier.Above(victim.Tier)
	}
	return w.before(victim)
}

func (q *Queue) newestOfLowest() *Waiter {
	for t := Count - 1; t >= 0; t-- {
		if w := q.tiers[t].newest; w != nil {
			return w
		}
	}
	return nil
}

func (q *Queue) insert(now time.Time, w *Waiter) {
	if q.length == 0 {
		q.dispatchRate.start(now)
	}
	c := q.classQueue(w)
	if c.length == 0 {
		c.activate(now, q.leastServed(c))
	}
	c.insert(w)
	q.tiers[w.Tier].insert(w)
	q.length++
}

// classQueue returns the queue of w's class, created if missing, and updates its tier
// and floor, which change with the rules. The tier is only updated while the class
// has no waiters.
func (q *Queue) classQueue(w *Waiter) *classQueue {
	c := q.classes[w.Class]
	if c == nil {
		c = newClassQueue(w.Class)
		q.classes[w.Class] = c
		q.classesByName = insertClass(q.classesByName, c)
	}
	if c.length == 0 {
		c.tier = w.Tier
	}
	c.floor = w.Floor
	return c
}

// leastServed returns the fewest tokens served among the other waiting classes of
// c's tier, but at least those served to c. A class that becomes active starts from
// this value, so that it gains no credit while it is idle.
func (q *Queue) leastServed(c *classQueue) float64 {
	least := c.servedTokens
	found := false
	for _, other := range q.classesByName {
		if other == c || other.length == 0 || other.tier != c.tier {
			continue
		}
		if !found || other.servedTokens < least {
			least, found = other.servedTokens, true
		}
	}
	return max(least, c.servedTokens)
}

// Remove removes a waiter that was cancelled or refused. It reports false if w is
// not in the queue.
func (q *Queue) Remove(now time.Time, w *Waiter) bool {
	if !w.Waiting() {
		return false
	}
	w.flow.classQueue.remove(w)
	q.tiers[w.Tier].remove(w)
	q.length--
	if q.length == 0 {
		q.dispatchRate.stop(now)
	}
	return true
}

// Next returns the waiter to dispatch next without removing it. It returns the same
// waiter until the queue changes, or until another class falls below its floor or
// starves as time passes.
func (q *Queue) Next(now time.Time) Selection {
	if q.length == 0 {
		return Idle{}
	}
	best := q.firstByPriority()
	if c := q.mostStarved(now); c != nil && c != best {
		return Starving{Waiter: c.next()}
	}
	if c := q.highestBelowFloor(now, best); c != nil {
		return BelowFloor{Waiter: c.next()}
	}
	return InTurn{Waiter: best.next()}
}

// firstByPriority returns the class with waiters that goes first by tier and, within
// the tier, by served tokens.
func (q *Queue) firstByPriority() *classQueue {
	var best *classQueue
	for _, c := range q.classesByName {
		if c.length == 0 {
			continue
		}
		if best == nil || c.tier.Above(best.tier) || c.tier == best.tier && c.servedTokens < best.servedTokens {
			best = c
		}
	}
	return best
}

// mostStarved returns, of the classes that exceed both starvation bounds, the one
// whose last dispatch is the longest ago, or nil. The bound on dispatches of other
// classes keeps tiers strict after a stall in which no class was served.
func (q *Queue) mostStarved(now time.Time) *classQueue {
	var longest *classQueue
	for _, c := range q.classesByName {
		if c.length == 0 || c.otherDispatches < q.cfg.StarvationDispatches || now.Sub(c.lastDispatch) < q.cfg.StarvationTimeout {
			continue
		}
		if longest == nil || c.lastDispatch.Before(longest.lastDispatch) {
			longest = c
		}
	}
	return longest
}

// highestBelowFloor returns the class of the highest tier that is below its floor
// and may go ahead of first, or nil.
func (q *Queue) highestBelowFloor(now time.Time, first *classQueue) *classQueue {
	var highest *classQueue
	for _, c := range q.classesByName {
		if c.length == 0 || c.floor <= 0 || !first.tier.Above(c.tier) {
			continue
		}
		if highest != nil && !c.tier.Above(highest.tier) {
			continue
		}
		if c.belowFloor(now, q.dispatches) && q.tiersAboveHaveSlack(now, c.tier) {
			highest = c
		}
	}
	return highest
}

// floorSlack is the least time that every waiter of a higher tier must have left
// before its StartBy for a class below its floor to go ahead of it. It is the only
// bound while the dispatch rate is not known.
const floorSlack = time.Second

// tiersAboveHaveSlack reports whether every waiter above tier t can still start in
// time after one more dispatch ahead of it.
func (q *Queue) tiersAboveHaveSlack(now time.Time, t Tier) bool {
	higher := 0
	var earliest time.Time
	for i := range t {
		l := &q.tiers[i]
		if l.length == 0 {
			continue
		}
		higher += l.length
		if by := l.expiryHeap[0].StartBy; earliest.IsZero() || by.Before(earliest) {
			earliest = by
		}
	}
	if higher == 0 {
		return true
	}
	need := floorSlack
	if perSecond, known := q.dispatchRate.perSecond(now); known {
		need = max(need, seconds(float64(higher+1)/perSecond))
	}
	return earliest.Sub(now) > need
}

// Dispatch removes the waiter that Next returned, counts the dispatch and charges
// its cost.
func (q *Queue) Dispatch(now time.Time, w *Waiter) {
	c := w.flow.classQueue
	q.dispatchRate.countDispatch(now)
	q.dispatches.add(now, 1)
	for _, other := range q.classesByName {
		if other != c && other.length > 0 {
			other.otherDispatches++
		}
	}
	c.charge(now, w)
	q.Remove(now, w)
}

// AdjustCost charges a class and a workspace the difference between the actual and
// the expected tokens of an answer. The workspace is only charged while it has
// waiters, and owes at most maxDebtQuanta.
func (q *Queue) AdjustCost(class id.Class, ws id.Workspace, difference id.Tokens) {
	c := q.classes[class]
	if c == nil {
		return
	}
	c.servedTokens += float64(difference)
	if f := c.flows[ws]; f != nil {
		f.deficit = max(f.deficit-float64(difference), -c.quantum()*maxDebtQuanta)
	}
}

// PopExpired removes and returns one waiter whose StartBy has passed, lowest tier
// first, or nil.
func (q *Queue) PopExpired(now time.Time) *Waiter {
	for t := Count - 1; t >= 0; t-- {
		l := &q.tiers[t]
		if l.length > 0 && !now.Before(l.expiryHeap[0].StartBy) {
			w := l.expiryHeap[0]
			q.Remove(now, w)
			return w
		}
	}
	return nil
}

// NextExpiry returns the earliest time at which a waiter expires, or zero if the
// queue is empty.
func (q *Queue) NextExpiry() time.Time {
	var earliest time.Time
	for t := range q.tiers {
		l := &q.tiers[t]
		if l.length == 0 {
			continue
		}
		if by := l.expiryHeap[0].StartBy; earliest.IsZero() || by.Before(earliest) {
			earliest = by
		}
	}
	return earliest
}
