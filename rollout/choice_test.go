package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
)

// canaryRegister returns the register of a gateway of a fleet whose order is in the canary.
func canaryRegister(gateways int) *Register {
	r := New(Config{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, rand.New(rand.NewPCG(1, 2)).Float64)
	r.Order(start, testOrder)
	r.SetService(start, "ledger", bothVersions)
	r.SetFleet(gateways, false)
	r.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: Canary, Started: start, At: start})
	return r
}

// spend sends so many requests until a time, each of them to the target if it may go there. It returns how many did.
func spend(r *Register, from, until time.Time, n int) (exposed int) {
	for i := range n {
		now := from.Add(until.Sub(from) * time.Duration(i) / time.Duration(n))
		r.Round(now, nil, 0)
		p := r.Plan(now, "ledger", "r")
		version := id.Version("v1")
		if p.Filters[0].OnTarget {
			version = "v2"
			exposed++
		}
		r.Sent(p, version)
	}
	return exposed
}

// TestExposureIsBoundedByOwnRequests answers gateways that hear nothing of one another, and uneven traffic, before the trial
// and with it.
func TestExposureIsBoundedByOwnRequests(t *testing.T) {
	const gateways = 7
	times := NewSchedule(start, testOrder.Duration)
	for _, test := range []struct {
		until        time.Time
		share, slack float64
	}{{times.Trial, shareFraction, slackFraction}, {times.Undecide, trialShareFraction, trialSlackFraction}} {
		exposed, total := 0, 0
		for i := range gateways {
			n := 40 << i
			exposed += spend(canaryRegister(gateways), start, test.until, n)
			total += n
		}
		require.LessOrEqual(t, exposed, int(test.share*0.1*float64(total)+test.slack*50)+1)
		require.Greater(t, exposed, total/20, "enough to judge by")
	}
}

// TestTrialBringsTheWholeLoad answers a version that is bad only with the load that it will have.
func TestTrialBringsTheWholeLoad(t *testing.T) {
	times := NewSchedule(start, testOrder.Duration)
	r := canaryRegister(1)
	spend(r, start, times.Trial, 200)
	r.Round(times.Trial, nil, 0)
	sent := 0
	for range 12 {
		if r.Plan(times.Trial, "ledger", "r").Canary {
			sent++
		}
	}
	require.GreaterOrEqual(t, sent, 6, "as many as the exposure bears")
}

// TestTrialWaitsForSoundVersions answers a stall of all versions: what the target answers meanwhile would say nothing.
func TestTrialWaitsForSoundVersions(t *testing.T) {
	times := NewSchedule(start, testOrder.Duration)
	r := canaryRegister(1)
	answer := func(now time.Time, d time.Duration) {
		p := r.Plan(now, "ledger", "r")
		for range 30 {
			r.Ended(p, "v1", "i-1", Outcome{Duration: d, UpstreamAge: time.Hour})
		}
		r.Round(now, nil, 0)
	}
	for i := range 8 {
		answer(at(time.Duration(i)*time.Second), 50*time.Millisecond)
	}
	answer(times.Trial, 5*time.Second)
	require.False(t, r.Plan(times.Trial, "ledger", "r").Canary)
	for i := range 4 {
		answer(times.Trial.Add(time.Duration(i)*time.Second), 50*time.Millisecond)
	}
	require.True(t, r.Plan(times.Trial.Add(3*time.Second), "ledger", "r").Canary)
}

// TestRestartSpendsNoMoreSlack answers a gateway that is killed again and again.
func TestRestartSpendsNoMoreSlack(t *testing.T) {
	exposed, total := 0, 0
	for i := range 13 {
		r := canaryRegister(1)
		from := at(time.Duration(i) * time.Second)
		r.rollouts["ledger"].knownSince = from
		exposed += spend(r, from, from.Add(time.Second), 20)
		total += 20
	}
	require.LessOrEqual(t, exposed, int(trialShareFraction*0.1*float64(total)+trialSlackFraction*50)+1)
}

// TestFailoverCountsAsExposure answers requests that reach the target for want of others.
func TestFailoverCountsAsExposure(t *testing.T) {
	r := canaryRegister(1)
	p := r.Plan(at(time.Second), "ledger", "r")
	r.Sent(p, "v2")
	require.Equal(t, 1, r.rollouts["ledger"].exposure.target)
}

func TestReservationIsGivenBack(t *testing.T) {
	r := canaryRegister(1)
	now := at(13 * time.Second)
	r.Round(now, nil, 0)
	p := r.Plan(now, "ledger", "r")
	require.True(t, p.Canary)
	r.Release(p)
	p = r.Plan(now, "ledger", "r")
	require.True(t, p.Canary)
	r.Sent(p, "v1")
	require.Zero(t, r.rollouts["ledger"].exposure.target)
}

// TestRareRouteIsSampled answers a version that is bad on a route with one request in fifty.
func TestRareRouteIsSampled(t *testing.T) {
	r := canaryRegister(1)
	exposed := map[id.Route]int{}
	for i := range 3000 {
		route := id.Route("frequent")
		if i%50 == 0 {
			route = "rare"
		}
		now := start.Add(13 * time.Second * time.Duration(i) / 3000)
		r.Round(now, nil, 0)
		p := r.Plan(now, "ledger", route)
		version := id.Version("v1")
		if p.Canary {
			version = "v2"
			exposed[route]++
		}
		r.Sent(p, version)
	}
	require.GreaterOrEqual(t, exposed["rare"], minRouteAnswers)
	require.Greater(t, exposed["frequent"], exposed["rare"])
}

// TestIsolatedGatewayStopsCanary answers a gateway that would not hear of a verdict.
func TestIsolatedGatewayStopsCanary(t *testing.T) {
	r := canaryRegister(5)
	r.SetFleet(1, true)
	require.Zero(t, spend(r, start, at(13*time.Second), 1000))
}

// TestThawedGatewayStopsCanary answers a process that was frozen while others reached a verdict.
func TestThawedGatewayStopsCanary(t *testing.T) {
	r := canaryRegister(5)
	r.Round(start, nil, 0)
	require.False(t, r.Plan(at(10*time.Second), "ledger", "r").Canary)
	r.Round(at(10*time.Second), nil, 0)
	require.True(t, r.Plan(at(10*time.Second), "ledger", "r").Canary)
}

func TestNoOrderChangesNothing(t *testing.T) {
	require.Nil(t, newRegister().Plan(start, "ledger", "r"))
}

// TestVerdictOfPeerStopsTarget answers a verdict that arrives before any record.
func TestVerdictOfPeerStopsTarget(t *testing.T) {
	r := canaryRegister(3)
	changes := r.Round(at(time.Second), []Report{{Service: "ledger", Target: "v2", Order: 7, State: Canary, Started: start, Condemned: ReasonSlow}}, 2)
	require.Equal(t, ReasonSlow, changes[0].Told)
	require.Zero(t, spend(r, at(time.Second), at(13*time.Second), 1000))
}
