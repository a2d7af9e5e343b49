package logbook

// This file defines PeerFetcher, which keeps the state up to date from peers while
// the log is unavailable.
//
// Every heartbeat carries the offset that the peer's state has reached. A process
// that is behind a peer waits for fetchDelay. If it still has not reached that offset
// when another heartbeat arrives with the same or a higher one, it fetches from the
// sender: the missing records, or the whole state if the sender no longer keeps
// them. While the log is available, Follower catches up within fetchDelay, and
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
	fetchDelay   = 400 * time.Millisecond // how long a process is behind a peer before it fetches
	fetchTimeout = 2 * time.Second
)

// LagDetector detects that a process stays behind its peers. The zero value is ready
// for use.
type LagDetector struct {
	awaitedOffset id.Offset // the first peer offset observed that this process has not reached yet; zero: none
	since         time.Time // when awaitedOffset was observed
}

// Observe handles the offset that a peer has reached and reports whether the process,
// whose own state has reached offset own, must fetch from that peer.
func (l *LagDetector) Observe(now time.Time, own, peerOffset id.Offset) bool {
	if own >= l.awaitedOffset {
		l.awaitedOffset = 0
	}
	if peerOffset <= own {
		return false
	}
	if l.awaitedOffset == 0 {
		l.awaitedOffset, l.since = peerOffset, now
		return false
	}
	return peerOffset >= l.awaitedOffset && now.Sub(l.since) >= fetchDelay
}

// PeerFetcher fetches a peer's state when this process is behind it.
type PeerFetcher struct {
	state  *State
	peers  *http.Client // for calls of peers
	logger log.Logger
	counts metrics.Registry

	mu       sync.Mutex
	lag      LagDetector
	fetching bool
}

// NewPeerFetcher returns a fetcher for the state s that calls peers with the given
// client.
func NewPeerFetcher(s *State, peers *http.Client, logger log.Logger, counts metrics.Registry) *PeerFetcher {
	return &PeerFetcher{state: s, peers: peers, logger: logger, counts: counts}
}

// ObserveHeartbeat handles the offset in a peer's heartbeat, and fetches from the
// peer if necessary. It returns when the fetch is done.
func (f *PeerFetcher) ObserveHeartbeat(ctx context.Context, now time.Time, address string, peerOffset id.Offset) {
	if !f.tryStart(now, peerOffset) {
		return
	}
	defer f.finish()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := ragwortv1connect.NewNodeServiceClient(f.peers, "http://"+address)
	rs, err := client.Fetch(ctx, connect.NewRequest(&ragwortv1.FetchRequest{AfterOffset: uint64(f.state.Offset())}))
	result := "failed"
	if err == nil {
		result = ApplyFetch(f.state, rs.Msg)
	}
	metrics.GetOrRegisterCounter("journal_fetch_"+result, f.counts).Inc(1)
	_ = f.logger.Log("event", "journal_fetch", "peer", address, "result", result, "offset", uint64(f.state.Offset()), "err", err)
}

// tryStart reports whether the caller must start a fetch now. At most one fetch runs at a
// time.
func (f *PeerFetcher) tryStart(now time.Time, peerOffset id.Offset) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.lag.Observe(now, f.state.Offset(), peerOffset) || f.fetching {
		return false
	}
	f.fetching = true
	return true
}

func (f *PeerFetcher) finish() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fetching = false
}

// AnswerFetch returns the response to a peer's fetch: the records after the requested
// offset, or the whole state if not all of them are kept.
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

// ApplyFetch applies a peer's response to a fetch. It returns "records" or "state"
// according to what the response held, or "not_newer" if the state did not change.
func ApplyFetch(s *State, rs *ragwortv1.FetchResponse) string {
	before := s.Offset()
	result := "records"
	if rs.GetState() != nil {
		s.Restore(rs.GetState())
		result = "state"
	}
	for _, r := range rs.GetRecords() {
		if id.Offset(r.GetOffset()) > s.Offset()+1 {
			break // a gap: the response does not match the request
		}
		s.Apply(id.Offset(r.GetOffset()), r.GetPayload())
	}
	if s.Offset() == before {
		return "not_newer"
	}
	return result
}
