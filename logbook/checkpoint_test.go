package logbook_test

// This file tests checkpoints, the pruning of writers, and fetching from peers.

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// memoryLog is a log in memory that keeps its records from offset first on.
type memoryLog struct {
	first   id.Offset
	records [][]byte // the record at index i has offset i+1
}

func (m *memoryLog) Append(context.Context, []byte) (id.Offset, error) { panic("unreachable") }

func (m *memoryLog) Read(_ context.Context, after id.Offset, _ time.Duration) (hosting.Page, error) {
	page := hosting.Page{OldestOffset: m.first, NewestOffset: id.Offset(len(m.records))}
	if after+1 < m.first {
		return page, &hosting.TrimmedError{After: after, Oldest: m.first}
	}
	for i := after; i < page.NewestOffset && len(page.Records) < 7; i++ {
		page.Records = append(page.Records, hosting.Record{Offset: i + 1, Payload: m.records[i]})
	}
	return page, nil
}

// TestLoadFromCheckpoint loads random logs whose first records were trimmed, and which
// hold a checkpoint at a random position after the records that it covers.
func TestLoadFromCheckpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawKinds(t, kindsWithoutCheckpoint)
		upTo := rapid.IntRange(1, len(history)).Draw(t, "covered")
		covered := logbook.NewState()
		for i := range upTo {
			covered.Apply(id.Offset(i+1), history[i])
		}
		payload, err := proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{{
			Writer: "checkpointer", Sequence: 1,
			Body: &ragwortv1.Record_CheckpointTaken{CheckpointTaken: &ragwortv1.CheckpointTaken{
				UpToOffset: uint64(upTo), State: covered.Snapshot(),
			}},
		}}})
		require.NoError(t, err)
		history = slices.Insert(history, rapid.IntRange(upTo, len(history)).Draw(t, "place"), payload)
		complete := logbook.NewState()
		for i, p := range history {
			complete.Apply(id.Offset(i+1), p)
		}
		l := &memoryLog{first: id.Offset(rapid.IntRange(1, upTo+1).Draw(t, "first")), records: history}
		loaded := logbook.NewState()
		require.NoError(t, logbook.Load(context.Background(), l, loaded))
		require.Equal(t, complete.Snapshot().String(), loaded.Snapshot().String())
	})
}

// TestTrimmedWithoutCheckpoint checks that a trimmed log without a checkpoint is
// reported as an error instead of being loaded in part.
func TestTrimmedWithoutCheckpoint(t *testing.T) {
	l := &memoryLog{first: 3, records: [][]byte{{}, {}, {}, {}}}
	s := logbook.NewState()
	var trimmed *hosting.TrimmedError
	require.ErrorAs(t, logbook.Load(t.Context(), l, s), &trimmed)
	require.Zero(t, s.Offset())
}

// TestSilentWritersArePruned checks that the state drops writers without recent
// records, so that the number of stored writers stays bounded.
func TestSilentWritersArePruned(t *testing.T) {
	s := logbook.NewState()
	apply := func(at id.Offset, writer string) {
		payload, err := proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{{Writer: writer, Sequence: 1}}})
		require.NoError(t, err)
		s.Apply(at, payload)
	}
	apply(1, "old")
	apply(1<<19, "new")
	apply(1<<20, "newer")
	require.Len(t, s.Snapshot().GetWriters(), 3)
	apply(1<<20+1<<12, "newest")
	require.Len(t, s.Snapshot().GetWriters(), 3)
}

// TestCheckpointDue checks that a checkpoint is due one interval after the newest one, and
// never if the interval is zero.
func TestCheckpointDue(t *testing.T) {
	c := logbook.CheckpointConfig{Interval: 10}
	require.False(t, c.Due(9, 0))
	require.True(t, c.Due(10, 0))
	require.False(t, c.Due(19, 10))
	require.False(t, logbook.CheckpointConfig{}.Due(1000, 0))
}

// TestLagDetector checks when a process fetches from a peer.
func TestLagDetector(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	cases := []struct {
		name  string
		after []time.Duration // times of the heartbeats, in milliseconds after start
		own   []id.Offset
		peer  []id.Offset
		fetch []bool
	}{
		{"never behind", []time.Duration{0, 500, 1000}, []id.Offset{5, 5, 6}, []id.Offset{5, 5, 6}, []bool{false, false, false}},
		{"the log is read in time", []time.Duration{0, 500}, []id.Offset{5, 6}, []id.Offset{6, 6}, []bool{false, false}},
		{"busy log", []time.Duration{0, 500, 1000, 1500}, []id.Offset{5, 8, 11, 14}, []id.Offset{6, 9, 12, 15}, []bool{false, false, false, false}},
		{"the log is unavailable", []time.Duration{0, 500, 1000}, []id.Offset{5, 5, 9}, []id.Offset{6, 9, 9}, []bool{false, true, false}},
		{"two peers at once", []time.Duration{0, 1, 500}, []id.Offset{5, 5, 5}, []id.Offset{6, 6, 6}, []bool{false, false, true}},
	}
	for _, c := range cases {
		var lag logbook.LagDetector
		for i := range c.after {
			now := start.Add(c.after[i] * time.Millisecond)
			require.Equal(t, c.fetch[i], lag.Observe(now, c.own[i], c.peer[i]), "%s: heartbeat %d", c.name, i)
		}
	}
}

// TestFetchFromPeer checks that a fetch brings a state up to date, whether or not the
// peer still keeps the missing records.
func TestFetchFromPeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		ownOffset := rapid.IntRange(0, len(history)).Draw(t, "behind at")
		peerRestoredAt := rapid.IntRange(0, len(history)).Draw(t, "peer restored at")
		own, peer, source := logbook.NewState(), logbook.NewState(), logbook.NewState()
		for i, payload := range history {
			offset := id.Offset(i + 1)
			source.Apply(offset, payload)
			if i < ownOffset {
				own.Apply(offset, payload)
			}
			if i+1 == peerRestoredAt {
				peer.Restore(source.Snapshot())
			} else {
				peer.Apply(offset, payload)
			}
		}
		rs := logbook.AnswerFetch(peer, &ragwortv1.FetchRequest{AfterOffset: uint64(own.Offset())})
		require.Equal(t, ownOffset < peerRestoredAt && ownOffset < len(history), rs.GetState() != nil)
		logbook.ApplyFetch(own, rs)
		require.Equal(t, source.Snapshot().String(), own.Snapshot().String())
		require.Equal(t, "not_newer", logbook.ApplyFetch(own, rs))
	})
}
