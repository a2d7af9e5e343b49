package pool

// This file defines how the gateways share the limits that upstreams name (quota.Named). A limit belongs to
// one start of an upstream, and is known from own responses and from the reports of peers.

import (
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quota"
)

const (
	// limitReportTime is how long a change of a limit is reported to peers: several times what it
	// takes to reach the whole fleet.
	limitReportTime = 20 * time.Second
	// maxLimitReports bounds the limits that a gateway reports.
	maxLimitReports = 64
)

// LimitReport is what one start of an upstream has said of its limit. Times are those of the fleet.
type LimitReport struct {
	Upstream    id.Upstream
	StartUnixMS int64
	quota.Statement
}

// LimitChange is a limit that now holds, or has ended.
type LimitChange struct {
	Now      LimitReport
	Before   quota.Statement
	Gateways int          // that share the limit
	Part     id.PerSecond // of this gateway
}

// limitState is the limit that a start of an upstream has named.
type limitState struct {
	quota.Named
	changedAt time.Time // when it last changed
	slots     quota.Slots
}

// HearLimit records what a response to a request that was sent at some time says of its upstream's
// limit. It returns nil if that changes nothing.
func (p *Pool) HearLimit(now time.Time, l *Listing, limited bool, limit id.PerSecond, sentAt time.Time) *LimitChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.remarks[incarnation{l.ID, l.StartUnixMS}]; !limited && (r == nil || r.limit == nil) {
		return nil
	}
	return p.noteLimit(now, &LimitReport{l.ID, l.StartUnixMS, quota.Statement{Limited: limited, Limit: limit, SentAt: p.fleet.Common(sentAt), HeardAt: p.fleet.Common(now)}}, true)
}

// MergeLimits records the reports of a peer and returns what has changed. Invalid reports are
// ignored.
func (p *Pool) MergeLimits(now time.Time, reports []LimitReport) (changes []*LimitChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range reports {
		if r.Upstream == "" || !r.Valid() {
			continue
		}
		if latest := p.fleet.Common(now); r.HeardAt.After(latest) { // the clocks differ
			r.HeardAt = latest
			if r.SentAt.After(latest) {
				r.SentAt = latest
			}
		}
		if change := p.noteLimit(now, &r, false); change != nil {
			changes = append(changes, change)
		}
	}
	return changes
}

// noteLimit adds a report. The caller holds the lock.
func (p *Pool) noteLimit(now time.Time, report *LimitReport, own bool) *LimitChange {
	r := p.remarkFor(now, &Listing{ID: report.Upstream, StartUnixMS: report.StartUnixMS})
	if r.limit == nil {
		r.limit = new(limitState)
	}
	before, _ := r.limit.Holds()
	r.limit.Add(report.Statement, own)
	after, _ := r.limit.Holds()
	if after.Says(&before) {
		return nil
	}
	r.limit.changedAt = now
	change := &LimitChange{Now: LimitReport{report.Upstream, report.StartUnixMS, after}, Before: before, Gateways: p.fleet.Len()}
	if rate, limited := r.limit.Rate(0); limited {
		change.Part = id.PerSecond(p.fleet.Part(float64(rate.PerSecond)))
	}
	return change
}

// LimitReports returns what upstreams have told this gateway of limits that have changed of late, for
// its peers. Version differs if a limit has changed.
func (p *Pool) LimitReports(now time.Time) (reports []LimitReport, version time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	type change struct {
		LimitReport
		at time.Time
	}
	var recent []change
	for of, r := range p.remarks {
		if r.limit == nil || now.Sub(r.limit.changedAt) > limitReportTime {
			continue
		}
		if s, own := r.limit.Holds(); own {
			recent = append(recent, change{LimitReport{of.upstream, of.startUnixMS, s}, r.limit.changedAt})
		}
	}
	slices.SortFunc(recent, func(a, b change) int { return b.at.Compare(a.at) })
	for _, c := range recent[:min(len(recent), maxLimitReports)] {
		reports = append(reports, c.LimitReport)
	}
	if len(recent) > 0 {
		version = recent[0].at
	}
	return reports, version
}

// LimitedUpstreams returns how many upstreams have a limit.
func (p *Pool) LimitedUpstreams() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range p.upstreams {
		if _, _, limited := u.limitRate(); limited {
			n++
		}
	}
	return n
}

// limitRate returns the rate of a limit that the upstream has named, and the slots of it.
func (u *upstreamState) limitRate() (rate quota.Rate, slots *quota.Slots, limited bool) {
	if u.remark == nil || u.remark.limit == nil {
		return quota.Rate{}, nil, false
	}
	rate, limited = u.remark.limit.Rate(u.hashOrder ^ uint64(u.StartUnixMS))
	return rate, &u.remark.limit.slots, limited
}
