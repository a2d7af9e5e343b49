package tier_test

// This file defines naive, a queue that keeps one list and sorts it for every
// decision. It follows the words of the design rather than its data structures.

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/tier"
)

type naive struct {
	cfg     tier.Config
	waiting []*tier.Waiter
	classes map[id.Class]*naiveClass

	dispatches []dispatch
	backlog    []spell
	since      time.Time
}

type dispatch struct {
	at    time.Time
	class id.Class
}

type spell struct{ from, to time.Time }

type naiveClass struct {
	served     float64
	others     int
	lastServed time.Time
	meanCost   float64
	leastShare float64
	turns      []id.Workspace // the first one's turn it is
	deficit    map[id.Workspace]float64
	granted    bool // the first one has its quantum
}

func newNaive(cfg tier.Config) *naive {
	return &naive{cfg: cfg, classes: map[id.Class]*naiveClass{}}
}

func byPlace(a, b *tier.Waiter) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.Request, b.Request))
}

func (n *naive) push(now time.Time, w *tier.Waiter) tier.PushResult {
	if w.Requeued {
		n.insert(now, w)
		return tier.Queued{}
	}
	if h, ok := n.hopeless(now, w); ok {
		return h
	}
	if len(n.waiting) < n.cfg.MaxLength {
		n.insert(now, w)
		return tier.Queued{}
	}
	all := slices.Clone(n.waiting)
	slices.SortFunc(all, func(a, b *tier.Waiter) int { return cmp.Or(cmp.Compare(b.Tier, a.Tier), byPlace(b, a)) })
	victim := all[0]
	if victim.Tier < w.Tier || victim.Tier == w.Tier && byPlace(victim, w) < 0 {
		return tier.Full{}
	}
	n.remove(now, victim)
	n.insert(now, w)
	return tier.Displaced{Waiter: victim}
}

func (n *naive) hopeless(now time.Time, w *tier.Waiter) (tier.Infeasible, bool) {
	perSecond, known := n.rate(now)
	if !known {
		return tier.Infeasible{}, false
	}
	each := time.Duration(float64(time.Second) / (perSecond * 1.5))
	wait := time.Duration(0)
	all := slices.Clone(n.waiting)
	slices.SortFunc(all, func(a, b *tier.Waiter) int { return cmp.Or(cmp.Compare(a.Tier, b.Tier), byPlace(a, b)) })
	for _, o := range all {
		higher := o.Tier < w.Tier && !o.StartBy.Before(w.StartBy)
		own := o.Class == w.Class && o.Workspace == w.Workspace && byPlace(o, w) < 0 && o.StartBy.After(now.Add(wait))
		if higher || own {
			wait += each
		}
	}
	return tier.Infeasible{MinWait: wait}, wait > w.StartBy.Sub(now)
}

// recent reports whether at lies in the ten whole seconds up to now.
func recent(now, at time.Time) bool { return now.Unix()-at.Unix() < 10 }

func (n *naive) rate(now time.Time) (float64, bool) {
	n.account(now)
	served, backlog := 0.0, time.Duration(0)
	for _, d := range n.dispatches {
		if recent(now, d.at) {
			served++
		}
	}
	for _, s := range n.backlog {
		from := now.Truncate(time.Second).Add(-9 * time.Second)
		if s.from.After(from) {
			from = s.from
		}
		backlog += max(0, s.to.Sub(from))
	}
	if served < 16 || backlog < 2*time.Second {
		return 0, false
	}
	return served / backlog.Seconds(), true
}

func (n *naive) account(now time.Time) {
	if len(n.waiting) > 0 && now.After(n.since) {
		n.backlog = append(n.backlog, spell{n.since, now})
	}
	n.since = now
}

