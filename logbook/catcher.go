package logbook

// This file defines Catcher, which keeps the state up to date from peers while the
// log does not answer.
//
// Every heartbeat tells how far the peer has folded. A process that has not reached
// the offset that a heartbeat named, when behindFor later another one names as much,
// fetches from that peer: the records that it lacks, or the whole state if the peer
// no longer holds them. While the log answers, the follower is faster, and
// nothing is fetched.

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

const (
	behindFor    = 400 * time.Millisecond // after which a peer's offset is overdue
	fetchTimeout = 2 * time.Second
)

// LagDetector judges whether a process is behind its peers. The zero value has heard of
// none.
type LagDetector struct {
	offset id.Offset // heard of first, among those not reached yet
	since  time.Time
}

// Observe notes the offset that a peer has reached and reports whether the process,
// which is at own, has to fetch from that peer.
func (l *LagDetector) Observe(now time.Time, own, offset id.Offset) bool {
	if own >= l.offset {
		l.offset = 0
	}
	if offset <= own {
		return false
	}
	if l.offset == 0 {
		l.offset, l.since = offset, now
		return false
	}
	return offset >= l.offset && now.Sub(l.since) >= behindFor
}

// PeerFetcher fetches a peer's state when this process is behind it.
type PeerFetcher struct {
	state  *State
	peers  *http.Client
	logger log.Logger
	counts metrics.Registry

	mu       sync.Mutex
	lag      LagDetector
	fetching bool
}

// NewPeerFetcher returns a catcher.
func NewPeerFetcher(s *State, peers *http.Client, logger log.Logger, counts metrics.Registry) *PeerFetcher {
	return &PeerFetcher{state: s, peers: peers, logger: logger, counts: counts}
}

// ObserveHeartbeat takes the offset that a peer's heartbeat named, and fetches the peer's state
// if that is due. It may take as long as a fetch.
func (c *PeerFetcher) ObserveHeartbeat(ctx context.Context, now time.Time, address string, offset id.Offset) {
	if !c.due(now, offset) {
		return
	}
	defer c.done()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(c.peers, "http://"+address)
	rs, err := client.Fetch(ctx, connect.NewRequest(&ragwortv1.FetchRequest{AfterOffset: uint64(c.state.Offset())}))
	result := "failed"
	if err == nil {
		result = ApplyFetch(c.state, rs.Msg)
	}
	metrics.GetOrRegisterCounter("journal_fetch_"+result, c.counts).Inc(1)
	_ = c.logger.Log("event", "journal_fetch", "peer", address, "result", result, "offset", uint64(c.state.Offset()), "err", err)
}

// due reports whether a fetch starts now; there is one at a time.
func (c *PeerFetcher) due(now time.Time, offset id.Offset) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lag.Observe(now, c.state.Offset(), offset) || c.fetching {
		return false
	}
	c.fetching = true
	return true
}

func (c *PeerFetcher) done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetching = false
}

// AnswerFetch returns the answer to a peer's fetch.
func AnswerFetch(s *State, rq *ragwortv1.FetchRequest) *ragwortv1.FetchResponse {
	rs := &ragwortv1.FetchResponse{NewestOffset: uint64(s.Offset())}
	after := id.Offset(rq.GetAfterOffset())
	if s.Offset() <= after {
		return rs
	}
	records, ok := s.recordsAfter(after)
	if !ok {
		rs.State = s.Snapshot()
	}
	rs.Records = records
	return rs
}

// ApplyFetch folds the answer of a peer and returns a word for what it held.
func ApplyFetch(s *State, rs *ragwortv1.FetchResponse) string {
	before := s.Offset()
	result := "records"
	if rs.GetState() != nil {
		s.Restore(rs.GetState())
		result = "state"
	}
	for _, r := range rs.GetRecords() {
		if id.Offset(r.GetOffset()) > s.Offset()+1 {
			break // a gap: the peer answered another question
		}
		s.Apply(id.Offset(r.GetOffset()), r.GetPayload())
	}
	if s.Offset() == before {
		return "not_newer"
	}
	return result
}
