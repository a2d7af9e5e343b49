package entry

// This file defines Settings and Program. Program bundles an entry with its
// dependencies, for cmd/entry and for benchmarks that run several in one process.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/usage"
)

// Settings holds the flags and environment variables of the program.
type Settings struct {
	Node       string        `help:"Name of this process, unique in the fleet." required:""`
	DataCentre string        `help:"Data centre this process runs in." required:""`
	Listen     string        `help:"Address to serve on." default:"127.0.0.1:8080"`
	Advertise  string        `help:"Address at which other processes reach this one; the listen address if empty."`
	Platform   string        `help:"URL of the platform." required:""`
	Seeds      []string      `help:"Addresses of other entries and sidecars, besides the platform's VM list."`
	MaxBody    int64         `help:"Most bytes of a request body." default:"8388608"`
	MemoryMB   float64       `help:"Memory of the process in megabytes, of which a part holds answers that are not complete; zero: not known." name:"memory-mb" default:"0"`
	MaxFDs     int           `help:"Descriptors that the process may have open, of which a part is for connections to it; zero: not known." name:"max-descriptors" default:"0"`
	Traces     int           `help:"Requests whose decisions are kept for explain." default:"20000"`
	Linger     time.Duration `help:"Time between becoming unready and closing the listener at shutdown." default:"1s"`

	Stall time.Duration `help:"Time without an event after which a stream that can be resumed goes on elsewhere; zero: no bound." default:"10s"`

	LeaseTTL    time.Duration `help:"Time to live of the leases on orders and usage." default:"10s"`
	UsageWindow time.Duration `help:"Length of a usage window; the same at every entry." default:"1m"`
	UsageGrace  time.Duration `help:"Time from the end of a usage window to its close." default:"20s"`
	UsageFlush  time.Duration `help:"Time between two appends of counted use." default:"5s"`
	FleetEvery  time.Duration `help:"Time between two measurements of the fleet." default:"5s"`
	FleetSteady time.Duration `help:"Time for which upstreams must be missing before any is started." default:"10s"`
	FleetHold   time.Duration `help:"Time for which the need must be lower before upstreams are stopped." default:"10m"`
	FleetSettle time.Duration `help:"Time until the effect of an order can be seen." default:"1m"`

	CheckpointEvery uint64        `help:"Appends to a stream of the log after which a checkpoint is due; 0: never." default:"10000"`
	CheckpointDelay time.Duration `help:"Longest random delay before a checkpoint that is due." default:"10s"`
}

// Check implements setting.Settings.
func (s *Settings) Check() error {
	var c setting.Checker
	c.Name("node", s.Node)
	c.Name("data-centre", s.DataCentre)
	c.Endpoint("listen", s.Listen)
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	c.Endpoint("advertise", s.Advertise)
	c.URL("platform", s.Platform)
	for _, seed := range s.Seeds {
		c.Endpoint("seeds", seed)
	}
	c.Require(s.MaxBody > 0, "max-body", fmt.Sprint(s.MaxBody), "a number above zero")
	c.Require(s.MemoryMB >= 0 && s.MemoryMB <= memory.MaxProcessMB, "memory-mb", fmt.Sprint(s.MemoryMB), fmt.Sprintf("a number from 0 to %d", memory.MaxProcessMB))
	c.Require(s.MaxFDs == 0 || s.MaxFDs > process.OtherDescriptors, "max-descriptors", fmt.Sprint(s.MaxFDs), fmt.Sprintf("zero, or more than %d", process.OtherDescriptors))
	c.Require(s.Traces > 0, "traces", fmt.Sprint(s.Traces), "a number above zero")
	c.Require(s.CheckpointDelay >= 0, "checkpoint-delay", s.CheckpointDelay.String(), "a duration from zero")
	c.Require(s.Linger >= 0, "linger", s.Linger.String(), "a duration from zero")
	c.Require(s.Stall >= 0, "stall", s.Stall.String(), "a duration from zero")
	c.Require(s.LeaseTTL >= time.Second, "lease-ttl", s.LeaseTTL.String(), "a duration from 1s")
	c.Require(s.UsageWindow >= time.Second && s.UsageWindow%time.Second == 0, "usage-window", s.UsageWindow.String(), "whole seconds")
	c.Require(s.UsageFlush > 0, "usage-flush", s.UsageFlush.String(), "a duration above zero")
	c.Require(s.UsageGrace > s.UsageFlush, "usage-grace", s.UsageGrace.String(), "more than usage-flush")
	c.Require(s.FleetEvery > 0, "fleet-every", s.FleetEvery.String(), "a duration above zero")
	c.Require(s.FleetHold >= s.FleetSteady, "fleet-hold", s.FleetHold.String(), "at least fleet-steady")
	return c.Err()
}

