package quarantine

// This file defines which parts the evidence of a register holds.

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// crashesToHold is how many separate crashes hold a part that no engine is known to have
	// survived.
	crashesToHold = 3
	// crashesToHoldSound is the same for a part that engines survived before the first of these
	// crashes.
	crashesToHoldSound = 5
	// crashSpacing is the shortest time between two crashes that count as separate. Engines that
	// end together have a common cause, such as a rack without power.
	crashSpacing = 100 * time.Millisecond
)

// suspect is a part with the crashes that it may have caused.
type suspect struct {
	part    id.PromptPart
	needed  int // separate crashes that hold it
	starts  []Start
	crashes int // separate ones among starts
}

// judge updates the holds to the evidence. The caller holds the lock.
func (r *Register) judge(now time.Time, reason string) (changes []Change) {
	maps.DeleteFunc(r.crashes, func(_ Start, c *crash) bool { return now.Sub(c.at) > evidenceRetention })
	if len(r.crashes) == 0 {
		clear(r.cleared)
	}
	suspects := r.suspects()
	explained := make(map[Start]bool)
	guilty := make(map[id.PromptPart]bool)
	for _, s := range suspects {
		if _, held := r.holds[s.part]; held && s.crashes < s.needed { // held on evidence that is not known here
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
			h := Hold{Part: worst.part, Since: now, Crashes: worst.crashes}
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
				s = &suspect{part: part, needed: crashesToHold}
				if r.sound[0][part] || r.sound[1][part] {
					s.needed = crashesToHoldSound
				}
				byPart[part] = s
			}
			s.starts = append(s.starts, start)
		}
	}
	all := slices.SortedFunc(maps.Values(byPart), func(a, b *suspect) int { return cmp.Compare(a.part, b.part) })
	for _, s := range all {
		s.crashes = r.separate(s.starts, nil)
	}
	return all
}

// separate counts crashes, in the order of time, that are not explained and not closer together
// than crashSpacing.
func (r *Register) separate(starts []Start, explained map[Start]bool) (n int) {
	var last time.Time
	for _, start := range starts {
		if at := r.crashes[start].at; !explained[start] && (n == 0 || at.Sub(last) >= crashSpacing) {
			n, last = n+1, at
		}
	}
	return n
}

// worst returns the suspect with the most separate crashes that no guilty part explains, if
// they suffice to hold it. Among equals, it prefers one that is held already, then one that no
// engine is known to have survived.
func (r *Register) worst(suspects []*suspect, explained map[Start]bool, guilty map[id.PromptPart]bool) *suspect {
	var worst *suspect
	most, worstHeld := 0, false
	for _, s := range suspects {
		if guilty[s.part] || s.crashes < s.needed {
			continue
		}
		n := r.separate(s.starts, explained)
		if n < s.needed {
			continue
		}
		_, held := r.holds[s.part]
		better := worst == nil || n > most ||
			n == most && (held && !worstHeld || held == worstHeld && s.needed < worst.needed)
		if better {
			worst, most, worstHeld = s, n, held
		}
	}
	return worst
}
