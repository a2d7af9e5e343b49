package rollouttest_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/ragworttest/rollouttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	// perSecond is the rate of requests to each service.
	perSecond = 80
	// within is the time that orders grant.
	within = 12 * time.Second
	// badShare is the share of the answers that could be bad that are.
	badShare = 0.6
	// underLoad is how many requests a replica runs while a version is bad that is so under load. At the
	// rate of requests a replica runs as many at most times once it has half of them.
	underLoad = 3
)

// defects are the ways in which a version is bad, by the service that gets it.
var defects = map[id.Service]standin.Defect{
	"fails-at-once":    {Way: standin.BadFails, Share: badShare},
	"fails-later":      {Way: standin.BadFails, Share: badShare, After: 3 * time.Second},
	"fails-under-load": {Way: standin.BadFails, Share: badShare, AtRunning: underLoad},
	"fails-on-a-path":  {Way: standin.BadFails, Share: badShare, PathPrefix: "/stream/"},
	"slow-at-once":     {Way: standin.BadSlow, Share: badShare},
	"slow-later":       {Way: standin.BadSlow, Share: badShare, After: 3 * time.Second},
	"slow-under-load":  {Way: standin.BadSlow, Share: badShare, AtRunning: underLoad},
	"slow-on-a-path":   {Way: standin.BadSlow, Share: badShare, PathPrefix: "/look/"},
	"crashes":          {Way: standin.BadCrashes, Share: 0.2},
}

// soundServices get a good version.
var soundServices = []id.Service{"sound-a", "sound-b"}

// sleepUntil sleeps until a time.
func sleepUntil(at time.Time) { time.Sleep(time.Until(at)) }

// TestVersions orders roll-outs of all services at once. It guards against a good version that is not in use
// in time, or whose roll-out cuts a request, and against a bad one that gets more than its share, or any
// request too late, for each way of being bad.
func TestVersions(t *testing.T) {
	services := slices.Clone(soundServices)
	for service := range defects {
		services = append(services, service)
	}
	f := rollouttest.NewFleet(t, services...)
	loads := make(map[id.Service]*rollouttest.Load)
	rollouts := make(map[id.Service]*standin.Rollout)
	for _, service := range services {
		loads[service] = f.Send(service, perSecond)
	}
	time.Sleep(time.Second)
	for _, service := range services {
		rollouts[service] = f.Order(service, "v2", within, defects[service])
	}
	time.Sleep(within + time.Second)
	for _, service := range services {
		t.Run(string(service), func(t *testing.T) {
			e := f.Exposure(rollouts[service])
			if _, bad := defects[service]; bad {
				assert.Empty(t, e.BadViolations(rollouttest.TestedBounds))
				requireServedLately(t, loads[service].Results())
				return
			}
			assert.Empty(t, e.GoodViolations())
			requireAllServed(t, loads[service].Results())
		})
	}
}

// requireAllServed requires that every request got its whole answer, but for a few that were refused as not
// run.
func requireAllServed(t *testing.T, results []rollouttest.Result) {
	t.Helper()
	refused := 0
	for _, r := range results {
		if r.Refused {
			refused++
		} else if !r.Whole {
			assert.Fail(t, "a request got no whole answer", r.String())
		}
	}
	require.NotEmpty(t, results)
	assert.LessOrEqual(t, refused, len(results)/100, "refused")
}

// requireServedLately requires that nearly all requests of the last second got their whole answers.
func requireServedLately(t *testing.T, results []rollouttest.Result) {
	t.Helper()
	require.NotEmpty(t, results)
	last, whole, all := results[len(results)-1].Done, 0, 0
	for _, r := range results {
		if last.Sub(r.Sent) > time.Second {
			continue
		}
		all++
		if r.Whole {
			whole++
		}
	}
	assert.GreaterOrEqual(t, whole, all*9/10, "served of %d in the last second", all)
}