// fleetConfig returns the configuration of the fleet planner.
func (s *Settings) fleetConfig() fleet.Config {
	cfg := fleet.DefaultConfig()
	cfg.ScaleUpDelay, cfg.ScaleDownDelay, cfg.OrderCooldown = s.FleetSteady, s.FleetHold, s.FleetSettle
	cfg.MaxSampleGap, cfg.PendingTimeout = 3*s.FleetEvery, 10*s.FleetSettle
	return cfg
}

// Program is an entry with its log streams and its HTTP server.
type Program struct {
	Deps   Deps
	Server process.Server
}

// NewProgram returns an entry that has not been started.
func NewProgram(now time.Time, s *Settings, logger log.Logger) *Program {
	registry := metrics.NewRegistry()
	platform := hosting.NewClient(s.Platform, process.NewExternalClient())
	open := s.streamOpener(now, logger, registry)
	control := open(platform, 0, "")
	bookings := open(platform.Stream(hosting.StreamBookings), 1, "bookings_")
	usageStream := open(platform.Stream(hosting.StreamUsage), 2, "usage_")
	peers := process.NewPeerClient()
	budgets := memory.NewBudgets(s.MemoryMB)
	process.LimitHeap(s.MemoryMB)
	if err := budgets.Register(registry); err != nil {
		_ = logger.Log("event", "metrics_missing", "err", err)
	}
	deps := Deps{
		State: control.State, Follower: control.Follower, Writer: control.Writer, Bookings: bookings,
		Usage: usageStream, UsageLog: platform.Stream(hosting.StreamUsage),
		PeerFetcher: logbook.NewPeerFetcher(control.State, peers, logger, registry), Platform: platform, PeerClient: peers, ControlClient: process.NewHeartbeatClient(),
		Memory: budgets, Traces: trace.New(id.Node(s.Node), s.Traces), Metrics: registry, Logger: logger,
	}
	e := New(Config{
		Node: id.Node(s.Node), DataCentre: id.DataCentre(s.DataCentre), Address: s.Advertise,
		Seeds: s.Seeds, Incarnation: id.Incarnation(now.UnixNano()), MaxBodyBytes: s.MaxBody, StallTimeout: s.Stall,
		LeaseTTL: s.LeaseTTL, Usage: usage.Schedule{WindowLength: s.UsageWindow, GracePeriod: s.UsageGrace}, UsageFlushInterval: s.UsageFlush,
		MeasureInterval: s.FleetEvery, Fleet: s.fleetConfig(),
	}, deps)
	return &Program{
		Deps: deps,
		Server: process.Server{
			Address: s.Listen, Handler: e.Handler(), Ready: e.Ready, Metrics: registry, Logger: logger,
			Memory: budgets, MaxDescriptors: s.MaxFDs,
			OnShutdown: e.BeginShutdown, ShutdownDelay: s.Linger,
			OnDrained: e.Finish,
			Tasks:     []func(context.Context){e.Run, e.RunLeases}, JournalTasks: []func(context.Context){control.Run, bookings.Run},
		},
	}
}

// streamOpener returns a function that opens one stream of the log. Its arguments are the
// log, the stream's index, which seeds its random delays, and the prefix of its metrics.
func (s *Settings) streamOpener(now time.Time, logger log.Logger, registry metrics.Registry) func(hosting.Log, uint64, string) *logbook.Stream {
	cfg := logbook.StreamConfig{
		Writer:     id.New(s.Node, now),
		Checkpoint: logbook.CheckpointConfig{Interval: id.Offset(s.CheckpointEvery), MaxDelay: s.CheckpointDelay},
	}
	return func(l hosting.Log, index uint64, prefix string) *logbook.Stream {
		random := rand.New(rand.NewPCG(uint64(now.UnixNano()), index))
		return logbook.NewStream(cfg, l, random, logger, metrics.NewPrefixedChildRegistry(registry, prefix))
	}
}

// Run serves requests until ctx is done and every running request has finished.
func (p *Program) Run(ctx context.Context) error { return process.Serve(ctx, p.Server) }
