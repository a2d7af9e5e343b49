// Package duty decides which gateway reports the usage of a window, and with which
// figures.
//
// Every report is preceded by a claim: a record that is appended to a topic of the
// platform's store only if it follows the last one that the claimant has read. The
// claim's offset is the fencing number of the report. The first claim that names a
// window fixes its figures for good, so that a repeat by anybody says the same.
//
// Reporter is the decision, a step over the time and what is known; it has no clock
// and no socket.
package duty

import (
	"fmt"
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// Window numbers usage windows since 1970.
type Window int64

// Counts is the requests of each workspace that began in a window.
type Counts map[id.Workspace]uint64

// Claim is a record of the topic.
type Claim struct {
	Holder      id.Node           `json:"holder"`
	At          time.Time         `json:"at"` // by most clocks, when it was asked for
	Incarnation id.Incarnation    `json:"incarnation"`
	Windows     map[Window]Counts `json:"windows"`
	Offset      feed.Offset       `json:"-"`
}

// Term returns the fencing number of what the claim permits. Offsets begin with zero.
func (c *Claim) Term() id.Term { return id.Term(c.Offset) + 1 }

// Config is what the deployment promises.
type Config struct {
	WindowLength time.Duration // of a window
	ReportWithin time.Duration // from the end of a window until its report is due
	Lease        time.Duration // in which the duty must not go to another gateway and back
}

const (
	// settle is how long after its end a window's figures travel: a few rounds among
	// peers.
	settle = 900 * time.Millisecond
	// settleMax is how long a report waits for the figures of a gateway that is alive
	// and has not sent them.
	settleMax = 2500 * time.Millisecond
	// rankDelay keeps the gateways that may take the duty over apart.
	rankDelay = 500 * time.Millisecond
	// takeOver is the part of the time until a report is due after which others no
	// longer wait for a holder that is alive.
	takeOver = 0.5
	// permits is how long a claim permits reports, from before its append. A successor
	// waits for longer.
	permits = 1500 * time.Millisecond
	// skew is how far the clocks of two gateways may differ, each being a median of many.
	skew = 500 * time.Millisecond
)

// BacklogWindows is how many windows are still reported after their time, so that a long outage
// of the store leaves no window out. Figures must be kept for as long.
const BacklogWindows = 12

// Member is one incarnation of a gateway.
type Member struct {
	Node        id.Node
	Incarnation id.Incarnation
}

// View is what is known of the fleet when a step is taken.
type View struct {
	FleetTime    time.Time // the time of day by most clocks
	Live         []Member  // in order, the own one among them
	LastReported Window    // the newest window that any gateway knows to be reported
	// WindowCounts returns the figures of a window, and whether those of every gateway alive
	// are in.
	WindowCounts func(Window) (Counts, bool)
}

// Action is what to do next: *Wait, *ReadClaims, *AppendClaim or *SendReport.
type Action interface{ action() }

// Wait says that nothing is due.
type Wait struct{}

// ReadClaims asks for the records of the topic from an offset on.
type ReadClaims struct{ From feed.Offset }

// AppendClaim asks for a claim at the end of the topic.
type AppendClaim struct {
	ExpectedEnd feed.Offset
	Claim       *Claim
}

// SendReport asks for a report.
type SendReport struct {
	Window Window
	Counts Counts
	Term   id.Term
	Until  time.Time // by the steady clock; nothing is sent later
}

func (*Wait) action()        {}
func (*ReadClaims) action()  {}
func (*AppendClaim) action() {}
func (*SendReport) action()  {}

// Reporter is one gateway's part in the duty. It is not safe for concurrent use.
type Reporter struct {
	cfg      Config
	node     id.Node
	self     id.Incarnation
	first    Window // before it, this gateway knows nothing
	end      feed.Offset
	last     *Claim
	acted    time.Time // when the last claim was asked for, or later, by the steady clock
	readAt   time.Time // when the topic was read last, by the steady clock; zero: never
	fixed    map[Window]Counts
	reported map[Window]bool
	own      *Claim    // permits reports until
	until    time.Time // by the steady clock
}

// New returns a reporter that has read nothing. Windows that began before the time at
// which it started are for others.
func New(cfg Config, node id.Node, self id.Incarnation, started time.Time) *Reporter {
	r := &Reporter{cfg: cfg, node: node, self: self, fixed: make(map[Window]Counts), reported: make(map[Window]bool)}
	r.first = r.WindowAt(started)
	return r
}

// WindowAt returns the window that holds a time of day.
func (r *Reporter) WindowAt(t time.Time) Window {
	return Window(t.UnixNano() / int64(r.cfg.WindowLength))
}

func (r *Reporter) endOf(w Window) time.Time {
	return time.Unix(0, int64(w+1)*int64(r.cfg.WindowLength))
}

// LastReported returns the newest window that this gateway has reported, or zero.
func (r *Reporter) LastReported() Window {
	var newest Window
	for w := range r.reported {
		newest = max(newest, w)
	}
	return newest
}

// Step decides what to do next. Steady is a clock that also counts the time that a
// process was stopped.
func (r *Reporter) Step(steady time.Time, v View) Action {
	due := r.due(v)
	if len(due) == 0 {
		return &Wait{}
	}
	if r.own != nil && steady.Before(r.until) {
		for _, w := range due {
			if counts, ok := r.own.Windows[w]; ok {
				return &SendReport{Window: w, Counts: counts, Term: r.own.Term(), Until: r.until}
			}
		}
	}
	if !r.turn(steady, v, due[0]) {
		return &Wait{}
	}
	if r.readAt.IsZero() || !r.holds() && steady.Sub(r.readAt) > r.cfg.WindowLength/10 {
		return &ReadClaims{From: r.end}
	}
	claim := &Claim{Holder: r.node, Incarnation: r.self, At: v.FleetTime, Windows: make(map[Window]Counts)}
	for _, w := range due {
		counts, fixed := r.fixed[w]
		if !fixed {
			counts, _ = v.WindowCounts(w)
		}
		claim.Windows[w] = counts
	}
	return &AppendClaim{ExpectedEnd: r.end, Claim: claim}
}

// due returns the windows that nobody is known to have reported and whose figures are
// in, the oldest first.
func (r *Reporter) due(v View) []Window {
	var due []Window
	now := r.WindowAt(v.FleetTime)
	for w := max(r.first, now-BacklogWindows); w < now; w++ {
		past := v.FleetTime.Sub(r.endOf(w))
		if r.reported[w] || w <= v.LastReported || past < settle {
			continue
		}
		if _, all := v.WindowCounts(w); !all && past < settleMax {
			continue
		}
		due = append(due, w)
	}
	return due
}

func (r *Reporter) holds() bool {
	return r.last != nil && r.last.Holder == r.node && r.last.Incarnation == r.self
}

// turn reports whether it is this gateway's turn to report the oldest window due.
func (r *Reporter) turn(steady time.Time, v View, oldest Window) bool {
	if r.holds() {
		return true
	}
	if r.last != nil && steady.Sub(r.acted) < r.cfg.Lease+permits {
		return false // the holder may still act on its claim
	}
	rank, holderLives := 0, false
	for i, m := range v.Live {
		if m.Node == r.node {
			rank = i
		}
		if r.last != nil && m == (Member{Node: r.last.Holder, Incarnation: r.last.Incarnation}) {
			holderLives = true
		}
	}
	wait := settle + time.Duration(rank)*rankDelay
	if holderLives {
		wait += time.Duration(takeOver * float64(r.cfg.ReportWithin))
	}
	return v.FleetTime.Sub(r.endOf(oldest)) >= min(wait, r.cfg.ReportWithin-rankDelay)
}

// ClaimsRead takes records that were read, in order, and the end of the topic. Truth is the
// time of day by most clocks.
func (r *Reporter) ClaimsRead(steady, truth time.Time, claims []*Claim, end feed.Offset) {
	for _, c := range claims {
		r.fold(c)
		if age := truth.Sub(c.At) - skew; age > 0 {
			r.acted = steady.Add(-age)
		} else {
			r.acted = steady
		}
	}
	r.end, r.readAt = end, steady
}

// fold takes a claim. The first that names a window fixes its figures.
func (r *Reporter) fold(c *Claim) {
	r.last = c
	for w, counts := range c.Windows {
		if _, fixed := r.fixed[w]; !fixed {
			r.fixed[w] = counts
		}
	}
}

// ClaimAppended says that the claim was appended. Asked is when it was asked for.
func (r *Reporter) ClaimAppended(asked time.Time, c *Claim) {
	r.fold(c)
	r.end = c.Offset + 1
	r.own, r.until = c, asked.Add(permits)
}

// RequireReread says that the topic may have changed in a way that is not known: it must be
// read before the next claim.
func (r *Reporter) RequireReread() { r.readAt = time.Time{} }

// ReportAccepted says that the report of a window was accepted.
func (r *Reporter) ReportAccepted(w Window) {
	r.reported[w] = true
	for old := range r.reported {
		if old < w-2*BacklogWindows {
			delete(r.reported, old)
		}
	}
	for old := range r.fixed {
		if old < w-2*BacklogWindows {
			delete(r.fixed, old)
		}
	}
}

// ConflictError says that a claim came after another that its claimant had not read.
type ConflictError struct{ End feed.Offset }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("another claim came first: the topic ends at offset %d", e.End)
}