// failure is a failure while two roll-outs go on, the one of a good version and the other of a bad one.
type failure struct {
	name string
	// play plays the failure; it returns before the end of the roll-outs.
	play func(t *testing.T, f *rollouttest.Fleet, ordered time.Time)
	cuts bool // requests on their way through a gateway are cut
}

var failures = []failure{
	{"holder killed as it begins", killHolderAt(100 * time.Millisecond), true},
	{"holder killed early", killHolderAt(1500 * time.Millisecond), true},
	{"holder killed halfway", killHolderAt(5 * time.Second), true},
	{"holder killed late", killHolderAt(8 * time.Second), true},
	{"holder killed again and again", killHolderAt(300*time.Millisecond, 2500*time.Millisecond, 5*time.Second, 7500*time.Millisecond), true},
	{"holder cut off from the store", func(_ *testing.T, f *rollouttest.Fleet, ordered time.Time) {
		sleepUntil(ordered.Add(1500 * time.Millisecond))
		f.Writer().CutOff(6 * time.Second)
	}, false},
	{"store away", storeFaults(time.Second, 4*time.Second, standin.StoreFaults{Status: http.StatusServiceUnavailable}), false},
	{"store slow", storeFaults(0, 10*time.Second, standin.StoreFaults{ResponseDelay: 300 * time.Millisecond}), false},
	{"store answers lost", func(_ *testing.T, f *rollouttest.Fleet, ordered time.Time) {
		for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second} {
			sleepUntil(ordered.Add(after))
			f.Store.SetFaults(standin.StoreFaults{DropResponses: 3})
		}
		sleepUntil(ordered.Add(10 * time.Second))
		f.Store.SetFaults(standin.StoreFaults{})
	}, false},
	{"store comes back older", func(_ *testing.T, f *rollouttest.Fleet, ordered time.Time) {
		before := f.Store.Copy() // without what was written of the roll-out
		sleepUntil(ordered.Add(4 * time.Second))
		f.Store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
		time.Sleep(300 * time.Millisecond)
		rewrite := f.Store.Restore(before)
		f.Store.SetFaults(standin.StoreFaults{})
		rewrite()
	}, false},
}

// killHolderAt kills the gateway that has last written about roll-outs at times after the order.
func killHolderAt(times ...time.Duration) func(*testing.T, *rollouttest.Fleet, time.Time) {
	return func(_ *testing.T, f *rollouttest.Fleet, ordered time.Time) {
		for _, after := range times {
			sleepUntil(ordered.Add(after))
			f.Writer().KillFor(500 * time.Millisecond)
		}
	}
}

// storeFaults has the whole store fail for a time.
func storeFaults(after, duration time.Duration, faults standin.StoreFaults) func(*testing.T, *rollouttest.Fleet, time.Time) {
	return func(_ *testing.T, f *rollouttest.Fleet, ordered time.Time) {
		sleepUntil(ordered.Add(after))
		f.Store.SetFaults(faults)
		time.Sleep(duration)
		f.Store.SetFaults(standin.StoreFaults{})
	}
}

// fleetSlots bounds how many fleets run at once.
var fleetSlots = make(chan struct{}, 4)

// TestFailures guards against a roll-out that a failure stops, ends wrongly, or lets expose too much.
func TestFailures(t *testing.T) {
	t.Parallel()
	for _, c := range failures {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleetSlots <- struct{}{}
			defer func() { <-fleetSlots }()
			f := rollouttest.NewFleet(t, "sound", "fails")
			good, bad := f.Send("sound", perSecond), f.Send("fails", perSecond)
			time.Sleep(500 * time.Millisecond)
			sound := f.Order("sound", "v2", within, standin.Defect{})
			fails := f.Order("fails", "v2", within, defects["fails-at-once"])
			c.play(t, f, sound.Record().OrderedAt)
			sleepUntil(sound.Record().Deadline.Add(time.Second))
			assert.Empty(t, f.Exposure(sound).GoodViolations())
			assert.Empty(t, f.Exposure(fails).BadViolations(rollouttest.TestedBounds))
			if !c.cuts {
				requireAllServed(t, good.Results())
			}
			requireServedLately(t, good.Results())
			requireServedLately(t, bad.Results())
		})
	}
}

