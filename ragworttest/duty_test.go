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

func TestReportFaults(t *testing.T) {
	report := func(name string, window int64, term id.Term, by id.Node, tokens id.Tokens) standin.ReportSeen {
		return standin.ReportSeen{Taken: true, Report: hosting.UsageReport{
			ID: name, WindowStart: time.Unix(window, 0), FencingNumber: term, ReportedBy: by, Lines: []hosting.UsageLine{{OutputTokens: tokens}},
		}}
	}
	cases := []struct {
		name   string
		seen   []standin.ReportSeen
		faults int
	}{
		{"repeated by a successor", []standin.ReportSeen{report("r", 1, 1, "a", 5), report("r", 1, 2, "b", 5)}, 0},
		{"other figures", []standin.ReportSeen{report("r", 1, 1, "a", 5), report("r", 1, 1, "a", 6)}, 1},
		{"other id", []standin.ReportSeen{report("r", 1, 1, "a", 5), report("q", 1, 1, "a", 5)}, 1},
		{"one term, two processes", []standin.ReportSeen{report("r", 1, 1, "a", 5), report("q", 2, 1, "b", 5)}, 1},
		{"an older term later", []standin.ReportSeen{report("r", 1, 2, "a", 5), report("q", 2, 1, "b", 5)}, 1},
		{"an older term refused", []standin.ReportSeen{report("r", 1, 2, "a", 5), {Report: hosting.UsageReport{FencingNumber: 1}}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Len(t, ragworttest.ReportFaults(c.seen), c.faults)
		})
	}
}
