// Package duty elects the gateway that reports usage to the platform and fixes the
// request counts that it reports. Usage is reported by window of time.
//
// Before it reports, a gateway claims the windows: it appends a record to a topic of the
// platform's store, on the condition that it has read every record before. The position of
// the claim is the fencing number of the reports. The first claim that contains a window
// fixes the counts of that window for good, so that all reports of a window are equal,
// whichever gateway sends them.
//
// The store may come back from a copy without its last claims, in a new era. A claim of
// another era permits nothing, and nobody claims before those that were lost have expired.
// A window that may have been claimed with other counts is claimed again only by a gateway
// that knows these counts, or once every gateway is known to hold no claim of it
// (docs/design/configuration.md).
//
// Reporter is a state machine without clock and I/O: Step returns the next action, and
// the caller carries it out and passes the result back.
package duty

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// Window is the number of a usage window, counted from the Unix epoch.
type Window int64

// Counts is how many requests of each workspace began in a window.
type Counts map[id.Workspace]uint64

// Claim is a record by which a gateway announces that it reports windows with the given
// counts.
type Claim struct {
	Holder      id.Node           `json:"holder"`
	At          time.Time         `json:"at"` // when the append was requested, in fleet time
	Incarnation id.Incarnation    `json:"incarnation"`
	Windows     map[Window]Counts `json:"windows"`
	MadeFor     id.Term           `json:"term,omitempty"` // term that the gateway expected; zero: not told
	Position    feed.Position     `json:"-"`
}

// termOffsetBits is how many bits of a term hold the offset. The era is above them, as
// offsets begin lower in a new era and the term must not.
const termOffsetBits = 40

// Term returns the fencing number of the reports that the claim permits.
func (c *Claim) Term() id.Term { return termAt(c.Position) }

// termAt returns the term of a claim at a position. Offsets begin with zero, terms with one.
func termAt(p feed.Position) id.Term {
	return id.Term(p.Era)<<termOffsetBits + id.Term(p.Offset) + 1
}

// valid reports whether the claim fixes counts. It does not if it was made for another era and
// appended after the store came back: claims that were lost may have come before it.
func (c *Claim) valid() bool { return c.MadeFor == 0 || c.MadeFor == c.Term() }

// Config holds the time bounds of usage reports.
type Config struct {
	WindowLength time.Duration
	ReportWithin time.Duration // from the end of a window to the deadline of its report
	Lease        time.Duration // shortest time between two reports of a gateway if another gateway reports in between
	Memory       time.Duration // how long a gateway that has ended is known, after it was last heard of
}

const (
	// settleTime is how long after its end the counts of a window take to reach every
	// gateway: a few rounds of exchanges between peers.
	settleTime = 900 * time.Millisecond
	// maxSettleTime is how long after the end of a window its report waits for live
	// gateways whose counts are missing.
	maxSettleTime = 2500 * time.Millisecond
	// takeoverStagger is the delay between gateways that may take over, so that they do
	// not claim at the same time.
	takeoverStagger = 500 * time.Millisecond
	// takeoverFraction is the fraction of ReportWithin for which other gateways wait in
	// addition if the holder is alive.
	takeoverFraction = 0.5
	// claimValidity is how long a claim permits reports, counted from before its append.
	// Another gateway waits for longer before it claims (see Reporter.mayClaim).
	claimValidity = 1500 * time.Millisecond
	// maxClockSkew is how far the fleet times of two gateways may differ, each being the
	// median of many clocks.
	maxClockSkew = 500 * time.Millisecond
)

// BacklogWindows is how many past windows can still be reported, so that no window is
// missed in a long outage of the store. Counts must be kept for as many windows.
const BacklogWindows = 12

// Member identifies one run of a gateway process.
type Member struct {
	Node        id.Node
	Incarnation id.Incarnation
}

