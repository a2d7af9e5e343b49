package pool

// This file defines Pool.View, which tells operators what the choice of an upstream for a request depends on.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pace"
)

// Exclusion says why an upstream is not considered for a request.
type Exclusion string

// The exclusions, as operators see them.
const (
	ExcludedGone        Exclusion = "gone"           // its listing is gone
	ExcludedDraining    Exclusion = "draining"       // its listing says so
	ExcludedLeaving     Exclusion = "leaving"        // it has said so in a response
	ExcludedAddress     Exclusion = "address_reused" // another upstream has its address
	ExcludedEvacuated   Exclusion = "evacuated"      // its data centre is
	ExcludedTried       Exclusion = "tried"          // an attempt at it has failed
	ExcludedVersion     Exclusion = "version"        // by the roll-out of its service
	ExcludedWait        Exclusion = "asked_wait"     // it has asked for a wait
	ExcludedSlot        Exclusion = "no_slot"        // it is cold or has named a limit, and this gateway has no slot now
	ExcludedUnreachable Exclusion = "unreachable"    // it could not be connected to, and others can
	ExcludedCanary      Exclusion = "beyond_canary"  // a canary goes to fewer upstreams of its version
	ExcludedOther       Exclusion = "not_accepted"
)

// Candidate is an upstream with what its choice depends on.
type Candidate struct {
	Listing
	Running      int     // requests of this gateway there
	FleetRunning float64 // of all gateways, estimated; zero: not known
	Unread       id.Tokens
	Pace         pace.Pace     // how many times as long as others it takes
	Samples      float64       // of this gateway, that the pace rests on
	Capacity     float64       // relative to others, for affinity
	Work         float64       // by which upstreams compare, the least is the best
	Wait         time.Duration // until it has read what is read before the prompt
	End          time.Duration // until the end of the answer; zero: not known
	Affinity     int           // its rank for the shared prefix of the prompt; zero: none
	InGroup      bool          // it belongs to the group of engines that the prompt goes to
	Doubted      bool          // it may have gone without a word
	Cold         bool          // it is cold, or may be
	Limited      bool          // it has named a limit
	Part         id.PerSecond  // of its limit, or of its rate when cold, for this gateway
	Excluded     Exclusion     // empty: it is considered
	Until        time.Time     // until when it is excluded; zero: not known
}

// View is what the choice of an upstream for a request depends on.
type View struct {
	Candidates []Candidate // those that are considered first, and of these the better first
	Known      int         // upstreams of the service
	LongPrompt bool        // the prompt counts as long
	Slots      int         // of the upstreams that accept work
	Running    int         // requests of all gateways at the service, as far as is known
	Waiting    int         // requests of this gateway that wait for a slot
}

// View returns what Choose would see for a request, with at most so many candidates, the first of which is the one that
// was chosen, if there is one. It changes nothing.
func (p *Pool) View(now time.Time, rq *Request, chosen id.Upstream, most int) *View {
	s := p.Snapshot(rq.Service, p.latest, rand.New(globalSource{}))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mergePaces(now, rq.Service)
	listed := slices.Clone(s.byService[rq.Service])
	load := s.fleetLoad(now, rq.Service)
	v := &View{Known: len(listed), LongPrompt: rq.Prompt.Length > 0 && isLong(&rq.Prompt, s.longPromptThreshold(rq.Service)), Running: load.Running}
	if l := s.lines[rq.Service]; l != nil {
		v.Waiting = len(l.waiting)
	}
	eligible := s.eligible(now, rq).upstreams
	group, hash := eligible, sharedPrefixHash(&rq.Prompt)
	if hash != 0 && len(eligible) > 1 {
		group = s.engineGroup(now, eligible, rq)
	}
	var preferred []*upstreamState
	if hash != 0 {
		preferred = rendezvousCandidates(group, hash)
	}
	v.Slots = s.slots(rq.Service)
	places := make(map[*upstreamState]place, len(listed))
	for _, u := range eligible {
		places[u] = place{considered: true, chosen: u.ID == chosen, affinity: slices.Index(preferred, u) + 1, work: s.work(u)}
	}
	for _, u := range group {
		at := places[u]
		at.inGroup = true
		places[u] = at
	}
	slices.SortFunc(listed, func(a, b *upstreamState) int {
		return cmp.Or(comparePlaces(places[a], places[b]), cmp.Compare(a.ID, b.ID))
	})
	for _, u := range listed[:min(len(listed), most)] {
		v.Candidates = append(v.Candidates, s.candidate(now, u, rq, places[u], group))
	}
	return v
}

