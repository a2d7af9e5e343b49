package pool

// This file defines how requests use the slots of upstreams that are cold (cold.go) or have named a
// limit (limit.go).

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
)

// nextSlot returns when an upstream that is cold or has named a limit accepts the next request of
// this gateway, and how many a second. Paced is false if it needs no slot. The caller holds the lock.
func (p *Pool) nextSlot(now time.Time, u *upstreamState) (at time.Time, perSecond float64, paced bool) {
	add := func(slots *quota.Slots, rate quota.Rate) {
		if next := slots.Next(now, rate, p.fleet); next.After(at) {
			at = next
		}
		if part := p.fleet.Part(float64(rate.PerSecond)); !paced || part < perSecond {
			perSecond = part
		}
		paced = true
	}
	if rate, cold := p.coldRate(now, u); cold {
		add(&u.coldSlots, rate)
	}
	if rate, slots, limited := u.limitRate(); limited {
		add(slots, rate)
	}
	return at, perSecond, paced
}

// takenSlot is a slot that a request uses.
type takenSlot struct {
	of   *quota.Slots
	slot quota.Slot
}

// takeSlots uses the slots that an assigned request needs. The caller holds the lock.
func (p *Pool) takeSlots(now time.Time, a *Assignment) {
	take := func(slots *quota.Slots, rate quota.Rate) {
		a.taken = append(a.taken, takenSlot{slots, slots.Take(now, rate, p.fleet)})
	}
	if rate, cold := p.coldRate(now, a.state); cold {
		take(&a.state.coldSlots, rate)
	}
	if rate, slots, limited := a.state.limitRate(); limited {
		a.Limited, a.Part = true, id.PerSecond(p.fleet.Part(float64(rate.PerSecond)))
		take(slots, rate)
	}
}

// passingSlot returns a limited upstream with a slot that is about to pass unused and less load than
// the others have on average, or nil. Without it, gateways that few requests reach would leave most of a
// limit unused and hear of its end late. The caller holds the lock.
func (p *Pool) passingSlot(now time.Time, eligible []*upstreamState, rq *Request) *upstreamState {
	for _, u := range eligible {
		rate, slots, limited := u.limitRate()
		if limited && quota.Passing(now, slots.Next(now, rate, p.fleet)) && p.work(u) < p.meanWork(eligible) && !isLong(&rq.Prompt, p.longPromptThreshold(rq.Service)) {
			return u
		}
	}
	return nil
}

// Unsent records that nothing of the request was sent: it has used no slot.
func (a *Assignment) Unsent() {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	for _, t := range a.taken {
		t.of.GiveBack(t.slot)
	}
	a.taken = nil
}
