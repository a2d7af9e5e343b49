package main

// This file defines the command that measures slopes.

import (
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/bench"
	"github.com/ragwortpass/ragwortpass/process"
)

type slopeCommand struct {
	Out        string `help:"Folder for slope.json." required:""`
	Sidecars   []int  `help:"Numbers of sidecars, with two entries." default:"16,32,64,128"`
	Entries    []int  `help:"Numbers of entries, with 32 sidecars." default:"4,8,16,32"`
	Workspaces []int  `help:"Numbers of workspaces." default:"10,100,1000,2100"`
	Batches    []int  `help:"Records in an append." default:"1,10,100,1000"`
}

// Numbers of the processes that are kept while the others vary.
const (
	entriesKept  = 2
	sidecarsKept = 32
)

// Run measures and prints every slope.
func (c *slopeCommand) Run() error {
	ctx, stop := process.Signals()
	defer stop()
	start := time.Now()
	s := &bench.ScalingReport{Version: process.Version()}
	var err error
	if s.StateCosts, err = bench.MeasureStates(c.Workspaces, os.Stdout); err != nil {
		return err
	}
	s.ApplySpeeds = bench.MeasureApply(c.Batches, os.Stdout)
	if s.FleetCosts, err = bench.MeasureFleets(ctx, c.Sidecars, []int{entriesKept}, os.Stdout); err != nil {
		return err
	}
	more, err := bench.MeasureFleets(ctx, []int{sidecarsKept}, c.Entries, os.Stdout)
	if err != nil {
		return err
	}
	s.FleetCosts = append(s.FleetCosts, more...)
	s.Elapsed = time.Since(start)
	return s.Save(c.Out)
}
