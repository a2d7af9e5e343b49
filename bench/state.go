package bench

// This file defines the experiments about state on the platform's log.

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/operator"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/standin"
)

// Bounds of the promises about state.
const (
	withdrawnWithin = 3 * time.Second
	inForceWithin   = 3 * time.Second
	outageShare     = 0.95 // of the attainment before a log outage
	minReports      = 1
)

func stateExperiments() []*Experiment {
	return []*Experiment{
		{
			Name: "log_outage", Help: "the log is down for seven seconds, and an entry starts meanwhile",
			Length: 13 * time.Second, State: true, Steps: logOutage, Checks: logOutageChecks,
		},
		{
			Name: "key_withdrawn", Help: "a key in use is withdrawn while one entry is cut off from the log",
			Length: 12 * time.Second, State: true, Steps: keyWithdrawn, Checks: keyWithdrawnChecks,
		},
		{
			Name: "holder_paused", Help: "each entry in turn, so also each lease holder, is cut off from the platform",
			Length: 16 * time.Second, State: true, Steps: holderPaused, Checks: holderPausedChecks,
		},
		{
			Name: "racing_operators", Help: "two operators publish different rules at the same time, again and again",
			Length: 12 * time.Second, State: true, Steps: racingOperators, Checks: racingOperatorsChecks,
		},
		{
			Name: "booking_faults", Help: "bookings through lost answers, crashes and a log outage",
			Length: 14 * time.Second, State: true, Alter: manyBookings, Steps: bookingFaults, Checks: bookingFaultsChecks,
		},
		{
			Name: "rolling_restart", Help: "every entry and sidecar is replaced",
			Length: 26 * time.Second, State: true, Steps: rollingRestart, Checks: rollingRestartChecks,
		},
	}
}

const (
	stepOutage = "log outage"
	outageFrom = 2 * time.Second
	outageTo   = 9 * time.Second
	entryAt    = 3 * time.Second
	entrySeen  = 8 * time.Second
)

func logOutage(t *Trial) []Step {
	var fresh *Node
	return []Step{
		{At: outageFrom, Name: stepOutage, Do: func(context.Context, *Trial) error {
			t.Fleet.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			return nil
		}},
		{At: entryAt, Name: "a fresh entry starts", Do: func(context.Context, *Trial) (err error) {
			fresh, err = t.Fleet.StartEntry(t.Deployment.DataCentres[0])
			return err
		}},
		{At: entrySeen, Name: "look at the fresh entry", Do: func(ctx context.Context, t *Trial) error {
			if ready(ctx, process.NewExternalClient(), fresh.Address) && fresh.State.Offset() < t.newest() {
				t.counts["ready_behind"]++
			}
			return nil
		}},
		{At: outageTo, Name: "log back", Do: func(context.Context, *Trial) error {
			t.Fleet.Platform.SetFaults(standin.PlatformFaults{})
			return nil
		}},
	}
}

// newest returns the highest offset that a node has folded.
func (t *Trial) newest() id.Offset {
	highest := id.Offset(0)
	for _, n := range t.Fleet.allNodes() {
		highest = max(highest, n.State.Offset())
	}
	return highest
}

func logOutageChecks(t *Trial) []Check {
	models := 0
	for _, x := range t.Results {
		if x.Arrival.Traffic.Kind == Chat && x.Reason == problem.LogUnavailable {
			models++
		}
	}
	top := t.Deployment.Top
	during, before := t.attained(top, outageFrom+time.Second, outageTo), t.attained(top, 0, outageFrom)
	return []Check{
		none("ready_on_less_than_peers", t.counts["ready_behind"]),
		none("model_calls_refused_for_the_log", models),
		atLeast("attainment_during_outage", during/max(before, 1e-9), outageShare),
	}
}

const stepWithdrawn = "key withdrawn"

// withdrawnWorkspace returns the workspace whose key is withdrawn: the one with
// the largest share.
func (t *Trial) withdrawnWorkspace() id.Workspace {
	names, weights := shares(t.Set)
	return names[slices.Index(weights, slices.Max(weights))]
}

func keyWithdrawn(*Trial) []Step {
	cut := func(on bool) func(context.Context, *Trial) error {
		return func(_ context.Context, t *Trial) error {
			t.Fleet.Nodes(RoleEntry)[0].CutOff(on)
			return nil
		}
	}
	return []Step{
		{At: 2 * time.Second, Name: "an entry cut off from the platform", Do: cut(true)},
		{At: 3 * time.Second, Name: stepWithdrawn, Do: func(ctx context.Context, t *Trial) error {
			return t.Fleet.Operator.WithdrawKey(ctx, time.Now(), t.Fleet.KeyIDs[t.withdrawnWorkspace()], "bench")
		}},
		{At: 9 * time.Second, Name: "the entry sees the platform again", Do: cut(false)},
	}
}

