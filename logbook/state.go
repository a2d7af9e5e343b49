// Package logbook implements a state that is replicated through the platform's log:
// every process reads the log and applies its records in order.
//
// State is the replicated state machine. It uses no system clock, network connection
// or goroutine, so two processes that have applied the same records hold the same
// state. Follower reads the log and applies its records. Writer appends records and
// gets their results when they are applied. Checkpointer appends snapshots of the
// state to the log. PeerFetcher fetches records from peers when the log is
// unavailable.
package logbook

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/lease"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// Result is the result of applying a record.
type Result string

// The results of applying a record.
const (
	Accepted Result = "accepted"
	Repeated Result = "repeated" // already applied; the record was appended more than once
	Conflict Result = "conflict" // the state that earlier records led to does not allow it; also a malformed key, order or window record
	Invalid  Result = "invalid"  // content that can never be accepted
	Unknown  Result = "unknown"  // of a kind that this version does not know
	Corrupt  Result = "corrupt"  // cannot be decoded
	Restored Result = "restored" // the whole state was replaced with a snapshot
)

// Outcome is the result of applying the record at an offset, or of restoring a
// snapshot of that offset.
type Outcome struct {
	Offset id.Offset
	Record *ragwortv1.Record // nil if corrupt or restored
	Result Result
}

// Observer is called with the outcome of every applied record and of every restored
// snapshot, in log order. It must not call the state's Apply, Snapshot or Restore, since
// their lock is held.
type Observer func(Outcome)

// State is the result of applying the log's records in order. Its tables may be read
// at any time.
type State struct {
	Keys     *key.Table
	Leases   *lease.Table
	Usage    *usage.Ledger
	Orders   *fleet.OrderTable
	Bookings *booking.Table

	applyMu sync.Mutex // serialises Apply, Snapshot and Restore; guards the fields up to recentRecords
	// The record that published the rules in force.
	publishedRules *ragwortv1.RulesPublished
	writers        map[string]*ragwortv1.WriterState
	clock          recordClock
	unknown        []*ragwortv1.KeptRecord
	recentRecords  recentRecords

	mu        sync.Mutex // guards observers and changed
	observers []Observer
	changed   chan struct{}

	rules      atomic.Pointer[rule.Set]
	offset     atomic.Uint64
	checkpoint atomic.Uint64
}

// NewState returns the state before the first record of the log.
func NewState() *State {
	s := &State{
		Keys:     key.NewTable(),
		Leases:   lease.NewTable(),
		Usage:    usage.NewLedger(),
		Orders:   fleet.NewOrderTable(),
		Bookings: booking.NewTable(),
		writers:  make(map[string]*ragwortv1.WriterState),
		changed:  make(chan struct{}),
	}
	s.rules.Store(mustParseRules(""))
	return s
}

// Rules returns the rules in force.
func (s *State) Rules() *rule.Set { return s.rules.Load() }

// Offset returns the offset of the last applied record.
func (s *State) Offset() id.Offset { return id.Offset(s.offset.Load()) }

// CheckpointOffset returns the offset of the state in the newest checkpoint.
func (s *State) CheckpointOffset() id.Offset { return id.Offset(s.checkpoint.Load()) }

// Observe adds an observer of applied records and restored snapshots.
func (s *State) Observe(o Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, o)
}

// Changed returns a channel that is closed when the next payload is applied or a
// snapshot is restored.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply applies the records in the payload at an offset. It ignores an offset that is
// not higher than the last one applied, so the state never moves backwards.
func (s *State) Apply(offset id.Offset, payload []byte) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if offset <= s.Offset() {
		return
	}
	var outcomes []Outcome
	var batch ragwortv1.Batch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		outcomes = append(outcomes, Outcome{Offset: offset, Result: Corrupt})
		batch.Records = nil
	}
	for _, r := range batch.GetRecords() {
		outcomes = append(outcomes, Outcome{Offset: offset, Record: r, Result: s.applyRecord(offset, r)})
	}
	s.prune(offset)
	s.recentRecords.add(offset, payload)
	s.offset.Store(uint64(offset))
	s.notify(outcomes)
}

// notify closes the channel that Changed returned, and then calls the observers with each
// outcome.
func (s *State) notify(outcomes []Outcome) {
	s.mu.Lock()
	observers := s.observers
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	for _, o := range outcomes {
		for _, observe := range observers {
			observe(o)
		}
	}
}
