// Package feed follows a topic of the platform's store that keeps the newest record
// of each key: a full read at the start, then what has come since.
//
// Follower is the driver. It holds no decisions of its own: what records mean is
// the business of the Sink.
package feed

import (
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
	// Newest returns the newest record of each key.
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
	// Regained says that the topic is read again after it could not be for some time.
	Regained(now time.Time)
}

const (
	// retryFrom and retryMax bound the pause after a failed read. Each second without
	// the configuration after a restart is a second without service, so that the first
	// retries come quickly.
	retryFrom = 30 * time.Millisecond
	retryMax  = 400 * time.Millisecond
	// replaceTimeout bounds a full read: a connection on which an answer was lost
	// never returns one.
	replaceTimeout = 1200 * time.Millisecond
	// answerMargin is what a read may take beyond the time it was asked to wait.
	answerMargin = 800 * time.Millisecond
	// lostAfter is how long reads must have failed to count as a loss of the topic.
	lostAfter = 500 * time.Millisecond
)

// Config says how a topic is followed.
type Config struct {
	Name  string
	Wait  time.Duration // that a read waits for records
	Pause time.Duration // between two reads
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
	known   bool // a full read has succeeded, here or at a peer
	held    map[string]Record
	contact time.Time // start of the last read that succeeded
	failing time.Time // start of the first of the reads that fail now; zero: none does
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

// Reached returns where the next read starts, and what Contact does.
func (f *Follower) Reached() (next Offset, contact time.Time, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.contact, f.known
}

// Held returns the newest record of every key, if asked for, and what Contact does.
func (f *Follower) Held(records bool) (p Page, contact time.Time, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.Next = f.next
	if records {
		p.Records = slices.Collect(maps.Values(f.held))
	}
	return p, f.contact, f.known
}

// Adopt takes a view that a peer holds and that was current at a time: all of it if
// it reaches further than the own one; that the own one still was, if it reaches as
// far. It reports whether anything new was in it.
func (f *Follower) Adopt(now, contact time.Time, p Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.known && p.Next < f.next || p.Next > f.next && len(p.Records) == 0 || !f.known && len(p.Records) == 0 {
		return false
	}
	if contact.After(f.contact) {
		f.contact = contact
	}
	if f.known && p.Next == f.next {
		return false
	}
	f.replaced(now, p)
	return true
}

// replaced hands a full view to the sink. The caller holds the lock.
func (f *Follower) replaced(now time.Time, p Page) {
	f.held = make(map[string]Record, len(p.Records))
	f.hold(p.Records)
	f.sink.Replace(now, p.Records)
	f.next, f.known = p.Next, true
}

// hold keeps records for peers. The caller holds the lock.
func (f *Follower) hold(records []Record) {
	for _, r := range records {
		if r.Value == nil {
			delete(f.held, r.Key)
		} else {
			f.held[r.Key] = r
		}
	}
}

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	pause := retryFrom
	for ctx.Err() == nil {
		started := time.Now()
		err := f.read(ctx)
		wait := f.cfg.Pause
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

// read does one read and hands its records to the sink.
func (f *Follower) read(ctx context.Context) error {
	f.mu.Lock()
	from, known := f.next, f.known
	f.mu.Unlock()
	if !known {
		return f.replace(ctx)
	}
	started := time.Now()
	limited, cancel := context.WithTimeout(ctx, f.cfg.Wait+answerMargin)
	page, err := f.topic.Since(limited, from, f.cfg.Wait)
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
	limited, cancel := context.WithTimeout(ctx, replaceTimeout)
	defer cancel()
	page, err := f.topic.Newest(limited)
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
	if !f.failing.IsZero() {
		lost := now.Sub(f.failing)
		f.failing = time.Time{}
		if lost >= lostAfter && f.known {
			f.sink.Regained(now)
		}
		_ = f.logger.Log("event", "feed_regained", "after", lost, "offset", page.Next)
	}
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
