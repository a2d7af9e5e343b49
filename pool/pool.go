// Package pool tracks the upstreams that the platform lists and chooses one for each
// request.
//
// A Pool records which upstreams exist, which accept new requests, which are cold, and
// what this gateway has running on each of them. choose.go defines how an upstream is
// chosen, assignment.go the requests that run there, admission.go which requests are refused because engines are too far behind, shed.go which of
// them for the sake of more urgent ones, load.go and upstream_load.go the loads and pace.go the
// speeds that this depends on, split.go the separation of long prompts from short
// ones, cold.go the rate limit of cold
// upstreams, remark.go what upstreams say of themselves in responses, limit.go the
// limits that they name, slot.go and line.go how requests use the slots of both and wait for them,
// and contact.go which upstreams may have gone without a word.
package pool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pace"
	"github.com/ragwortpass/ragwortpass/quota"
)

// Listing is the record of an upstream on the platform's store. Upstreams write their
// own records.
type Listing struct {
	ID          id.Upstream
	Service     id.Service
	Address     string // IP and port
	DataCentre  id.DataCentre
	Version     id.Version    // of what it runs; empty: unknown
	Draining    bool          // accepts no new requests
	Slots       int           // most requests that it runs concurrently; zero: unknown
	ColdFor     time.Duration // how much longer it is cold
	StartUnixMS int64         // when it started, in Unix milliseconds; zero: unknown
	Sequence    uint64        // rises with each listing from the same start; zero: unknown
}

// recoveryGrace is how long expired listings may take to reappear after an outage of the
// store. The platform grants about two seconds.
const recoveryGrace = 2200 * time.Millisecond

// upstreamState is an upstream of the pool with its load and availability.
type upstreamState struct {
	Listing
	hashOrder        uint64 // sort key among the upstreams of a service, the same at every gateway
	coldUntil        time.Time
	coldSlots        quota.Slots
	listedAt         time.Time     // when its listing was last received
	addedAt          time.Time     // when it was first listed from its start on
	removeAt         time.Time     // when it is to be removed from the pool; zero: never
	unreachableUntil time.Time     // until then it is used only if there is no other
	connectFailures  int           // consecutive failed connections
	lastHeard        time.Time     // when it last sent something to this gateway; zero: never
	inDoubt          bool          // it was silent or could not be connected to, and was not heard from since
	gone             chan struct{} // closed once it is found to have gone; nil: nobody waits for it
	busySince        time.Time     // since when it has had requests of this gateway, if it has any
	addressReused    bool          // its address belongs to another upstream now
	remark           *remark       // nil: it has said nothing
	running          int           // requests of this gateway that it runs
	backlog          backlog       // prompt tokens of these requests that it has not processed yet
	samples          pace.Upstream // of its pace, by this gateway
	paceKey          PaceKey
	pace             pace.Pace // as all gateways have found it
	distinct         pace.Pace // that decisions go by
	meanLoad         pace.Conditions
	pacedSince       time.Time // when its pace was first known; zero: not yet
	meanPace         float64   // logarithm, over capacityTime
	capacity         float64   // relative to that of the others, by its mean pace; changes by steps
}

// Pool holds the upstreams that a gateway knows. It is safe for concurrent use.
type Pool struct {
	mu                sync.Mutex
	upstreams         map[id.Upstream]*upstreamState
	byService         map[id.Service][]*upstreamState // in hash order
	evacuated         map[id.DataCentre]bool
	evacuationEndedAt map[id.DataCentre]time.Time
	viewsOutdated     bool      // the topics were not read lately
	storeRecoveredAt  time.Time // end of the last outage of the store
	latest            *catalog.Latest
	gatewayCount      int                 // live gateways, which share the capacity of the upstreams
	peerLoads         map[id.Service]Load // by the requests of other gateways; nil: not known
	fleet             quota.Fleet
	lines             map[id.Service]*line
	splits            map[id.Service]*engineSplit
	admissions        map[id.Service]*[UrgencyLevels]admission
	shortRunning      map[id.Service]int // requests of this gateway with prompts that are not long
	paces             map[id.Service]*paces
	remarks           map[incarnation]*remark
	rand              *rand.Rand
}

// globalSource is the source of random numbers of the whole process.
type globalSource struct{}

// Uint64 implements rand.Source.
func (globalSource) Uint64() uint64 { return rand.Uint64() }

// New returns an empty pool that reads the settings of services from the latest catalog.
func New(latest *catalog.Latest) *Pool {
	return &Pool{
		upstreams: make(map[id.Upstream]*upstreamState), byService: make(map[id.Service][]*upstreamState),
		evacuated: make(map[id.DataCentre]bool), evacuationEndedAt: make(map[id.DataCentre]time.Time),
		splits: make(map[id.Service]*engineSplit), admissions: make(map[id.Service]*[UrgencyLevels]admission), remarks: make(map[incarnation]*remark), lines: make(map[id.Service]*line), shortRunning: make(map[id.Service]int), paces: make(map[id.Service]*paces), latest: latest, gatewayCount: 1,
		rand: rand.New(globalSource{}),
	}
}

