package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

var start = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newRegister() *Register {
	return New(Config{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, func() float64 { return 0 })
}

var testOrder = Order{Service: "ledger", Target: "v2", Duration: 20 * time.Second, Offset: 7}

// upstreams describes a service with so many upstreams of each version.
func upstreams(versions map[id.Version]int) Service {
	s := Service{Known: true, Versions: make(map[id.Version]Load)}
	for v, n := range versions {
		s.Versions[v] = Load{Upstreams: n, Slots: 8 * n}
	}
	return s
}

var bothVersions = upstreams(map[id.Version]int{"v1": 5, "v2": 5})

// testGateway is a gateway with a store that has nothing.
type testGateway struct {
	*Register
	*Controller
	t   *testing.T
	end feed.Position
}

func newTestGateway(t *testing.T) *testGateway {
	r := newRegister()
	g := &testGateway{Register: r, Controller: NewController("gw-0", r), t: t}
	g.Order(start, testOrder)
	g.SetService(start, "ledger", bothVersions)
	return g
}

var leads = View{Leader: true}

// append plays the gateway until the store has a further record, which it returns. It fails if there is none.
func (g *testGateway) append(now time.Time) Record {
	g.t.Helper()
	for range 3 {
		switch a := g.Step(now, View{Leader: true, Era: g.end.Era}).(type) {
		case *ReadRecords:
			var records []Record
			for _, r := range g.stored {
				records = append(records, r)
			}
			g.RecordsRead(records, g.end)
		case *AppendRecord:
			require.Equal(g.t, g.end, a.ExpectedEnd)
			g.end.Offset += 2
			g.RecordAppended(a.Record, g.end)
			return a.Record
		}
	}
	g.t.Fatalf("no record was appended at %v", now.Sub(start))
	return Record{}
}

// requireWait fails if something is to be done.
func (g *testGateway) requireWait(now time.Time) {
	g.t.Helper()
	require.IsType(g.t, &Wait{}, g.Step(now, View{Leader: true, Era: g.end.Era}))
}

// answer counts answers of the target and of others, of which some have failed.
func (g *testGateway) answer(now time.Time, target, failed, others, othersFailed int) {
	send := func(v id.Version, n, failed int) {
		for i := range n {
			p := g.Plan(now, "ledger", "r")
			g.Sent(p, v)
			g.Ended(p, v, id.Upstream(fmt.Sprint("i-", i%2)), Outcome{Failed: i < failed, Duration: 50 * time.Millisecond, UpstreamAge: time.Hour})
		}
	}
	send("v1", others, othersFailed)
	send("v2", target, failed)
	g.Round(now, nil, 0)
}

// allowed returns which of the versions the preferred filter of a plan allows.
func allowed(p *Plan, versions ...id.Version) (names []id.Version) {
	for _, v := range versions {
		if p.Filters[0].Allows(v, time.Time{}) {
			names = append(names, v)
		}
	}
	return names
}

func TestGoodTargetIsDoneBeforeDeadline(t *testing.T) {
	g := newTestGateway(t)
	require.Equal(t, Canary, g.append(start).State)
	g.answer(at(5*time.Second), 40, 0, 400, 2)
	g.requireWait(at(11900 * time.Millisecond))
	require.Equal(t, Shifting, g.append(at(13*time.Second)).State)
	g.Round(at(14500*time.Millisecond), nil, 0)
	g.requireWait(at(14 * time.Second))
	require.Equal(t, []id.Version{"v2"}, allowed(g.Plan(at(14500*time.Millisecond), "ledger", "r"), "v1", "v2"))
	final := g.append(at(15 * time.Second))
	require.Equal(t, Done, final.State)
	require.Equal(t, ReasonMoved, final.Reason)
	require.Equal(t, []id.Version{"v2"}, allowed(g.Plan(at(16*time.Second), "ledger", "r"), "v1", "v2"))
	g.requireWait(at(30 * time.Second))
}

// TestShiftWaitsForRunningRequests answers requests that the platform would cut with the old upstreams.
func TestShiftWaitsForRunningRequests(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(5*time.Second), 40, 0, 400, 2)
	g.append(at(13 * time.Second))
	busy := upstreams(map[id.Version]int{"v1": 5, "v2": 5})
	busy.Versions["v1"] = Load{Upstreams: 5, Slots: 40, Running: 1}
	g.SetService(start, "ledger", busy)
	g.Round(at(16*time.Second), nil, 0)
	g.requireWait(at(16300 * time.Millisecond))
	require.Equal(t, ReasonTime, g.append(at(18*time.Second)).Reason)
}

