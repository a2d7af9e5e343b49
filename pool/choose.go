package pool

// This file defines Pool.Choose, which assigns a request to an upstream by prefix
// affinity and load.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
)

// PromptPart is one consecutive part of a prompt. Requests whose prompts begin with the
// same parts share a prefix, which an engine can cache.
type PromptPart struct {
	ID     id.PromptPart
	Tokens id.Tokens
}

// Prompt describes the prompt of a request for a model engine. The zero value stands
// for a request without a prompt.
type Prompt struct {
	Model  id.Model
	Parts  []PromptPart // in order; the last is private to the request or its session
	Length id.Tokens    // of the whole prompt
	Output id.Tokens    // most tokens that the answer may have
	Hint   id.Tokens    // tokens that the caller expects it to have; zero: not told
}

// SharedParts returns the parts that other requests may have as well: all but the last.
func (p *Prompt) SharedParts() []PromptPart {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// Request holds the properties of a request that the choice of an upstream depends on.
type Request struct {
	Service id.Service
	Prompt  Prompt
	Avoid   []id.Upstream // upstreams already tried, which are not chosen again
	// Of requests that wait for a slot, the first is the one with the lowest urgency, and of
	// these the one that arrived first.
	Urgency   int
	ArrivedAt time.Time
	// RunsOnce means that the request is lost if the upstream is no longer there: nobody can
	// know that it has not run.
	RunsOnce bool
	// Allows reports whether an upstream, which was first listed at a time, may be chosen; nil: any may. Of those that may, and
	// that accept the request, the first MaxUpstreams in an order that is the same at every gateway are
	// considered; zero: all.
	Allows       func(l *Listing, added time.Time) bool
	MaxUpstreams int
	// MaxWait is how long the request may be expected to wait for an engine to read its prompt; zero: without
	// limit.
	MaxWait time.Duration
}

// allows reports whether an upstream may be chosen.
func (rq *Request) allows(u *upstreamState) bool {
	return rq.Allows == nil || rq.Allows(&u.Listing, u.addedAt)
}

// Decision is the result of Pool.Choose: *Assignment, *Throttled, *Overloaded or *NoUpstream.
type Decision interface{ decision() }

// Throttled means that every remaining upstream is cold and has reached its rate limit, has named a
// limit that is used up, or has asked this gateway to wait. A request that waits joins the line by
// Wait.
type Throttled struct {
	Until    time.Time     // when it is expected to be the request's turn
	Interval time.Duration // between two slots of this gateway; zero: the upstreams have no slots
	Limited  bool          // an upstream has named a limit
}

// NoUpstream means that no upstream accepts the request.
type NoUpstream struct {
	Known   int       // upstreams that the pool has for the service
	RetryAt time.Time // earliest time at which one accepts requests again; zero: not known
}

func (*Assignment) decision() {}
func (*Throttled) decision()  {}
func (*NoUpstream) decision() {}

const (
	// affinityCandidates is how many upstreams are preferred for a shared prefix. The
	// second takes what the first has no room for, so that the prefix is prefilled and
	// cached on few upstreams.
	affinityCandidates = 2
	// affinityLoadFactor is how many times the mean load a preferred upstream may have
	// (docs/design/placement.md).
	affinityLoadFactor = 1.5
	// affinitySlackTokens is added to the bound that affinityLoadFactor sets, in prompt
	// tokens: about three long prompts. With less, requests are diverted sooner and their
	// shared prefixes are prefilled again elsewhere.
	affinitySlackTokens = 40_000
	// affinitySlackFactor is how many times the shared part of a prompt that slack is at most.
	affinitySlackFactor = 8
	// maxAffinityUtilisation is the slot utilisation from which an upstream counts as
	// saturated: further requests would queue there while others have free slots. The
	// bound in tokens does not detect that a workspace or key sends many times its usual
	// number of short requests.
	maxAffinityUtilisation = 0.9
	// affinitySlotFactor is how many times the mean utilisation of its group a saturated upstream has at least, if
	// peers tell theirs. Where all are full, a request that goes elsewhere waits there as well, and its prefix is prefilled again.
	affinitySlotFactor = 1.25
	// minSlotsPerGateway is how many slots an upstream must have for each gateway so that
	// its utilisation can be estimated from this gateway's own requests. With fewer, a
	// single request would decide the result.
	minSlotsPerGateway = 8
	// runningLoadTokens is the load of a running request, in prompt tokens: each request
	// lengthens every step of its batch a little.
	runningLoadTokens = 400
	// prefillTokensPerSecond is the prefill speed that is assumed of an engine whose own
	// speed is not known.
	prefillTokensPerSecond = 130_000
)

// Choose assigns a request to an upstream of its service and adds the request to the
// load of that upstream.
func (p *Pool) Choose(now time.Time, rq *Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mergePaces(now, rq.Service)
	found := p.eligible(now, rq)
	if throttled := p.waitInLine(now, rq, &found); throttled != nil {
		return throttled
	}
	eligible := found.upstreams
	if len(eligible) == 0 {
		return &NoUpstream{Known: len(p.byService[rq.Service]), RetryAt: p.earliestWait(now, rq.Service)}
	}
	u, group, reason := p.selectUpstream(now, eligible, rq)
	ahead := 0.0
	if rq.Prompt.Length > 0 {
		admitted, refused := p.admit(now, u, group, eligible, rq)
		if refused != nil {
			return refused
		}
		if admitted.upstream != u {
			u, reason = admitted.upstream, "least_wait"
		}
		ahead = admitted.ahead
	}
	a := &Assignment{
		Upstream: u.Listing, Reason: reason, ListingAge: now.Sub(u.listedAt), ListedFor: now.Sub(u.addedAt), Running: u.running, pool: p, state: u,
		promptTokens: rq.Prompt.Length, level: urgencyLevel(rq.Urgency), sentAt: now, ahead: ahead, progress: answerProgress{expectedTokens: rq.Prompt.expectedTokens()},
		short: rq.Prompt.Length > 0 && !isLong(&rq.Prompt, p.longPromptThreshold(rq.Service)),
	}
	p.takeSlots(now, a)
	if p.maySilentlyHaveGone(now, u, rq) {
		a.NewConnection = true
		u.startTrial(now)
	}
	if ahead > 0 {
		a.Expected = p.admissionsOf(rq.Service)[a.level].wait(now, ahead)
		a.ExpectedEnd = p.timeToEnd(u, a.Expected, &rq.Prompt)
	}
	if u.running == 0 {
		u.busySince = now
	}
	u.running++
	a.countRunning(1)
	u.backlog[a.level] += a.promptTokens
	a.noteStart()
	return a
}

// earliestWait returns when the first upstream of a service takes requests again, if all
// that are in use have asked this gateway to wait, and otherwise zero. The caller holds the
// lock.
func (p *Pool) earliestWait(now time.Time, s id.Service) time.Time {
	var earliest time.Time
	for _, u := range p.byService[s] {
		if !p.acceptsWork(u) {
			continue
		}
		until, waits := u.waitsUntil(now)
		if !waits {
			return time.Time{}
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}

// choices are the upstreams that a request may be assigned to.
type choices struct {
	upstreams []*upstreamState // that accept it now, in hash order
	paced     int              // how many of these do so by a slot
	retryAt   time.Time        // earliest time at which one of the others accepts a request; zero: not known
	rate      float64          // requests a second that the paced ones, and those that have no slot now, take from this gateway
	limited   bool             // one of these has named a limit
}

// eligible returns the upstreams that accept the request now. Upstreams that are backing off after
// a failed connection are returned only if there are no others. Upstreams whose removal is due
// are removed. The caller holds the lock.
func (p *Pool) eligible(now time.Time, rq *Request) (found choices) {
	var backingOff []*upstreamState
	retry := func(at time.Time) {
		if found.retryAt.IsZero() || at.Before(found.retryAt) {
			found.retryAt = at
		}
	}
	for _, u := range slices.Clone(p.byService[rq.Service]) {
		waitUntil, waits := u.waitsUntil(now)
		switch {
		case !u.removeAt.IsZero() && !now.Before(u.removeAt):
			p.removeLocked(u)
		case !p.acceptsWork(u), slices.Contains(rq.Avoid, u.ID), !rq.allows(u):
		case waits:
			retry(waitUntil)
		default:
			slot, rate, paced := p.nextSlot(now, u)
			if paced {
				found.rate += rate
				_, _, limited := u.limitRate()
				found.limited = found.limited || limited
			}
			switch {
			case paced && now.Before(slot):
				retry(slot)
			case now.Before(u.unreachableUntil):
				backingOff = append(backingOff, u)
			case rq.MaxUpstreams > 0 && len(found.upstreams) == rq.MaxUpstreams:
			default:
				found.upstreams = append(found.upstreams, u)
				if paced {
					found.paced++
				}
			}
		}
	}
	if len(found.upstreams) == 0 {
		found.upstreams = backingOff
	}
	return found
}

// serviceConfig returns the configuration of a service, or nil if it is not known.
func (p *Pool) serviceConfig(s id.Service) *catalog.Service {
	if c := p.latest.Load(); c != nil {
		return c.Services[s]
	}
	return nil
}

// selectUpstream chooses one of the eligible upstreams and returns the group that the request
// belongs to, and the reason for the log. A slot of a limited upstream that is about to pass unused
// takes the next request, unless the upstream is as busy as others or the prompt is long. A request
// with a shared prefix goes to an upstream of its engine group that the prefix hashes to, unless all
// of these are too busy. Otherwise, the request goes to the less loaded of two random upstreams. The
// caller holds the lock.
func (p *Pool) selectUpstream(now time.Time, eligible []*upstreamState, rq *Request) (u *upstreamState, group []*upstreamState, reason string) {
	prefixHash := sharedPrefixHash(&rq.Prompt)
	if len(eligible) == 1 {
		return eligible[0], eligible, "only"
	}
	if u := p.passingSlot(now, eligible, rq); u != nil {
		return u, eligible, "slot"
	}
	if prefixHash == 0 {
		return p.leastLoaded(p.randomPair(eligible)), eligible, "least_of_two"
	}
	eligible = p.engineGroup(now, eligible, rq)
	if len(eligible) == 1 {
		return eligible[0], eligible, "only"
	}
	bound := affinityLoadFactor*p.meanWork(eligible) + affinitySlack(&rq.Prompt)
	for i, u := range rendezvousCandidates(eligible, prefixHash) {
		if p.work(u) <= bound && !p.saturated(u, eligible) {
			return u, eligible, affinityReasons[i]
		}
	}
	return p.leastLoaded(p.randomPair(eligible)), eligible, "over_bound"
}

// affinitySlack returns how far above the bound that affinityLoadFactor sets an upstream may be loaded that is preferred for a
// prompt: the less there is to read again elsewhere, the less, but some running requests.
func affinitySlack(prompt *Prompt) float64 {
	return min(affinitySlackTokens, affinitySlackFactor*float64(max(prompt.sharedTokens(), runningLoadTokens)))
}

// meanWork returns the mean work of upstreams. The caller holds the lock.
func (p *Pool) meanWork(upstreams []*upstreamState) (mean float64) {
	for _, u := range upstreams {
		mean += p.work(u) / float64(len(upstreams))
	}
	return mean
}

// saturated reports whether the slots of an upstream are estimated to be taken while those of its group are less
// so. It is false if that cannot be estimated. The caller holds the lock.
func (p *Pool) saturated(u *upstreamState, group []*upstreamState) bool {
	utilisation, known := p.slotUtilisation([]*upstreamState{u})
	if !known || utilisation < maxAffinityUtilisation {
		return false
	}
	if p.peerLoads[u.Service].Upstreams == nil {
		return true // how full the others are is not known
	}
	mean, known := p.slotUtilisation(group)
	return !known || utilisation >= affinitySlotFactor*mean
}

// affinityReasons holds the log reason for each candidate of rendezvousCandidates.
var affinityReasons = [affinityCandidates]string{"affine", "affine_second"}

// sharedPrefixHash returns a hash of the model and of all parts of the prompt but the
// private last one, or zero if there are no shared parts.
func sharedPrefixHash(p *Prompt) uint64 {
	if len(p.Parts) < 2 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(p.Model)) // never fails
	for _, part := range p.SharedParts() {
		_, _ = h.WriteString("," + string(part.ID))
	}
	return h.Sum64() | 1 // never zero
}

// rendezvousCandidates returns up to affinityCandidates upstreams that a prefix hash
// prefers by rendezvous hashing, the best first. Each upstream is preferred by as many prefixes as its capacity calls
// for. Every gateway with the same upstreams and capacities gets the same result.
func rendezvousCandidates(eligible []*upstreamState, prefixHash uint64) []*upstreamState {
	type scored struct {
		u     *upstreamState
		score float64
	}
	best := make([]scored, 0, affinityCandidates+1)
	for _, u := range eligible {
		uniform := (float64(quota.Mix(xxhash.Sum64String(string(u.ID))^prefixHash)>>11) + 0.5) / (1 << 53)
		score := u.capacity / -math.Log(uniform)
		at := slices.IndexFunc(best, func(b scored) bool { return score > b.score })
		if at < 0 {
			at = len(best)
		}
		best = slices.Insert(best, at, scored{u, score})
		best = best[:min(len(best), affinityCandidates)]
	}
	out := make([]*upstreamState, len(best))
	for i, b := range best {
		out[i] = b.u
	}
	return out
}

// randomPair returns two different upstreams at random, so that gateways with equal
// views do not all choose the same one. The caller holds the lock.
func (p *Pool) randomPair(eligible []*upstreamState) []*upstreamState {
	i := p.rand.IntN(len(eligible))
	j := p.rand.IntN(len(eligible) - 1)
	if j >= i {
		j++
	}
	return []*upstreamState{eligible[i], eligible[j]}
}

// leastLoaded returns the candidate with the least work, the first of equals. The caller holds the lock.
func (p *Pool) leastLoaded(candidates []*upstreamState) *upstreamState {
	best := candidates[0]
	for _, u := range candidates[1:] {
		if p.work(u) < p.work(best) {
			best = u
		}
	}
	return best
}
