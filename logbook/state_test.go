package logbook_test

// This file compares State with a reference implementation on random logs, and fuzzes
// the decoding of payloads.

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const unknownKind = 99 // protobuf field number of a record kind that does not exist

// reference is the reference implementation of State. It keeps every record and
// searches all of them.
type reference struct {
	records []*ragwortv1.Record // without repeats
	offsets []uint64            // of the records, by index
	state   *ragwortv1.State
	expired []bool // whether the booking at the same index of state.Bookings has expired
}

func (ref *reference) apply(offset uint64, payload []byte) {
	ref.state.Offset = offset
	var batch ragwortv1.Batch
	if proto.Unmarshal(payload, &batch) == nil {
		for _, r := range batch.GetRecords() {
			ref.applyRecord(offset, r)
		}
	}
	for i, b := range ref.state.Bookings {
		if b.GetWrittenUnixMs()+booking.Retention.Milliseconds() <= ref.state.ClockUnixMs {
			ref.expired[i] = true
		}
	}
}

func (ref *reference) applyRecord(offset uint64, r *ragwortv1.Record) {
	for _, old := range ref.records {
		if old.GetWriter() == r.GetWriter() && old.GetSequence() >= r.GetSequence() {
			return
		}
	}
	if r.GetSequence() == 0 {
		return
	}
	ref.records = append(ref.records, r)
	ref.offsets = append(ref.offsets, offset)
	step := max(min(r.GetWrittenUnixMs()-ref.state.ClockUnixMs, 1000), -1000)
	if len(ref.records) == 1 {
		step = r.GetWrittenUnixMs()
	}
	ref.state.ClockUnixMs += step
	stamp := min(max(r.GetWrittenUnixMs(), ref.state.ClockUnixMs), ref.state.ClockUnixMs+24*time.Hour.Milliseconds())
	switch b := r.GetBody().(type) {
	case *ragwortv1.Record_RulesPublished:
		if b.RulesPublished.GetBaseOffset() == ref.state.RulesOffset && strings.HasPrefix(b.RulesPublished.GetText(), "class") {
			ref.state.Rules, ref.state.RulesOffset = b.RulesPublished, offset
		}
	case *ragwortv1.Record_KeyGiven:
		used := slices.Contains(ref.state.WithdrawnKeys, b.KeyGiven.GetKey())
		for _, k := range ref.state.Keys {
			used = used || k.GetKey() == b.KeyGiven.GetKey()
		}
		if !used {
			ref.state.Keys = append(ref.state.Keys, b.KeyGiven)
		}
	case *ragwortv1.Record_KeyWithdrawn:
		if !slices.Contains(ref.state.WithdrawnKeys, b.KeyWithdrawn.GetKey()) {
			ref.state.WithdrawnKeys = append(ref.state.WithdrawnKeys, b.KeyWithdrawn.GetKey())
		}
	case *ragwortv1.Record_BookingIntended:
		ref.applyIntent(offset, stamp, b.BookingIntended)
	case *ragwortv1.Record_BookingSettled:
		if i := ref.find(b.BookingSettled.GetWorkspace(), b.BookingSettled.GetIdempotencyKey()); i >= 0 {
			if c := ref.state.Bookings[i]; c.GetSettled() == nil && c.GetIntent().GetRequest() == b.BookingSettled.GetRequest() {
				c.Settled, c.WrittenUnixMs = b.BookingSettled, stamp
			}
		}
	case *ragwortv1.Record_CheckpointTaken:
		if u := b.CheckpointTaken.GetUpToOffset(); u < offset && u > ref.state.CheckpointOffset && u == b.CheckpointTaken.GetState().GetOffset() {
			ref.state.CheckpointOffset = u
		}
	default:
		ref.state.Unknown = append(ref.state.Unknown, &ragwortv1.KeptRecord{Offset: offset, Record: r})
	}
}

func (ref *reference) find(ws, key string) int {
	for i, b := range ref.state.Bookings {
		if b.GetIntent().GetWorkspace() == ws && b.GetIntent().GetIdempotencyKey() == key && !ref.expired[i] {
			return i
		}
	}
	return -1
}

