// Package route decides which upstream runs a request, and which upstreams an
// entry watches.
package route

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
)

// Overcommit is the number of requests beyond its limit that an upstream may be sent,
// so that it does not idle while an answer is in transit.
const Overcommit = 1

const (
	candidateCount = 3 // upstreams with the highest scores that are compared by load
	// maxAffinityLoad is the multiple of the mean load up to which an upstream is
	// still preferred for its cached prefixes.
	maxAffinityLoad = 1.25
	// cachedPrefixBit is set in the scores of upstreams that reported the prefix as
	// cached.
	cachedPrefixBit = 1 << 63
)

// Requirements describes the upstreams that can run a request.
type Requirements struct {
	Model   id.Model   // empty for a request to a plain service
	Service id.Service // empty for a request to a model engine
	// Prefix is a hash of the start of the prompt. Requests with the same prefix go to
	// the same upstream while it has capacity. For a call without a prompt it is a
	// number that differs from call to call.
	Prefix uint64
	Avoid  []id.Upstream // used only if no other upstream has capacity
}

// Decision is the result of Choose: Chosen, *Full or *NoneUsable.
type Decision interface{ decision() }

// Chosen holds the upstream to use.
type Chosen struct{ Upstream *upstream.View }

// Full means that usable upstreams exist but none has capacity.
type Full struct{}

// NoneUsable means that no usable upstream can run the request.
type NoneUsable struct{}

func (Chosen) decision()      {}
func (*Full) decision()       {}
func (*NoneUsable) decision() {}

// candidate is an upstream with capacity.
type candidate struct {
	view  *upstream.View
	load  float64 // active requests, including this one, divided by the limit
	score uint64  // rendezvous hash of the upstream and the prefix
}

// candidates is the result of one pass over the upstreams of a model or service.
type candidates struct {
	anyUsable          bool                      // some upstream is usable, with capacity or not
	active             int                       // active requests of all usable upstreams
	limit              int                       // sum of the limits of all usable upstreams
	topByScore         [candidateCount]candidate // highest scores first
	leastLoaded        candidate                 // outside Requirements.Avoid
	leastLoadedAvoided candidate                 // among those in Requirements.Avoid
}

// Choose returns the upstream for a request. It prefers the one with the highest
// score, a rendezvous hash of upstream and prefix. If that one has reached its limit or
// its load is far above the mean, it chooses the least loaded of the candidateCount
// highest scores, or the least loaded of all if these have all reached their limits.
func Choose(now time.Time, rules *rule.Set, t *upstream.Table, req Requirements) Decision {
	var cs candidates
	since := clock.InstantOf(now).Add(-t.StaleAfter())
	for _, r := range t.Lookup(req.Model, req.Service) {
		v := r.View()
		if v.Usable(since) && (len(rules.Drains) == 0 || !rules.Drained(v.DataCentre)) {
			cs.add(r, v, &req)
		}
	}
	switch best := cs.best(); {
	case best != nil:
		return Chosen{best}
	case cs.anyUsable:
		return full
	}
	return none
}

var (
	full = &Full{}
	none = &NoneUsable{}
)

// add adds a usable upstream to the candidates.
func (cs *candidates) add(r *upstream.Record, v *upstream.View, req *Requirements) {
	cs.anyUsable = true
	active, limit := r.ActiveRequests(v), max(1, v.Load.Limit)
	cs.active += active
	cs.limit += limit
	if active >= v.Load.Limit+Overcommit {
		return
	}
	c := candidate{view: v, load: float64(active+1) / float64(limit)}
	if len(req.Avoid) > 0 && slices.Contains(req.Avoid, v.ID) {
		c.replaceIfLower(&cs.leastLoadedAvoided)
		return
	}
	c.replaceIfLower(&cs.leastLoaded)
	c.score = score(r.Hash, req.Prefix) &^ cachedPrefixBit
	if len(v.Prefixes) > 0 {
		if _, cached := v.Prefixes[req.Prefix]; cached {
			c.score |= cachedPrefixBit
		}
	}
	for i := range cs.topByScore {
		if cs.topByScore[i].view == nil || c.score > cs.topByScore[i].score {
			c, cs.topByScore[i] = cs.topByScore[i], c
		}
		if c.view == nil {
			return
		}
	}
}

// replaceIfLower sets *least to c if it is empty or c has a lower load.
func (c *candidate) replaceIfLower(least *candidate) {
	if least.view == nil || c.load < least.load {
		*least = *c
	}
}

// best returns the upstream to use, or nil if none has capacity.
func (cs *candidates) best() *upstream.View {
	if cs.leastLoaded.view == nil {
		return cs.leastLoadedAvoided.view
	}
	first := &cs.topByScore[0]
	mean := float64(cs.active+1) / float64(cs.limit)
	if first.load <= 1 && first.load <= maxAffinityLoad*mean+1/float64(max(1, first.view.Load.Limit)) {
		return first.view
	}
	best := *first
	for i := range cs.topByScore {
		if cs.topByScore[i].view != nil {
			cs.topByScore[i].replaceIfLower(&best)
		}
	}
	if best.load > 1 {
		return cs.leastLoaded.view
	}
	return best.view
}

// score returns the rendezvous hash of two hashes: those of an upstream and a prefix, or
// of an entry and a process that it may watch.
func score(first, second uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], first)
	binary.LittleEndian.PutUint64(b[8:], second)
	return xxhash.Sum64(b[:])
}
