package pool

// This file defines which part of the requests of an urgency is refused for the sake of more urgent ones. The
// decision is the same at all gateways that know of the same loads: it walks up from the least urgent
// level and refuses a level in whole only where those below it are refused in whole.

import (
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// reserveDeviations is how many standard deviations of the slots that more urgent requests will hold
	// are kept free beside what they will hold on average.
	reserveDeviations = 3
	// maxUrgentRefused is the share of requests that may be refused for their wait before less urgent ones
	// are refused in their place, and twice that the share from which on all of these are.
	maxUrgentRefused = 0.05
	// minYieldUtilisation is the part of the slots that must be in use for that. Engines read the prompts of
	// more urgent requests first, so that these wait for less urgent ones only where slots are short.
	minYieldUtilisation = 0.5
	// shedHorizon is the time in which a level that holds more slots than its quota, or less, is to
	// reach it. The loads of peers are older than a round of exchanges.
	shedHorizon = 500 * time.Millisecond
)

// quotaHolds are the times for which slots are planned, as multiples of how long a request holds one.
var quotaHolds = [...]float64{0, 1.0 / 8, 1.0 / 4, 1.0 / 2, 1, 2}

// slots returns how many slots the engines of a service have that accept requests. The caller holds the lock.
func (p *Pool) slots(s id.Service) (slots int) {
	for _, u := range p.byService[s] {
		if p.acceptsWork(u) {
			slots += u.Slots
		}
	}
	return slots
}

// slotQuota returns how many slots the requests of a level may hold so that more urgent ones find as many as they
// are expected to need at any later time. The level releases its slots only as fast as its requests end. The
// slots that less urgent ones hold do not count, as these are the first to be refused.
func slotQuota(load *Load, slots, level int) float64 {
	pessimism := load.lowestShare(level)
	hold, quota := load.Levels[level].hold(pessimism), math.Inf(1)
	for _, holds := range quotaHolds {
		urgent, variance := 0.0, 0.0
		for l := range level {
			mean, v := load.Levels[l].occupancy(holds*hold, pessimism)
			urgent += mean
			variance += v
		}
		left := float64(slots) - urgent - reserveDeviations*math.Sqrt(variance)
		quota = min(quota, left*math.Exp(holds))
	}
	return max(0, quota)
}

// lowestShare returns the demand of a level as a share of that of all levels that are no more urgent: one if
// nothing less urgent arrives. What others below it can give up need not be taken from a level in advance.
func (l *Load) lowestShare(level int) float64 {
	own, below := l.Levels[level].demand(0), l.demandBelow(level)
	if own+below == 0 {
		return 1
	}
	return own / (own + below)
}

// demandBelow returns the demand of all levels that are less urgent than one.
func (l *Load) demandBelow(level int) (demand float64) {
	for i := level + 1; i < UrgencyLevels; i++ {
		demand += l.Levels[i].demand(0)
	}
	return demand
}

// slotShare returns the share of the requests of a level that may begin so that it keeps to its quota of
// slots.
func slotShare(load *Load, slots, level int) float64 {
	own := &load.Levels[level]
	urgent := 0
	for l := range level {
		urgent += load.Levels[l].Running
	}
	hold, soon := own.hold(0), shedHorizon.Seconds()
	if urgent == 0 || hold == 0 || own.Arrived == 0 {
		return 1
	}
	staying := float64(own.Running) * (1 - turnover(soon, hold))
	return min(1, max(0, (slotQuota(load, slots, level)-staying)/(own.Arrived*soon)))
}

// yieldShare returns the share of the requests of a level that need not be refused because more urgent ones
// are refused for their wait. The more of these are, the more slots less urgent ones give up, the least
// urgent first. Prompts that are not long do not yield to long ones, which wait for other engines.
func yieldShare(load *Load, slots, level int, long bool) float64 {
	if float64(load.Running) < minYieldUtilisation*float64(slots) {
		return 1
	}
	excess := 0.0
	for l := range level {
		urgent := &load.Levels[l]
		refused := urgent.Refused
		if !long {
			refused -= urgent.RefusedLong
		}
		if repeated := refused - 1; repeated > 0 {
			excess = max(excess, repeated/urgent.Arrived/maxUrgentRefused-1)
		}
	}
	if excess <= 0 {
		return 1
	}
	own, below := load.Levels[level].demand(0), load.demandBelow(level)
	givenUp := min(1, excess) * (own + below)
	if own == 0 {
		return 1 - min(1, excess)
	}
	return min(1, max(0, 1-(givenUp-below)/own))
}

// Shed says why a request is refused for the sake of more urgent ones.
type Shed struct {
	ForSlots bool    // these need the slots that are left; otherwise, some of them are refused
	Share    float64 // of the requests of its urgency that begin nevertheless
	Load     Load    // of the service by the requests of all gateways
	Slots    int     // of the service
}

// shed returns why a request of a level is refused for the sake of more urgent ones, or nil if it is not. The
// caller holds the lock.
func (p *Pool) shed(now time.Time, rq *Request, level int) *Shed {
	load, long := p.fleetLoad(now, rq.Service), isLong(&rq.Prompt, p.longPromptThreshold(rq.Service))
	slots := p.slots(rq.Service)
	share, forSlots := yieldShare(&load, slots, level, long), false
	if p.peerLoads != nil && slots > 0 {
		if found := slotShare(&load, slots, level); found < share {
			share, forSlots = found, true
		}
	}
	own := &p.admissionsOf(rq.Service)[level]
	left := &own.shareLeft
	if long {
		left = &own.longShareLeft
	}
	if share >= 1 {
		*left = 0
		return nil
	}
	if *left += share; *left >= 1 {
		*left--
		return nil
	}
	return &Shed{ForSlots: forSlots, Share: share, Load: load, Slots: slots}
}

// releaseInterval returns the time between two releases of a slot by requests of a level, at all gateways.
func (s *Shed) releaseInterval(level int) time.Duration {
	l := &s.Load.Levels[level]
	return time.Duration(l.hold(0) / float64(max(1, l.Running)) * float64(time.Second))
}