func (ref *reference) applyIntent(offset uint64, stamp int64, b *ragwortv1.BookingIntended) {
	if i := ref.find(b.GetWorkspace(), b.GetIdempotencyKey()); i >= 0 {
		if ref.state.Bookings[i].GetSettled().GetOutcome() != string(booking.NotRun) {
			return
		}
		ref.expired[i] = true
	}
	ref.state.Bookings = append(ref.state.Bookings, &ragwortv1.BookingState{Intent: b, IntentOffset: offset, WrittenUnixMs: stamp})
	ref.expired = append(ref.expired, false)
}

// snapshot returns the state without expired bookings and in the order of a snapshot.
func (ref *reference) snapshot() *ragwortv1.State {
	out := proto.CloneOf(ref.state)
	out.Bookings = nil
	for i, b := range ref.state.Bookings {
		if !ref.expired[i] {
			out.Bookings = append(out.Bookings, b)
		}
	}
	slices.SortFunc(out.Bookings, func(a, b *ragwortv1.BookingState) int {
		return strings.Compare(a.GetIntent().GetWorkspace()+"\x00"+a.GetIntent().GetIdempotencyKey(), b.GetIntent().GetWorkspace()+"\x00"+b.GetIntent().GetIdempotencyKey())
	})
	slices.SortFunc(out.Keys, func(a, b *ragwortv1.KeyGiven) int { return strings.Compare(a.GetKey(), b.GetKey()) })
	slices.Sort(out.WithdrawnKeys)
	last := make(map[string]*ragwortv1.WriterState)
	for i, r := range ref.records {
		last[r.GetWriter()] = &ragwortv1.WriterState{Writer: r.GetWriter(), Sequence: r.GetSequence(), Offset: ref.offsets[i]}
	}
	for _, w := range last {
		out.Writers = append(out.Writers, w)
	}
	slices.SortFunc(out.Writers, func(a, b *ragwortv1.WriterState) int { return strings.Compare(a.GetWriter(), b.GetWriter()) })
	return out
}

// The highest kinds of record that drawRecord may draw. Kind allKinds is a checkpoint
// with a made-up state.
const (
	kindsWithoutCheckpoint = 6
	allKinds               = 7
)

// drawHistory returns the payloads of a random log with records of all kinds.
func drawHistory(t *rapid.T) [][]byte { return drawKinds(t, allKinds) }

// drawKinds returns the payloads of a random log with records of the kinds up to the
// given one.
func drawKinds(t *rapid.T, kinds int) [][]byte {
	name := func(prefix string, n int) string {
		return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, n).Draw(t, prefix))
	}
	sequences := make(map[string]uint64)
	var history [][]byte
	now := int64(1_800_000_000_000)
	for range rapid.IntRange(1, 60).Draw(t, "appends") {
		if rapid.IntRange(0, 19).Draw(t, "corrupt") == 0 {
			history = append(history, []byte{0xff, 0x01, 0x02})
			continue
		}
		var batch ragwortv1.Batch
		for range rapid.IntRange(0, 3).Draw(t, "records") {
			now += rapid.SampledFrom([]int64{0, 1, 900, 40_000, -40_000, 90_000_000}).Draw(t, "step")
			r := drawRecord(t, name, kinds, uint64(len(history)))
			r.Writer, r.WrittenUnixMs = name("w", 3), now
			sequences[r.Writer] += uint64(rapid.IntRange(0, 2).Draw(t, "sequence")) // 0: repeats the previous record's sequence
			r.Sequence = sequences[r.Writer]
			batch.Records = append(batch.Records, r)
		}
		payload, err := proto.Marshal(&batch)
		require.NoError(t, err)
		history = append(history, payload)
	}
	return history
}

