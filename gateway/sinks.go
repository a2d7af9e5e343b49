package gateway

// This file defines the sinks of the two topics that a gateway follows: the operators'
// topic, with the catalog and evacuations, and the topic of the listed upstreams.

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// OperatorChange is a decoded record of the operators' topic: *CatalogChange,
// *Evacuation, *RolloutChange or *UnknownChange.
type OperatorChange interface{ change() }

// CatalogChange puts a catalog in force.
type CatalogChange struct{ Catalog *catalog.Catalog }

// Evacuation starts or ends the evacuation of a data centre, which gets no new requests
// meanwhile.
type Evacuation struct {
	DataCentre id.DataCentre
	Active     bool // false: the evacuation ends
}

// UnknownChange is a record of a kind that the gateway does not use.
type UnknownChange struct{}

func (*CatalogChange) change() {}
func (*Evacuation) change()    {}
func (*UnknownChange) change() {}

// RecordDecoder decodes the records of the platform's topics.
type RecordDecoder interface {
	// DecodeChange decodes a record of the operators' topic.
	DecodeChange(r feed.Record) (OperatorChange, error)
	// DecodeListing decodes a record of the upstreams' topic, one that lists an upstream.
	DecodeListing(r feed.Record) (pool.Listing, error)
}

// operatorSink is the sink of the operators' topic.
type operatorSink struct {
	rollouts       *rolloutOrders // nil: there are none
	decoder        RecordDecoder
	currentCatalog *catalog.Latest
	pool           *pool.Pool
	logger         log.Logger
	registry       metrics.Registry
	ended          map[id.DataCentre]bool // data centres whose evacuation was seen to end; used under the follower's lock only
}

var _ feed.Sink = (*operatorSink)(nil)

// newOperatorSink returns a sink that has received nothing.
func newOperatorSink(decoder RecordDecoder, current *catalog.Latest, p *pool.Pool, logger log.Logger, registry metrics.Registry) *operatorSink {
	registry.GetOrRegister("config_version", metrics.NewFunctionalGauge(func() int64 {
		if c := current.Load(); c != nil {
			return int64(c.Version)
		}
		return 0
	}))
	return &operatorSink{decoder: decoder, currentCatalog: current, pool: p, logger: logger, registry: registry, ended: make(map[id.DataCentre]bool)}
}

// Rewind implements feed.Sink. It keeps a newer catalog, evacuations that the records do not
// name, and data centres in use whose evacuation has ended.
func (o *operatorSink) Rewind(now time.Time, records []feed.Record) {
	evacuated := make(map[id.DataCentre]bool)
	for _, r := range records {
		change := o.decode(r)
		switch c := change.(type) {
		case *RolloutChange:
			if o.rollouts.hold(c) {
				continue
			}
		case *CatalogChange:
			if current := o.currentCatalog.Load(); current != nil && c.Catalog.Version < current.Version {
				_ = o.logger.Log("event", "config_held", "config", current.Version, "store_has", c.Catalog.Version, "offset", r.Offset)
				continue
			}
		case *Evacuation:
			evacuated[c.DataCentre] = c.Active
			if c.Active && o.ended[c.DataCentre] {
				_ = o.logger.Log("event", "evacuation_held", "data_centre", c.DataCentre, "on", false, "offset", r.Offset)
				continue
			}
		}
		o.apply(now, r, change)
	}
	for _, dc := range o.pool.Evacuated() {
		if !evacuated[dc] {
			_ = o.logger.Log("event", "evacuation_held", "data_centre", dc, "on", true)
		}
	}
}

// Replace implements feed.Sink. It ends the evacuations that no record names any more.
func (o *operatorSink) Replace(now time.Time, records []feed.Record) {
	evacuated, ordered := make(map[id.DataCentre]bool), make(map[id.Service]bool)
	for _, r := range records {
		change := o.decode(r)
		o.apply(now, r, change)
		if c, ok := change.(*RolloutChange); ok {
			ordered[c.Service] = c.Order != nil || c.Invalid != nil
		}
		if e, ok := change.(*Evacuation); ok && e.Active {
			evacuated[e.DataCentre] = true
		}
	}
	for _, dc := range o.pool.Evacuated() {
		if !evacuated[dc] {
			o.evacuate(now, &Evacuation{DataCentre: dc})
		}
	}
	o.rollouts.withdrawOthers(ordered)
}

