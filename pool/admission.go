package pool

// This file defines admission: how long requests are expected to wait for engines that have prompts to read,
// and which requests are refused because the wait would be too long, or because more urgent ones are
// refused or need the slots that are left. It answers a load that is above what the engines of a service bear
// (docs/design/overload.md).

import (
	"math"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// backlogPriorTokens is the backlog of one gateway at an engine above which its own requests tell
	// more of the engine's backlog than those of all gateways tell of the average.
	backlogPriorTokens = 20_000
	// readPriorTokens is the recorded work that weighs as much as the speed that is assumed of an
	// engine.
	readPriorTokens = 1_000_000
	// loadTimeConstant is the time constant of the exponential decay of recorded waits and holds of slots.
	loadTimeConstant = 5 * time.Second
	// admissionSpan is half of the longest time for which requests that were admitted or refused
	// count.
	admissionSpan = 500 * time.Millisecond
	// meanCountedTime is the time for which requests count on average.
	meanCountedTime = 3 * admissionSpan / 2
	// moveWaitFactor is how many times the longest wait for which it is admitted a request
	// may wait at the engine that it prefers. Elsewhere its prompt would have to be read anew.
	moveWaitFactor = 2
	// minReturnWait is the shortest time until a refused caller is to return.
	minReturnWait = 100 * time.Millisecond
)

// Overloaded means that no upstream is expected to begin with the request in time, or that it goes without for
// the sake of more urgent ones.
type Overloaded struct {
	Wait    time.Duration // that is expected
	Shed    *Shed         // why it is refused although the wait would be short enough; nil: it would not
	RetryAt time.Time     // when the caller is to return
}

func (*Overloaded) decision() {}

// backlog is how many tokens of prompts an upstream has not read yet, by urgency level.
type backlog [UrgencyLevels]id.Tokens

// urgencyLevel returns the level of an urgency.
func urgencyLevel(urgency int) int { return min(max(urgency, 0), UrgencyLevels-1) }

// before returns the tokens that are read before a new request of a level: those of requests that are as
// urgent or more.
func (b *backlog) before(level int) (tokens id.Tokens) {
	for _, n := range b[:level+1] {
		tokens += n
	}
	return tokens
}

// decayingSum is a sum whose values lose weight exponentially with time.
type decayingSum struct {
	sum float64
	at  time.Time // up to which it has decayed
}

// value returns the sum at a time.
func (d *decayingSum) value(now time.Time) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		return d.sum * math.Exp(-elapsed.Seconds()/loadTimeConstant.Seconds())
	}
	return d.sum
}

// add adds a value.
func (d *decayingSum) add(now time.Time, value float64) {
	d.sum, d.at = d.value(now)+value, now
}

// recentCount counts what happened in the present span of time and in the one before.
type recentCount struct {
	present, previous int
	began             time.Time // when the present span began
}

// rate returns how many happened in a second, up to a time.
func (c *recentCount) rate(now time.Time) float64 {
	switch elapsed := max(0, now.Sub(c.began)); {
	case elapsed < admissionSpan:
		return float64(c.present+c.previous) / (admissionSpan + elapsed).Seconds()
	case elapsed < 2*admissionSpan:
		return float64(c.present) / elapsed.Seconds()
	}
	return 0
}

// add adds one.
func (c *recentCount) add(now time.Time) {
	if elapsed := now.Sub(c.began); elapsed >= admissionSpan {
		if elapsed >= 2*admissionSpan {
			c.present = 0
		}
		c.previous, c.present, c.began = c.present, 0, now
	}
	c.present++
}

// admission is what is known of the recent requests of a service with one urgency level.
type admission struct {
	waited, tokens decayingSum // for the answer to begin, in seconds, and the tokens before it
	arrived        recentCount
	refused        recentCount // because the wait would have been too long, without long prompts
	refusedLong    recentCount // those with long prompts
	returns        returnTimes

	running                     int         // requests of this gateway
	begun                       int         // of these, those that hold slots
	begunSince                  time.Time   // when that last changed
	slotSeconds, started, ended decayingSum // as in LevelLoad, up to begunSince
	shareLeft, longShareLeft    float64     // of a request: the shares of those that were refused, to be admitted; of prompts that are long
}

// wait returns how long a request is expected to wait for some tokens to be read.
func (a *admission) wait(now time.Time, tokens float64) time.Duration {
	waited := a.waited.value(now) + readPriorTokens/prefillTokensPerSecond
	perToken := waited / (a.tokens.value(now) + readPriorTokens)
	return time.Duration(perToken * tokens * float64(time.Second))
}

// admissionsOf returns the state of a service, by urgency level. The caller holds the lock.
func (p *Pool) admissionsOf(s id.Service) *[UrgencyLevels]admission {
	a := p.admissions[s]
	if a == nil {
		a = new([UrgencyLevels]admission)
		p.admissions[s] = a
	}
	return a
}

