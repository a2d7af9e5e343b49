package gateway

// This file defines rolloutDriver, which tells a rollout.Register what this gateway learns of the fleet, and makes
// the calls that a rollout.Controller decides on.

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/rollout"
)

// RolloutLog holds the records of roll-outs, and what operators are told of them.
type RolloutLog interface {
	// Era returns the newest era that the store is known to be in.
	Era() feed.Era
	// Read returns the newest record of each service, and the end of the topic.
	Read(ctx context.Context) ([]rollout.Record, feed.Position, error)
	// Append adds a record if the topic ends at a position, and returns the end after it. Otherwise it returns
	// a *rollout.ConflictError. After any other error but a refusal, the record may have been added.
	Append(ctx context.Context, at feed.Position, r rollout.Record) (feed.Position, error)
}

const (
	// rolloutInterval is the time between two rounds of a rolloutDriver.
	rolloutInterval = 100 * time.Millisecond
	// rolloutCallTimeout limits a call to the store.
	rolloutCallTimeout = 700 * time.Millisecond
)

// rolloutDriver makes the rounds of a rollout.Register and the calls of a rollout.Controller.
type rolloutDriver struct {
	register    *rollout.Register
	controller  *rollout.Controller
	records     RolloutLog
	pool        *pool.Pool
	catalog     *catalog.Latest
	table       *peer.Table
	fleetTime   func() time.Time
	orderView   func() feed.View // what has been read of the operators' topic, without records
	storeEra    func() feed.Era  // newest era that this gateway knows
	leaving     func() bool
	tellPeers   func()
	logger      log.Logger
	registry    metrics.Registry
	hasSeeds    bool // there are addresses of peers
	startedAt   time.Time
	hasRead     bool // the records, since the start
	isCalling   bool
	answers     chan func() error // of the call that is on its way
	pausedUntil time.Time         // end of the delay after a failed call
	version     int               // of the register that peers were told of
}

// newRolloutDriver returns a driver without orders. The gateway, the exchanger and the followers of the program are
// used once it runs.
func (p *Program) newRolloutDriver(records RolloutLog, current *catalog.Latest, fleetTime func() time.Time) *rolloutDriver {
	b := &p.settings.Bounds
	register := rollout.New(rollout.Config{Share: b.ExposeShare, Slack: b.ExposeSlack, Rollback: durationMS(b.RollbackMS)}, rand.Float64)
	return &rolloutDriver{
		register: register, controller: rollout.NewController(p.settings.Node, register), records: records, pool: p.pool, catalog: current, table: p.table,
		fleetTime: fleetTime, leaving: func() bool { return p.gateway.ShuttingDown() }, tellPeers: func() { p.peers.Wake() }, logger: p.logger, registry: p.registry,
		hasSeeds: len(p.settings.Seeds) > 0, startedAt: time.Now(), answers: make(chan func() error, 1),
		orderView: func() feed.View { return p.followers[0].View() },
		storeEra: func() feed.Era {
			era := records.Era()
			for _, f := range p.followers {
				era = max(era, f.View().Next.Era)
			}
			return era
		},
	}
}

// orders returns what passes the orders of the operators' topic on to the driver's register.
func (d *rolloutDriver) orders() *rolloutOrders {
	return &rolloutOrders{register: d.register, fleetTime: d.fleetTime, logger: d.logger, registry: d.registry, latest: make(map[id.Service]feed.Offset)}
}

// registerOrNil returns the register of a driver, also of none.
func (d *rolloutDriver) registerOrNil() *rollout.Register {
	if d == nil {
		return nil
	}
	return d.register
}

// run makes rounds and calls until ctx is done.
func (d *rolloutDriver) run(ctx context.Context) {
	tick := time.NewTicker(rolloutInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			if d.isCalling {
				<-d.answers
			}
			return
		case <-tick.C:
			d.round(time.Now())
		case take := <-d.answers:
			d.take(take)
		}
		d.step(ctx)
		if version := d.register.Version(); version != d.version {
			d.version = version
			d.tellPeers()
		}
	}
}