// Apply implements feed.Sink. Of the records with one key it decodes the newest only, as a series of
// large configurations would otherwise delay the last one; older ones count if that one does not.
func (o *operatorSink) Apply(now time.Time, records []feed.Record) {
	applied := make(map[string]bool)
	for _, r := range slices.Backward(records) {
		if !applied[r.Key] {
			applied[r.Key] = o.apply(now, r, o.decode(r))
		}
	}
}

// Recovered implements feed.Sink. It does nothing, as a catalog does not expire during an
// outage.
func (*operatorSink) Recovered(time.Time) {}

// decode returns the change of a record. An unreadable record changes nothing.
func (o *operatorSink) decode(r feed.Record) OperatorChange {
	change, err := o.decoder.DecodeChange(r)
	if err != nil {
		o.logUnreadable(r, err)
		return &UnknownChange{}
	}
	return change
}

// apply puts the change of a record into effect. It reports whether it did.
func (o *operatorSink) apply(now time.Time, r feed.Record, change OperatorChange) bool {
	switch c := change.(type) {
	case *CatalogChange:
		if o.currentCatalog.Update(c.Catalog) {
			_ = o.logger.Log("event", "config_in_force", "config", c.Catalog.Version, "routes", len(c.Catalog.Routes), "keys", len(c.Catalog.Workspaces), "offset", r.Offset)
			return true
		}
		if current := o.currentCatalog.Load(); c.Catalog.Version < current.Version {
			_ = o.logger.Log("event", "config_older", "config", current.Version, "store_has", c.Catalog.Version, "offset", r.Offset)
		}
	case *Evacuation:
		o.evacuate(now, c)
		return true
	case *RolloutChange:
		if c.Invalid != nil {
			o.logUnreadable(r, c.Invalid)
			return false
		}
		o.rollouts.apply(c)
		return true
	}
	return false
}

// evacuate starts or ends an evacuation and logs it.
func (o *operatorSink) evacuate(now time.Time, e *Evacuation) {
	o.pool.SetEvacuated(now, e.DataCentre, e.Active)
	o.ended[e.DataCentre] = !e.Active
	_ = o.logger.Log("event", "evacuation", "data_centre", e.DataCentre, "on", e.Active)
}

func (o *operatorSink) logUnreadable(r feed.Record, err error) {
	metrics.GetOrRegisterCounter("record_unreadable", o.registry).Inc(1)
	_ = o.logger.Log("event", "record_unreadable", "key", r.Key, "offset", r.Offset, "err", err)
}

// listingSink is the sink of the upstreams' topic.
type listingSink struct {
	decoder  RecordDecoder
	pool     *pool.Pool
	logger   log.Logger
	registry metrics.Registry

	mu       sync.Mutex
	logged   map[id.Upstream]loggedState     // last logged state of each listed upstream
	versions map[id.Upstream]*listingVersion // of the last listing, also of upstreams that are gone
}

// listingVersion orders the listings of one upstream.
type listingVersion struct {
	startUnixMS int64
	sequence    uint64
	goneAt      time.Time // zero: it is listed
}

// versionRetention is how long the version of the last listing of an upstream that is gone is
// kept. Copies of the store are some seconds old.
const versionRetention = time.Minute

// loggedState holds the parts of a listing whose changes are logged.
type loggedState struct {
	draining    bool
	cold        bool
	startUnixMS int64 // Unix milliseconds of the upstream's start
}

var _ feed.Sink = (*listingSink)(nil)

// newListingSink returns a sink that has received nothing.
func newListingSink(decoder RecordDecoder, p *pool.Pool, logger log.Logger, registry metrics.Registry) *listingSink {
	return &listingSink{
		decoder: decoder, pool: p, logger: logger, registry: registry,
		logged: make(map[id.Upstream]loggedState), versions: make(map[id.Upstream]*listingVersion),
	}
}

// Rewind implements feed.Sink. It ignores listings that are not newer than the last one of
// the same upstream, so that one that is draining or gone does not come back. An upstream
// without a record stays in use for the time in which expired listings reappear.
func (l *listingSink) Rewind(now time.Time, records []feed.Record) {
	listed := make(map[id.Upstream]bool)
	held := 0
	for _, r := range records {
		listed[id.Upstream(r.Key)] = true
		if listing, err := l.decoder.DecodeListing(r); err == nil && !l.isNewer(listing) {
			held++
			continue
		}
		l.apply(now, r)
	}
	for _, u := range l.pool.Upstreams() {
		if !listed[u] {
			l.remove(now, u, "not_listed")
		}
	}
	_ = l.logger.Log("event", "listings_held", "count", held, "of", len(records))
}

