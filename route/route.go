// Package route decides which upstream runs a request, and which upstreams an
// entry watches.
package route

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
)

// Overcommit is how many requests beyond its limit an upstream is sent, so that
// it does not idle while an answer travels.
const Overcommit = 1

const (
	candidateCount = 3
	// affinityBound is how many times the mean pressure an upstream may have and
	// still be preferred for its cached prefixes.
	affinityBound = 1.25
	// cachedBit marks the scores of upstreams that are said to have the prefix.
	cachedBit = 1 << 63
)

// Requirements is what a request needs of an upstream.
type Requirements struct {
	Model   id.Model   // empty: a plain service
	Service id.Service // empty: a model engine
	// Prefix is a hash of the start of the prompt: requests with the same prefix go
	// to the same upstream while it has room. Of a call without a prompt it is any
	// number that differs from call to call.
	Prefix uint64
	Avoid  []id.Upstream // used only if no other has room
}

// Decision is the outcome of a choice: Chosen, *Full or *NoneUsable.
type Decision interface{ decision() }

// Chosen names the upstream to use.
type Chosen struct{ Upstream *upstream.View }

// Full says that upstreams exist but none has room.
type Full struct{}

// NoneUsable says that no upstream can run the request.
type NoneUsable struct{}

func (Chosen) decision()      {}
func (*Full) decision()       {}
func (*NoneUsable) decision() {}

// option is an upstream with room.
type option struct {
	view     *upstream.View
	pressure float64 // requests, with this one, for each that it may run
	score    uint64  // rendezvous hash of the upstream and the prefix
}

// options is what one pass over the upstreams of a model finds.
type options struct {
	usable  bool
	busy    int                    // of all usable upstreams
	limit   int                    // of all usable upstreams
	top     [candidateCount]option // with the highest scores, highest first
	least   option                 // with the least pressure
	avoided option                 // with the least pressure among those to avoid
}

// Choose returns the upstream for a request. It prefers the one that the prefix
// hashes to, unless that has far more to do than the mean; then the one with the
// least expected wait among the next few by hash, and among all if these are full.
func Choose(now time.Time, rules *rule.Set, t *upstream.Table, ask Requirements) Decision {
	var o options
	since := now.Add(-t.StaleAfter()).UnixNano()
	for _, r := range t.Lookup(ask.Model, ask.Service) {
		v := r.View()
		if v.Usable(since) && (len(rules.Drains) == 0 || !rules.Drained(v.DataCentre)) {
			o.add(r, v, &ask)
		}
	}
	switch best := o.best(); {
	case best != nil:
		return Chosen{best}
	case o.usable:
		return full
	}
	return none
}

var (
	full = &Full{}
	none = &NoneUsable{}
)

// add takes an eligible upstream in.
func (o *options) add(r *upstream.Record, v *upstream.View, ask *Requirements) {
	o.usable = true
	busy, limit := r.ActiveRequests(v), max(1, v.Load.Limit)
	o.busy += busy
	o.limit += limit
	if busy >= v.Load.Limit+Overcommit {
		return
	}
	x := option{view: v, pressure: float64(busy+1) / float64(limit)}
	if len(ask.Avoid) > 0 && slices.Contains(ask.Avoid, v.ID) {
		x.keepLeast(&o.avoided)
		return
	}
	x.keepLeast(&o.least)
	x.score = score(r.Hash, ask.Prefix) &^ cachedBit
	if len(v.Prefixes) > 0 {
		if _, cached := v.Prefixes[ask.Prefix]; cached {
			x.score |= cachedBit
		}
	}
	for i := range o.top {
		if o.top[i].view == nil || x.score > o.top[i].score {
			x, o.top[i] = o.top[i], x
		}
		if x.view == nil {
			return
		}
	}
}

// keepLeast replaces least if x has less pressure.
func (x *option) keepLeast(least *option) {
	if least.view == nil || x.pressure < least.pressure {
		*least = *x
	}
}

// best returns the upstream to use, or nil if none has room.
func (o *options) best() *upstream.View {
	if o.least.view == nil {
		return o.avoided.view
	}
	first := &o.top[0]
	mean := float64(o.busy+1) / float64(o.limit)
	if first.pressure <= 1 && first.pressure <= affinityBound*mean+1/float64(max(1, first.view.Load.Limit)) {
		return first.view
	}
	best := *first
	for i := range o.top {
		if o.top[i].view != nil {
			o.top[i].keepLeast(&best)
		}
	}
	if best.pressure > 1 {
		return o.least.view
	}
	return best.view
}

// score returns the rendezvous hash of an upstream and a prefix.
func score(upstream, prefix uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], upstream)
	binary.LittleEndian.PutUint64(b[8:], prefix)
	return xxhash.Sum64(b[:])
}
