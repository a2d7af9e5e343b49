package main

// This file defines the commands that run experiments inside this process.

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

// Run runs one experiment.
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
		if o.Steady, err = bench.Open(c.Steady); err != nil {
			return err
		}
	}
	return runOne(e, o, c.Out, os.Stdout)
}

// runOne runs an experiment, keeps its report and prints the table.
func runOne(e *bench.Experiment, o bench.Options, dir string, out io.Writer) error {
	ctx, stop := process.Signals()
	defer stop()
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "fleet.log"))
	if err != nil {
		return err
	}
	defer log.Close()
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
	if r.Broken() {
		return errBroken
	}
	return nil
}