// View is the state of the fleet as this gateway knows it when it takes a step.
type View struct {
	FleetTime time.Time // the time of day by the median of the fleet's clocks
	Live      []Member  // in the same order at every gateway; without those that are shutting down
	Reported  WindowSet // windows that any gateway knows to be reported
	KnownFrom Window    // the first window whose counts this gateway can know
	Era       feed.Era  // newest era of the store that this gateway knows
	// Unclaimed reports whether every other gateway of the last seconds is known to hold no
	// claim of a window from before the era. It may be false for lack of knowledge.
	Unclaimed func(Window) bool
	// WindowCounts returns the counts of a window so far, and whether those of every live
	// gateway are included.
	WindowCounts func(Window) (Counts, bool)
}

// Action is the next thing to do: *Wait, *ReadClaims, *AppendClaim or *SendReport.
type Action interface{ action() }

// Wait means that there is nothing to do now.
type Wait struct{}

// ReadClaims asks for the claims from a position on. The result goes to
// Reporter.ClaimsRead. If the store is in another era, the next View must have it.
type ReadClaims struct{ From feed.Position }

// AppendClaim asks to append a claim if the topic ends at the expected position. Success
// goes to Reporter.ClaimAppended, any failure to Reporter.RequireReread.
type AppendClaim struct {
	ExpectedEnd feed.Position
	Claim       *Claim
}

// SendReport asks to report a window. Success goes to Reporter.ReportAccepted.
type SendReport struct {
	Window Window
	Counts Counts
	Term   id.Term
	Until  time.Time // by the boot clock; the report must not be sent later
}

func (*Wait) action()        {}
func (*ReadClaims) action()  {}
func (*AppendClaim) action() {}
func (*SendReport) action()  {}

// Reporter decides when one gateway claims and reports windows. It is not safe for
// concurrent use.
type Reporter struct {
	cfg           Config
	node          id.Node
	incarnation   id.Incarnation
	topicEnd      feed.Position
	entered       bool              // topicEnd has the era of the last view
	enteredAt     time.Time         // when the era was first seen, by the boot clock
	claimed       WindowSet         // windows that this gateway has claimed or tried to claim
	attempted     map[Window]Counts // counts of claims of this gateway, successful or not
	lastClaim     *Claim
	lastClaimAt   time.Time // latest time, by the boot clock, at which lastClaim can have been requested; not set by own appends
	lastReadAt    time.Time // when the topic was last read, by the boot clock; zero: a read is needed
	fixedCounts   map[Window]Counts
	reported      WindowSet // by this gateway
	ownClaim      *Claim    // permits reports until ownClaimUntil
	ownClaimUntil time.Time // by the boot clock
}

// New returns a reporter that has not read the topic yet.
func New(cfg Config, node id.Node, incarnation id.Incarnation) *Reporter {
	return &Reporter{cfg: cfg, node: node, incarnation: incarnation, fixedCounts: make(map[Window]Counts), attempted: make(map[Window]Counts)}
}

// WindowAt returns the window that contains a time of day.
func (r *Reporter) WindowAt(t time.Time) Window {
	return Window(t.UnixNano() / int64(r.cfg.WindowLength))
}

// windowEnd returns the end of a window.
func (r *Reporter) windowEnd(w Window) time.Time {
	return time.Unix(0, int64(w+1)*int64(r.cfg.WindowLength))
}

// Step returns the next action. BootNow is the time by the boot clock, which goes
// on while the process is stopped or its VM suspended.
func (r *Reporter) Step(bootNow time.Time, v View) Action {
	r.enterEra(bootNow, v)
	due := r.dueWindows(v)
	if len(due) == 0 {
		return &Wait{}
	}
	if r.ownClaim != nil && bootNow.Before(r.ownClaimUntil) {
		for _, w := range due {
			if counts, ok := r.ownClaim.Windows[w]; ok {
				return &SendReport{Window: w, Counts: counts, Term: r.ownClaim.Term(), Until: r.ownClaimUntil}
			}
		}
	}
	if !r.mayClaim(bootNow, v, due[0]) {
		return &Wait{}
	}
	if r.lastReadAt.IsZero() || !r.holdsLastClaim() && bootNow.Sub(r.lastReadAt) > r.cfg.WindowLength/10 {
		return &ReadClaims{From: r.topicEnd}
	}
	if due = r.withoutDoubtful(bootNow, v, due); len(due) == 0 {
		return &Wait{}
	}
	claim := &Claim{Holder: r.node, Incarnation: r.incarnation, At: v.FleetTime, Windows: make(map[Window]Counts), MadeFor: termAt(r.topicEnd)}
	for _, w := range due {
		claim.Windows[w] = r.countsFor(bootNow, v, w)
		r.claimed, r.attempted[w] = r.claimed.With(w), claim.Windows[w]
	}
	return &AppendClaim{ExpectedEnd: r.topicEnd, Claim: claim}
}

