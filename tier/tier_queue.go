package tier

// This file defines tierQueue, which keeps the waiters of one tier in arrival
// order and in expiry order.

import "container/heap"

// tierQueue holds the waiters of one tier in a doubly linked list ordered by
// arrival and in a heap ordered by StartBy.
type tierQueue struct {
	length     int
	oldest     *Waiter
	newest     *Waiter
	expiryHeap expiryHeap
}

// insert adds w at the position of its arrival time. It checks the oldest end
// first, because a requeued waiter is usually older than all others, and then
// searches from the newest end, where new waiters belong.
func (l *tierQueue) insert(w *Waiter) {
	heap.Push(&l.expiryHeap, w)
	l.length++
	if l.oldest == nil || w.before(l.oldest) {
		l.link(nil, w, l.oldest)
		return
	}
	prev := l.newest
	for w.before(prev) {
		prev = prev.older
	}
	l.link(prev, w, prev.newer)
}

// link inserts w between two neighbours. A nil neighbour means an end of the
// list.
func (l *tierQueue) link(older, w, newer *Waiter) {
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

func (l *tierQueue) remove(w *Waiter) {
	heap.Remove(&l.expiryHeap, w.expiryIndex)
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

// expiryHeap implements heap.Interface. The waiter with the earliest StartBy comes
// first; ties go to the older waiter.
type expiryHeap []*Waiter

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if !a.StartBy.Equal(b.StartBy) {
		return a.StartBy.Before(b.StartBy)
	}
	return a.before(b)
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*Waiter)
	w.expiryIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	n := len(*h) - 1
	w := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	return w
}
