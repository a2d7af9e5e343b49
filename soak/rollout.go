package main

// This file defines the fault rollout, in which a service of its own gets another version, good or bad, and
// the checker of what that version gets and of how the roll-out ends.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest/rollouttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	rolledService id.Service = "rolled"
	// rolloutTime is the time that an order grants; it comes rolloutLead after the first requests.
	rolloutTime, rolloutLead = 10 * time.Second, time.Second
	// rolloutRate is how many requests a second the service gets, and rolloutWork what one takes.
	rolloutRate, rolloutWork = 80, 60 * time.Millisecond
	// withdrawAfter is when an order that is withdrawn is.
	withdrawAfter = 3 * time.Second
)

// rolloutPlan is what is rolled out.
type rolloutPlan struct {
	defect    standin.Defect // the zero value: the version is good
	withdrawn bool
}

// rolloutPlans are the plans to draw from; a repeated one is drawn more often.
var rolloutPlans = []rolloutPlan{
	{}, {}, {}, {withdrawn: true},
	{defect: standin.Defect{Way: standin.BadFails, Share: 0.5}},
	{defect: standin.Defect{Way: standin.BadFails, Share: 0.5, After: rolloutTime / 4}},
	{defect: standin.Defect{Way: standin.BadFails, Share: 0.7, AtRunning: 2}},
	{defect: standin.Defect{Way: standin.BadFails, Share: 0.7, PathPrefix: "/stream/"}},
	{defect: standin.Defect{Way: standin.BadSlow, Share: 0.7}},
	{defect: standin.Defect{Way: standin.BadSlow, Share: 0.7, After: rolloutTime / 4}},
	{defect: standin.Defect{Way: standin.BadSlow, Share: 0.9, AtRunning: 2}},
	{defect: standin.Defect{Way: standin.BadSlow, Share: 0.9, PathPrefix: "/look/"}},
	{defect: standin.Defect{Way: standin.BadCrashes, Share: 0.2}},
}

// String describes the plan.
func (p rolloutPlan) String() string {
	switch {
	case p.withdrawn:
		return "withdrawn"
	case p.defect.Way == "":
		return "good"
	}
	return fmt.Sprintf("%s (%.1f after %v from %d running on %s/)", p.defect.Way, p.defect.Share, p.defect.After, p.defect.AtRunning, strings.TrimSuffix(p.defect.PathPrefix, "/"))
}

// rolledOut is a roll-out, and what replicas of its service have run.
type rolledOut struct {
	plan    rolloutPlan
	record  standin.RolloutRecord
	runs    []standin.ReplicaRun
	senders map[id.Request]id.Node
}

// drawRollout draws a roll-out, if it fits into the run: in half of the runs one that begins as the other faults
// end. It is called after those, so that the schedules of seeds that once failed stay as they were.
func (tb *testbed) drawRollout(total time.Duration) []scheduledFault {
	if total < rolloutTime {
		return nil
	}
	return []scheduledFault{{name: "rollout", start: min(total, time.Duration(tb.rng.Int64N(2*int64(total)))), duration: rolloutLead + rolloutTime, variant: tb.rng.IntN(1 << 16)}}
}

// rolloutRoutes returns the routes of the service that is rolled out.
func rolloutRoutes() (routes []catalog.Route) {
	for prefix, kind := range map[string]catalog.Kind{"/look/": catalog.KindSafe, "/stream/": catalog.KindStream} {
		routes = append(routes, catalog.Route{
			Name: id.Route("rolled" + prefix[:len(prefix)-1]), Host: rollouttest.HostOf(rolledService), PathPrefix: prefix, Kind: kind, Timeout: callerDeadline,
			MaxAttempts: 2, Public: true, Services: []catalog.WeightedService{{Service: rolledService, Weight: 1}},
		})
	}
	return routes
}

