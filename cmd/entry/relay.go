package main

// This file defines the relay command.

import (
	"context"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/process"
)

// relayCommand relays a platform's requests.
type relayCommand struct {
	Settings   string        `help:"Path of the settings file." required:"" env:"RAGWORTPASS_CONFIG"`
	ClockError time.Duration `help:"How far the clock is off, for drills." hidden:""`
}

// run serves until SIGTERM.
func (c *relayCommand) run() error {
	read := func() (*gateway.Settings, error) { return gateway.ReadSettings(c.Settings) }
	s, err := read()
	if err != nil {
		return err
	}
	lines := process.NewAsyncLogWriter(os.Stdout)
	defer lines.Close()
	logger := process.NewAsyncLogger(lines, "entry", string(s.Node))
	return gateway.NewProgram(s, read, clock.NewWithOffset(c.ClockError), platform.New(s, logger), logger).Run(context.Background())
}
