package gateway

// This file defines reportDriver, which makes the calls of the usage duty that package
// duty decides on.

import (
	"context"
	"errors"
	"slices"
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
	// Era returns the newest era that the store is known to be in.
	Era() feed.Era
	// Read returns the claims from a position on, and the position after them, which is before
	// the end of the topic if there are too many for one call. The error is a *feed.EraError if
	// the store is in another era.
	Read(ctx context.Context, from feed.Position) ([]*duty.Claim, feed.Position, error)
	// Append adds a claim if the topic ends at the offset, and otherwise returns a
	// *duty.ConflictError. After a *feed.EraError, the claim was added in another era.
	Append(ctx context.Context, at feed.Position, c *duty.Claim) error
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

// claimState is what peers must know of this gateway's claims when the store has lost some.
type claimState struct {
	claimed duty.WindowSet
	era     feed.Era // claims from before it are not acted on any more
}

// reportDriver makes the calls that a duty.Reporter decides on.
type reportDriver struct {
	cfg         duty.Config
	reporter    *duty.Reporter
	table       *peer.Table
	clock       *clock.Clock
	fleetTime   func() time.Time // time of day by the median clock of the fleet
	claimLog    ClaimLog
	sink        UsageSink
	logger      log.Logger
	registry    metrics.Registry
	pausedUntil time.Time                      // end of the delay after a failed call, by clock
	storeEra    func() feed.Era                // newest era that this gateway knows
	reported    atomic.Pointer[duty.WindowSet] // windows known to be reported by any gateway; stored by the driver's goroutine only
	claims      atomic.Pointer[claimState]     // stored by the driver's goroutine only
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
	action := r.reporter.Step(bootNow, r.dutyView())
	claimed, era := r.reporter.Claimed()
	r.claims.Store(&claimState{claimed, era})
	switch action := action.(type) {
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
	view := duty.View{
		FleetTime: r.fleetTime(), KnownFrom: r.reporter.WindowAt(r.table.HistoryFrom(now)), Reported: *r.reported.Load(), Era: r.storeEra(),
	}
	for _, row := range r.table.Live(now) {
		if !row.GetLeaving() {
			view.Live = append(view.Live, duty.Member{Node: id.Node(row.GetNode()), Incarnation: id.Incarnation(row.GetIncarnation())})
		}
	}
	for _, row := range r.table.Rows() {
		view.Reported = view.Reported.Union(duty.WindowSet{Newest: duty.Window(row.GetReportedWindow()), Before: row.GetReportedBefore()})
	}
	r.reported.Store(&view.Reported)
	view.Unclaimed = func(w duty.Window) bool {
		return !slices.ContainsFunc(r.table.Rows(), func(row *peer.Row) bool {
			claimed := duty.WindowSet{Newest: duty.Window(row.GetClaimedWindow()), Before: row.GetClaimedBefore()}
			isOther := row.GetNode() != string(r.table.Self().Node) || row.GetIncarnation() != uint64(r.table.Self().Incarnation)
			return isOther && (feed.Era(row.GetStoreEra()) < view.Era || claimed.Has(w))
		})
	}
	view.WindowCounts = func(w duty.Window) (duty.Counts, bool) {
		return sumUsage(r.table, now, w, time.Unix(0, int64(w+1)*int64(r.cfg.WindowLength)))
	}
	return view
}

// readClaims reads the claims that are new on the topic.
func (r *reportDriver) readClaims(ctx context.Context, action *duty.ReadClaims) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claims, end, err := r.claimLog.Read(ctx, action.From)
	var otherEra *feed.EraError
	if errors.As(err, &otherEra) {
		_ = r.logger.Log("event", "duty_era", "from", otherEra.Expected, "to", otherEra.Actual, "call", "read")
		return nil // the next view has the era
	}
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
	err := r.claimLog.Append(ctx, action.ExpectedEnd, action.Claim)
	var conflict *duty.ConflictError
	if err != nil {
		r.reporter.RequireReread()
		if errors.As(err, &conflict) {
			_ = r.logger.Log("event", "duty_claim_lost", "at", action.ExpectedEnd, "end", conflict.End)
			return nil
		}
		var otherEra *feed.EraError
		if errors.As(err, &otherEra) {
			_ = r.logger.Log("event", "duty_era", "from", otherEra.Expected, "to", otherEra.Actual, "call", "append")
			return nil // the next view has the era
		}
		return r.logFailure("append", err)
	}
	claim := *action.Claim
	claim.Position = action.ExpectedEnd
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
