package pool

// This file defines the contact with an upstream: when it last sent something to this gateway,
// and from when on it may have gone without a word.
//
// An upstream whose VM loses power does not close its connections. Whatever is written to them
// is lost, and a request that may run only once cannot be repeated elsewhere. A new connection
// tells: it fails if the upstream has gone, before anything is sent, and otherwise costs a
// round trip. So such a request goes over a new connection if the upstream has sent nothing for
// longer than one that works would. Until its result is known, other requests avoid the upstream.
// Requests that may be repeated leave an upstream that is found to have gone.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// maxSilenceGapFraction is the fraction of the shortest permitted event gap of a service
	// for which an upstream that runs requests of this gateway may send nothing.
	maxSilenceGapFraction = 1.0 / 2
	// maxIdleSilence is how long ago an upstream that runs no requests of this gateway may have
	// sent something.
	maxIdleSilence = time.Second
	// trialDuration is how long other requests avoid an upstream while one tries to connect to
	// it, if the result is not known sooner.
	trialDuration = 200 * time.Millisecond
	// trialSilenceGaps is after how many of the shortest permitted event gaps an upstream that has
	// sent nothing is tried without a request to send.
	trialSilenceGaps = 4
	// unreachableBackoff is how long an upstream is avoided after a failed connection. The
	// time doubles with each consecutive failure, up to maxUnreachableBackoff.
	unreachableBackoff    = 400 * time.Millisecond
	maxUnreachableBackoff = 3 * time.Second
)

// maySilentlyHaveGone reports whether an upstream may have gone without closing its
// connections. The caller holds the lock.
func (p *Pool) maySilentlyHaveGone(now time.Time, u *upstreamState, rq *Request) bool {
	switch {
	case u.inDoubt:
		return true
	case u.running == 0:
		return rq.RunsOnce && !u.lastHeard.IsZero() && now.Sub(u.lastHeard) > maxIdleSilence
	}
	return rq.RunsOnce && u.silence(now) > time.Duration(maxSilenceGapFraction*float64(p.shortestEventGap(u.Service)))
}

// silence returns for how long an upstream has sent nothing while it had requests of this
// gateway; zero if it has none. The caller holds the lock.
func (u *upstreamState) silence(now time.Time) time.Duration {
	switch {
	case u.running == 0:
		return 0
	case u.lastHeard.Before(u.busySince):
		return now.Sub(u.busySince)
	}
	return now.Sub(u.lastHeard)
}

// startTrial makes other requests avoid the upstream until it is known whether it can be
// connected to.
func (u *upstreamState) startTrial(now time.Time) {
	u.inDoubt = true
	if until := now.Add(trialDuration); until.After(u.unreachableUntil) {
		u.unreachableUntil = until
	}
}

// StartTrials returns the upstreams that are to be connected to now, since they have been silent
// while repeatable requests run there that could go elsewhere. The caller reports each result by
// MarkReachable or MarkUnreachable.
func (p *Pool) StartTrials(now time.Time) (trials []Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if u.gone != nil && !now.Before(u.unreachableUntil) && u.silence(now) >= trialSilenceGaps*p.shortestEventGap(u.Service) {
			u.startTrial(now)
			trials = append(trials, u.Listing)
		}
	}
	return trials
}

// MarkReachable records that an upstream has accepted a connection.
func (p *Pool) MarkReachable(now time.Time, upstream id.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[upstream]; u != nil {
		u.heard(now)
	}
}

// Heard records that the upstream has sent something, or has accepted a connection.
func (a *Assignment) Heard(now time.Time) {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	a.state.heard(now)
}

// heard ends the doubt about an upstream and its backoff. The caller holds the lock.
func (u *upstreamState) heard(now time.Time) {
	u.lastHeard, u.inDoubt, u.connectFailures, u.unreachableUntil = now, false, 0, time.Time{}
}

// LastHeard returns when the upstream last sent something to this gateway, for any request;
// zero: never.
func (a *Assignment) LastHeard() time.Time {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	return a.state.lastHeard
}

// MarkUnreachable records that a connection to an upstream failed. The upstream is
// avoided for a time that doubles with each consecutive failure. If it was in doubt and has been
// silent for longer than its streams may be, it counts as gone.
func (p *Pool) MarkUnreachable(now time.Time, upstream id.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.upstreams[upstream]; u != nil {
		if u.inDoubt && u.gone != nil && u.silence(now) >= p.shortestEventGap(u.Service) {
			close(u.gone)
			u.gone = nil
		}
		u.inDoubt, u.unreachableUntil = true, now.Add(min(unreachableBackoff<<min(u.connectFailures, 4), maxUnreachableBackoff))
		u.connectFailures++
	}
}

// Gone returns a channel that is closed when the upstream is found to have gone without a word.
// A request that may be repeated is then better sent elsewhere.
func (a *Assignment) Gone() <-chan struct{} {
	a.pool.mu.Lock()
	defer a.pool.mu.Unlock()
	if a.state.gone == nil {
		a.state.gone = make(chan struct{})
	}
	return a.state.gone
}
