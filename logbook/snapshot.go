package logbook

// This file defines how the whole state is written down and read back. Every table
// writes its own part, in a fixed order, so that two processes at the same offset
// write the same bytes.

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// table is a part of the state that writes itself down and reads itself back.
type table interface {
	Snapshot(to *ragwortv1.State)
	Restore(from *ragwortv1.State)
}

// tables returns the parts of the state that package journal does not fold itself.
func (s *State) tables() []table { return []table{s.Keys, s.Leases, s.Usage, s.Orders, s.Bookings} }

// Snapshot returns the state at its present offset.
func (s *State) Snapshot() *ragwortv1.State {
	s.fold.Lock()
	defer s.fold.Unlock()
	out := &ragwortv1.State{
		Offset:           uint64(s.Offset()),
		RulesOffset:      uint64(s.Rules().Offset),
		CheckpointOffset: uint64(s.CheckpointOffset()),
	}
	if s.published != nil {
		out.Rules = proto.CloneOf(s.published)
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

// Marshal returns the bytes of a snapshot; equal snapshots have equal bytes.
func Marshal(st *ragwortv1.State) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(st)
	if err != nil {
		panic("a snapshot always encodes")
	}
	return data
}

// Restore replaces the state by a snapshot of a later offset. It reports false, and
// changes nothing, if the snapshot is not later or its rules cannot be read.
func (s *State) Restore(from *ragwortv1.State) bool {
	s.fold.Lock()
	defer s.fold.Unlock()
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
	s.clock = clock{}
	if from.GetClockUnixMs() != 0 {
		s.clock.now = time.UnixMilli(from.GetClockUnixMs())
	}
	for _, t := range s.tables() {
		t.Restore(from)
	}
	s.checkpoint.Store(from.GetCheckpointOffset())
	s.foldKept(from.GetUnknown())
	s.recent.clear()
	s.offset.Store(from.GetOffset())
	s.publish([]Outcome{{Offset: id.Offset(from.GetOffset()), Result: Restored}})
	return true
}

// restoreRules takes over the rules of a snapshot.
func (s *State) restoreRules(from *ragwortv1.State) bool {
	text := from.GetRules().GetText()
	set, err := rule.Parse("rules", text)
	if err != nil {
		return false
	}
	set.Offset = id.Offset(from.GetRulesOffset())
	s.published = from.GetRules()
	s.rules.Store(set)
	return true
}

// foldKept folds the kept records whose kind this version knows, and keeps the
// others. Their sequences have been noted when they were kept.
func (s *State) foldKept(kept []*ragwortv1.KeptRecord) {
	s.unknown = nil
	for _, k := range kept {
		s.applyBody(id.Offset(k.GetOffset()), s.clock.now, k.GetRecord())
	}
}
