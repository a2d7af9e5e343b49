package bench

// This file defines the experiments on the state that is kept on the platform's log.

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

// Bounds of the checks.
const (
	withdrawnWithin     = 3 * time.Second // until a withdrawn key is refused everywhere
	inForceWithin       = 3 * time.Second // until published rules are in force everywhere
	minOutageAttainment = 0.95            // of the attainment before a log outage
	minReports          = 1               // accepted usage reports
)

func stateExperiments() []*Experiment {
	return []*Experiment{
		{
			Name: "log_outage", Help: "the log is down for seven seconds, and an entry starts meanwhile",
			Duration: 13 * time.Second, UsesLog: true, Steps: logOutageSteps, Checks: logOutageChecks,
		},
		{
			Name: "key_withdrawn", Help: "a key in use is withdrawn while one entry is cut off from the log",
			Duration: 12 * time.Second, UsesLog: true, Steps: keyWithdrawnSteps, Checks: keyWithdrawnChecks,
		},
		{
			Name: "holder_paused", Help: "each entry in turn, and so each lease holder, is disconnected from the platform",
			Duration: 16 * time.Second, UsesLog: true, Steps: holderPausedSteps, Checks: holderPausedChecks,
		},
		{
			Name: "racing_operators", Help: "two operators repeatedly publish different rules at the same time",
			Duration: 12 * time.Second, UsesLog: true, Steps: racingOperatorsSteps, Checks: racingOperatorsChecks,
		},
		{
			Name: "booking_faults", Help: "bookings during lost responses, crashes and a log outage",
			Duration: 14 * time.Second, UsesLog: true, ModifyPlan: surgeBookings, Steps: bookingFaultsSteps, Checks: bookingFaultsChecks,
		},
		{
			Name: "rolling_restart", Help: "every entry and sidecar is replaced",
			Duration: 26 * time.Second, UsesLog: true, Steps: rollingRestartSteps, Checks: rollingRestartChecks,
		},
	}
}

const (
	stepOutage   = "log outage"
	outageFrom   = 2 * time.Second
	outageTo     = 9 * time.Second
	entryStartAt = 3 * time.Second // start of a further entry
	entryCheckAt = 8 * time.Second // check of its readiness
)

func logOutageSteps(t *Trial) []Step {
	var fresh *Node
	return []Step{
		{At: outageFrom, Name: stepOutage, Do: func(context.Context, *Trial) error {
			t.Fleet.Platform.SetFaults(standin.PlatformFaults{Outage: true})
			return nil
		}},
		{At: entryStartAt, Name: "a fresh entry starts", Do: func(context.Context, *Trial) (err error) {
			fresh, err = t.Fleet.StartEntry(t.Deployment.DataCentres[0])
			return err
		}},
		{At: entryCheckAt, Name: "check the fresh entry", Do: func(ctx context.Context, t *Trial) error {
			if isReady(ctx, process.NewExternalClient(), fresh.Address) && fresh.State.Offset() < t.newestOffset() {
				t.counts["ready_behind"]++
			}
			return nil
		}},
		{At: outageTo, Name: "log available again", Do: func(context.Context, *Trial) error {
			t.Fleet.Platform.SetFaults(standin.PlatformFaults{})
			return nil
		}},
	}
}

// newestOffset returns the highest log offset that any node has applied.
func (t *Trial) newestOffset() id.Offset {
	newest := id.Offset(0)
	for _, n := range t.Fleet.allNodes() {
		newest = max(newest, n.State.Offset())
	}
	return newest
}

func logOutageChecks(t *Trial) []Check {
	refused := 0
	for _, x := range t.Results {
		if x.Arrival.Traffic.Kind == Chat && x.Reason == problem.LogUnavailable {
			refused++
		}
	}
	top := t.Deployment.HighestClass
	during, before := t.attainment(top, outageFrom+time.Second, outageTo), t.attainment(top, 0, outageFrom)
	return []Check{
		zero("ready_on_less_than_peers", t.counts["ready_behind"]),
		zero("model_calls_refused_for_the_log", refused),
		atLeast("attainment_during_outage", during/max(before, 1e-9), minOutageAttainment),
	}
}

const stepWithdrawn = "key withdrawn"

// withdrawnWorkspace returns the workspace whose key is withdrawn: the one with
// the largest weight.
func (t *Trial) withdrawnWorkspace() id.Workspace {
	names, weights := workspaceWeights(t.Set)
	return names[slices.Index(weights, slices.Max(weights))]
}

