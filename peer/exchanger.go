package peer

// This file defines Exchanger, which exchanges rows with a few peers in each round, and
// with them the content of topics, for gateways that the store does not answer.

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
	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/response"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	// roundInterval is the time between two rounds. A row reaches every gateway of a small
	// fleet in two rounds, within the time that usage counts have to settle.
	roundInterval = 250 * time.Millisecond
	// fanout is how many peers are called in a round. The number of calls that a gateway
	// makes thus does not grow with the fleet, and a row reaches n gateways in about
	// log2(n) rounds.
	fanout = 2
	// An urgent round, which Wake asks for, calls more peers, so that what happens to the fleet as
	// a whole is known to a small one within one call. There is at least urgentInterval between
	// two of them.
	urgentFanout   = 8
	urgentInterval = 100 * time.Millisecond
	// exchangeTimeout bounds one exchange. The latency between peers is a few
	// milliseconds.
	exchangeTimeout = 600 * time.Millisecond
	// fallbackRoundInterval is the number of rounds between two calls to fallback
	// addresses, which are seeds without a live row and addresses that keep failing. A seed
	// may be the only way to a part of the fleet that started separately.
	fallbackRoundInterval = 8
	// maxExchangeFailures is the number of consecutive failed exchanges from which an
	// address is called only as a fallback.
	maxExchangeFailures = 3
	// topicRequestAge is how old the last successful read of a topic must be before peers
	// are asked for their view of it. A peer that reads the topic itself then has a view
	// that is fresher by about as much.
	topicRequestAge = 400 * time.Millisecond
	// sourceRequestAge is the age of a view from which on the source of views is asked in
	// each round, and groupRequestAge that from which on other peers are asked in addition.
	// Records thus travel once to each data centre while the sources answer.
	sourceRequestAge = 200 * time.Millisecond
	groupRequestAge  = 1200 * time.Millisecond
	// maxMessageBytes bounds a message. A configuration has at most some 100 KB.
	maxMessageBytes = 16 << 20
	// maxHeaderBytes limits the status line and headers of a peer's response.
	maxHeaderBytes = 64 << 10
)

// Topics are the followers of the topics whose content peers share.
type Topics struct{ Operators, Upstreams *feed.Follower }

// Config holds the addresses by which gateways find one another.
type Config struct {
	Address    string // at which peers reach this gateway
	DataCentre id.DataCentre
	Seeds      []string // addresses of peers, which may be outdated
	// OnRows is called with rows of peers that were received, some of which may be known.
	OnRows func(rows []*Row)
}

// Exchanger calls peers, serves their calls and keeps a table up to date.
type Exchanger struct {
	cfg        Config
	table      *Table
	topics     Topics
	clock      *clock.Clock
	makeRow    func(now time.Time) (row *Row, urgent bool) // returns the arguments of Table.Publish
	httpClient *http.Client
	logger     log.Logger
	registry   metrics.Registry
	guard      *guard.Guard
	wake       chan struct{} // holds a value if an urgent round is due
	strings    *stringGuard

	mu       sync.Mutex
	failures map[string]int // consecutive failed exchanges, by address
	clients  map[string]ragwortv1connect.PeerServiceClient
}

var _ ragwortv1connect.PeerServiceHandler = (*Exchanger)(nil)

// NewExchanger returns an exchanger that has not started. In each round it passes the row
// that makeRow returns, and whether the row is urgent, to Table.Publish.
func NewExchanger(cfg Config, table *Table, topics Topics, clock *clock.Clock, makeRow func(time.Time) (*Row, bool), logger log.Logger, registry metrics.Registry) *Exchanger {
	dialer := &net.Dialer{Timeout: exchangeTimeout}
	transport := response.NewTransport(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, MaxResponseHeaderBytes: maxHeaderBytes, DisableCompression: true})
	transport.RequireSize = true // a message that was cut may still be one
	return &Exchanger{
		cfg: cfg, table: table, topics: topics, clock: clock, makeRow: makeRow, logger: logger, registry: registry, guard: guard.New(logger, registry),
		httpClient: &http.Client{Transport: transport},
		wake:       make(chan struct{}, 1), strings: newStringGuard(logger, registry), failures: make(map[string]int), clients: make(map[string]ragwortv1connect.PeerServiceClient),
	}
}

