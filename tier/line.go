package tier

// This file defines line, the waiters of one tier in the order of their arrival
// and in the order of their expiry.

import "container/heap"

// line is a doubly linked list by arrival, and a heap by StartBy.
type line struct {
	length   int
	oldest   *Waiter
	newest   *Waiter
	expiries expiries
}

// insert puts w in the place of its arrival. A new waiter is found a place from
// the newest on; one that comes back is usually older than all.
func (l *line) insert(w *Waiter) {
	heap.Push(&l.expiries, w)
	l.length++
	if l.oldest == nil || w.before(l.oldest) {
		l.link(nil, w, l.oldest)
		return
	}
	after := l.newest
	for w.before(after) {
		after = after.older
	}
	l.link(after, w, after.newer)
}

// link puts w between two neighbours; nil is an end of the list.
func (l *line) link(older, w, newer *Waiter) {
	w.older, w.newer = older, newer
	if older == nil {
		l.oldest = w
	} else {
		older.newer = w
	}
	if newer == nil {
		l.newest = w
	} else {
		newer.older = w
	}
}

func (l *line) remove(w *Waiter) {
	heap.Remove(&l.expiries, w.expiryRank)
	l.length--
	if w.older == nil {
		l.oldest = w.newer
	} else {
		w.older.newer = w.newer
	}
	if w.newer == nil {
		l.newest = w.older
	} else {
		w.newer.older = w.older
	}
	w.older, w.newer = nil, nil
}

// expiries is a heap.Interface with the earliest StartBy first, and the older of two
// that are equal.
type expiries []*Waiter

func (h expiries) Len() int { return len(h) }

func (h expiries) Less(i, j int) bool {
	a, b := h[i], h[j]
	if !a.StartBy.Equal(b.StartBy) {
		return a.StartBy.Before(b.StartBy)
	}
	return a.before(b)
}

func (h expiries) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryRank, h[j].expiryRank = i, j
}

// Push implements heap.Interface.
func (h *expiries) Push(x any) {
	w := x.(*Waiter)
	w.expiryRank = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiries) Pop() any {
	n := len(*h) - 1
	w := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return w
}
