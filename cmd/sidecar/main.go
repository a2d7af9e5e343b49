// Ragwort-sidecar runs beside one upstream and queues, limits and forwards its requests.
//
// Exit codes: 0 a planned stop, 1 a server has failed, 2 invalid settings or arguments, 70 a panic.
package main

import (
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/process/signals"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/sidecar"
)

func main() {
	var s sidecar.Settings
	setting.Parse(&s, "ragwort-sidecar", "Guards one upstream.")
	os.Exit(run(&s))
}

// run runs a sidecar until SIGTERM or SIGINT and returns the exit code.
func run(s *sidecar.Settings) int {
	logWriter := process.NewAsyncLogWriter(os.Stderr)
	defer logWriter.Close()
	logger := process.NewAsyncLogger(logWriter, "sidecar", s.Node)
	return process.Main(logger, func() error { return sidecar.NewProgram(time.Now(), s, logger).Run(signals.Context()) })
}
