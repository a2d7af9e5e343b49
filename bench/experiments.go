package bench

// This file defines the experiments on routing, queueing and capacity under load.

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/trace"
)

// Parameters of the experiments and bounds of their checks.
const (
	minBurstAttainment     = 0.99             // of the attainment in the experiment "steady"
	minOtherAttainment     = 0.95             // of the attainment without the big workspace's load
	drainWithin            = 3 * time.Second  // until a drained data centre gets no new requests
	recoverWithin          = 10 * time.Second // from the undrain until attainment has recovered
	minRecoveredAttainment = 0.95             // of the attainment before the data centre was drained
	burstLoad              = 3.0              // load of the lowest class, as a multiple of the engines' capacity
	bigWorkspaceFactor     = 10.0             // multiple of the big workspace's rate
	unevenSlowness         = 4.0              // slow factor of the slow engine
	coldRateFactor         = 1.25             // multiple of the deployment's rates
	newEngineCount         = 2
	crashCount             = 4               // engines that crash
	floorWindow            = 5 * time.Second // length of the windows in which a class must get its floor
	minFloorWindowStarts   = 20              // fewest started requests in a window that is checked
)

// Experiments returns every experiment in the order of the matrix.
func Experiments() []*Experiment {
	return append([]*Experiment{
		{Name: "steady", Help: "load at six tenths of the capacity", Duration: 10 * time.Second},
		{
			Name: "burst", Help: "the lowest class at three times the capacity for three seconds",
			Duration: 10 * time.Second, NeedsSteady: true, ModifyPlan: surgeLowestClass, Checks: burstChecks,
		},
		{Name: "uneven", Help: "one engine at a quarter speed", Duration: 10 * time.Second, Steps: unevenSteps},
		{
			Name: "cold", Help: "two new engines under full load", Duration: 12 * time.Second,
			RateFactor: coldRateFactor, HeldBackEngines: newEngineCount, Steps: coldSteps, Checks: coldChecks,
		},
		{
			Name: "data_centre_out", Help: "a data centre is drained and undrained",
			Duration: 18 * time.Second, Steps: dataCentreOutSteps, Checks: dataCentreOutChecks,
		},
		{
			Name: "big_workspace", Help: "the workspace with the largest weight sends ten times its load",
			Duration: 10 * time.Second, NeedsBaseline: true, ModifyPlan: surgeBigWorkspace, Checks: bigWorkspaceChecks,
		},
		{Name: "crash", Help: "engines crash during responses", Duration: 12 * time.Second, Steps: crashSteps},
	}, stateExperiments()...)
}

// FindExperiment returns the experiment with a name; its error is an *UnknownError.
func FindExperiment(name string) (*Experiment, error) {
	for _, e := range Experiments() {
		if e.Name == name {
			return e, nil
		}
	}
	return nil, &UnknownError{Kind: "experiment", Name: name}
}

func isPreemption(d trace.Decision) bool { return d.Reason == string(problem.Preempted) }

// surgeLowestClass raises the load of the lowest class to three times the capacity
// for three seconds.
func surgeLowestClass(t *Trial) {
	d := t.Deployment
	for i := range d.Traffic {
		if tr := &d.Traffic[i]; tr.Class == d.LowestClass {
			own := tr.Rate * tr.meanTokens()
			t.Plan.Surges = []Surge{{From: 3 * time.Second, To: 6 * time.Second, Class: d.LowestClass, Factor: burstLoad * d.Capacity() / own}}
		}
	}
}

func burstChecks(t *Trial) []Check {
	top := t.Deployment.HighestClass
	value := t.Report.Class(top).Stats.Attainment
	var checks []Check
	if t.Steady != nil {
		checks = append(checks, atLeast("top_tier_of_steady", value/t.Steady.Class(top).Stats.Attainment, minBurstAttainment))
	}
	for name, c := range t.Set.Classes {
		if c.Floor > 0 {
			checks = append(checks, t.floorCheck(name, c.Floor))
		}
	}
	slices.SortFunc(checks, func(a, b Check) int { return strings.Compare(a.Name, b.Name) })
	return checks
}

// floorCheck checks the smallest share of the started requests that a class had in
// any window throughout which one of its requests was waiting and in which at least
// minFloorWindowStarts requests started.
func (t *Trial) floorCheck(class id.Class, floor float64) Check {
	spans := RequestSpans(t.Set, t.Results, t.Runs, nil)
	least := 1.0
	for from := t.Start; from.Before(t.Start.Add(t.Plan.Duration)); from = from.Add(time.Second) {
		to := from.Add(floorWindow)
		starts, ownStarts, waiting := 0, 0, false
		for i := range spans {
			s := &spans[i]
			if s.Class == class && s.Arrived.Before(from) && (s.Began.IsZero() || s.Began.After(to)) && (s.ShedAt.IsZero() || s.ShedAt.After(to)) {
				waiting = true
			}
			if s.Began.Before(from) || !s.Began.Before(to) {
				continue
			}
			starts++
			if s.Class == class {
				ownStarts++
			}
		}
		if waiting && starts >= minFloorWindowStarts {
			least = min(least, float64(ownStarts+1)/float64(starts)) // one start may fall just outside the window
		}
	}
	return atLeast("floor_of_"+string(class), least, floor)
}

