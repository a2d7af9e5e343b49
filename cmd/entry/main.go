// Ragwort-entry is the process that receives the requests of callers, behind the platform's
// load balancer.
//
// The serve command, which is the default, serves the router's own API and forwards
// requests to sidecars. The relay command runs a gateway, which forwards the requests of a
// platform directly to its upstreams.
//
// Exit codes: 0 a planned stop, 1 a server has failed, 2 invalid settings or arguments, 70 a panic.
package main

import (
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/entry"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/process/signals"
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
	if s.isRelay {
		os.Exit(s.Relay.run())
	}
	os.Exit(s.serve())
}

// serve runs an entry until SIGTERM or SIGINT and returns the exit code.
func (s *settings) serve() int {
	logWriter := process.NewAsyncLogWriter(os.Stderr)
	defer logWriter.Close()
	logger := process.NewAsyncLogger(logWriter, "entry", s.Serve.Node)
	return process.Main(logger, func() error { return entry.NewProgram(time.Now(), &s.Serve, logger).Run(signals.Context()) })
}
