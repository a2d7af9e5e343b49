package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/rollout"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// slowRecords is a store whose calls wait for their release and of which the era is behind.
type slowRecords struct {
	release chan struct{}
	reads   int
	records []rollout.Record
	era     feed.Era
}

func (r *slowRecords) Era() feed.Era { return r.era }

func (r *slowRecords) Read(ctx context.Context) ([]rollout.Record, feed.Position, error) {
	r.reads++
	select {
	case <-r.release:
	case <-ctx.Done():
	}
	return r.records, feed.Position{Era: r.era, Offset: 4}, ctx.Err()
}

func (*slowRecords) Append(_ context.Context, at feed.Position, _ rollout.Record) (feed.Position, error) {
	return at, nil
}

var canaryOfLedger = rollout.Record{Service: "ledger", Target: "v2", Order: 7, State: rollout.Canary, Started: time.Unix(1_800_000_000, 0), At: time.Unix(1_800_000_000, 0)}

func newTestDriver(records *slowRecords, fleetEra feed.Era) *rolloutDriver {
	register := rollout.New(rollout.Config{Share: 0.1, Slack: 50, Rollback: 5 * time.Second}, func() float64 { return 0 })
	current := new(catalog.Latest)
	return &rolloutDriver{
		register: register, controller: rollout.NewController("gw-0", register), records: records, pool: pool.New(current), catalog: current,
		table: peer.NewTable(peer.Member{Node: "gw-0", Incarnation: 1}, time.Now()), fleetTime: time.Now, orderView: func() feed.View { return feed.View{} }, storeEra: func() feed.Era { return fleetEra },
		leaving: func() bool { return false }, tellPeers: func() {}, logger: log.NewNopLogger(), registry: metrics.NewRegistry(), answers: make(chan func() error, 1),
	}
}

// TestRecordsAreReadAtTheStart answers a version that was rolled back before the gateway started, and whose order is gone.
func TestRecordsAreReadAtTheStart(t *testing.T) {
	records := &slowRecords{release: make(chan struct{}), records: []rollout.Record{canaryOfLedger}}
	close(records.release)
	d := newTestDriver(records, 0)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.run(ctx); close(ended) }()
	require.Eventually(t, func() bool { return d.register.Has("ledger") }, 5*time.Second, 10*time.Millisecond)
	cancel()
	<-ended
	require.Equal(t, 1, records.reads)
}

// TestRoundsGoOnDuringACall answers a slow store while a peer has a verdict.
func TestRoundsGoOnDuringACall(t *testing.T) {
	records := &slowRecords{release: make(chan struct{})}
	d := newTestDriver(records, 0)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.run(ctx); close(ended) }()
	time.Sleep(2 * rolloutInterval) // the first call is on its way
	told := []*ragwortv1.RolloutReport{{Service: "ledger", Target: "v2", Order: 7, State: ragwortv1.RolloutState_ROLLOUT_STATE_CANARY, StartedUnixMs: 1, AtUnixMs: 1}}
	d.table.Merge(time.Now(), []*peer.Row{{Node: "gw-1", Incarnation: 1, Sequence: 1, Rollouts: told}}, nil)
	require.Eventually(t, func() bool { return d.register.Has("ledger") }, 4*rolloutInterval, 10*time.Millisecond)
	cancel()
	<-ended
	require.Equal(t, 1, records.reads)
}

// TestReadOfOlderEraIsFollowedByAPause answers a server of the store that does not know of the newest era yet.
func TestReadOfOlderEraIsFollowedByAPause(t *testing.T) {
	records := &slowRecords{release: make(chan struct{}), era: 1}
	close(records.release)
	d := newTestDriver(records, 2)
	d.register.Order(time.Now(), rollout.Order{Service: "ledger", Target: "v2", Duration: 20 * time.Second, Offset: 7})
	for range 100 {
		d.step(t.Context())
		if d.isCalling {
			d.take(<-d.answers)
		}
	}
	require.Equal(t, 1, records.reads)
	require.True(t, d.pausedUntil.After(time.Now()))
}

// TestGatewayWithSeedsWaitsForPeers answers a gateway that starts, or goes on, without hearing a peer while others
// run; a fleet of one is not held up.
func TestGatewayWithSeedsWaitsForPeers(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self, other := &peer.Row{Node: "gw-0"}, &peer.Row{Node: "gw-1"}
	alone, both := []*peer.Row{self}, []*peer.Row{self, other}
	single := &rolloutDriver{startedAt: now}
	require.False(t, single.isIsolated(now, alone, alone, 1))
	d := &rolloutDriver{hasSeeds: true, startedAt: now}
	require.True(t, d.isIsolated(now.Add(time.Second), alone, alone, 1), "just started")
	require.False(t, d.isIsolated(now.Add(2*time.Second), both, both, 2))
	require.True(t, d.isIsolated(now.Add(9*time.Second), both, alone, 1), "cut off for longer than a member is kept")
	require.False(t, d.isIsolated(now.Add(peer.RowRetention), alone, alone, 1), "the others are gone")
	require.False(t, d.isIsolated(now.Add(9*time.Second), []*peer.Row{self, {Node: "gw-1", Leaving: true}}, alone, 1), "the other has ended")
	require.True(t, d.isIsolated(now, both, both, 4))
}

// TestMissingPeersMayStillRunRequests answers a peer that is cut off; one that is leaving or runs again is not missing.
func TestMissingPeersMayStillRunRequests(t *testing.T) {
	self, cut, leaving, again := &peer.Row{Node: "gw-0"}, &peer.Row{Node: "gw-1"}, &peer.Row{Node: "gw-2", Leaving: true}, &peer.Row{Node: "gw-3"}
	rows := []*peer.Row{self, cut, leaving, again, {Node: "gw-3", Incarnation: 2}}
	require.Equal(t, 1, missing(rows, []*peer.Row{self, again}))
}

// TestStartInTheFutureIsNotUsed answers an upstream whose clock is ahead: it would count as one that has just started for ever.
func TestStartInTheFutureIsNotUsed(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	listed := now.Add(-time.Minute)
	require.Equal(t, listed, startTime(&pool.Listing{StartUnixMS: now.Add(time.Hour).UnixMilli()}, listed, now))
	require.Equal(t, now.Add(-time.Hour), startTime(&pool.Listing{StartUnixMS: now.Add(-time.Hour).UnixMilli()}, listed, now))
	require.Equal(t, listed, startTime(&pool.Listing{}, listed, now))
}
