package gateway

// This file defines Program: a gateway with its followers, its servers and its
// shutdown.

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/duty"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/quarantine"
	"github.com/ragwortpass/ragwortpass/quota"
	"github.com/ragwortpass/ragwortpass/rollout"
)

// Platform holds the interfaces to the platform that a Program runs on.
type Platform struct {
	Codec         HeaderCodec
	Decoder       RecordDecoder
	OperatorTopic feed.Topic
	UpstreamTopic feed.Topic
	Claims        ClaimLog
	UsageSink     UsageSink // nil: usage is not reported
	// Copies of the two topics, for a start while the topics are unavailable; nil: none.
	OperatorCopies feed.CopyStore
	UpstreamCopies feed.CopyStore
	Rollouts       RolloutLog
	Holds          feed.CopyStore // keeps the parts of prompts that are held; nil: they are not kept
}

const (
	// upstreamReadInterval is the time between two reads of the upstreams' topic. Every
	// upstream writes there about once a second, so that a read that waits for the next
	// record would mean one call for each record.
	upstreamReadInterval = 700 * time.Millisecond
	// groupUpstreamReadInterval is the same in a fleet whose views pass two gateways.
	groupUpstreamReadInterval = 500 * time.Millisecond
	// maxViewsAge is the age of a view from which on an upstream may have become cold without this
	// gateway knowing. It exceeds what a read of the operators' topic waits.
	maxViewsAge = maxOperatorReadWait + 2*time.Second
	// operatorCopyInterval is the least time between two copies of the operators' topic,
	// which seldom changes.
	operatorCopyInterval = time.Second
	// upstreamCopyInterval is the least time between two copies of the upstreams' topic,
	// which changes all the time. An older copy is good enough for a start, as an address
	// that now belongs to another upstream is detected.
	upstreamCopyInterval = 5 * time.Second
	// maxPeerLoad bounds what a peer can say of its load.
	maxPeerLoad = 1 << 20
)

// Program runs a gateway as a process.
type Program struct {
	settings     *Settings
	readSettings func() (*Settings, error) // rereads the settings for a reload
	gateway      *Gateway
	retryBudgets *RetryBudgets
	pool         *pool.Pool
	table        *peer.Table
	peers        *peer.Exchanger
	usage        *usageCounter
	reportDriver *reportDriver // nil: usage is not reported
	followers    []*feed.Follower
	copiers      []*feed.Copier
	quarantine   *quarantine.Register
	holdKeeper   *holdKeeper    // nil: holds are not kept
	rollouts     *rolloutDriver // nil: nobody orders roll-outs
	bootNow      func() time.Time
	freshness    freshness
	budgets      *memory.Budgets
	registry     metrics.Registry
	guard        *guard.Guard
	logger       log.Logger

	servers servers        // set by Run
	callers *process.Conns // connections of callers; set by Run
}

