package feed

// This file defines Copier, which keeps copies of what a follower holds at other
// places of the platform's store, and reads them when the topic itself is out of reach.
//
// It answers a start of every gateway at once while the store answers only for some
// of its partitions: no peer knows anything, and each second without a view is a
// second without service.

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

// CopyStore is the places at which copies of one topic are kept.
type CopyStore interface {
	// Places returns how many places there are, numbered from 0.
	Places() int
	// Save replaces the copy at a place.
	Save(ctx context.Context, place int, p Page) error
	// Load returns the copy at a place. Nothing was saved there if it has no records.
	Load(ctx context.Context, place int) (Page, error)
}

const (
	// copyCheck is how often a copier looks whether it has something to do.
	copyCheck = 200 * time.Millisecond
	// copyTimeout bounds a call for a copy; the store answers within some milliseconds.
	copyTimeout = 500 * time.Millisecond
	// loadAfter is how long the first read of the topic may take before the copies are
	// read: some ten times as long as the store needs.
	loadAfter = 100 * time.Millisecond
	// loadPause lies between two tries to read the copies.
	loadPause = 300 * time.Millisecond
)

// Copier is the driver of the copies of one topic.
type Copier struct {
	follower *Follower
	copies   CopyStore
	every    time.Duration // at least this lies between two copies
	leads    func() bool   // whether this gateway saves them for its peers
	logger   log.Logger
	counts   metrics.Registry
}

// NewCopier returns a copier that has not started. Every is the time between two
// copies; leads reports whether this gateway is the one to save them.
func NewCopier(f *Follower, copies CopyStore, every time.Duration, leads func() bool) *Copier {
	return &Copier{follower: f, copies: copies, every: every, leads: leads, logger: f.logger, counts: f.counts}
}

// Run reads copies until something is known, then saves them, until ctx is done.
func (c *Copier) Run(ctx context.Context) {
	for wait := loadAfter; sleep(ctx, wait) && !c.follower.View().Loaded; wait = loadPause {
		c.load(ctx)
	}
	var saved Offset
	var at time.Time
	for sleep(ctx, copyCheck) {
		now := time.Now()
		v := c.follower.View()
		if v.Next == saved || now.Sub(at) < c.every || !c.leads() || v.Contact.IsZero() || c.follower.Failing(now) > 0 {
			continue
		}
		at = now
		if c.save(ctx) {
			saved = v.Next
		}
	}
}

// save writes what is held to every place; it reports whether every one has it.
func (c *Copier) save(ctx context.Context) bool {
	page := c.follower.ViewFor(0, false).Page
	errs := c.each(ctx, func(ctx context.Context, place int) error { return c.copies.Save(ctx, place, page) })
	all := true
	for place, err := range errs {
		if err != nil {
			all = false
			metrics.GetOrRegisterCounter("feed_copy_failed_"+c.follower.cfg.Name, c.counts).Inc(1)
			_ = c.logger.Log("event", "feed_copy_failed", "place", place, "offset", page.Next, "err", err)
		}
	}
	return all
}

// load takes what the copies hold. A copy says nothing of whether it is current.
func (c *Copier) load(ctx context.Context) {
	errs := c.each(ctx, func(ctx context.Context, place int) error {
		page, err := c.copies.Load(ctx, place)
		if err == nil && c.follower.Adopt(time.Now(), View{Page: page, Loaded: len(page.Records) > 0}) {
			_ = c.logger.Log("event", "feed_copy_taken", "place", place, "offset", page.Next, "records", len(page.Records))
		}
		return err
	})
	for place, err := range errs {
		if err != nil {
			_ = c.logger.Log("event", "feed_copy_unread", "place", place, "err", err)
		}
	}
}

// each calls do for every place at once, and returns the errors by place.
func (c *Copier) each(ctx context.Context, do func(ctx context.Context, place int) error) []error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	errs := make([]error, c.copies.Places())
	var wg sync.WaitGroup
	for place := range errs {
		wg.Go(func() { errs[place] = do(ctx, place) })
	}
	wg.Wait()
	return errs
}