// Handler returns the handler for the calls of peers.
func (x *Exchanger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(ragwortv1connect.NewPeerServiceHandler(x, connect.WithReadMaxBytes(maxMessageBytes)))
	return mux
}

// Run publishes the own row and calls peers in each round until ctx is done.
func (x *Exchanger) Run(ctx context.Context) {
	tick := time.NewTicker(roundInterval)
	defer tick.Stop()
	var lastUrgent time.Time
	for round := 0; ; round++ {
		now := time.Now()
		x.publish(now, false)
		requestAge := topicRequestAge
		if _, grouped := x.table.Reader(now, x.cfg.DataCentre); grouped {
			requestAge = groupRequestAge
		}
		for _, address := range x.selectAddresses(round, fanout) {
			x.goExchange(ctx, address, requestAge)
		}
		if address := x.table.Source(now, x.cfg.DataCentre).GetAddress(); address != "" {
			go x.guard.Do("pull_topics", func() { x.pullTopics(ctx, address) })
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				waiting = false
			case <-x.wake:
				if now := time.Now(); now.Sub(lastUrgent) >= urgentInterval {
					lastUrgent = now
					x.exchangeUrgently(ctx, now)
				}
			}
		}
	}
}

// publish publishes the own row, at once if it or the caller says that it is urgent.
func (x *Exchanger) publish(now time.Time, urgent bool) {
	row, isUrgent := x.makeRow(now)
	x.strings.repair(row)
	x.table.Publish(now, row, urgent || isUrgent)
}