// NewProgram returns a program that has not started yet. ReadSettings rereads its
// settings for a reload. BootClock never steps and also counts the time
// for which the VM was suspended.
func NewProgram(s *Settings, readSettings func() (*Settings, error), bootClock *clock.Clock, platform Platform, logger log.Logger) *Program {
	registry := metrics.NewRegistry()
	process.RegisterVitals(registry)
	p := &Program{
		settings: s, readSettings: readSettings, bootNow: bootClock.Now, registry: registry, guard: guard.New(logger, registry), logger: logger,
		freshness: newFreshness(durationMS(s.Bounds.ConfigMS)),
		table:     peer.NewTable(peer.Member{Node: s.Node, Incarnation: id.Incarnation(bootClock.Now().UnixNano())}, bootClock.Now()),
	}
	currentCatalog := new(catalog.Latest)
	upstreamPool := pool.New(currentCatalog)
	operatorSink := newOperatorSink(guardedDecoder{platform.Decoder}, currentCatalog, upstreamPool, logger, registry)
	operators := feed.New(feed.Config{Name: "operators", LogRecords: true, ReadWait: p.operatorReadWait, MaxPeerViewAge: p.maxViewAge, IsLeader: p.readsOperators}, platform.OperatorTopic,
		operatorSink, logger, registry)
	listings := feed.New(feed.Config{Name: "upstreams", ReadPause: p.upstreamReadPause, MaxPeerViewAge: p.maxViewAge, IsLeader: p.isLeader}, platform.UpstreamTopic,
		newListingSink(guardedDecoder{platform.Decoder}, upstreamPool, logger, registry), logger, registry)
	p.pool = upstreamPool
	p.retryBudgets = NewRetryBudgets(RetryBudgetConfig{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: durationS(s.Bounds.RetryWindowS)})
	p.followers = []*feed.Follower{operators, listings}
	if platform.OperatorCopies != nil {
		p.copiers = append(p.copiers, feed.NewCopier(operators, platform.OperatorCopies, operatorCopyInterval, p.isLeader))
	}
	if platform.UpstreamCopies != nil {
		p.copiers = append(p.copiers, feed.NewCopier(listings, platform.UpstreamCopies, upstreamCopyInterval, p.isLeader))
	}
	clockOffset := func() time.Duration { return p.table.MedianClockOffset(time.Now()) }
	fleetTime := func() time.Time { return bootClock.Now().Add(clockOffset()) }
	p.usage = newUsageCounter(durationS(s.Bounds.WindowS), bootClock.Now, clockOffset)
	p.quarantine = quarantine.New()
	budgets := memory.NewBudgets(s.MemoryMB)
	p.budgets = budgets
	if err := budgets.Register(registry); err != nil {
		_ = logger.Log("event", "metrics_missing", "err", err)
	}
	if s.Bounds.RollbackMS > 0 && platform.Rollouts != nil {
		p.rollouts = p.newRolloutDriver(platform.Rollouts, currentCatalog, fleetTime)
		operatorSink.rollouts = p.rollouts.orders()
	}
	client := NewUpstreamClient(platform.Codec, budgets, registry, logger)
	client.ShareConnections(upstreamPool.ConnectionPart)
	p.gateway = New(Deps{
		Codec: platform.Codec, Catalog: currentCatalog, Pool: upstreamPool, RetryBudgets: p.retryBudgets, Meter: p.usage,
		CatalogStatus: operatorStatus{operators, durationMS(s.Bounds.ConfigMS)}, Client: client, Memory: budgets, MaxCallers: process.MaxCallers(s.MaxDescriptors), Quarantine: p.quarantine, Rollouts: p.rollouts.registerOrNil(), FleetTime: fleetTime, TellPeers: func() { p.peers.Wake() }, Metrics: registry, Logger: logger,
	})
	if platform.Holds != nil {
		p.holdKeeper = &holdKeeper{
			register: p.quarantine, store: platform.Holds, gateway: p.gateway, table: p.table, isLeader: p.isLeader, fleetTime: fleetTime,
			storeEra: func() feed.Era { return operators.View().Next.Era }, logger: logger,
		}
	}
	onRows := func(rows []*peer.Row) {
		for _, r := range rows {
			p.gateway.ApplyHolds(p.quarantine.Merge(fleetTime(), quarantine.Decode(r.GetPrompts())))
			p.gateway.MergeLimits(time.Now(), r)
		}
	}
	p.peers = peer.NewExchanger(peer.Config{Address: s.Listen.Peers, DataCentre: s.DataCentre, Seeds: s.Seeds, OnRows: onRows}, p.table,
		peer.Topics{Operators: operators, Upstreams: listings}, bootClock, p.ownRow(fleetTime), logger, registry)
	if platform.UsageSink != nil && slices.Contains(s.Duties, usageDuty) {
		cfg := duty.Config{WindowLength: durationS(s.Bounds.WindowS), ReportWithin: durationS(s.Bounds.UsageLateS), Lease: durationMS(s.Bounds.LeaseMS), Memory: peer.RowRetention}
		self := p.table.Self()
		p.reportDriver = &reportDriver{
			cfg: cfg, reporter: duty.New(cfg, self.Node, self.Incarnation), table: p.table, clock: bootClock,
			fleetTime: fleetTime, claimLog: platform.Claims, sink: platform.UsageSink, logger: logger, registry: registry,
		}
		p.reportDriver.reported.Store(new(duty.WindowSet))
		p.reportDriver.claims.Store(new(claimState))
		p.reportDriver.storeEra = func() feed.Era {
			return max(platform.Claims.Era(), operators.View().Next.Era, listings.View().Next.Era)
		}
	}
	return p
}