// countsFor returns the counts with which this gateway claims a window.
func (r *Reporter) countsFor(bootNow time.Time, v View, w Window) Counts {
	if counts, fixed := r.fixedCounts[w]; fixed {
		return counts
	}
	// An own claim that the store has lost may have been read by others.
	if counts, tried := r.attempted[w]; tried && w <= r.lastDoubtful(bootNow, v) {
		return counts
	}
	counts, _ := v.WindowCounts(w)
	return counts
}

// enterEra gives up the own claim and everything read of the topic when the store is in a
// new era. The counts that claims have fixed are kept, also those of claims that the store
// has lost.
func (r *Reporter) enterEra(bootNow time.Time, v View) {
	if r.entered && v.Era <= r.topicEnd.Era {
		return
	}
	r.entered, r.enteredAt = true, bootNow
	r.topicEnd = feed.Position{Era: v.Era}
	r.ownClaim, r.lastClaim, r.lastReadAt = nil, nil, time.Time{}
}

// lastDoubtful returns the newest window that may have been claimed before the era was first
// seen. The fleet time of then is taken from that of now, as the clocks of others may have been
// measured since.
func (r *Reporter) lastDoubtful(bootNow time.Time, v View) Window {
	entered := v.FleetTime.Add(r.enteredAt.Sub(bootNow))
	return r.WindowAt(entered.Add(maxClockSkew-settleTime)) - 1
}

// withoutDoubtful returns the due windows but those that may have been claimed, with counts
// that this gateway does not know, in a claim that the store has lost. View.Unclaimed does
// not tell of gateways that ended long ago: windows that ended more than half of Memory ago are
// left out, so that a gateway that was last heard of as long before its claim is still known.
func (r *Reporter) withoutDoubtful(bootNow time.Time, v View, due []Window) []Window {
	lastDoubtful := r.lastDoubtful(bootNow, v)
	return slices.DeleteFunc(due, func(w Window) bool {
		_, fixed := r.fixedCounts[w]
		isForgotten := v.FleetTime.Sub(r.windowEnd(w)) > r.cfg.Memory/2
		return !fixed && w <= lastDoubtful && (isForgotten || !v.Unclaimed(w))
	})
}

// dueWindows returns the windows, oldest first, that are not known to be reported and
// whose counts this gateway can know, and are complete or have been waited for long enough.
func (r *Reporter) dueWindows(v View) []Window {
	var due []Window
	current := r.WindowAt(v.FleetTime)
	for w := max(v.KnownFrom, current-BacklogWindows); w < current; w++ {
		sinceEnd := v.FleetTime.Sub(r.windowEnd(w))
		if r.reported.Has(w) || v.Reported.Has(w) || sinceEnd < settleTime {
			continue
		}
		if _, complete := v.WindowCounts(w); !complete && sinceEnd < maxSettleTime {
			continue
		}
		due = append(due, w)
	}
	return due
}

// holdsLastClaim reports whether the last claim on the topic is one of this run of the
// gateway.
func (r *Reporter) holdsLastClaim() bool {
	return r.lastClaim != nil && r.lastClaim.Holder == r.node && r.lastClaim.Incarnation == r.incarnation
}

