package pool

// This file defines remark: what an upstream has told this gateway about itself in its
// responses. It binds this gateway whatever the upstream's listing says.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// maxAskedWait bounds how long an upstream may ask this gateway to wait.
	maxAskedWait = 10 * time.Minute
	// remarkRetention is how long a remark is kept for an upstream whose listing may
	// disappear and return.
	remarkRetention = 2 * maxAskedWait
)

// incarnation identifies an upstream from its start on, as it may start again under its id.
type incarnation struct {
	upstream    id.Upstream
	startUnixMS int64
}

// remark is what an incarnation of an upstream has said in its responses.
type remark struct {
	leaving   bool
	waitUntil time.Time // it wants no requests before
	askedAt   time.Time // when it said so; zero: never
	limit     *limitState
	madeAt    time.Time // when it last said something
}

// MarkLeaving records that a response of an upstream said that it is leaving: it gets no new
// requests until it starts anew. It reports whether this was not known.
func (p *Pool) MarkLeaving(now time.Time, l *Listing) (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.remarkFor(now, l)
	isNew, r.leaving = !r.leaving, true
	return isNew
}

// AskWait records that an upstream has refused a request and wants none for a time, of which
// maxAskedWait counts at most. It returns the end of that time.
func (p *Pool) AskWait(now time.Time, l *Listing, wait time.Duration) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.remarkFor(now, l)
	if until := now.Add(min(wait, maxAskedWait)); until.After(r.waitUntil) {
		r.waitUntil, r.askedAt = until, now
	}
	return r.waitUntil
}

// keepWait has an upstream that is listed anew keep a wait that was asked for after the start that it is listed
// with: a response does not name the start that made it, and may come before the listing of that start. The
// caller holds the lock.
func (p *Pool) keepWait(now time.Time, l *Listing) {
	for of, r := range p.remarks {
		if of.upstream != l.ID || of.startUnixMS >= l.StartUnixMS || !now.Before(r.waitUntil) || p.fleet.Common(r.askedAt).UnixMilli() <= l.StartUnixMS {
			continue
		}
		if own := p.remarkFor(now, l); own.waitUntil.Before(r.waitUntil) {
			own.waitUntil, own.askedAt = r.waitUntil, r.askedAt
		}
	}
}

// remarkFor returns the remark of an incarnation, which it creates if there is none, and forgets old
// ones. The caller holds the lock.
func (p *Pool) remarkFor(now time.Time, l *Listing) *remark {
	key := incarnation{l.ID, l.StartUnixMS}
	r := p.remarks[key]
	if r == nil {
		for other, old := range p.remarks {
			if p.upstreams[other.upstream] == nil && now.Sub(old.madeAt) > remarkRetention {
				delete(p.remarks, other)
			}
		}
		r = new(remark)
		p.remarks[key] = r
	}
	r.madeAt = now
	if u := p.upstreams[l.ID]; u != nil && u.StartUnixMS == l.StartUnixMS {
		u.remark = r
	}
	return r
}

// isLeaving reports whether the upstream has said that it is leaving.
func (u *upstreamState) isLeaving() bool { return u.remark != nil && u.remark.leaving }

// waitsUntil returns until when the upstream wants no requests, and whether it is before then.
func (u *upstreamState) waitsUntil(now time.Time) (time.Time, bool) {
	if u.remark == nil || !now.Before(u.remark.waitUntil) {
		return time.Time{}, false
	}
	return u.remark.waitUntil, true
}
