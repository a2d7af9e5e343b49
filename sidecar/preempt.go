package sidecar

// This file defines preemption: a running answer of a lower tier is ended to free a slot
// for a request that would otherwise miss its target for the first token. Another upstream
// resumes the preempted answer.

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
	firstTokenWeight = 1.0 / 8               // weight of one answer in the moving average
	slotReleaseTime  = 20 * time.Millisecond // from cancelling an answer to a free slot
)

// preemptAt returns the latest time at which a free slot still lets the request meet its
// first-token target. It is zero if there is no target or the target can no longer be met.
func (s *Sidecar) preemptAt(now time.Time, e wire.Envelope) time.Time {
	c := s.deps.State.Rules().Classes[e.Class]
	if c == nil || c.TTFT <= 0 {
		return time.Time{}
	}
	at := arrivalTime(now, e.Request).Add(c.TTFT - s.meanFirstToken() - slotReleaseTime)
	if at.Before(now) {
		return time.Time{}
	}
	return at
}

// arrivalTime returns when a request reached its entry, which its id contains. For an id
// without a time it returns now.
func arrivalTime(now time.Time, rq id.Request) time.Time {
	_, text, _ := strings.Cut(string(rq), "_")
	u, err := ulid.Parse(text)
	if err != nil {
		return now
	}
	return ulid.Time(u.Time())
}

// meanFirstToken returns the moving average of the time to the first token.
func (s *Sidecar) meanFirstToken() time.Duration { return time.Duration(s.meanFirstTokenNs.Load()) }

// observeFirstToken adds one answer to the moving average.
func (s *Sidecar) observeFirstToken(d time.Duration) {
	mean := s.meanFirstTokenNs.Load()
	if mean == 0 {
		s.meanFirstTokenNs.Store(int64(d))
		return
	}
	s.meanFirstTokenNs.Store(mean + int64(float64(int64(d)-mean)*firstTokenWeight))
}

// preempt preempts an answer of a lower tier if req still waits for a slot.
func (s *Sidecar) preempt(now time.Time, req *slotRequest) {
	victim, tokens := s.slots.preempt(req)
	if victim == nil {
		s.count("preemption_without_victim")
		return
	}
	s.count("preempted_" + victim.tier.String())
	s.deps.Traces.Add(now, req.request, "sidecar", "preempts", fmt.Sprintf("victim=%s tier=%v victim_tier=%v", victim.request, req.tier, victim.tier))
	s.deps.Traces.Add(now, victim.request, "sidecar", "preempted", fmt.Sprintf("for=%s tier=%v tokens=%d ran=%v", req.request, req.tier, tokens, now.Sub(victim.started)))
}

// preempt selects a holder as victim for req and cancels it: of the lowest tier, then with
// the fewest tokens, then the newest request. It returns the victim and its tokens, or nil
// if req does not wait any more, another request is ahead of it, or no holder may be
// preempted.
func (s *slotQueue) preempt(req *slotRequest) (victim *slotRequest, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 || s.waiting[0] != req {
		return nil, 0 // a request ahead of req, or req itself, gets the next slot
	}
	for h := range s.holders {
		if !h.resumable || h.cancel == nil || !req.tier.Above(h.tier) {
			continue
		}
		if victim == nil || isBetterVictim(h, victim) {
			victim = h
		}
	}
	if victim == nil {
		return nil, 0
	}
	victim.resumable = false // never preempted twice
	victim.cancel(errPreempted)
	return victim, victim.tokens
}

// isBetterVictim reports whether a should be preempted rather than b.
func isBetterVictim(a, b *slotRequest) bool {
	if a.tier != b.tier {
		return b.tier.Above(a.tier)
	}
	if a.tokens != b.tokens {
		return a.tokens < b.tokens
	}
	return a.request > b.request
}

// wasPreempted reports whether a request's context ended because of preemption.
func wasPreempted(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errPreempted) }

// writePreemptedEvent ends a stream with an event that makes the entry resume the answer.
func writePreemptedEvent(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "event: "+wire.EventPreempted+"\ndata: {}\n\n")
}
