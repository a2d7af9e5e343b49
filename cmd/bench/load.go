package main

// This file defines the commands that work on separately started processes: load, wait and
// ports, which prints addresses for them.

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/bench"
	"github.com/ragwortpass/ragwortpass/process"
)

type loadCommand struct {
	Deployment string        `help:"Deployment whose traffic is sent." enum:"hingeworks,errata" default:"hingeworks"`
	Entries    []string      `help:"Addresses of the entries." required:""`
	KeysFile   string        `help:"File with a workspace and its key on each line." required:"" type:"existingfile"`
	Duration   time.Duration `help:"Length of the load, after the warm-up." default:"20s"`
	Warmup     time.Duration `help:"Ramp before the load; not part of the figures." default:"5s"`
	Factor     float64       `help:"Multiple of the deployment's rates." default:"1"`
	Seed       uint64        `help:"Seed of the arrivals." default:"1"`
	Engines    []string      `help:"URLs of the stand-in engines, for wasted tokens."`
	Services   []string      `help:"URLs of the stand-in services, for doubled bookings."`
	Platform   string        `help:"URL of the stand-in platform, for usage reports."`
	UsageWait  time.Duration `help:"Longest wait for the last usage reports." default:"15s"`
	Out        string        `help:"Folder for report.json and the plot; none if empty."`
}

// Run generates the load and prints the results.
func (c *loadCommand) Run() error {
	d, err := bench.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	keys, err := bench.ReadKeys(c.KeysFile)
	if err != nil {
		return err
	}
	ctx, stop := process.SignalContext()
	defer stop()
	remote := bench.RemoteFleet{Entries: c.Entries, Engines: c.Engines, Services: c.Services, Platform: c.Platform, UsageWait: c.UsageWait}
	plan := &bench.Plan{Deployment: d, Seed: c.Seed, RateFactor: c.Factor, Warmup: c.Warmup, Duration: c.Duration}
	r, err := remote.Run(ctx, plan, keys, &bench.LoadGenerator{Progress: os.Stderr})
	if err != nil {
		return err
	}
	if err := r.WriteTable(os.Stdout); err != nil {
		return err
	}
	if c.Out != "" {
		if err := r.Save(c.Out); err != nil {
			return err
		}
	}
	if !r.AllResolved() {
		return errGuaranteeBroken
	}
	return nil
}

type waitCommand struct {
	Addresses []string      `arg:"" help:"Addresses of the processes."`
	Within    time.Duration `help:"How long to wait." default:"30s"`
}

// Run waits until all processes are ready.
func (c *waitCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Within)
	defer cancel()
	return bench.WaitReady(ctx, c.Addresses)
}

type portsCommand struct {
	Count int `arg:"" help:"How many addresses."`
}

// Run prints free loopback addresses, one per line.
func (c *portsCommand) Run() error {
	list, err := bench.FreeAddresses(c.Count)
	if err != nil {
		return err
	}
	for _, a := range list {
		fmt.Println(a)
	}
	return nil
}