func keyWithdrawnChecks(t *Trial) []Check {
	end := t.marks[stepWithdrawn].Add(withdrawnWithin)
	sent, streamed, others := 0, 0, 0
	for _, x := range t.Results {
		keyRefused := x.Reason == problem.KeyWithdrawn || x.Reason == problem.KeyUnknown
		switch {
		case x.Arrival.Workspace != t.withdrawnWorkspace():
			if keyRefused {
				others++
			}
		case x.Sent.After(end) && x.Outcome == Whole:
			sent++
		case x.Sent.Before(end) && x.Last.After(end) && x.Tokens > 0:
			streamed++
		}
	}
	return []Check{
		none("calls_after_withdrawal", sent),
		none("streams_past_withdrawal", streamed),
		none("other_keys_refused", others),
	}
}

// holderPaused cuts off one entry after another. A process inside the bench
// cannot be stopped by a signal; the process tests do that.
func holderPaused(t *Trial) []Step {
	var steps []Step
	for i := range fleetEntries {
		at := time.Duration(2+7*i) * time.Second
		for j, on := range []bool{true, false} {
			steps = append(steps, Step{
				At: at + time.Duration(6*j)*time.Second, Name: fmt.Sprintf("entry %d cut off: %t", i, on),
				Do: func(context.Context, *Trial) error {
					t.Fleet.Nodes(RoleEntry)[i].CutOff(on)
					return nil
				},
			})
		}
	}
	return steps
}

func holderPausedChecks(t *Trial) []Check {
	reports := t.Fleet.Platform.ReportsSeen()
	taken := slices.DeleteFunc(slices.Clone(reports), func(r standin.ReportSeen) bool { return !r.Taken })
	return []Check{
		none("windows_under_two_reports", windowsTwice(taken)),
		none("orders_of_two_holders", staleOrders(t.Fleet.Platform.OrdersSeen())),
		atLeast("usage_reports", float64(len(taken)), minReports),
	}
}

// windowsTwice counts the windows that were reported under more than one id.
func windowsTwice(taken []standin.ReportSeen) int {
	ids := make(map[int64]string)
	twice := 0
	for _, r := range taken {
		window := r.Report.WindowStart.UnixNano()
		if first, ok := ids[window]; ok && first != r.Report.ID {
			twice++
			continue
		}
		ids[window] = r.Report.ID
	}
	return twice
}

// staleOrders counts the orders that were taken from a holder after one with a
// higher fencing number, or under one number from two holders.
func staleOrders(seen []standin.OrderSeen) int {
	highest := id.Term(0)
	by := make(map[id.Term]id.Node)
	stale := 0
	for _, o := range seen {
		if !o.Taken {
			continue
		}
		first, known := by[o.Order.FencingNumber]
		if o.Order.FencingNumber < highest || (known && first != o.Order.OrderedBy) {
			stale++
		}
		highest = max(highest, o.Order.FencingNumber)
		if !known {
			by[o.Order.FencingNumber] = o.Order.OrderedBy
		}
	}
	return stale
}

const (
	raceRounds  = 12
	raceSpacing = 700 * time.Millisecond
	racePoll    = 20 * time.Millisecond
)

func racingOperators(*Trial) []Step {
	var steps []Step
	for i := range raceRounds {
		steps = append(steps, Step{
			At: time.Second + time.Duration(i)*raceSpacing, Name: fmt.Sprint("race ", i),
			Do: func(ctx context.Context, t *Trial) error { return t.race(ctx, i) },
		})
	}
	return steps
}

// race lets two operators publish from the same base, and watches the rules that
// are in force until every node has the winner's.
func (t *Trial) race(ctx context.Context, round int) error {
	s, err := t.Fleet.Operator.State(ctx)
	if err != nil {
		return err
	}
	base := s.Rules().Offset
	var wg sync.WaitGroup
	var offsets [2]id.Offset
	var errs [2]error
	for i := range offsets {
		wg.Go(func() {
			text := fmt.Sprintf("%s\n# round %d, operator %d\n", t.Deployment.Rules, round, i)
			offsets[i], errs[i] = t.Fleet.Operator.Publish(ctx, time.Now(), t.Deployment.Name, text, base)
		})
	}
	wg.Wait()
	won, lost := 0, 0
	winner := id.Offset(0)
	var conflict *operator.ConflictError
	for i, err := range errs {
		switch {
		case err == nil:
			won, winner = won+1, offsets[i]
		case errors.As(err, &conflict):
			lost++
		}
	}
	if won != 1 || lost != 1 {
		t.counts["unclear"]++
	}
	t.watchRules(winner)
	return nil
}

