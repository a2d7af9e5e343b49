package ragworttest

// This file defines checks of leases, orders and usage reports. They rely only on the log and
// on the calls that the platform has received.

import (
	"context"
	"fmt"
	"reflect"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/usage"
)

// LastGrant returns the last lease on the log that was granted for a duty.
func (f *Fleet) LastGrant(duty id.Duty) lease.Grant {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), WaitTimeout)
	defer cancel()
	read := f.Operator.State
	if duty == id.DutyUsage {
		read = f.Operator.UsageState
	}
	s, err := read(ctx)
	require.NoError(f.t, err)
	return s.Leases.Grant(duty)
}

// fencingChecker checks the fencing numbers of the calls that an interface has accepted, in
// their order.
type fencingChecker struct {
	highest    id.Term
	nodeByTerm map[id.Term]id.Node
	violations []string
}

// checkCall checks the next accepted call. A lower term after a higher one, or one term used by
// two processes, means that two processes believed at once that they held the lease.
func (f *fencingChecker) checkCall(call string, term id.Term, by id.Node) {
	if term < f.highest {
		f.violations = append(f.violations, fmt.Sprintf("%s: accepted from %s with term %d after term %d", call, by, term, f.highest))
	}
	f.highest = max(f.highest, term)
	if other, ok := f.nodeByTerm[term]; ok && other != by {
		f.violations = append(f.violations, fmt.Sprintf("%s: term %d used by %s and %s", call, term, other, by))
	}
	f.nodeByTerm[term] = by
}

// OrderViolations describes every sign that two processes gave orders at once.
func OrderViolations(orders []standin.ReceivedOrder) []string {
	checker := &fencingChecker{nodeByTerm: make(map[id.Term]id.Node)}
	for _, o := range orders {
		if o.Accepted {
			checker.checkCall("order "+string(o.Order.ID), o.Order.FencingNumber, o.Order.OrderedBy)
		}
	}
	return checker.violations
}

// ReportViolations describes every sign that two processes reported usage at once, and every
// window that was reported with different counts or under two report IDs.
func ReportViolations(reports []standin.ReceivedReport) []string {
	checker := &fencingChecker{nodeByTerm: make(map[id.Term]id.Node)}
	firstReports := make(map[int64]hosting.UsageReport)
	for _, r := range reports {
		if !r.Accepted {
			continue
		}
		checker.checkCall("report "+r.Report.ID, r.Report.FencingNumber, r.Report.ReportedBy)
		window := r.Report.WindowStart.Unix()
		old, ok := firstReports[window]
		if !ok {
			firstReports[window] = r.Report
			continue
		}
		if old.ID != r.Report.ID || !reflect.DeepEqual(old.Lines, r.Report.Lines) {
			checker.violations = append(checker.violations, fmt.Sprintf("window %d: report %s differs from report %s of the same window", window, old.ID, r.Report.ID))
		}
	}
	return checker.violations
}

// ReportedCounts returns the sum of all accepted reports by workspace, each report ID counted
// once.
func ReportedCounts(reports []standin.ReceivedReport) map[id.Workspace]usage.Counts {
	sum := make(map[id.Workspace]usage.Counts)
	counted := make(map[string]bool)
	for _, r := range reports {
		if !r.Accepted || counted[r.Report.ID] {
			continue
		}
		counted[r.Report.ID] = true
		for _, l := range r.Report.Lines {
			sum[l.Workspace] = sum[l.Workspace].Add(usage.Counts{Requests: l.Requests, PromptTokens: l.PromptTokens, OutputTokens: l.OutputTokens})
		}
	}
	return sum
}
