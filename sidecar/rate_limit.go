package sidecar

// This file defines rateLimit, which keeps to the rate that the upstream names in its responses. The
// sidecar sees every request to its upstream, so that it needs no peers for that.

import (
	"net/http"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
	"github.com/ragwortpass/ragwortpass/wire"
)

// rateLimit is the limit that one start of the upstream has named. It is safe for concurrent use.
type rateLimit struct {
	mu    sync.Mutex
	named quota.Named
	slots quota.Slots
}

// next returns when the upstream takes the next request; not after now if it has no limit.
func (r *rateLimit) next(now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate, limited := r.named.Rate(0)
	if !limited {
		return now
	}
	return r.slots.Next(now, rate, quota.Fleet{})
}

// take uses the slot that next returned. Limited is false if there is no limit.
func (r *rateLimit) take(now time.Time) (slot quota.Slot, limited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate, limited := r.named.Rate(0)
	if limited {
		slot = r.slots.Take(now, rate, quota.Fleet{})
	}
	return slot, limited
}

// giveBack makes a slot usable again whose request was not sent.
func (r *rateLimit) giveBack(slot quota.Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots.GiveBack(slot)
}

// add adds what a response says and returns the statement that holds, if it is another than before.
func (r *rateLimit) add(s quota.Statement) (now quota.Statement, changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, _ := r.named.Holds()
	r.named.Add(s, true)
	now, _ = r.named.Holds()
	return now, !now.Says(&before)
}

// forget ends the limit: the upstream has started anew.
func (r *rateLimit) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.named = quota.Named{}
}

// hearLimit records what the response to a request that was sent at some time says of the
// upstream's limit.
func (s *Sidecar) hearLimit(now, sentAt time.Time, request id.Request, h http.Header) {
	statement := quota.Statement{SentAt: sentAt, HeardAt: now}
	if values := h.Values(wire.HeaderRateLimit); len(values) > 0 {
		limit, err := wire.ParseRateLimit(values[0])
		if err != nil {
			s.count("upstream_limit_invalid")
			_ = s.deps.Logger.Log("event", "upstream_limit_invalid", "request", request, "limit", values[0], "err", err)
			return
		}
		statement.Limited, statement.Limit = true, limit
	}
	if !statement.Limited && h.Get(wire.HeaderRequestID) == "" {
		return // may be the response to an earlier request
	}
	if holds, changed := s.rate.add(statement); changed {
		s.count("upstream_limit_changed")
		_ = s.deps.Logger.Log("event", "upstream_limit", "request", request, "limited", holds.Limited, "limit", holds.Limit)
		s.slots.grant(now)
	}
}
