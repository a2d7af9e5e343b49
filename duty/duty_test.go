package duty_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/duty"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

var cfg = duty.Config{WindowLength: 5 * time.Second, ReportWithin: 10 * time.Second, Lease: 3 * time.Second}

// start is the beginning of a window.
var start = time.Unix(1_800_000_000, 0)

// sent is a report as the platform saw it.
type sent struct {
	at     time.Time
	holder id.Node
	window duty.Window
	count  uint64
	term   id.Term
}

// world is a fleet of reporters before one topic.
type world struct {
	now       time.Time
	topic     []*duty.Claim
	reporters map[id.Node]*duty.Reporter
	started   map[id.Node]id.Incarnation
	down      map[id.Node]bool
	nodes     []id.Node
	sent      []sent
	skew      map[id.Node]time.Duration
	reported  duty.Window
	gossip    bool // whether gateways hear of reports
	count     uint64
}

func newWorld(n int) *world {
	w := &world{now: start, reporters: map[id.Node]*duty.Reporter{}, started: map[id.Node]id.Incarnation{}, down: map[id.Node]bool{}, skew: map[id.Node]time.Duration{}, gossip: true}
	for i := range n {
		node := id.Node(fmt.Sprint("entry-", i))
		w.nodes = append(w.nodes, node)
		w.start(node, 1, w.now)
	}
	return w
}

// start starts a gateway, again if it ran.
func (w *world) start(n id.Node, in id.Incarnation, truth time.Time) {
	w.reporters[n], w.started[n] = duty.New(cfg, n, in, truth), in
}

func (w *world) view(n id.Node) duty.View {
	v := duty.View{FleetTime: w.now.Add(w.skew[n])}
	for _, other := range w.nodes {
		if !w.down[other] {
			v.Live = append(v.Live, duty.Member{Node: other, Incarnation: w.started[other]})
		}
	}
	if w.gossip {
		v.LastReported = w.reported
	}
	v.WindowCounts = func(duty.Window) (duty.Counts, bool) {
		w.count++ // every look finds other figures: only the log may fix them
		return duty.Counts{"ws": w.count}, true
	}
	return v
}

// run lets one gateway act until it waits. Lose makes appends take effect unheard.
func (w *world) run(n id.Node, lose bool) {
	r := w.reporters[n]
	for range 20 {
		switch a := r.Step(w.now, w.view(n)).(type) {
		case *duty.Wait:
			return
		case *duty.ReadClaims:
			r.ClaimsRead(w.now, w.now.Add(w.skew[n]), w.topic[a.From:], feed.Offset(len(w.topic)))
		case *duty.AppendClaim:
			if a.ExpectedEnd != feed.Offset(len(w.topic)) {
				r.RequireReread()
				continue
			}
			claim := *a.Claim
			claim.Offset = a.ExpectedEnd
			w.topic = append(w.topic, &claim)
			if lose {
				r.RequireReread()
				return
			}
			r.ClaimAppended(w.now, &claim)
		case *duty.SendReport:
			w.sent = append(w.sent, sent{w.now, n, a.Window, a.Counts["ws"], a.Term})
			r.ReportAccepted(a.Window)
			w.reported = max(w.reported, a.Window)
		}
	}
}

// check fails if the platform saw two figures for a window, a lower term than before,
// or the duty go to another gateway and back within the lease.
func (w *world) check(t require.TestingT) {
	figures := map[duty.Window]uint64{}
	var last id.Term
	for i, s := range w.sent {
		if old, seen := figures[s.window]; seen {
			require.Equal(t, old, s.count, "two figures for window %d", s.window)
		}
		figures[s.window] = s.count
		require.GreaterOrEqual(t, s.term, last, "term went back")
		last = s.term
		for j := i - 1; j > 0; j-- {
			if s.at.Sub(w.sent[j].at) > cfg.Lease {
				break
			}
			if w.sent[j].holder != s.holder && w.sent[j-1].holder == s.holder {
				require.Greater(t, s.at.Sub(w.sent[j-1].at), cfg.Lease, "the duty went to another gateway and back")
			}
		}
	}
}

func TestOneGatewayReportsEachWindow(t *testing.T) {
	w := newWorld(5)
	for range 300 {
		for _, n := range w.nodes {
			w.run(n, false)
		}
		w.now = w.now.Add(100 * time.Millisecond)
	}
	w.check(t)
	require.Len(t, w.sent, 5)
	for _, s := range w.sent {
		require.Equal(t, w.sent[0].holder, s.holder)
		end := time.Unix(0, int64(s.window+1)*int64(cfg.WindowLength))
		require.Less(t, s.at.Sub(end), 2*time.Second)
	}
}

// TestAnotherTakesOver ends the holder between its claim and its report: the window
// is reported in time, with the figures that the claim fixed.
func TestAnotherTakesOver(t *testing.T) {
	w := newWorld(3)
	w.now = start.Add(6 * time.Second)
	w.run("entry-0", true) // claims; the answer is lost, nothing is reported
	require.Len(t, w.topic, 1)
	require.Empty(t, w.sent)
	w.down["entry-0"] = true
	for len(w.sent) == 0 && w.now.Before(start.Add(20*time.Second)) {
		w.now = w.now.Add(100 * time.Millisecond)
		w.run("entry-1", false)
		w.run("entry-2", false)
	}
	w.check(t)
	require.NotEmpty(t, w.sent)
	require.Equal(t, w.topic[0].Windows[w.sent[0].window]["ws"], w.sent[0].count)
	require.Less(t, w.sent[0].at.Sub(start.Add(cfg.WindowLength)), cfg.ReportWithin)
}

// TestRestartedFleetReportsSoon starts every gateway anew: the claims of those before
// are old, and nobody waits for them.
func TestRestartedFleetReportsSoon(t *testing.T) {
	w := newWorld(3)
	w.now = start.Add(6 * time.Second)
	w.run("entry-0", false)
	require.Len(t, w.sent, 1)
	w.now = start.Add(10 * time.Second)
	for _, n := range w.nodes {
		w.start(n, 2, w.now)
	}
	for len(w.sent) == 1 && w.now.Before(start.Add(30*time.Second)) {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, n := range w.nodes {
			w.run(n, false)
		}
	}
	require.Less(t, w.now.Sub(start.Add(15*time.Second)), 2*time.Second)
}

// TestFaultsNeverSplitTheDuty lets gateways stop for a while, lose answers, not hear
// of reports, and see the time of day a little apart.
func TestFaultsNeverSplitTheDuty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 5).Draw(t, "gateways"))
		for _, n := range w.nodes {
			w.skew[n] = time.Duration(rapid.IntRange(-200, 200).Draw(t, "skew")) * time.Millisecond
		}
		stopped := map[id.Node]time.Time{}
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			w.now = w.now.Add(100 * time.Millisecond)
			n := rapid.SampledFrom(w.nodes).Draw(t, "gateway")
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				stopped[n] = w.now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "stop")) * 100 * time.Millisecond)
			case 1:
				w.gossip = !w.gossip
			case 2:
				w.start(n, id.Incarnation(w.now.UnixNano()), w.now.Add(w.skew[n]))
			}
			for _, n := range w.nodes {
				w.down[n] = w.now.Before(stopped[n])
				if !w.down[n] {
					w.run(n, rapid.IntRange(0, 9).Draw(t, "lose") == 0)
				}
			}
		}
		w.check(t)
	})
}
