package quarantine

// This file defines which parts the evidence of a register holds.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// weight is how strongly a crash speaks against a part.
type weight int

const (
	// silentWeight applies if the engine had sent no event of the answer, begunWeight if it had.
	silentWeight, begunWeight weight = 2, 1
	// weightToHold holds a part that no engine is known to have survived.
	weightToHold = 3 * silentWeight
	// weightToHoldSound holds a part that engines survived before the first of the crashes, or that many
	// requests have: it is at nearly every engine that crashes from something else.
	weightToHoldSound = 5 * silentWeight
	// crashSpacing is the shortest time between two crashes that count as separate. Engines that
	// end together have a common cause, such as a rack without power.
	crashSpacing = 100 * time.Millisecond
)

// suspect is a part with the crashes that it may have caused.
type suspect struct {
	part   id.PromptPart
	needed weight // of separate crashes that hold it
	starts []Start
	weight weight // of the separate ones among starts
}

// judge updates the holds to the evidence. The caller holds the lock.
func (r *Register) judge(now time.Time, reason string) (changes []Change) {
	maps.DeleteFunc(r.crashes, func(_ Start, c *crash) bool { return now.Sub(c.at) > evidenceRetention })
	maps.DeleteFunc(r.cleared, func(_ id.PromptPart, at time.Time) bool { return now.Sub(at) > evidenceRetention })
	suspects := r.suspects()
	explained := make(map[Start]bool)
	guilty := make(map[id.PromptPart]bool)
	for _, s := range suspects {
		if _, held := r.holds[s.part]; held && s.weight < s.needed { // held on evidence that is not known here
			guilty[s.part] = true
			explain(explained, s.starts)
		}
	}
	for {
		worst := r.worst(suspects, explained, guilty)
		if worst == nil {
			break
		}
		guilty[worst.part] = true
		explain(explained, worst.starts)
		if _, held := r.holds[worst.part]; !held {
			h := Hold{Part: worst.part, Since: now, Crashes: len(worst.starts)}
			changes = append(changes, r.hold(h, reason)...)
			r.own.Holds = append(slices.Clone(r.own.Holds), h)
			r.ownVersion++
		}
	}
	for _, s := range suspects {
		if !guilty[s.part] {
			changes = append(changes, r.release(now, s.part, "explained")...)
		}
	}
	return changes
}

func explain(explained map[Start]bool, starts []Start) {
	for _, start := range starts {
		explained[start] = true
	}
}

// suspects returns the parts that were not cleared since one of their crashes, with the crashes
// since then in the order of time. They are ordered by id.
func (r *Register) suspects() []*suspect {
	byPart := make(map[id.PromptPart]*suspect)
	starts := slices.SortedFunc(maps.Keys(r.crashes), func(a, b Start) int {
		return cmp.Or(r.crashes[a].at.Compare(r.crashes[b].at), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.UnixMS, b.UnixMS))
	})
	for _, start := range starts {
		c := r.crashes[start]
		for part := range c.parts {
			if !c.at.After(r.cleared[part]) {
				continue
			}
			s := byPart[part]
			if s == nil {
				s = &suspect{part: part, needed: weightToHold}
				if !r.lastSound(part).IsZero() || r.requests.isCommon(part) {
					s.needed = weightToHoldSound
				}
				byPart[part] = s
			}
			s.starts = append(s.starts, start)
		}
	}
	all := slices.SortedFunc(maps.Values(byPart), func(a, b *suspect) int { return cmp.Compare(a.part, b.part) })
	for _, s := range all {
		s.weight = r.separateWeight(s, nil)
	}
	return all
}

// separateWeight adds the weights of the crashes of a suspect that are not explained and not closer
// together than crashSpacing.
func (r *Register) separateWeight(s *suspect, explained map[Start]bool) (sum weight) {
	var last time.Time
	var counted weight // of the crash at last
	for _, start := range s.starts {
		c := r.crashes[start]
		w := c.parts[s.part]
		switch {
		case explained[start]:
		case sum == 0 || c.at.Sub(last) >= crashSpacing:
			sum, last, counted = sum+w, c.at, w
		case w > counted:
			sum, counted = sum+w-counted, w
		}
	}
	return sum
}

// worst returns the suspect against which the crashes that no guilty part explains weigh most, in
// proportion to what holds it, if they suffice. Among equals, it prefers of two common parts the one that
// fewer requests have, as the other one is also at engines that crash from it, and then one that is held
// already.
func (r *Register) worst(suspects []*suspect, explained map[Start]bool, guilty map[id.PromptPart]bool) *suspect {
	var worst *suspect
	var most weight
	worstHeld := false
	for _, s := range suspects {
		if guilty[s.part] || s.weight < s.needed {
			continue
		}
		w := r.separateWeight(s, explained)
		if w < s.needed {
			continue
		}
		_, held := r.holds[s.part]
		isWorse := worst == nil || w*worst.needed > most*s.needed
		if !isWorse && w*worst.needed == most*s.needed {
			more := r.requests.byPart[s.part] - r.requests.byPart[worst.part]
			if !r.requests.isCommon(s.part) || !r.requests.isCommon(worst.part) {
				more = 0
			}
			isWorse = more < 0 || more == 0 && held && !worstHeld
		}
		if isWorse {
			worst, most, worstHeld = s, w, held
		}
	}
	return worst
}
