package gateway

// This file defines reporting, the driver of the usage duty: it does the calls that
// package duty decides on.

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/duty"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
)

// ClaimLog is the topic on which claims of the usage duty stand.
type ClaimLog interface {
	// Read returns the claims from an offset on, and the end of the topic.
	Read(ctx context.Context, from feed.Offset) ([]*duty.Claim, feed.Offset, error)
	// Append adds a claim if the topic ends at the offset. Its error is a
	// *duty.ConflictError if it does not.
	Append(ctx context.Context, at feed.Offset, c *duty.Claim) error
}

// UsageReport is the use of one window.
type UsageReport struct {
	Holder id.Node
	Term   id.Term
	Window duty.Window
	Counts duty.Counts
}

// UsageSink takes usage reports.
type UsageSink interface {
	Report(ctx context.Context, r UsageReport) error
}

const (
	// reportStep is how often the duty is looked at.
	reportStep = 100 * time.Millisecond
	// claimTimeout bounds a call to the store; a claim permits reports for not much
	// longer.
	claimTimeout = 700 * time.Millisecond
	// failurePause lies between two calls after one that failed.
	failurePause = 300 * time.Millisecond
)

// reporting is the usage duty of one gateway.
type reporting struct {
	cfg      duty.Config
	reporter *duty.Reporter
	table    *peer.Table
	clock    *clock.Clock
	truth    func() time.Time
	claims   ClaimLog
	reports  UsageSink
	logger   log.Logger
	counts   metrics.Registry
	pause    time.Time    // nothing is called before, by the steady clock
	newest   atomic.Int64 // the newest window known to be reported
}

// run does the duty until ctx is done.
func (r *reporting) run(ctx context.Context) {
	tick := time.NewTicker(reportStep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for r.step(ctx) {
		}
	}
}

// step takes one step; it reports whether another may follow at once.
func (r *reporting) step(ctx context.Context) bool {
	steady := r.clock.Now()
	if steady.Before(r.pause) {
		return false
	}
	var err error
	switch a := r.reporter.Step(steady, r.view()).(type) {
	case *duty.Wait:
		return false
	case *duty.Read:
		err = r.read(ctx, a)
	case *duty.Append:
		err = r.append(ctx, a)
	case *duty.Send:
		err = r.send(ctx, a)
	}
	if err != nil {
		r.pause = r.clock.Now().Add(failurePause)
		metrics.GetOrRegisterCounter("duty_call_failed", r.counts).Inc(1)
	}
	return err == nil && ctx.Err() == nil
}

func (r *reporting) view() duty.View {
	now := time.Now()
	v := duty.View{True: r.truth()}
	for _, row := range r.table.Live(now) {
		if !row.GetLeaving() {
			v.Live = append(v.Live, duty.Member{Node: id.Node(row.GetNode()), Incarnation: id.Incarnation(row.GetIncarnation())})
		}
	}
	for _, row := range r.table.Rows() {
		v.Reported = max(v.Reported, duty.Window(row.GetReportedWindow()))
	}
	v.Reported = max(v.Reported, duty.Window(r.newest.Load()))
	r.newest.Store(int64(v.Reported))
	v.Counted = func(w duty.Window) (duty.Counts, bool) {
		return sumUse(r.table, now, w, time.Unix(0, int64(w+1)*int64(r.cfg.Length)))
	}
	return v
}

func (r *reporting) read(ctx context.Context, a *duty.Read) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claims, end, err := r.claims.Read(ctx, a.From)
	if err != nil {
		return r.failed("read", err)
	}
	r.reporter.Took(r.clock.Now(), r.truth(), claims, end)
	if len(claims) > 0 {
		last := claims[len(claims)-1]
		_ = r.logger.Log("event", "duty_claims_read", "count", len(claims), "holder", last.Holder, "term", last.Term())
	}
	return nil
}

func (r *reporting) append(ctx context.Context, a *duty.Append) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	asked := r.clock.Now()
	err := r.claims.Append(ctx, a.At, a.Claim)
	var conflict *duty.ConflictError
	if err != nil {
		r.reporter.Unclear()
		if errors.As(err, &conflict) {
			_ = r.logger.Log("event", "duty_claim_lost", "at", a.At, "end", conflict.End)
			return nil
		}
		return r.failed("append", err)
	}
	claim := *a.Claim
	claim.Offset = a.At
	r.reporter.Claimed(asked, &claim)
	_ = r.logger.Log("event", "duty_claimed", "term", claim.Term(), "windows", len(claim.Windows))
	return nil
}

func (r *reporting) send(ctx context.Context, a *duty.Send) error {
	left := a.Until.Sub(r.clock.Now())
	if left <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := r.reports.Report(ctx, UsageReport{Holder: r.table.Self().Node, Term: a.Term, Window: a.Window, Counts: a.Counts})
	if err != nil {
		return r.failed("report", err)
	}
	r.reporter.Sent(a.Window)
	r.newest.Store(max(r.newest.Load(), int64(a.Window)))
	_ = r.logger.Log("event", "usage_reported", "window", int64(a.Window), "term", a.Term, "workspaces", len(a.Counts),
		"after", r.truth().Sub(time.Unix(0, int64(a.Window+1)*int64(r.cfg.Length))).Round(time.Millisecond))
	return nil
}

func (r *reporting) failed(call string, err error) error {
	_ = r.logger.Log("event", "duty_call_failed", "call", call, "err", err)
	return err
}
