package entry

// This file defines what an entry remembers of bookings besides the fold: intents, how
// long it has known of each booking that has not been settled, and settles, the
// outcomes on their way to the log. Time counts by the entry's own monotonic clock, so
// that no clock that jumps makes a running call look abandoned.

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

type intents struct {
	mu    sync.Mutex
	since map[id.Request]time.Time
}

func newIntents(s *logbook.State) *intents {
	n := &intents{since: make(map[id.Request]time.Time)}
	s.Observe(func(o logbook.Outcome) { n.observe(time.Now(), o) })
	return n
}

// observe notes accepted intents and forgets settled ones.
func (n *intents) observe(now time.Time, o logbook.Outcome) {
	if o.Result != logbook.Accepted {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	switch b := o.Record.GetBody().(type) {
	case *ragwortv1.Record_BookingIntended:
		n.since[id.Request(b.BookingIntended.GetRequest())] = now
	case *ragwortv1.Record_BookingSettled:
		delete(n.since, id.Request(b.BookingSettled.GetRequest()))
	}
}

// age returns for how long the intent of a request has been known. One that came
// with a restored state is known from now on.
func (n *intents) age(now time.Time, rq id.Request) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, ok := n.since[rq]
	if !ok {
		n.since[rq] = now
		return 0
	}
	return now.Sub(since)
}

// settles counts the outcomes that are on their way to the log.
type settles struct{ running sync.WaitGroup }

func (s *settles) start(settle func()) { s.running.Go(settle) }

// wait waits until every outcome has reached the log, or ctx is done.
func (s *settles) wait(ctx context.Context) {
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
