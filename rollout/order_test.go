package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// TestOrderWithSmallerOffsetIsRecorded answers an order that is written after the store came back older, while the status
// topic has the record of the lost order, which has a larger offset.
func TestOrderWithSmallerOffsetIsRecorded(t *testing.T) {
	g := newTestGateway(t)
	require.Equal(t, Canary, g.append(start).State)
	g.Withdraw("ledger")
	require.Equal(t, RolledBack, g.append(at(time.Second)).State)
	g.end = feed.Position{Era: 1, Offset: g.end.Offset}
	g.Order(at(30*time.Second), Order{Service: "ledger", Target: "v3", Duration: 20 * time.Second, Offset: 6})
	g.SetService(at(30*time.Second), "ledger", upstreams(map[id.Version]int{"v1": 5, "v3": 5}))
	record := g.append(at(30 * time.Second))
	require.Equal(t, id.Version("v3"), record.Target)
	require.Equal(t, Canary, record.State)
}

// TestTargetWithoutDurationsIsNotGood answers a slow version of which all answers came from upstreams that had just started.
func TestTargetWithoutDurationsIsNotGood(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	now := at(5 * time.Second)
	send := func(v id.Version, n int, d, age time.Duration) {
		for i := range n {
			p := g.Plan(now, "ledger", "r")
			g.Sent(p, v)
			g.Ended(p, v, id.Upstream(fmt.Sprint("i-", i%2)), Outcome{Duration: d, UpstreamAge: age})
		}
	}
	send("v1", 400, 50*time.Millisecond, time.Hour)
	send("v2", 40, 5*time.Second, 2*time.Second)
	g.Round(now, nil, 0)
	g.requireWait(at(13 * time.Second))
}

// TestCountsOfEndedOrdersAreDropped answers peers that start anew for as long as this gateway runs.
func TestCountsOfEndedOrdersAreDropped(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	g.answer(at(time.Second), 10, 0, 10, 0)
	g.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: Done, Started: start, At: start})
	for i := range 500 {
		g.Round(at(time.Duration(i)*time.Second), []Report{{From: Source{"gw-1", id.Incarnation(i)}, Service: "ledger", Target: "v2", Order: 7, State: Done, Live: true, Counts: Counts{}, Upstreams: Upstreams{}}}, 1)
	}
	require.Empty(t, g.rollouts["ledger"].told)
	require.Empty(t, g.rollouts["ledger"].strata.list)
}

// TestUpstreamTalliesDoNotFallBelowZero answers a peer whose counts of one upstream fall while their sum rises.
func TestUpstreamTalliesDoNotFallBelowZero(t *testing.T) {
	g := newTestGateway(t)
	g.append(start)
	report := func(a, b uint32, up Upstreams) []Report {
		c := Counts{}
		c.route("a").Target.Answers, c.route("b").Target.Answers = a, b
		return []Report{{From: Source{"gw-1", 1}, Service: "ledger", Target: "v2", Order: 7, State: Canary, Started: start, At: start, Live: true, Counts: c, Upstreams: up}}
	}
	g.Round(at(time.Second), report(10, 0, Upstreams{1: {10, 9}}), 1)
	g.Round(at(3*time.Second), report(0, 11, Upstreams{1: {0, 0}, 2: {11, 0}}), 1)
	require.Equal(t, Upstreams{1: {0, 0}, 2: {11, 0}}, g.rollouts["ledger"].recent.upstreams)
}
