package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
)

// TestSnapshotPlansAlikeAndSpendsNothing answers explanations that use up the exposure of a canary, or foresee another
// plan than the next request gets.
func TestSnapshotPlansAlikeAndSpendsNothing(t *testing.T) {
	r := canaryRegister(2)
	canaries := 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 30 * time.Millisecond)
		r.Round(now, nil, 0)
		route := id.Route([]string{"frequent", "frequent", "rare"}[i%3])
		exposed := r.rollouts["ledger"].exposure
		routes := len(exposed.routes)
		seed := func() func() float64 { return rand.New(rand.NewPCG(uint64(i), 1)).Float64 }
		copied := r.Snapshot("ledger", seed())
		foreseen := copied.Plan(now, "ledger", route)
		copied.Sent(foreseen, "v2")
		require.Equal(t, exposed.sends, r.rollouts["ledger"].exposure.sends)
		require.Equal(t, exposed.target, r.rollouts["ledger"].exposure.target)
		require.Len(t, r.rollouts["ledger"].exposure.routes, routes)
		r.random = seed()
		plan := r.Plan(now, "ledger", route)
		require.Equal(t, foreseen.Filters, plan.Filters)
		require.Equal(t, foreseen.Canary, plan.Canary)
		if plan.Canary {
			canaries++
			r.Sent(plan, "v2")
		} else {
			r.Sent(plan, "v1")
		}
	}
	require.Greater(t, canaries, 5)
}

// TestSnapshotInEveryState answers snapshots that lack what the plan of a state depends on.
func TestSnapshotInEveryState(t *testing.T) {
	plan := func(r *Register, now time.Time) []Filter { return r.Plan(now, "ledger", "r").Filters }
	half := func() float64 { return 0.5 }
	for state := Unknown; state <= Done; state++ {
		for _, withdrawn := range []bool{false, true} {
			r := New(Config{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, half)
			r.Order(start, testOrder)
			r.SetService(start, "ledger", bothVersions)
			r.Adopt(Record{Service: "ledger", Target: "v2", Order: 7, State: state, Started: start, At: start, Rejected: []id.Version{"v0"}})
			if withdrawn {
				r.Withdraw("ledger")
			}
			for _, now := range []time.Time{start, at(time.Second), at(3 * time.Second)} {
				r.Round(now, nil, 0)
				require.Equal(t, plan(r.Snapshot("ledger", half), now), plan(r, now), state)
			}
		}
	}
	d, known := canaryRegister(1).Snapshot("ledger", half).Describe("ledger")
	require.True(t, known)
	require.Equal(t, Canary, d.State)
	_, known = canaryRegister(1).Snapshot("other", half).Describe("other")
	require.False(t, known)
}

// TestSnapshotOfTrial answers snapshots that lack what a trial depends on.
func TestSnapshotOfTrial(t *testing.T) {
	for name, change := range map[string]func(r *rollout){
		"none":            func(*rollout) {},
		"in doubt":        func(r *rollout) { r.inDoubt = true },
		"others are slow": func(r *rollout) { r.sound.isDisturbed = true },
		"upstreams":       func(r *rollout) { r.trialUpstreams = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			plans := make(map[bool]int)
			g := canaryRegister(1)
			r := g.rollouts["ledger"]
			r.exposure.sends = 1000
			change(r)
			now := r.schedule().Trial
			g.roundAt = now
			for i := range 40 {
				seed := func() func() float64 { return rand.New(rand.NewPCG(uint64(i), 1)).Float64 }
				g.random = seed()
				foreseen := g.Snapshot("ledger", seed()).Plan(now, "ledger", "frequent")
				plan := g.Plan(now, "ledger", "frequent")
				require.Equal(t, plan.Canary, foreseen.Canary)
				require.Equal(t, plan.Filters, foreseen.Filters)
				plans[plan.Canary]++
				g.Release(plan)
			}
			t.Log(plans)
		})
	}
}
