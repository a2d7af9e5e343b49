package bench

// This file defines UsageTotals, which compares the usage reports that the platform
// accepted with the tokens that callers received.

import (
	"context"
	"reflect"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// UsageTotals compares usage reports with delivered tokens.
type UsageTotals struct {
	Reports          int   `json:"reports"`   // accepted
	Windows          int   `json:"windows"`   // distinct report IDs, one for each window
	DifferingWindows int   `json:"differing"` // windows reported with more than one set of counts
	ReportedTokens   int64 `json:"reported_tokens"`
	DeliveredTokens  int64 `json:"delivered_tokens"` // to all calls, warm-up included
	Deviation        int64 `json:"tokens_off"`       // sum over workspaces of |reported - delivered|
}

// NewUsageTotals sums the accepted usage reports and compares them with the results.
// It returns nil if the platform received no report.
func NewUsageTotals(reports []standin.ReceivedReport, results []*Result) *UsageTotals {
	if len(reports) == 0 {
		return nil
	}
	u := &UsageTotals{}
	deviation := make(map[id.Workspace]int64)
	firstReports := make(map[string]int)
	differing := make(map[string]bool)
	for i, s := range reports {
		if !s.Accepted {
			continue
		}
		u.Reports++
		j, known := firstReports[s.Report.ID]
		if !known {
			firstReports[s.Report.ID] = i
			for _, l := range s.Report.Lines {
				u.ReportedTokens += int64(l.OutputTokens)
				deviation[l.Workspace] += int64(l.OutputTokens)
			}
			continue
		}
		if !reflect.DeepEqual(reports[j].Report.Lines, s.Report.Lines) {
			differing[s.Report.ID] = true
		}
	}
	u.Windows, u.DifferingWindows = len(firstReports), len(differing)
	for _, x := range results {
		u.DeliveredTokens += int64(x.Tokens)
		deviation[x.Arrival.Workspace] -= int64(x.Tokens)
	}
	for _, n := range deviation {
		u.Deviation += max(n, -n)
	}
	return u
}

const usagePollInterval = 200 * time.Millisecond

// WaitForUsage waits until the reports hold every delivered token, or until ctx is
// done.
func WaitForUsage(ctx context.Context, reports func() []standin.ReceivedReport, results []*Result) {
	for {
		if u := NewUsageTotals(reports(), results); u != nil && u.Deviation == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(usagePollInterval):
		}
	}
}
