package gateway

// This file defines trials of upstreams that run requests and have fallen silent.

import (
	"context"
	"time"

	"github.com/ragwortpass/ragwortpass/pool"
)

// trialInterval is the time between two searches for upstreams to try.
const trialInterval = 100 * time.Millisecond

// TryUpstreams connects to upstreams that have fallen silent while repeatable requests run there,
// until ctx is done. Requests leave an upstream that cannot be connected to.
func (g *Gateway) TryUpstreams(ctx context.Context) {
	ticker := time.NewTicker(trialInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, l := range g.deps.Pool.StartTrials(time.Now()) {
			go g.guard.Do("trial", func() { g.tryUpstream(ctx, l) })
		}
	}
}

// tryUpstream connects to an upstream once.
func (g *Gateway) tryUpstream(ctx context.Context, l pool.Listing) {
	g.incrementCounter("upstream_tried")
	conn, err := g.deps.Client.Connect(ctx, l.Address)
	switch {
	case err == nil:
		g.deps.Client.Adopt(conn, &l)
		g.deps.Pool.MarkReachable(time.Now(), l.ID)
	case ctx.Err() == nil:
		g.incrementCounter("upstream_silent")
		_ = g.deps.Logger.Log("event", "upstream_silent", "upstream", l.ID, "address", l.Address, "err", err)
		g.deps.Pool.MarkUnreachable(time.Now(), l.ID)
	}
}
