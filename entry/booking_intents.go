package entry

// This file defines what an entry keeps about bookings in addition to the state of the
// log: intentAges, how long it has known of each unsettled booking, and settlements, the
// outcomes that are being appended. Ages use the entry's own monotonic clock, so that a
// step of a wall clock does not make a running call look orphaned.

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// intentAges records when this entry first saw each unsettled intent.
type intentAges struct {
	mu        sync.Mutex
	firstSeen map[id.Request]time.Time
}

func newIntentAges(s *logbook.State) *intentAges {
	n := &intentAges{firstSeen: make(map[id.Request]time.Time)}
	s.Observe(func(o logbook.Outcome) { n.observe(time.Now(), o) })
	return n
}

// observe adds accepted intents and removes settled ones.
func (n *intentAges) observe(now time.Time, o logbook.Outcome) {
	if o.Result != logbook.Accepted {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch b := o.Record.GetBody().(type) {
	case *ragwortv1.Record_BookingIntended:
		n.firstSeen[id.Request(b.BookingIntended.GetRequest())] = now
	case *ragwortv1.Record_BookingSettled:
		delete(n.firstSeen, id.Request(b.BookingSettled.GetRequest()))
	}
}

// age returns for how long the intent of a request has been known. An intent from a
// restored state counts as known from the first call of age for it.
func (n *intentAges) age(now time.Time, rq id.Request) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, ok := n.firstSeen[rq]
	if !ok {
		n.firstSeen[rq] = now
		return 0
	}
	return now.Sub(since)
}

// settlements tracks the outcomes that are being appended to the log.
type settlements struct{ running sync.WaitGroup }

func (s *settlements) start(settle func()) { s.running.Go(settle) }

// wait waits until every append has ended, or ctx is done.
func (s *settlements) wait(ctx context.Context) {
	all := make(chan struct{})
	go func() {
		s.running.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-ctx.Done():
	}
}
