package pool

// This file defines pacer, which spaces the requests that a cold upstream is sent.
// It answers the load pattern of a data centre that comes back whole: every entry
// sees the same empty upstreams, and all of them together must stay below the rate
// at which a cold upstream falls over.

import "time"

// coldShare is the part of the rate that cold upstreams bear which all entries
// together use: entries differ for a moment in how many they believe to be alive.
const coldShare = 0.7

// pacer lets requests pass at a steady rate, without bursts.
type pacer struct{ next time.Time }

// ready reports whether a request may pass now.
func (c *pacer) ready(now time.Time) bool { return !now.Before(c.next) }

// take counts a request that passes, at a rate a second.
func (c *pacer) take(now time.Time, rate float64) {
	c.next = now.Add(time.Duration(float64(time.Second) / rate))
}
