package gateway

// This file defines Program: a gateway with what it follows, its servers and its
// shutdown.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/duty"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/process"
)

// Outside is what a program meets through the adapter of its platform.
type Platform struct {
	Codec         HeaderCodec
	Decoder       RecordDecoder
	OperatorTopic feed.Topic
	UpstreamTopic feed.Topic
	Claims        ClaimLog
	UsageSink     UsageSink // nil: no usage is reported
	// Copies of the two topics, for a start at which these are out of reach; nil: none.
	OperatorCopies feed.CopyStore
	UpstreamCopies feed.CopyStore
}

const (
	// operatorsWait is how long a read of the operators' topic waits. It bounds how long
	// a connection that has gone silent goes unnoticed.
	operatorsWait = 2 * time.Second
	// upstreamsPause lies between two reads of the upstreams' topic, on which every
	// upstream writes about once a second: waiting for the next record would mean a call
	// for each.
	upstreamsPause = 700 * time.Millisecond
	// upstreamsRelax is how old the view of the upstreams may be that a peer vouches for:
	// a drained upstream must get nothing two seconds after it said so.
	upstreamsRelax = 1100 * time.Millisecond
	// operatorsCopied is the least time between two copies of what operators put in
	// force, which they seldom change.
	operatorsCopied = time.Second
	// upstreamsCopied is the same for the list of upstreams, which changes all the time;
	// an older one serves a start, as one that has moved says so.
	upstreamsCopied = 5 * time.Second
	// memoryUse is the part of the memory that the garbage collector aims to stay in.
	memoryUse = 0.7
	// maxHeaderBytes bounds a request's head until the configuration does.
	maxHeaderBytes = 64 << 10
	// readHeaderTimeout bounds a caller that sends its head slowly.
	readHeaderTimeout = 10 * time.Second
	// keptFor is how long an idle connection of a caller is kept if the configuration
	// does not say.
	keptFor = 2 * time.Minute
	// takeFor is how long a leaving process takes new requests: the balancer asks once
	// a second and takes two misses to notice, and what is taken later may not be done
	// in time.
	takeFor = 2800 * time.Millisecond
	// standFor is how long a leaving process stays ready if every other one is leaving as
	// well: a balancer that asks once a second and takes two misses to notice must have
	// taken it out within four seconds.
	standFor = 1800 * time.Millisecond
	// quietFor is how long no request must have come for a leaving process to end:
	// longer than what a busy VM leaves unread.
	quietFor = 500 * time.Millisecond
	// leaveCheck is how often a leaving process looks whether it may end.
	leaveCheck = 50 * time.Millisecond
	// endMargin lies between the end of a leaving process and the platform's kill.
	endMargin = 400 * time.Millisecond
)

// Program is a gateway as a process runs it.
type Program struct {
	settings  *Settings
	read      func() (*Settings, error) // reads the settings again
	gateway   *Gateway
	budgets   *RetryBudgets
	pool      *pool.Pool
	table     *peer.Table
	peers     *peer.Exchanger
	use       *useCounter
	reporting *reporting // nil: usage is not reported
	follow    []*feed.Follower
	copy      []*feed.Copier
	counts    metrics.Registry
	logger    log.Logger
}

