package sidecar

// This file defines how a sidecar determines the state of its upstream: from probes, from
// the rules, and from the answers that the limiter has measured.

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/upstream"
)

const (
	probeInterval = 500 * time.Millisecond

	// maxMissedProbes is the number of consecutive probes without a timely answer after which
	// an upstream counts as gone. After any other failure, such as a refused connection or an
	// error status, it counts as gone at once.
	maxMissedProbes = 3
)

// Run probes the upstream and applies changes of the rules until ctx is done.
func (s *Sidecar) Run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		s.probe(ctx)
		s.limiter.SetLimits(s.limiterBounds())
		s.slots.grant(time.Now())
		s.updateLifecycle(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// probe checks the health of the upstream.
func (s *Sidecar) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeInterval)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, s.cfg.UpstreamURL+"/health", nil)
	if err != nil {
		return
	}
	rs, err := s.deps.UpstreamClient.Do(rq)
	if err == nil {
		_ = rs.Body.Close()
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		s.missedProbes++
		if s.missedProbes >= maxMissedProbes {
			s.markLost("no answer to probes")
		}
	case err != nil:
		s.markLost(err.Error())
	case rs.StatusCode != http.StatusOK:
		s.markLost(rs.Status)
	default:
		s.missedProbes = 0
		s.markHealthy(time.Now())
	}
}

// markLost records that the upstream does not work.
func (s *Sidecar) markLost(why string) {
	if s.lifecycle.State() != upstream.Gone && s.lifecycle.Apply(upstream.Lost) {
		s.count("upstream_lost")
		_ = s.deps.Logger.Log("event", "upstream_lost", "upstream", s.cfg.Upstream, "why", why)
	}
}

// markHealthy records that the upstream works. An upstream that was gone counts as a new
// incarnation, which starts with the initial limit again.
func (s *Sidecar) markHealthy(now time.Time) {
	wasGone := s.lifecycle.State() == upstream.Gone
	if s.lifecycle.Apply(upstream.Answered) && wasGone {
		s.incarnation.Store(uint64(now.UnixNano()))
		s.limiter.Reset(now)
		s.rate.forget()
		s.count("upstream_restarted")
		_ = s.deps.Logger.Log("event", "upstream_restarted", "upstream", s.cfg.Upstream)
	}
	s.lifecycle.Apply(upstream.Loaded)
}

// updateLifecycle applies the state of the limiter and of the rules to the lifecycle.
func (s *Sidecar) updateLifecycle(now time.Time) {
	st, warm := s.lifecycle.State(), s.limiter.Warm()
	out := s.outOfService(now)
	switch {
	case out && st != upstream.Draining:
		s.lifecycle.Apply(upstream.Drain)
	case !out && st == upstream.Draining:
		s.lifecycle.Apply(upstream.Restored)
	case st == upstream.Warming && warm:
		s.lifecycle.Apply(upstream.Warmed)
	case st == upstream.Ready && !warm:
		s.lifecycle.Apply(upstream.Chilled)
		s.count("upstream_chilled")
	}
}
