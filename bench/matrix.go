package bench

// This file defines Matrix, which runs every experiment with every policy,
// deployment and seed, and prints a table of the results.

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Matrix describes a set of runs.
type Matrix struct {
	Experiments []*Experiment
	Deployments []*Deployment
	Seeds       []uint64
	Parallel    int       // maximum number of concurrent experiments
	Dir         string    // for the reports and logs, in a folder for each run
	Progress    io.Writer // nil: none
}

// matrixCell holds the reports of one experiment, deployment and seed.
type matrixCell struct {
	experiment *Experiment
	deployment *Deployment
	seed       uint64
	report     *Report
	naive      *Report // nil: not run
	err        error
}

// comparesNaive reports whether an experiment has guarantees relative to the naive
// policy.
func (e *Experiment) comparesNaive() bool {
	return e.Name == "uneven" || e.Name == "cold" || e.Name == "crash"
}

// Run runs the matrix, at most Parallel experiments at once, and writes its table in
// Markdown. It reports whether every experiment ran and every guarantee held. The
// naive run of an experiment follows its ragwortpass run.
func (m *Matrix) Run(ctx context.Context, table io.Writer) (held bool, err error) {
	var cells []*matrixCell
	for _, e := range m.Experiments {
		for _, d := range m.Deployments {
			for _, seed := range m.Seeds {
				cells = append(cells, &matrixCell{experiment: e, deployment: d, seed: seed})
			}
		}
	}
	slots := make(chan struct{}, m.Parallel)
	steady := make(map[string]*matrixCell)
	var wg sync.WaitGroup
	for _, c := range cells {
		key := fmt.Sprint(c.deployment.Name, c.seed)
		if c.experiment.Name == "steady" {
			steady[key] = c
		}
		slots <- struct{}{}
		var base *Report
		if s := steady[key]; c.experiment.NeedsSteady && s != nil {
			base = s.report
		}
		wg.Go(func() {
			defer func() { <-slots }()
			m.runCell(ctx, c, base)
		})
		if c.experiment.Name == "steady" {
			wg.Wait() // later experiments compare with its report
		}
	}
	wg.Wait()
	return writeMatrix(table, cells)
}

// runCell runs one cell with both policies. Experiments on the state that is kept on
// the log have no naive run.
func (m *Matrix) runCell(ctx context.Context, c *matrixCell, steady *Report) {
	o := Options{Deployment: c.deployment, Seed: c.seed, Steady: steady, Policy: PolicyRagwortpass}
	if c.report, c.err = m.runExperiment(ctx, c, o); c.err != nil || c.experiment.UsesLog {
		return
	}
	o.Policy = PolicyNaive
	c.naive, c.err = m.runExperiment(ctx, c, o)
	if c.err == nil && c.experiment.comparesNaive() {
		c.report.Checks = append(c.report.Checks, c.report.ChecksAgainstNaive(c.naive)...)
		c.err = c.report.Save(m.dir(c, o.Policy))
	}
}

// dir returns the folder for the report and the log of a run.
func (m *Matrix) dir(c *matrixCell, p Policy) string {
	return filepath.Join(m.Dir, strings.Join([]string{c.experiment.Name, c.deployment.Name, fmt.Sprint(c.seed), string(p)}, "-"))
}

func (m *Matrix) runExperiment(ctx context.Context, c *matrixCell, o Options) (*Report, error) {
	dir := m.dir(c, o.Policy)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "fleet.log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	o.Log = log
	r, err := c.experiment.Run(ctx, o)
	if err != nil {
		return nil, err
	}
	if m.Progress != nil {
		_, _ = fmt.Fprintf(m.Progress, "%s: %.1f %% in time, broken %v\n", r.label(), r.Total.Attainment*percent, r.AnyCheckFailed())
	}
	return r, r.Save(dir)
}

// writeMatrix prints a row for each report, and the failed checks below.
func writeMatrix(out io.Writer, cells []*matrixCell) (held bool, err error) {
	held = true
	var failed []string
	_, _ = fmt.Fprintln(out, "| experiment | deployment | seed | policy | top tier in time % | all in time % | goodput tokens/s | lost tokens | wasted tokens | worst workspace % | refused | unknown | cut | wrong | lost | checks broken |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range cells {
		if c.err != nil {
			held = false
			failed = append(failed, fmt.Sprintf("- %s %s seed %d: not run: %v", c.experiment.Name, c.deployment.Name, c.seed, c.err))
		}
		for _, r := range []*Report{c.report, c.naive} {
			if r == nil {
				continue
			}
			r.writeRow(out, c.deployment)
			if r == c.naive {
				continue // the baseline has no guarantees
			}
			for _, k := range r.Checks {
				if !k.Ok {
					held = false
					failed = append(failed, "- "+r.label()+": "+k.String())
				}
			}
		}
	}
	_, err = fmt.Fprintf(out, "\nBroken checks: %d\n\n%s\n", len(failed), strings.Join(failed, "\n"))
	return held, err
}

func (r *Report) writeRow(out io.Writer, d *Deployment) {
	top := 0.0
	if c := r.Class(d.HighestClass); c != nil {
		top = c.Stats.Attainment
	}
	worst, wasted, failedChecks := 0.0, int64(0), 0
	if len(r.Workspaces) > 0 {
		worst = r.Workspaces[0].Attainment
	}
	if r.Engines != nil {
		wasted = r.Engines.WastedTokens
	}
	for _, k := range r.Checks {
		if !k.Ok {
			failedChecks++
		}
	}
	o := r.Total.Outcomes
	_, _ = fmt.Fprintf(out, "| %s | %s | %d | %s | %.1f | %.1f | %.0f | %d | %d | %.1f | %d | %d | %d | %d | %d | %d |\n",
		r.Experiment, r.Deployment, r.Seed, r.Policy, top*percent, r.Total.Attainment*percent, r.Total.GoodputTokens,
		r.Total.MissedTokens(), wasted, worst*percent, o[RefusedNotRun], o[RefusedUnknown], o[Cut], o[Wrong], o[Lost], failedChecks)
}
