package emulator

// This file defines the callers of a Site in play.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/pool"
)

// impatientWait is how long a caller waits that does not wait as it is told.
const impatientWait = 20 * time.Millisecond

// call is what a caller wants, with all its requests for it.
type call struct {
	day       *day
	kind      int
	prompt    pool.Prompt
	counted   bool
	impatient bool
	sent      time.Time
	deadline  time.Time
	gateway   int
	retries   int       // left
	returns   int       // requests sent after a wait that a refusal asked for
	first     time.Time // event
	latest    time.Time // request or event
	longest   time.Duration
	over      bool
	dispatch  *dispatch // nil: it waits to return
}

// newCall returns a call of a kind.
func (d *day) newCall(kind int, prompt pool.Prompt) *call {
	k, now := &d.site.Kinds[kind], d.clock.Now()
	return &call{
		day: d, kind: kind, prompt: prompt, counted: d.counted(), impatient: d.rand.Float64() < k.Impatient, sent: now,
		deadline: now.Add(k.Deadline.Duration), gateway: d.callers[d.rand.IntN(len(d.callers))], retries: k.Retries,
	}
}

// details returns the properties of the kind of the call.
func (c *call) details() *Kind { return &c.day.site.Kinds[c.kind] }

// send sends the first request.
func (c *call) send() {
	c.day.clock.After(c.details().Deadline.Duration, c.leave)
	c.request()
}

// request sends a request to the gateway.
func (c *call) request() {
	d := c.day
	c.latest = d.clock.Now()
	x := &dispatch{call: c, relay: d.gateways[c.gateway]}
	c.dispatch = x
	d.clock.After(d.site.CallerLatency.Duration, x.begin)
	c.watch(x)
}

// watch has the caller leave when its latest request has got nothing for too long.
func (c *call) watch(x *dispatch) {
	d, now := c.day, c.day.clock.Now()
	due := c.latest.Add(c.details().Patience.Duration)
	switch {
	case c.over, c.dispatch != x, due.After(c.deadline):
	case now.Before(due):
		d.clock.After(due.Sub(now), func() { c.watch(x) })
	default:
		c.leave()
	}
}

// leave is called when the caller gives up.
func (c *call) leave() {
	if c.over {
		return
	}
	if x := c.dispatch; x != nil {
		c.day.clock.After(c.day.site.CallerLatency.Duration, x.abandon)
	}
	c.fail()
}

// fail ends the call without a whole answer.
func (c *call) fail() { c.finish(Failed) }

// receive is called when an event of the answer reaches the caller.
func (c *call) receive(last bool) {
	if c.over {
		return
	}
	now := c.day.clock.Now()
	if c.first.IsZero() {
		c.first = now
	} else {
		c.longest = max(c.longest, now.Sub(c.latest))
	}
	c.latest = now
	if last {
		c.finish(c.outcomeOfWhole())
	}
}

// outcomeOfWhole returns whether an answer that is complete was in time.
func (c *call) outcomeOfWhole() Outcome {
	k := c.details()
	if c.first.Sub(c.sent) > k.Objective.Duration || k.GapObjective.Duration > 0 && c.longest > k.GapObjective.Duration {
		return Late
	}
	return InTime
}

// refused is called when the caller hears that its request has not run. It returns after the time
// that it was told, or after a third of what is left, at another gateway.
func (c *call) refused(retryAfter time.Duration) {
	if c.over {
		return
	}
	d := c.day
	c.dispatch = nil
	c.day.result.addRefusal(c)
	if c.retries == 0 {
		c.finish(Refused)
		return
	}
	c.retries--
	wait := min(retryAfter, c.deadline.Sub(d.clock.Now())/3)
	if c.impatient {
		wait = impatientWait
	} else {
		c.returns++
	}
	d.clock.After(wait, func() {
		if !c.over {
			c.gateway = d.rand.IntN(d.site.Gateways)
			c.request()
		}
	})
}

// finish ends the call.
func (c *call) finish(o Outcome) {
	if !c.over {
		c.over = true
		c.day.result.addCall(c, o)
	}
}
