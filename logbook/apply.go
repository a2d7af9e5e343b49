package logbook

// This file defines how records of each kind change the state.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const (
	maxUnknownRecords = 1000 // records of unknown kinds that are kept

	writerRetention     id.Offset = 1 << 20 // offsets after a writer's last record for which its sequence is kept
	writerPruneInterval id.Offset = 1 << 12 // offsets between two searches for writers to drop
)

// applyRecord applies one record unless it repeats an earlier one.
func (s *State) applyRecord(offset id.Offset, r *ragwortv1.Record) Result {
	if s.isRepeat(offset, r) {
		return Repeated
	}
	written := time.UnixMilli(r.GetWrittenUnixMs())
	s.clock.advance(written)
	return s.applyBody(offset, s.clock.timestamp(written), r)
}

// applyBody applies a record that is not a repeat. The time written is the record's
// timestamp as bounded by the clock.
func (s *State) applyBody(offset id.Offset, written time.Time, r *ragwortv1.Record) Result {
	switch b := r.GetBody().(type) {
	case *ragwortv1.Record_RulesPublished:
		return s.applyRules(offset, b.RulesPublished)
	case *ragwortv1.Record_KeyGiven:
		return resultOf(s.Keys.ApplyGiven(b.KeyGiven), Conflict)
	case *ragwortv1.Record_KeyWithdrawn:
		return resultOf(s.Keys.ApplyWithdrawn(b.KeyWithdrawn), Conflict)
	case *ragwortv1.Record_BookingIntended:
		if !booking.ValidIntent(b.BookingIntended) {
			return Invalid
		}
		return resultOf(s.Bookings.ApplyIntent(offset, written, b.BookingIntended), Conflict)
	case *ragwortv1.Record_BookingSettled:
		if !booking.ValidSettlement(b.BookingSettled) {
			return Invalid
		}
		return resultOf(s.Bookings.ApplySettlement(written, b.BookingSettled), Conflict)
	case *ragwortv1.Record_CheckpointTaken:
		return s.applyCheckpoint(offset, b.CheckpointTaken)
	default:
		result := s.applyDutyRecord(offset, r)
		if result == Unknown {
			s.keepUnknown(offset, r)
		}
		return result
	}
}

// isRepeat reports whether the record's sequence, or a later one of the same writer,
// was applied before. If not, it stores the sequence.
func (s *State) isRepeat(offset id.Offset, r *ragwortv1.Record) bool {
	w := s.writers[r.GetWriter()]
	if r.GetSequence() <= w.GetSequence() {
		return true
	}
	s.writers[r.GetWriter()] = &ragwortv1.WriterState{
		Writer: r.GetWriter(), Sequence: r.GetSequence(), Offset: uint64(offset),
	}
	return false
}

// keepUnknown stores a record of an unknown kind, so that a later version of the
// program can apply it. Beyond maxUnknownRecords the oldest are dropped.
func (s *State) keepUnknown(offset id.Offset, r *ragwortv1.Record) {
	s.unknown = append(s.unknown, &ragwortv1.KeptRecord{Offset: uint64(offset), Record: r})
	if excess := len(s.unknown) - maxUnknownRecords; excess > 0 {
		s.unknown = append([]*ragwortv1.KeptRecord(nil), s.unknown[excess:]...)
	}
}

// prune drops expired bookings, and at every writerPruneInterval the writers without
// recent records. Age is measured by the log alone, so that every process drops the same
// entries.
func (s *State) prune(offset id.Offset) {
	s.Bookings.Expire(s.clock.now)
	if offset%writerPruneInterval != 0 || offset <= writerRetention {
		return
	}
	for name, w := range s.writers {
		if id.Offset(w.GetOffset()) < offset-writerRetention {
			delete(s.writers, name)
		}
	}
}

// applyRules accepts a rules file only if it was edited from the rules in force.
func (s *State) applyRules(offset id.Offset, p *ragwortv1.RulesPublished) Result {
	if id.Offset(p.GetBaseOffset()) != s.Rules().Offset {
		return Conflict
	}
	set, err := rule.Parse("rules", p.GetText())
	if err != nil {
		return Invalid
	}
	set.Offset = offset
	s.publishedRules = p
	s.rules.Store(set)
	return Accepted
}

// applyCheckpoint stores the offset up to which the newest checkpoint reaches. The
// state in the record is not applied: it results from records before it.
func (s *State) applyCheckpoint(offset id.Offset, c *ragwortv1.CheckpointTaken) Result {
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

// resultOf returns Accepted if ok, and otherwise the given result.
func resultOf(ok bool, otherwise Result) Result {
	if ok {
		return Accepted
	}
	return otherwise
}

// mustParseRules returns the rules of a text that is known to be valid.
func mustParseRules(text string) *rule.Set {
	set, err := rule.Parse("rules", text)
	if err != nil {
		panic("logbook: parsing built-in rules: " + err.Error())
	}
	return set
}