// round tells the register what this gateway knows of services and peers.
func (d *rolloutDriver) round(now time.Time) {
	current, fleetNow := d.catalog.Load(), d.fleetTime()
	for _, name := range d.register.Services() {
		versions := make(map[id.Version]rollout.Load)
		for v, l := range d.pool.Versions(name) {
			versions[v] = rollout.Load{Upstreams: l.Upstreams, Slots: l.Slots, Running: l.Running}
		}
		d.register.SetService(fleetNow, name, rollout.Service{Known: current == nil || current.Services[name] != nil || len(versions) > 0, Versions: versions})
	}
	if view := d.orderView(); view.Loaded {
		d.register.NoteOrdersRead(fleetNow, view.Next.Offset)
	}
	live, members := d.table.Live(now), len(d.table.Members(now))
	rows := d.table.Rows()
	d.register.SetFleet(max(len(live), members), d.isIsolated(now, rows, live, members))
	var reports []rollout.Report
	self := d.table.Self()
	for _, row := range rows {
		from := rollout.Source{Node: id.Node(row.GetNode()), Incarnation: id.Incarnation(row.GetIncarnation())}
		if from == (rollout.Source{Node: self.Node, Incarnation: self.Incarnation}) {
			continue
		}
		isLive := slices.ContainsFunc(live, func(l *peer.Row) bool {
			return l.GetNode() == row.GetNode() && l.GetIncarnation() == row.GetIncarnation()
		})
		for _, r := range rollout.Decode(row.GetRollouts()) {
			r.From, r.Live = from, isLive
			reports = append(reports, r)
		}
	}
	for _, c := range d.register.Round(fleetNow, reports, len(live)-1+missing(rows, live)) {
		d.logChange(&c)
	}
	for _, s := range d.register.States() {
		metrics.GetOrRegisterGauge("rollout_state_"+string(s.Service), d.registry).Update(int64(s.State))
		metrics.GetOrRegisterGauge("rollout_exposed_"+string(s.Service), d.registry).Update(int64(s.Exposed))
	}
}

// isIsolated reports whether this gateway hears too few peers to learn of a verdict or of what runs at others: of half of
// the members or fewer, or of none while some may run, as it has just started or their rows are still kept.
func (d *rolloutDriver) isIsolated(now time.Time, rows, live []*peer.Row, members int) bool {
	if 2*len(live) <= members {
		return true
	}
	if len(live) > 1 {
		return false
	}
	hasStarted := d.hasSeeds && len(rows) <= 1 && now.Sub(d.startedAt) < peer.RowRetention
	return hasStarted || missing(rows, live) > 0
}

// missing returns how many nodes with a row are neither alive nor have said that they are leaving.
func missing(rows, live []*peer.Row) int {
	nodes := make(map[string]bool)
	for _, row := range rows {
		nodes[row.GetNode()] = nodes[row.GetNode()] || !row.GetLeaving()
	}
	for _, row := range live {
		delete(nodes, row.GetNode())
	}
	n := 0
	for _, isMissing := range nodes {
		if isMissing {
			n++
		}
	}
	return n
}

// logChange logs and counts what a round has changed.
func (d *rolloutDriver) logChange(c *rollout.Change) {
	service, target, order := c.Order.Service, c.Order.Target, c.Order.Offset
	if c.Verdict != nil {
		metrics.GetOrRegisterCounter("rollout_condemned", d.registry).Inc(1)
		_ = d.logger.Log("event", "rollout_condemned", "service", service, "target", target, "order", order, "by", "own", "reason", c.Verdict.Reason, "verdict", c.Verdict)
	}
	if c.Told != "" {
		_ = d.logger.Log("event", "rollout_condemned", "service", service, "target", target, "order", order, "by", "peer", "reason", c.Told)
	}
	if c.Record != nil {
		d.logRecord(c.Record, "peer")
	}
}

// logRecord logs a record that this gateway has learned of.
func (d *rolloutDriver) logRecord(r *rollout.Record, from string) {
	_ = d.logger.Log("event", "rollout_state", "service", r.Service, "target", r.Target, "order", r.Order, "state", r.State, "reason", r.Reason, "by", r.By, "from", from)
}

