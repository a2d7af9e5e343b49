package pool

// This file defines what a pool knows of the contact with an upstream: when the upstream last
// sent something to this gateway.

import "time"

// Heard records that the upstream has sent something.
func (a *Assignment) Heard(now time.Time) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.state.lastHeard = now
}

// LastHeard returns when the upstream last sent something to this gateway, for any request;
// zero: never.
func (a *Assignment) LastHeard() time.Time {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.state.lastHeard
}