// operatorReadWait returns how long a read of the operators' topic waits for a record.
func (p *Program) operatorReadWait() time.Duration {
	if _, grouped := p.table.Reader(time.Now(), p.settings.DataCentre); grouped {
		return p.freshness.groupReadWait
	}
	return p.freshness.operatorReadWait
}

// upstreamReadPause returns the time between two reads of the upstreams' topic.
func (p *Program) upstreamReadPause() time.Duration {
	if _, grouped := p.table.Reader(time.Now(), p.settings.DataCentre); grouped {
		return groupUpstreamReadInterval
	}
	return upstreamReadInterval
}

// maxViewAge returns the age of a peer's view of a topic from which on this gateway reads for itself: the
// readers of groups do so before the others.
func (p *Program) maxViewAge() time.Duration {
	reader, grouped := p.table.Reader(time.Now(), p.settings.DataCentre)
	if grouped && reader != nil && reader.GetNode() != string(p.settings.Node) {
		return p.freshness.maxGroupViewAge
	}
	return p.freshness.maxPeerViewAge
}

// readsOperators reports whether this gateway reads the operators' topic for its peers: the leader
// does. In a small fleet, every gateway does, so that a configuration is in force at once.
func (p *Program) readsOperators() bool {
	_, grouped := p.table.Reader(time.Now(), p.settings.DataCentre)
	return !grouped || p.isLeader()
}

// viewsOutdated reports whether a topic was not read for longer than maxViewsAge, by this gateway or by a
// peer whose view it has taken over.
func (p *Program) viewsOutdated(now time.Time) bool {
	return slices.ContainsFunc(p.followers, func(f *feed.Follower) bool {
		contact, known := f.Contact()
		return known && now.Sub(contact) > maxViewsAge
	})
}

// isLeader reports whether this gateway reads the upstreams' topic for the fleet and saves the
// copies of both topics. The leader is the first by name among the live gateways that are not
// shutting down. If all are shutting down, every gateway is a leader.
func (p *Program) isLeader() bool {
	leader := p.table.Leader(time.Now())
	return leader == nil || leader.GetNode() == string(p.settings.Node)
}

// usageDuty is the name of the duty of reporting usage, as in Settings.Duties.
const usageDuty = "usage"

// ownRow returns a function that makes this gateway's row for its peers and reports
// whether the row is urgent. A row is urgent when a usage window has ended, as the
// report of the window waits for its counts, when the process begins to shut down, when
// the store is in a new era, as peers then need to know what this gateway has claimed, and when
// this gateway has found something about the parts of prompts or the limit of an upstream.
// The function also updates which gateways share the limits of the pool and of the retry
// budgets, and the gauges of the pace of upstreams, and logs views that are outdated.
func (p *Program) ownRow(fleetTime func() time.Time) func(time.Time) (*peer.Row, bool) {
	var last struct {
		window  duty.Window
		leaving bool
		era     uint64
		prompts uint64
		limits  time.Time
	}
	gauges := newPaceGauges(p.registry)
	return func(now time.Time) (row *peer.Row, urgent bool) {
		fleet := quota.NewFleet(p.settings.Node, p.table.Members(now), now, fleetTime())
		p.pool.SetGatewayCount(len(p.table.Live(now)))
		p.pool.SetFleet(fleet)
		p.pool.SetViewsOutdated(p.viewsOutdated(now))
		p.pool.SetPeerLoads(p.peerLoads(now))
		p.retryBudgets.SetFleet(fleet)
		gauges.update(p.pool.Paces(now))
		for _, f := range p.followers {
			f.LogIfOutdated(now, durationMS(p.settings.Bounds.ConfigMS))
		}
		row = &peer.Row{
			Address: p.settings.Listen.Peers, DataCentre: string(p.settings.DataCentre), Leaving: p.gateway.ShuttingDown(),
			CountedToUnixMs: fleetTime().UnixMilli(), Loads: encodeLoads(p.pool.Loads(now)),
		}
		if p.reportDriver != nil {
			reported := *p.reportDriver.reported.Load()
			row.ReportedWindow, row.ReportedBefore = int64(reported.Newest), reported.Before
			row.Use = p.usage.unreportedWindows(reported)
			claims := p.reportDriver.claims.Load()
			row.StoreEra, row.ClaimedWindow, row.ClaimedBefore = uint64(claims.era), int64(claims.claimed.Newest), claims.claimed.Before
		}
		report, version := p.quarantine.Report(fleetTime(), p.isLeader())
		row.Prompts = quarantine.Encode(report, p.holdKeeper != nil && p.holdKeeper.complete.Load())
		if p.rollouts != nil {
			row.Rollouts = rollout.Encode(p.rollouts.register.Reports())
		}
		limits, limitVersion := p.pool.LimitReports(now)
		row.Limits = encodeLimits(limits)
		previous := last
		last.window, last.leaving, last.era, last.prompts = p.usage.windowAt(fleetTime()), row.GetLeaving(), row.GetStoreEra(), version
		last.limits = limitVersion
		return row, last != previous
	}
}

