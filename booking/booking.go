// Package booking defines what becomes of calls that may not be repeated.
//
// A call is named by its workspace and idempotency key. The table folds the log's
// BookingIntended and BookingSettled records: the first intent in log order owns
// the call and is the only one that may run it; the first settlement of that
// intent is what every repeat gets. A call settled as not run is free again.
package booking

import (
	"container/heap"
	"crypto/sha256"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Limits of what the table keeps.
const (
	Retention    = 24 * time.Hour // by the fold's clock, from the last record of a call
	MaxKeyBytes  = 255
	MaxBodyBytes = 16 << 10 // bytes of an answer; a longer one is not kept
)

const shardCount = 16

// Outcome is how a call ended.
type Outcome string

// The outcomes of a call.
const (
	Answered Outcome = "answered" // its answer is known
	NotRun   Outcome = "not_run"  // it was never sent, and never will be
	Unknown  Outcome = "unknown"  // it may have run
)

// Digest is the SHA-256 digest of a call's method, path and body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a call. Each part is closed by a zero byte, which
// neither a method nor a path can hold.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return Digest(h.Sum(nil))
}

// CallKey identifies a call.
type CallKey struct {
	Workspace      id.Workspace
	IdempotencyKey string // idempotency key
}

func (n CallKey) compare(o CallKey) int {
	if c := strings.Compare(string(n.Workspace), string(o.Workspace)); c != 0 {
		return c
	}
	return strings.Compare(n.IdempotencyKey, o.IdempotencyKey)
}

// Call is what the table knows of a call. It is not changed once returned.
type Call struct {
	Intent       *ragwortv1.BookingIntended
	IntentOffset id.Offset
	Settlement   *ragwortv1.BookingSettled // nil: not settled yet
	UpdatedAt    time.Time                 // of its last record, by the fold's clock or the writer's, whichever is later
}

// Owner returns the request that owns the call.
func (c *Call) Owner() id.Request { return id.Request(c.Intent.GetRequest()) }

// Digest returns the digest of the call that was intended.
func (c *Call) Digest() Digest {
	var d Digest
	copy(d[:], c.Intent.GetBodyDigest())
	return d
}

// Outcome returns how the call ended; it reports false while it has not.
func (c *Call) Outcome() (Outcome, bool) {
	if c.Settlement == nil {
		return "", false
	}
	return Outcome(c.Settlement.GetOutcome()), true
}

// free reports whether the next intent may own the call.
func (c *Call) free() bool {
	o, settled := c.Outcome()
	return settled && o == NotRun
}

// Table holds the calls of the last Retention.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu     sync.RWMutex
	calls  map[CallKey]*Call
	expiry expiries
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].calls = make(map[CallKey]*Call)
	}
	return t
}

func (t *Table) shard(n CallKey) *shard {
	return &t.shards[xxhash.Sum64String(string(n.Workspace)+"\x00"+n.IdempotencyKey)%shardCount]
}

// Find returns a call, or nil.
func (t *Table) Find(n CallKey) *Call {
	s := t.shard(n)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.calls[n]
}

// ValidIntent reports whether a record can ever be accepted.
func ValidIntent(r *ragwortv1.BookingIntended) bool {
	k := len(r.GetIdempotencyKey())
	return r.GetWorkspace() != "" && r.GetRequest() != "" && k > 0 && k <= MaxKeyBytes && len(r.GetBodyDigest()) == sha256.Size
}

// ApplyIntent folds an intent written at the given time. It reports whether the intent
// owns the call.
func (t *Table) ApplyIntent(at id.Offset, written time.Time, r *ragwortv1.BookingIntended) bool {
	n := CallKey{Workspace: id.Workspace(r.GetWorkspace()), IdempotencyKey: r.GetIdempotencyKey()}
	s := t.shard(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[n]; c != nil && !c.free() {
		return false
	}
	s.put(n, &Call{Intent: r, IntentOffset: at, UpdatedAt: written})
	return true
}

// ValidSettlement reports whether a record can ever be accepted.
func ValidSettlement(r *ragwortv1.BookingSettled) bool {
	switch Outcome(r.GetOutcome()) {
	case Answered, NotRun, Unknown:
		return len(r.GetBody()) <= MaxBodyBytes
	}
	return false
}

// ApplySettlement folds the end of a call. It reports false unless the settlement is the
// first one of the intent that owns the call.
func (t *Table) ApplySettlement(written time.Time, r *ragwortv1.BookingSettled) bool {
	n := CallKey{Workspace: id.Workspace(r.GetWorkspace()), IdempotencyKey: r.GetIdempotencyKey()}
	s := t.shard(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[n]
	if c == nil || c.Settlement != nil || c.Intent.GetRequest() != r.GetRequest() {
		return false
	}
	settled := *c
	settled.Settlement = r
	settled.UpdatedAt = written
	s.put(n, &settled)
	return true
}

// put stores a call and notes when it expires. The caller holds the lock.
func (s *shard) put(n CallKey, c *Call) {
	s.calls[n] = c
	heap.Push(&s.expiry, expiry{at: c.UpdatedAt.Add(Retention), name: n})
}

// Expire drops the calls whose retention has passed by the fold's clock.
func (t *Table) Expire(clock time.Time) {
	for i := range t.shards {
		t.shards[i].expire(clock)
	}
}

func (s *shard) expire(clock time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.expiry) > 0 && !s.expiry[0].at.After(clock) {
		x := heap.Pop(&s.expiry).(expiry)
		c := s.calls[x.name]
		if c != nil && !c.UpdatedAt.Add(Retention).After(clock) {
			delete(s.calls, x.name)
		}
	}
}

// Len returns how many calls the table holds.
func (t *Table) Len() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		n += len(s.calls)
		s.mu.RUnlock()
	}
	return n
}

// Snapshot writes the table into a state, in the order of the calls' names.
func (t *Table) Snapshot(to *ragwortv1.State) {
	type named struct {
		name CallKey
		call *Call
	}
	var all []named
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for n, c := range s.calls {
			all = append(all, named{n, c})
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b named) int { return a.name.compare(b.name) })
	for _, x := range all {
		b := &ragwortv1.BookingState{
			Intent:        proto.CloneOf(x.call.Intent),
			IntentOffset:  uint64(x.call.IntentOffset),
			WrittenUnixMs: x.call.UpdatedAt.UnixMilli(),
		}
		if x.call.Settlement != nil {
			b.Settled = proto.CloneOf(x.call.Settlement)
		}
		to.Bookings = append(to.Bookings, b)
	}
}

// Restore replaces the table's content by that of a state.
func (t *Table) Restore(from *ragwortv1.State) {
	fresh := NewTable()
	for _, b := range from.GetBookings() {
		n := CallKey{Workspace: id.Workspace(b.GetIntent().GetWorkspace()), IdempotencyKey: b.GetIntent().GetIdempotencyKey()}
		fresh.shard(n).put(n, &Call{
			Intent:       b.GetIntent(),
			IntentOffset: id.Offset(b.GetIntentOffset()),
			Settlement:   b.GetSettled(),
			UpdatedAt:    time.UnixMilli(b.GetWrittenUnixMs()),
		})
	}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.calls, s.expiry = fresh.shards[i].calls, fresh.shards[i].expiry
		s.mu.Unlock()
	}
}
