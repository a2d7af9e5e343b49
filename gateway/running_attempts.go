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
	attempts map[*forwarding]context.CancelCauseFunc
	ended    map[*forwarding]struct{} // those of attempts that endAll has ended
}

func newRunningAttempts() *runningAttempts {
	return &runningAttempts{attempts: make(map[*forwarding]context.CancelCauseFunc), ended: make(map[*forwarding]struct{})}
}

func (r *runningAttempts) add(f *forwarding, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[f] = cancel
}

func (r *runningAttempts) remove(f *forwarding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, f)
	delete(r.ended, f)
}

func (r *runningAttempts) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}

// endAll ends the attempts because the process ends, and returns how many it has not ended before.
func (r *runningAttempts) endAll() (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for f, cancel := range r.attempts {
		if _, ended := r.ended[f]; !ended {
			r.ended[f] = struct{}{}
			cancel(errProcessEnds)
			n++
		}
	}
	return n
}
