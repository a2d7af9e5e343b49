package main

// This file defines the slope command, which measures how control costs grow with the
// fleet and its state.

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

// The fixed number of processes of one kind while that of the other kind varies.
const (
	fixedEntries  = 2
	fixedSidecars = 32
)

// Run measures the costs for each number of workspaces, records, sidecars and entries,
// prints them and saves them.
func (c *slopeCommand) Run() error {
	ctx, stop := process.SignalContext()
	defer stop()
	start := time.Now()
	s := &bench.ScalingReport{Version: process.Version()}
	var err error
	if s.StateCosts, err = bench.MeasureStates(c.Workspaces, os.Stdout); err != nil {
		return err
	}
	s.ApplySpeeds = bench.MeasureApply(c.Batches, os.Stdout)
	if s.FleetCosts, err = bench.MeasureFleets(ctx, c.Sidecars, []int{fixedEntries}, os.Stdout); err != nil {
		return err
	}
	byEntries, err := bench.MeasureFleets(ctx, []int{fixedSidecars}, c.Entries, os.Stdout)
	if err != nil {
		return err
	}
	s.FleetCosts = append(s.FleetCosts, byEntries...)
	s.Elapsed = time.Since(start)
	return s.Save(c.Out)
}
