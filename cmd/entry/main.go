// Ragwort-entry is the process that callers reach, behind the platform's
// balancer.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/entry"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/journal"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
	"github.com/ragwortpass/ragwortpass/trace"
)

// settings are the flags and environment variables of the program.
type settings struct {
	Node       string        `help:"Name of this process, unique in the fleet." required:""`
	DataCentre string        `help:"Data centre this process runs in." required:""`
	Listen     string        `help:"Address to serve on." default:"127.0.0.1:8080"`
	Advertise  string        `help:"Address at which other processes reach this one; the listen address if empty."`
	Platform   string        `help:"URL of the platform." required:""`
	Seeds      []string      `help:"Addresses of other entries and sidecars, besides the platform's VM list."`
	MaxBody    int64         `help:"Most bytes of a request body." default:"8388608"`
	Traces     int           `help:"Requests whose decisions are kept for explain." default:"20000"`
	Linger     time.Duration `help:"Time between becoming unready and closing the listener at shutdown." default:"1s"`
}

// Check implements setting.Checked.
func (s *settings) Check() error {
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
	c.Require(s.Traces > 0, "traces", fmt.Sprint(s.Traces), "a number above zero")
	c.Require(s.Linger >= 0, "linger", s.Linger.String(), "a duration from zero")
	return c.Err()
}

func main() {
	var s settings
	setting.Parse(&s, "ragwort-entry", "Serves callers and routes their requests to upstreams.")
	if err := run(&s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(setting.ExitFailed)
	}
}

func run(s *settings) error {
	logger := process.NewLogger("entry", s.Node)
	counts := metrics.NewRegistry()
	now := time.Now()
	p := platform.New(s.Platform, process.NewOutsideClient())
	state := journal.NewState()
	follower := journal.NewFollower(p, state, logger, counts)
	writer := journal.NewWriter(p, state, id.New(s.Node, now), logger, counts)
	e := entry.New(entry.Config{
		Node: id.Node(s.Node), DataCentre: id.DataCentre(s.DataCentre), Address: s.Advertise,
		Seeds: s.Seeds, Incarnation: id.Incarnation(now.UnixNano()), MaxBody: s.MaxBody,
	}, entry.Deps{
		State: state, Follower: follower, Writer: writer, Platform: p, Peers: process.NewPeerClient(),
		Traces: trace.New(id.Node(s.Node), s.Traces), Metrics: counts, Logger: logger,
	})

	signalled, stop := process.Signals()
	defer stop()
	background, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, task := range []func(context.Context){follower.Run, writer.Run, e.Run} {
		wg.Go(func() { task(background) })
	}
	err := process.Serve(signalled, process.Service{
		Address: s.Listen, Handler: e.Handler(), Ready: e.Ready, Metrics: counts, Logger: logger,
		Leave: e.Leave, Linger: s.Linger,
	})
	cancel()
	wg.Wait()
	return err
}
