// Package feed follows keyed topics of the platform's store, which keep at least the
// newest record of each key: after a full read at the start, only new records are read.
//
// Follower reads a topic, or adopts what peers have read, and passes the records to a
// Sink, which interprets them.
//
// The store may come back from a copy that lacks its last seconds. Its era then rises by
// one, offsets are assigned again, and the operators and upstreams write again what was
// lost. Position orders what was read before and after.
package feed

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

// Record is a record of a keyed topic.
type Record struct {
	Offset Offset
	Key    string
	Value  []byte // nil: the key was deleted
}

// Page is the result of one read.
type Page struct {
	Records []Record
	Next    Position // from which the next read continues
}

// Topic reads one keyed topic of the store.
type Topic interface {
	// Newest returns the newest record of each key. It sets its own timeouts, since the
	// number of calls that it makes depends on the size of the topic.
	Newest(ctx context.Context) (Page, error)
	// Since returns the records from a position on. If there are none, it waits up to the
	// given time for the first. If it takes longer than that by ReadOverdue, it tries another
	// connection. It returns a *TrimmedError if some of the records are no longer kept, a
	// *BeyondEndError if the topic ends before the position, and an *EraError if the store is
	// in another era.
	Since(ctx context.Context, from Position, wait time.Duration) (Page, error)
}

// Sink receives the records of a topic.
type Sink interface {
	// Replace replaces the whole content by the newest record of every key. Keys without
	// a record no longer exist.
	Replace(now time.Time, records []Record)
	// Apply adds new records, in the order of their offsets.
	Apply(now time.Time, records []Record)
	// Rewind is called in place of Replace when the store has come back from a copy, after
	// Recovered, and for each further full read until Replace. Each record may be older than
	// one that was applied before, and newer records may be missing: the sink must not go back
	// to an older state. Apply follows with the records that are written again, and Replace
	// once all of them should have been.
	Rewind(now time.Time, records []Record)
	// Recovered is called when the topic can be read again after an outage, and when the store
	// has come back from a copy.
	Recovered(now time.Time)
}

const (
	// ReadOverdue is how much longer than its wait a read of a topic may take until its
	// connection is in doubt.
	ReadOverdue = 250 * time.Millisecond
	// ViewCheckInterval is how often a follower that relies on the views of peers
	// checks the age of its own view.
	ViewCheckInterval = 100 * time.Millisecond
)

const (
	// minRetryPause and maxRetryPause bound the pause after a failed read, which doubles
	// with each failure. It starts short because there is no service after a restart
	// until the configuration is read.
	minRetryPause = 30 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
	// readTimeoutMargin is how much longer than ReadWait a read may take.
	readTimeoutMargin = 800 * time.Millisecond
	// maxHeldRecords is how many records, one for each key, are held for peers before
	// those of deleted keys are discarded.
	maxHeldRecords = 4096
	// outageThreshold is how long reads must fail for the failures to count as an outage of
	// the topic.
	outageThreshold = 500 * time.Millisecond
	// eraSettleTime is how long after a change of era the content of the store is not
	// believed where it is older than what was applied. Operators write again what was lost
	// at once, upstreams within about a second, and the records of upstreams that have
	// ended expire within some seconds.
	eraSettleTime = 6 * time.Second
)

// Config sets how a topic is followed.
type Config struct {
	Name      string               // of the topic, for logs and metrics
	ReadWait  func() time.Duration // how long a read waits for new records; nil: not at all
	ReadPause func() time.Duration // pause between two reads; nil: none
	// MaxPeerViewAge is the age up to which views of peers replace own reads. While its
	// view is more recent, a follower reads only if IsLeader returns true. If MaxPeerViewAge
	// is nil, every follower reads for itself and IsLeader is not called.
	MaxPeerViewAge func() time.Duration
	IsLeader       func() bool
	LogRecords     bool // each page with records is logged, for a topic that seldom changes
}

// source is where the content of a follower came from.
type source string

const (
	sourceRead source = "read"
	sourcePeer source = "peer"
	sourceCopy source = "copy"
)

// Follower keeps a sink up to date with a topic.
type Follower struct {
	cfg      Config
	topic    Topic
	sink     Sink
	logger   log.Logger
	registry metrics.Registry

	mu           sync.Mutex
	next         Position
	settleAt     time.Time         // until when the sink holds what is newer than the store; zero: it holds nothing
	loaded       bool              // the content is known, from a read, a peer or a copy
	newest       map[string]Record // the newest record of each key, including keys deleted from completeFrom on
	completeFrom Offset            // newest has every change from this offset of the present era on
	contact      time.Time         // when the content was last known to be that of the store, here or at a peer
	peerNext     Position          // the newest position that a peer has told
	outdated     bool              // the view was logged as outdated
	failingSince time.Time         // start of the first of the consecutive failed reads; zero: the last read succeeded
}

