package gateway

// This file defines useCounter, the requests that began at upstreams, by usage window
// and workspace.

import (
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/duty"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// useCounter implements Meter. It is safe for concurrent use.
type useCounter struct {
	length time.Duration
	true   func() time.Time // the time of day by most clocks

	mu      sync.Mutex
	windows map[duty.Window]duty.Counts
}

var _ UsageMeter = (*useCounter)(nil)

func newUseCounter(length time.Duration, truth func() time.Time) *useCounter {
	return &useCounter{length: length, true: truth, windows: make(map[duty.Window]duty.Counts)}
}

func (u *useCounter) at(t time.Time) duty.Window {
	return duty.Window(t.UnixNano() / int64(u.length))
}

// CountRequest implements Meter.
func (u *useCounter) CountRequest(ago time.Duration, w id.Workspace) {
	if w == "" {
		return // a public route's request is nobody's use
	}
	window := u.at(u.true().Add(-ago))
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.windows[window] == nil {
		u.windows[window] = make(duty.Counts)
	}
	u.windows[window][w]++
}

// rows returns what began in the windows whose report may still be made: those after the
// newest that is reported, as far back as reports go.
func (u *useCounter) rows(reported duty.Window) []*ragwortv1.WindowUse {
	oldest := max(u.at(u.true())-duty.Backlog, reported+1)
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []*ragwortv1.WindowUse
	for window, counts := range u.windows {
		if window < oldest {
			delete(u.windows, window)
			continue
		}
		use := &ragwortv1.WindowUse{Window: int64(window), Requests: make(map[string]uint64, len(counts))}
		for w, n := range counts {
			use.Requests[string(w)] = n
		}
		out = append(out, use)
	}
	return out
}

// sumUse adds up what every incarnation, also those that have ended, says of a
// window. All reports whether every gateway alive has counted to the window's end.
func sumUse(t *peer.Table, now time.Time, window duty.Window, end time.Time) (sum duty.Counts, all bool) {
	sum = make(duty.Counts)
	for _, r := range t.Rows() {
		for _, use := range r.GetUse() {
			if duty.Window(use.GetWindow()) != window {
				continue
			}
			for w, n := range use.GetRequests() {
				sum[id.Workspace(w)] += n
			}
		}
	}
	for _, r := range t.Live(now) {
		if time.UnixMilli(r.GetCountedToUnixMs()).Before(end) {
			return sum, false
		}
	}
	return sum, true
}
