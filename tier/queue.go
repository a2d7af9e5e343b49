package tier

// This file defines Queue, where requests wait for an upstream.
//
// Tiers are strict. Among the classes of one tier the one with the least service
// goes first, and among the workspaces of one class a deficit round robin over
// expected tokens decides. Two rules put a class ahead of higher tiers: its
// floor, only while every higher request still has time to spare, and
// starvation, one dispatch for each period in which it got none.
//
// A queue is not safe for concurrent use; its owner holds one lock for each.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Waiter is one request in a queue. Arrived and StartBy stay the same when a
// request comes back from an upstream that refused or preempted it, so that it
// regains its place.
type Waiter struct {
	Request   id.Request
	Workspace id.Workspace
	Class     id.Class
	Tier      Tier
	Floor     float64 // of the class
	Share     float64 // of the workspace; zero counts as one
	Cost      id.Tokens
	Arrived   time.Time
	StartBy   time.Time // refused if it has not been dispatched by then
	Requeued  bool      // comes back from an upstream; not refused for want of room
	Owner     any       // not read by the queue

	flow       *flow // nil: not in a queue
	older      *Waiter
	newer      *Waiter
	expiryRank int // in the heap of its tier
}

// before reports whether w has the older place.
func (w *Waiter) before(o *Waiter) bool {
	if !w.Arrived.Equal(o.Arrived) {
		return w.Arrived.Before(o.Arrived)
	}
	return w.Request < o.Request
}

// Waiting reports whether w is in a queue.
func (w *Waiter) Waiting() bool { return w.flow != nil }

// Config bounds a queue.
type Config struct {
	MaxLength            int           // most waiters
	StarvationTimeout    time.Duration // a class with waiters goes this long without a dispatch
	StarvationDispatches int           // and for this many dispatches of other classes
}

// DefaultConfig returns the bounds that entries use.
func DefaultConfig() Config {
	return Config{MaxLength: 4096, StarvationTimeout: 10 * time.Second, StarvationDispatches: 32}
}

// Queue holds the waiters of one model or service.
type Queue struct {
	cfg     Config
	length  int
	tiers   [Count]line
	classes map[id.Class]*class
	order   []*class // by name, so that ties are broken alike everywhere
	share   *window  // dispatches of every class
	rate    rate
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	return &Queue{cfg: cfg, classes: make(map[id.Class]*class), share: &window{}}
}

// Len returns the number of waiters.
func (q *Queue) Len() int { return q.length }

// TierLen returns the number of waiters of one tier.
func (q *Queue) TierLen(t Tier) int { return q.tiers[t].length }

// Push adds w, or refuses it, or adds it in another's place. A full queue sheds
// the newest of its lowest tier.
func (q *Queue) Push(now time.Time, w *Waiter) PushResult {
	if w.Requeued {
		q.insert(now, w)
		return Queued{}
	}
	if h, ok := q.hopeless(now, w); ok {
		return h
	}
	if q.length < q.cfg.MaxLength {
		q.insert(now, w)
		return Queued{}
	}
	victim := q.newestOfLowest()
	if victim == nil || !yields(victim, w) {
		return Full{}
	}
	q.Remove(now, victim)
	q.insert(now, w)
	return Displaced{Waiter: victim}
}

// yields reports whether victim is shed for w: it is of a lower tier, or of the
// same and newer.
func yields(victim, w *Waiter) bool {
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
		q.rate.resume(now)
	}
	c := q.class(w)
	if c.length == 0 {
		c.activate(now, q.leastServed(c))
	}
	c.insert(w)
	q.tiers[w.Tier].insert(w)
	q.length++
}

// class returns the state of w's class, following changes of the rules.
func (q *Queue) class(w *Waiter) *class {
	c := q.classes[w.Class]
	if c == nil {
		c = newClass(w.Class)
		q.classes[w.Class] = c
		q.order = insertClass(q.order, c)
	}
	if c.length == 0 {
		c.tier = w.Tier
	}
	c.floor = w.Floor
	return c
}

// leastServed returns the least service among the other waiting classes of c's
// tier, so that an idle class does not save up service.
func (q *Queue) leastServed(c *class) float64 {
	least := c.served
	found := false
	for _, o := range q.order {
		if o == c || o.length == 0 || o.tier != c.tier {
			continue
		}
		if !found || o.served < least {
			least, found = o.served, true
		}
	}
	return max(least, c.served)
}

