package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
)

// testGateway is a gateway that only exchanges rows.
type testGateway struct {
	table *peer.Table
	peers *peer.Exchanger
}

// TestHistoryWithoutTheErrorOfAClock guards against two reports of a window after a restart of
// every gateway: the history that a gateway with a slow clock tells, before it has measured the
// clocks of others, must not reach back beyond the start of the gateway that has run longest.
func TestHistoryWithoutTheErrorOfAClock(t *testing.T) {
	// The windows of a history may be off by as much as fleet times may differ.
	const maxSkew = 500 * time.Millisecond
	starting := []struct {
		node       string
		clockError time.Duration
		runningFor time.Duration
	}{{"a", -4 * time.Second, 8 * time.Second}, {"b", 0, 10 * time.Second}, {"c", 0, 0}, {"d", 0, 0}}
	var handlers []http.Handler
	var addresses []string
	var mu sync.Mutex
	for i := range starting {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			handler := handlers[i]
			mu.Unlock()
			handler.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	longest := time.Now().Add(-10 * time.Second)
	var gateways []testGateway
	for i, s := range starting {
		bootClock := clock.NewWithOffset(s.clockError)
		table := peer.NewTable(peer.Member{Node: id.Node(s.node), Incarnation: 1}, bootClock.Now().Add(-s.runningFor))
		makeRow := func(time.Time) (*peer.Row, bool) { return &peer.Row{Address: addresses[i]}, false }
		topic := feed.New(feed.Config{}, nil, nil, log.NewNopLogger(), metrics.NewRegistry())
		row, _ := makeRow(time.Now())
		table.Publish(time.Now(), row, true)
		gateways = append(gateways, testGateway{table, peer.NewExchanger(peer.Config{Address: addresses[i], Seeds: addresses}, table,
			peer.Topics{Operators: topic, Upstreams: topic}, bootClock, makeRow, log.NewNopLogger(), metrics.NewRegistry())})
		handlers = append(handlers, gateways[i].peers.Handler())
	}
	var running sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	defer running.Wait()
	defer stop()
	run := func(gateways []testGateway) {
		for _, g := range gateways {
			running.Go(func() { g.peers.Run(ctx) })
		}
	}
	known := func(gateways []testGateway) func() bool {
		return func() bool {
			for _, g := range gateways {
				if len(g.table.Live(time.Now())) < len(starting) {
					return false
				}
			}
			return true
		}
	}
	run(gateways[1:]) // the first one is called before it calls others
	require.Eventually(t, known(gateways[1:]), 5*time.Second, 10*time.Millisecond)
	run(gateways[:1])
	require.Eventually(t, func() bool {
		return gateways[0].table.MedianClockOffset(time.Now()) > 3*time.Second
	}, 5*time.Second, 10*time.Millisecond)
	for i, g := range gateways {
		require.WithinDuration(t, longest, g.table.HistoryFrom(time.Now()), maxSkew, "history of %s", starting[i].node)
	}
}
