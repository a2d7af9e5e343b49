package ragworttest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// TestReportViolations guards against a check of usage reports that misses two processes that
// report at once, or that finds a violation where a successor repeats a report.
func TestReportViolations(t *testing.T) {
	report := func(reportID string, window int64, term id.Term, by id.Node, tokens id.Tokens) standin.ReceivedReport {
		return standin.ReceivedReport{Accepted: true, Report: hosting.UsageReport{
			ID: reportID, WindowStart: time.Unix(window, 0), FencingNumber: term, ReportedBy: by, Lines: []hosting.UsageLine{{OutputTokens: tokens}},
		}}
	}
	cases := []struct {
		name       string
		reports    []standin.ReceivedReport
		violations int
	}{
		{"repeated by a successor", []standin.ReceivedReport{report("r", 1, 1, "a", 5), report("r", 1, 2, "b", 5)}, 0},
		{"different counts", []standin.ReceivedReport{report("r", 1, 1, "a", 5), report("r", 1, 1, "a", 6)}, 1},
		{"different report IDs", []standin.ReceivedReport{report("r", 1, 1, "a", 5), report("q", 1, 1, "a", 5)}, 1},
		{"one term used by two processes", []standin.ReceivedReport{report("r", 1, 1, "a", 5), report("q", 2, 1, "b", 5)}, 1},
		{"older term accepted later", []standin.ReceivedReport{report("r", 1, 2, "a", 5), report("q", 2, 1, "b", 5)}, 1},
		{"older term rejected", []standin.ReceivedReport{report("r", 1, 2, "a", 5), {Report: hosting.UsageReport{FencingNumber: 1}}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Len(t, ragworttest.ReportViolations(c.reports), c.violations)
		})
	}
}
