package usage

// This file defines NextAction, which decides what the holder of the usage lease does
// next.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Schedule determines when windows are closed.
type Schedule struct {
	WindowLength time.Duration
	GracePeriod  time.Duration // from the end of a window to its close, for usage that entries have yet to append
}

// Action is what to do next: *CloseWindow, *SendReport or *Wait.
type Action interface{ action() }

// CloseWindow means that a WindowClosed record with these lines must be appended.
type CloseWindow struct {
	Window Window
	Lines  Lines
}

// SendReport means that a closed window must be reported to the platform, and that the
// platform's acknowledgement must be appended as a WindowReported record.
type SendReport struct{ Closed *ragwortv1.WindowClosed }

// Wait means that nothing is due.
type Wait struct{}

func (*CloseWindow) action() {}
func (*SendReport) action()  {}
func (*Wait) action()        {}

// NextAction returns the action that is due at now: to report the oldest closed window
// that was not reported, or else to close the oldest window that can be closed.
func NextAction(now time.Time, ledger *Ledger, schedule Schedule) Action {
	for _, c := range ledger.Closed() {
		if !c.Reported {
			return &SendReport{Closed: c.Record}
		}
	}
	windows, _ := ledger.Open()
	if len(windows) == 0 {
		return &Wait{}
	}
	w := windows[0]
	if last, ok := ledger.LastClosed(); ok && w <= last {
		w = windowAfter(last, schedule.WindowLength) // usage counted late is billed with a later window
	}
	if now.Before(w.Start().Add(schedule.WindowLength + schedule.GracePeriod)) {
		return &Wait{}
	}
	return &CloseWindow{Window: w, Lines: ledger.Unbilled(w)}
}

// windowAfter returns the window that follows w.
func windowAfter(w Window, length time.Duration) Window {
	return w + Window(length/time.Second)
}
