package usage

// This file defines Ledger, the state that results from the usage records of the log.
//
// Windows are closed in ascending order. Closing window w bills everything that was
// counted for w or earlier windows and not billed yet. Usage that is counted after its
// window was closed is therefore billed with the next window that is closed, whatever
// the length of the windows. Ledger recomputes the lines and rejects a close whose
// lines differ. Otherwise usage that is counted after the closer has read the lines
// and before its record reaches the log would be lost.

import (
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// maxKeptWindows is the number of closed windows beyond which the oldest reported ones
// are dropped. Reported windows are kept for operators to look at.
const maxKeptWindows = 16

// ClosedWindow is a closed window with its report.
type ClosedWindow struct {
	Record   *ragwortv1.WindowClosed // must not be modified
	Reported bool                    // the platform has acknowledged the report
}

// Ledger holds the open windows, and the closed windows until some time after they
// are reported. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	open   map[Window]Lines
	closed []ClosedWindow // in ascending order; the last one is never dropped
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{open: make(map[Window]Lines)} }

// ApplyCounted adds counted usage to its window. It reports false if the record has no
// lines.
func (l *Ledger) ApplyCounted(r *ragwortv1.UsageCounted) bool {
	if len(r.GetLines()) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := Window(r.GetWindowUnixS())
	if l.open[w] == nil {
		l.open[w] = make(Lines)
	}
	l.open[w].AddAll(FromWire(r.GetLines()))
	return true
}

// ApplyClosed closes a window and reports whether the close was accepted. The argument
// current says whether the record carries the current term of the usage lease. Only the
// first close of a window is accepted, and only if its lines are those not billed yet.
func (l *Ledger) ApplyClosed(offset id.Offset, r *ragwortv1.WindowClosed, current bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := Window(r.GetWindowUnixS())
	if !current || id.Offset(r.GetUpToOffset()) >= offset || r.GetReport() == "" {
		return false
	}
	if last, ok := l.lastClosed(); ok && w <= last {
		return false
	}
	unbilled := l.unbilled(w)
	if len(unbilled) == 0 || !maps.Equal(unbilled, FromWire(r.GetLines())) {
		return false
	}
	maps.DeleteFunc(l.open, func(o Window, _ Lines) bool { return o <= w })
	l.closed = append(l.closed, ClosedWindow{Record: r})
	return true
}

// ApplyReported marks a window as reported, whichever process received the platform's
// acknowledgement. It reports false if no such report is outstanding.
func (l *Ledger) ApplyReported(r *ragwortv1.WindowReported) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, c := range l.closed {
		if c.Record.GetReport() == r.GetReport() && c.Record.GetWindowUnixS() == r.GetWindowUnixS() && !c.Reported {
			l.closed[i].Reported = true
			l.prune()
			return true
		}
	}
	return false
}

// prune drops the oldest reported windows while more than maxKeptWindows are closed, but
// never the last closed one. The caller must hold l.mu.
func (l *Ledger) prune() {
	excess := len(l.closed) - maxKeptWindows
	for i := 0; i < len(l.closed)-1 && excess > 0; {
		if l.closed[i].Reported {
			l.closed = slices.Delete(l.closed, i, i+1)
			excess--
		} else {
			i++
		}
	}
}

// lastClosed is LastClosed for callers that hold l.mu.
func (l *Ledger) lastClosed() (Window, bool) {
	if len(l.closed) == 0 {
		return 0, false
	}
	return Window(l.closed[len(l.closed)-1].Record.GetWindowUnixS()), true
}

// unbilled is Unbilled for callers that hold l.mu.
func (l *Ledger) unbilled(upTo Window) Lines {
	sum := make(Lines)
	for o, lines := range l.open {
		if o <= upTo {
			sum.AddAll(lines)
		}
	}
	return sum
}

// Unbilled returns the sum of the lines up to window upTo that no close has billed.
func (l *Ledger) Unbilled(upTo Window) Lines {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unbilled(upTo)
}

// LastClosed returns the newest closed window; ok is false if there is none.
func (l *Ledger) LastClosed() (w Window, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastClosed()
}

// Open returns the open windows in ascending order, each with a copy of its lines.
func (l *Ledger) Open() ([]Window, []Lines) {
	l.mu.Lock()
	defer l.mu.Unlock()
	windows := slices.Sorted(maps.Keys(l.open))
	lines := make([]Lines, len(windows))
	for i, w := range windows {
		lines[i] = maps.Clone(l.open[w])
	}
	return windows, lines
}

// Closed returns the closed windows that are kept, in ascending order.
func (l *Ledger) Closed() []ClosedWindow {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.closed)
}

// Snapshot writes the ledger to s: closed windows, then open ones, both in ascending
// order.
func (l *Ledger) Snapshot(s *ragwortv1.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Windows = nil
	for _, c := range l.closed {
		s.Windows = append(s.Windows, &ragwortv1.WindowState{
			WindowUnixS: c.Record.GetWindowUnixS(), Closed: proto.CloneOf(c.Record), Reported: c.Reported,
		})
	}
	for _, w := range slices.Sorted(maps.Keys(l.open)) {
		s.Windows = append(s.Windows, &ragwortv1.WindowState{WindowUnixS: int64(w), OpenLines: l.open[w].ToWire()})
	}
}

// Restore replaces the ledger's content with that of a snapshot.
func (l *Ledger) Restore(s *ragwortv1.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = nil
	clear(l.open)
	for _, w := range s.GetWindows() {
		if w.GetClosed() != nil {
			l.closed = append(l.closed, ClosedWindow{Record: proto.CloneOf(w.GetClosed()), Reported: w.GetReported()})
			continue
		}
		l.open[Window(w.GetWindowUnixS())] = FromWire(w.GetOpenLines())
	}
}
