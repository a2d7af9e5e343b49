package sidecar

// This file defines preemption: a running answer of a lower tier is ended to make
// room for a request that would miss its target otherwise. The answer goes on
// elsewhere from where it stopped.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	firstTokenWeight = 1.0 / 8               // of one answer in the moving mean
	handoverTime     = 20 * time.Millisecond // from a cancel to a free slot
)

// saveBy returns the last moment at which a free slot still saves the target of
// the request for its first token; zero: there is no target, or it is lost.
func (s *Sidecar) saveBy(now time.Time, e wire.Envelope) time.Time {
	c := s.deps.State.Rules().Classes[e.Class]
	if c == nil || c.TTFT <= 0 {
		return time.Time{}
	}
	by := arrival(now, e.Request).Add(c.TTFT - s.firstToken() - handoverTime)
	if by.Before(now) {
		return time.Time{}
	}
	return by
}

// arrival returns when a request reached its entry, from its id.
func arrival(now time.Time, rq id.Request) time.Time {
	_, text, _ := strings.Cut(string(rq), "_")
	u, err := ulid.Parse(text)
	if err != nil {
		return now
	}
	return ulid.Time(u.Time())
}

// firstToken returns the mean time to the first token of recent answers.
func (s *Sidecar) firstToken() time.Duration { return time.Duration(s.firstTokens.Load()) }

// observeFirstToken takes one answer into the mean.
func (s *Sidecar) observeFirstToken(d time.Duration) {
	mean := s.firstTokens.Load()
	if mean == 0 {
		s.firstTokens.Store(int64(d))
		return
	}
	s.firstTokens.Store(mean + int64(float64(int64(d)-mean)*firstTokenWeight))
}

// preempt ends a running answer of a lower tier if t still waits for a slot.
func (s *Sidecar) preempt(now time.Time, t *slot) {
	victim, tokens := s.slots.preempt(t)
	if victim == nil {
		s.count("preemption_without_victim")
		return
	}
	s.count("preempted_" + victim.tier.String())
	s.deps.Traces.Add(now, t.request, "sidecar", "preempts", fmt.Sprintf("victim=%s tier=%v victim_tier=%v", victim.request, t.tier, victim.tier))
	s.deps.Traces.Add(now, victim.request, "sidecar", "preempted", fmt.Sprintf("for=%s tier=%v tokens=%d ran=%v", t.request, t.tier, tokens, now.Sub(victim.begun)))
}

// preempt chooses the victim of t and cancels it: the lowest tier, then the least
// progress lost. It returns the victim and the tokens of its answer, or nil if t
// does not wait any more or no holder may be preempted for it.
func (s *slots) preempt(t *slot) (victim *slot, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 || s.waiting[0] != t {
		return nil, 0 // one that goes first, or t itself, gets the next slot
	}
	for h := range s.holders {
		if !h.resumable || h.cancel == nil || !t.tier.Above(h.tier) {
			continue
		}
		if victim == nil || yieldsBefore(h, victim) {
			victim = h
		}
	}
	if victim == nil {
		return nil, 0
	}
	victim.resumable = false // it is preempted once
	victim.cancel(errPreempted)
	return victim, victim.tokens
}

func yieldsBefore(a, b *slot) bool {
	if a.tier != b.tier {
		return b.tier.Above(a.tier)
	}
	if a.tokens != b.tokens {
		return a.tokens < b.tokens
	}
	return a.request > b.request
}

// preempted reports whether a request ended since its slot was taken away.
func preempted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errPreempted) }

// endPreempted ends a stream so that the entry resumes it.
func endPreempted(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "event: "+wire.EventPreempted+"\ndata: {}\n\n")
}
