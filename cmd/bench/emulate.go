package main

// This file defines the emulate command, which plays a site in simulated time.

import (
	"os"

	"github.com/ragwortpass/ragwortpass/bench"
	"github.com/ragwortpass/ragwortpass/emulator"
	"github.com/ragwortpass/ragwortpass/process"
)

type emulateCommand struct {
	Fleet    string  `help:"File with the site in JSON, as in examples." required:"" type:"existingfile"`
	Seeds    int     `help:"How many seeds are played, from 1 on." default:"4"`
	Parallel int     `help:"Most plays at once." default:"2"`
	Factor   float64 `help:"Multiple of the site's load." default:"1"`
	Out      string  `help:"Folder for the report and the plots." required:""`
}

// Run plays the site, saves the report and prints it.
func (c *emulateCommand) Run() error {
	file, err := os.Open(c.Fleet)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	site, err := emulator.ReadSite(file)
	if err != nil {
		return err
	}
	ctx, stop := process.SignalContext()
	defer stop()
	e := bench.Emulation{Site: site, Seeds: c.Seeds, Parallel: c.Parallel, Factor: c.Factor, Version: process.Version()}
	r, err := e.Run(ctx)
	if err != nil {
		return err
	}
	if err := r.Save(c.Out); err != nil {
		return err
	}
	return r.WriteTable(os.Stdout)
}
