package logbook

// This file defines what each kind of record does to the state.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	maxUnknown = 1000 // records of unknown kinds that are kept

	writerKeep  id.Offset = 1 << 20 // offsets for which a silent writer is remembered
	writerPrune id.Offset = 1 << 12 // offsets between two searches for silent writers
)

// apply folds one record unless it repeats an earlier one.
func (s *State) apply(offset id.Offset, r *ragwortv1.Record) Result {
	if s.repeated(offset, r) {
		return Repeated
	}
	written := time.UnixMilli(r.GetWrittenUnixMs())
	s.clock.tick(written)
	return s.applyBody(offset, s.clock.stamp(written), r)
}

// applyBody folds a record that is not a repeat, with the time that counts for it.
func (s *State) applyBody(offset id.Offset, written time.Time, r *ragwortv1.Record) Result {
	switch b := r.GetBody().(type) {
	case *ragwortv1.Record_RulesPublished:
		return s.publishRules(offset, b.RulesPublished)
	case *ragwortv1.Record_KeyGiven:
		return accepted(s.Keys.ApplyGiven(b.KeyGiven), Conflict)
	case *ragwortv1.Record_KeyWithdrawn:
		return accepted(s.Keys.ApplyWithdrawn(b.KeyWithdrawn), Conflict)
	case *ragwortv1.Record_BookingIntended:
		if !booking.ValidIntent(b.BookingIntended) {
			return Invalid
		}
		return accepted(s.Bookings.ApplyIntent(offset, written, b.BookingIntended), Conflict)
	case *ragwortv1.Record_BookingSettled:
		if !booking.ValidSettlement(b.BookingSettled) {
			return Invalid
		}
		return accepted(s.Bookings.ApplySettlement(written, b.BookingSettled), Conflict)
	case *ragwortv1.Record_CheckpointTaken:
		return s.noteCheckpoint(offset, b.CheckpointTaken)
	default:
		result := s.applyDuty(offset, r)
		if result == Unknown {
			s.keep(offset, r)
		}
		return result
	}
}

// repeated notes the record's sequence and reports whether it was seen before.
func (s *State) repeated(offset id.Offset, r *ragwortv1.Record) bool {
	w := s.writers[r.GetWriter()]
	if r.GetSequence() <= w.GetSequence() {
		return true
	}
	s.writers[r.GetWriter()] = &ragwortv1.WriterState{
		Writer: r.GetWriter(), Sequence: r.GetSequence(), Offset: uint64(offset),
	}
	return false
}

// keep remembers a record of an unknown kind for a later version to fold.
func (s *State) keep(offset id.Offset, r *ragwortv1.Record) {
	s.unknown = append(s.unknown, &ragwortv1.KeptRecord{Offset: uint64(offset), Record: r})
	if over := len(s.unknown) - maxUnknown; over > 0 {
		s.unknown = append([]*ragwortv1.KeptRecord(nil), s.unknown[over:]...)
	}
}

// prune drops what is too old, by the log alone: every process drops the same.
func (s *State) prune(offset id.Offset) {
	s.Bookings.Expire(s.clock.now)
	if offset%writerPrune != 0 || offset <= writerKeep {
		return
	}
	for name, w := range s.writers {
		if id.Offset(w.GetOffset()) < offset-writerKeep {
			delete(s.writers, name)
		}
	}
}

// publishRules accepts a rules file only if it was made from the one in force.
func (s *State) publishRules(offset id.Offset, p *ragwortv1.RulesPublished) Result {
	if id.Offset(p.GetBaseOffset()) != s.Rules().Offset {
		return Conflict
	}
	set, err := rule.Parse("rules", p.GetText())
	if err != nil {
		return Invalid
	}
	set.Offset = offset
	s.published = p
	s.rules.Store(set)
	return Accepted
}

// noteCheckpoint notes how far the newest checkpoint reaches. Its state holds
// nothing new: it is the fold of records before it.
func (s *State) noteCheckpoint(offset id.Offset, c *ragwortv1.CheckpointTaken) Result {
	upTo := id.Offset(c.GetUpToOffset())
	switch {
	case upTo >= offset || c.GetState().GetOffset() != c.GetUpToOffset():
		return Invalid
	case upTo <= s.CheckpointOffset():
		return Conflict
	}
	s.checkpoint.Store(uint64(upTo))
	return Accepted
}

func accepted(ok bool, otherwise Result) Result {
	if ok {
		return Accepted
	}
	return otherwise
}

// mustRead returns the rules of a text that is known to be valid.
func mustRead(text string) *rule.Set {
	set, err := rule.Parse("rules", text)
	if err != nil {
		panic("rules: " + err.Error())
	}
	return set
}