func (n *naive) of(class id.Class) []*tier.Waiter {
	var list []*tier.Waiter
	for _, w := range n.waiting {
		if w.Class == class {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, byPlace)
	return list
}

func (n *naive) insert(now time.Time, w *tier.Waiter) {
	n.account(now)
	c := n.classes[w.Class]
	if c == nil {
		c = &naiveClass{meanCost: 64}
		n.classes[w.Class] = c
	}
	if len(n.of(w.Class)) == 0 {
		least := -1.0
		for name, o := range n.classes {
			if list := n.of(name); len(list) > 0 && list[0].Tier == w.Tier && (least < 0 || o.served < least) {
				least = o.served
			}
		}
		*c = naiveClass{served: max(c.served, least), lastServed: now, meanCost: c.meanCost, leastShare: w.Share, deficit: map[id.Workspace]float64{}}
	}
	c.leastShare = min(c.leastShare, w.Share)
	c.meanCost += (float64(w.Cost) - c.meanCost) / 64
	if !slices.Contains(c.turns, w.Workspace) {
		c.insertTurn(w.Workspace)
	}
	n.waiting = append(n.waiting, w)
}

// insertTurn puts a workspace behind those that wait for their turn in this and
// the next round. The ring of the queue starts at a fixed flow; here it starts at
// the one whose turn it is, with the start kept as an empty name.
func (c *naiveClass) insertTurn(ws id.Workspace) {
	i := slices.Index(c.turns, "")
	if i < 0 {
		c.turns = append(c.turns, ws, "")
		return
	}
	c.turns = slices.Insert(c.turns, i, ws)
}

func (n *naive) remove(now time.Time, w *tier.Waiter) {
	n.account(now)
	n.waiting = slices.DeleteFunc(n.waiting, func(o *tier.Waiter) bool { return o == w })
	c := n.classes[w.Class]
	if slices.ContainsFunc(n.of(w.Class), func(o *tier.Waiter) bool { return o.Workspace == w.Workspace }) {
		return
	}
	if c.turns[0] == w.Workspace {
		c.granted = false
	}
	c.turns = slices.DeleteFunc(c.turns, func(ws id.Workspace) bool { return ws == w.Workspace })
	c.skipStart()
	delete(c.deficit, w.Workspace)
}

func (c *naiveClass) skipStart() {
	if c.turns[0] == "" {
		c.turns = append(c.turns[1:], "")
	}
}

func (n *naive) next(now time.Time) tier.Selection {
	var present []id.Class
	for _, w := range n.waiting {
		if !slices.Contains(present, w.Class) {
			present = append(present, w.Class)
		}
	}
	if len(present) == 0 {
		return tier.Idle{}
	}
	tierOf := func(c id.Class) tier.Tier { return n.of(c)[0].Tier }
	slices.SortFunc(present, func(a, b id.Class) int {
		return cmp.Or(cmp.Compare(tierOf(a), tierOf(b)), cmp.Compare(n.classes[a].served, n.classes[b].served), cmp.Compare(a, b))
	})
	first := present[0]
	starving := slices.DeleteFunc(slices.Clone(present), func(c id.Class) bool {
		return n.classes[c].others < n.cfg.StarvationDispatches || now.Sub(n.classes[c].lastServed) < n.cfg.StarvationTimeout
	})
	slices.SortFunc(starving, func(a, b id.Class) int {
		return cmp.Or(n.classes[a].lastServed.Compare(n.classes[b].lastServed), cmp.Compare(a, b))
	})
	if len(starving) > 0 && starving[0] != first {
		return tier.Starving{Waiter: n.oldest(starving[0])}
	}
	due := slices.DeleteFunc(slices.Clone(present), func(c id.Class) bool {
		return tierOf(c) <= tierOf(first) || !n.below(now, c)
	})
	slices.SortFunc(due, func(a, b id.Class) int { return cmp.Or(cmp.Compare(tierOf(a), tierOf(b)), cmp.Compare(a, b)) })
	if len(due) > 0 {
		return tier.BelowFloor{Waiter: n.oldest(due[0])}
	}
	return tier.InTurn{Waiter: n.oldest(first)}
}

func (n *naive) below(now time.Time, class id.Class) bool {
	list := n.of(class)
	floor := list[0].Floor
	if floor == 0 || n.classes[class].others+1 < int(1/floor) {
		return false
	}
	all, own := 0, 0
	for _, d := range n.dispatches {
		if recent(now, d.at) {
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
	for _, w := range n.waiting {
		if w.Tier < list[0].Tier {
			higher = append(higher, w)
		}
	}
	need := time.Second
	if perSecond, known := n.rate(now); known {
		need = max(need, time.Duration(float64(len(higher)+1)/perSecond*float64(time.Second)))
	}
	return !slices.ContainsFunc(higher, func(w *tier.Waiter) bool { return w.StartBy.Sub(now) <= need })
}

// oldest goes through the turns one at a time.
func (n *naive) oldest(class id.Class) *tier.Waiter {
	c := n.classes[class]
	for {
		ws := c.turns[0]
		list := slices.DeleteFunc(n.of(class), func(w *tier.Waiter) bool { return w.Workspace != ws })
		if !c.granted {
			c.granted = true
			c.deficit[ws] += max(64, c.meanCost) * list[0].Share / c.leastShare
		}
		if float64(list[0].Cost) <= c.deficit[ws] {
			return list[0]
		}
		c.granted = false
		c.turns = append(c.turns[1:], ws)
		c.skipStart()
	}
}

func (n *naive) take(now time.Time, w *tier.Waiter) {
	n.dispatches = append(n.dispatches, dispatch{now, w.Class})
	for name, c := range n.classes {
		if name != w.Class && len(n.of(name)) > 0 {
			c.others++
		}
	}
	c := n.classes[w.Class]
	c.deficit[w.Workspace] -= float64(w.Cost)
	c.served += float64(w.Cost)
	c.others = 0
	c.lastServed = now
	n.remove(now, w)
}

func (n *naive) expired(now time.Time) *tier.Waiter {
	late := slices.DeleteFunc(slices.Clone(n.waiting), func(w *tier.Waiter) bool { return now.Before(w.StartBy) })
	if len(late) == 0 {
		return nil
	}
	slices.SortFunc(late, func(a, b *tier.Waiter) int {
		return cmp.Or(cmp.Compare(b.Tier, a.Tier), a.StartBy.Compare(b.StartBy), byPlace(a, b))
	})
	n.remove(now, late[0])
	return late[0]
}
