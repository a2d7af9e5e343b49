// Ragwort-entry is the process that callers reach, behind the platform's
// balancer.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/entry"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
)

func main() {
	var s entry.Settings
	setting.Parse(&s, "ragwort-entry", "Serves callers and routes their requests to upstreams.")
	signalled, stop := process.Signals()
	defer stop()
	p := entry.NewProgram(time.Now(), &s, process.NewLogger("entry", s.Node))
	if err := p.Run(signalled); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(setting.ExitFailed)
	}
}
