// Package booking ensures that calls that must not be repeated run at most once.
//
// A call is identified by its workspace and idempotency key. Table is the state that
// results from the log's BookingIntended and BookingSettled records. The first intent
// in log order owns the call and is the only one that may run it. The first settlement
// of that intent is the response to every repeated request. If a call is settled as
// not run, the next intent owns it.
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

// Limits of the table.
const (
	Retention    = 24 * time.Hour // from the last record of a call, by the clock of logbook.State
	MaxKeyBytes  = 255            // of an idempotency key
	MaxBodyBytes = 16 << 10       // of a response; a longer one is not kept
)

const shardCount = 16

// Outcome is how a call ended.
type Outcome string

// The outcomes of a call.
const (
	Answered Outcome = "answered" // its response is known
	NotRun   Outcome = "not_run"  // it was not sent under this intent, and never will be
	Unknown  Outcome = "unknown"  // it may have run
)

// Digest is the SHA-256 digest of a call's method, path and body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a call. Method and path are each followed by a zero
// byte, which neither of them can contain.
func DigestOf(method, path string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return Digest(h.Sum(nil))
}

// CallKey identifies a call.
type CallKey struct {
	Workspace      id.Workspace
	IdempotencyKey string
}

func (k CallKey) compare(other CallKey) int {
	if c := strings.Compare(string(k.Workspace), string(other.Workspace)); c != 0 {
		return c
	}
	return strings.Compare(k.IdempotencyKey, other.IdempotencyKey)
}

// Call is the state of a call. It must not be modified.
type Call struct {
	Intent       *ragwortv1.BookingIntended
	IntentOffset id.Offset
	Settlement   *ragwortv1.BookingSettled // nil: not settled yet
	UpdatedAt    time.Time                 // time of the last record, by the clock of logbook.State or the writer's, whichever is later
}

// Owner returns the request that owns the call.
func (c *Call) Owner() id.Request { return id.Request(c.Intent.GetRequest()) }

// Digest returns the digest in the call's intent.
func (c *Call) Digest() Digest {
	var d Digest
	copy(d[:], c.Intent.GetBodyDigest())
	return d
}

// Outcome returns how the call ended. It reports false if the call is not settled.
func (c *Call) Outcome() (Outcome, bool) {
	if c.Settlement == nil {
		return "", false
	}
	return Outcome(c.Settlement.GetOutcome()), true
}

// retryable reports whether the call was not run, so that the next intent may own it.
func (c *Call) retryable() bool {
	o, settled := c.Outcome()
	return settled && o == NotRun
}

// Table holds the calls of the last Retention. It is safe for concurrent use.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.RWMutex
	calls    map[CallKey]*Call
	expiries expiries
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].calls = make(map[CallKey]*Call)
	}
	return t
}

func (t *Table) shard(key CallKey) *shard {
	return &t.shards[xxhash.Sum64String(string(key.Workspace)+"\x00"+key.IdempotencyKey)%shardCount]
}

// Find returns the call with the given key, or nil.
func (t *Table) Find(key CallKey) *Call {
	s := t.shard(key)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.calls[key]
}

// ValidIntent reports whether a record is well formed. Only well-formed records may be
// passed to ApplyIntent, which does not check them.
func ValidIntent(r *ragwortv1.BookingIntended) bool {
	k := len(r.GetIdempotencyKey())
	return r.GetWorkspace() != "" && r.GetRequest() != "" && k > 0 && k <= MaxKeyBytes && len(r.GetBodyDigest()) == sha256.Size
}

// ApplyIntent applies an intent that was written at the given time. It reports whether
// the intent owns the call.
func (t *Table) ApplyIntent(offset id.Offset, written time.Time, r *ragwortv1.BookingIntended) bool {
	key := CallKey{Workspace: id.Workspace(r.GetWorkspace()), IdempotencyKey: r.GetIdempotencyKey()}
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.calls[key]; c != nil && !c.retryable() {
		return false
	}
	s.put(key, &Call{Intent: r, IntentOffset: offset, UpdatedAt: written})
	return true
}

// ValidSettlement reports whether a record is well formed. Only well-formed records may
// be passed to ApplySettlement, which does not check them.
func ValidSettlement(r *ragwortv1.BookingSettled) bool {
	switch Outcome(r.GetOutcome()) {
	case Answered, NotRun, Unknown:
		return len(r.GetBody()) <= MaxBodyBytes
	}
	return false
}

// ApplySettlement applies the settlement of a call. It reports whether the settlement
// was accepted: it must be the first one of the intent that owns the call.
func (t *Table) ApplySettlement(written time.Time, r *ragwortv1.BookingSettled) bool {
	key := CallKey{Workspace: id.Workspace(r.GetWorkspace()), IdempotencyKey: r.GetIdempotencyKey()}
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[key]
	if c == nil || c.Settlement != nil || c.Intent.GetRequest() != r.GetRequest() {
		return false
	}
	updated := *c
	updated.Settlement = r
	updated.UpdatedAt = written
	s.put(key, &updated)
	return true
}

// put stores a call and adds its expiry to the heap. The caller must hold s.mu.
func (s *shard) put(key CallKey, c *Call) {
	s.calls[key] = c
	heap.Push(&s.expiries, expiry{at: c.UpdatedAt.Add(Retention), key: key})
}

// Expire drops the calls whose retention has passed at now, the time of the clock of
// logbook.State.
func (t *Table) Expire(now time.Time) {
	for i := range t.shards {
		t.shards[i].expire(now)
	}
}

func (s *shard) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.expiries) > 0 && !s.expiries[0].at.After(now) {
		e := heap.Pop(&s.expiries).(expiry)
		c := s.calls[e.key]
		if c != nil && !c.UpdatedAt.Add(Retention).After(now) {
			delete(s.calls, e.key)
		}
	}
}

// Len returns the number of calls in the table.
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

// Snapshot writes the table to a state, sorted by call key.
func (t *Table) Snapshot(to *ragwortv1.State) {
	type entry struct {
		key  CallKey
		call *Call
	}
	var all []entry
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.RLock()
		for key, c := range s.calls {
			all = append(all, entry{key, c})
		}
		s.mu.RUnlock()
	}
	slices.SortFunc(all, func(a, b entry) int { return a.key.compare(b.key) })
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

// Restore replaces the table's content with that of a snapshot.
func (t *Table) Restore(from *ragwortv1.State) {
	fresh := NewTable()
	for _, b := range from.GetBookings() {
		key := CallKey{Workspace: id.Workspace(b.GetIntent().GetWorkspace()), IdempotencyKey: b.GetIntent().GetIdempotencyKey()}
		fresh.shard(key).put(key, &Call{
			Intent:       b.GetIntent(),
			IntentOffset: id.Offset(b.GetIntentOffset()),
			Settlement:   b.GetSettled(),
			UpdatedAt:    time.UnixMilli(b.GetWrittenUnixMs()),
		})
	}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.calls, s.expiries = fresh.shards[i].calls, fresh.shards[i].expiries
		s.mu.Unlock()
	}
}