// Remove takes out a waiter that left or is refused. It reports false if w is
// not waiting.
func (q *Queue) Remove(now time.Time, w *Waiter) bool {
	if !w.Waiting() {
		return false
	}
	w.flow.class.remove(w)
	q.tiers[w.Tier].remove(w)
	q.length--
	if q.length == 0 {
		q.rate.pause(now)
	}
	return true
}

// Next returns the waiter to dispatch next, which stays in the queue. It returns
// the same one until the queue changes or the time makes another one due.
func (q *Queue) Next(now time.Time) Selection {
	if q.length == 0 {
		return Idle{}
	}
	best := q.inTurn()
	if c := q.starving(now); c != nil && c != best {
		return Starving{Waiter: c.next()}
	}
	if c := q.belowFloor(now, best); c != nil {
		return BelowFloor{Waiter: c.next()}
	}
	return InTurn{Waiter: best.next()}
}

// inTurn returns the class that goes first by tier.
func (q *Queue) inTurn() *class {
	var best *class
	for _, c := range q.order {
		if c.length == 0 {
			continue
		}
		if best == nil || c.tier.Above(best.tier) || c.tier == best.tier && c.served < best.served {
			best = c
		}
	}
	return best
}

// starving returns the class that has waited longest beyond both bounds, or nil.
// The count of others keeps tiers strict after a stall in which no class was
// served.
func (q *Queue) starving(now time.Time) *class {
	var worst *class
	for _, c := range q.order {
		if c.length == 0 || c.others < q.cfg.StarvationDispatches || now.Sub(c.lastServed) < q.cfg.StarvationTimeout {
			continue
		}
		if worst == nil || c.lastServed.Before(worst.lastServed) {
			worst = c
		}
	}
	return worst
}

// belowFloor returns the highest class below its floor that may go ahead of
// first, or nil.
func (q *Queue) belowFloor(now time.Time, first *class) *class {
	var due *class
	for _, c := range q.order {
		if c.length == 0 || c.floor <= 0 || !first.tier.Above(c.tier) {
			continue
		}
		if due != nil && !c.tier.Above(due.tier) {
			continue
		}
		if c.dueByFloor(now, q.share) && q.spare(now, c.tier) {
			due = c
		}
	}
	return due
}

// floorSlack is the time that a higher waiter must have to spare before a floor
// may go ahead of it, while the rate of service is not known.
const floorSlack = time.Second

// spare reports whether every waiter above tier t can still start in time after
// one more dispatch ahead of it.
func (q *Queue) spare(now time.Time, t Tier) bool {
	higher := 0
	var earliest time.Time
	for i := range t {
		l := &q.tiers[i]
		if l.length == 0 {
			continue
		}
		higher += l.length
		if by := l.expiries[0].StartBy; earliest.IsZero() || by.Before(earliest) {
			earliest = by
		}
	}
	if higher == 0 {
		return true
	}
	need := floorSlack
	if perSecond, known := q.rate.perSecond(now); known {
		need = max(need, seconds(float64(higher+1)/perSecond))
	}
	return earliest.Sub(now) > need
}

// Dispatch removes the waiter that Next returned and counts its dispatch.
func (q *Queue) Dispatch(now time.Time, w *Waiter) {
	c := w.flow.class
	q.rate.served(now)
	q.share.add(now, 1)
	for _, o := range q.order {
		if o != c && o.length > 0 {
			o.others++
		}
	}
	c.take(now, w)
	q.Remove(now, w)
}

// AdjustCost charges a workspace's waiting requests for a difference between the
// expected tokens of an answer and the real ones.
func (q *Queue) AdjustCost(name id.Class, ws id.Workspace, difference id.Tokens) {
	c := q.classes[name]
	if c == nil {
		return
	}
	c.served += float64(difference)
	if f := c.flows[ws]; f != nil {
		f.deficit = max(f.deficit-float64(difference), -c.quantum()*maxDebt)
	}
}

// PopExpired removes and returns one waiter whose time to start has passed, or nil.
func (q *Queue) PopExpired(now time.Time) *Waiter {
	for t := Count - 1; t >= 0; t-- {
		l := &q.tiers[t]
		if l.length > 0 && !now.Before(l.expiries[0].StartBy) {
			w := l.expiries[0]
			q.Remove(now, w)
			return w
		}
	}
	return nil
}

// NextExpiry returns the earliest time at which a waiter expires; zero: none.
func (q *Queue) NextExpiry() time.Time {
	var earliest time.Time
	for t := range q.tiers {
		l := &q.tiers[t]
		if l.length == 0 {
			continue
		}
		if by := l.expiries[0].StartBy; earliest.IsZero() || by.Before(earliest) {
			earliest = by
		}
	}
	return earliest
}
