package pool

// This file defines the limits that upstreams name: how many requests a second one takes from all
// gateways together, for as long as it says so.
//
// A limit is known from own responses and from the reports of peers, and belongs to one start of an
// upstream. A lower limit holds at once. A higher one, or the end of a limit, holds only by a
// response to a request that was sent after the limit was last heard: of two responses whose
// exchanges overlap, nothing tells which the upstream wrote last.
//
// The gateways share a limit by slots (package quota).

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
)

const (
	// limitShare is the fraction of a limit that the gateways use. The rest is a margin for the
	// moments in which they disagree about who they are, and about the time.
	limitShare = 0.9
	// limitSlotUsable is how long a slot of a limit may be used.
	limitSlotUsable = time.Second
	// minAskRate is how many requests a second an upstream gets that names a lower limit, or zero: only
	// its responses tell when the limit ends.
	minAskRate id.PerSecond = 0.2
	// limitReportTime is how long a change of a limit is reported to peers: several times what it
	// takes to reach the whole fleet.
	limitReportTime = 20 * time.Second
	// maxLimitReports bounds the limits that a gateway reports.
	maxLimitReports = 64
	// maxOverlappingReports bounds how many limits an upstream may have named in exchanges that
	// overlap.
	maxOverlappingReports = 8
)

// LimitReport is what one start of an upstream has said of its limit in the response to a request. Times
// are those of the fleet.
type LimitReport struct {
	Upstream    id.Upstream
	StartUnixMS int64
	Limited     bool         // false: it no longer names a limit
	Limit       id.PerSecond // if limited
	SentAt      time.Time    // when the request was sent
	HeardAt     time.Time    // when its response began
}

// LimitChange is a limit that now holds, or has ended.
type LimitChange struct {
	Now, Before LimitReport
	Gateways    int // that share the limit
	Part        id.PerSecond
	Changed     bool // false: nothing has changed
}

// Valid reports whether a report has a rate for a limit, and times.
func (r *LimitReport) Valid() bool {
	return r.Upstream != "" && !r.SentAt.After(r.HeardAt) && (!r.Limited || r.Limit >= 0 && !math.IsInf(float64(r.Limit), 1))
}

// rate returns the limit of a report; a report of no limit has none that is lower.
func (r *LimitReport) rate() float64 {
	if !r.Limited {
		return math.Inf(1)
	}
	return float64(r.Limit)
}

// says reports whether two reports name the same limit, or none.
func (r *LimitReport) says(s *LimitReport) bool { return r.Limited == s.Limited && r.Limit == s.Limit }

// heardReport is a report that may be an upstream's latest word.
type heardReport struct {
	LimitReport
	own bool // of a response to this gateway
}

// limitState is the limit that a start of an upstream has named.
type limitState struct {
	// reports are those that are followed by no other, that is, whose response began before the
	// request of the other was sent. There is one for each limit, the lowest first. The first is the
	// one that holds.
	reports   []heardReport
	changedAt time.Time // when the limit last changed
	slots     quota.Slots
}

// holds returns the report that holds.
func (l *limitState) holds() *heardReport { return &l.reports[0] }

// add adds a report, and drops those that it follows.
func (l *limitState) add(r heardReport) {
	for i := range l.reports {
		if l.reports[i].SentAt.After(r.HeardAt) {
			return
		}
	}
	l.reports = slices.DeleteFunc(l.reports, func(old heardReport) bool { return r.SentAt.After(old.HeardAt) })
	i, known := slices.BinarySearchFunc(l.reports, r, func(a, b heardReport) int { return cmp.Compare(a.rate(), b.rate()) })
	if !known {
		l.reports = slices.Insert(l.reports, i, r)
		l.reports = l.reports[:min(len(l.reports), maxOverlappingReports)]
		return
	}
	old := &l.reports[i]
	old.own = old.own && !r.HeardAt.After(old.HeardAt) || r.own
	if r.SentAt.After(old.SentAt) {
		old.SentAt = r.SentAt
	}
	if r.HeardAt.After(old.HeardAt) {
		old.HeardAt = r.HeardAt
	}
}