// fleetBacklog estimates how many tokens an upstream reads for all gateways before a new request of a
// level, as those that one of average pace reads in that time. Where each gateway has many requests at each engine, the
// own ones tell how many the others have there; where it has few, only the average over the engines is known. The
// caller holds the lock.
func (p *Pool) fleetBacklog(u *upstreamState, among []*upstreamState, level int) float64 {
	mean := 0.0
	for _, other := range among {
		mean += float64(other.backlog.before(level)) / float64(len(among))
	}
	own := float64(u.backlog.before(level))
	return float64(u.distinct) * float64(p.gatewayCount) * mean * (backlogPriorTokens + own) / (backlogPriorTokens + mean)
}

// candidate is an upstream that may get a request, and the tokens that it reads before that.
type candidate struct {
	upstream *upstreamState
	ahead    float64
}

// leastBacklog returns the upstream with the fewest tokens before a request of a level. The caller holds
// the lock.
func (p *Pool) leastBacklog(among []*upstreamState, level int) candidate {
	u := slices.MinFunc(among, func(a, b *upstreamState) int {
		return int(a.backlog.before(level) - b.backlog.before(level))
	})
	return candidate{u, p.fleetBacklog(u, among, level)}
}

// without returns the upstreams that are not in a group, which has the same order.
func without(upstreams, group []*upstreamState) (others []*upstreamState) {
	for _, u := range upstreams {
		if len(group) > 0 && group[0] == u {
			group = group[1:]
		} else {
			others = append(others, u)
		}
	}
	return others
}

// preferred returns the better of an upstream and those that the prompt's prefix prefers. The caller holds
// the lock.
func (p *Pool) preferred(chosen candidate, among []*upstreamState, rq *Request, level int) candidate {
	hash := sharedPrefixHash(&rq.Prompt)
	if hash == 0 {
		return chosen
	}
	for _, u := range rendezvousCandidates(among, hash) {
		if ahead := p.fleetBacklog(u, among, level); ahead < chosen.ahead {
			chosen = candidate{u, ahead}
		}
	}
	return chosen
}

// admit returns the upstream for a request for which one was chosen among those of its group, and the tokens
// that it reads before the answer begins, or that the request is refused. Eligible are the upstreams of all
// groups. The caller holds the lock.
func (p *Pool) admit(now time.Time, chosen *upstreamState, group, eligible []*upstreamState, rq *Request) (candidate, *Overloaded) {
	level := urgencyLevel(rq.Urgency)
	own := &p.admissionsOf(rq.Service)[level]
	own.arrived.add(now)
	best := candidate{chosen, p.fleetBacklog(chosen, group, level)}
	engines := len(group)
	if rq.MaxWait > 0 && own.wait(now, best.ahead) > rq.MaxWait {
		best = p.preferred(best, group, rq, level)
		least := p.leastBacklog(group, level)
		groupFull := own.wait(now, least.ahead) > rq.MaxWait
		if groupFull && !isLong(&rq.Prompt, p.longPromptThreshold(rq.Service)) {
			engines = len(eligible)
			if others := without(eligible, group); len(others) > 0 {
				if other := p.leastBacklog(others, level); other.ahead < least.ahead {
					least = other
				}
			}
		}
		if own.wait(now, least.ahead) > rq.MaxWait {
			return candidate{}, p.refuse(now, own, &Overloaded{Wait: own.wait(now, least.ahead)}, rq, engines)
		}
		if groupFull || own.wait(now, best.ahead) > moveWaitFactor*rq.MaxWait {
			best = least
		}
	}
	if rq.MaxWait > 0 {
		if shed := p.shed(now, rq, level); shed != nil {
			return candidate{}, p.refuse(now, own, &Overloaded{Wait: own.wait(now, best.ahead), Shed: shed}, rq, engines)
		}
	}
	best.ahead += float64(best.upstream.distinct) * float64(rq.Prompt.Length)
	return best, nil
}

// refuse counts a refusal for a long wait and sets when the caller is to return: when the wait is
// expected to be short enough, and later than those that were refused before by the time that the
// engines need for the request or, if it lacks a slot, until one of its urgency is released. The caller holds
// the lock.
func (p *Pool) refuse(now time.Time, a *admission, o *Overloaded, rq *Request, engines int) *Overloaded {
	switch {
	case o.Shed != nil:
	case isLong(&rq.Prompt, p.longPromptThreshold(rq.Service)):
		a.refusedLong.add(now)
	default:
		a.refused.add(now)
	}
	earliest := now.Add(max(o.Wait-rq.MaxWait, minReturnWait))
	interval := time.Duration(float64(a.wait(now, float64(rq.Prompt.Length))) * float64(p.gatewayCount) / float64(engines))
	if o.Shed != nil && o.Shed.ForSlots {
		interval = max(interval, o.Shed.releaseInterval(urgencyLevel(rq.Urgency))*time.Duration(p.gatewayCount))
	}
	o.RetryAt = a.returns.next(now, earliest, interval, maxReturnSpread/2, p.rand)
	return o
}

// recordWait records how long the request has waited until its prompt was read, or until it was given
// up, which tells only that the wait would have been longer. The caller holds the lock.
func (a *Assignment) recordWait(now time.Time, read bool) {
	if a.ahead == 0 {
		return
	}
	own := &a.pool.admissionsOf(a.Upstream.Service)[a.level]
	waited := now.Sub(a.sentAt)
	if read || waited > own.wait(now, a.ahead) {
		own.waited.add(now, waited.Seconds())
		own.tokens.add(now, a.ahead)
	}
}