// TestShiftWaitsForPeersThatDoNotKnow answers a gateway that still sends to other versions.
func TestShiftWaitsForPeersThatDoNotKnow(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(5*time.Second), 40, 0, 400, 2)
	g.append(at(13 * time.Second))
	g.Round(at(16*time.Second), []Report{{Service: "ledger", Target: "v2", Order: 7, Live: true, State: Canary, Started: start}}, 1)
	g.requireWait(at(16300 * time.Millisecond))
}

func TestBadTargetIsRolledBack(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(3*time.Second), 24, 12, 100, 0)
	require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(at(3*time.Second), "ledger", "r"), "v1", "v2"), "before any record")
	final := g.append(at(3 * time.Second))
	require.Equal(t, RolledBack, final.State)
	require.Equal(t, ReasonFailing, final.Reason)
	g.requireWait(at(19 * time.Second))
}

// TestBadTargetIsRolledBackWhileShifting answers a version that fails once it has all traffic.
func TestBadTargetIsRolledBackWhileShifting(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(5*time.Second), 40, 0, 400, 2)
	g.append(at(13 * time.Second))
	g.answer(at(14*time.Second), 60, 30, 0, 0)
	require.Equal(t, RolledBack, g.append(at(14*time.Second)).State)
	require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(at(15*time.Second), "ledger", "r"), "v1", "v2"))
}

// TestOutageNeitherCondemnsNorBlesses answers a failure that all versions suffer.
func TestOutageNeitherCondemnsNorBlesses(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(5*time.Second), 40, 16, 400, 160)
	g.requireWait(at(13 * time.Second))
	final := g.append(at(17 * time.Second))
	require.Equal(t, ReasonUndecided, final.Reason)
}

func TestTooFewAnswersAreNotGood(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(5*time.Second), 29, 0, 400, 0)
	g.requireWait(at(13 * time.Second))
	require.Equal(t, ReasonUndecided, g.append(at(17*time.Second)).Reason)
}

// TestAbsentTargetIsRolledBackBeforeDeadline answers upstreams of the target that crash, or never come.
func TestAbsentTargetIsRolledBackBeforeDeadline(t *testing.T) {
	for _, crashAt := range []time.Duration{0, 6 * time.Second, 14 * time.Second} {
		g := newTestGateway(t)
		g.append(start)
		if crashAt > 0 {
			g.answer(at(5*time.Second), 40, 0, 400, 0)
		}
		if crashAt > 13*time.Second {
			g.append(at(13 * time.Second))
		}
		g.SetService(start, "ledger", upstreams(map[id.Version]int{"v1": 5}))
		final := g.append(at(18 * time.Second))
		require.Equal(t, RolledBack, final.State)
		require.Equal(t, ReasonAbsent, final.Reason)
	}
}

// TestSmallTargetIsNotShiftedTo answers a target that comes with too few upstreams for the load.
func TestSmallTargetIsNotShiftedTo(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(5*time.Second), 40, 0, 400, 0)
	g.SetService(start, "ledger", upstreams(map[id.Version]int{"v1": 5, "v2": 2}))
	g.requireWait(at(13 * time.Second))
	g.SetService(start, "ledger", bothVersions)
	require.Equal(t, Shifting, g.append(at(14*time.Second)).State)
}