// unevenSteps slows one engine down.
func unevenSteps(*Trial) []Step {
	return []Step{{At: time.Second, Name: "one engine at a quarter speed", Do: func(_ context.Context, t *Trial) error {
		t.Fleet.Engines()[0].Engine.SetFaults(standin.EngineFaults{SlowFactor: unevenSlowness})
		return nil
	}}}
}

// coldSteps starts two new, cold engines.
func coldSteps(*Trial) []Step {
	return []Step{{At: 2 * time.Second, Name: "two new engines", Do: func(_ context.Context, t *Trial) error {
		for i := range newEngineCount {
			if _, err := t.Fleet.StartEngine(t.Deployment.DataCentres[i], false); err != nil {
				return err
			}
		}
		return nil
	}}}
}

func coldChecks(t *Trial) []Check {
	crashes := int64(0)
	engines := t.Fleet.Engines()
	for _, u := range engines[len(engines)-newEngineCount:] {
		crashes += u.Engine.Stats().Crashes
	}
	return []Check{zero("new_engines_fell_over", int(crashes))}
}

const (
	stepDrain   = "data centre drained"
	stepUndrain = "data centre undrained"
	drainAt     = 2 * time.Second
	undrainAt   = 7 * time.Second
)

func (t *Trial) drainedDataCentre() id.DataCentre {
	return t.Deployment.DataCentres[len(t.Deployment.DataCentres)-1]
}

// dataCentreOutSteps drains a data centre and later undrains it, by the rules and in
// the naive router.
func dataCentreOutSteps(t *Trial) []Step {
	dc := t.drainedDataCentre()
	return []Step{
		{At: drainAt, Name: stepDrain, Do: func(ctx context.Context, t *Trial) error {
			t.Fleet.naive.setDrained(dc, t.Fleet.Upstreams())
			_, err := t.Fleet.Publish(ctx, t.Deployment.Rules+"\ndrain data_centre="+string(dc)+" # bench: taken out\n")
			return err
		}},
		{At: undrainAt, Name: stepUndrain, Do: func(ctx context.Context, t *Trial) error {
			t.Fleet.naive.setDrained("", t.Fleet.Upstreams())
			_, err := t.Fleet.Publish(ctx, t.Deployment.Rules)
			return err
		}},
	}
}

func dataCentreOutChecks(t *Trial) []Check {
	late := 0
	from, to := t.stepEnds[stepDrain].Add(drainWithin), t.Start.Add(undrainAt)
	for _, r := range t.Runs {
		if r.Upstream.DataCentre == t.drainedDataCentre() && r.Began.After(from) && r.Began.Before(to) {
			late++
		}
	}
	top := t.Deployment.HighestClass
	before := t.attainment(top, 0, drainAt)
	recovered := t.attainment(top, undrainAt+recoverWithin-2*time.Second, undrainAt+recoverWithin)
	return []Check{
		zero("new_work_after_drain", late),
		atLeast("attainment_back", recovered/max(before, 1e-9), minRecoveredAttainment),
	}
}

// attainment returns the attainment of a class in a part of the measured period.
func (t *Trial) attainment(class id.Class, from, to time.Duration) float64 {
	calls, inTime := 0, 0
	for _, b := range t.Report.Series {
		at := time.Duration(b.Second) * time.Second
		if b.Class == class && at >= from && at < to {
			calls += b.Calls
			inTime += b.InTime
		}
	}
	return float64(inTime) / float64(max(1, calls))
}

// surgeBigWorkspace multiplies the load of the workspace with the largest weight by
// ten.
func surgeBigWorkspace(t *Trial) {
	names, weights := workspaceWeights(t.Set)
	big := names[slices.Index(weights, slices.Max(weights))]
	t.Plan.Surges = []Surge{{To: t.Plan.Duration, Workspace: big, Factor: bigWorkspaceFactor}}
}

func bigWorkspaceChecks(t *Trial) []Check {
	big := t.Plan.Surges[0].Workspace
	baseline := make(map[id.Workspace]float64)
	for _, w := range t.Baseline.Workspaces {
		baseline[w.Name] = w.Attainment
	}
	worst, name := 1.0, id.Workspace("")
	for _, w := range t.Report.Workspaces {
		if w.Name == big || baseline[w.Name] == 0 {
			continue
		}
		if share := w.Attainment / baseline[w.Name]; share <= worst {
			worst, name = share, w.Name
		}
	}
	c := atLeast("worst_other_workspace_of_alone", worst, minOtherAttainment)
	c.Note = string(name)
	return []Check{c}
}

// crashSteps crashes crashCount engines one after another; each restarts cold.
func crashSteps(*Trial) []Step {
	var steps []Step
	for i := range crashCount {
		steps = append(steps, Step{
			At: time.Duration(1+2*i) * time.Second, Name: fmt.Sprint("engine ", i, " crashed"),
			Do: func(_ context.Context, t *Trial) error {
				t.Fleet.Engines()[i].Engine.Crash(time.Now())
				return nil
			},
		})
	}
	return steps
}
