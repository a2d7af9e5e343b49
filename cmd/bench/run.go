package main

// This file defines the commands run and matrix, which run experiments on fleets inside
// this process, and compare, which compares the reports of two runs.

import (
	"io"
	"os"
	"path/filepath"

	"github.com/ragwortpass/ragwortpass/bench"
	"github.com/ragwortpass/ragwortpass/process"
)

type runCommand struct {
	Experiment string `arg:"" help:"Name of the experiment."`
	Deployment string `help:"Deployment that is modelled." enum:"hingeworks,errata" default:"hingeworks"`
	Policy     string `help:"How entries decide." enum:"ragwortpass,naive" default:"ragwortpass"`
	Seed       uint64 `help:"Seed of the arrivals." default:"1"`
	Steady     string `help:"Folder of the steady run to compare with; run first if empty." type:"existingdir"`
	Out        string `help:"Folder for report.json, the plot and the log." required:""`
}

// Run runs an experiment.
func (c *runCommand) Run() error {
	e, err := bench.FindExperiment(c.Experiment)
	if err != nil {
		return err
	}
	d, err := bench.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	o := bench.Options{Deployment: d, Policy: bench.Policy(c.Policy), Seed: c.Seed, Progress: os.Stderr}
	if c.Steady != "" {
		if o.Steady, err = bench.ReadReport(c.Steady); err != nil {
			return err
		}
	}
	return runExperiment(e, o, c.Out, os.Stdout)
}

// runExperiment runs an experiment, saves its report and log in dir and prints the results.
func runExperiment(e *bench.Experiment, o bench.Options, dir string, out io.Writer) error {
	ctx, stop := process.SignalContext()
	defer stop()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "fleet.log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	o.Log = log
	r, err := e.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := r.Save(dir); err != nil {
		return err
	}
	if err := r.WriteTable(out); err != nil {
		return err
	}
	if r.AnyCheckFailed() {
		return errGuaranteeBroken
	}
	return nil
}

type compareCommand struct {
	A string `arg:"" help:"Folder of one run." type:"existingdir"`
	B string `arg:"" help:"Folder of another run." type:"existingdir"`
}

// Run prints the reports of two runs side by side.
func (c *compareCommand) Run() error {
	a, err := bench.ReadReport(c.A)
	if err != nil {
		return err
	}
	b, err := bench.ReadReport(c.B)
	if err != nil {
		return err
	}
	return bench.Compare(os.Stdout, a, b)
}

type matrixCommand struct {
	Experiments []string `help:"Names of the experiments; all if none."`
	Deployments []string `help:"Names of the deployments." default:"hingeworks,errata"`
	Seeds       []uint64 `help:"Seeds." default:"1,2,3"`
	Parallel    int      `help:"Experiments that run side by side." default:"2"`
	Out         string   `help:"Folder for the reports and matrix.md." required:""`
}

// Run runs the matrix of experiments and prints its table.
func (c *matrixCommand) Run() error {
	m := bench.Matrix{Seeds: c.Seeds, Parallel: max(1, c.Parallel), Dir: c.Out, Progress: os.Stderr, Experiments: bench.Experiments()}
	if len(c.Experiments) > 0 {
		m.Experiments = nil
	}
	for _, name := range c.Experiments {
		e, err := bench.FindExperiment(name)
		if err != nil {
			return err
		}
		m.Experiments = append(m.Experiments, e)
	}
	for _, name := range c.Deployments {
		d, err := bench.FindDeployment(name)
		if err != nil {
			return err
		}
		m.Deployments = append(m.Deployments, d)
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	table, err := os.Create(filepath.Join(c.Out, "matrix.md"))
	if err != nil {
		return err
	}
	defer func() { _ = table.Close() }()
	ctx, stop := process.SignalContext()
	defer stop()
	held, err := m.Run(ctx, io.MultiWriter(os.Stdout, table))
	if err != nil {
		return err
	}
	if !held {
		return errGuaranteeBroken
	}
	return nil
}