// rollOut has callers call the service and rolls out a version of it.
func (tb *testbed) rollOut(f scheduledFault) {
	ctx, cancel := context.WithCancel(context.Background())
	replicas := standin.NewReplicas(tb.store)
	tb.rollouts.Go(func() { replicas.Run(ctx) })
	defer cancel()
	plan := rolloutPlans[f.variant%len(rolloutPlans)]
	configs := func(version id.Version, d standin.Defect) (all []standin.ReplicaConfig) {
		for _, dc := range dataCentres {
			all = append(all, standin.ReplicaConfig{Service: rolledService, Version: version, DataCentre: dc, Work: rolloutWork, Defect: d})
		}
		return all
	}
	for _, cfg := range configs("v1", standin.Defect{}) {
		_, err := replicas.Start(cfg)
		require.NoError(tb.t, err)
	}
	load := rollouttest.StartLoad(rolledService, rolloutRate, func() (id.Node, string) {
		nodes := tb.nodesInRotation()
		n := nodes[rand.IntN(len(nodes))]
		return n.name, n.callerAddress
	})
	defer load.Stop()
	if !tb.sleep(rolloutLead) {
		return
	}
	r, err := replicas.Order(ctx, standin.RolloutOrder{Service: rolledService, Target: "v2", Within: rolloutTime, Replicas: configs("v2", plan.defect)})
	require.NoError(tb.t, err)
	if plan.withdrawn && tb.sleep(withdrawAfter) {
		tb.store.WithdrawRollout(rolledService)
	}
	if !tb.sleep(time.Until(r.Record().Deadline) + linkTransit) {
		return
	}
	rolled := rolledOut{plan: plan, senders: make(map[id.Request]id.Node)}
	for _, result := range load.Stop() {
		rolled.senders[result.Request] = result.Node
	}
	rolled.record, rolled.runs = r.Record(), replicas.Runs()
	tb.add(func() { tb.rolled = append(tb.rolled, rolled) })
}

// checkRollout checks that a bad version gets no more than its share, and nothing from entries in contact once
// it should be rolled back; and that every roll-out ends as it should by its deadline, if nothing
// disturbed all entries at once while it went on.
func checkRollout(h *history) (v checkResult) {
	for _, r := range h.rolled {
		e, disturbed := h.exposure(&r)
		isBad := r.plan.defect.Way != ""
		var lines []string
		switch {
		case disturbed && isBad:
			e.Ended, e.Problems = false, nil
			lines = e.SharedViolations(rollouttest.TestedBounds)
		case disturbed:
			continue
		case r.plan.withdrawn:
			e.Exposed = 0 // the version is good
			lines = e.BadViolations(rollouttest.TestedBounds)
		case isBad:
			lines = e.BadViolations(rollouttest.TestedBounds)
		default:
			lines = e.GoodViolations()
		}
		v.checked++
		for _, line := range lines {
			v.violation("%v version, ordered at %v: %s (%v)", r.plan, r.record.OrderedAt.Sub(h.start), line, e)
		}
	}
	return v
}

// exposure returns what the target of a roll-out got, without what came too late from entries out of contact, and
// whether something disturbed all entries at once meanwhile.
func (h *history) exposure(r *rolledOut) (e rollouttest.Exposure, disturbed bool) {
	went := span{r.record.OrderedAt.Sub(h.start), r.record.Deadline.Sub(h.start)}
	disturbed = slices.ContainsFunc(h.disturbances, func(d disturbance) bool { return !d.maintenance && d.node == "" && d.overlaps(went) })
	excuse := func(run standin.ReplicaRun, from time.Time) bool {
		return !h.inContact(r.senders[run.Request], span{from.Sub(h.start), run.At.Sub(h.start)})
	}
	return rollouttest.Count(r.runs, &r.record, rollouttest.TestedBounds, excuse), disturbed
}

// rolloutSummary describes the roll-outs of a run.
func (h *history) rolloutSummary() string {
	var b strings.Builder
	for _, r := range h.rolled {
		e, disturbed := h.exposure(&r)
		fmt.Fprintf(&b, "; %v version (disturbed %t): %v", r.plan, disturbed, e)
	}
	return b.String()
}
