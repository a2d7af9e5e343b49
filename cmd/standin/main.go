// Ragwort-standin simulates a system that the router depends on: the platform, a model
// engine or a plain service. It is for tests and the demo.
package main

import (
	"net/http"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/process/signals"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/standin"
)

type settings struct {
	Listen string `help:"Address to serve on." required:""`

	Platform platformCommand `cmd:"" help:"Run the platform: log, orders, usage reports, VM list."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service."`
}

type platformCommand struct{}

type engineCommand struct {
	Models    []string      `help:"Models it serves." required:""`
	Gap       time.Duration `help:"Time between tokens at full speed." default:"10ms"`
	Batch     int           `help:"Answers it runs at full speed." default:"16"`
	ColdBatch int           `help:"Answers it bears when cold." default:"4"`
	Warm      bool          `help:"Start warm."`
	Fencing   bool          `help:"Refuse orders that carry an old fencing number."`
}

type serviceCommand struct{}

// Check implements setting.Settings.
func (s *settings) Check() error {
	var c setting.Checker
	c.Endpoint("listen", s.Listen)
	return c.Err()
}

func main() {
	var s settings
	ctx := setting.Parse(&s, "ragwort-standin", "Stands in for the systems around the router.")
	os.Exit(serve(s.Listen, ctx.Command(), s.handler(ctx.Command())))
}

func (s *settings) handler(command string) http.Handler {
	switch command {
	case "platform":
		return standin.NewPlatform().Handler()
	case "engine":
		return s.Engine.newEngine().Handler()
	default:
		return standin.NewService().Handler()
	}
}

// newEngine returns the engine that the flags describe.
func (c *engineCommand) newEngine() *standin.Engine {
	cfg := standin.DefaultEngineConfig()
	cfg.TokenGap, cfg.Batch, cfg.ColdBatch, cfg.CheckFencing = c.Gap, c.Batch, c.ColdBatch, c.Fencing
	for _, m := range c.Models {
		cfg.Models = append(cfg.Models, id.Model(m))
	}
	engine := standin.NewEngine(cfg)
	if c.Warm {
		engine.MakeWarm()
	}
	return engine
}

// serve serves until SIGTERM or SIGINT and returns the exit code.
func serve(address, name string, h http.Handler) int {
	logWriter := process.NewAsyncLogWriter(os.Stderr)
	defer logWriter.Close()
	logger := process.NewAsyncLogger(logWriter, "standin", name)
	return process.Main(logger, func() error {
		return process.Serve(signals.Context(), process.Server{
			Address: address, Handler: h, Ready: func() error { return nil },
			Metrics: metrics.NewRegistry(), Logger: logger, DrainTimeout: time.Second,
		})
	})
}
