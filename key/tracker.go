package key

// This file defines RequestTracker, which cancels the running requests of a key when the
// key is withdrawn, whatever stage they have reached.

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

// RequestTracker holds a cancel function for each running request of each key. It is
// sharded to reduce lock contention. It is safe for concurrent use.
type RequestTracker struct {
	table  *Table
	shards [shardCount]requestShard
}

type requestShard struct {
	mu       sync.Mutex
	requests map[id.Key]map[*activeRequest]struct{}
}

type activeRequest struct{ cancel context.CancelCauseFunc }

// NewRequestTracker returns a tracker for requests with keys of the given table.
func NewRequestTracker(table *Table) *RequestTracker {
	tracker := &RequestTracker{table: table}
	for i := range tracker.shards {
		tracker.shards[i].requests = make(map[id.Key]map[*activeRequest]struct{})
	}
	return tracker
}

func (t *RequestTracker) shard(k id.Key) *requestShard {
	return &t.shards[xxhash.Sum64String(string(k))%shardCount]
}

// Track registers a request of a key. It returns a context that is cancelled when the
// key is withdrawn; the cause is then a *WithdrawnError. The returned function must be
// called at the end of the request.
func (t *RequestTracker) Track(ctx context.Context, k id.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	shard, request := t.shard(k), &activeRequest{cancel: cancel}
	shard.mu.Lock()
	if shard.requests[k] == nil {
		shard.requests[k] = make(map[*activeRequest]struct{})
	}
	shard.requests[k][request] = struct{}{}
	shard.mu.Unlock()
	if t.table.Withdrawn(k) { // it may have been withdrawn after the caller looked it up
		cancel(&WithdrawnError{Key: k})
	}
	return ctx, func() {
		shard.mu.Lock()
		delete(shard.requests[k], request)
		if len(shard.requests[k]) == 0 {
			delete(shard.requests, k)
		}
		shard.mu.Unlock()
		cancel(context.Canceled)
	}
}

// Cancel cancels the requests of a key and returns their number.
func (t *RequestTracker) Cancel(k id.Key) int {
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.requests[k] {
		request.cancel(&WithdrawnError{Key: k})
	}
	return len(s.requests[k])
}

// CancelWithdrawn cancels the requests of every withdrawn key and returns their number.
// It must be called after the table was restored, since observers of logbook.State are
// not told which keys a snapshot withdraws.
func (t *RequestTracker) CancelWithdrawn() int {
	var active []id.Key
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for k := range s.requests {
			active = append(active, k)
		}
		s.mu.Unlock()
	}
	n := 0
	for _, k := range active {
		if t.table.Withdrawn(k) {
			n += t.Cancel(k)
		}
	}
	return n
}

// Withdrawn reports whether the key with the given ID was withdrawn.
func (t *Table) Withdrawn(keyID id.Key) bool {
	k := t.lookup(keyID)
	return k != nil && k.Withdrawn
}
