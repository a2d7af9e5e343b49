package tier_test

// This file defines referenceQueue, a simple implementation of the same scheduling
// rules. It keeps one list and sorts it for every decision.

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/tier"
)

type referenceQueue struct {
	cfg     tier.Config
	waiting []*tier.Waiter
	classes map[id.Class]*referenceClass

	dispatches     []dispatch
	backlog        []period
	accountedUntil time.Time
}

type dispatch struct {
	at    time.Time
	class id.Class
}

type period struct{ from, to time.Time }

type referenceClass struct {
	servedTokens    float64
	otherDispatches int
	lastDispatch    time.Time
	meanCost        float64
	minShare        float64
	turns           []id.Workspace // round-robin order; the first one is the current flow
	deficit         map[id.Workspace]float64
	quantumGranted  bool // the current flow has gained its quantum of the round
}

func newReferenceQueue(cfg tier.Config) *referenceQueue {
	return &referenceQueue{cfg: cfg, classes: map[id.Class]*referenceClass{}}
}

func byArrival(a, b *tier.Waiter) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.Request, b.Request))
}

func (r *referenceQueue) push(now time.Time, w *tier.Waiter) tier.PushResult {
	if w.Requeued {
		r.insert(now, w)
		return tier.Queued{}
	}
	if result, ok := r.infeasible(now, w); ok {
		return result
	}
	if len(r.waiting) < r.cfg.MaxLength {
		r.insert(now, w)
		return tier.Queued{}
	}
	all := slices.Clone(r.waiting)
	slices.SortFunc(all, func(a, b *tier.Waiter) int { return cmp.Or(cmp.Compare(b.Tier, a.Tier), byArrival(b, a)) })
	victim := all[0]
	if victim.Tier < w.Tier || victim.Tier == w.Tier && byArrival(victim, w) < 0 {
		return tier.Full{}
	}
	r.remove(now, victim)
	r.insert(now, w)
	return tier.Displaced{Waiter: victim}
}

func (r *referenceQueue) infeasible(now time.Time, w *tier.Waiter) (tier.Infeasible, bool) {
	perSecond, known := r.rate(now)
	if !known {
		return tier.Infeasible{}, false
	}
	interval := time.Duration(float64(time.Second) / (perSecond * 1.5))
	wait := time.Duration(0)
	all := slices.Clone(r.waiting)
	slices.SortFunc(all, func(a, b *tier.Waiter) int { return cmp.Or(cmp.Compare(a.Tier, b.Tier), byArrival(a, b)) })
	for _, o := range all {
		higher := o.Tier < w.Tier && !o.StartBy.Before(w.StartBy)
		sameFlow := o.Class == w.Class && o.Workspace == w.Workspace && byArrival(o, w) < 0 && o.StartBy.After(now.Add(wait))
		if higher || sameFlow {
			wait += interval
		}
	}
	return tier.Infeasible{MinWait: wait}, wait > w.StartBy.Sub(now)
}

// inWindow reports whether at lies in the current second or the nine before it.
func inWindow(now, at time.Time) bool { return now.Unix()-at.Unix() < 10 }

func (r *referenceQueue) rate(now time.Time) (float64, bool) {
	r.addBacklogPeriod(now)
	served, backlog := 0.0, time.Duration(0)
	for _, d := range r.dispatches {
		if inWindow(now, d.at) {
			served++
		}
	}
	for _, p := range r.backlog {
		from := now.Truncate(time.Second).Add(-9 * time.Second)
		if p.from.After(from) {
			from = p.from
		}
		backlog += max(0, p.to.Sub(from))
	}
	if served < 16 || backlog < 2*time.Second {
		return 0, false
	}
	return served / backlog.Seconds(), true
}

func (r *referenceQueue) addBacklogPeriod(now time.Time) {
	if len(r.waiting) > 0 && now.After(r.accountedUntil) {
		r.backlog = append(r.backlog, period{r.accountedUntil, now})
	}
	r.accountedUntil = now
}

