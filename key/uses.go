package key

// This file defines Uses, the running uses of keys, so that a withdrawn key's
// requests end wherever they are.

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

// RequestTracker holds a cancel function for each running use of a key. It is split in
// shards, each under its own lock.
type RequestTracker struct {
	table  *Table
	shards [shardCount]useShard
}

type useShard struct {
	mu   sync.Mutex
	uses map[id.Key]map[*use]struct{}
}

type use struct{ cancel context.CancelCauseFunc }

// NewRequestTracker returns the uses of a table's keys.
func NewRequestTracker(t *Table) *RequestTracker {
	u := &RequestTracker{table: t}
	for i := range u.shards {
		u.shards[i].uses = make(map[id.Key]map[*use]struct{})
	}
	return u
}

func (u *RequestTracker) shard(k id.Key) *useShard {
	return &u.shards[xxhash.Sum64String(string(k))%shardCount]
}

// Track returns a context that is cancelled when the key is withdrawn; its cause
// is then a *WithdrawnError. The function returned must be called at the end of
// the use.
func (u *RequestTracker) Track(ctx context.Context, k id.Key) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	s, x := u.shard(k), &use{cancel: cancel}
	s.mu.Lock()
	if s.uses[k] == nil {
		s.uses[k] = make(map[*use]struct{})
	}
	s.uses[k][x] = struct{}{}
	s.mu.Unlock()
	if u.table.Withdrawn(k) { // since the caller looked
		cancel(&WithdrawnError{Key: k})
	}
	return ctx, func() {
		s.mu.Lock()
		delete(s.uses[k], x)
		if len(s.uses[k]) == 0 {
			delete(s.uses, k)
		}
		s.mu.Unlock()
		cancel(context.Canceled)
	}
}

// Cancel cancels the uses of a key and returns their number.
func (u *RequestTracker) Cancel(k id.Key) int {
	s := u.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	for x := range s.uses[k] {
		x.cancel(&WithdrawnError{Key: k})
	}
	return len(s.uses[k])
}

// CancelWithdrawn cancels the uses of every withdrawn key and returns their number. It is
// needed after the table was restored, which tells of no single withdrawal.
func (u *RequestTracker) CancelWithdrawn() int {
	var running []id.Key
	for i := range u.shards {
		s := &u.shards[i]
		s.mu.Lock()
		for k := range s.uses {
			running = append(running, k)
		}
		s.mu.Unlock()
	}
	n := 0
	for _, k := range running {
		if u.table.Withdrawn(k) {
			n += u.Cancel(k)
		}
	}
	return n
}

// Withdrawn reports whether the key with the given id has been withdrawn.
func (t *Table) Withdrawn(kid id.Key) bool {
	k := t.lookup(kid)
	return k != nil && k.Withdrawn
}
