package pool

// This file defines how the pool learns the pace of upstreams from their answers, by package pace, and merges what
// gateways have learned (docs/design/pace.md).

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pace"
)

const (
	// paceInterval is how often the pace of upstreams is derived from new samples.
	paceInterval = 250 * time.Millisecond
	// capacityTime is the time over which the mean pace of an upstream decides on its capacity. Each change of a capacity
	// moves shared prefixes to engines that have not cached them.
	capacityTime = 4 * time.Second
	// firstCapacityFactor is by which factor the capacity of an upstream that counts as like the others must differ from
	// what its mean pace calls for to change, and capacityFactor the same for one that is known to differ.
	firstCapacityFactor, capacityFactor = 1.3, 1.2
)

// PaceKey identifies one start of an upstream among those of a service.
type PaceKey uint32

// paces is what is known of the pace of the upstreams of a service.
type paces struct {
	common   pace.Service
	mergedAt time.Time
}

// paceKey returns the key of the present start of an upstream, which is the same at all gateways.
func (l *Listing) paceKey() PaceKey {
	return PaceKey(xxhash.Sum64String(fmt.Sprintf("%s,%d", l.ID, l.StartUnixMS)))
}

// pacesOf returns what is known of the upstreams of a service. The caller holds the lock.
func (p *Pool) pacesOf(s id.Service) *paces {
	known := p.paces[s]
	if known == nil {
		known = new(paces)
		p.paces[s] = known
	}
	return known
}

// mergePaces brings the pace of the upstreams of a service up to date, if that is due. The caller holds the lock.
func (p *Pool) mergePaces(now time.Time, s id.Service) {
	known := p.pacesOf(s)
	if now.Sub(known.mergedAt) < paceInterval {
		return
	}
	known.mergedAt = now
	peers := p.peerLoads[s].Paces
	all := make([]*pace.Pace, 0, len(p.byService[s]))
	for _, u := range p.byService[s] {
		u.pace = pace.Merge(append([]pace.Figure{u.samples.Figure(now)}, peers[u.paceKey]...))
		all = append(all, &u.pace)
	}
	pace.Normalise(all)
	fleet := p.fleetRunning(s)
	for _, u := range p.byService[s] {
		u.distinct = u.pace.Distinct()
		p.followLoad(u, fleet)
		u.followPace(now)
	}
}

// followPace updates the mean pace of an upstream, which counts from the first sample on, and its capacity.
func (u *upstreamState) followPace(now time.Time) {
	switch {
	case u.pacedSince.IsZero() && u.pace == pace.Even:
		return
	case u.pacedSince.IsZero():
		u.pacedSince = now.Add(-paceInterval)
	}
	weight := float64(paceInterval) / float64(min(now.Sub(u.pacedSince), capacityTime))
	u.meanPace += weight * (math.Log(float64(u.pace)) - u.meanPace)
	factor := capacityFactor
	if u.capacity == 1 {
		factor = firstCapacityFactor
	}
	if capacity := math.Exp(-u.meanPace); capacity > u.capacity*factor || capacity < u.capacity/factor {
		u.capacity = capacity
	}
}

// figures returns what this gateway has seen of the pace of the upstreams of a service. The caller holds the lock.
func (p *Pool) figures(now time.Time, s id.Service) (figures map[PaceKey][]pace.Figure) {
	for _, u := range p.byService[s] {
		if f := u.samples.Figure(now); f.Samples >= minToldSamples {
			if figures == nil {
				figures = make(map[PaceKey][]pace.Figure)
			}
			figures[u.paceKey] = []pace.Figure{f}
		}
	}
	return figures
}

// KnownPace is the pace of an upstream and how many samples of this gateway it rests on.
type KnownPace struct {
	Pace    pace.Pace
	Samples float64
}

// Paces returns what is known of the pace of all upstreams.
func (p *Pool) Paces(now time.Time) map[id.Upstream]KnownPace {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[id.Upstream]KnownPace, len(p.upstreams))
	for s := range p.byService {
		p.mergePaces(now, s)
	}
	for _, u := range p.upstreams {
		known[u.ID] = KnownPace{u.pace, u.samples.Figure(now).Samples}
	}
	return known
}

// addPaces adds what another gateway has seen.
func (l *Load) addPaces(other map[PaceKey][]pace.Figure) {
	if l.Paces == nil && len(other) > 0 {
		l.Paces = make(map[PaceKey][]pace.Figure, len(other))
	}
	for key, more := range other {
		l.Paces[key] = append(l.Paces[key], more...)
	}
}

// minToldSamples is the number of samples below which peers are not told.
const minToldSamples = 0.5

// conditions returns what runs at an upstream, for all gateways as far as that is known. The caller holds the lock.
func (p *Pool) conditions(u *upstreamState, fleet runningEstimate) pace.Conditions {
	running, _ := fleet.at(u)
	if u.Slots > 0 {
		running = min(running, float64(u.Slots)) // the others wait
	}
	peers := p.peerLoads[u.Service].Upstreams[u.key()]
	return pace.Conditions{Running: running, Unread: float64(u.backlog.before(UrgencyLevels-1) + peers.Unread)}
}

// answerProgress is what an assignment keeps to learn from its answer.
type answerProgress struct {
	expectedTokens float64 // of the answer
	unread         float64 // tokens that the upstream had not read when the request was sent, this one's included
	runningAtStart float64 // requests at the upstream, this one included
	events         int
	lastEvent      time.Time
	atLastEvent    pace.Conditions
	steps          pace.Steps
}

// noteStart notes what the upstream has to do when the request is sent. The caller holds the lock.
func (a *Assignment) noteStart() {
	u := a.state
	peers := a.pool.peerLoads[u.Service].Upstreams[u.key()]
	a.progress.unread = float64(u.backlog.before(a.level) + peers.before(a.level))
	fleet := a.pool.fleetRunning(u.Service)
	a.progress.runningAtStart, _ = fleet.at(u)
}

// recordEvent records the time since the event before, or until the first one, as a sample of the upstream's pace. The
// caller holds the lock.
func (a *Assignment) recordEvent(now time.Time) {
	u, known := a.state, a.pool.pacesOf(a.Upstream.Service)
	conditions := a.pool.conditions(u, a.pool.fleetRunning(u.Service))
	switch {
	case a.promptTokens == 0:
	case a.progress.lastEvent.IsZero() && u.Slots > 0 && a.progress.runningAtStart >= float64(u.Slots): // it may have waited for a slot
	case a.progress.lastEvent.IsZero():
		known.common.AddRead(now, u.pace, a.progress.unread, conditions.Running, now.Sub(a.sentAt))
	default:
		mean := pace.Conditions{Running: (conditions.Running + a.progress.atLastEvent.Running) / 2, Unread: (conditions.Unread + a.progress.atLastEvent.Unread) / 2}
		u.samples.AddStep(now, &known.common, u.pace, &a.progress.steps, mean, now.Sub(a.progress.lastEvent))
	}
	a.progress.lastEvent, a.progress.atLastEvent = now, conditions
	a.progress.events++
}

// Answered records that the upstream has sent the whole answer.
func (a *Assignment) Answered(now time.Time) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	known := a.pool.pacesOf(a.Upstream.Service)
	if a.progress.events > 0 {
		known.common.AddAnswer(now, a.progress.expectedTokens, a.progress.events)
	}
	if a.promptTokens == 0 {
		a.state.samples.AddWhole(now, &known.common, a.state.pace, a.progress.runningAtStart, now.Sub(a.sentAt))
	}
}
