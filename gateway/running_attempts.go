package gateway

// This file defines runningAttempts, by which the end of the process ends what upstreams have not answered.

import (
	"context"
	"errors"
	"sync"
)

// errProcessEnds is why an attempt ends whose upstream has not answered before the process ends.
var errProcessEnds = errors.New("the process ends")

// runningAttempts are the attempts that are under way. It is safe for concurrent use.
type runningAttempts struct {
	mu       sync.Mutex
	attempts map[*forwarding]*runningAttempt
}

// runningAttempt is an attempt that is under way.
type runningAttempt struct {
	cancel   context.CancelCauseFunc
	headSent bool // the caller has the head of the response
	ended    bool // because the process ends
}

func newRunningAttempts() *runningAttempts {
	return &runningAttempts{attempts: make(map[*forwarding]*runningAttempt)}
}

func (r *runningAttempts) add(f *forwarding, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[f] = &runningAttempt{cancel: cancel, headSent: f.headSent}
}

func (r *runningAttempts) remove(f *forwarding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, f)
}

// noteHead records that the caller has the head of the response.
func (r *runningAttempts) noteHead(f *forwarding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.attempts[f]; a != nil {
		a.headSent = true
	}
}

// endUnanswered ends the attempts of requests whose callers have nothing of a response, because the process ends, and
// returns how many it has not ended before.
func (r *runningAttempts) endUnanswered() int {
	return r.end(func(a *runningAttempt) bool { return !a.headSent })
}

// endAll ends all attempts because the process ends, and returns how many were under way.
func (r *runningAttempts) endAll() int {
	r.end(func(*runningAttempt) bool { return true })
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}

func (r *runningAttempts) end(ends func(*runningAttempt) bool) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		if !a.ended && ends(a) {
			a.ended = true
			a.cancel(errProcessEnds)
			n++
		}
	}
	return n
}