// New returns a follower that has not started.
func New(cfg Config, topic Topic, sink Sink, logger log.Logger, registry metrics.Registry) *Follower {
	f := &Follower{cfg: cfg, topic: topic, sink: sink, logger: log.With(logger, "topic", cfg.Name), registry: registry}
	registry.GetOrRegister("feed_view_age_ms_"+cfg.Name, metrics.NewFunctionalGauge(func() int64 { return f.viewAge(time.Now()).Milliseconds() }))
	registry.GetOrRegister("feed_next_offset_"+cfg.Name, metrics.NewFunctionalGauge(func() int64 { return int64(f.View().Next.Offset) }))
	return f
}

// viewAge returns for how long the view may have been outdated: the time since Contact. It is the
// longest time.Duration if there was no successful read.
func (f *Follower) viewAge(now time.Time) time.Duration {
	contact, _ := f.Contact()
	return now.Sub(contact)
}

// Contact returns when the view was last known to be that of the store, by a read here or at the
// peer whose view was adopted, and whether the follower has a view of the topic. The time is zero
// if the view comes from a copy.
func (f *Follower) Contact() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact, f.loaded
}

// Failing returns for how long all reads have failed, or zero if the last one succeeded,
// here or at a peer.
func (f *Follower) Failing(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		return 0
	}
	return now.Sub(f.failingSince)
}

// Settled reports whether the content is that of the store. It is not for a time after the
// store has come back from a copy.
func (f *Follower) Settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settleAt.IsZero()
}

// LogIfOutdated logs when the view becomes older than a limit, and when it no longer is.
func (f *Follower) LogIfOutdated(now time.Time, limit time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now.Sub(f.contact)
	outdated := f.loaded && age > limit
	if outdated == f.outdated {
		return
	}
	f.outdated = outdated
	event := "feed_current"
	if outdated {
		event = "feed_outdated"
	}
	_ = f.logger.Log("event", event, "view_age", age.Round(time.Millisecond), "at", f.next, "peer_at", f.peerNext)
}

// replaceLocked replaces the content by that of a full read. In a new era, and after a position that
// was wrong, the sink holds what is newer. The caller holds the lock.
func (f *Follower) replaceLocked(now time.Time, p Page) {
	previous, rewinds := f.next, f.loaded && (p.Next.Era > f.next.Era || p.Next.Compare(f.next) < 0)
	f.newest = make(map[string]Record, len(p.Records))
	f.recordLocked(p.Records)
	f.next, f.completeFrom, f.loaded, f.peerNext = p.Next, p.Next.Offset, true, p.Next
	if rewinds {
		f.settleAt = now.Add(eraSettleTime)
		event := "feed_went_back"
		if p.Next.Era > previous.Era {
			event = "feed_era_changed"
			metrics.GetOrRegisterCounter("feed_era_changed_"+f.cfg.Name, f.registry).Inc(1)
		}
		_ = f.logger.Log("event", event, "from", previous, "to", p.Next, "records", len(p.Records), "held_for", eraSettleTime)
		f.sink.Recovered(now)
	}
	if f.settleAt.IsZero() {
		f.sink.Replace(now, p.Records)
	} else {
		f.sink.Rewind(now, p.Records)
	}
}

// settle gives up what the sink holds beyond the content of the store, once the time for it
// to be written again has passed.
func (f *Follower) settle(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.settleAt.IsZero() || now.Before(f.settleAt) {
		return
	}
	f.settleAt = time.Time{}
	records := slices.Collect(maps.Values(f.newest))
	records = slices.DeleteFunc(records, func(r Record) bool { return r.Value == nil })
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	f.sink.Replace(now, records)
	_ = f.logger.Log("event", "feed_era_settled", "at", f.next, "records", len(records))
}