// HearLimit records what a response to a request that was sent at some time says of its upstream's
// limit.
func (p *Pool) HearLimit(now time.Time, l *Listing, limited bool, limit id.PerSecond, sentAt time.Time) LimitChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.remarks[incarnation{l.ID, l.StartUnixMS}]; !limited && (r == nil || r.limit == nil) {
		return LimitChange{}
	}
	return p.noteLimit(now, LimitReport{
		Upstream: l.ID, StartUnixMS: l.StartUnixMS, Limited: limited, Limit: limit, SentAt: p.fleet.Common(sentAt), HeardAt: p.fleet.Common(now),
	}, true)
}

// MergeLimits records the reports of a peer and returns what has changed. Invalid reports are
// ignored.
func (p *Pool) MergeLimits(now time.Time, reports []LimitReport) (changes []LimitChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		if !r.Valid() {
			continue
		}
		if latest := p.fleet.Common(now); r.HeardAt.After(latest) { // the clocks differ
			r.HeardAt = latest
			if r.SentAt.After(latest) {
				r.SentAt = latest
			}
		}
		if change := p.noteLimit(now, r, false); change.Changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// noteLimit adds a report. The caller holds the lock.
func (p *Pool) noteLimit(now time.Time, report LimitReport, own bool) LimitChange {
	r := p.remarkFor(now, &Listing{ID: report.Upstream, StartUnixMS: report.StartUnixMS})
	before := LimitReport{}
	if r.limit == nil {
		r.limit = new(limitState)
	} else {
		before = r.limit.holds().LimitReport
	}
	r.limit.add(heardReport{report, own})
	after := r.limit.holds().LimitReport
	if after.says(&before) {
		return LimitChange{}
	}
	r.limit.changedAt = now
	return LimitChange{
		Now: after, Before: before, Gateways: p.fleet.Len(), Part: id.PerSecond(p.fleet.Part(float64(sharedLimit(after.Limit)))), Changed: true,
	}
}

// LimitReports returns what upstreams have told this gateway of limits that have changed of late, for
// its peers. Version differs if a limit has changed.
func (p *Pool) LimitReports(now time.Time) (reports []LimitReport, version time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var recent []*limitState
	for _, r := range p.remarks {
		if r.limit != nil && r.limit.holds().own && now.Sub(r.limit.changedAt) <= limitReportTime {
			recent = append(recent, r.limit)
		}
	}
	slices.SortFunc(recent, func(a, b *limitState) int { return b.changedAt.Compare(a.changedAt) })
	for _, l := range recent[:min(len(recent), maxLimitReports)] {
		reports = append(reports, l.holds().LimitReport)
	}
	if len(recent) > 0 {
		version = recent[0].changedAt
	}
	return reports, version
}

// LimitedUpstreams returns how many upstreams have a limit.
func (p *Pool) LimitedUpstreams() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if u.namedLimit() != nil {
			n++
		}
	}
	return n
}

// namedLimit returns the limit that holds for the upstream, or nil.
func (u *upstreamState) namedLimit() *limitState {
	if u.remark == nil || u.remark.limit == nil || !u.remark.limit.holds().Limited {
		return nil
	}
	return u.remark.limit
}

// sharedLimit returns how many requests a second all gateways together send to an upstream with a
// limit.
func sharedLimit(limit id.PerSecond) id.PerSecond {
	return max(limit*limitShare, minAskRate)
}

// rate returns the rate of which the gateways share the slots.
func (l *limitState) rate() quota.Rate {
	r := l.holds()
	return quota.Rate{Key: xxhash.Sum64String(string(r.Upstream)) ^ uint64(r.StartUnixMS), PerSecond: sharedLimit(r.Limit), Usable: limitSlotUsable, Burst: true}
}
