package usage

// This file defines Decide, what the holder of the usage lease does next.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Schedule is when windows are closed.
type Schedule struct {
	WindowLength time.Duration // of a window
	GracePeriod  time.Duration // after the end of a window, for what entries have not appended yet
}

// Action is what to do next: *CloseWindow, *SendReport or *Wait.
type Action interface{ decision() }

// CloseWindow asks to append the close of a window with these lines.
type CloseWindow struct {
	Window Window
	Lines  Lines
}

// SendReport asks to report a closed window and to note the acknowledgement.
type SendReport struct{ Closed *ragwortv1.WindowClosed }

// Wait says that nothing is due.
type Wait struct{}

func (*CloseWindow) decision() {}
func (*SendReport) decision()  {}
func (*Wait) decision()        {}

// NextAction returns what is due at now: first the oldest closed window that was not
// reported, then the oldest window that can be closed.
func NextAction(now time.Time, l *Ledger, s Schedule) Action {
	for _, c := range l.Closed() {
		if !c.Reported {
			return &SendReport{Closed: c.Record}
		}
	}
	windows, _ := l.Open()
	if len(windows) == 0 {
		return &Wait{}
	}
	w := windows[0]
	if last, ok := l.LastClosed(); ok && w <= last {
		w = windowAfter(last, s.WindowLength) // late use goes to a later window
	}
	if now.Before(w.Start().Add(s.WindowLength + s.GracePeriod)) {
		return &Wait{}
	}
	return &CloseWindow{Window: w, Lines: l.Unbilled(w)}
}

func windowAfter(w Window, length time.Duration) Window {
	return w + Window(length/time.Second)
}
