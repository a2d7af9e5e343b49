package pool

// This file defines pacer, which limits the rate of requests to a cold upstream. When a
// whole data centre comes back, every gateway sees the same idle upstreams, and all
// gateways together must stay below the rate at which a cold upstream fails.

import "time"

// coldRateShare is the fraction of the rate limit of a cold upstream that all gateways
// together use. The rest is a margin for the moments in which gateways disagree about
// how many of them are alive.
const coldRateShare = 0.7

// pacer is a rate limiter that spaces requests evenly and allows no bursts.
type pacer struct{ nextAt time.Time }

// ready reports whether a request may be sent now.
func (p *pacer) ready(now time.Time) bool { return !now.Before(p.nextAt) }

// take records that a request is sent, at a limit of rate requests a second.
func (p *pacer) take(now time.Time, rate float64) {
	p.nextAt = now.Add(time.Duration(float64(time.Second) / rate))
}
