// Package usage counts what was delivered and bills it once.
//
// Meter is an entry's count of what it has delivered and not yet put on the log.
// Ledger is the fold of the usage records: open figures by window, and closed
// windows until they are reported. Decide is what the holder of the usage lease
// does next: close a window, or report a closed one.
package usage

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Window is the start of a usage window, in Unix seconds.
type Window int64

// WindowAt returns the window of the given length that holds now.
func WindowAt(now time.Time, length time.Duration) Window {
	return Window(now.Truncate(length).Unix())
}

// Start returns the time at which the window starts.
func (w Window) Start() time.Time { return time.Unix(int64(w), 0).UTC() }

// LineKey says whose use is counted, and of what.
type LineKey struct {
	Workspace id.Workspace
	Class     id.Class
	Model     id.Model // empty: a plain service
}

// Counts is an amount of use.
type Counts struct {
	Requests     uint64
	PromptTokens id.Tokens
	OutputTokens id.Tokens
}

// Add returns the sum of both.
func (f Counts) Add(g Counts) Counts {
	return Counts{
		Requests:     f.Requests + g.Requests,
		PromptTokens: f.PromptTokens + g.PromptTokens,
		OutputTokens: f.OutputTokens + g.OutputTokens,
	}
}

// Lines are figures by line.
type Lines map[LineKey]Counts

// Add adds figures to a line.
func (l Lines) Add(to LineKey, f Counts) { l[to] = l[to].Add(f) }

// AddAll adds every line of m.
func (l Lines) AddAll(m Lines) {
	for line, f := range m {
		l.Add(line, f)
	}
}

// Total returns the sum over all lines.
func (l Lines) Total() Counts {
	var sum Counts
	for _, f := range l {
		sum = sum.Add(f)
	}
	return sum
}

// ToWire returns the lines in the order of workspace, class and model.
func (l Lines) ToWire() []*ragwortv1.UsageLine {
	lines := make([]*ragwortv1.UsageLine, 0, len(l))
	for line, f := range l {
		lines = append(lines, &ragwortv1.UsageLine{
			Workspace: string(line.Workspace), Class: string(line.Class), Model: string(line.Model),
			Requests: f.Requests, PromptTokens: uint64(f.PromptTokens), OutputTokens: uint64(f.OutputTokens),
		})
	}
	slices.SortFunc(lines, func(a, b *ragwortv1.UsageLine) int {
		return cmp.Or(cmp.Compare(a.GetWorkspace(), b.GetWorkspace()), cmp.Compare(a.GetClass(), b.GetClass()),
			cmp.Compare(a.GetModel(), b.GetModel()))
	})
	return lines
}

// FromWire returns the sum of the lines of a record.
func FromWire(lines []*ragwortv1.UsageLine) Lines {
	l := make(Lines, len(lines))
	for _, u := range lines {
		l.Add(LineKey{Workspace: id.Workspace(u.GetWorkspace()), Class: id.Class(u.GetClass()), Model: id.Model(u.GetModel())},
			Counts{Requests: u.GetRequests(), PromptTokens: id.Tokens(u.GetPromptTokens()), OutputTokens: id.Tokens(u.GetOutputTokens())})
	}
	return l
}

// ReportLines returns the lines in the form of the platform's interface.
func ReportLines(lines []*ragwortv1.UsageLine) []hosting.UsageLine {
	out := make([]hosting.UsageLine, len(lines))
	for i, u := range lines {
		out[i] = hosting.UsageLine{
			Workspace: id.Workspace(u.GetWorkspace()), Class: id.Class(u.GetClass()), Model: id.Model(u.GetModel()),
			Requests: u.GetRequests(), PromptTokens: id.Tokens(u.GetPromptTokens()), OutputTokens: id.Tokens(u.GetOutputTokens()),
		}
	}
	return out
}