// drawRecord returns a random record without writer, sequence and time.
func drawRecord(t *rapid.T, name func(string, int) string, kinds int, offset uint64) *ragwortv1.Record {
	digest := sha256.Sum256([]byte(name("d", 1)))
	switch rapid.IntRange(0, kinds).Draw(t, "kind") {
	case 0:
		text := rapid.SampledFrom([]string{"class name=a tier=gold # Malee", "bad"}).Draw(t, "text")
		return &ragwortv1.Record{Body: &ragwortv1.Record_RulesPublished{RulesPublished: &ragwortv1.RulesPublished{
			Text: text, BaseOffset: uint64(rapid.IntRange(0, 3).Draw(t, "base")), Operator: name("o", 1),
		}}}
	case 1:
		return &ragwortv1.Record{Body: &ragwortv1.Record_KeyGiven{KeyGiven: &ragwortv1.KeyGiven{
			Key: name("k", 4), Workspace: name("ws", 1), Digest: digest[:], Classes: []string{"a"},
		}}}
	case 2:
		return &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: name("k", 4)}}}
	case 3, 4:
		return &ragwortv1.Record{Body: &ragwortv1.Record_BookingIntended{BookingIntended: &ragwortv1.BookingIntended{
			Workspace: name("ws", 1), IdempotencyKey: name("b", 2), Request: name("rq", 5), BodyDigest: digest[:],
		}}}
	case 5:
		outcome := rapid.SampledFrom([]booking.Outcome{booking.Answered, booking.NotRun, booking.Unknown}).Draw(t, "outcome")
		return &ragwortv1.Record{Body: &ragwortv1.Record_BookingSettled{BookingSettled: &ragwortv1.BookingSettled{
			Workspace: name("ws", 1), IdempotencyKey: name("b", 2), Request: name("rq", 5), Outcome: string(outcome), Body: []byte("x"),
		}}}
	case allKinds:
		upTo := uint64(rapid.IntRange(0, int(offset)+1).Draw(t, "up to"))
		return &ragwortv1.Record{Body: &ragwortv1.Record_CheckpointTaken{CheckpointTaken: &ragwortv1.CheckpointTaken{
			UpToOffset: upTo, State: &ragwortv1.State{Offset: upTo},
		}}}
	default:
		r := &ragwortv1.Record{}
		r.ProtoReflect().SetUnknown(protowire.AppendString(protowire.AppendTag(nil, unknownKind, protowire.BytesType), "later"))
		return r
	}
}

// TestStateMatchesReference applies random logs as a whole, and from a snapshot at a
// random offset on, and compares both states with the reference byte for byte.
func TestStateMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		snapshotOffset := rapid.IntRange(0, len(history)).Draw(t, "cut")
		whole, restored := logbook.NewState(), logbook.NewState()
		ref := &reference{state: &ragwortv1.State{}}
		apply := func(s *logbook.State, from int) {
			for i := from; i < len(history); i++ {
				s.Apply(id.Offset(i+1), history[i])
			}
		}
		for i, payload := range history {
			if i == snapshotOffset && snapshotOffset > 0 {
				require.True(t, restored.Restore(whole.Snapshot()))
			}
			whole.Apply(id.Offset(i+1), payload)
			ref.apply(uint64(i+1), payload)
		}
		if snapshotOffset == len(history) {
			require.True(t, restored.Restore(whole.Snapshot()))
		}
		apply(restored, max(0, snapshotOffset-3)) // applying records that the snapshot includes must change nothing
		want := ref.snapshot()
		require.Equal(t, want.String(), whole.Snapshot().String())
		require.True(t, bytes.Equal(logbook.Marshal(want), logbook.Marshal(whole.Snapshot())))
		require.True(t, bytes.Equal(logbook.Marshal(want), logbook.Marshal(restored.Snapshot())), "the state restored at offset %d differs from the reference", snapshotOffset)
		require.False(t, restored.Restore(whole.Snapshot()), "a state must not be replaced with a snapshot of the same offset")
	})
}

// FuzzFold applies any payload. It must not panic, and the resulting state must be the
// same after a snapshot and restore.
func FuzzFold(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0xff, 0x01})
	for seed := range 20 {
		for _, payload := range rapid.Custom(drawHistory).Example(seed) {
			f.Add(payload)
		}
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		s := logbook.NewState()
		s.Apply(1, payload)
		s.Apply(2, payload)
		snapshot := s.Snapshot()
		restored := logbook.NewState()
		if !restored.Restore(snapshot) {
			t.Fatal("Restore rejected a snapshot")
		}
		if !bytes.Equal(logbook.Marshal(snapshot), logbook.Marshal(restored.Snapshot())) {
			t.Fatalf("restored state differs:\n%v\n%v", snapshot, restored.Snapshot())
		}
	})
}