func keyWithdrawnSteps(*Trial) []Step {
	disconnect := func(disconnected bool) func(context.Context, *Trial) error {
		return func(_ context.Context, t *Trial) error {
			t.Fleet.Nodes(RoleEntry)[0].SetDisconnected(disconnected)
			return nil
		}
	}
	return []Step{
		{At: 2 * time.Second, Name: "an entry disconnected from the platform", Do: disconnect(true)},
		{At: 3 * time.Second, Name: stepWithdrawn, Do: func(ctx context.Context, t *Trial) error {
			return t.Fleet.Operator.WithdrawKey(ctx, time.Now(), t.Fleet.KeyIDs[t.withdrawnWorkspace()], "bench")
		}},
		{At: 9 * time.Second, Name: "the entry reconnected", Do: disconnect(false)},
	}
}

func keyWithdrawnChecks(t *Trial) []Check {
	limit := t.stepEnds[stepWithdrawn].Add(withdrawnWithin)
	accepted, streamed, otherRefused := 0, 0, 0
	for _, x := range t.Results {
		keyRefused := x.Reason == problem.KeyWithdrawn || x.Reason == problem.KeyUnknown
		switch {
		case x.Arrival.Workspace != t.withdrawnWorkspace():
			if keyRefused {
				otherRefused++
			}
		case x.Sent.After(limit) && x.Outcome == Whole:
			accepted++
		case x.Sent.Before(limit) && x.Last.After(limit) && x.Tokens > 0:
			streamed++
		}
	}
	return []Check{
		zero("calls_after_withdrawal", accepted),
		zero("streams_past_withdrawal", streamed),
		zero("other_keys_refused", otherRefused),
	}
}

// holderPausedSteps disconnects one entry after another from the platform. Entries run
// inside this process, so that a signal cannot stop one of them; the tests of package
// ragworttest, which run entries as processes, do that.
func holderPausedSteps(t *Trial) []Step {
	var steps []Step
	for i := range defaultEntries {
		at := time.Duration(2+7*i) * time.Second
		for j, on := range []bool{true, false} {
			steps = append(steps, Step{
				At: at + time.Duration(6*j)*time.Second, Name: fmt.Sprintf("entry %d disconnected: %t", i, on),
				Do: func(context.Context, *Trial) error {
					t.Fleet.Nodes(RoleEntry)[i].SetDisconnected(on)
					return nil
				},
			})
		}
	}
	return steps
}

func holderPausedChecks(t *Trial) []Check {
	reports := t.Fleet.Platform.ReceivedReports()
	accepted := slices.DeleteFunc(slices.Clone(reports), func(r standin.ReceivedReport) bool { return !r.Accepted })
	return []Check{
		zero("windows_under_two_reports", countDoubleReports(accepted)),
		zero("orders_of_two_holders", countStaleOrders(t.Fleet.Platform.ReceivedOrders())),
		atLeast("usage_reports", float64(len(accepted)), minReports),
	}
}

// countDoubleReports counts the accepted reports of a window under another ID than
// that of its first report.
func countDoubleReports(accepted []standin.ReceivedReport) int {
	firstIDs := make(map[int64]string)
	doubled := 0
	for _, r := range accepted {
		window := r.Report.WindowStart.UnixNano()
		if first, ok := firstIDs[window]; ok && first != r.Report.ID {
			doubled++
			continue
		}
		firstIDs[window] = r.Report.ID
	}
	return doubled
}

// countStaleOrders counts the orders that were accepted after an order with a higher
// fencing number, or from a second holder with the same number.
func countStaleOrders(orders []standin.ReceivedOrder) int {
	highest := id.Term(0)
	holders := make(map[id.Term]id.Node)
	stale := 0
	for _, o := range orders {
		if !o.Accepted {
			continue
		}
		first, known := holders[o.Order.FencingNumber]
		if o.Order.FencingNumber < highest || (known && first != o.Order.OrderedBy) {
			stale++
		}
		highest = max(highest, o.Order.FencingNumber)
		if !known {
			holders[o.Order.FencingNumber] = o.Order.OrderedBy
		}
	}
	return stale
}

const (
	raceRounds       = 12
	raceSpacing      = 700 * time.Millisecond
	racePollInterval = 20 * time.Millisecond
)

func racingOperatorsSteps(*Trial) []Step {
	var steps []Step
	for i := range raceRounds {
		steps = append(steps, Step{
			At: time.Second + time.Duration(i)*raceSpacing, Name: fmt.Sprint("race ", i),
			Do: func(ctx context.Context, t *Trial) error { return t.raceOperators(ctx, i) },
		})
	}
	return steps
}

