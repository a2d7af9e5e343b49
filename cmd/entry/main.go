// Ragwort-entry is the process that callers reach, behind the platform's
// balancer. By default it serves our own interface; relay serves the requests of a
// platform whose upstreams take them directly.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/entry"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
)

// settings are the commands of the program.
type settings struct {
	Serve entry.Settings `cmd:"" default:"withargs" help:"Serve our own interface under rules of our own log."`
	Relay relayCommand   `cmd:"" help:"Relay a platform's requests under the configuration on its store."`

	relay bool // the command that was given
}

// Check implements setting.Settings.
func (s *settings) Check() error {
	if s.relay {
		return nil // its settings file is checked when it is read
	}
	return s.Serve.Check()
}

func main() {
	s := settings{relay: len(os.Args) > 1 && os.Args[1] == "relay"}
	setting.Parse(&s, "ragwort-entry", "Serves callers and routes their requests to upstreams.")
	run := s.serve
	if s.relay {
		run = s.Relay.run
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(setting.ExitCode(err))
	}
}

// serve runs the entry of our own interface.
func (s *settings) serve() error {
	signalled, stop := process.SignalContext()
	defer stop()
	return entry.NewProgram(time.Now(), &s.Serve, process.NewLogger("entry", s.Serve.Node)).Run(signalled)
}