// Wake asks for a round before the next is due, if there was none of late.
func (x *Exchanger) Wake() {
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// exchangeUrgently publishes the own row and calls many peers.
func (x *Exchanger) exchangeUrgently(ctx context.Context, now time.Time) {
	x.publish(now, true)
	for _, address := range x.selectAddresses(1, urgentFanout) {
		x.goExchange(ctx, address, topicRequestAge)
	}
}

// goExchange starts an exchange in the background.
func (x *Exchanger) goExchange(ctx context.Context, address string, requestAge time.Duration) {
	go x.guard.Do("exchange", func() { x.exchange(ctx, address, requestAge) })
}

// selectAddresses returns the addresses to call in a round: all in the first round, later
// a random choice of up to calls live peers and, at times or without live peers, one fallback
// address.
func (x *Exchanger) selectAddresses(round, calls int) []string {
	var selected, fallback []string
	x.mu.Lock()
	defer x.mu.Unlock()
	add := func(address string, live bool) {
		if address == "" || address == x.cfg.Address || slices.Contains(selected, address) || slices.Contains(fallback, address) {
			return
		}
		if live && x.failures[address] < maxExchangeFailures || round == 0 {
			selected = append(selected, address)
		} else {
			fallback = append(fallback, address)
		}
	}
	for _, r := range x.table.Live(time.Now()) {
		add(r.GetAddress(), true)
	}
	for _, seed := range x.cfg.Seeds {
		add(seed, false)
	}
	rand.Shuffle(len(selected), func(i, j int) { selected[i], selected[j] = selected[j], selected[i] })
	if round > 0 {
		selected = selected[:min(len(selected), calls)]
	}
	if len(fallback) > 0 && (len(selected) == 0 || round%fallbackRoundInterval == 0) {
		selected = append(selected, fallback[rand.IntN(len(fallback))])
	}
	return selected
}

// client returns the client for an address.
func (x *Exchanger) client(address string) ragwortv1connect.PeerServiceClient {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.clients[address]
	if c == nil {
		c = ragwortv1connect.NewPeerServiceClient(x.httpClient, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
		x.clients[address] = c
	}
	return c
}

// call makes one call to a peer. It counts its failures and logs the first of consecutive ones.
func (x *Exchanger) call(ctx context.Context, address string, request *ragwortv1.ExchangeRequest) (*ragwortv1.ExchangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	response, err := x.client(address).Exchange(ctx, connect.NewRequest(request))
	x.mu.Lock()
	failed := x.failures[address]
	if err != nil {
		x.failures[address]++
	} else {
		delete(x.failures, address)
	}
	x.mu.Unlock()
	switch {
	case err != nil:
		metrics.GetOrRegisterCounter("peer_exchange_failed", x.registry).Inc(1)
		if failed == 0 {
			_ = x.logger.Log("event", "peer_lost", "address", address, "err", err)
		}
		return nil, err
	case failed > 0:
		_ = x.logger.Log("event", "peer_regained", "address", address, "failed", failed)
	}
	return response.Msg, nil
}

// adoptViews adopts a peer's views of the topics.
func (x *Exchanger) adoptViews(response *ragwortv1.ExchangeResponse) {
	x.adoptView("operators", x.topics.Operators, response.GetOperators())
	x.adoptView("upstreams", x.topics.Upstreams, response.GetUpstreams())
}

// pullTopics asks the gateway at an address for its views of the topics, if the own ones are not
// fresh. If that fails, which call logs, the views grow old until this gateway reads for itself.
func (x *Exchanger) pullTopics(ctx context.Context, address string) {
	request := &ragwortv1.ExchangeRequest{
		TopicsOnly: true, Operators: topicRequest(x.topics.Operators, sourceRequestAge), Upstreams: topicRequest(x.topics.Upstreams, sourceRequestAge),
	}
	if !request.GetOperators().GetWanted() && !request.GetUpstreams().GetWanted() {
		return
	}
	if response, err := x.call(ctx, address, request); err == nil {
		x.adoptViews(response)
	}
}

// exchange calls a peer, merges the rows of its answer, measures its clock and adopts its
// views of the topics, which it asks for if the own ones are older than requestAge.
func (x *Exchanger) exchange(ctx context.Context, address string, requestAge time.Duration) {
	sentAt := x.clock.Now()
	response, err := x.call(ctx, address, &ragwortv1.ExchangeRequest{
		SenderUnixMs: sentAt.UnixMilli(), Rows: []*Row{x.table.OwnRow()}, Marks: x.table.Marks(),
		Operators: topicRequest(x.topics.Operators, requestAge), Upstreams: topicRequest(x.topics.Upstreams, requestAge),
	})
	if err != nil {
		return // counted and logged by call
	}
	receivedAt := x.clock.Now()
	x.merge(response.GetRows(), response.GetMarks())
	x.table.ExtendHistory(receivedAt.Add(-time.Duration(response.GetHistoryMs()) * time.Millisecond))
	if node, ok := x.nodeAt(address); ok {
		oneWay := receivedAt.Sub(sentAt) / 2
		x.table.RecordClockOffset(time.Now(), node, time.UnixMilli(response.GetSenderUnixMs()).Sub(sentAt.Add(oneWay)))
	}
	x.adoptViews(response)
}

// nodeAt returns the live node whose row has the address.
func (x *Exchanger) nodeAt(address string) (id.Node, bool) {
	for _, r := range x.table.Live(time.Now()) {
		if r.GetAddress() == address {
			return id.Node(r.GetNode()), true
		}
	}
	return "", false
}

// Exchange implements ragwortv1connect.PeerServiceHandler. It merges the request of a peer
// and returns what the peer lacks.
func (x *Exchanger) Exchange(_ context.Context, request *connect.Request[ragwortv1.ExchangeRequest]) (*connect.Response[ragwortv1.ExchangeResponse], error) {
	response := &ragwortv1.ExchangeResponse{
		Operators: x.topicResponse(x.topics.Operators, request.Msg.GetOperators()),
		Upstreams: x.topicResponse(x.topics.Upstreams, request.Msg.GetUpstreams()),
	}
	if !request.Msg.GetTopicsOnly() {
		x.merge(request.Msg.GetRows(), request.Msg.GetMarks())
		now := x.clock.Now()
		response.SenderUnixMs, response.HistoryMs = now.UnixMilli(), uint64(now.Sub(x.table.HistoryStart()).Milliseconds())
		response.Rows, response.Marks = x.table.MissingRows(request.Msg.GetMarks()), x.table.Marks()
	}
	return connect.NewResponse(response), nil
}

// merge merges rows and marks into the table and logs new members.
func (x *Exchanger) merge(rows []*Row, marks []*Mark) {
	for _, member := range x.table.Merge(time.Now(), rows, marks) {
		_ = x.logger.Log("event", "peer_known", "peer", member.Node, "incarnation", uint64(member.Incarnation))
	}
	if x.cfg.OnRows != nil {
		x.cfg.OnRows(rows)
	}
}

// topicRequest returns how far this gateway has read a topic, and whether it asks the peer
// for the rest: it does if its view is older than an age, or than one that a peer has told of.
func topicRequest(f *feed.Follower, age time.Duration) *ragwortv1.TopicView {
	v := f.View()
	return &ragwortv1.TopicView{Era: uint64(v.Next.Era), Next: uint64(v.Next.Offset), Known: v.Loaded, Wanted: !v.Loaded || time.Since(v.Contact) > age || f.PeerAhead()}
}

// topicResponse returns the records that a peer lacks if it asks for them, and the age of
// the last successful read, at which the view was current. The age is at most one hour,
// also if there was no read because the view comes from a copy. A record whose key cannot be
// encoded is left out.
func (x *Exchanger) topicResponse(f *feed.Follower, request *ragwortv1.TopicView) *ragwortv1.TopicView {
	v := f.View()
	if request.GetWanted() {
		v = f.ViewFor(position(request), request.GetKnown())
	}
	view := &ragwortv1.TopicView{
		Era: uint64(v.Next.Era), Next: uint64(v.Next.Offset), Known: v.Loaded, Onwards: v.Incremental,
		AgeMs: uint32(min(time.Since(v.Contact), time.Hour).Milliseconds()),
	}
	for _, r := range v.Records {
		if !x.strings.valid("key", r.Key) {
			continue
		}
		view.Records = append(view.Records, &ragwortv1.TopicRecord{Offset: uint64(r.Offset), Key: r.Key, Value: r.Value, Dropped: r.Value == nil})
	}
	return view
}

// position returns how far the sender of a view has read the topic.
func position(v *ragwortv1.TopicView) feed.Position {
	return feed.Position{Era: feed.Era(v.GetEra()), Offset: feed.Offset(v.GetNext())}
}

// adoptView passes a peer's view of a topic to the follower of the topic, and counts the
// view if records of it were taken over.
func (x *Exchanger) adoptView(topic string, f *feed.Follower, view *ragwortv1.TopicView) {
	now := time.Now()
	v := feed.View{
		Page: feed.Page{Next: position(view)}, Loaded: view.GetKnown(), Incremental: view.GetOnwards(),
		Contact: now.Add(-time.Duration(view.GetAgeMs()) * time.Millisecond),
	}
	for _, r := range view.GetRecords() {
		record := feed.Record{Offset: feed.Offset(r.GetOffset()), Key: r.GetKey()}
		if !r.GetDropped() {
			record.Value = r.GetValue()
		}
		v.Records = append(v.Records, record)
	}
	isFirst := !f.View().Loaded
	if !f.Adopt(now, v) {
		return
	}
	metrics.GetOrRegisterCounter("feed_adopted_"+topic, x.registry).Inc(1)
	if isFirst || !v.Incremental {
		_ = x.logger.Log("event", "feed_adopted", "topic", topic, "offset", v.Next, "records", len(v.Records), "age_ms", view.GetAgeMs())
	}
}
