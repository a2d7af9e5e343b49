package gateway

// This file defines the sinks of the two topics that a gateway follows: what
// operators have put in force, and which upstreams there are.

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// OperatorChange is what a record of the operators says: *Configured, *Evacuation or *Other.
type OperatorChange interface{ change() }

// CatalogChange puts a catalog in force.
type CatalogChange struct{ Catalog *catalog.Catalog }

// Evacuation asks that a data centre gets no new work, or takes that back.
type Evacuation struct {
	DataCentre id.DataCentre
	Active     bool
}

// UnknownChange is a record of something that a gateway does not know.
type UnknownChange struct{}

func (*CatalogChange) change() {}
func (*Evacuation) change()    {}
func (*UnknownChange) change() {}

// RecordDecoder reads the records of the platform's topics.
type RecordDecoder interface {
	DecodeChange(r feed.Record) (OperatorChange, error)
	DecodeListing(r feed.Record) (pool.Listing, error)
}

// operators is the sink of the operators' topic.
type operators struct {
	decoder RecordDecoder
	shelf   *catalog.Shelf
	pool    *pool.Pool
	logger  log.Logger
	counts  metrics.Registry
}

var _ feed.Sink = (*operators)(nil)

// Replace implements feed.Sink.
func (o *operators) Replace(now time.Time, records []feed.Record) {
	kept := make(map[id.DataCentre]bool)
	for _, r := range records {
		if e, ok := o.apply(now, r).(*Evacuation); ok && e.Active {
			kept[e.DataCentre] = true
		}
	}
	for _, dc := range o.pool.Evacuated() {
		if !kept[dc] {
			o.evacuate(now, &Evacuation{DataCentre: dc})
		}
	}
}

// Apply implements feed.Sink.
func (o *operators) Apply(now time.Time, records []feed.Record) {
	for _, r := range records {
		o.apply(now, r)
	}
}

// Regained implements feed.Sink. Configurations do not lapse.
func (*operators) Regained(time.Time) {}

func (o *operators) apply(now time.Time, r feed.Record) OperatorChange {
	change, err := o.decoder.DecodeChange(r)
	if err != nil {
		o.unreadable(r, err)
		return &UnknownChange{}
	}
	switch c := change.(type) {
	case *CatalogChange:
		if o.shelf.Put(c.Catalog) {
			_ = o.logger.Log("event", "config_in_force", "config", c.Catalog.Version, "routes", len(c.Catalog.Routes), "keys", len(c.Catalog.Workspaces), "offset", r.Offset)
		}
	case *Evacuation:
		o.evacuate(now, c)
	}
	return change
}

func (o *operators) evacuate(now time.Time, e *Evacuation) {
	o.pool.Evacuate(now, e.DataCentre, e.Active)
	_ = o.logger.Log("event", "evacuation", "data_centre", e.DataCentre, "on", e.Active)
}

func (o *operators) unreadable(r feed.Record, err error) {
	metrics.GetOrRegisterCounter("record_unreadable", o.counts).Inc(1)
	_ = o.logger.Log("event", "record_unreadable", "key", r.Key, "offset", r.Offset, "err", err)
}

// listings is the sink of the upstreams' topic.
type listings struct {
	decoder RecordDecoder
	pool    *pool.Pool
	logger  log.Logger
	counts  metrics.Registry

	mu    sync.Mutex
	noted map[id.Upstream]noted // what was logged last of each
}

// noted is what of a listing is worth a log line when it changes.
type noted struct {
	draining bool
	cold     bool
	born     int64
}

var _ feed.Sink = (*listings)(nil)

// Replace implements feed.Sink.
func (l *listings) Replace(now time.Time, records []feed.Record) {
	kept := make(map[id.Upstream]bool)
	for _, r := range records {
		kept[id.Upstream(r.Key)] = true
		l.apply(now, r)
	}
	for _, u := range l.pool.Known() {
		if !kept[u] {
			l.remove(now, u, "not_listed")
		}
	}
}

// Apply implements feed.Sink.
func (l *listings) Apply(now time.Time, records []feed.Record) {
	for _, r := range records {
		l.apply(now, r)
	}
}

// Regained implements feed.Sink.
func (l *listings) Regained(now time.Time) { l.pool.Regained(now) }

func (l *listings) apply(now time.Time, r feed.Record) {
	u := id.Upstream(r.Key)
	if r.Value == nil {
		l.remove(now, u, "removed")
		return
	}
	listing, err := l.decoder.DecodeListing(r)
	if err != nil {
		metrics.GetOrRegisterCounter("record_unreadable", l.counts).Inc(1)
		_ = l.logger.Log("event", "record_unreadable", "key", r.Key, "offset", r.Offset, "err", err)
		l.remove(now, u, "unreadable")
		return
	}
	l.pool.Put(now, listing)
	l.note(listing)
}

// note logs a listing that differs from the last in more than its sequence.
func (l *listings) note(listing pool.Listing) {
	now := noted{draining: listing.Draining, cold: listing.ColdFor > 0, born: listing.Born}
	l.mu.Lock()
	before, known := l.noted[listing.ID]
	l.noted[listing.ID] = now
	l.mu.Unlock()
	if !known || before != now {
		_ = l.logger.Log("event", "upstream_listed", "upstream", listing.ID, "service", listing.Service, "address", listing.Address,
			"data_centre", listing.DataCentre, "draining", listing.Draining, "cold_for", listing.ColdFor, "born", listing.Born)
	}
}

func (l *listings) remove(now time.Time, u id.Upstream, why string) {
	l.mu.Lock()
	_, known := l.noted[u]
	delete(l.noted, u)
	l.mu.Unlock()
	if known {
		_ = l.logger.Log("event", "upstream_gone", "upstream", u, "why", why)
	}
	l.pool.Remove(now, u)
}

// source implements Source by the operators' topic.
type source struct {
	*feed.Follower
	within time.Duration // a catalog that was read longer ago may not be in force
}

var _ CatalogStatus = source{}

// Fresh implements Source.
func (s source) Fresh(now time.Time) bool {
	contact, known := s.Contact()
	return known && now.Sub(contact) < s.within
}