// waitSlack is how long requests that are on their way may arrive after an order has changed, in addition to
// the time in which a configuration is in force.
const waitSlack = 500 * time.Millisecond

// oddOrders are orders that cannot be read, or are for another service than their key names.
var oddOrders = []struct {
	service id.Service
	text    string
}{
	{"odd", `{"Service":5,"Target":"v2"}`}, {"odd-1", "no order"}, {"odd-2", `{"Service":"other","Target":"v2","DurationS":12}`},
	{"odd", `{"Service":"odd","Target":"v2","DurationS":-1}`}, {"odd", `{"Service":"odd","Target":{}}`},
}

// TestOrders guards against orders that change, or that cannot be carried out.
func TestOrders(t *testing.T) {
	t.Parallel()
	f := rollouttest.NewFleet(t, "withdrawn", "replaced", "same", "none", "again", "odd", "other")
	loads := make(map[id.Service]*rollouttest.Load)
	for _, service := range []id.Service{"withdrawn", "replaced", "same", "none", "again", "odd", "other"} {
		loads[service] = f.Send(service, perSecond/2)
	}
	time.Sleep(500 * time.Millisecond)
	for _, c := range oddOrders {
		f.Store.Put(standin.OperatorsTopic, standin.RolloutKey(c.service), []byte(c.text))
	}
	checks := map[string]func(t *testing.T){
		"withdrawn":            func(t *testing.T) { checkWithdrawn(t, f) },
		"replaced":             func(t *testing.T) { checkReplaced(t, f) },
		"same version":         func(t *testing.T) { checkSameVersion(t, f, loads["same"]) },
		"no replicas":          func(t *testing.T) { checkNoReplicas(t, f, loads["none"]) },
		"again, address reuse": func(t *testing.T) { checkAgain(t, f) },
		"unknown service": func(t *testing.T) {
			r := f.Order("nowhere", "v2", within, standin.Defect{})
			sleepUntil(r.Record().Deadline)
			e := f.Exposure(r)
			assert.Zero(t, e.Requests)
			assert.False(t, e.Ended && e.End.State == standin.RolloutDone, "an order for a service that is not there was reported as done")
		},
	}
	t.Run("all", func(t *testing.T) {
		for name, check := range checks {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				check(t)
			})
		}
	})
	for _, service := range []id.Service{"odd", "other"} {
		requireAllServed(t, loads[service].Results())
	}
}

// exposedAfter returns how many requests the target of a roll-out got after a time.
func exposedAfter(f *rollouttest.Fleet, r *standin.Rollout, after time.Time) (n int) {
	record := r.Record()
	for _, run := range f.Replicas.Runs() {
		if run.Service == record.Service && run.Version == record.Target && run.At.After(after) {
			n++
		}
	}
	return n
}

// checkWithdrawn withdraws an order while it is carried out.
func checkWithdrawn(t *testing.T, f *rollouttest.Fleet) {
	r := f.Order("withdrawn", "v2", within, standin.Defect{})
	time.Sleep(2500 * time.Millisecond)
	f.Store.WithdrawRollout("withdrawn")
	withdrawn := time.Now()
	sleepUntil(r.Record().Deadline)
	e := f.Exposure(r)
	assert.Empty(t, e.Problems)
	assert.True(t, e.Ended, "the order has ended")
	assert.Equal(t, standin.RolloutRolledBack, e.End.State)
	assert.Zero(t, exposedAfter(f, r, withdrawn.Add(configTime+waitSlack)), "requests of the version after the withdrawal")
}

// configTime is the time in which what an operator writes is in force; see Fleet.
const configTime = 2 * time.Second