// watchRules waits until every node has the rules of an offset, and counts nodes
// whose rules go back or come late.
func (t *Trial) watchRules(want id.Offset) {
	seen := make(map[id.Node]id.Offset)
	for end := time.Now().Add(inForceWithin); ; time.Sleep(racePoll) {
		behind := 0
		for _, n := range t.Fleet.allNodes() {
			offset := n.State.Rules().Offset
			if offset < seen[n.Name] {
				t.counts["reverted"]++
			}
			seen[n.Name] = offset
			if offset < want {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		if time.Now().After(end) {
			t.counts["late"] += behind
			return
		}
	}
}

func racingOperatorsChecks(t *Trial) []Check {
	return []Check{
		none("races_without_one_winner", t.counts["unclear"]),
		none("nodes_late_with_rules", t.counts["late"]),
		none("rules_reverted", t.counts["reverted"]),
	}
}

const (
	bookingSurge = 6.0
	lostAnswers  = 5
)

// manyBookings raises the class of the plain services.
func manyBookings(t *Trial) {
	for _, tr := range t.Deployment.Traffic {
		if tr.Kind == Booking {
			t.Plan.Surges = []Surge{{To: t.Plan.Length, Class: tr.Class, Factor: bookingSurge}}
		}
	}
}

func bookingFaults(t *Trial) []Step {
	outage := func(on bool) func(context.Context, *Trial) error {
		return func(_ context.Context, t *Trial) error {
			t.Fleet.Platform.SetFaults(standin.PlatformFaults{Outage: on})
			return nil
		}
	}
	return []Step{
		{At: time.Second, Name: "services lose answers", Do: func(context.Context, *Trial) error {
			for _, u := range t.Fleet.Upstreams() {
				if u.Service != nil {
					u.Service.SetFaults(standin.ServiceFaults{LoseAnswers: lostAnswers})
				}
			}
			return nil
		}},
		{At: 3 * time.Second, Name: "an entry crashes", Do: func(context.Context, *Trial) error {
			n := t.Fleet.Nodes(RoleEntry)[0]
			t.killed["http://"+n.Address] = true
			n.Kill()
			_, err := t.Fleet.StartEntry(n.DataCentre)
			return err
		}},
		{At: 6 * time.Second, Name: "a service's sidecar crashes", Do: func(context.Context, *Trial) error {
			for _, n := range t.Fleet.Nodes(RoleSidecar) {
				if n.Upstream.Service != nil {
					n.Kill()
					_, err := t.Fleet.StartSidecar(n.Upstream)
					return err
				}
			}
			return nil
		}},
		{At: 8 * time.Second, Name: "the log loses answers", Do: func(context.Context, *Trial) error {
			t.Fleet.Platform.SetFaults(standin.PlatformFaults{LoseAnswers: lostAnswers})
			return nil
		}},
		{At: 10 * time.Second, Name: stepOutage, Do: outage(true)},
		{At: 12 * time.Second, Name: "log back", Do: outage(false)},
	}
}

func bookingFaultsChecks(t *Trial) []Check {
	answered := 0
	runs := t.Fleet.Bookings()
	for _, x := range t.Results {
		if x.Arrival.Traffic.Kind == Booking && x.Outcome == Whole && runs[x.Booking] == 0 {
			answered++
		}
	}
	return []Check{none("bookings_answered_but_not_run", answered)}
}

const restartBatches = 6

// rollingRestart replaces the entries one by one and the sidecars in batches.
func rollingRestart(*Trial) []Step {
	return []Step{
		{At: time.Second, Name: "entries replaced", Do: func(ctx context.Context, t *Trial) error {
			for _, old := range t.Fleet.Nodes(RoleEntry) {
				if _, err := t.Fleet.StartEntry(old.DataCentre); err != nil {
					return err
				}
				if err := t.Fleet.Ready(ctx); err != nil {
					return err
				}
				t.balancer.SetEntries(t.Fleet.Entries())
				t.Fleet.Leave(old)
				t.counts["replaced"]++
			}
			return nil
		}},
		{At: 5 * time.Second, Name: "sidecars replaced", Do: func(ctx context.Context, t *Trial) error {
			all := t.Fleet.Nodes(RoleSidecar)
			for batch := range slices.Chunk(all, (len(all)+restartBatches-1)/restartBatches) {
				if err := t.replaceSidecars(ctx, batch); err != nil {
					return err
				}
			}
			return nil
		}},
	}
}

// replaceSidecars lets sidecars leave and starts others beside their upstreams.
func (t *Trial) replaceSidecars(ctx context.Context, batch []*Node) error {
	var wg sync.WaitGroup
	for _, old := range batch {
		wg.Go(func() { t.Fleet.Leave(old) })
	}
	wg.Wait()
	for _, old := range batch {
		if _, err := t.Fleet.StartSidecar(old.Upstream); err != nil {
			return err
		}
		t.counts["replaced"]++
	}
	return t.Fleet.Ready(ctx)
}

func rollingRestartChecks(t *Trial) []Check {
	kept := fleetEntries + len(t.Fleet.Upstreams()) - t.counts["replaced"]
	o := t.Report.Total.Outcomes
	return []Check{none("not_replaced", kept), none("answers_cut", o[Cut]), none("refused_unknown", o[RefusedUnknown])}
}