// NewProgram returns a program that has not started yet. Read reads its settings
// again when the process is told that they have changed.
func NewProgram(s *Settings, read func() (*Settings, error), steady *clock.Clock, out Platform, logger log.Logger) *Program {
	counts := metrics.NewRegistry()
	p := &Program{
		settings: s, read: read, counts: counts, logger: logger,
		table: peer.NewTable(peer.Member{Node: s.Node, Incarnation: id.Incarnation(steady.Now().UnixNano())}),
	}
	shelf := new(catalog.Latest)
	upstreams := pool.New(shelf)
	ops := feed.New(feed.Config{Name: "operators", ReadWait: operatorsWait}, out.OperatorTopic,
		&operators{decoder: out.Decoder, shelf: shelf, pool: upstreams, logger: logger, counts: counts}, logger, counts)
	list := feed.New(feed.Config{Name: "upstreams", ReadPause: upstreamsPause, MaxPeerViewAge: upstreamsRelax, IsLeader: p.leads}, out.UpstreamTopic,
		&listings{decoder: out.Decoder, pool: upstreams, logger: logger, counts: counts, noted: make(map[id.Upstream]noted)}, logger, counts)
	p.pool = upstreams
	p.budgets = NewRetryBudgets(RetryBudgetConfig{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: durationS(s.Bounds.RetryWindowS)})
	p.follow = []*feed.Follower{ops, list}
	if out.OperatorCopies != nil {
		p.copy = append(p.copy, feed.NewCopier(ops, out.OperatorCopies, operatorsCopied, p.leads))
	}
	if out.UpstreamCopies != nil {
		p.copy = append(p.copy, feed.NewCopier(list, out.UpstreamCopies, upstreamsCopied, p.leads))
	}
	truth := func() time.Time { return steady.Now().Add(p.table.MedianClockOffset(time.Now())) }
	p.use = newUseCounter(durationS(s.Bounds.WindowS), truth)
	p.gateway = New(Deps{
		Codec: out.Codec, Catalog: shelf, Pool: upstreams, RetryBudgets: p.budgets, Meter: p.use,
		CatalogStatus: source{ops, operatorsWait + durationMS(s.Bounds.ConfigMS)}, Client: NewUpstreamClient(), Metrics: counts, Logger: logger,
	})
	p.peers = peer.NewExchanger(peer.Config{Address: s.Listen.Peers, Seeds: s.Seeds}, p.table,
		peer.Topics{Operators: ops, Upstreams: list}, steady, p.say(truth), logger, counts)
	if out.UsageSink != nil && slices.Contains(s.Duties, dutyUsage) {
		cfg := duty.Config{WindowLength: durationS(s.Bounds.WindowS), ReportWithin: durationS(s.Bounds.UsageLateS), Lease: durationMS(s.Bounds.LeaseMS)}
		self := p.table.Self()
		p.reporting = &reporting{
			cfg: cfg, reporter: duty.New(cfg, self.Node, self.Incarnation, steady.Now()), table: p.table, clock: steady,
			truth: truth, claims: out.Claims, reports: out.UsageSink, logger: logger, counts: counts,
		}
	}
	return p
}

// leads reports whether this gateway reads the upstreams' topic for its peers: the
// first by name among those alive that stay.
func (p *Program) leads() bool {
	for _, r := range p.table.Live(time.Now()) {
		if !r.GetLeaving() {
			return r.GetNode() == string(p.settings.Node)
		}
	}
	return true
}

// dutyUsage names the duty of reporting usage.
const dutyUsage = "usage"

// say returns what makes the own row for peers. A row is urgent when a usage window has
// ended, whose figures are waited for, and when the process leaves.
func (p *Program) say(truth func() time.Time) func(time.Time) (*peer.Row, bool) {
	var said struct {
		window  duty.Window
		leaving bool
	}
	return func(now time.Time) (*peer.Row, bool) {
		live := len(p.table.Live(now))
		p.pool.SetGatewayCount(live)
		p.budgets.SetGateways(live)
		row := &peer.Row{
			Address: p.settings.Listen.Peers, DataCentre: string(p.settings.DataCentre), Leaving: p.gateway.ShuttingDown(),
			CountedToUnixMs: truth().UnixMilli(),
		}
		if p.reporting != nil {
			row.ReportedWindow = p.reporting.newest.Load()
			row.Use = p.use.rows(duty.Window(row.GetReportedWindow()))
		}
		was := said
		said.window, said.leaving = p.use.at(truth()), row.GetLeaving()
		return row, said != was
	}
}