// mayClaim reports whether this gateway may claim the oldest due window now. Nobody may
// while a claim from before the present era may still be acted on. After that, the holder
// of the last claim may do so at once. The others wait until the reports of that claim must
// have ended, plus a lease, and until some time after the end of the window. That time
// grows with their rank among the live gateways, is longer if the holder is alive, and ends
// at least takeoverStagger before the report is due.
func (r *Reporter) mayClaim(bootNow time.Time, v View, oldest Window) bool {
	sinceEntered := bootNow.Sub(r.enteredAt)
	if r.topicEnd.Era > 0 && sinceEntered < claimValidity {
		return false
	}
	if r.holdsLastClaim() {
		return true
	}
	if r.topicEnd.Era > 0 && !r.lastReadAt.IsZero() && sinceEntered < r.cfg.Lease+claimValidity {
		return false // the store may have lost a newer claim than the last one
	}
	if r.lastClaim != nil && bootNow.Sub(r.lastClaimAt) < r.cfg.Lease+claimValidity {
		return false // the holder may still act on its claim, or did so less than a lease ago
	}
	rank, holderAlive := 0, false
	for i, m := range v.Live {
		if m.Node == r.node {
			rank = i
		}
		if r.lastClaim != nil && m == (Member{Node: r.lastClaim.Holder, Incarnation: r.lastClaim.Incarnation}) {
			holderAlive = true
		}
	}
	delay := settleTime + time.Duration(rank)*takeoverStagger
	if holderAlive {
		delay += time.Duration(takeoverFraction * float64(r.cfg.ReportWithin))
	}
	return v.FleetTime.Sub(r.windowEnd(oldest)) >= min(delay, r.cfg.ReportWithin-takeoverStagger)
}

// ClaimsRead applies the claims that a ReadClaims action returned, in order, and the position
// after them. If the topic goes on there, the next claim fails, and the topic is read again.
func (r *Reporter) ClaimsRead(bootNow, fleetTime time.Time, claims []*Claim, end feed.Position) {
	if end.Era != r.topicEnd.Era {
		return
	}
	for _, c := range claims {
		r.applyClaim(c)
		if age := fleetTime.Sub(c.At) - maxClockSkew; age > 0 {
			r.lastClaimAt = bootNow.Add(-age)
		} else {
			r.lastClaimAt = bootNow
		}
	}
	r.topicEnd, r.lastReadAt = end, bootNow
}

// applyClaim records a claim as the last one. The first valid claim that contains a window
// fixes its counts.
func (r *Reporter) applyClaim(c *Claim) {
	r.lastClaim = c
	if !c.valid() {
		return
	}
	for w, counts := range c.Windows {
		if _, fixed := r.fixedCounts[w]; !fixed {
			r.fixedCounts[w] = counts
		}
	}
}

// ClaimAppended records that the claim of an AppendClaim action was appended. RequestedAt
// is the time, by the boot clock, before the append was requested.
func (r *Reporter) ClaimAppended(requestedAt time.Time, c *Claim) {
	if c.Position.Era != r.topicEnd.Era {
		return
	}
	r.applyClaim(c)
	r.topicEnd.Offset = c.Position.Offset + 1
	r.ownClaim, r.ownClaimUntil = c, requestedAt.Add(claimValidity)
}

// Claimed returns the windows that this gateway has claimed, also if it did not learn of
// the success, and the era before which it acts on no claim.
func (r *Reporter) Claimed() (WindowSet, feed.Era) { return r.claimed, r.topicEnd.Era }

// RequireReread records that the result of an append is unknown or that it failed: the
// topic must be read before the next claim.
func (r *Reporter) RequireReread() { r.lastReadAt = time.Time{} }

// ReportAccepted records that the platform accepted the report of a window, and forgets
// windows that are too old to be reported.
func (r *Reporter) ReportAccepted(w Window) {
	r.reported = r.reported.With(w)
	isOld := func(old Window, _ Counts) bool { return old < w-2*BacklogWindows }
	maps.DeleteFunc(r.fixedCounts, isOld)
	maps.DeleteFunc(r.attempted, isOld)
}

// ConflictError means that a claim was not appended, because the topic has claims that the
// gateway had not read. End is the offset at which the topic ends.
type ConflictError struct{ End feed.Offset }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("another claim came first: the topic ends at offset %d", e.End)
}
