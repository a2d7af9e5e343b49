package operator

// This file defines how operators query usage.

import (
	"context"
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// WindowState is the state of a usage window.
type WindowState string

// The states of a window.
const (
	WindowOpen     WindowState = "open"     // more usage may be added
	WindowClosed   WindowState = "closed"   // final, but the platform has not acknowledged its report yet
	WindowReported WindowState = "reported" // the platform has acknowledged its report
)

// WindowUsage is the usage in one window. The lines of an open window are the sum of
// what has been appended to the log so far.
type WindowUsage struct {
	Window time.Time           `json:"window_start"`
	State  WindowState         `json:"state"`
	Report string              `json:"report_id,omitempty"`
	Lines  []hosting.UsageLine `json:"lines"`
}

// UsageFilter selects windows and lines. A zero field selects all.
type UsageFilter struct {
	Window    time.Time // start of the window; fractions of a second are ignored
	Workspace id.Workspace
}

// Usage returns the windows that the state still holds: first the closed ones, then the
// open ones, each in ascending order. Windows without a selected line are left out.
func (c *Client) Usage(ctx context.Context, f UsageFilter) ([]WindowUsage, error) {
	s, err := c.UsageState(ctx)
	if err != nil {
		return nil, err
	}
	all := []WindowUsage{}
	for _, closed := range s.Usage.Closed() {
		state := WindowClosed
		if closed.Reported {
			state = WindowReported
		}
		all = f.add(all, usage.Window(closed.Record.GetWindowUnixS()), state, closed.Record.GetReport(), closed.Record.GetLines())
	}
	windows, lines := s.Usage.Open()
	for i, w := range windows {
		all = f.add(all, w, WindowOpen, "", lines[i].ToWire())
	}
	return all, nil
}

// add appends a window with its selected lines, unless none is selected.
func (f UsageFilter) add(all []WindowUsage, w usage.Window, s WindowState, report string, lines []*ragwortv1.UsageLine) []WindowUsage {
	if !f.Window.IsZero() && f.Window.Unix() != int64(w) {
		return all
	}
	window := WindowUsage{Window: w.Start(), State: s, Report: report}
	for _, l := range usage.ReportLines(lines) {
		if f.Workspace == "" || l.Workspace == f.Workspace {
			window.Lines = append(window.Lines, l)
		}
	}
	if len(window.Lines) == 0 {
		return all
	}
	return append(all, window)
}
