package pool

// This file defines Assignment, a request at the upstream that was chosen for it.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Assignment is a request that counts towards the load of the chosen upstream until End
// is called. End must be called exactly once.
type Assignment struct {
	Upstream   Listing
	Reason     string        // why this upstream was chosen, for the log
	ListingAge time.Duration // since the upstream was last listed
	ListedFor  time.Duration // since it was first listed from its start on
	Running    int           // requests of this gateway that were already running there
	// NewConnection means that open connections to the upstream may be dead, so that the request
	// must be sent over a new one, which cannot be opened to an upstream that has gone.
	NewConnection bool
	// Limited means that the upstream has named a limit, of which Part is this gateway's part.
	Limited bool
	Part    id.PerSecond
	// Expected is how long the upstream is expected to take until it has read the prompt; zero: there is
	// none.
	Expected time.Duration
	// ExpectedEnd is how long the whole answer is expected to take; zero: not known.
	ExpectedEnd time.Duration

	taken []takenSlot

	pool         *Pool
	state        *upstreamState
	promptTokens id.Tokens
	prefillDone  bool
	short        bool      // its prompt is not long
	begun        bool      // its engine has given it a slot
	level        int       // of its urgency
	sentAt       time.Time // to the upstream
	ahead        float64   // tokens that the upstream was expected to read before the answer; zero: not known

	progress answerProgress
}

// PrefillDone records that the upstream has sent an event, for which it has processed the
// whole prompt.
func (a *Assignment) PrefillDone(now time.Time) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.state.heard(now)
	a.finishPrefill(now, true)
	a.recordEvent(now)
}

// finishPrefill subtracts the prompt from the load of the upstream once. The caller
// holds the lock.
func (a *Assignment) finishPrefill(now time.Time, read bool) {
	if !a.prefillDone {
		a.prefillDone = true
		a.recordWait(now, read)
		if read && a.promptTokens > 0 {
			a.begun = true
			a.levelState().setBegun(now, 1)
		}
		a.state.backlog[a.level] -= a.promptTokens
	}
}

// End records that the request no longer runs on the upstream.
func (a *Assignment) End(now time.Time) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.finishPrefill(now, false)
	a.state.running--
	a.countRunning(-1)
	if a.begun {
		a.levelState().setBegun(now, -1)
	}
}

// countRunning adds to the requests of the assignment's urgency that run, if it is one for an engine. The
// caller holds the lock.
func (a *Assignment) countRunning(n int) {
	if a.promptTokens > 0 {
		a.levelState().running += n
	}
	if a.short {
		a.pool.shortRunning[a.Upstream.Service] += n
	}
}

// levelState returns the state of the urgency of the assignment. The caller holds the pool's lock.
func (a *Assignment) levelState() *admission {
	return &a.pool.admissionsOf(a.Upstream.Service)[a.level]
}
