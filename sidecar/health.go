package sidecar

// This file defines how a sidecar learns the state of its upstream: from probes,
// from the rules, and from the answers that the limiter has seen.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/upstream"
)

const (
	probeEvery = 500 * time.Millisecond

	// maxMissed probes without an answer in time make an upstream gone. A refused
	// connection or an error status does so at once.
	maxMissed = 3
)

// Run probes the upstream and follows the rules until ctx is done.
func (s *Sidecar) Run(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		s.probe(ctx)
		s.limiter.SetLimits(s.limits())
		s.slots.offer(time.Now())
		s.follow(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// probe asks the upstream whether it is healthy.
func (s *Sidecar) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeEvery)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, s.cfg.UpstreamURL+"/health", nil)
	if err != nil {
		return
	}
	rs, err := s.deps.Client.Do(rq)
	if err == nil {
		_ = rs.Body.Close()
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		s.missed++
		if s.missed >= maxMissed {
			s.lost("no answer to probes")
		}
	case err != nil:
		s.lost(err.Error())
	case rs.StatusCode != http.StatusOK:
		s.lost(rs.Status)
	default:
		s.missed = 0
		s.answered(time.Now())
	}
}

// lost notes that the upstream fell over.
func (s *Sidecar) lost(why string) {
	if s.life.State() != upstream.Gone && s.life.Apply(upstream.Lost) {
		s.count("upstream_lost")
		_ = s.deps.Logger.Log("event", "upstream_lost", "upstream", s.cfg.Upstream, "why", why)
	}
}

// answered notes that the upstream is healthy. After it was gone it is a new
// incarnation, which starts slowly again.
func (s *Sidecar) answered(now time.Time) {
	wasGone := s.life.State() == upstream.Gone
	if s.life.Apply(upstream.Answered) && wasGone {
		s.incarnation.Store(uint64(now.UnixNano()))
		s.limiter.Reset(now)
		s.count("upstream_restarted")
		_ = s.deps.Logger.Log("event", "upstream_restarted", "upstream", s.cfg.Upstream)
	}
	s.life.Apply(upstream.Loaded)
}

// follow moves the lifecycle on by what the limiter and the rules show.
func (s *Sidecar) follow(now time.Time) {
	st, warm := s.life.State(), s.limiter.Warm()
	out := s.closed(now)
	switch {
	case out && st != upstream.Draining:
		s.life.Apply(upstream.Drain)
	case !out && st == upstream.Draining:
		s.life.Apply(upstream.Restored)
	case st == upstream.Warming && warm:
		s.life.Apply(upstream.Warmed)
	case st == upstream.Ready && !warm:
		s.life.Apply(upstream.Chilled)
		s.count("upstream_chilled")
	}
}
