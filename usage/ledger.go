package usage

// This file defines Ledger, the fold of the usage records.
//
// Windows are closed in rising order. A close of window w takes everything that
// was counted for w or an earlier window and that no earlier close holds; so use
// that is counted after its window was closed is billed with the next window that
// is closed, whatever the length of the windows. The fold recomputes the figures
// and refuses a close that differs: use counted between the reading of the
// figures and the close would otherwise be lost.

import (
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// keepReported is how many reported windows keep their figures, for operators.
const keepReported = 16

// ClosedWindow is a closed window.
type ClosedWindow struct {
	Record   *ragwortv1.WindowClosed // never changed
	Reported bool
}

// Ledger is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	open   map[Window]Lines
	closed []ClosedWindow // in rising order; the last one is never dropped
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{open: make(map[Window]Lines)} }

// ApplyCounted folds use.
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

// ApplyClosed folds the close of a window by the holder of the current term. The first
// close wins.
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
	due := l.due(w)
	if len(due) == 0 || !maps.Equal(due, FromWire(r.GetLines())) {
		return false
	}
	maps.DeleteFunc(l.open, func(o Window, _ Lines) bool { return o <= w })
	l.closed = append(l.closed, ClosedWindow{Record: r})
	return true
}

// ApplyReported folds the platform's acknowledgement of a report, whoever saw it.
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

// prune drops reported windows beyond those kept. The caller holds the lock.
func (l *Ledger) prune() {
	over := len(l.closed) - keepReported
	for i := 0; i < len(l.closed)-1 && over > 0; {
		if l.closed[i].Reported {
			l.closed = slices.Delete(l.closed, i, i+1)
			over--
		} else {
			i++
		}
	}
}

func (l *Ledger) lastClosed() (Window, bool) {
	if len(l.closed) == 0 {
		return 0, false
	}
	return Window(l.closed[len(l.closed)-1].Record.GetWindowUnixS()), true
}

// due returns what a close of w would hold. The caller holds the lock.
func (l *Ledger) due(w Window) Lines {
	sum := make(Lines)
	for o, lines := range l.open {
		if o <= w {
			sum.AddAll(lines)
		}
	}
	return sum
}

// Unbilled returns the lines that a close of w would hold now.
func (l *Ledger) Unbilled(w Window) Lines {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.due(w)
}

// LastClosed returns the newest closed window; ok is false if there is none.
func (l *Ledger) LastClosed() (w Window, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastClosed()
}

// Open returns the open windows in rising order, each with a copy of its lines.
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

// Closed returns the closed windows that are kept, in rising order.
func (l *Ledger) Closed() []ClosedWindow {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.closed)
}

// Snapshot writes the ledger onto s: closed windows, then open ones, both rising.
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

// Restore replaces the ledger by what Snapshot wrote.
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
