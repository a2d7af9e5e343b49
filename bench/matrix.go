package bench

// This file defines Matrix, every experiment with every policy, deployment and
// seed, and the table of its figures.

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
)

// Matrix names the runs of a matrix.
type Matrix struct {
	Experiments []*Experiment
	Deployments []*Deployment
	Seeds       []uint64
	Parallel    int
	Dir         string
	Progress    io.Writer
}

// cell is one experiment, deployment and seed with its reports.
type cell struct {
	experiment *Experiment
	deployment *Deployment
	seed       uint64
	report     *Report
	naive      *Report // nil: not run
	err        error
}

// comparesNaive reports whether the promises of an experiment name the naive policy.
func (e *Experiment) comparesNaive() bool {
	return e.Name == "uneven" || e.Name == "cold" || e.Name == "crash"
}

// Run runs the matrix with a bounded number of experiments side by side and
// writes its table in markdown. It reports whether every promise held. The
// ragwortpass and naive runs of an experiment follow each other.
func (m *Matrix) Run(ctx context.Context, table io.Writer) (held bool, err error) {
	var cells []*cell
	for _, e := range m.Experiments {
		for _, d := range m.Deployments {
			for _, seed := range m.Seeds {
				cells = append(cells, &cell{experiment: e, deployment: d, seed: seed})
			}
		}
	}
	slots := make(chan struct{}, m.Parallel)
	steady := make(map[string]*cell)
	var wg sync.WaitGroup
	for _, c := range cells {
		key := fmt.Sprint(c.deployment.Name, c.seed)
		if c.experiment.Name == "steady" {
			steady[key] = c
		}
		slots <- struct{}{}
		var base *Report
		if s := steady[key]; c.experiment.Steady && s != nil {
			base = s.report
		}
		wg.Go(func() {
			defer func() { <-slots }()
			m.run(ctx, c, base)
		})
		if c.experiment.Name == "steady" {
			wg.Wait() // later experiments read its report
		}
	}
	wg.Wait()
	return writeMatrix(table, cells)
}

// run runs one cell with both policies. State experiments have no naive run.
func (m *Matrix) run(ctx context.Context, c *cell, steady *Report) {
	o := Options{Deployment: c.deployment, Seed: c.seed, Steady: steady, Policy: PolicyRagwortpass}
	if c.report, c.err = m.one(ctx, c, o); c.err != nil || c.experiment.State {
		return
	}
	o.Policy = PolicyNaive
	c.naive, c.err = m.one(ctx, c, o)
	if c.err == nil && c.experiment.comparesNaive() {
		c.report.Checks = append(c.report.Checks, c.report.AgainstNaive(c.naive)...)
		c.err = c.report.Save(m.dir(c, o.Policy))
	}
}

func (m *Matrix) dir(c *cell, p Policy) string {
	return filepath.Join(m.Dir, strings.Join([]string{c.experiment.Name, c.deployment.Name, fmt.Sprint(c.seed), string(p)}, "-"))
}

func (m *Matrix) one(ctx context.Context, c *cell, o Options) (*Report, error) {
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

// writeMatrix prints a row for each report, and the broken checks below.
func writeMatrix(out io.Writer, cells []*cell) (held bool, err error) {
	held = true
	var broken []string
	_, _ = fmt.Fprintln(out, "| experiment | deployment | seed | policy | top tier in time % | all in time % | goodput tokens/s | lost tokens | wasted tokens | worst workspace % | refused | unknown | cut | wrong | lost | checks broken |")
	_, _ = fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, c := range cells {
		if c.err != nil {
			held = false
			broken = append(broken, fmt.Sprintf("- %s %s seed %d: not run: %v", c.experiment.Name, c.deployment.Name, c.seed, c.err))
		}
		for _, r := range []*Report{c.report, c.naive} {
			if r == nil {
				continue
			}
			r.writeRow(out, c.deployment)
			if r == c.naive {
				continue // the baseline promises nothing
			}
			for _, k := range r.Checks {
				if !k.Ok {
					held = false
					broken = append(broken, "- "+r.label()+": "+k.String())
				}
			}
		}
	}
	_, err = fmt.Fprintf(out, "\nBroken checks: %d\n\n%s\n", len(broken), strings.Join(broken, "\n"))
	return held, err
}

func (r *Report) writeRow(out io.Writer, d *Deployment) {
	top := 0.0
	if c := r.Class(d.Top); c != nil {
		top = c.Figures.Attainment
	}
	worst, wasted, bad := 0.0, int64(0), 0
	if len(r.Workspaces) > 0 {
		worst = r.Workspaces[0].Attainment
	}
	if r.Engines != nil {
		wasted = r.Engines.Wasted
	}
	for _, k := range r.Checks {
		if !k.Ok {
			bad++
		}
	}
	o := r.Total.Outcomes
	_, _ = fmt.Fprintf(out, "| %s | %s | %d | %s | %.1f | %.1f | %.0f | %d | %d | %.1f | %d | %d | %d | %d | %d | %d |\n",
		r.Experiment, r.Deployment, r.Seed, r.Policy, top*percent, r.Total.Attainment*percent, r.Total.GoodputTokens,
		r.Total.LostTokens(), wasted, worst*percent, o[RefusedNotRun], o[RefusedUnknown], o[Cut], o[Wrong], o[Lost], bad)
}
