package pool

// This file defines split, which keeps long prompts apart from the rest.
//
// It answers the load pattern of a few long prompts among many short streams. An
// engine reads prompts in chunks between the steps of its batch, so that every stream
// that runs beside a long prompt pauses for as long as a chunk takes, again and
// again. A stream whose pauses must be short is late beside two long prompts, and no
// engine is free of them if they go anywhere. Long prompts therefore run at one part
// of the engines, all other requests at the rest. The parts follow the work of each.

import (
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// longPart is the part of the shortest pause of a service's streams in which an
	// engine can read a prompt that does not count as long. Trials on two deployments
	// (docs/design/placement.md) were best at a sixth.
	longPart = 1.0 / 6
	// sharedPart divides the bound: a prompt that shares more than this part of it is
	// cheap to read where the rest was read before, and dear anywhere else.
	sharedPart = 4
	// defaultPause stands for the pauses of a service none of whose routes names one.
	defaultPause = 200 * time.Millisecond
	// outputWork is the work of one token of an answer, in tokens of a prompt: a request
	// more in a batch lengthens each step by the time in which some prompt tokens are
	// read.
	outputWork = 7
	// startShare is the part of the engines for long prompts until work was seen.
	startShare = 0.55
	// minShare and maxShare keep both kinds served whatever the work.
	minShare, maxShare = 0.2, 0.8
	// splitMemory is the time constant over which work is averaged: longer than a burst
	// takes to arrive, short against a change of the day's load.
	splitMemory = 15 * time.Second
	// splitTrust is the work, in tokens of prompts, at which what was seen weighs as much
	// as the start value. One entry sees few long prompts, whose sizes differ by a
	// factor of ten: what it sees moves the share slowly.
	splitTrust = 4_000_000
	// splitHold is how far the wanted number of engines must be from the present one for
	// it to change: an engine that changes sides has the wrong prompts cached.
	splitHold = 0.7
	// borrowFrom is the use of its slots from which the side of the other requests sends
	// some to the engines for long prompts, and borrowBelow which part of that use these
	// must be below. It answers a surge of short requests, which waited until their
	// deadline while the other side was idle (TIER, day load-tenant-surge). Long prompts do
	// not borrow: one more beside each stream costs more than it gains.
	borrowFrom, borrowBelow = 0.8, 0.5
	// minSplit is the fewest engines that are divided.
	minSplit = 3
)

// split is the division of one service's engines.
type split struct {
	long, rest float64 // work seen lately, in tokens of prompts
	at         time.Time
	count      int // engines for long prompts
	of         int // engines when count was set
}

// isLong reports whether a prompt runs among the long ones. Prompts that share much
// stay together, whatever is their own: what they share is read at one side only.
func isLong(p *Prompt, bound id.Tokens) bool {
	return p.Length > bound || p.shared() > bound/sharedPart
}

// shared returns how much of the prompt other requests share.
func (p *Prompt) shared() id.Tokens {
	var n id.Tokens
	for i := 0; i < len(p.Parts)-1; i++ {
		n += p.Parts[i].Tokens
	}
	return n
}

// note counts a request.
func (s *split) note(now time.Time, p *Prompt, long bool) {
	if d := now.Sub(s.at); !s.at.IsZero() && d > 0 {
		keep := math.Exp(-d.Seconds() / splitMemory.Seconds())
		s.long *= keep
		s.rest *= keep
	}
	s.at = now
	work := float64(p.Length) + outputWork*float64(p.Output)
	if long {
		s.long += work
	} else {
		s.rest += work
	}
}

// divide returns how many of n engines are for long prompts.
func (s *split) divide(n int) int {
	share := (s.long + startShare*splitTrust) / (s.long + s.rest + splitTrust)
	want := min(max(share, minShare), maxShare) * float64(n)
	if s.of != n || math.Abs(want-float64(s.count)) > splitHold {
		s.of, s.count = n, min(max(int(math.Round(want)), 1), n-1)
	}
	return s.count
}

// longBound returns the length above which a prompt for a service is long.
func (p *Pool) longBound(s id.Service) id.Tokens {
	pause := time.Duration(0)
	if c := p.shelf.Load(); c != nil {
		pause = c.ShortestEventGap(s)
	}
	if pause == 0 {
		pause = defaultPause
	}
	return id.Tokens(prefillRate * longPart * pause.Seconds())
}

// side returns the open members on the request's side of the split, or all of them
// if that side has none. The caller holds the lock.
func (p *Pool) side(now time.Time, open []*member, ask *Request) []*member {
	if ask.Prompt.Length == 0 {
		return open
	}
	s := p.splits[ask.Service]
	if s == nil {
		s = new(split)
		p.splits[ask.Service] = s
	}
	long := isLong(&ask.Prompt, p.longBound(ask.Service))
	s.note(now, &ask.Prompt, long)
	takers := 0
	for _, m := range p.byService[ask.Service] {
		if p.takes(m) {
			takers++
		}
	}
	if takers < minSplit {
		return open
	}
	count, at := s.divide(takers), 0
	var side, other []*member
	next := 0
	for _, m := range p.byService[ask.Service] {
		if !p.takes(m) {
			continue
		}
		forLong := at < count
		at++
		if next < len(open) && open[next] == m {
			next++
			if forLong == long {
				side = append(side, m)
			} else {
				other = append(other, m)
			}
		}
	}
	if len(side) == 0 {
		return open
	}
	if !long && p.crowded(side, other) {
		return other
	}
	return side
}

// crowded reports whether engines use so many of their slots, and others so few, that
// some of the work is to go to the others. The caller holds the lock.
func (p *Pool) crowded(side, other []*member) bool {
	ours, known := p.use(side)
	theirs, comparable := p.use(other)
	return known && comparable && ours > borrowFrom && theirs < ours*borrowBelow
}

// use estimates which part of their slots engines use, requests that wait there
// included: other entries are taken to send as much as this one. It is not known of
// no engines, nor if this entry's part of them is too small to tell. The caller holds
// the lock.
func (p *Pool) use(engines []*member) (part float64, known bool) {
	runs, slots := 0, 0
	for _, m := range engines {
		if m.Slots < fullSample*p.entries {
			return 0, false
		}
		runs += m.runs
		slots += m.Slots
	}
	if slots == 0 {
		return 0, false
	}
	return float64(runs*p.entries) / float64(slots), true
}

// takes reports whether a member is meant to take new work at all.
func (p *Pool) takes(m *member) bool { return !m.Draining && !m.moved && !p.evacuated[m.DataCentre] }