// TestGatewayWithoutListingsDoesNotDecide answers a gateway that has started anew and acts before it has read which upstreams
// there are.
func TestGatewayWithoutListingsDoesNotDecide(t *testing.T) {
	for _, state := range []State{Canary, Shifting} {
		g := newTestGateway(t)
		g.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: state, Started: start, At: at(time.Second)})
		g.append(at(time.Second)) // the store has lost the record
		g.SetService(start, "ledger", Service{Known: true})
		g.requireWait(at(18 * time.Second))
		require.Equal(t, ReasonAbsent, g.append(at(21*time.Second)).Reason)
	}
}

// TestRestartedGatewayLearnsOfPeersBeforeDone answers a gateway that takes up a shift and does not know yet what runs at
// other gateways.
func TestRestartedGatewayLearnsOfPeersBeforeDone(t *testing.T) {
	r := newRegister()
	g := &testGateway{Register: r, Controller: NewController("gw-0", r), t: t}
	g.Order(at(14*time.Second), testOrder)
	g.SetService(at(14*time.Second), "ledger", bothVersions)
	record := Record{Service: "ledger", Target: "v2", Order: 7, State: Shifting, Started: start, At: at(12 * time.Second)}
	g.RecordsRead([]Record{record}, g.end)
	g.Round(at(14*time.Second), nil, 0)
	g.requireWait(at(15400 * time.Millisecond))
	require.Equal(t, ReasonMoved, g.append(at(15500*time.Millisecond)).Reason)
}

func TestTargetThatRunsAlreadyIsDoneAtOnce(t *testing.T) {
	g := newTestGateway(t)
	g.SetService(start, "ledger", upstreams(map[id.Version]int{"v2": 5}))
	require.Equal(t, []id.Version{"v2"}, allowed(g.Plan(start, "ledger", "r"), "v2"))
	require.Equal(t, ReasonRunning, g.append(start).Reason)
}

func TestOrderForUnknownServiceIsRolledBack(t *testing.T) {
	g := newTestGateway(t)
	g.SetService(start, "ledger", Service{})
	require.Equal(t, ReasonNoService, g.append(start).Reason)
	g.requireWait(at(time.Second))
}

func TestNewestOrderWins(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	isNew, superseded := g.Order(at(2*time.Second), Order{Service: "ledger", Target: "v3", Duration: 20 * time.Second, Offset: 9})
	require.True(t, isNew)
	require.Equal(t, id.Version("v2"), superseded.Target)
	g.SetService(start, "ledger", upstreams(map[id.Version]int{"v1": 5, "v2": 5, "v3": 5}))
	require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(at(2*time.Second), "ledger", "r"), "v1", "v2", "v3"), "the superseded target gets nothing")
	r := g.append(at(2 * time.Second))
	require.Equal(t, Record{Service: "ledger", Target: "v3", Order: 9, State: Canary, Reason: ReasonOrdered, Started: at(2 * time.Second), At: at(2 * time.Second), By: "gw-0", Rejected: []id.Version{"v2"}}, r)
	require.False(t, g.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: Done}), "of the superseded order")
}

// TestOlderOrderIsNotRecorded answers a gateway that has not read the newest order yet.
func TestOlderOrderIsNotRecorded(t *testing.T) {
	g := newTestGateway(t)
	g.RecordsRead([]Record{{Service: "ledger", Target: "v3", Order: 9, State: Canary, Started: start}}, feed.Position{Offset: 2})
	g.requireWait(at(time.Second))
}

func TestWithdrawnOrderIsRolledBack(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	require.True(t, g.Withdraw("ledger"))
	require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(at(time.Second), "ledger", "r"), "v1", "v2"), "before any record")
	require.Equal(t, ReasonWithdrawn, g.append(at(time.Second)).Reason)
}

