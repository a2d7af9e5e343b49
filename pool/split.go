package pool

// This file defines engineSplit, which divides the engines of a service into a group for
// long prompts and a group for short ones. The division applies only to prompts with a
// shared prefix: a request without one may run on any engine (see selectUpstream).
//
// An engine prefills prompts in chunks between the steps of its batch. Every stream in
// the batch therefore stalls for the duration of a chunk, again and again, while a long
// prompt is prefilled. Next to two long prompts, a stream with a small permitted gap
// between events is late, and if long prompts may run anywhere, no engine is free of
// them. The sizes of the groups follow the recent work of long and short prompts, and the slots that requests with
// short prompts use.

import (
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// longPromptGapFraction is the fraction of the shortest permitted event gap of a
	// service within which an engine can prefill a prompt that does not count as long
	// (docs/design/placement.md).
	longPromptGapFraction = 1.0 / 6
	// sharedPrefixDivisor sets how long the shared prefix of a prompt that does not count
	// as long may be: at most the length threshold of whole prompts divided by this value.
	// A longer prefix is cheap to prefill where it is cached, and expensive anywhere else.
	sharedPrefixDivisor = 4
	// defaultMaxEventGap applies to services none of whose routes sets an event gap.
	defaultMaxEventGap = 200 * time.Millisecond
	// outputTokenWork is the work of one output token, in prompt tokens: an additional
	// request in a batch lengthens each step by the time that it takes to prefill this
	// many tokens.
	outputTokenWork = 7
	// initialLongShare is the fraction of the engines that is for long prompts before any
	// work was recorded.
	initialLongShare = 0.55
	// minLongShare and maxLongShare bound the fraction of the engines for long prompts,
	// so that both groups have engines whatever the work.
	minLongShare, maxLongShare = 0.2, 0.8
	// workTimeConstant is the time constant of the exponential decay of recorded work. It
	// is longer than a burst takes to arrive and short compared to daily changes of load.
	workTimeConstant = 15 * time.Second
	// initialShareWeightTokens is the recorded work, in prompt tokens, that weighs as much
	// as initialLongShare. One gateway sees few long prompts, and their sizes differ by a
	// factor of ten, so that recorded work moves the share slowly.
	initialShareWeightTokens = 4_000_000
	// resplitThreshold is how far the wanted number of engines for long prompts must be
	// from the present number for the latter to change. An engine that changes groups has cached the
	// wrong prompts.
	resplitThreshold = 0.7
	// borrowMinUtilisation is the slot utilisation above which the group for short
	// prompts sends requests to the group for long prompts, provided that the utilisation
	// there is less than borrowMaxRatio times its own. Without this, the requests of a
	// surge of short prompts wait until their deadlines while the engines for long prompts
	// are idle.
	// Long prompts are never sent to the other group: another long prompt next to its
	// streams costs more than it gains.
	borrowMinUtilisation, borrowMaxRatio = 0.8, 0.5
	// fullUtilisation is the slot utilisation from which further requests wait for a slot, behind all that
	// are more urgent. A group that is full sends requests to the other one until that is nearly full,
	// too: a stream next to long prompts may be late, one that gets no slot is lost.
	fullUtilisation, nearlyFullUtilisation = 0.9, 0.95
	// keptLongDivisor sets how many engines remain for long prompts when others need the slots: those that their work
	// calls for, divided by this value.
	keptLongDivisor = 2
	// minSplitEngines is the smallest number of engines that is divided into groups.
	minSplitEngines = 3
)

// engineSplit is the division of one service's engines into two groups.
type engineSplit struct {
	longWork, shortWork float64 // recent work, in prompt tokens, decayed up to updatedAt
	updatedAt           time.Time
	longEngines         int // engines for long prompts
	totalEngines        int // engines in both groups when longEngines was set
}

// isLong reports whether a prompt belongs to the group for long prompts. Prompts with a
// long shared prefix belong there whatever the length of the rest, so that the prefix is
// cached in one group only.
func isLong(p *Prompt, threshold id.Tokens) bool {
	return p.Length > threshold || p.sharedTokens() > threshold/sharedPrefixDivisor
}

// sharedTokens returns the length of the prefix that the prompt may share with other
// requests.
func (p *Prompt) sharedTokens() id.Tokens {
	var n id.Tokens
	for _, part := range p.SharedParts() {
		n += part.Tokens
	}
	return n
}

// recordWork adds the work of a request and decays the work recorded before.
func (s *engineSplit) recordWork(now time.Time, prompt *Prompt, long bool) {
	if elapsed := now.Sub(s.updatedAt); !s.updatedAt.IsZero() && elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / workTimeConstant.Seconds())
		s.longWork *= decay
		s.shortWork *= decay
	}
	s.updatedAt = now
	work := float64(prompt.Length) + outputTokenWork*float64(prompt.Output)
	if long {
		s.longWork += work
	} else {
		s.shortWork += work
	}
}

