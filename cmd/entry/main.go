// Ragwort-entry is the process that receives the requests of callers, behind the platform's
// load balancer.
//
// The serve command, which is the default, serves the router's own API and forwards
// requests to sidecars. The relay command runs a gateway, which forwards the requests of a
// platform directly to its upstreams.
//
// Exit codes: 0 success, 1 failure, 2 invalid settings or arguments.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/entry"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
)

// settings holds the commands of the program.
type settings struct {
	Serve entry.Settings `cmd:"" default:"withargs" help:"Serve our own interface under rules of our own log."`
	Relay relayCommand   `cmd:"" help:"Relay a platform's requests under the configuration on its store."`

	isRelay bool // the command is relay
}

// Check implements setting.Settings.
func (s *settings) Check() error {
	if s.isRelay {
		return nil // the settings file is validated when it is read
	}
	return s.Serve.Check()
}

func main() {
	s := settings{isRelay: len(os.Args) > 1 && os.Args[1] == "relay"}
	setting.Parse(&s, "ragwort-entry", "Serves callers and routes their requests to upstreams.")
	run := s.serve
	if s.isRelay {
		run = s.Relay.run
	}
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(setting.ExitCode(err))
	}
}

// serve runs an entry until SIGTERM or SIGINT.
func (s *settings) serve() error {
	ctx, stop := process.SignalContext()
	defer stop()
	return entry.NewProgram(time.Now(), &s.Serve, process.NewLogger("entry", s.Serve.Node)).Run(ctx)
}
