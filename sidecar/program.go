package sidecar

// This file defines Settings and Program. Program bundles a sidecar with its
// dependencies, for cmd/sidecar and for benchmarks that run several in one process.

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/trace"
)

// Settings holds the flags and environment variables of the program.
type Settings struct {
	Node        string        `help:"Name of this process, unique in the fleet." required:""`
	DataCentre  string        `help:"Data centre this process runs in." required:""`
	Listen      string        `help:"Address to serve on." default:"127.0.0.1:8081"`
	Advertise   string        `help:"Address at which entries reach this process; the listen address if empty."`
	Platform    string        `help:"URL of the platform." required:""`
	Upstream    string        `help:"Name of the upstream beside this process." required:""`
	UpstreamURL string        `help:"URL of the upstream." required:""`
	Models      []string      `help:"Models that the upstream serves."`
	Service     string        `help:"Plain service that the upstream is."`
	MemoryMB    float64       `help:"Memory of the process in megabytes, of which a part is for connections to it; zero: not known." name:"memory-mb" default:"0"`
	MaxFDs      int           `help:"Descriptors that the process may have open, of which a part is for connections to it; zero: not known." name:"max-descriptors" default:"0"`
	Traces      int           `help:"Requests whose decisions are kept for explain." default:"5000"`
	Linger      time.Duration `help:"Time between becoming unready and closing the listener at shutdown." default:"1s"`
}

// Check implements setting.Settings.
func (s *Settings) Check() error {
	var c setting.Checker
	c.Name("node", s.Node)
	c.Name("data-centre", s.DataCentre)
	c.Name("upstream", s.Upstream)
	c.Endpoint("listen", s.Listen)
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	c.Endpoint("advertise", s.Advertise)
	c.URL("platform", s.Platform)
	c.URL("upstream-url", s.UpstreamURL)
	c.Require((len(s.Models) > 0) != (s.Service != ""), "models", fmt.Sprint(s.Models), "either models or a service")
	c.Require(s.MemoryMB >= 0 && s.MemoryMB <= memory.MaxProcessMB, "memory-mb", fmt.Sprint(s.MemoryMB), fmt.Sprintf("a number from 0 to %d", memory.MaxProcessMB))
	c.Require(s.MaxFDs == 0 || s.MaxFDs > process.OtherDescriptors, "max-descriptors", fmt.Sprint(s.MaxFDs), fmt.Sprintf("zero, or more than %d", process.OtherDescriptors))
	c.Require(s.Traces > 0, "traces", fmt.Sprint(s.Traces), "a number above zero")
	c.Require(s.Linger >= 0, "linger", s.Linger.String(), "a duration from zero")
	return c.Err()
}

// Program is a sidecar with its log follower and its HTTP server.
type Program struct {
	Deps   Deps
	Server process.Server
}

// NewProgram returns a sidecar that has not been started.
func NewProgram(now time.Time, s *Settings, logger log.Logger) *Program {
	registry := metrics.NewRegistry()
	state := logbook.NewState()
	follower := logbook.NewFollower(hosting.NewClient(s.Platform, process.NewExternalClient()), state, logger, registry)
	cfg := Config{
		Node: id.Node(s.Node), DataCentre: id.DataCentre(s.DataCentre), Address: s.Advertise,
		Upstream: id.Upstream(s.Upstream), UpstreamURL: s.UpstreamURL, Service: id.Service(s.Service),
		Incarnation: id.Incarnation(now.UnixNano()),
	}
	for _, m := range s.Models {
		cfg.Models = append(cfg.Models, id.Model(m))
	}
	budgets := memory.NewBudgets(s.MemoryMB)
	process.LimitHeap(s.MemoryMB)
	if err := budgets.Register(registry); err != nil {
		_ = logger.Log("event", "metrics_missing", "err", err)
	}
	deps := Deps{
		State: state, PeerFetcher: logbook.NewPeerFetcher(state, process.NewPeerClient(), logger, registry),
		UpstreamClient: process.NewExternalClient(), OnceClient: process.NewNoResendClient(),
		Traces: trace.New(cfg.Node, s.Traces), Memory: budgets, Metrics: registry, Logger: logger,
	}
	sidecar := New(cfg, deps)
	return &Program{
		Deps: deps,
		Server: process.Server{
			Address: s.Listen, Handler: sidecar.Handler(), Ready: sidecar.Ready, Metrics: registry, Logger: logger,
			Memory: budgets, MaxDescriptors: s.MaxFDs,
			OnShutdown: sidecar.BeginShutdown, ShutdownDelay: s.Linger,
			Tasks: []func(context.Context){sidecar.Run}, JournalTasks: []func(context.Context){follower.Run},
		},
	}
}

// Run serves requests until ctx is done and every running request has finished.
func (p *Program) Run(ctx context.Context) error { return process.Serve(ctx, p.Server) }
