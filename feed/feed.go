// Package feed follows a topic of the platform's store that keeps the newest record
// of each key: a full read at the start, then what has come since.
//
// Follower is the driver. It holds no decisions of its own: what records mean is
// the business of the Sink.
package feed

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

// Offset is a position in a topic. The first record has offset 0.
type Offset uint64

// Record is one record of a keyed topic.
type Record struct {
	Offset Offset
	Key    string
	Value  []byte // nil: the key was dropped
}

// Page is the answer to a read.
type Page struct {
	Records []Record
	Next    Offset // where the next read starts
}

// Topic is one keyed topic of the store.
type Topic interface {
	// Newest returns the newest record of each key. It bounds its calls itself: how many
	// there are depends on the size of the topic.
	Newest(ctx context.Context) (Page, error)
	// Since returns the records from an offset on. It waits up to wait for the first.
	// Its error is a *TrimmedError if some are no longer kept.
	Since(ctx context.Context, from Offset, wait time.Duration) (Page, error)
}

// TrimmedError says that records from an offset on are no longer kept.
type TrimmedError struct{ From, First Offset }

func (e *TrimmedError) Error() string {
	return fmt.Sprintf("records from offset %d are gone, the oldest kept has offset %d", e.From, e.First)
}

// Sink takes what was read.
type Sink interface {
	// Replace takes the newest record of every key: keys that it does not hold are gone.
	Replace(now time.Time, records []Record)
	// Apply takes records in the order of their offsets.
	Apply(now time.Time, records []Record)
	// Recovered says that the topic is read again after it could not be for some time.
	Recovered(now time.Time)
}

const (
	// retryFrom and retryMax bound the pause after a failed read. Each second without
	// the configuration after a restart is a second without service, so that the first
	// retries come quickly.
	retryFrom = 30 * time.Millisecond
	retryMax  = 400 * time.Millisecond
	// answerMargin is what a read may take beyond the time it was asked to wait.
	answerMargin = 800 * time.Millisecond
	// relaxedCheck is how often a follower whose view peers vouch for looks at its age.
	relaxedCheck = 100 * time.Millisecond
	// maxDropped bounds the dropped keys that are remembered for peers.
	maxDropped = 4096
	// lostAfter is how long reads must have failed to count as a loss of the topic.
	lostAfter = 500 * time.Millisecond
)

// Config says how a topic is followed.
type Config struct {
	Name      string
	ReadWait  time.Duration // that a read waits for records
	ReadPause time.Duration // between two reads
	// MaxPeerViewAge lets a view that peers vouch for stand in for own reads: while it is not
	// older than this, only the follower whose IsLeader reads. Zero: each reads for itself.
	MaxPeerViewAge time.Duration
	IsLeader       func() bool
}

// Follower keeps a sink up to date with a topic.
type Follower struct {
	cfg    Config
	topic  Topic
	sink   Sink
	logger log.Logger
	counts metrics.Registry

	mu      sync.Mutex
	next    Offset
	known   bool              // a full read has succeeded, here or at a peer
	held    map[string]Record // the newest of each key, dropped ones since since
	since   Offset            // from which on every change is in held
	contact time.Time         // start of the last read that succeeded
	failing time.Time         // start of the first of the reads that fail now; zero: none does
}

// New returns a follower that has read nothing yet.
func New(cfg Config, topic Topic, sink Sink, logger log.Logger, counts metrics.Registry) *Follower {
	return &Follower{cfg: cfg, topic: topic, sink: sink, logger: log.With(logger, "topic", cfg.Name), counts: counts}
}

// Contact returns when the last read that succeeded began, here or at the peer whose
// view was adopted, and whether any did.
func (f *Follower) Contact() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact, f.known
}

// Failing returns for how long every read has failed; zero if the last one did not.
func (f *Follower) Failing(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing.IsZero() {
		return 0
	}
	return now.Sub(f.failing)
}

// View is what a follower holds, for a peer.
type View struct {
	Page
	Loaded      bool
	Contact     time.Time // when it was last seen to be current
	Incremental bool      // the records are only those from the asked offset on
}

// View returns what is held, without records.
func (f *Follower) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return View{Page: Page{Next: f.next}, Loaded: f.known, Contact: f.contact}
}

// ViewFor returns what a peer lacks that has read up to an offset, if it has at all.
func (f *Follower) ViewFor(next Offset, known bool) View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := View{Page: Page{Next: f.next}, Loaded: f.known, Contact: f.contact}
	if !f.known || known && next >= f.next {
		return v
	}
	v.Incremental = known && next >= f.since
	for _, r := range f.held {
		if v.Incremental && r.Offset >= next || !v.Incremental && r.Value != nil {
			v.Records = append(v.Records, r)
		}
	}
	slices.SortFunc(v.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return v
}

