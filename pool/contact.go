package pool

// This file defines the contact with an upstream: when it last sent something to this gateway,
// and from when on it may have gone without a word.
//
// An upstream whose VM loses power does not close its connections. Whatever is written to them
// is lost, and a request that may run only once cannot be repeated elsewhere. A new connection
// tells: it fails if the upstream has gone, before anything is sent, and otherwise costs a
// round trip. So a request goes over a new connection if the upstream has sent nothing for longer
// than one that works would. Until its result is known, other requests avoid the upstream.

import "time"

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
)

// maySilentlyHaveGone reports whether an upstream may have gone without closing its
// connections. The caller holds the lock.
func (p *Pool) maySilentlyHaveGone(now time.Time, u *upstreamState, rq *Request) bool {
	switch {
	case u.inDoubt:
		return true
	case u.running == 0:
		return rq.RunsOnce && !u.lastHeard.IsZero() && now.Sub(u.lastHeard) > maxIdleSilence
	case u.lastHeard.Before(u.busySince):
		return now.Sub(u.busySince) > p.maxSilence(u)
	}
	return now.Sub(u.lastHeard) > p.maxSilence(u)
}

// maxSilence returns how long an upstream that runs requests of this gateway may send nothing.
func (p *Pool) maxSilence(u *upstreamState) time.Duration {
	return time.Duration(maxSilenceGapFraction * float64(p.shortestEventGap(u.Service)))
}

// startTrial makes other requests avoid the upstream until it is known whether it can be
// connected to.
func (u *upstreamState) startTrial(now time.Time) {
	u.inDoubt = true
	if until := now.Add(trialDuration); until.After(u.unreachableUntil) {
		u.unreachableUntil = until
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
