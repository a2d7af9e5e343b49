package gateway

// This file defines reportDriver, which makes the calls of the usage duty that package
// duty decides on.

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

// ClaimLog is the topic that holds the claims of the usage duty.
type ClaimLog interface {
	// Read returns the claims from an offset on, and the end of the topic.
	Read(ctx context.Context, from feed.Offset) ([]*duty.Claim, feed.Offset, error)
	// Append adds a claim if the topic ends at the offset, and otherwise returns a
	// *duty.ConflictError.
	Append(ctx context.Context, at feed.Offset, c *duty.Claim) error
}

// UsageReport is the usage of one window, by workspace.
type UsageReport struct {
	Holder id.Node // gateway that makes the report
	Term   id.Term // fencing number of the claim that permits it
	Window duty.Window
	Counts duty.Counts
}

// UsageSink receives usage reports.
type UsageSink interface {
	// Report sends one report.
	Report(ctx context.Context, r UsageReport) error
}

const (
	// stepInterval is the time between two checks of whether a call is due.
	stepInterval = 100 * time.Millisecond
	// claimTimeout limits a call to the store. It is short, as a claim permits reports for
	// not much longer.
	claimTimeout = 700 * time.Millisecond
	// failureDelay is the time to wait after a failed call.
	failureDelay = 300 * time.Millisecond
)

// reportDriver makes the calls that a duty.Reporter decides on.
type reportDriver struct {
	cfg         duty.Config
	reporter    *duty.Reporter
	table       *peer.Table
	clock       *clock.Clock
	fleetTime   func() time.Time // time of day by the median clock of the fleet
	claims      ClaimLog
	sink        UsageSink
	logger      log.Logger
	registry    metrics.Registry
	pausedUntil time.Time                      // end of the delay after a failed call, by clock
	reported    atomic.Pointer[duty.WindowSet] // windows known to be reported by any gateway; stored by the driver's goroutine only
}

// run makes the calls that are due until ctx is done.
func (r *reportDriver) run(ctx context.Context) {
	tick := time.NewTicker(stepInterval)
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

// step makes the next call, if one is due. It reports whether another call may follow
// at once.
func (r *reportDriver) step(ctx context.Context) bool {
	bootNow := r.clock.Now()
	if bootNow.Before(r.pausedUntil) {
		return false
	}
	var err error
	switch action := r.reporter.Step(bootNow, r.dutyView()).(type) {
	case *duty.Wait:
		return false
	case *duty.ReadClaims:
		err = r.readClaims(ctx, action)
	case *duty.AppendClaim:
		err = r.appendClaim(ctx, action)
	case *duty.SendReport:
		err = r.sendReport(ctx, action)
	}
	if err != nil {
		r.pausedUntil = r.clock.Now().Add(failureDelay)
		metrics.GetOrRegisterCounter("duty_call_failed", r.registry).Inc(1)
	}
	return err == nil && ctx.Err() == nil
}

// dutyView returns what is known of the fleet, for the decision.
func (r *reportDriver) dutyView() duty.View {
	now := time.Now()
	view := duty.View{FleetTime: r.fleetTime(), KnownFrom: r.reporter.WindowAt(r.table.HistoryFrom(now)), Reported: *r.reported.Load()}
	for _, row := range r.table.Live(now) {
		if !row.GetLeaving() {
			view.Live = append(view.Live, duty.Member{Node: id.Node(row.GetNode()), Incarnation: id.Incarnation(row.GetIncarnation())})
		}
	}
	for _, row := range r.table.Rows() {
		view.Reported = view.Reported.Union(duty.WindowSet{Newest: duty.Window(row.GetReportedWindow()), Before: row.GetReportedBefore()})
	}
	r.reported.Store(&view.Reported)
	view.WindowCounts = func(w duty.Window) (duty.Counts, bool) {
		return sumUsage(r.table, now, w, time.Unix(0, int64(w+1)*int64(r.cfg.WindowLength)))
	}
	return view
}

// readClaims reads the claims that are new on the topic.
func (r *reportDriver) readClaims(ctx context.Context, action *duty.ReadClaims) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claims, end, err := r.claims.Read(ctx, action.From)
	if err != nil {
		return r.logFailure("read", err)
	}
	r.reporter.ClaimsRead(r.clock.Now(), r.fleetTime(), claims, end)
	if len(claims) > 0 {
		last := claims[len(claims)-1]
		_ = r.logger.Log("event", "duty_claims_read", "count", len(claims), "holder", last.Holder, "term", last.Term())
	}
	return nil
}

// appendClaim appends a claim. A conflict with another gateway's claim is no failure.
func (r *reportDriver) appendClaim(ctx context.Context, action *duty.AppendClaim) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	requestedAt := r.clock.Now()
	err := r.claims.Append(ctx, action.ExpectedEnd, action.Claim)
	var conflict *duty.ConflictError
	if err != nil {
		r.reporter.RequireReread()
		if errors.As(err, &conflict) {
			_ = r.logger.Log("event", "duty_claim_lost", "at", action.ExpectedEnd, "end", conflict.End)
			return nil
		}
		return r.logFailure("append", err)
	}
	claim := *action.Claim
	claim.Offset = action.ExpectedEnd
	r.reporter.ClaimAppended(requestedAt, &claim)
	_ = r.logger.Log("event", "duty_claimed", "term", claim.Term(), "windows", len(claim.Windows))
	return nil
}

// sendReport sends a usage report, unless the claim that permits it has expired.
func (r *reportDriver) sendReport(ctx context.Context, action *duty.SendReport) error {
	remaining := action.Until.Sub(r.clock.Now())
	if remaining <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	err := r.sink.Report(ctx, UsageReport{Holder: r.table.Self().Node, Term: action.Term, Window: action.Window, Counts: action.Counts})
	if err != nil {
		return r.logFailure("report", err)
	}
	r.reporter.ReportAccepted(action.Window)
	reported := r.reported.Load().With(action.Window)
	r.reported.Store(&reported)
	_ = r.logger.Log("event", "usage_reported", "window", int64(action.Window), "term", action.Term, "workspaces", len(action.Counts),
		"after", r.fleetTime().Sub(time.Unix(0, int64(action.Window+1)*int64(r.cfg.WindowLength))).Round(time.Millisecond))
	return nil
}

// logFailure logs the error of a call and returns it.
func (r *reportDriver) logFailure(call string, err error) error {
	_ = r.logger.Log("event", "duty_call_failed", "call", call, "err", err)
	return err
}
