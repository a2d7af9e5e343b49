// Package trace keeps the decisions taken about recent requests, for explain.
//
// A log holds a bounded number of requests; the oldest is dropped first. It is
// split in shards, each under its own lock.
package trace

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	shardCount       = 16
	decisionsPerItem = 64
)

// Decision is one step taken about a request.
type Decision struct {
	At     time.Time
	Node   id.Node
	Step   string // the filter that decided, such as admit
	Reason string // a stable code
	Detail string // the inputs, as key=value pairs
}

// Log keeps the decisions of recent requests.
type Log struct {
	node   id.Node
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	items map[id.Request][]Decision
	order []id.Request // ring of the requests kept
	next  int
}

// New returns a log that keeps about the given number of requests.
func New(node id.Node, requests int) *Log {
	l := &Log{node: node}
	each := max(1, requests/shardCount)
	for i := range l.shards {
		l.shards[i].items = make(map[id.Request][]Decision, each)
		l.shards[i].order = make([]id.Request, each)
	}
	return l
}

// Add notes a decision about request rq.
func (l *Log) Add(now time.Time, rq id.Request, step, reason, detail string) {
	s := l.shard(rq)
	s.mu.Lock()
	defer s.mu.Unlock()
	list, known := s.items[rq]
	if !known {
		delete(s.items, s.order[s.next])
		s.order[s.next] = rq
		s.next = (s.next + 1) % len(s.order)
	}
	if len(list) < decisionsPerItem {
		s.items[rq] = append(list, Decision{At: now, Node: l.node, Step: step, Reason: reason, Detail: detail})
	}
}

// Explain returns the decisions about rq in the order they were taken.
func (l *Log) Explain(rq id.Request) []Decision {
	s := l.shard(rq)
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Decision(nil), s.items[rq]...)
}

func (l *Log) shard(rq id.Request) *shard {
	return &l.shards[xxhash.Sum64String(string(rq))%shardCount]
}
