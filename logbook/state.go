// Package logbook folds the platform's log into the state that every process
// shares, follows the log, and appends to it.
//
// State is the fold: it has no clock, socket or goroutine, and two processes that
// folded the same records hold the same state. Follower feeds it from the log;
// Writer appends records and learns what became of them from the fold; Checkpointer
// keeps a snapshot of it on the log; Catcher feeds it from peers when the log does
// not answer.
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

// Result is what folding a record did.
type Result string

// The results of folding a record.
const (
	Accepted Result = "accepted"
	Repeated Result = "repeated" // already folded: a repeated append
	Conflict Result = "conflict" // valid, but another record came first
	Invalid  Result = "invalid"  // its content can never be accepted
	Unknown  Result = "unknown"  // of a kind this version does not know
	Corrupt  Result = "corrupt"  // cannot be decoded
	Restored Result = "restored" // the whole state came from a snapshot instead
)

// Outcome tells what became of one record.
type Outcome struct {
	Offset id.Offset
	Record *ragwortv1.Record // nil if corrupt or restored
	Result Result
}

// Observer is told the outcome of every folded record, in log order. It must not
// call the state's Fold.
type Observer func(Outcome)

// State is the fold of the log. Its tables may be read at any time.
type State struct {
	Keys     *key.Table
	Leases   *lease.Table
	Usage    *usage.Ledger
	Orders   *fleet.OrderTable
	Bookings *booking.Table

	fold sync.Mutex // one Fold, Snapshot or Restore at a time; guards the next fields
	// The rules in force as they were published.
	published *ragwortv1.RulesPublished
	writers   map[string]*ragwortv1.WriterState
	clock     clock
	unknown   []*ragwortv1.KeptRecord
	recent    recent

	mu        sync.Mutex // guards observers and changed
	observers []Observer
	changed   chan struct{}

	rules      atomic.Pointer[rule.Set]
	offset     atomic.Uint64
	checkpoint atomic.Uint64
}

// NewState returns the state before the first record.
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
	s.rules.Store(mustRead(""))
	return s
}

// Rules returns the rules in force.
func (s *State) Rules() *rule.Set { return s.rules.Load() }

// Offset returns the offset of the last folded record.
func (s *State) Offset() id.Offset { return id.Offset(s.offset.Load()) }

// CheckpointOffset returns the offset up to which the newest checkpoint reaches.
func (s *State) CheckpointOffset() id.Offset { return id.Offset(s.checkpoint.Load()) }

// Observe adds an observer of folded records.
func (s *State) Observe(o Observer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observers = append(s.observers, o)
}

// Changed returns a channel that is closed at the next folded record.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply applies the payload at an offset. An offset that is not above the last one
// folded is ignored, so the state never goes back.
func (s *State) Apply(offset id.Offset, payload []byte) {
	s.fold.Lock()
	defer s.fold.Unlock()
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
		outcomes = append(outcomes, Outcome{Offset: offset, Record: r, Result: s.apply(offset, r)})
	}
	s.prune(offset)
	s.recent.add(offset, payload)
	s.offset.Store(uint64(offset))
	s.publish(outcomes)
}

// publish tells the observers and wakes those who wait for a change.
func (s *State) publish(outcomes []Outcome) {
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
