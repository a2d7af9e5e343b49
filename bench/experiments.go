package bench

// This file defines the experiments about decisions under load.

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

// Bounds of the promises.
const (
	burstTopShare    = 0.99 // of the attainment in a steady load
	bigOthersShare   = 0.95 // of the attainment without the big workspace
	drainWithin      = 3 * time.Second
	backWithin       = 10 * time.Second
	backShare        = 0.95 // of the attainment before the data centre left
	burstCapacity    = 3.0  // by which the lowest class exceeds the engines
	bigFactor        = 10.0
	unevenSlowness   = 4.0
	coldFactor       = 1.25
	newEngines       = 2
	crashes          = 4
	floorWindow      = 5 * time.Second
	floorLeastWindow = 20 // requests that began in a window that is judged
)

// Experiments returns every experiment in the order of the matrix.
func Experiments() []*Experiment {
	return append([]*Experiment{
		{Name: "steady", Help: "six tenths of the capacity", Length: 10 * time.Second},
		{
			Name: "burst", Help: "the lowest class at three times the capacity for three seconds",
			Length: 10 * time.Second, Steady: true, Alter: burst, Checks: burstChecks,
		},
		{Name: "uneven", Help: "one engine at a quarter speed", Length: 10 * time.Second, Steps: uneven},
		{
			Name: "cold", Help: "two new engines under full load", Length: 12 * time.Second,
			Factor: coldFactor, Reserve: newEngines, Steps: cold, Checks: coldChecks,
		},
		{
			Name: "data_centre_out", Help: "a data centre is drained and comes back",
			Length: 18 * time.Second, Steps: dataCentreOut, Checks: dataCentreChecks,
		},
		{
			Name: "big_workspace", Help: "the largest workspace sends ten times its share",
			Length: 10 * time.Second, Alone: true, Alter: bigWorkspace, Checks: bigChecks,
		},
		{Name: "crash", Help: "engines die during answers", Length: 12 * time.Second, Steps: crash},
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

// burst raises the lowest class to three times the capacity for three seconds.
func burst(t *Trial) {
	d := t.Deployment
	for i := range d.Traffic {
		if tr := &d.Traffic[i]; tr.Class == d.Bottom {
			own := tr.Rate * tr.meanTokens()
			t.Plan.Surges = []Surge{{From: 3 * time.Second, To: 6 * time.Second, Class: d.Bottom, Factor: burstCapacity * d.Capacity() / own}}
		}
	}
}

func burstChecks(t *Trial) []Check {
	top := t.Deployment.Top
	value := t.Report.Class(top).Figures.Attainment
	var checks []Check
	if t.Steady != nil {
		checks = append(checks, atLeast("top_tier_of_steady", value/t.Steady.Class(top).Figures.Attainment, burstTopShare))
	}
	for name, c := range t.Set.Classes {
		if c.Floor > 0 {
			checks = append(checks, t.floorCheck(name, c.Floor))
		}
	}
	slices.SortFunc(checks, func(a, b Check) int { return strings.Compare(a.Name, b.Name) })
	return checks
}

// floorCheck returns the least share of beginnings that a class got in any window
// in which it had a request waiting all the time.
func (t *Trial) floorCheck(class id.Class, floor float64) Check {
	spans := Spans(t.Set, t.Results, t.Runs, nil)
	least := 1.0
	for from := t.Start; from.Before(t.Start.Add(t.Plan.Duration)); from = from.Add(time.Second) {
		to := from.Add(floorWindow)
		total, own, waiting := 0, 0, false
		for i := range spans {
			s := &spans[i]
			if s.Class == class && s.Arrived.Before(from) && (s.Began.IsZero() || s.Began.After(to)) && (s.Shed.IsZero() || s.Shed.After(to)) {
				waiting = true
			}
			if s.Began.Before(from) || !s.Began.Before(to) {
				continue
			}
			total++
			if s.Class == class {
				own++
			}
		}
		if waiting && total >= floorLeastWindow {
			least = min(least, float64(own+1)/float64(total)) // one may stand on the window's edge
		}
	}
	return atLeast("floor_of_"+string(class), least, floor)
}

// uneven slows one engine down.
func uneven(*Trial) []Step {
	return []Step{{At: time.Second, Name: "one engine at a quarter speed", Do: func(_ context.Context, t *Trial) error {
		t.Fleet.Engines()[0].Engine.SetFaults(standin.EngineFaults{Slowness: unevenSlowness})
		return nil
	}}}
}

// cold starts two new engines.
func cold(*Trial) []Step {
	return []Step{{At: 2 * time.Second, Name: "two new engines", Do: func(_ context.Context, t *Trial) error {
		for i := range newEngines {
			if _, err := t.Fleet.StartEngine(t.Deployment.DataCentres[i], false); err != nil {
				return err
			}
		}
		return nil
	}}}
}

func coldChecks(t *Trial) []Check {
	falls := int64(0)
	engines := t.Fleet.Engines()
	for _, u := range engines[len(engines)-newEngines:] {
		falls += u.Engine.Stats().Falls
	}
	return []Check{none("new_engines_fell_over", int(falls))}
}

const (
	stepDrain  = "data centre drained"
	stepReturn = "data centre back"
	drainAt    = 2 * time.Second
	returnAt   = 7 * time.Second
)

func (t *Trial) drained() id.DataCentre {
	return t.Deployment.DataCentres[len(t.Deployment.DataCentres)-1]
}

// dataCentreOut drains a data centre and takes it back.
func dataCentreOut(t *Trial) []Step {
	dc := t.drained()
	return []Step{
		{At: drainAt, Name: stepDrain, Do: func(ctx context.Context, t *Trial) error {
			t.Fleet.naive.drain(dc, t.Fleet.Upstreams())
			_, err := t.Fleet.Publish(ctx, t.Deployment.Rules+"\ndrain data_centre="+string(dc)+" # bench: taken out\n")
			return err
		}},
		{At: returnAt, Name: stepReturn, Do: func(ctx context.Context, t *Trial) error {
			t.Fleet.naive.drain("", t.Fleet.Upstreams())
			_, err := t.Fleet.Publish(ctx, t.Deployment.Rules)
			return err
		}},
	}
}

func dataCentreChecks(t *Trial) []Check {
	late := 0
	from, to := t.marks[stepDrain].Add(drainWithin), t.Start.Add(returnAt)
	for _, r := range t.Runs {
		if r.Upstream.DataCentre == t.drained() && r.Began.After(from) && r.Began.Before(to) {
			late++
		}
	}
	top := t.Deployment.Top
	before := t.attained(top, 0, drainAt)
	back := t.attained(top, returnAt+backWithin-2*time.Second, returnAt+backWithin)
	return []Check{
		none("new_work_after_drain", late),
		atLeast("attainment_back", back/max(before, 1e-9), backShare),
	}
}

// attained returns the attainment of a class over a part of the load.
func (t *Trial) attained(class id.Class, from, to time.Duration) float64 {
	calls, good := 0, 0
	for _, b := range t.Report.Series {
		at := time.Duration(b.Second) * time.Second
		if b.Class == class && at >= from && at < to {
			calls += b.Calls
			good += b.InTime
		}
	}
	return float64(good) / float64(max(1, calls))
}

// bigWorkspace lets the workspace with the largest share send ten times as much.
func bigWorkspace(t *Trial) {
	names, weights := shares(t.Set)
	big := names[slices.Index(weights, slices.Max(weights))]
	t.Plan.Surges = []Surge{{To: t.Plan.Duration, Workspace: big, Factor: bigFactor}}
}

func bigChecks(t *Trial) []Check {
	big := t.Plan.Surges[0].Workspace
	alone := make(map[id.Workspace]float64)
	for _, w := range t.Alone.Workspaces {
		alone[w.Name] = w.Attainment
	}
	worst, name := 1.0, id.Workspace("")
	for _, w := range t.Report.Workspaces {
		if w.Name == big || alone[w.Name] == 0 {
			continue
		}
		if share := w.Attainment / alone[w.Name]; share <= worst {
			worst, name = share, w.Name
		}
	}
	c := atLeast("worst_other_workspace_of_alone", worst, bigOthersShare)
	c.Note = string(name)
	return []Check{c}
}

// crash ends engines one after another, which then start cold again.
func crash(*Trial) []Step {
	var steps []Step
	for i := range crashes {
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
