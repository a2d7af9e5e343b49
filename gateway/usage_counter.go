package gateway

// This file defines usageCounter, which counts the requests that upstreams have started
// to run, by usage window and workspace.

import (
	"maps"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/duty"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// usageCounter implements UsageMeter. It is safe for concurrent use.
//
// A gateway that has just started does not know yet how far its clock is off. Requests that it
// has counted of late are moved to other windows when the offset of the clock proves to be
// another one.
type usageCounter struct {
	windowLength time.Duration        // of a usage window
	ownTime      func() time.Time     // by the own clock, which never steps
	clockOffset  func() time.Duration // of the median clock of the fleet from the own one

	mu      sync.Mutex
	windows map[duty.Window]duty.Counts
	offset  time.Duration             // by which the windows of the recent counts were found
	recent  map[recentRequests]uint64 // counts in windows that may be corrected
	pruned  time.Time                 // when recent was last pruned, by the own clock
}

// recentRequests are requests of a workspace that began within one span of correctionStep.
type recentRequests struct {
	began     int64 // in steps since the Unix epoch, by the own clock
	window    duty.Window
	workspace id.Workspace
}

const (
	// minCorrection is the smallest change of the clock offset that moves counts. Smaller
	// ones are errors of measurement.
	minCorrection = 250 * time.Millisecond
	// correctionSpan is how long counts may be moved: the clocks of peers are measured within
	// a few rounds of exchanges.
	correctionSpan = 5 * time.Second
	// correctionStep is the precision of the times by which counts are moved.
	correctionStep = 50 * time.Millisecond
)

var _ UsageMeter = (*usageCounter)(nil)

func newUsageCounter(windowLength time.Duration, ownTime func() time.Time, clockOffset func() time.Duration) *usageCounter {
	return &usageCounter{
		windowLength: windowLength, ownTime: ownTime, clockOffset: clockOffset,
		windows: make(map[duty.Window]duty.Counts), recent: make(map[recentRequests]uint64),
	}
}

// windowAt returns the usage window that contains t, in fleet time, or 0 if the length of windows is
// not set, as of a gateway that does not report usage.
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
	now, offset := u.ownTime(), u.clockOffset()
	began := now.Add(-age)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.correctWindows(now, offset)
	window := u.windowAt(began.Add(offset))
	u.add(window, w, 1)
	u.recent[recentRequests{began.UnixNano() / int64(correctionStep), window, w}]++
}

// add adds requests to a window.
func (u *usageCounter) add(window duty.Window, w id.Workspace, n uint64) {
	if u.windows[window] == nil {
		u.windows[window] = make(duty.Counts)
	}
	u.windows[window][w] += n
}

// correctWindows moves the recent counts to the windows that they belong to by the present
// offset of the clock, if that has changed. A window that is no longer kept was reported with
// its counts, and they are counted in their own window all the same.
func (u *usageCounter) correctWindows(now time.Time, offset time.Duration) {
	if now.Sub(u.pruned) >= time.Second {
		oldest := now.Add(-correctionSpan).UnixNano() / int64(correctionStep)
		maps.DeleteFunc(u.recent, func(r recentRequests, _ uint64) bool { return r.began < oldest })
		u.pruned = now
	}
	if (offset - u.offset).Abs() < minCorrection {
		return
	}
	u.offset = offset
	moved := make(map[recentRequests]uint64, len(u.recent))
	for r, n := range u.recent {
		if window := u.windowAt(time.Unix(0, r.began*int64(correctionStep)).Add(offset)); window != r.window {
			if counts, kept := u.windows[r.window]; kept {
				counts[r.workspace] -= min(n, counts[r.workspace])
				maps.DeleteFunc(counts, func(_ id.Workspace, n uint64) bool { return n == 0 })
				if len(counts) == 0 {
					delete(u.windows, r.window)
				}
			}
			u.add(window, r.workspace, n)
			r.window = window
		}
		moved[r] += n
	}
	u.recent = moved
}

// unreportedWindows returns the counts of the windows that may still be reported: those
// that are not in reported, at most duty.BacklogWindows windows back. It deletes the counts
// of all others.
func (u *usageCounter) unreportedWindows(reported duty.WindowSet) []*ragwortv1.WindowUse {
	now, offset := u.ownTime(), u.clockOffset()
	oldest := u.windowAt(now.Add(offset)) - duty.BacklogWindows
	u.mu.Lock()
	defer u.mu.Unlock()
	u.correctWindows(now, offset)
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