// Run serves until SIGTERM and every running request has finished.
func (p *Program) Run(ctx context.Context) error {
	s := p.settings
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB * memoryUse * (1 << 20)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(terminated)
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	var tasks sync.WaitGroup
	for _, f := range p.follow {
		tasks.Go(func() { f.Run(ctx) })
	}
	for _, c := range p.copy {
		tasks.Go(func() { c.Run(ctx) })
	}
	if p.reporting != nil {
		tasks.Go(func() { p.reporting.run(ctx) })
	}
	callers := &http.Server{
		Handler: p.gateway.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: keptFor, MaxHeaderBytes: maxHeaderBytes,
	}
	p.gateway.EnforceIdleTimeout(callers)
	failed := make(chan error, 4)
	serve := func(server *http.Server, address string) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Wrapf(err, "listen on %s", address)
		}
		tasks.Go(func() { failed <- server.Serve(l) })
		return nil
	}
	ready := &http.Server{Handler: http.HandlerFunc(p.ready), ReadHeaderTimeout: readHeaderTimeout}
	pages := &http.Server{Handler: process.MetricsHandler(p.counts), ReadHeaderTimeout: readHeaderTimeout}
	err := errors.Join(serve(callers, s.Listen.Callers), serve(ready, s.Listen.Ready))
	peers := &http.Server{Handler: p.peers.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	if s.Listen.Peers != "" {
		err = errors.Join(err, serve(peers, s.Listen.Peers))
		tasks.Go(func() { p.peers.Run(ctx) })
	}
	if s.Metrics != "" {
		err = errors.Join(err, serve(pages, s.Metrics))
	}
	_ = p.logger.Log("event", "start", "version", process.Version(), "callers", s.Listen.Callers, "err", err)
	for running := err == nil; running; {
		select {
		case <-changed:
			p.reload()
			continue
		case err = <-failed:
		case sig := <-terminated:
			err = p.leave(sig, callers)
		case <-ctx.Done():
		}
		running = false
	}
	for _, server := range []*http.Server{callers, ready, peers, pages} {
		err = errors.Join(err, server.Close())
	}
	cancel()
	tasks.Wait()
	_ = p.logger.Log("event", "stop", "err", err)
	return err
}

// leave serves on until the balancer has noticed, then refuses what may take until
// after the end, until what runs has finished and no request comes any more, within the
// grace that the platform gives.
// Callers use kept connections until these are closed: each answer meanwhile is the
// last on its connection, and closing one under a request that is on its way would
// lose it.
func (p *Program) leave(sig os.Signal, callers *http.Server) error {
	started := time.Now()
	p.gateway.BeginShutdown(started)
	_ = p.logger.Log("event", "leaving", "signal", sig, "running", p.gateway.InFlight())
	last := started.Add(durationS(p.settings.Bounds.GraceS) - endMargin)
	end, cancel := context.WithDeadline(context.Background(), last)
	defer cancel()
	sleepUntil(end, started.Add(takeFor))
	p.gateway.SetShutdownDeadline(last)
	for !p.gateway.Idle(time.Now(), quietFor) && sleepUntil(end, time.Now().Add(leaveCheck)) {
	}
	err := callers.Shutdown(end)
	_ = p.logger.Log("event", "left", "after", time.Since(started), "running", p.gateway.InFlight(), "err", err)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil // what still runs has outlasted the grace; the line says how many
	}
	return err
}

// reload reads the settings file again. Settings with faults change nothing.
func (p *Program) reload() {
	s, err := p.read()
	if err != nil {
		_ = p.logger.Log("event", "reload_refused", "err", err)
		return
	}
	b := s.Bounds
	p.budgets.Configure(RetryBudgetConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: durationS(b.RetryWindowS)})
	_ = p.logger.Log("event", "reloaded", "listen_changed", s.Listen != p.settings.Listen)
}

// stands reports whether a leaving process is to stay ready for now. It answers restarts
// in turn that follow each other faster than processes end: with every entry unready, a
// balancer sends callers to all of them, those included that are about to end.
func (p *Program) stands(now time.Time) bool {
	since := p.gateway.ShutdownStarted()
	if since.IsZero() || now.Sub(since) >= standFor || p.gateway.deps.Catalog.Load() == nil {
		return false
	}
	return !slices.ContainsFunc(p.table.Live(now), func(r *peer.Row) bool { return !r.GetLeaving() })
}

func (p *Program) ready(w http.ResponseWriter, _ *http.Request) {
	if !p.gateway.Ready() && !p.stands(time.Now()) {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ready")
}
