// Package usage counts delivered requests and tokens, and bills each of them once.
//
// Meter counts what an entry has delivered and not yet appended to the log. Ledger is
// the state that results from the log's usage records: the lines of open windows, and
// closed windows until they are reported. NextAction decides what the holder of the
// usage lease does next: close a window, or report a closed one.
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

// WindowAt returns the window of the given length that contains now.
func WindowAt(now time.Time, length time.Duration) Window {
	return Window(now.Truncate(length).Unix())
}

// Start returns the time at which the window starts.
func (w Window) Start() time.Time { return time.Unix(int64(w), 0).UTC() }

// LineKey identifies a line of usage.
type LineKey struct {
	Workspace id.Workspace
	Class     id.Class
	Model     id.Model // empty: a plain service
}

// Counts is an amount of usage.
type Counts struct {
	Requests     uint64
	PromptTokens id.Tokens
	OutputTokens id.Tokens
}

// Add returns the sum of c and other.
func (c Counts) Add(other Counts) Counts {
	return Counts{
		Requests:     c.Requests + other.Requests,
		PromptTokens: c.PromptTokens + other.PromptTokens,
		OutputTokens: c.OutputTokens + other.OutputTokens,
	}
}

// Lines maps each line's key to its counts.
type Lines map[LineKey]Counts

// Add adds counts to a line.
func (l Lines) Add(key LineKey, counts Counts) { l[key] = l[key].Add(counts) }

// AddAll adds every line of other.
func (l Lines) AddAll(other Lines) {
	for key, counts := range other {
		l.Add(key, counts)
	}
}

// Total returns the sum over all lines.
func (l Lines) Total() Counts {
	var sum Counts
	for _, counts := range l {
		sum = sum.Add(counts)
	}
	return sum
}

// ToWire returns the lines as protobuf messages, sorted by workspace, class and model.
func (l Lines) ToWire() []*ragwortv1.UsageLine {
	lines := make([]*ragwortv1.UsageLine, 0, len(l))
	for key, counts := range l {
		lines = append(lines, &ragwortv1.UsageLine{
			Workspace: string(key.Workspace), Class: string(key.Class), Model: string(key.Model),
			Requests: counts.Requests, PromptTokens: uint64(counts.PromptTokens), OutputTokens: uint64(counts.OutputTokens),
		})
	}
	slices.SortFunc(lines, func(a, b *ragwortv1.UsageLine) int {
		return cmp.Or(cmp.Compare(a.GetWorkspace(), b.GetWorkspace()), cmp.Compare(a.GetClass(), b.GetClass()),
			cmp.Compare(a.GetModel(), b.GetModel()))
	})
	return lines
}

// FromWire returns the lines of a record. Lines with equal keys are added up.
func FromWire(lines []*ragwortv1.UsageLine) Lines {
	l := make(Lines, len(lines))
	for _, u := range lines {
		l.Add(LineKey{Workspace: id.Workspace(u.GetWorkspace()), Class: id.Class(u.GetClass()), Model: id.Model(u.GetModel())},
			Counts{Requests: u.GetRequests(), PromptTokens: id.Tokens(u.GetPromptTokens()), OutputTokens: id.Tokens(u.GetOutputTokens())})
	}
	return l
}

// ReportLines converts the lines to the type that the platform's API uses.
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
