// Package quarantine finds the parts of prompts under which engines crash, and says which
// requests are held back for it.
//
// A part is under suspicion in a crash if a request with it was at the engine and had not
// shown that the engine survives it. The suspicion is weaker if the engine had sent events of the
// answer. An answer that is complete, or an engine that goes on for ProofOfLife after the first
// event, clears all shared parts of its request of the crashes before. A part is held when it is
// under suspicion in several crashes at different times that no other held part explains.
// verdict.go defines this decision.
//
// Register combines what its own gateway has seen with the reports of peers. It has no clock,
// and does no I/O.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

// ProofOfLife is how long an engine must go on after the first event of an answer to clear the
// parts of its prompt.
const ProofOfLife = time.Second

const (
	// evidenceRetention is how long a crash counts.
	evidenceRetention = 2 * time.Minute
	// holdRetention is how long a part is held. When it is over and requests with the part still
	// come, it takes a few crashes to hold it again.
	holdRetention = time.Hour
	// reportRetention is how long a gateway repeats a crash, a clearance or a hold of its own to
	// peers: several times what these take to reach the whole fleet.
	reportRetention = 20 * time.Second
	// clearanceInterval is how often a part is reported to be sound, if no engine has ended under
	// it meanwhile.
	clearanceInterval = time.Second
	// The following bound the memory and the messages, as callers choose the ids of parts.
	maxCrashes        = 256
	maxPartsPerCrash  = 48
	maxHolds          = 128
	maxOwnReports     = 32
	maxOwnClearances  = 96
	maxSoundParts     = 8192 // of each of two generations
	maxPartIDBytes    = 64
	maxForgottenHolds = 512
)

// Start identifies one start of an engine.
type Start struct {
	Upstream id.Upstream
	UnixMS   int64
}

// Crash is an engine that has ended, with the parts that are under suspicion.
type Crash struct {
	Start  Start
	At     time.Time       // by the time of the fleet
	Silent []id.PromptPart // of requests of which the engine had sent no event
	Begun  []id.PromptPart // of other requests
}

// Clearance says that an engine survived a request with a part.
type Clearance struct {
	Part id.PromptPart
	At   time.Time
}

// Hold is a part whose requests are held back.
type Hold struct {
	Part    id.PromptPart
	Since   time.Time
	Crashes int // that it was held for
}

// Report is what a gateway tells its peers.
type Report struct {
	Crashes    []Crash
	Clearances []Clearance
	Holds      []Hold
}

// Change is a part that is now held, or no longer.
type Change struct {
	Hold   Hold
	Held   bool
	Reason string // for the log
}

// crash is what is known of a crash.
type crash struct {
	at    time.Time
	parts map[id.PromptPart]weight
}

// Register holds the evidence and the verdicts of one gateway. It is safe for concurrent use.
type Register struct {
	mu         sync.Mutex
	crashes    map[Start]*crash
	cleared    map[id.PromptPart]time.Time    // last clearance of parts under suspicion
	sound      [2]map[id.PromptPart]time.Time // when engines last survived parts, in two generations
	requests   frequency
	holds      map[id.PromptPart]Hold
	released   map[id.PromptPart]time.Time // holds that are over; older ones of peers do not count
	own        Report                      // what this gateway has found by itself
	ownVersion uint64                      // rises with each change of own
}

// New returns a register without evidence.
func New() *Register {
	return &Register{
		crashes: make(map[Start]*crash), cleared: make(map[id.PromptPart]time.Time),
		sound:    [2]map[id.PromptPart]time.Time{make(map[id.PromptPart]time.Time), make(map[id.PromptPart]time.Time)},
		requests: frequency{byPart: make(map[id.PromptPart]int)},
		holds:    make(map[id.PromptPart]Hold), released: make(map[id.PromptPart]time.Time),
	}
}

// shorten returns an id of bounded length for a part.
func shorten(part id.PromptPart) id.PromptPart {
	if len(part) <= maxPartIDBytes {
		return part
	}
	return id.PromptPart("long-" + strconv.FormatUint(xxhash.Sum64String(string(part)), 16))
}

// CountRequest counts a request with the given shared parts.
func (r *Register) CountRequest(parts []id.PromptPart) {
	if len(parts) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests.count(parts)
}

// Held returns the first of a request's shared parts that is held.
func (r *Register) Held(now time.Time, parts []id.PromptPart) (Hold, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.holds) == 0 {
		return Hold{}, false
	}
	for _, part := range parts {
		if h, held := r.holds[shorten(part)]; held && now.Sub(h.Since) < holdRetention {
			return h, true
		}
	}
	return Hold{}, false
}

