// Ragwort-sidecar runs beside one upstream and queues, limits and forwards its requests.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/sidecar"
)

func main() {
	var s sidecar.Settings
	setting.Parse(&s, "ragwort-sidecar", "Guards one upstream.")
	ctx, stop := process.SignalContext()
	defer stop()
	p := sidecar.NewProgram(time.Now(), &s, process.NewLogger("sidecar", s.Node))
	if err := p.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(setting.ExitFailure)
	}
}