// raceOperators lets two operators publish rules concurrently from the same base,
// and waits until every node has the rules of the one that succeeded.
func (t *Trial) raceOperators(ctx context.Context, round int) error {
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
	accepted, conflicts := 0, 0
	winner := id.Offset(0)
	var conflict *operator.ConflictError
	for i, err := range errs {
		switch {
		case err == nil:
			accepted, winner = accepted+1, offsets[i]
		case errors.As(err, &conflict):
			conflicts++
		}
	}
	if accepted != 1 || conflicts != 1 {
		t.counts["unclear"]++
	}
	t.watchRules(winner)
	return nil
}

// watchRules waits until every node has the rules of an offset or newer ones, for at
// most inForceWithin. It counts the times that a node goes back to older rules, and the
// nodes that are late.
func (t *Trial) watchRules(want id.Offset) {
	seen := make(map[id.Node]id.Offset)
	for end := time.Now().Add(inForceWithin); ; time.Sleep(racePollInterval) {
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
		zero("races_without_one_winner", t.counts["unclear"]),
		zero("nodes_late_with_rules", t.counts["late"]),
		zero("rules_reverted", t.counts["reverted"]),
	}
}

const (
	bookingSurgeFactor = 6.0 // multiple of the rate of the class that makes bookings
	lostResponses      = 5   // of each service, and of the log
)

// surgeBookings multiplies the rate of the class that makes bookings.
func surgeBookings(t *Trial) {
	for _, tr := range t.Deployment.Traffic {
		if tr.Kind == Booking {
			t.Plan.Surges = []Surge{{To: t.Plan.Duration, Class: tr.Class, Factor: bookingSurgeFactor}}
		}
	}
}

func bookingFaultsSteps(t *Trial) []Step {
	setOutage := func(on bool) func(context.Context, *Trial) error {
		return func(_ context.Context, t *Trial) error {
			t.Fleet.Platform.SetFaults(standin.PlatformFaults{Outage: on})
			return nil
		}
	}
	return []Step{
		{At: time.Second, Name: "services lose answers", Do: func(context.Context, *Trial) error {
			for _, u := range t.Fleet.Upstreams() {
				if u.Service != nil {
					u.Service.SetFaults(standin.ServiceFaults{DropResponses: lostResponses})
				}
			}
			return nil
		}},
		{At: 3 * time.Second, Name: "an entry crashes", Do: func(context.Context, *Trial) error {
			n := t.Fleet.Nodes(RoleEntry)[0]
			t.killedEntries["http://"+n.Address] = true
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
			t.Fleet.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: lostResponses})
			return nil
		}},
		{At: 10 * time.Second, Name: stepOutage, Do: setOutage(true)},
		{At: 12 * time.Second, Name: "log available again", Do: setOutage(false)},
	}
}

func bookingFaultsChecks(t *Trial) []Check {
	notRun := 0
	runs := t.Fleet.Bookings()
	for _, x := range t.Results {
		if x.Arrival.Traffic.Kind == Booking && x.Outcome == Whole && runs[x.Booking] == 0 {
			notRun++
		}
	}
	return []Check{zero("bookings_answered_but_not_run", notRun)}
}

// restartBatches is the number of batches in which the sidecars are replaced.
const restartBatches = 6

// rollingRestartSteps replaces the entries one by one and the sidecars in batches.
func rollingRestartSteps(*Trial) []Step {
	return []Step{
		{At: time.Second, Name: "entries replaced", Do: func(ctx context.Context, t *Trial) error {
			for _, old := range t.Fleet.Nodes(RoleEntry) {
				if _, err := t.Fleet.StartEntry(old.DataCentre); err != nil {
					return err
				}
				if err := t.Fleet.WaitReady(ctx); err != nil {
					return err
				}
				t.balancer.SetEntries(t.Fleet.Entries())
				t.Fleet.RemoveNode(old)
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

// replaceSidecars removes sidecars and starts new ones beside their upstreams.
func (t *Trial) replaceSidecars(ctx context.Context, batch []*Node) error {
	var wg sync.WaitGroup
	for _, old := range batch {
		wg.Go(func() { t.Fleet.RemoveNode(old) })
	}
	wg.Wait()
	for _, old := range batch {
		if _, err := t.Fleet.StartSidecar(old.Upstream); err != nil {
			return err
		}
		t.counts["replaced"]++
	}
	return t.Fleet.WaitReady(ctx)
}

func rollingRestartChecks(t *Trial) []Check {
	notReplaced := defaultEntries + len(t.Fleet.Upstreams()) - t.counts["replaced"]
	o := t.Report.Total.Outcomes
	return []Check{zero("not_replaced", notReplaced), zero("answers_cut", o[Cut]), zero("refused_unknown", o[RefusedUnknown])}
}
