package bench

// This file defines Usage, which holds the reports that the platform took against
// what callers received.

import (
	"context"
	"reflect"
	"time"

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
	Off       int64 `json:"tokens_off"`       // sum over workspaces of what was reported too much or too little
}

// AccountUsage sums usage reports; nil if none came.
func AccountUsage(seen []standin.ReceivedReport, results []*Result) *Usage {
	if len(seen) == 0 {
		return nil
	}
	u := &Usage{}
	off := make(map[id.Workspace]int64)
	first := make(map[string]int)
	differing := make(map[string]bool)
	for i, s := range seen {
		if !s.Accepted {
			continue
		}
		u.Reports++
		j, again := first[s.Report.ID]
		if !again {
			first[s.Report.ID] = i
			for _, l := range s.Report.Lines {
				u.Reported += int64(l.OutputTokens)
				off[l.Workspace] += int64(l.OutputTokens)
			}
			continue
		}
		if !reflect.DeepEqual(seen[j].Report.Lines, s.Report.Lines) {
			differing[s.Report.ID] = true
		}
	}
	u.Windows, u.Differing = len(first), len(differing)
	for _, x := range results {
		u.Delivered += int64(x.Tokens)
		off[x.Arrival.Workspace] -= int64(x.Tokens)
	}
	for _, n := range off {
		u.Off += max(n, -n)
	}
	return u
}

const usagePoll = 200 * time.Millisecond

// AwaitUsage waits until the reports hold every delivered token, or until ctx is done.
func AwaitUsage(ctx context.Context, seen func() []standin.ReceivedReport, results []*Result) {
	for {
		if u := AccountUsage(seen(), results); u != nil && u.Off == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(usagePoll):
		}
	}
}
