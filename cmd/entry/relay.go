package main

// This file defines the relay command, which runs a gateway.

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/process/signals"
)

// relayCommand holds the flags of the relay command.
type relayCommand struct {
	Settings   string        `help:"Path of the settings file." required:"" env:"RAGWORTPASS_CONFIG"`
	ClockError time.Duration `help:"How far the clock is off, for drills." hidden:""`
}

// run runs a gateway until SIGTERM or SIGINT and returns the exit code.
func (c *relayCommand) run() int {
	logWriter := process.NewAsyncLogWriter(os.Stdout)
	defer logWriter.Close()
	readSettings := func() (*gateway.Settings, error) {
		s, err := gateway.ReadSettings(c.Settings)
		if err != nil {
			return nil, &process.SettingsError{Path: c.Settings, Err: err}
		}
		return s, nil
	}
	nameless := process.NewAsyncLogger(logWriter, "entry", "")
	s, err := gateway.AwaitSettings(readSettings, signals.Terminations(), nameless)
	switch {
	case errors.Is(err, gateway.ErrTerminated):
		return process.Main(nameless, func() error { return nil })
	case err != nil:
		return process.Main(nameless, func() error { return err })
	}
	logger := process.NewAsyncLogger(logWriter, "entry", string(s.Node))
	return process.Main(logger, func() error {
		program := gateway.NewProgram(s, readSettings, clock.NewWithOffset(c.ClockError), platform.New(s, logger), logger)
		return program.Run(context.Background(), gateway.Signals{Terminate: signals.Terminations(), Reload: signals.Hangups()})
	})
}