// recordLocked holds records for peers. Records of deleted keys are held too, since peers
// must learn of the deletion. The caller holds the lock.
func (f *Follower) recordLocked(records []Record) {
	for _, r := range records {
		f.newest[r.Key] = r
	}
	if len(f.newest) > maxHeldRecords {
		maps.DeleteFunc(f.newest, func(_ string, r Record) bool { return r.Value == nil })
		f.completeFrom = records[len(records)-1].Offset + 1
	}
}

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retryPause := minRetryPause
	for ctx.Err() == nil {
		started := time.Now()
		f.settle(started)
		if f.peerViewSuffices(started) {
			if !sleep(ctx, ViewCheckInterval) {
				return
			}
			continue
		}
		err := f.readOnce(ctx)
		wait := time.Duration(0)
		if f.cfg.ReadPause != nil {
			wait = f.cfg.ReadPause()
		}
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.recordFailure(started, err)
			wait = retryPause
			retryPause = min(2*retryPause, maxRetryPause)
		default:
			retryPause = minRetryPause
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// peerViewSuffices reports whether the view is recent enough to do without an own read.
func (f *Follower) peerViewSuffices(now time.Time) bool {
	if f.cfg.MaxPeerViewAge == nil || f.cfg.IsLeader() {
		return false
	}
	contact, loaded := f.Contact()
	return loaded && now.Sub(contact) < f.cfg.MaxPeerViewAge()
}

// readOnce reads the new records, or all if none are loaded yet or some of the new ones
// are no longer kept, and applies them.
func (f *Follower) readOnce(ctx context.Context) error {
	f.mu.Lock()
	from, loaded := f.next, f.loaded
	f.mu.Unlock()
	if !loaded {
		return f.readAll(ctx, nil)
	}
	started := time.Now()
	wait := time.Duration(0)
	if f.cfg.ReadWait != nil {
		wait = f.cfg.ReadWait()
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	page, err := f.topic.Since(readCtx, from, wait)
	cancel()
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		_ = f.logger.Log("event", "feed_trimmed", "from", from, "first", trimmed.First)
		return f.readAll(ctx, nil)
	}
	var otherEra *EraError
	if errors.As(err, &otherEra) {
		return f.readAll(ctx, nil)
	}
	var beyondEnd *BeyondEndError
	if errors.As(err, &beyondEnd) {
		metrics.GetOrRegisterCounter("feed_beyond_end_"+f.cfg.Name, f.registry).Inc(1)
		_ = f.logger.Log("event", "feed_beyond_end", "at", from, "end", beyondEnd.End)
		return f.readAll(ctx, &from)
	}
	if err != nil {
		return err
	}
	current := started
	if len(page.Records) == 0 && time.Since(started) >= wait {
		current = started.Add(wait) // until when the store has waited for a record, at least
	}
	f.applyPage(current, page, nil)
	return nil
}

// fullRead tells of a page that it has the newest records of all keys.
type fullRead struct {
	doubted *Position // which a read has shown to be beyond the end of the topic; nil: none
}

// readAll reads the newest record of each key and replaces the content. Doubted is a position that a
// read has shown to be beyond the end of the topic, or nil. If the full read shows so too, the follower
// goes back from it.
func (f *Follower) readAll(ctx context.Context, doubted *Position) error {
	started := time.Now()
	page, err := f.topic.Newest(ctx)
	if err != nil {
		return err
	}
	f.applyPage(started, page, &fullRead{doubted})
	return nil
}

// applyPage applies the result of a read that shows the content of the store at a time, unless a
// newer view of a peer was adopted in the meantime. Full is nil if the page has only the records
// from a position on.
func (f *Follower) applyPage(current time.Time, page Page, full *fullRead) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded && page.Next.Era < f.next.Era {
		_ = f.logger.Log("event", "feed_page_outdated", "page", page.Next, "at", f.next)
		return
	}
	f.endOutageLocked(now, page.Next)
	if current.After(f.contact) {
		f.contact = current
	}
	goesBack := full != nil && full.doubted != nil && *full.doubted == f.next
	if f.loaded && page.Next.Compare(f.next) < 0 && !goesBack {
		return
	}
	if full != nil {
		f.replaceLocked(now, page)
		f.logRecords(now, sourceRead, page.Records)
		return
	}
	records := recordsFrom(page.Records, f.next.Offset)
	if len(records) > 0 {
		f.recordLocked(records)
		f.sink.Apply(now, records)
	}
	f.next = page.Next
	f.logRecords(now, sourceRead, records)
}

// logRecords logs that records were applied, if the follower's topic is one whose records are logged.
// The caller holds the lock.
func (f *Follower) logRecords(now time.Time, from source, records []Record) {
	if f.cfg.LogRecords && len(records) > 0 {
		_ = f.logger.Log("event", "feed_applied", "from", from, "read_age", now.Sub(f.contact).Round(time.Millisecond), "records", len(records), "next", f.next)
	}
}

// endOutageLocked records that a read has succeeded after failed ones, here or at a peer.
// If the failures count as an outage and the content was known before, it tells the sink.
// The caller holds the lock.
func (f *Follower) endOutageLocked(now time.Time, next Position) {
	if f.failingSince.IsZero() {
		return
	}
	outage := now.Sub(f.failingSince)
	f.failingSince = time.Time{}
	if outage >= outageThreshold && f.loaded {
		f.sink.Recovered(now)
	}
	_ = f.logger.Log("event", "feed_regained", "after", outage, "offset", next)
}

// recordsFrom returns the records from an offset on.
func recordsFrom(records []Record, from Offset) []Record {
	for len(records) > 0 && records[0].Offset < from {
		records = records[1:]
	}
	return records
}

// recordFailure counts a failed read and logs the first of consecutive ones.
func (f *Follower) recordFailure(started time.Time, err error) {
	f.mu.Lock()
	first := f.failingSince.IsZero()
	if first {
		f.failingSince = started
	}
	f.mu.Unlock()
	metrics.GetOrRegisterCounter("feed_read_failed_"+f.cfg.Name, f.registry).Inc(1)
	if first {
		now := time.Now()
		_ = f.logger.Log("event", "feed_lost", "took", now.Sub(started).Round(time.Millisecond), "view_age", f.viewAge(now).Round(time.Millisecond), "err", err)
	}
}

// sleep waits for d. It returns false if ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
