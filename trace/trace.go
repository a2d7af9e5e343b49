// Package trace records the decisions about recent requests, for the explain call, and
// extracts the history of a request from process logs.
//
// A Log holds the decisions of a bounded number of requests and drops the oldest request
// first. It is split into shards, each with its own lock.
package trace

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	shardCount   = 16
	maxDecisions = 64 // per request
)

// Decision is a decision of one processing step about a request.
type Decision struct {
	At     time.Time
	Node   id.Node
	Step   string // filter that decided, such as admit
	Reason string // stable code
	Detail string // inputs of the decision, as key=value pairs
}

// Log holds the decisions of recent requests. It is safe for concurrent use.
type Log struct {
	node   id.Node
	shards [shardCount]shard
}

// shard holds some of the requests under its own lock.
type shard struct {
	mu        sync.Mutex
	decisions map[id.Request][]Decision
	ring      []id.Request // ring buffer of the requests in decisions
	next      int          // index in ring of the oldest request
}

// New returns a log of node that holds about the given number of requests.
func New(node id.Node, requests int) *Log {
	l := &Log{node: node}
	perShard := max(1, requests/shardCount)
	for i := range l.shards {
		l.shards[i].decisions = make(map[id.Request][]Decision, perShard)
		l.shards[i].ring = make([]id.Request, perShard)
	}
	return l
}

// Add records a decision about request rq. It ignores decisions after the first
// maxDecisions of a request.
func (l *Log) Add(now time.Time, rq id.Request, step, reason, detail string) {
	s := l.shard(rq)
	s.mu.Lock()
	defer s.mu.Unlock()
	kept, found := s.decisions[rq]
	if !found {
		delete(s.decisions, s.ring[s.next])
		s.ring[s.next] = rq
		s.next = (s.next + 1) % len(s.ring)
	}
	if len(kept) < maxDecisions {
		s.decisions[rq] = append(kept, Decision{At: now, Node: l.node, Step: step, Reason: reason, Detail: detail})
	}
}

// Explain returns the decisions about rq in the order in which they were added.
func (l *Log) Explain(rq id.Request) []Decision {
	s := l.shard(rq)
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Decision(nil), s.decisions[rq]...)
}

func (l *Log) shard(rq id.Request) *shard {
	return &l.shards[xxhash.Sum64String(string(rq))%shardCount]
}