// RecordCrash records that an engine has ended while it had a request with the given shared
// parts that had not cleared them. Begun says that the engine had sent events.
func (r *Register) RecordCrash(now time.Time, start Start, parts []id.PromptPart, begun bool) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	evidence := Crash{Start: start, At: now}
	if begun {
		evidence.Begun = parts
	} else {
		evidence.Silent = parts
	}
	if !r.addCrash(now, evidence) {
		return nil
	}
	r.ownVersion++
	r.own.Crashes = slices.Clone(r.own.Crashes) // peers may be reading the former ones
	i := slices.IndexFunc(r.own.Crashes, func(c Crash) bool { return c.Start == start })
	if i < 0 {
		r.own.Crashes = append(r.own.Crashes, Crash{Start: start, At: now})
		if len(r.own.Crashes) > maxOwnReports {
			r.own.Crashes = slices.Delete(r.own.Crashes, 0, 1)
		}
		i = len(r.own.Crashes) - 1
	}
	own := &r.own.Crashes[i]
	own.Silent = appendParts(own.Silent, evidence.Silent)
	own.Begun = appendParts(own.Begun, evidence.Begun)
	return r.judge(now, "own")
}

// appendParts returns a copy of known with the parts that it lacks, up to maxPartsPerCrash.
func appendParts(known, parts []id.PromptPart) []id.PromptPart {
	known = slices.Clone(known)
	for _, part := range parts {
		if part = shorten(part); len(known) < maxPartsPerCrash && !slices.Contains(known, part) {
			known = append(known, part)
		}
	}
	return known
}

// addCrash adds parts under suspicion in a crash and reports whether any is new. The caller
// holds the lock.
func (r *Register) addCrash(now time.Time, c Crash) (isNew bool) {
	if now.Sub(c.At) > evidenceRetention || c.At.Sub(now) > evidenceRetention {
		return false
	}
	known := r.crashes[c.Start]
	if known == nil {
		if len(r.crashes) >= maxCrashes {
			r.dropOldestCrash()
		}
		known = &crash{at: c.At, parts: make(map[id.PromptPart]weight)}
		r.crashes[c.Start] = known
	}
	if c.At.Before(known.at) {
		known.at = c.At
	}
	add := func(parts []id.PromptPart, w weight) {
		for _, part := range parts {
			part = shorten(part)
			if len(known.parts) >= 4*maxPartsPerCrash || known.parts[part] >= w {
				continue
			}
			if at := r.lastSound(part); known.parts[part] == 0 && !at.IsZero() {
				r.reportSound(now, part, at)
			}
			known.parts[part], isNew = w, true
		}
	}
	add(c.Silent, silentWeight)
	add(c.Begun, begunWeight)
	return isNew
}

func (r *Register) dropOldestCrash() {
	oldest := slices.MinFunc(slices.Collect(maps.Keys(r.crashes)), func(a, b Start) int { return r.crashes[a].at.Compare(r.crashes[b].at) })
	delete(r.crashes, oldest)
}

// RecordSound records that an engine survived a request with the given shared parts.
func (r *Register) RecordSound(now time.Time, parts []id.PromptPart) (changes []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, part := range parts {
		part = shorten(part)
		r.remember(part, now)
		if !r.underSuspicion(part) {
			continue
		}
		r.cleared[part] = now
		r.reportSound(now, part, now)
		changes = append(changes, r.release(now, part, "cleared")...)
	}
	return changes
}

// remember records when an engine last survived a part.
func (r *Register) remember(part id.PromptPart, at time.Time) {
	if len(r.sound[0]) >= maxSoundParts {
		r.sound[1], r.sound[0] = r.sound[0], make(map[id.PromptPart]time.Time)
	}
	if at.After(r.sound[0][part]) {
		r.sound[0][part] = at
	}
}

// lastSound returns when an engine last survived a part; zero: not known.
func (r *Register) lastSound(part id.PromptPart) time.Time {
	if at, known := r.sound[0][part]; known {
		return at
	}
	return r.sound[1][part]
}

// reportSound tells peers when an engine last survived a part, unless the last report says as
// much.
func (r *Register) reportSound(now time.Time, part id.PromptPart, at time.Time) {
	if last := slices.IndexFunc(r.own.Clearances, func(c Clearance) bool { return c.Part == part }); last >= 0 {
		reported := r.own.Clearances[last].At
		if now.Sub(reported) < clearanceInterval && !r.crashedSince(part, reported) {
			return
		}
		r.own.Clearances = slices.Concat(r.own.Clearances[:last], r.own.Clearances[last+1:])
	}
	r.own.Clearances = append(slices.Clone(r.own.Clearances), Clearance{part, at})
	if len(r.own.Clearances) > maxOwnClearances {
		r.own.Clearances = r.own.Clearances[1:]
	}
	r.ownVersion++
}