func TestDoneOrderStaysDoneWhenWithdrawn(t *testing.T) {
	g := newTestGateway(t)
	g.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: Done, Started: start, At: at(time.Second)})
	g.Withdraw("ledger")
	p := g.Plan(at(2*time.Second), "ledger", "r")
	require.Equal(t, []id.Version{"v2"}, allowed(p, "v1", "v2"))
	require.True(t, p.Filters[0].Allows("v3", at(3*time.Second)), "a later release without an order")
}

// TestStatesNeverGoBack answers records that are late or that a peer has kept.
func TestStatesNeverGoBack(t *testing.T) {
	g := newTestGateway(t)
	require.True(t, g.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: RolledBack, Started: start}))
	for _, s := range []State{Unknown, Canary, Shifting} {
		require.False(t, g.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: s, Started: start}))
	}
	isNew, _ := g.Order(at(time.Second), testOrder)
	require.False(t, isNew, "the same order read again")
	require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(at(time.Second), "ledger", "r"), "v1", "v2"))
}

// TestOlderStoreGetsRecordsAgain answers a store that comes back without the last records.
func TestOlderStoreGetsRecordsAgain(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(3*time.Second), 24, 12, 100, 0)
	final := g.append(at(3 * time.Second))
	canary := final
	canary.State = Canary
	g.end = feed.Position{Era: 1, Offset: 2}
	require.IsType(t, &ReadRecords{}, g.Step(at(4*time.Second), View{Leader: true, Era: 1}))
	g.RecordsRead([]Record{canary}, g.end)
	require.Equal(t, final, g.append(at(4*time.Second)))
	g.requireWait(at(5 * time.Second))
}

// TestUnansweredAppendIsReadBeforeItIsRepeated answers an append that was executed and whose answer was lost.
func TestUnansweredAppendIsReadBeforeItIsRepeated(t *testing.T) {
	g := newTestGateway(t)
	g.RecordsRead(nil, feed.Position{})
	a, ok := g.Step(start, leads).(*AppendRecord)
	require.True(t, ok)
	g.RequireReread()
	require.IsType(t, &ReadRecords{}, g.Step(start, leads))
	require.Len(t, g.RecordsRead([]Record{a.Record}, feed.Position{Offset: 2}), 1)
	require.IsType(t, &Wait{}, g.Step(start, leads))
}

// TestNextGatewayTakesUp answers a leader that is alive and does not reach the store.
func TestNextGatewayTakesUp(t *testing.T) {
	g := newTestGateway(t)
	second := View{Rank: 1}
	require.IsType(t, &Wait{}, g.Step(start, second))
	require.IsType(t, &Wait{}, g.Step(at(499*time.Millisecond), second))
	require.IsType(t, &ReadRecords{}, g.Step(at(500*time.Millisecond), second))
	g.RecordsRead(nil, feed.Position{})
	require.IsType(t, &AppendRecord{}, g.Step(at(500*time.Millisecond), second))
}

// TestRestartedGatewayWaitsForTheRecord answers a start in the middle of an order, or after its end.
func TestRestartedGatewayWaitsForTheRecord(t *testing.T) {
	g := newTestGateway(t)
	require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(start, "ledger", "r"), "v1", "v2"))
	g.Round(at(time.Second), []Report{{Service: "ledger", Target: "v2", Order: 7, Live: true, State: RolledBack, Started: at(-time.Minute)}}, 1)
	require.Equal(t, []id.Version{"v1"}, allowed(g.Plan(at(time.Second), "ledger", "r"), "v1", "v2"))
	require.Equal(t, at(-time.Minute), g.rollouts["ledger"].started)
}

// TestDoneOverridesVerdict answers a verdict that crosses the record of the last step.
func TestDoneOverridesVerdict(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(3*time.Second), 24, 12, 100, 0)
	g.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: Done, Started: start, At: at(3 * time.Second)})
	require.Equal(t, []id.Version{"v2"}, allowed(g.Plan(at(3*time.Second), "ledger", "r"), "v1", "v2"))
}
