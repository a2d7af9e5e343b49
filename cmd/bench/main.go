// Ragwort-bench generates load on a fleet of processes and reports the results that callers
// see.
//
// Exit codes: 0 every guarantee held, 1 failure or a broken guarantee, 2 invalid settings or
// arguments.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/ragwortpass/ragwortpass/setting"
)

// settings holds the commands of the program.
type settings struct {
	Load    loadCommand    `cmd:"" help:"Put a mixed load on a fleet of processes."`
	Run     runCommand     `cmd:"" help:"Run an experiment on a fleet inside this process."`
	Compare compareCommand `cmd:"" help:"Set two runs side by side."`
	Matrix  matrixCommand  `cmd:"" help:"Run every experiment with both policies and print one table."`
	Slope   slopeCommand   `cmd:"" help:"Measure what control costs as a fleet and its state grow."`
	Emulate emulateCommand `cmd:"" help:"Play a site in simulated time with many seeds."`
	Wait    waitCommand    `cmd:"" help:"Wait until processes are ready."`
	Ports   portsCommand   `cmd:"" help:"Print free loopback addresses."`
}

// Check implements setting.Settings.
func (s *settings) Check() error {
	var c setting.Checker
	for _, a := range s.Load.Entries {
		c.Endpoint("entries", a)
	}
	for _, u := range s.Load.Engines {
		c.URL("engines", u)
	}
	for _, u := range s.Load.Services {
		c.URL("services", u)
	}
	for _, a := range s.Wait.Addresses {
		c.Endpoint("addresses", a)
	}
	c.Require(s.Emulate.Seeds > 0, "seeds", fmt.Sprint(s.Emulate.Seeds), "at least 1")
	c.Require(s.Emulate.Parallel > 0, "parallel", fmt.Sprint(s.Emulate.Parallel), "at least 1")
	c.Require(s.Emulate.Factor > 0, "factor", fmt.Sprint(s.Emulate.Factor), "more than 0")
	return c.Err()
}

// errGuaranteeBroken reports that a guarantee of the service levels was broken. The printed
// table shows which.
var errGuaranteeBroken = errors.New("a guarantee was broken")

func main() {
	signal.Ignore(syscall.SIGPIPE) // what was begun is completed also if nobody reads the output
	var s settings
	ctx := setting.Parse(&s, "ragwort-bench", "Puts load on a fleet and reports what callers got.")
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(setting.ExitFailure)
	}
}
