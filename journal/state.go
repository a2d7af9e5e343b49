// Package journal folds the platform's log into the state that every process
// shares, follows the log, and appends to it.
//
// State is the fold: it has no clock, socket or goroutine, and two processes that
// folded the same records hold the same state. Follower feeds it from the log;
// Writer appends records and learns what became of them from the fold.
package journal

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

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
)

// Outcome tells what became of one record.
type Outcome struct {
	Offset id.Offset
	Record *ragwortv1.Record // nil if corrupt
	Result Result
}

// Observer is told the outcome of every folded record, in log order. It must not
// call the state's Fold.
type Observer func(Outcome)

// State is the fold of the log. Its tables may be read at any time; Fold has one
// caller at a time.
type State struct {
	Keys   *key.Table
	Leases *lease.Table
	Usage  *usage.Ledger
	Orders *fleet.Orders

	mu        sync.Mutex // guards writers, observers and changed
	writers   map[string]uint64
	observers []Observer
	changed   chan struct{}

	rules  atomic.Pointer[rule.Set]
	offset atomic.Uint64
}

// NewState returns the state before the first record.
func NewState() *State {
	s := &State{
		Keys:    key.NewTable(),
		Leases:  lease.NewTable(),
		Usage:   usage.NewLedger(),
		Orders:  fleet.NewOrders(),
		writers: make(map[string]uint64),
		changed: make(chan struct{}),
	}
	empty, err := rule.Read("rules", "")
	if err != nil {
		panic("an empty rules file is valid")
	}
	s.rules.Store(empty)
	return s
}

// Rules returns the rules in force.
func (s *State) Rules() *rule.Set { return s.rules.Load() }

// Offset returns the offset of the last folded record.
func (s *State) Offset() id.Offset { return id.Offset(s.offset.Load()) }

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

// Fold applies the payload at an offset. An offset that is not above the last one
// folded is ignored, so the state never goes back.
func (s *State) Fold(offset id.Offset, payload []byte) {
	if offset <= s.Offset() {
		return
	}
	var outcomes []Outcome
	var batch ragwortv1.Batch
	if err := proto.Unmarshal(payload, &batch); err != nil {
		outcomes = append(outcomes, Outcome{Offset: offset, Result: Corrupt})
	}
	for _, r := range batch.GetRecords() {
		outcomes = append(outcomes, Outcome{Offset: offset, Record: r, Result: s.apply(offset, r)})
	}
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

// apply folds one record unless it repeats an earlier one.
func (s *State) apply(offset id.Offset, r *ragwortv1.Record) Result {
	if s.repeated(r) {
		return Repeated
	}
	switch b := r.GetBody().(type) {
	case *ragwortv1.Record_RulesPublished:
		return s.publishRules(offset, b.RulesPublished)
	case *ragwortv1.Record_KeyGiven:
		return accepted(s.Keys.Give(b.KeyGiven), Conflict)
	case *ragwortv1.Record_KeyWithdrawn:
		return accepted(s.Keys.Withdraw(b.KeyWithdrawn), Conflict)
	default:
		return s.applyDuty(offset, r)
	}
}

// repeated notes the record's sequence and reports whether it was seen before.
func (s *State) repeated(r *ragwortv1.Record) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.GetSequence() <= s.writers[r.GetWriter()] {
		return true
	}
	s.writers[r.GetWriter()] = r.GetSequence()
	return false
}

// publishRules accepts a rules file only if it was made from the one in force.
func (s *State) publishRules(offset id.Offset, p *ragwortv1.RulesPublished) Result {
	if id.Offset(p.GetBaseOffset()) != s.Rules().Offset {
		return Conflict
	}
	set, err := rule.Read("rules", p.GetText())
	if err != nil {
		return Invalid
	}
	set.Offset = offset
	s.rules.Store(set)
	return Accepted
}

func accepted(ok bool, otherwise Result) Result {
	if ok {
		return Accepted
	}
	return otherwise
}