func (r *referenceQueue) waitersOf(class id.Class) []*tier.Waiter {
	var list []*tier.Waiter
	for _, w := range r.waiting {
		if w.Class == class {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, byArrival)
	return list
}

func (r *referenceQueue) insert(now time.Time, w *tier.Waiter) {
	r.addBacklogPeriod(now)
	c := r.classes[w.Class]
	if c == nil {
		c = &referenceClass{meanCost: 64}
		r.classes[w.Class] = c
	}
	if len(r.waitersOf(w.Class)) == 0 {
		least := -1.0
		for name, o := range r.classes {
			if list := r.waitersOf(name); len(list) > 0 && list[0].Tier == w.Tier && (least < 0 || o.servedTokens < least) {
				least = o.servedTokens
			}
		}
		*c = referenceClass{servedTokens: max(c.servedTokens, least), lastDispatch: now, meanCost: c.meanCost, minShare: w.Share, deficit: map[id.Workspace]float64{}}
	}
	c.minShare = min(c.minShare, w.Share)
	c.meanCost += (float64(w.Cost) - c.meanCost) / 64
	if !slices.Contains(c.turns, w.Workspace) {
		c.insertTurn(w.Workspace)
	}
	r.waiting = append(r.waiting, w)
}

// insertTurn inserts a workspace at the end of the round-robin list. In the real
// queue the list starts at a fixed flow. Here the list is rotated so that it starts
// at the current flow, and an empty name marks the end of the real list.
func (c *referenceClass) insertTurn(ws id.Workspace) {
	i := slices.Index(c.turns, "")
	if i < 0 {
		c.turns = append(c.turns, ws, "")
		return
	}
	c.turns = slices.Insert(c.turns, i, ws)
}

func (r *referenceQueue) remove(now time.Time, w *tier.Waiter) {
	r.addBacklogPeriod(now)
	r.waiting = slices.DeleteFunc(r.waiting, func(o *tier.Waiter) bool { return o == w })
	c := r.classes[w.Class]
	if slices.ContainsFunc(r.waitersOf(w.Class), func(o *tier.Waiter) bool { return o.Workspace == w.Workspace }) {
		return
	}
	if c.turns[0] == w.Workspace {
		c.quantumGranted = false
	}
	c.turns = slices.DeleteFunc(c.turns, func(ws id.Workspace) bool { return ws == w.Workspace })
	c.skipEndMark()
	delete(c.deficit, w.Workspace)
}

// skipEndMark moves the mark to the end of the list if it is at the start, so that the
// first name is always that of a flow.
func (c *referenceClass) skipEndMark() {
	if c.turns[0] == "" {
		c.turns = append(c.turns[1:], "")
	}
}

func (r *referenceQueue) next(now time.Time) tier.Selection {
	var waitingClasses []id.Class
	for _, w := range r.waiting {
		if !slices.Contains(waitingClasses, w.Class) {
			waitingClasses = append(waitingClasses, w.Class)
		}
	}
	if len(waitingClasses) == 0 {
		return tier.Idle{}
	}
	tierOf := func(c id.Class) tier.Tier { return r.waitersOf(c)[0].Tier }
	slices.SortFunc(waitingClasses, func(a, b id.Class) int {
		return cmp.Or(cmp.Compare(tierOf(a), tierOf(b)), cmp.Compare(r.classes[a].servedTokens, r.classes[b].servedTokens), cmp.Compare(a, b))
	})
	first := waitingClasses[0]
	starving := slices.DeleteFunc(slices.Clone(waitingClasses), func(c id.Class) bool {
		return r.classes[c].otherDispatches < r.cfg.StarvationDispatches || now.Sub(r.classes[c].lastDispatch) < r.cfg.StarvationTimeout
	})
	slices.SortFunc(starving, func(a, b id.Class) int {
		return cmp.Or(r.classes[a].lastDispatch.Compare(r.classes[b].lastDispatch), cmp.Compare(a, b))
	})
	if len(starving) > 0 && starving[0] != first {
		return tier.Starving{Waiter: r.nextOf(starving[0])}
	}
	candidates := slices.DeleteFunc(slices.Clone(waitingClasses), func(c id.Class) bool {
		return tierOf(c) <= tierOf(first) || !r.belowFloor(now, c)
	})
	slices.SortFunc(candidates, func(a, b id.Class) int { return cmp.Or(cmp.Compare(tierOf(a), tierOf(b)), cmp.Compare(a, b)) })
	if len(candidates) > 0 {
		return tier.BelowFloor{Waiter: r.nextOf(candidates[0])}
	}
	return tier.InTurn{Waiter: r.nextOf(first)}
}

func (r *referenceQueue) belowFloor(now time.Time, class id.Class) bool {
	list := r.waitersOf(class)
	floor := list[0].Floor
	if floor == 0 || r.classes[class].otherDispatches+1 < int(1/floor) {
		return false
	}
	all, own := 0, 0
	for _, d := range r.dispatches {
		if inWindow(now, d.at) {
			all++
			if d.class == class {
				own++
			}
		}
	}
	if float64(own) >= floor*float64(all) {
		return false
	}
	var higher []*tier.Waiter
	for _, w := range r.waiting {
		if w.Tier < list[0].Tier {
			higher = append(higher, w)
		}
	}
	need := time.Second
	if perSecond, known := r.rate(now); known {
		need = max(need, time.Duration(float64(len(higher)+1)/perSecond*float64(time.Second)))
	}
	return !slices.ContainsFunc(higher, func(w *tier.Waiter) bool { return w.StartBy.Sub(now) <= need })
}

// nextOf runs the deficit round robin of one class, one flow at a time.
func (r *referenceQueue) nextOf(class id.Class) *tier.Waiter {
	c := r.classes[class]
	for {
		ws := c.turns[0]
		list := slices.DeleteFunc(r.waitersOf(class), func(w *tier.Waiter) bool { return w.Workspace != ws })
		if !c.quantumGranted {
			c.quantumGranted = true
			c.deficit[ws] += max(64, c.meanCost) * list[0].Share / c.minShare
		}
		if float64(list[0].Cost) <= c.deficit[ws] {
			return list[0]
		}
		c.quantumGranted = false
		c.turns = append(c.turns[1:], ws)
		c.skipEndMark()
	}
}

func (r *referenceQueue) dispatch(now time.Time, w *tier.Waiter) {
	r.dispatches = append(r.dispatches, dispatch{now, w.Class})
	for name, c := range r.classes {
		if name != w.Class && len(r.waitersOf(name)) > 0 {
			c.otherDispatches++
		}
	}
	c := r.classes[w.Class]
	c.deficit[w.Workspace] -= float64(w.Cost)
	c.servedTokens += float64(w.Cost)
	c.otherDispatches = 0
	c.lastDispatch = now
	r.remove(now, w)
}

func (r *referenceQueue) popExpired(now time.Time) *tier.Waiter {
	late := slices.DeleteFunc(slices.Clone(r.waiting), func(w *tier.Waiter) bool { return now.Before(w.StartBy) })
	if len(late) == 0 {
		return nil
	}
	slices.SortFunc(late, func(a, b *tier.Waiter) int {
		return cmp.Or(cmp.Compare(b.Tier, a.Tier), a.StartBy.Compare(b.StartBy), byArrival(a, b))
	})
	r.remove(now, late[0])
	return late[0]
}
