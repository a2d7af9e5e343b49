package ragworttest

// This file defines what tests ask about leases, orders and usage reports. The
// checkers look only at what the platform saw.

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

// Grant returns the last grant of a duty on the log.
func (f *Fleet) Grant(duty id.Duty) lease.Grant {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), Patience)
	defer cancel()
	read := f.Operator.State
	if duty == id.DutyUsage {
		read = f.Operator.UsageState
	}
	s, err := read(ctx)
	require.NoError(f.t, err)
	return s.Leases.Grant(duty)
}

// fencing is who called an interface, in the order of the calls that were taken.
type fencing struct {
	highest id.Term
	by      map[id.Term]id.Node
	faults  []string
}

// take notes a taken call. A lower term after a higher one, or one term used by two
// processes, means that two processes believed they were in charge.
func (f *fencing) take(what string, term id.Term, by id.Node) {
	if term < f.highest {
		f.faults = append(f.faults, fmt.Sprintf("%s: taken from %s with term %d after term %d", what, by, term, f.highest))
	}
	f.highest = max(f.highest, term)
	if other, ok := f.by[term]; ok && other != by {
		f.faults = append(f.faults, fmt.Sprintf("%s: term %d used by %s and %s", what, term, other, by))
	}
	f.by[term] = by
}

// OrderFaults names every sign that two processes gave orders at once.
func OrderFaults(seen []standin.OrderSeen) []string {
	f := &fencing{by: make(map[id.Term]id.Node)}
	for _, o := range seen {
		if o.Taken {
			f.take("order "+string(o.Order.ID), o.Order.FencingNumber, o.Order.OrderedBy)
		}
	}
	return f.faults
}

// ReportFaults names every sign that two processes reported at once, and every
// window that was reported with different figures or under two ids.
func ReportFaults(seen []standin.ReportSeen) []string {
	f := &fencing{by: make(map[id.Term]id.Node)}
	first := make(map[int64]hosting.UsageReport)
	for _, r := range seen {
		if !r.Taken {
			continue
		}
		f.take("report "+r.Report.ID, r.Report.FencingNumber, r.Report.ReportedBy)
		w := r.Report.WindowStart.Unix()
		old, ok := first[w]
		if !ok {
			first[w] = r.Report
			continue
		}
		if old.ID != r.Report.ID || !reflect.DeepEqual(old.Lines, r.Report.Lines) {
			f.faults = append(f.faults, fmt.Sprintf("window %d: reported as %s and differently as %s", w, old.ID, r.Report.ID))
		}
	}
	return f.faults
}

// Reported returns the sum of all taken reports by workspace, each report id once.
func Reported(seen []standin.ReportSeen) map[id.Workspace]usage.Counts {
	sum := make(map[id.Workspace]usage.Counts)
	counted := make(map[string]bool)
	for _, r := range seen {
		if !r.Taken || counted[r.Report.ID] {
			continue
		}
		counted[r.Report.ID] = true
		for _, l := range r.Report.Lines {
			sum[l.Workspace] = sum[l.Workspace].Add(usage.Counts{Requests: l.Requests, PromptTokens: l.PromptTokens, OutputTokens: l.OutputTokens})
		}
	}
	return sum
}
