package bench

// This file defines LoadGenerator, which sends the calls of a plan at their times.

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const progressInterval = 2 * time.Second

// LoadGenerator sends an open-loop load and collects the result of each call.
type LoadGenerator struct {
	Balancer *Balancer
	Keys     Keys
	Model    id.Model
	Progress io.Writer // nil: none

	sent     atomic.Int64
	finished atomic.Int64
	results  []*Result
}

// Run sends every arrival at its time, waits until all have ended, and returns the
// results in the order of the arrivals. The load is open loop: no call waits for
// another.
func (l *LoadGenerator) Run(ctx context.Context, arrivals []Arrival) []*Result {
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go l.Balancer.Run(watch)
	go l.reportProgress(watch, len(arrivals))
	start := time.Now()
	c := &caller{balancer: l.Balancer, keys: l.Keys, model: l.Model, runID: fmt.Sprint("ref-", start.UnixNano())}
	l.results = make([]*Result, len(arrivals))
	var wg sync.WaitGroup
	for i := range arrivals {
		time.Sleep(time.Until(start.Add(arrivals[i].At)))
		if ctx.Err() != nil {
			l.results = l.results[:i]
			break
		}
		l.sent.Add(1)
		wg.Go(func() {
			l.results[i] = c.call(ctx, &arrivals[i])
			l.finished.Add(1)
		})
	}
	wg.Wait()
	return l.results
}

// reportProgress writes a line at every progressInterval.
func (l *LoadGenerator) reportProgress(ctx context.Context, total int) {
	if l.Progress == nil {
		return
	}
	tick := time.NewTicker(progressInterval)
	defer tick.Stop()
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			sent, ended := l.sent.Load(), l.finished.Load()
			_, _ = fmt.Fprintf(l.Progress, "%5.1fs  sent %d of %d, running %d\n",
				time.Since(start).Seconds(), sent, total, sent-ended)
		}
	}
}
