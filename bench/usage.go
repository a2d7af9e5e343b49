package bench

// This file defines Usage, which holds the reports that the platform took against
// what callers received.

import (
	"reflect"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// Usage judges usage reports.
type Usage struct {
	Reports   int   `json:"reports"`   // taken
	Windows   int   `json:"windows"`   // different ones
	Differing int   `json:"differing"` // windows reported with more than one set of figures
	Reported  int64 `json:"reported_tokens"`
	Delivered int64 `json:"delivered_tokens"` // of all calls, warm-up included
}

// AccountUsage sums usage reports; nil if none came.
func AccountUsage(seen []standin.ReportSeen, results []*Result) *Usage {
	if len(seen) == 0 {
		return nil
	}
	u := &Usage{}
	first := make(map[string]int)
	differing := make(map[string]bool)
	for i, s := range seen {
		if !s.Taken {
			continue
		}
		u.Reports++
		j, again := first[s.Report.ID]
		if !again {
			first[s.Report.ID] = i
			u.Reported += int64(outputTokens(s))
			continue
		}
		if !reflect.DeepEqual(seen[j].Report.Lines, s.Report.Lines) {
			differing[s.Report.ID] = true
		}
	}
	u.Windows, u.Differing = len(first), len(differing)
	for _, x := range results {
		u.Delivered += int64(x.Tokens)
	}
	return u
}

func outputTokens(s standin.ReportSeen) id.Tokens {
	sum := id.Tokens(0)
	for _, l := range s.Report.Lines {
		sum += l.OutputTokens
	}
	return sum
}