// isNewer reports whether a listing is newer than the last one of the same upstream, as far
// as its version tells.
func (l *listingSink) isNewer(listing pool.Listing) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[listing.ID]
	if last == nil || listing.Sequence == 0 {
		return true
	}
	return cmp.Or(cmp.Compare(listing.StartUnixMS, last.startUnixMS), cmp.Compare(listing.Sequence, last.sequence)) > 0
}

// Replace implements feed.Sink. It removes the upstreams that are no longer listed.
func (l *listingSink) Replace(now time.Time, records []feed.Record) {
	listed := make(map[id.Upstream]bool)
	for _, r := range records {
		listed[id.Upstream(r.Key)] = true
		l.apply(now, r)
	}
	for _, u := range l.pool.Upstreams() {
		if !listed[u] {
			l.remove(now, u, "not_listed")
		}
	}
}

// Apply implements feed.Sink.
func (l *listingSink) Apply(now time.Time, records []feed.Record) {
	for _, r := range records {
		l.apply(now, r)
	}
}

// Recovered implements feed.Sink.
func (l *listingSink) Recovered(now time.Time) { l.pool.StoreRecovered(now) }

// apply puts a record's listing into the pool. An upstream whose record is unreadable
// is removed.
func (l *listingSink) apply(now time.Time, r feed.Record) {
	u := id.Upstream(r.Key)
	if r.Value == nil {
		l.remove(now, u, "removed")
		return
	}
	listing, err := l.decoder.DecodeListing(r)
	if err != nil {
		metrics.GetOrRegisterCounter("record_unreadable", l.registry).Inc(1)
		_ = l.logger.Log("event", "record_unreadable", "key", r.Key, "offset", r.Offset, "err", err)
		l.remove(now, u, "unreadable")
		return
	}
	l.pool.Put(now, listing)
	l.recordListing(listing)
}

// recordListing records the version of a listing, and logs the listing if its logged state
// differs from the last one. Upstreams repeat their listings about once a second.
func (l *listingSink) recordListing(listing pool.Listing) {
	state := loggedState{draining: listing.Draining, cold: listing.ColdFor > 0, startUnixMS: listing.StartUnixMS}
	l.mu.Lock()
	previous, known := l.logged[listing.ID]
	l.logged[listing.ID] = state
	l.versions[listing.ID] = &listingVersion{startUnixMS: listing.StartUnixMS, sequence: listing.Sequence}
	l.mu.Unlock()
	if !known || previous != state {
		_ = l.logger.Log("event", "upstream_listed", "upstream", listing.ID, "service", listing.Service, "address", listing.Address,
			"data_centre", listing.DataCentre, "version", listing.Version, "draining", listing.Draining, "cold_for", listing.ColdFor, "born", listing.StartUnixMS)
	}
}

// remove removes an upstream from the pool and logs the reason if the upstream was listed.
func (l *listingSink) remove(now time.Time, u id.Upstream, reason string) {
	l.mu.Lock()
	_, known := l.logged[u]
	delete(l.logged, u)
	if v := l.versions[u]; v != nil && v.goneAt.IsZero() {
		v.goneAt = now
	}
	maps.DeleteFunc(l.versions, func(_ id.Upstream, v *listingVersion) bool {
		return !v.goneAt.IsZero() && now.Sub(v.goneAt) > versionRetention
	})
	l.mu.Unlock()
	if known {
		_ = l.logger.Log("event", "upstream_gone", "upstream", u, "why", reason)
	}
	l.pool.Remove(now, u)
}

// operatorStatus implements CatalogStatus with the follower of the operators' topic.
type operatorStatus struct {
	*feed.Follower
	maxAge time.Duration // a catalog that was confirmed longer ago may lack one that is due to be in force
}

var _ CatalogStatus = operatorStatus{}

// Fresh implements CatalogStatus.
func (s operatorStatus) Fresh(now time.Time) bool {
	contact, known := s.Contact()
	return known && s.Settled() && now.Sub(contact) < s.maxAge
}
