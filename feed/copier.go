package feed

// This file defines Copier, which saves copies of a topic's records to other places of
// the platform's store and loads them when the topic itself cannot be read.
//
// Copies are needed when every gateway starts while only some partitions of the store
// answer: no peer has a view of the topic then, and there is no service until one is
// loaded.

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/guard"
)

// CopyStore keeps copies of one topic at several places that fail independently.
type CopyStore interface {
	// Places returns the number of places. They are numbered from 0.
	Places() int
	// Save replaces the copy at a place.
	Save(ctx context.Context, place int, p Page) error
	// Load returns the copy at a place, or a page without records if there is none.
	Load(ctx context.Context, place int) (Page, error)
}

const (
	// copyCheckInterval is how often a copier checks whether a copy is due.
	copyCheckInterval = 200 * time.Millisecond
	// copyTimeout bounds a call to save or load a copy. The store answers within a few
	// milliseconds.
	copyTimeout = 500 * time.Millisecond
	// loadDelay is how long the first read of the topic may take before the copies are
	// loaded: about ten times as long as the store needs.
	loadDelay = 100 * time.Millisecond
	// loadRetryPause is the pause between two attempts to load the copies.
	loadRetryPause = 300 * time.Millisecond
)

// Copier saves and loads the copies of the topic of one follower.
type Copier struct {
	follower    *Follower
	store       CopyStore
	minInterval time.Duration // shortest time between two saves
	isLeader    func() bool   // reports whether this gateway saves the copies for all
	logger      log.Logger
	registry    metrics.Registry
}

// NewCopier returns a copier that has not started. MinInterval is the shortest time
// between two saves; isLeader reports whether this gateway saves the copies for all.
func NewCopier(f *Follower, store CopyStore, minInterval time.Duration, isLeader func() bool) *Copier {
	return &Copier{follower: f, store: store, minInterval: minInterval, isLeader: isLeader, logger: f.logger, registry: f.registry}
}

// Run loads the copies until the follower has a view of the topic, and from then on saves
// copies of it, until ctx is done. Nothing is saved before the follower knows that its
// view is current, or while reads of the topic fail.
func (c *Copier) Run(ctx context.Context) {
	for wait := loadDelay; sleep(ctx, wait) && !c.follower.View().Loaded; wait = loadRetryPause {
		c.loadAll(ctx)
	}
	var savedNext Position
	var lastSave time.Time
	for sleep(ctx, copyCheckInterval) {
		now := time.Now()
		v := c.follower.View()
		if v.Next == savedNext || now.Sub(lastSave) < c.minInterval || !c.isLeader() || v.Contact.IsZero() || c.follower.Failing(now) > 0 {
			continue
		}
		lastSave = now
		if c.saveAll(ctx) {
			savedNext = v.Next
		}
	}
}

// saveAll saves the view of the follower at every place. It reports whether all saves
// succeeded.
func (c *Copier) saveAll(ctx context.Context) bool {
	page := c.follower.ViewFor(Position{}, false).Page
	errs := c.forEachPlace(ctx, func(ctx context.Context, place int) error { return c.store.Save(ctx, place, page) })
	complete := true
	for place, err := range errs {
		if err != nil {
			complete = false
			metrics.GetOrRegisterCounter("feed_copy_failed_"+c.follower.cfg.Name, c.registry).Inc(1)
			_ = c.logger.Log("event", "feed_copy_failed", "place", place, "offset", page.Next, "err", err)
		}
	}
	return complete
}

// loadAll loads the copies at all places into the follower, which keeps the newest. The
// view has no contact time, since a copy may be outdated.
func (c *Copier) loadAll(ctx context.Context) {
	errs := c.forEachPlace(ctx, func(ctx context.Context, place int) error {
		page, err := c.store.Load(ctx, place)
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

// forEachPlace calls do for every place concurrently and returns the errors by place.
func (c *Copier) forEachPlace(ctx context.Context, do func(ctx context.Context, place int) error) []error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	errs := make([]error, c.store.Places())
	var wg sync.WaitGroup
	for place := range errs {
		wg.Go(func() {
			errs[place] = guard.Catch("copy", func() error { return do(ctx, place) })
		})
	}
	wg.Wait()
	return errs
}
