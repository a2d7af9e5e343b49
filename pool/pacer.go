package pool

// This file defines pacer, which limits the rate of requests to a cold upstream. When a
// whole data centre comes back, every gateway sees the same idle upstreams, and all
// gateways together must stay below the rate at which a cold upstream fails.

import "time"

// coldRateShare is the fraction of the rate limit of a cold upstream that all gateways
// together use. The rest is a margin for the moments in which gateways disagree about
// how many of them are alive.
const coldRateShare = 0.7

// pacerSlotLength is how long a gateway may use the slot that its pacer gives it. Slots that
// pass unused are lost: without this, all gateways of a large fleet could send their requests
// at the moment at which a surge begins.
const pacerSlotLength = 500 * time.Millisecond

// maxPacerInterval bounds the time between two slots.
const maxPacerInterval = 365 * 24 * time.Hour

// pacer is a rate limiter that spaces requests evenly and allows no bursts. The first slot
// begins at a random phase, so that the slots of many gateways are spread.
type pacer struct {
	startedAt time.Time
	phase     float64   // of the first slot, as a fraction of the interval between slots
	nextAt    time.Time // start of the next slot; zero: the first one
}

// start begins a period in which the rate is limited. Phase is from 0 to 1.
func (p *pacer) start(now time.Time, phase float64) { *p = pacer{startedAt: now, phase: phase} }

// slot returns when the present slot began or the next one begins, at a limit of rate requests
// a second.
func (p *pacer) slot(now time.Time, rate float64) time.Time {
	interval := interval(rate)
	at := p.nextAt
	if at.IsZero() {
		at = p.startedAt.Add(time.Duration(p.phase * float64(interval)))
	}
	if late := now.Sub(at) - pacerSlotLength; late > 0 {
		at = at.Add((late + interval - 1) / interval * interval)
	}
	return at
}

// take records that a request is sent, at a limit of rate requests a second.
func (p *pacer) take(now time.Time, rate float64) {
	p.nextAt = now.Add(interval(rate))
}

// interval returns the time between two slots, which is above zero.
func interval(rate float64) time.Duration {
	return time.Duration(min(max(float64(time.Second)/rate, 1), float64(maxPacerInterval)))
}
