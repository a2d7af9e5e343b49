package operator

// This file defines what operators see of usage.

import (
	"context"
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// WindowState is how far a usage window is along.
type WindowState string

// The states of a window.
const (
	WindowOpen     WindowState = "open"     // counted, and may still grow
	WindowClosed   WindowState = "closed"   // fixed, and not acknowledged by the platform yet
	WindowReported WindowState = "reported" // acknowledged
)

// WindowUsage is the use in one window. The lines of an open window are what has
// been put on the log so far.
type WindowUsage struct {
	Window time.Time           `json:"window_start"`
	State  WindowState         `json:"state"`
	Report string              `json:"report_id,omitempty"`
	Lines  []hosting.UsageLine `json:"lines"`
}

// UsageFilter chooses windows and lines; a zero field chooses all.
type UsageFilter struct {
	Window    time.Time // any time within the window's start second
	Workspace id.Workspace
}

// Usage returns the windows that the log's fold still holds, in rising order, the
// closed ones first. Windows without a chosen line are left out.
func (o *Client) Usage(ctx context.Context, f UsageFilter) ([]WindowUsage, error) {
	s, err := o.UsageState(ctx)
	if err != nil {
		return nil, err
	}
	all := []WindowUsage{}
	for _, c := range s.Usage.Closed() {
		state := WindowClosed
		if c.Reported {
			state = WindowReported
		}
		all = f.add(all, usage.Window(c.Record.GetWindowUnixS()), state, c.Record.GetReport(), c.Record.GetLines())
	}
	windows, lines := s.Usage.Open()
	for i, w := range windows {
		all = f.add(all, w, WindowOpen, "", lines[i].ToWire())
	}
	return all, nil
}

// add appends a window if the filter chooses it.
func (f UsageFilter) add(all []WindowUsage, w usage.Window, s WindowState, report string, lines []*ragwortv1.UsageLine) []WindowUsage {
	if !f.Window.IsZero() && f.Window.Unix() != int64(w) {
		return all
	}
	u := WindowUsage{Window: w.Start(), State: s, Report: report}
	for _, l := range usage.ReportLines(lines) {
		if f.Workspace == "" || l.Workspace == f.Workspace {
			u.Lines = append(u.Lines, l)
		}
	}
	if len(u.Lines) == 0 {
		return all
	}
	return append(all, u)
}