// place is the place of an upstream among those of its service, for a request.
type place struct {
	chosen     bool
	considered bool
	inGroup    bool
	affinity   int // zero: none
	work       float64
}

// comparePlaces orders places as View lists candidates.
func comparePlaces(a, b place) int {
	rank := func(p place) int {
		switch {
		case p.chosen:
			return -1
		case !p.considered:
			return 2 + affinityCandidates
		case !p.inGroup:
			return 1 + affinityCandidates
		case p.affinity == 0:
			return affinityCandidates
		}
		return p.affinity - 1
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.work, b.work))
}

// candidate describes an upstream at a place. The caller holds the lock.
func (p *Pool) candidate(now time.Time, u *upstreamState, rq *Request, at place, group []*upstreamState) Candidate {
	c := Candidate{
		Listing: u.Listing, Running: u.running, Pace: u.pace, Samples: u.samples.Figure(now).Samples, Capacity: u.capacity, Work: p.work(u), Affinity: at.affinity, InGroup: at.inGroup,
		Unread: u.backlog.before(UrgencyLevels-1) + p.peerLoads[u.Service].Upstreams[u.key()].Unread, Doubted: p.maySilentlyHaveGone(now, u, rq),
	}
	fleet := p.fleetRunning(u.Service)
	if running, known := fleet.at(u); known {
		c.FleetRunning = running
	}
	_, perSecond, _ := p.nextSlot(now, u)
	c.Part = id.PerSecond(perSecond)
	_, c.Cold = p.coldRate(now, u)
	_, _, c.Limited = u.limitRate()
	switch {
	case !at.considered:
		c.Excluded, c.Until = p.exclusion(now, u, rq)
	case rq.Prompt.Length > 0:
		level := urgencyLevel(rq.Urgency)
		c.Wait = p.admissionsOf(rq.Service)[level].wait(now, p.fleetBacklog(u, group, level))
		c.End = p.timeToEnd(u, c.Wait, &rq.Prompt)
	}
	return c
}

// exclusion returns why an upstream that is not eligible is not, and until when. The caller holds the lock.
func (p *Pool) exclusion(now time.Time, u *upstreamState, rq *Request) (Exclusion, time.Time) {
	waitUntil, waits := u.waitsUntil(now)
	slot, _, paced := p.nextSlot(now, u)
	switch {
	case !u.removeAt.IsZero() && !now.Before(u.removeAt):
		return ExcludedGone, time.Time{}
	case u.Draining:
		return ExcludedDraining, time.Time{}
	case u.isLeaving():
		return ExcludedLeaving, time.Time{}
	case u.addressReused:
		return ExcludedAddress, time.Time{}
	case p.evacuated[u.DataCentre]:
		return ExcludedEvacuated, time.Time{}
	case slices.Contains(rq.Avoid, u.ID):
		return ExcludedTried, time.Time{}
	case !rq.allows(u):
		return ExcludedVersion, time.Time{}
	case waits:
		return ExcludedWait, waitUntil
	case paced && now.Before(slot):
		return ExcludedSlot, slot
	case now.Before(u.unreachableUntil):
		return ExcludedUnreachable, u.unreachableUntil
	case rq.MaxUpstreams > 0:
		return ExcludedCanary, time.Time{}
	}
	return ExcludedOther, time.Time{}
}
