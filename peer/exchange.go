package peer

// This file defines Exchanger, which exchanges rows with a few peers at a time and
// gives a peer that the store does not answer what it is missing.

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	// interval lies between two rounds. A row reaches every gateway of a small fleet in
	// two rounds, within the time that usage figures have to settle.
	interval = 250 * time.Millisecond
	// fanout is how many peers a round reaches: the cost of a gateway does not grow with
	// the fleet, and a row needs log2 of its size rounds.
	fanout = 2
	// exchangeTimeout bounds one exchange; a peer is a few milliseconds away.
	exchangeTimeout = 600 * time.Millisecond
	// strayEvery is how often a seed is called that no row names, in rounds: it may be
	// the only way to a part of the fleet that started apart.
	strayEvery = 8
	// maxPeerFailures is how many exchanges in a row fail before an address is called
	// only as often as strays.
	maxPeerFailures = 3
	// unreadAfter is how old the last read of a topic may be until a peer's view of it is
	// asked for: about what a peer that reads is fresher.
	unreadAfter = 400 * time.Millisecond
	// maxMessage bounds a message: a configuration has at most some 100 KB.
	maxMessage = 16 << 20
)

// Topics are the topics whose content is shared.
type Topics struct{ Operators, Upstreams *feed.Follower }

// Config says how an exchanger finds its peers.
type Config struct {
	Address string   // the own one
	Seeds   []string // which may be stale
}

// Exchanger is the driver of a table.
type Exchanger struct {
	cfg    Config
	table  *Table
	topics Topics
	clock  *clock.Clock
	say    func(now time.Time) (row *Row, urgent bool) // makes the own row
	http   *http.Client
	logger log.Logger
	counts metrics.Registry

	mu       sync.Mutex
	failures map[string]int // exchanges that failed in a row, by address
	clients  map[string]ragwortv1connect.PeerServiceClient
}

var _ ragwortv1connect.PeerServiceHandler = (*Exchanger)(nil)

// NewExchanger returns an exchanger that has not started.
func NewExchanger(cfg Config, t *Table, topics Topics, c *clock.Clock, say func(time.Time) (*Row, bool), logger log.Logger, counts metrics.Registry) *Exchanger {
	dialer := &net.Dialer{Timeout: exchangeTimeout}
	return &Exchanger{
		cfg: cfg, table: t, topics: topics, clock: c, say: say, logger: logger, counts: counts,
		http:     &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true}},
		failures: make(map[string]int), clients: make(map[string]ragwortv1connect.PeerServiceClient),
	}
}

// Handler serves peers.
func (x *Exchanger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(ragwortv1connect.NewPeerServiceHandler(x, connect.WithReadMaxBytes(maxMessage)))
	return mux
}

