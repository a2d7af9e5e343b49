package bench

// This file defines Experiment, a load with faults and the promises that must
// hold under it, and how one is run.

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

// Step is something that happens to the fleet during a load.
type Step struct {
	At   time.Duration // since the end of the warm-up
	Name string
	Do   func(ctx context.Context, t *Trial) error
}

// Experiment is a load with faults.
type Experiment struct {
	Name    string
	Help    string
	Length  time.Duration
	Factor  float64               // zero: 1
	Reserve int                   // engines of the deployment that do not start with the fleet
	Alter   func(t *Trial)        // changes the plan before it is run
	Steps   func(t *Trial) []Step // nil: none
	Checks  func(t *Trial) []Check
	Steady  bool // its checks compare with a steady run
	State   bool // it is about state on the log, and the naive policy has none
	Alone   bool // its checks compare with a run without the workspace that the plan surges
}

// Options say how to run an experiment.
type Options struct {
	Deployment *Deployment
	Policy     Policy
	Seed       uint64
	Steady     *Report   // to compare with; nil: run first where it is needed
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
	Start      time.Time // of the load proper
	Results    []*Result
	Runs       []EngineRun
	Report     *Report
	Alone      *Report
	Notes      []string

	balancer  *Balancer
	reference bool                 // without the workspace that the plan surges; checks nothing
	marks     map[string]time.Time // when steps ended
	counts    map[string]int       // what steps counted
	killed    map[string]bool      // entries that steps ended at once, by base URL
}

const (
	tracesKept = 100_000 // more than a load sends
	warmup     = 8 * time.Second
	usageWait  = 15 * time.Second // for the last usage reports
)

// shortWindows are settings of entries by which leases change hands and usage is
// reported within a load.
var shortWindows = []string{"--lease-ttl=3s", "--usage-window=2s", "--usage-grace=2s", "--usage-flush=500ms"}

// Run runs an experiment and returns its report. An error means that it could not
// be run, not that a promise was broken.
func (e *Experiment) Run(ctx context.Context, o Options) (*Report, error) {
	if e.Steady && o.Steady == nil && o.Policy == PolicyRagwortpass {
		steady, err := FindExperiment("steady")
		if err != nil {
			return nil, err
		}
		if o.Steady, err = steady.Run(ctx, o); err != nil {
			return nil, err
		}
	}
	var alone *Report
	if e.Alone {
		t, err := e.trial(o)
		if err != nil {
			return nil, err
		}
		t.Plan.Without, t.Plan.Surges, t.reference = t.Plan.Surges[0].Workspace, nil, true
		if err := t.run(ctx); err != nil {
			return nil, err
		}
		alone = t.Report
	}
	t, err := e.trial(o)
	if err != nil {
		return nil, err
	}
	t.Alone = alone
	if err := t.run(ctx); err != nil {
		return nil, err
	}
	return t.Report, nil
}

// trial returns a run that has not started yet.
func (e *Experiment) trial(o Options) (*Trial, error) {
	set, err := o.Deployment.RuleSet()
	if err != nil {
		return nil, err
	}
	factor := e.Factor
	if factor == 0 {
		factor = 1
	}
	t := &Trial{
		Options: o, Experiment: e, Set: set, marks: make(map[string]time.Time), counts: make(map[string]int),
		killed: make(map[string]bool),
		Plan:   &Plan{Deployment: o.Deployment, Seed: o.Seed, RateFactor: factor, Warmup: warmup, Duration: e.Length},
	}
	if e.Alter != nil {
		e.Alter(t)
	}
	return t, nil
}

// run starts a fleet, puts the load and the steps on it, and reports.
func (t *Trial) run(ctx context.Context) error {
	var err error
	t.Fleet, err = StartFleet(ctx, FleetConfig{
		Deployment: t.Deployment, Policy: t.Policy, Engines: t.Deployment.Engines - t.Experiment.Reserve, Warm: true, Log: t.Log,
		Traces: tracesKept, EntryArgs: shortWindows,
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
	stepping, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { steps <- t.step(stepping) }()
	t.Results = load.Run(ctx, arrivals)
	if err := <-steps; err != nil {
		return err
	}
	if t.Policy == PolicyRagwortpass {
		wait, cancel := context.WithTimeout(ctx, usageWait)
		defer cancel()
		AwaitUsage(wait, t.Fleet.Platform.ReportsSeen, t.Results)
	}
	t.report(time.Since(begin))
	return ctx.Err()
}

// step carries out the steps at their times.
func (t *Trial) step(ctx context.Context) error {
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
		t.marks[s.Name] = time.Now()
		if t.Progress != nil {
			_, _ = fmt.Fprintf(t.Progress, "%5.1fs  %s\n", s.At.Seconds(), s.Name)
		}
	}
	return nil
}

// report sums up and runs the checks.
func (t *Trial) report(lasted time.Duration) {
	t.Runs = t.Fleet.EngineRuns()
	r := Account(t.Deployment, t.Set, t.Results, t.Start, t.Plan.Duration)
	r.Experiment, r.Policy, r.Seed, r.Version = t.Experiment.Name, string(t.Policy), t.Seed, process.Version()
	r.Engines = AccountEngines(t.Results, plainRuns(t.Runs), t.Fleet.Bookings())
	for _, u := range t.Fleet.Engines() {
		r.Engines.Falls += u.Engine.Stats().Falls
		r.Engines.UpstreamSeconds += min(lasted, time.Since(u.Started)).Seconds()
	}
	r.Usage = AccountUsage(t.Fleet.Platform.ReportsSeen(), t.Results)
	t.Report = r
	p := CheckPriorities(Spans(t.Set, t.Results, t.Runs, t.preempted()))
	r.Overtakes = p.BeyondFloor(t.Set)
	r.Checks = append(r.Checks, t.always(p)...)
	if t.Experiment.Checks != nil && !t.reference {
		r.Checks = append(r.Checks, t.Experiment.Checks(t)...)
	}
	r.Notes = append(r.Notes, t.Notes...)
	r.Notes = append(r.Notes, p.Inversions[:min(len(p.Inversions), maxNotes)]...)
}

// preempted returns the requests whose traces hold a preemption.
func (t *Trial) preempted() map[id.Request]bool {
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

// always returns the checks of every experiment.
func (t *Trial) always(p *Priorities) []Check {
	checks := []Check{
		none("wrong_answers", t.Report.Total.Outcomes[Wrong]),
		none("lost_answers", t.lost()),
		none("false_not_run", t.Report.Engines.FalseNotRun),
		none("doubled_bookings", t.Report.Engines.DoubledBookings),
		none("priority_inversions", len(p.Inversions)),
	}
	if u := t.Report.Usage; u != nil {
		checks = append(checks, none("windows_reported_differently", u.Differing))
		if len(t.killed) == 0 {
			checks = append(checks, none("usage_tokens_off", int(u.Off)))
		}
	}
	return checks
}

// lost counts the lost answers, but for those of entries that the experiment ended
// at once.
func (t *Trial) lost() int {
	n := 0
	for _, x := range t.Results {
		if x.Outcome == Lost && !x.Arrival.Warmup && !t.killed[x.Entry] {
			n++
		}
	}
	return n
}

func none(name string, n int) Check {
	return Check{Name: name, Ok: n == 0, Value: float64(n)}
}

func atMost(name string, value, bound float64) Check {
	return Check{Name: name, Ok: value <= bound, Value: value, Bound: bound}
}

func atLeast(name string, value, bound float64) Check {
	return Check{Name: name, Ok: value >= bound, Value: value, Bound: bound}
}
