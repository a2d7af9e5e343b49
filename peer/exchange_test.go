package peer_test

import (
	"context"
	"net/http/httptest"
	"strings"
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
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// contentSink is a sink that keeps the values of a topic by key.
type contentSink struct {
	mu     sync.Mutex
	values map[string]string
}

func (s *contentSink) Replace(_ time.Time, records []feed.Record) {
	s.mu.Lock()
	s.values = make(map[string]string)
	s.mu.Unlock()
	s.Apply(time.Time{}, records)
}

func (s *contentSink) Apply(_ time.Time, records []feed.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		s.values[r.Key] = string(r.Value)
	}
}
func (s *contentSink) Rewind(now time.Time, records []feed.Record) { s.Replace(now, records) }
func (*contentSink) Recovered(time.Time)                           {}

func (s *contentSink) value(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// gateway is one of several that exchange rows over connections.
type gateway struct {
	address              string
	table                *peer.Table
	operators, upstreams *feed.Follower
	content              *contentSink // of the upstreams' topic
	log                  *logText
}

// logText holds what was logged.
type logText struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logText) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// startGateways starts gateways that know the address of the first. Their rows are those that
// makeRow returns for their names.
func startGateways(t *testing.T, makeRow func(node id.Node) *peer.Row, nodes ...id.Node) []*gateway {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	var seeds []string
	var gateways []*gateway
	for i, node := range nodes {
		g := &gateway{table: peer.NewTable(peer.Member{Node: node, Incarnation: id.Incarnation(i + 1)}, time.Now()), content: &contentSink{values: make(map[string]string)}, log: new(logText)}
		logger, registry := log.NewLogfmtLogger(g.log), metrics.NewRegistry()
		g.operators = feed.New(feed.Config{Name: "operators"}, nil, &contentSink{values: make(map[string]string)}, logger, registry)
		g.upstreams = feed.New(feed.Config{Name: "upstreams"}, nil, g.content, logger, registry)
		server := httptest.NewUnstartedServer(nil)
		g.address = server.Listener.Addr().String()
		x := peer.NewExchanger(peer.Config{Address: g.address, DataCentre: "th-a", Seeds: seeds}, g.table, peer.Topics{Operators: g.operators, Upstreams: g.upstreams}, clock.New(), func(time.Time) (*peer.Row, bool) {
			row := makeRow(node)
			row.Address = g.address
			return row, true
		}, logger, registry)
		server.Config.Handler = x.Handler()
		server.Start()
		t.Cleanup(server.Close)
		tasks.Go(func() { x.Run(ctx) })
		seeds = append(seeds, g.address)
		gateways = append(gateways, g)
	}
	t.Cleanup(func() {
		cancel()
		tasks.Wait()
		if t.Failed() {
			for _, g := range gateways {
				t.Log(g.log.String())
			}
		}
	})
	return gateways
}

// knowsAll reports whether a gateway has a live row of each of a number of gateways.
func (g *gateway) knowsAll(n int) bool { return len(g.table.Live(time.Now())) == n }

// TestBadStringInRowDoesNotStopExchange guards against a gateway that loses all peers because
// its row has a string that is not UTF-8, which protobuf cannot encode: a part of a prompt under
// which an engine has crashed, or the name of a workspace.
func TestBadStringInRowDoesNotStopExchange(t *testing.T) {
	gateways := startGateways(t, func(node id.Node) *peer.Row {
		row := &peer.Row{DataCentre: "th-a"}
		if node == "entry-1" {
			row.Prompts = &ragwortv1.PromptEvidence{
				Crashes:    []*ragwortv1.EngineCrash{{Upstream: "i-1", StartUnixMs: 7, SilentParts: []string{"5c1e", "odd-\xff"}}},
				Clearances: []*ragwortv1.PartClearance{{Part: "sound-\xc3\x28"}},
			}
			row.Use = []*ragwortv1.WindowUse{{Window: 5, Requests: map[string]uint64{"ws": 3, "ws-\xff": 2, "ws-\xfe": 1}}}
		}
		return row
	}, "entry-0", "entry-1", "entry-2")
	for _, g := range gateways {
		require.Eventually(t, func() bool { return g.knowsAll(3) }, 5*time.Second, 10*time.Millisecond)
	}
	for _, g := range gateways {
		row := g.table.Live(time.Now())[1]
		require.Equal(t, "entry-1", row.GetNode())
		crash := row.GetPrompts().GetCrashes()[0]
		require.Equal(t, "i-1", crash.GetUpstream())
		require.Equal(t, []string{"5c1e", `odd-\xff`}, crash.GetSilentParts())
		require.Equal(t, map[string]uint64{"ws": 3, `ws-\xff`: 2, `ws-\xfe`: 1}, row.GetUse()[0].GetRequests())
	}
	logged := gateways[1].log.String()
	require.Equal(t, 1, strings.Count(logged, "event=peer_string_invalid field=ragwort.v1.EngineCrash.silent_parts"), "one line for each string, whatever the rounds")
	require.Equal(t, 4, strings.Count(logged, "event=peer_string_invalid"))
}

// TestBadKeyInTopicDoesNotStopExchange guards against a topic that no peer can read because the
// key of one of its records is not UTF-8.
func TestBadKeyInTopicDoesNotStopExchange(t *testing.T) {
	gateways := startGateways(t, func(id.Node) *peer.Row { return &peer.Row{DataCentre: "th-a"} }, "entry-0", "entry-1")
	records := []feed.Record{{Offset: 0, Key: "i-1", Value: []byte("one")}, {Offset: 1, Key: "odd-\xff", Value: []byte("x")}, {Offset: 2, Key: "i-2", Value: []byte("two")}}
	view := feed.View{Page: feed.Page{Records: records, Next: feed.Position{Era: 1, Offset: 3}}, Loaded: true, Contact: time.Now()}
	require.True(t, gateways[0].upstreams.Adopt(time.Now(), view))
	require.Eventually(t, func() bool { return gateways[1].content.value("i-2") == "two" }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, "one", gateways[1].content.value("i-1"))
	require.Equal(t, feed.Position{Era: 1, Offset: 3}, gateways[1].upstreams.View().Next)
	require.Eventually(t, func() bool { return gateways[0].knowsAll(2) && gateways[1].knowsAll(2) }, 5*time.Second, 10*time.Millisecond)
}

// TestNewerViewOfPeerIsNotAskedFor guards against a gateway that knows that a peer has read more than itself and
// does not ask for it, as its own reads succeed and bring nothing.
func TestNewerViewOfPeerIsNotAskedFor(t *testing.T) {
	view := func(next feed.Offset, value string) feed.View {
		record := feed.Record{Offset: next - 1, Key: "i-1", Value: []byte(value)}
		return feed.View{Page: feed.Page{Records: []feed.Record{record}, Next: feed.Position{Era: 1, Offset: next}}, Loaded: true, Contact: time.Now()}
	}
	gateways := startGateways(t, func(id.Node) *peer.Row { return &peer.Row{DataCentre: "th-a"} }, "entry-0", "entry-1")
	ahead, behind := gateways[0], gateways[1]
	require.True(t, ahead.upstreams.Adopt(time.Now(), view(4, "old")))
	behind.upstreams.Adopt(time.Now(), view(4, "old"))
	require.True(t, ahead.upstreams.Adopt(time.Now(), view(5, "new")))
	require.Eventually(t, func() bool {
		behind.upstreams.Adopt(time.Now(), view(4, "old")) // as an own read that brings nothing
		return behind.content.value("i-1") == "new"
	}, 2*time.Second, 20*time.Millisecond)
}