// step makes the next call, if one is due and none is on its way. Rounds go on meanwhile. The records are read once at
// the start, as they may be about orders that have been withdrawn.
func (d *rolloutDriver) step(ctx context.Context) {
	now := time.Now()
	if d.isCalling || now.Before(d.pausedUntil) {
		return
	}
	var action rollout.Action = &rollout.ReadRecords{}
	if d.hasRead {
		action = d.controller.Step(d.fleetTime(), d.view(now))
	}
	var call func(context.Context) func() error
	switch action := action.(type) {
	case *rollout.Wait:
		return
	case *rollout.ReadRecords:
		call = d.read
	case *rollout.AppendRecord:
		call = func(ctx context.Context) func() error { return d.append(ctx, action) }
	}
	d.isCalling = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
		defer cancel()
		d.answers <- call(ctx)
	}()
}

// take takes over the answer of a call. After a failure, there is a delay until the next one.
func (d *rolloutDriver) take(answer func() error) {
	d.isCalling = false
	if answer() != nil {
		d.pausedUntil = time.Now().Add(failureDelay)
		metrics.GetOrRegisterCounter("rollout_call_failed", d.registry).Inc(1)
	}
}

// view returns what is known of the fleet, for the decision.
func (d *rolloutDriver) view(now time.Time) rollout.View {
	v := rollout.View{Rank: -1, Era: d.storeEra()}
	if d.leaving() {
		return v
	}
	rank := 0
	for _, row := range d.table.Live(now) {
		if row.GetNode() == string(d.table.Self().Node) {
			v.Rank = rank
			break
		}
		if !row.GetLeaving() {
			rank++
		}
	}
	if v.Rank < 0 {
		v.Rank = 0 // this gateway has not published a row yet, or has no peers
	}
	v.Leader = v.Rank == 0
	return v
}

// read reads the records and returns what takes them over. A newer era of the store is no failure, as the next view has it;
// an older one than the fleet's is.
func (d *rolloutDriver) read(ctx context.Context) func() error {
	records, end, err := d.records.Read(ctx)
	return func() error {
		if newest := d.storeEra(); err == nil && end.Era < newest {
			err = &feed.EraError{Expected: newest, Actual: end.Era}
		}
		if err != nil {
			return d.failed("read", err)
		}
		d.hasRead = true
		for _, r := range d.controller.RecordsRead(records, end) {
			d.logRecord(&r, "store")
		}
		return nil
	}
}

// append appends a record and returns what takes over that it did.
func (d *rolloutDriver) append(ctx context.Context, action *rollout.AppendRecord) func() error {
	end, err := d.records.Append(ctx, action.ExpectedEnd, action.Record)
	return func() error { return d.appended(action, end, err) }
}

// appended takes over the answer of an append. A conflict with another gateway's record is no failure.
func (d *rolloutDriver) appended(action *rollout.AppendRecord, end feed.Position, err error) error {
	r := action.Record
	var conflict *rollout.ConflictError
	var otherEra *feed.EraError
	switch {
	case errors.As(err, &conflict):
		d.controller.RequireReread()
		_ = d.logger.Log("event", "rollout_record_lost", "service", r.Service, "state", r.State, "at", action.ExpectedEnd, "end", conflict.End)
		return nil
	case errors.As(err, &otherEra):
		d.controller.RequireReread()
		_ = d.logger.Log("event", "rollout_era", "from", otherEra.Expected, "to", otherEra.Actual)
		return nil // the next view has the era
	case err != nil:
		d.controller.RequireReread()
		return d.failed("append", err)
	}
	d.controller.RecordAppended(r, end)
	metrics.GetOrRegisterCounter("rollout_recorded", d.registry).Inc(1)
	detail := &action.Detail
	_ = d.logger.Log("event", "rollout_recorded", "service", r.Service, "target", r.Target, "order", r.Order, "state", r.State, "reason", r.Reason, "again", detail.Repeated,
		"after", detail.SinceStart.Round(time.Millisecond), "left", detail.UntilDeadline.Round(time.Millisecond), "answers", detail.Answers, "failures", detail.Failures,
		"other_answers", detail.OtherAnswers, "other_failures", detail.OtherFailed, "upstreams", detail.Upstreams, "other_upstreams", detail.OtherUpstreams, "other_running", detail.OtherRunning)
	return nil
}

// failed logs the error of a call and returns it.
func (d *rolloutDriver) failed(call string, err error) error {
	_ = d.logger.Log("event", "rollout_call_failed", "call", call, "err", err)
	return err
}