// checkReplaced orders another version while the first, which is bad, is being rolled out.
func checkReplaced(t *testing.T, f *rollouttest.Fleet) {
	first := f.Order("replaced", "v2", within, standin.Defect{Way: standin.BadFails, Share: badShare, After: 2 * time.Second})
	time.Sleep(2 * time.Second)
	second := f.Order("replaced", "v3", within, standin.Defect{})
	sleepUntil(second.Record().Deadline.Add(time.Second))
	assert.Empty(t, f.Exposure(second).GoodViolations())
	assert.Empty(t, f.Exposure(first).SharedViolations(rollouttest.TestedBounds))
	assert.Zero(t, exposedAfter(f, first, second.Record().OrderedAt.Add(configTime+waitSlack)), "requests of the version that was replaced")
}

// requireStep requires that the operator is shown how the roll-out of a service ended, and why.
func requireStep(t *testing.T, f *rollouttest.Fleet, service id.Service, step, reason string) {
	t.Helper()
	shown, err := operator.NewRollouts(platform.NewOperatorStore(f.StoreAddress())).Show(t.Context(), service)
	require.NoError(t, err)
	require.Len(t, shown, 1)
	require.NotNil(t, shown[0].Step, shown[0].String())
	assert.Equal(t, []string{step, reason}, []string{shown[0].Step.Name, shown[0].Step.Reason})
	assert.False(t, shown[0].Running())
}

// checkSameVersion orders the version that all replicas run.
func checkSameVersion(t *testing.T, f *rollouttest.Fleet, l *rollouttest.Load) {
	r, err := f.Replicas.Order(t.Context(), standin.RolloutOrder{Service: "same", Target: "v1", Within: within / 2})
	require.NoError(t, err)
	sleepUntil(r.Record().Deadline)
	assert.Empty(t, f.Exposure(r).GoodViolations())
	requireStep(t, f, "same", "done", "running")
	requireAllServed(t, l.Results())
}

// checkNoReplicas orders a version of which no replica starts.
func checkNoReplicas(t *testing.T, f *rollouttest.Fleet, l *rollouttest.Load) {
	r, err := f.Replicas.Order(t.Context(), standin.RolloutOrder{Service: "none", Target: "v2", Within: within / 2})
	require.NoError(t, err)
	sleepUntil(r.Record().Deadline.Add(time.Second))
	assert.Empty(t, f.Exposure(r).BadViolations(rollouttest.TestedBounds))
	requireStep(t, f, "none", "rolled_back", "absent")
	requireAllServed(t, l.Results())
}

// checkAgain orders a version that is rolled back, uses the addresses of its replicas again for another
// service, and then orders the version again with the fault mended.
func checkAgain(t *testing.T, f *rollouttest.Fleet) {
	first := f.Order("again", "v2", within/2, standin.Defect{Way: standin.BadFails, Share: 1})
	var addresses []string
	require.Eventually(t, func() bool {
		addresses = nil
		for _, r := range f.Replicas.Listed() {
			if r.Config.Service == "again" && r.Config.Version == "v2" {
				addresses = append(addresses, r.Address)
			}
		}
		return len(addresses) == 2
	}, within, 10*time.Millisecond)
	sleepUntil(first.Record().Deadline)
	assert.Empty(t, f.Exposure(first).BadViolations(rollouttest.TestedBounds))
	reused := make(map[id.Upstream]bool)
	for _, address := range addresses {
		cfg := rollouttest.ReplicaConfigs("other", "v1", standin.Defect{})[0]
		cfg.Address = address
		var r *standin.Replica
		require.Eventually(t, func() (started bool) {
			var err error
			r, err = f.Replicas.Start(cfg)
			return err == nil
		}, within, 100*time.Millisecond, "the replicas of the version that was rolled back have not left")
		reused[r.ID] = true
	}
	second := f.Order("again", "v2", within, standin.Defect{})
	sleepUntil(second.Record().Deadline)
	assert.Empty(t, f.Exposure(second).GoodViolations())
	runs := make(map[id.Upstream]int)
	for _, run := range f.Replicas.Runs() {
		if reused[run.Replica] {
			runs[run.Replica]++
		}
	}
	assert.Len(t, runs, len(reused), fmt.Sprintf("replicas at addresses that are used again, of %v, that got requests", reused))
}
