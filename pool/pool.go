// Package pool holds what an entry knows of the upstreams that the platform lists,
// and chooses one for each request.
//
// Pool is the view: which upstreams exist, which take new work, which are cold, and
// what this entry has running at each. choose.go defines the choice, cold.go the
// rate at which cold upstreams are sent requests.
package pool

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
)

// Listing is what an upstream says of itself on the platform's store.
type Listing struct {
	ID          id.Upstream
	Service     id.Service
	Address     string // IP and port
	DataCentre  id.DataCentre
	Draining    bool
	Slots       int           // requests that it runs at once; zero: unknown
	ColdFor     time.Duration // how much longer it is cold
	StartUnixMS int64         // Unix milliseconds of its start; zero: unknown
}

const (
	// regainedGrace is how long entries that lapsed while the store was away have to
	// come back: the platform gives about two seconds.
	regainedGrace = 2200 * time.Millisecond
	// unreachableFor is how long an upstream that did not take a connection gets no
	// further one, and restartable doubles it up to unreachableMax.
	unreachableFor = 400 * time.Millisecond
	unreachableMax = 3 * time.Second
)

// member is an upstream in the pool.
type member struct {
	Listing
	order       uint64 // its place among the upstreams of its service, the same at every entry
	coldUntil   time.Time
	cold        pacer
	listed      time.Time // when it was last listed
	goneAt      time.Time // when it stops to take work; zero: never
	unreachable time.Time // until then it gets nothing
	failures    int       // connections that failed in a row
	moved       bool      // its address is another upstream's now
	runs        int       // requests of this entry that run there
	prefill     id.Tokens // tokens of prompts of this entry that it has yet to read
}

// Pool is the upstreams that an entry knows. It is safe for concurrent use.
type Pool struct {
	mu        sync.Mutex
	members   map[id.Upstream]*member
	byService map[id.Service][]*member
	evacuated map[id.DataCentre]bool
	lifted    map[id.DataCentre]time.Time // when an evacuation ended
	regained  time.Time                   // when the store came back
	shelf     *catalog.Latest
	entries   int // entries alive, which share what upstreams bear
	splits    map[id.Service]*split
}

// New returns an empty pool.
func New(shelf *catalog.Latest) *Pool {
	return &Pool{
		members: make(map[id.Upstream]*member), byService: make(map[id.Service][]*member),
		evacuated: make(map[id.DataCentre]bool), lifted: make(map[id.DataCentre]time.Time),
		splits: make(map[id.Service]*split), shelf: shelf, entries: 1,
	}
}

// SetGatewayCount says how many entries share what a cold upstream bears.
func (p *Pool) SetGatewayCount(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries = max(1, n)
}

// Put takes a listing in. New reports whether the upstream, or its incarnation, was
// not known.
func (p *Pool) Put(now time.Time, l Listing) (fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[l.ID]
	if m != nil && (m.Service != l.Service || m.Address != l.Address || m.StartUnixMS != l.StartUnixMS) {
		p.drop(m)
		m = nil
	}
	if m == nil {
		m = &member{order: xxhash.Sum64String(string(l.ID))}
		p.members[l.ID] = m
		list := p.byService[l.Service]
		at, _ := slices.BinarySearchFunc(list, m.order, func(x *member, order uint64) int { return cmp.Compare(x.order, order) })
		p.byService[l.Service] = slices.Insert(slices.Clone(list), at, m)
		fresh = true
	}
	m.Listing, m.goneAt, m.listed = l, time.Time{}, now
	m.coldUntil = time.Time{}
	if l.ColdFor > 0 {
		m.coldUntil = now.Add(l.ColdFor)
	}
	return fresh
}

// Remove takes an upstream out. Entries that the store drops shortly after it was
// away may only have lapsed, so that these upstreams keep their work for a while.
func (p *Pool) Remove(now time.Time, u id.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[u]
	if m == nil {
		return
	}
	if until := p.regained.Add(regainedGrace); now.Before(until) {
		if m.goneAt.IsZero() {
			m.goneAt = until
		}
		return
	}
	p.drop(m)
}

// StoreRecovered says that the store is read again after it could not be.
func (p *Pool) StoreRecovered(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.regained = now
}

// Upstreams returns the upstreams of the pool.
func (p *Pool) Upstreams() []id.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make([]id.Upstream, 0, len(p.members))
	for u := range p.members {
		known = append(known, u)
	}
	return known
}

// SetEvacuated says whether a data centre is to get no new work.
func (p *Pool) SetEvacuated(now time.Time, dc id.DataCentre, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuated[dc] && !on {
		p.lifted[dc] = now
	}
	if on {
		p.evacuated[dc] = true
	} else {
		delete(p.evacuated, dc)
	}
}

// Evacuated returns the data centres that are to get no new work.
func (p *Pool) Evacuated() []id.DataCentre {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]id.DataCentre, 0, len(p.evacuated))
	for dc := range p.evacuated {
		out = append(out, dc)
	}
	return out
}

// drop removes a member. The caller holds the lock.
func (p *Pool) drop(m *member) {
	delete(p.members, m.ID)
	list := p.byService[m.Service]
	for i, x := range list {
		if x == m {
			p.byService[m.Service] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// MarkUnreachable says that an upstream did not take a connection.
func (p *Pool) MarkUnreachable(now time.Time, u id.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[u]; m != nil {
		m.unreachable = now.Add(min(unreachableFor<<min(m.failures, 4), unreachableMax))
		m.failures++
	}
}

// MarkAddressReused says that another upstream answered at the address of this one, which is gone
// until it is listed with another start or address.
func (p *Pool) MarkAddressReused(u id.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[u]; m != nil {
		m.moved = true
	}
}

// MarkReachable says that an upstream answered.
func (p *Pool) MarkReachable(u id.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.members[u]; m != nil {
		m.failures, m.unreachable = 0, time.Time{}
	}
}