// Run exchanges rows until ctx is done.
func (x *Exchanger) Run(ctx context.Context) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for round := 0; ; round++ {
		now := time.Now()
		row, urgent := x.say(now)
		x.table.Publish(now, row, urgent)
		for _, address := range x.choose(round) {
			go x.exchange(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// choose returns the addresses to call in a round.
func (x *Exchanger) choose(round int) []string {
	var near, stray []string
	x.mu.Lock()
	defer x.mu.Unlock()
	add := func(address string, known bool) {
		if address == "" || address == x.cfg.Address || slices.Contains(near, address) || slices.Contains(stray, address) {
			return
		}
		if known && x.failures[address] < maxPeerFailures || round == 0 {
			near = append(near, address)
		} else {
			stray = append(stray, address)
		}
	}
	for _, r := range x.table.Live(time.Now()) {
		add(r.GetAddress(), true)
	}
	for _, seed := range x.cfg.Seeds {
		add(seed, false)
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	if round > 0 {
		near = near[:min(len(near), fanout)]
	}
	if len(stray) > 0 && (len(near) == 0 || round%strayEvery == 0) {
		near = append(near, stray[rand.IntN(len(stray))])
	}
	return near
}

func (x *Exchanger) client(address string) ragwortv1connect.PeerServiceClient {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.clients[address]
	if c == nil {
		c = ragwortv1connect.NewPeerServiceClient(x.http, "http://"+address, connect.WithReadMaxBytes(maxMessage))
		x.clients[address] = c
	}
	return c
}

// exchange tells a peer what this gateway knows, and takes what the peer knows.
func (x *Exchanger) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := x.clock.Now()
	rs, err := x.client(address).Exchange(ctx, connect.NewRequest(&ragwortv1.ExchangeRequest{
		SenderUnixMs: sent.UnixMilli(), Rows: []*Row{x.table.OwnRow()}, Marks: x.table.Marks(),
		Operators: ask(x.topics.Operators), Upstreams: ask(x.topics.Upstreams),
	}))
	x.mu.Lock()
	if err != nil {
		x.failures[address]++
	} else {
		delete(x.failures, address)
	}
	x.mu.Unlock()
	if err != nil {
		metrics.GetOrRegisterCounter("peer_exchange_failed", x.counts).Inc(1)
		return
	}
	received := x.clock.Now()
	x.merge(rs.Msg.GetRows(), rs.Msg.GetMarks())
	if node, ok := x.nodeAt(address); ok {
		half := received.Sub(sent) / 2
		x.table.RecordClockOffset(time.Now(), node, time.UnixMilli(rs.Msg.GetSenderUnixMs()).Sub(sent.Add(half)))
	}
	x.adopt("operators", x.topics.Operators, rs.Msg.GetOperators())
	x.adopt("upstreams", x.topics.Upstreams, rs.Msg.GetUpstreams())
}

// nodeAt returns the node that says that it is at an address.
func (x *Exchanger) nodeAt(address string) (id.Node, bool) {
	for _, r := range x.table.Live(time.Now()) {
		if r.GetAddress() == address {
			return id.Node(r.GetNode()), true
		}
	}
	return "", false
}

// Exchange implements ragwortv1connect.PeerServiceHandler.
func (x *Exchanger) Exchange(_ context.Context, rq *connect.Request[ragwortv1.ExchangeRequest]) (*connect.Response[ragwortv1.ExchangeResponse], error) {
	x.merge(rq.Msg.GetRows(), rq.Msg.GetMarks())
	return connect.NewResponse(&ragwortv1.ExchangeResponse{
		SenderUnixMs: x.clock.Now().UnixMilli(), Rows: x.table.MissingRows(rq.Msg.GetMarks()), Marks: x.table.Marks(),
		Operators: answer(x.topics.Operators, rq.Msg.GetOperators()),
		Upstreams: answer(x.topics.Upstreams, rq.Msg.GetUpstreams()),
	}), nil
}

func (x *Exchanger) merge(rows []*Row, marks []*Mark) {
	for _, n := range x.table.Merge(time.Now(), rows, marks) {
		_ = x.logger.Log("event", "peer_known", "peer", n.Node, "incarnation", uint64(n.Incarnation))
	}
}

// ask says how far a topic is read here, and whether a peer is asked for it.
func ask(f *feed.Follower) *ragwortv1.TopicView {
	v := f.View()
	return &ragwortv1.TopicView{Next: uint64(v.Next), Known: v.Loaded, Wanted: !v.Loaded || time.Since(v.Contact) > unreadAfter}
}

// answer gives a peer that asks for a topic what it lacks. What is held here is known
// to have been current at the last read.
func answer(f *feed.Follower, asked *ragwortv1.TopicView) *ragwortv1.TopicView {
	v := f.View()
	if asked.GetWanted() {
		v = f.ViewFor(feed.Offset(asked.GetNext()), asked.GetKnown())
	}
	view := &ragwortv1.TopicView{
		Next: uint64(v.Next), Known: v.Loaded, Onwards: v.Incremental,
		AgeMs: uint32(min(time.Since(v.Contact), time.Hour).Milliseconds()),
	}
	for _, r := range v.Records {
		view.Records = append(view.Records, &ragwortv1.TopicRecord{Offset: uint64(r.Offset), Key: r.Key, Value: r.Value, Dropped: r.Value == nil})
	}
	return view
}

// adopt takes a peer's view of a topic that is not read here, or not just now.
func (x *Exchanger) adopt(name string, f *feed.Follower, theirs *ragwortv1.TopicView) {
	now := time.Now()
	v := feed.View{
		Page: feed.Page{Next: feed.Offset(theirs.GetNext())}, Loaded: theirs.GetKnown(), Incremental: theirs.GetOnwards(),
		Contact: now.Add(-time.Duration(theirs.GetAgeMs()) * time.Millisecond),
	}
	for _, r := range theirs.GetRecords() {
		record := feed.Record{Offset: feed.Offset(r.GetOffset()), Key: r.GetKey()}
		if !r.GetDropped() {
			record.Value = r.GetValue()
		}
		v.Records = append(v.Records, record)
	}
	first := !f.View().Loaded
	if !f.Adopt(now, v) {
		return
	}
	metrics.GetOrRegisterCounter("feed_adopted_"+name, x.counts).Inc(1)
	if first || !v.Incremental {
		_ = x.logger.Log("event", "feed_adopted", "topic", name, "offset", v.Next, "records", len(v.Records), "age_ms", theirs.GetAgeMs())
	}
}