// UseRandom makes the pool choose by the numbers of r, so that a simulation can be repeated.
func (p *Pool) UseRandom(r *rand.Rand) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rand = r
}

// ConnectionPart returns how many of the connections that an upstream of a service accepts are this gateway's, if
// all have as many; zero: not known.
func (p *Pool) ConnectionPart(service id.Service) float64 {
	c := p.latest.Load()
	if c == nil || c.Services[service] == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return float64(c.Services[service].MaxConns) / float64(p.gatewayCount)
}

// SetGatewayCount sets how many gateways share the capacity of the upstreams.
func (p *Pool) SetGatewayCount(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gatewayCount = max(1, n)
}

// SetViewsOutdated sets whether the platform's topics, from which the pool knows the upstreams and the
// evacuations, were not read lately.
func (p *Pool) SetViewsOutdated(outdated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.viewsOutdated = outdated
}

// SetFleet sets which gateways share the rate limits of upstreams, and their common time.
func (p *Pool) SetFleet(f quota.Fleet) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet = f
}

// Put adds an upstream or updates its listing. An upstream whose service, address or
// start time has changed is added anew, without its previous state. Put reports whether
// the upstream was added.
func (p *Pool) Put(now time.Time, l Listing) (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[l.ID]
	if u != nil && (u.Service != l.Service || u.Address != l.Address || u.StartUnixMS != l.StartUnixMS) {
		p.removeLocked(u)
		u = nil
	}
	if u == nil {
		u = &upstreamState{addedAt: now, hashOrder: xxhash.Sum64String(string(l.ID)), remark: p.remarks[incarnation{l.ID, l.StartUnixMS}], paceKey: l.paceKey(), pace: pace.Even, distinct: pace.Even, capacity: 1}
		p.upstreams[l.ID] = u
		list := p.byService[l.Service]
		at, _ := slices.BinarySearchFunc(list, u.hashOrder, func(x *upstreamState, order uint64) int { return cmp.Compare(x.hashOrder, order) })
		p.byService[l.Service] = slices.Insert(slices.Clone(list), at, u)
		isNew = true
	}
	u.Listing, u.removeAt, u.listedAt = l, time.Time{}, now
	if isNew {
		p.keepWait(now, &l)
	}
	u.coldUntil = time.Time{}
	if l.ColdFor > 0 {
		u.coldUntil = now.Add(l.ColdFor)
	}
	return isNew
}

// Remove removes an upstream whose listing is gone. A listing that disappears shortly
// after an outage of the store may merely have expired during the outage, so that its
// upstream stays in use for recoveryGrace after the outage.
func (p *Pool) Remove(now time.Time, upstream id.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[upstream]
	if u == nil {
		return
	}
	if until := p.storeRecoveredAt.Add(recoveryGrace); now.Before(until) {
		if u.removeAt.IsZero() {
			u.removeAt = until
		}
		return
	}
	p.removeLocked(u)
}

// StoreRecovered records that the store can be read again after an outage.
func (p *Pool) StoreRecovered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeRecoveredAt = now
}

// Upstreams returns the ids of all upstreams in the pool.
func (p *Pool) Upstreams() []id.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make([]id.Upstream, 0, len(p.upstreams))
	for u := range p.upstreams {
		known = append(known, u)
	}
	return known
}

// SetEvacuated starts or ends the evacuation of a data centre, during which its
// upstreams get no new requests. Afterwards they count as cold for the cold duration of
// their service.
func (p *Pool) SetEvacuated(now time.Time, dc id.DataCentre, active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuated[dc] && !active {
		p.evacuationEndedAt[dc] = now
	}
	if active {
		p.evacuated[dc] = true
	} else {
		delete(p.evacuated, dc)
	}
}

// Evacuated returns the data centres that are being evacuated.
func (p *Pool) Evacuated() []id.DataCentre {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]id.DataCentre, 0, len(p.evacuated))
	for dc := range p.evacuated {
		out = append(out, dc)
	}
	return out
}

// removeLocked removes an upstream. The caller holds the lock.
func (p *Pool) removeLocked(u *upstreamState) {
	delete(p.upstreams, u.ID)
	list := p.byService[u.Service]
	for i, x := range list {
		if x == u {
			p.byService[u.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// MarkAddressReused records that another upstream answered at the address of this one.
// The upstream gets no requests until Put adds it anew.
func (p *Pool) MarkAddressReused(upstream id.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[upstream]; u != nil {
		u.addressReused = true
	}
}
