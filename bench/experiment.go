package bench

// This file defines Experiment, a load with faults and the guarantees that must
// hold under it, and runs one.

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/rule"
)

// Step is a fault or other change of the fleet during the load.
type Step struct {
	At   time.Duration // since the end of the warm-up
	Name string
	Do   func(ctx context.Context, t *Trial) error
}

// Experiment is a load, the steps taken during it and the checks after it.
type Experiment struct {
	Name            string
	Help            string
	Duration        time.Duration
	RateFactor      float64               // multiple of the deployment's rates; zero: 1
	HeldBackEngines int                   // number of engines that do not start with the fleet
	ModifyPlan      func(t *Trial)        // nil: the plan is not changed
	Steps           func(t *Trial) []Step // nil: none
	Checks          func(t *Trial) []Check
	NeedsSteady     bool // the checks compare with a run of the experiment "steady"
	UsesLog         bool // it tests state on the log, which the naive policy does not have
	NeedsBaseline   bool // the checks compare with a run without the workspace of the surge
}

// Options are the options for running an experiment.
type Options struct {
	Deployment *Deployment
	Policy     Policy
	Seed       uint64
	Steady     *Report   // report of "steady" to compare with; nil: run it first if needed
	Progress   io.Writer // nil: none
	Log        io.Writer // of the nodes; nil: none
}

// Trial is one run of an experiment.
type Trial struct {
	Options
	Experiment *Experiment
	Fleet      *Fleet
	Set        *rule.Set
	Plan       *Plan
	Start      time.Time // of the measured period
	Results    []*Result
	Runs       []EngineRun
	Report     *Report
	Baseline   *Report
	Notes      []string // notes for the report

	balancer      *Balancer
	isBaseline    bool                 // run without the workspace of the surge; checks of the experiment are left out
	stepEnds      map[string]time.Time // end of each step, by its name
	counts        map[string]int       // events that steps counted, by name
	killedEntries map[string]bool      // entries that steps killed, by base URL
}

const (
	traceCapacity  = 100_000 // more than the calls of a load
	warmupDuration = 8 * time.Second
	usageTimeout   = 15 * time.Second // for the last usage reports
)

// shortIntervals are settings with which leases change hands and usage is reported
// within a load.
var shortIntervals = []string{"--lease-ttl=3s", "--usage-window=2s", "--usage-grace=2s", "--usage-flush=500ms"}

// Run runs an experiment and returns its report. An error means that it could not
// be run; a violated guarantee is a failed check in the report.
func (e *Experiment) Run(ctx context.Context, o Options) (*Report, error) {
	if e.NeedsSteady && o.Steady == nil && o.Policy == PolicyRagwortpass {
		steady, err := FindExperiment("steady")
		if err != nil {
			return nil, err
		}
		if o.Steady, err = steady.Run(ctx, o); err != nil {
			return nil, err
		}
	}
	var baseline *Report
	if e.NeedsBaseline {
		t, err := e.newTrial(o)
		if err != nil {
			return nil, err
		}
		t.Plan.ExcludedWorkspace, t.Plan.Surges, t.isBaseline = t.Plan.Surges[0].Workspace, nil, true
		if err := t.run(ctx); err != nil {
			return nil, err
		}
		baseline = t.Report
	}
	t, err := e.newTrial(o)
	if err != nil {
		return nil, err
	}
	t.Baseline = baseline
	if err := t.run(ctx); err != nil {
		return nil, err
	}
	return t.Report, nil
}

// newTrial returns a trial that has not started yet.
func (e *Experiment) newTrial(o Options) (*Trial, error) {
	set, err := o.Deployment.RuleSet()
	if err != nil {
		return nil, err
	}
	factor := e.RateFactor
	if factor == 0 {
		factor = 1
	}
	t := &Trial{
		Options: o, Experiment: e, Set: set, stepEnds: make(map[string]time.Time), counts: make(map[string]int),
		killedEntries: make(map[string]bool),
		Plan:          &Plan{Deployment: o.Deployment, Seed: o.Seed, RateFactor: factor, Warmup: warmupDuration, Duration: e.Duration},
	}
	if e.ModifyPlan != nil {
		e.ModifyPlan(t)
	}
	return t, nil
}