// divideEngines returns how many of n engines are for long prompts, where others need a number of them for their
// slots.
func (s *engineSplit) divideEngines(n, forShort int) int {
	share := (s.longWork + initialLongShare*initialShareWeightTokens) / (s.longWork + s.shortWork + initialShareWeightTokens)
	wanted := min(max(share, minLongShare), maxLongShare) * float64(n)
	if s.totalEngines != n || math.Abs(wanted-float64(s.longEngines)) > resplitThreshold {
		s.totalEngines, s.longEngines = n, min(max(int(math.Round(wanted)), 1), n-1)
	}
	kept := (s.longEngines + keptLongDivisor - 1) / keptLongDivisor
	return min(s.longEngines, max(n-forShort, kept))
}

// enginesForShort returns how many of the engines of a service have as many slots as the requests of all gateways with
// prompts that are not long use. Where these run beside long prompts for lack of slots, a step of the engine takes
// several times as long, and the longest of their answers are cut at their deadlines. The caller holds the lock.
func (p *Pool) enginesForShort(s id.Service, engines int) int {
	slots := p.slots(s)
	if slots == 0 || p.peerLoads == nil {
		return 0
	}
	running := float64(p.shortRunning[s] + p.peerLoads[s].Short)
	return int(math.Ceil(running / (borrowMinUtilisation * float64(slots) / float64(engines))))
}

// longPromptThreshold returns the length above which a prompt for a service counts as
// long.
func (p *Pool) longPromptThreshold(s id.Service) id.Tokens {
	return id.Tokens(prefillTokensPerSecond * longPromptGapFraction * p.shortestEventGap(s).Seconds())
}

// shortestEventGap returns the shortest time that a route to a service permits between two
// events of a stream.
func (p *Pool) shortestEventGap(s id.Service) time.Duration {
	if c := p.latest.Load(); c != nil {
		if gap := c.ShortestEventGap(s); gap > 0 {
			return gap
		}
	}
	return defaultMaxEventGap
}

// engineGroup records the work of a request and returns the eligible upstreams of the
// group that the request belongs to. It returns all eligible upstreams if the length of
// the prompt is unknown, the service is not divided or the group has none, and those of
// the other group if the request is to borrow one. The first engines in hash order are for
// long prompts. The caller holds the lock.
func (p *Pool) engineGroup(now time.Time, eligible []*upstreamState, rq *Request) []*upstreamState {
	if rq.Prompt.Length == 0 {
		return eligible
	}
	s := p.splits[rq.Service]
	if s == nil {
		s = new(engineSplit)
		p.splits[rq.Service] = s
	}
	long := isLong(&rq.Prompt, p.longPromptThreshold(rq.Service))
	s.recordWork(now, &rq.Prompt, long)
	accepting := 0
	for _, u := range p.byService[rq.Service] {
		if p.acceptsWork(u) {
			accepting++
		}
	}
	if accepting < minSplitEngines {
		return eligible
	}
	longEngines, index := s.divideEngines(accepting, p.enginesForShort(rq.Service, accepting)), 0
	var group, otherGroup []*upstreamState
	next := 0
	for _, u := range p.byService[rq.Service] {
		if !p.acceptsWork(u) {
			continue
		}
		forLong := index < longEngines
		index++
		if next < len(eligible) && eligible[next] == u {
			next++
			if forLong == long {
				group = append(group, u)
			} else {
				otherGroup = append(otherGroup, u)
			}
		}
	}
	if len(group) == 0 {
		return eligible
	}
	if !long && p.shouldBorrow(group, otherGroup) {
		return otherGroup
	}
	return group
}

// shouldBorrow reports whether the engines of a request's own group are so busy, and those
// of the other group so idle, that the request is to run on the other group. The caller
// holds the lock.
func (p *Pool) shouldBorrow(own, other []*upstreamState) bool {
	ownUtilisation, ownKnown := p.slotUtilisation(own)
	otherUtilisation, otherKnown := p.slotUtilisation(other)
	if !ownKnown || !otherKnown {
		return false
	}
	return ownUtilisation > borrowMinUtilisation && otherUtilisation < ownUtilisation*borrowMaxRatio ||
		ownUtilisation >= fullUtilisation && otherUtilisation < nearlyFullUtilisation
}

// acceptsWork reports whether an upstream may get new requests at all. The caller holds
// the lock.
func (p *Pool) acceptsWork(u *upstreamState) bool {
	return !u.Draining && !u.isLeaving() && !u.addressReused && !p.evacuated[u.DataCentre]
}
