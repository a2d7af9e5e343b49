package logbook

// This file defines snapshots of the whole state. Every table writes its own part in
// a fixed order, so that two processes at the same offset produce the same bytes.

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// table is a part of the state that writes and restores its part of a snapshot.
type table interface {
	Snapshot(to *ragwortv1.State)
	Restore(from *ragwortv1.State)
}

// tables returns the parts of the state that are implemented by other packages.
func (s *State) tables() []table { return []table{s.Keys, s.Leases, s.Usage, s.Orders, s.Bookings} }

// Snapshot returns a snapshot of the state at its current offset.
func (s *State) Snapshot() *ragwortv1.State {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	out := &ragwortv1.State{
		Offset:           uint64(s.Offset()),
		RulesOffset:      uint64(s.Rules().Offset),
		CheckpointOffset: uint64(s.CheckpointOffset()),
	}
	if s.publishedRules != nil {
		out.Rules = proto.CloneOf(s.publishedRules)
	}
	if !s.clock.now.IsZero() {
		out.ClockUnixMs = s.clock.now.UnixMilli()
	}
	for _, w := range s.writers {
		out.Writers = append(out.Writers, proto.CloneOf(w))
	}
	slices.SortFunc(out.Writers, func(a, b *ragwortv1.WriterState) int { return strings.Compare(a.GetWriter(), b.GetWriter()) })
	for _, k := range s.unknown {
		out.Unknown = append(out.Unknown, proto.CloneOf(k))
	}
	for _, t := range s.tables() {
		t.Snapshot(out)
	}
	return out
}

// Marshal returns the encoding of a snapshot. Equal snapshots have equal encodings.
func Marshal(snapshot *ragwortv1.State) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		panic("logbook: encoding a snapshot: " + err.Error())
	}
	return data
}

// Restore replaces the state with a snapshot of a higher offset. It reports false and
// changes nothing if the snapshot's offset is not higher or its rules are invalid.
func (s *State) Restore(from *ragwortv1.State) bool {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if id.Offset(from.GetOffset()) <= s.Offset() {
		return false
	}
	from = proto.CloneOf(from)
	if !s.restoreRules(from) {
		return false
	}
	s.writers = make(map[string]*ragwortv1.WriterState, len(from.GetWriters()))
	for _, w := range from.GetWriters() {
		s.writers[w.GetWriter()] = w
	}
	s.clock = recordClock{}
	if from.GetClockUnixMs() != 0 {
		s.clock.now = time.UnixMilli(from.GetClockUnixMs())
	}
	for _, t := range s.tables() {
		t.Restore(from)
	}
	s.checkpoint.Store(from.GetCheckpointOffset())
	s.reapplyUnknown(from.GetUnknown())
	s.recentRecords.clear()
	s.offset.Store(from.GetOffset())
	s.notify([]Outcome{{Offset: id.Offset(from.GetOffset()), Result: Restored}})
	return true
}

// restoreRules puts the rules of a snapshot into force. It reports false if they are
// invalid.
func (s *State) restoreRules(from *ragwortv1.State) bool {
	text := from.GetRules().GetText()
	set, err := rule.Parse("rules", text)
	if err != nil {
		return false
	}
	set.Offset = id.Offset(from.GetRulesOffset())
	s.publishedRules = from.GetRules()
	s.rules.Store(set)
	return true
}

// reapplyUnknown applies the records that the snapshot kept as unknown and whose kind
// this version knows, and keeps the others. Their sequences were stored when they were
// first read, so they are not checked for repeats again.
func (s *State) reapplyUnknown(kept []*ragwortv1.KeptRecord) {
	s.unknown = nil
	for _, k := range kept {
		s.applyBody(id.Offset(k.GetOffset()), s.clock.now, k.GetRecord())
	}
}