// Signals are the channels of the signals that a Program acts on. A nil channel has none.
type Signals struct {
	Terminate <-chan os.Signal // asks for a planned stop
	Reload    <-chan os.Signal // asks for the settings to be read again
}

// Run serves callers until a signal to terminate, a failure of a server or the end of ctx.
// After a signal it lets running requests finish.
func (p *Program) Run(ctx context.Context, signals Signals) error {
	s := p.settings
	process.LogStart(p.logger, "callers", s.Listen.Callers, "ready", s.Listen.Ready, "peers", s.Listen.Peers, "metrics", s.Metrics,
		"data_centre", s.DataCentre, "memory_mb", s.MemoryMB)
	process.LimitHeap(s.MemoryMB)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	failed := make(chan error, 4)
	p.startTasks(ctx, &tasks)
	p.startServers(&tasks, failed)
	reload := reloader{read: p.readSettings, apply: p.apply, logger: p.logger}
	var err error
	for running := true; running; {
		select {
		case <-signals.Reload:
			p.guard.Do("reload", func() { reload.request(time.Now()) })
			continue
		case <-reload.again:
			p.guard.Do("reload", func() { reload.try(time.Now()) })
			continue
		case err = <-failed:
		case sig := <-signals.Terminate:
			err = p.shutDown(sig)
		case <-ctx.Done():
		}
		running = false
	}
	err = errors.Join(err, p.servers.close())
	cancel()
	tasks.Wait()
	_ = p.logger.Log("event", "stop", "err", err)
	return err
}

// startTasks starts everything that runs beside the servers. A task that panics starts again.
func (p *Program) startTasks(ctx context.Context, tasks *sync.WaitGroup) {
	start := func(name string, run func(context.Context)) {
		tasks.Go(func() { p.guard.Run(ctx, name, run) })
	}
	for _, f := range p.followers {
		start("follower", f.Run)
	}
	for _, c := range p.copiers {
		start("copier", c.Run)
	}
	start("trials", p.gateway.TryUpstreams)
	if p.holdKeeper != nil {
		start("holds", p.holdKeeper.run)
	}
	if p.reportDriver != nil {
		start("usage", p.reportDriver.run)
	}
	if p.rollouts != nil {
		start("rollouts", p.rollouts.run)
	}
	if p.settings.Listen.Peers != "" {
		start("peers", p.peers.Run)
	}
}

// apply applies the retry limit of reread settings, the only one that a running process can change.
func (p *Program) apply(s *Settings) {
	b := s.Bounds
	p.retryBudgets.Configure(RetryBudgetConfig{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: durationS(b.RetryWindowS)})
	_ = p.logger.Log("event", "reloaded", "listen_changed", s.Listen != p.settings.Listen)
}
