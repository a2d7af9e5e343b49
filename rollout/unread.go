package rollout

// This file defines what a Register does with orders that it has not read, and of which only records or peers tell.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// missingTime is how long an order is missing among those that were read until it counts as withdrawn. It is longer than an order of a store that came
// back older is held.
const missingTime = 10 * time.Second

// noteUnread keeps an order that this gateway has not read, if it knows none of the service. The caller holds the lock.
func (g *Register) noteUnread(now time.Time, o Order) {
	if g.rollouts[o.Service] == nil && o.Service != "" && o.Target != "" {
		r := newRollout(now, o, make(map[id.Version]bool))
		r.unread = true
		g.rollouts[o.Service] = r
	}
}

// noteRecord is noteUnread for the order of a record.
func (g *Register) noteRecord(record Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.noteUnread(record.Started, Order{Service: record.Service, Target: record.Target, Offset: record.Order})
}

// NoteOrdersRead records that all orders that lie before a position have been read. One that is not among them, and whose record says that it is
// carried out, was withdrawn before any gateway of today has started.
func (g *Register) NoteOrdersRead(now time.Time, next feed.Offset) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.rollouts {
		switch {
		case !r.unread || r.withdrawn || r.record.State == Unknown || r.record.State.Final() || r.order.Offset >= next:
			r.missingSince = time.Time{}
		case r.missingSince.IsZero():
			r.missingSince = now
		case now.Sub(r.missingSince) >= missingTime:
			r.withdrawn = true
			g.version++
		}
	}
}