// underSuspicion reports whether a part is in the evidence or held.
func (r *Register) underSuspicion(part id.PromptPart) bool {
	if _, held := r.holds[part]; held {
		return true
	}
	for _, c := range r.crashes {
		if c.parts[part] > 0 {
			return true
		}
	}
	return false
}

// crashedSince reports whether an engine has ended under a part later than a time.
func (r *Register) crashedSince(part id.PromptPart, since time.Time) bool {
	for _, c := range r.crashes {
		if c.parts[part] > 0 && c.at.After(since) {
			return true
		}
	}
	return false
}

// Merge adds the report of a peer.
func (r *Register) Merge(now time.Time, report Report) (changes []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, c := range report.Crashes {
		changed = r.addCrash(now, c) || changed
	}
	for _, c := range report.Clearances {
		part := shorten(c.Part)
		if c.At.Sub(now) > evidenceRetention {
			continue
		}
		r.remember(part, c.At)
		if c.At.After(r.cleared[part]) && r.underSuspicion(part) {
			r.cleared[part], changed = c.At, true
			if h, held := r.holds[part]; held && c.At.After(h.Since) {
				changes = append(changes, r.release(now, part, "cleared_by_peer")...)
			}
		}
	}
	for _, h := range report.Holds {
		changes = append(changes, r.adopt(now, h)...)
	}
	if changed {
		changes = append(changes, r.judge(now, "peers")...)
	}
	return changes
}

// adopt takes over a hold that another gateway has found or that was saved.
func (r *Register) adopt(now time.Time, h Hold) []Change {
	h.Part = shorten(h.Part)
	_, known := r.holds[h.Part]
	switch {
	case known, now.Sub(h.Since) >= holdRetention, h.Since.Sub(now) > evidenceRetention, !h.Since.After(r.released[h.Part]), r.cleared[h.Part].After(h.Since):
		return nil
	}
	return r.hold(h, "peer")
}

// hold adds a hold.
func (r *Register) hold(h Hold, reason string) []Change {
	if len(r.holds) >= maxHolds {
		oldest := slices.MinFunc(slices.Collect(maps.Values(r.holds)), func(a, b Hold) int { return a.Since.Compare(b.Since) })
		delete(r.holds, oldest.Part)
	}
	r.holds[h.Part] = h
	return []Change{{Hold: h, Held: true, Reason: reason}}
}

// release ends the hold of a part, if there is one.
func (r *Register) release(now time.Time, part id.PromptPart, reason string) []Change {
	h, held := r.holds[part]
	if !held {
		return nil
	}
	delete(r.holds, part)
	if len(r.released) >= maxForgottenHolds {
		clear(r.released)
	}
	r.released[part] = now
	r.own.Holds = slices.DeleteFunc(slices.Clone(r.own.Holds), func(o Hold) bool { return o.Part == part })
	return []Change{{Hold: h, Reason: reason}}
}

// Restore takes over the holds of a saved copy.
func (r *Register) Restore(now time.Time, holds []Hold) (changes []Change) {
	return r.Merge(now, Report{Holds: holds})
}

// Release ends the hold of a part by an operator's order. The evidence against it so far no
// longer counts.
func (r *Register) Release(now time.Time, part id.PromptPart) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	part = shorten(part)
	if _, held := r.holds[part]; !held {
		return nil
	}
	r.cleared[part] = now
	r.own.Clearances = append(slices.Clone(r.own.Clearances), Clearance{part, now})
	r.ownVersion++
	return r.release(now, part, "operator")
}

// Holds returns all parts that are held, by id.
func (r *Register) Holds(now time.Time) []Hold {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allHolds(now)
}

func (r *Register) allHolds(now time.Time) []Hold {
	maps.DeleteFunc(r.holds, func(_ id.PromptPart, h Hold) bool { return now.Sub(h.Since) >= holdRetention })
	return slices.SortedFunc(maps.Values(r.holds), func(a, b Hold) int { return cmp.Compare(a.Part, b.Part) })
}

// Report returns what this gateway has found by itself of late, with all holds if it speaks for
// the fleet, and a number that rises when it has found something new. The report must not be
// changed.
func (r *Register) Report(now time.Time, allHolds bool) (Report, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := func(at time.Time) bool { return now.Sub(at) > reportRetention }
	r.own = Report{
		Crashes:    slices.DeleteFunc(slices.Clone(r.own.Crashes), func(c Crash) bool { return old(c.At) }),
		Clearances: slices.DeleteFunc(slices.Clone(r.own.Clearances), func(c Clearance) bool { return old(c.At) }),
		Holds:      slices.DeleteFunc(slices.Clone(r.own.Holds), func(h Hold) bool { return old(h.Since) }),
	}
	report := r.own
	if allHolds {
		report.Holds = r.allHolds(now)
	}
	return report, r.ownVersion
}