// Adopt takes a peer's view if it reaches further than the own one, and that the own
// one still was current if it reaches as far. It reports whether anything new was in it.
func (f *Follower) Adopt(now time.Time, v View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !v.Loaded || f.known && v.Next < f.next {
		return false
	}
	isNew := !f.known || v.Next > f.next
	if isNew && len(v.Records) == 0 || v.Incremental && !f.known {
		return false // the peer was not asked for records, or for others
	}
	if v.Contact.After(f.contact) {
		f.contact = v.Contact
	}
	if v.Contact.After(f.failing) {
		f.recovered(now, v.Next)
	}
	switch {
	case !isNew:
		return false
	case v.Incremental:
		records := unseen(v.Records, f.next)
		f.hold(records)
		f.sink.Apply(now, records)
		f.next = v.Next
	default:
		f.replaced(now, v.Page)
	}
	return true
}

// replaced hands a full view to the sink. The caller holds the lock.
func (f *Follower) replaced(now time.Time, p Page) {
	f.held = make(map[string]Record, len(p.Records))
	f.hold(p.Records)
	f.sink.Replace(now, p.Records)
	f.next, f.since, f.known = p.Next, p.Next, true
}

// hold keeps records for peers, dropped keys too: a peer must hear of them. The caller
// holds the lock.
func (f *Follower) hold(records []Record) {
	for _, r := range records {
		f.held[r.Key] = r
	}
	if len(f.held) > maxDropped {
		maps.DeleteFunc(f.held, func(_ string, r Record) bool { return r.Value == nil })
		f.since = records[len(records)-1].Offset + 1
	}
}

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	pause := retryFrom
	for ctx.Err() == nil {
		started := time.Now()
		if f.relaxed(started) {
			if !sleep(ctx, relaxedCheck) {
				return
			}
			continue
		}
		err := f.read(ctx)
		wait := f.cfg.ReadPause
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.failed(started, err)
			wait = pause
			pause = min(2*pause, retryMax)
		default:
			pause = retryFrom
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// relaxed reports whether the view is fresh enough without an own read.
func (f *Follower) relaxed(now time.Time) bool {
	if f.cfg.MaxPeerViewAge == 0 || f.cfg.IsLeader() {
		return false
	}
	contact, known := f.Contact()
	return known && now.Sub(contact) < f.cfg.MaxPeerViewAge
}

// read does one read and hands its records to the sink.
func (f *Follower) read(ctx context.Context) error {
	f.mu.Lock()
	from, known := f.next, f.known
	f.mu.Unlock()
	if !known {
		return f.replace(ctx)
	}
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, f.cfg.ReadWait+answerMargin)
	page, err := f.topic.Since(limited, from, f.cfg.ReadWait)
	cancel()
	var trimmed *TrimmedError
	if errors.As(err, &trimmed) {
		_ = f.logger.Log("event", "feed_trimmed", "from", from, "first", trimmed.First)
		return f.replace(ctx)
	}
	if err != nil {
		return err
	}
	f.took(started, page, false)
	return nil
}

func (f *Follower) replace(ctx context.Context) error {
	started := time.Now()
	page, err := f.topic.Newest(ctx)
	if err != nil {
		return err
	}
	f.took(started, page, true)
	return nil
}

// took hands a page to the sink, unless a peer has given a view that reaches further
// in the meantime.
func (f *Follower) took(started time.Time, page Page, full bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recovered(now, page.Next)
	f.contact = started
	if f.known && page.Next < f.next {
		return
	}
	if full {
		f.replaced(now, page)
		return
	}
	if records := unseen(page.Records, f.next); len(records) > 0 {
		f.hold(records)
		f.sink.Apply(now, records)
	}
	f.next = page.Next
}

// recovered notes that the topic is read again, here or by a peer. The caller holds
// the lock.
func (f *Follower) recovered(now time.Time, next Offset) {
	if f.failing.IsZero() {
		return
	}
	lost := now.Sub(f.failing)
	f.failing = time.Time{}
	if lost >= lostAfter && f.known {
		f.sink.Recovered(now)
	}
	_ = f.logger.Log("event", "feed_regained", "after", lost, "offset", next)
}

// unseen returns the records from an offset on.
func unseen(records []Record, from Offset) []Record {
	for len(records) > 0 && records[0].Offset < from {
		records = records[1:]
	}
	return records
}

func (f *Follower) failed(started time.Time, err error) {
	f.mu.Lock()
	first := f.failing.IsZero()
	if first {
		f.failing = started
	}
	f.mu.Unlock()
	metrics.GetOrRegisterCounter("feed_read_failed_"+f.cfg.Name, f.counts).Inc(1)
	if first {
		_ = f.logger.Log("event", "feed_lost", "err", err)
	}
}

// sleep waits for d; it reports false if ctx ended first.
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