// run starts a fleet, sends the load to it while the steps run, and builds the
// report.
func (t *Trial) run(ctx context.Context) error {
	var err error
	t.Fleet, err = StartFleet(ctx, FleetConfig{
		Deployment: t.Deployment, Policy: t.Policy, Engines: t.Deployment.Engines - t.Experiment.HeldBackEngines, WarmEngines: true, Log: t.Log,
		TraceCapacity: traceCapacity, EntryArgs: shortIntervals,
	})
	if err != nil {
		return err
	}
	defer t.Fleet.Close()
	arrivals := t.Plan.Arrivals(t.Set)
	t.balancer = NewBalancer(t.Fleet.Entries())
	load := &LoadGenerator{Balancer: t.balancer, Keys: t.Fleet.Keys, Model: t.Deployment.Model, Progress: t.Progress}
	begin := time.Now()
	t.Start = begin.Add(t.Plan.Warmup)
	steps := make(chan error, 1)
	stepsCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { steps <- t.runSteps(stepsCtx) }()
	t.Results = load.Run(ctx, arrivals)
	if err := <-steps; err != nil {
		return err
	}
	if t.Policy == PolicyRagwortpass {
		wait, cancel := context.WithTimeout(ctx, usageTimeout)
		defer cancel()
		WaitForUsage(wait, t.Fleet.Platform.ReceivedReports, t.Results)
	}
	t.buildReport(time.Since(begin))
	return ctx.Err()
}

// runSteps runs the steps at their times, and gives the balancer the entries that run
// after each step.
func (t *Trial) runSteps(ctx context.Context) error {
	if t.Experiment.Steps == nil {
		return nil
	}
	for _, s := range t.Experiment.Steps(t) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(t.Start.Add(s.At))):
		}
		if err := s.Do(ctx, t); err != nil {
			return fmt.Errorf("step %s: %w", s.Name, err)
		}
		t.balancer.SetEntries(t.Fleet.Entries())
		t.stepEnds[s.Name] = time.Now()
		if t.Progress != nil {
			_, _ = fmt.Fprintf(t.Progress, "%5.1fs  %s\n", s.At.Seconds(), s.Name)
		}
	}
	return nil
}

// buildReport summarises the results and runs the checks. Duration is the time since
// the start of the load.
func (t *Trial) buildReport(duration time.Duration) {
	t.Runs = t.Fleet.EngineRuns()
	r := NewReport(t.Deployment, t.Set, t.Results, t.Start, t.Plan.Duration)
	r.Experiment, r.Policy, r.Seed, r.Version = t.Experiment.Name, string(t.Policy), t.Seed, process.Version()
	r.Engines = NewEngineTotals(t.Results, standinRuns(t.Runs), t.Fleet.Bookings())
	for _, u := range t.Fleet.Engines() {
		r.Engines.Crashes += u.Engine.Stats().Crashes
		r.Engines.UpstreamSeconds += min(duration, time.Since(u.Started)).Seconds()
	}
	r.Usage = NewUsageTotals(t.Fleet.Platform.ReceivedReports(), t.Results)
	t.Report = r
	p := CheckPriorities(RequestSpans(t.Set, t.Results, t.Runs, t.preemptedRequests()))
	r.OvertakesBeyondFloor = p.BeyondFloor(t.Set)
	r.Checks = append(r.Checks, t.commonChecks(p)...)
	if t.Experiment.Checks != nil && !t.isBaseline {
		r.Checks = append(r.Checks, t.Experiment.Checks(t)...)
	}
	r.Notes = append(r.Notes, t.Notes...)
	r.Notes = append(r.Notes, p.Inversions[:min(len(p.Inversions), maxNotes)]...)
}

// preemptedRequests returns the requests whose traces contain a preemption.
func (t *Trial) preemptedRequests() map[id.Request]bool {
	set := make(map[id.Request]bool)
	for _, n := range t.Fleet.allNodes() {
		if n.Traces == nil {
			continue
		}
		for _, x := range t.Results {
			if slices.ContainsFunc(n.Traces.Explain(x.Request), isPreemption) {
				set[x.Request] = true
			}
		}
	}
	return set
}

// commonChecks returns the checks that every experiment has.
func (t *Trial) commonChecks(p *PriorityReport) []Check {
	checks := []Check{
		zero("wrong_answers", t.Report.Total.Outcomes[Wrong]),
		zero("lost_answers", t.countLost()),
		zero("false_not_run", t.Report.Engines.FalseNotRun),
		zero("doubled_bookings", t.Report.Engines.DoubledBookings),
		zero("priority_inversions", len(p.Inversions)),
	}
	if u := t.Report.Usage; u != nil {
		checks = append(checks, zero("windows_reported_differently", u.DifferingWindows))
		if len(t.killedEntries) == 0 {
			checks = append(checks, zero("usage_tokens_off", int(u.Deviation)))
		}
	}
	return checks
}

// countLost counts the lost responses to calls of the measured period, without those
// of entries that a step killed.
func (t *Trial) countLost() int {
	n := 0
	for _, x := range t.Results {
		if x.Outcome == Lost && !x.Arrival.Warmup && !t.killedEntries[x.Entry] {
			n++
		}
	}
	return n
}

func zero(name string, n int) Check {
	return Check{Name: name, Ok: n == 0, Value: float64(n)}
}

func atMost(name string, value, bound float64) Check {
	return Check{Name: name, Ok: value <= bound, Value: value, Bound: bound}
}

func atLeast(name string, value, bound float64) Check {
	return Check{Name: name, Ok: value >= bound, Value: value, Bound: bound}
}
