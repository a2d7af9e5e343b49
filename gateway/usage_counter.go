package gateway

// This file defines usageCounter, which counts the requests that upstreams have started
// to run, by usage window and workspace.

import (
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/duty"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// usageCounter implements UsageMeter. It is safe for concurrent use.
type usageCounter struct {
	windowLength time.Duration    // of a usage window
	fleetTime    func() time.Time // time of day by the median clock of the fleet

	mu      sync.Mutex
	windows map[duty.Window]duty.Counts
}

var _ UsageMeter = (*usageCounter)(nil)

func newUsageCounter(windowLength time.Duration, fleetTime func() time.Time) *usageCounter {
	return &usageCounter{windowLength: windowLength, fleetTime: fleetTime, windows: make(map[duty.Window]duty.Counts)}
}

// windowAt returns the usage window that contains t, or 0 if the length of windows is not set, as of a
// gateway that does not report usage.
func (u *usageCounter) windowAt(t time.Time) duty.Window {
	if u.windowLength == 0 {
		return 0
	}
	return duty.Window(t.UnixNano() / int64(u.windowLength))
}

// CountRequest implements UsageMeter.
func (u *usageCounter) CountRequest(age time.Duration, w id.Workspace) {
	if w == "" || u.windowLength == 0 {
		return // a request on a public route belongs to no workspace
	}
	window := u.windowAt(u.fleetTime().Add(-age))
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.windows[window] == nil {
		u.windows[window] = make(duty.Counts)
	}
	u.windows[window][w]++
}

// unreportedWindows returns the counts of the windows that may still be reported: those
// that are not in reported, at most duty.BacklogWindows windows back. It deletes the counts
// of all others.
func (u *usageCounter) unreportedWindows(reported duty.WindowSet) []*ragwortv1.WindowUse {
	oldest := u.windowAt(u.fleetTime()) - duty.BacklogWindows
	u.mu.Lock()
	defer u.mu.Unlock()
	var unreported []*ragwortv1.WindowUse
	for window, counts := range u.windows {
		if window < oldest || reported.Has(window) {
			delete(u.windows, window)
			continue
		}
		use := &ragwortv1.WindowUse{Window: int64(window), Requests: make(map[string]uint64, len(counts))}
		for w, n := range counts {
			use.Requests[string(w)] = n
		}
		unreported = append(unreported, use)
	}
	return unreported
}

// sumUsage returns the sum of a window's counts over all incarnations of all gateways,
// ended ones included. Complete reports whether every live gateway has counted to the
// end of the window.
func sumUsage(t *peer.Table, now time.Time, window duty.Window, end time.Time) (sum duty.Counts, complete bool) {
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
