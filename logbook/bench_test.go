package logbook_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// stateWithKeys returns a state with n keys, and the payload that adds one more key.
func stateWithKeys(n int) (*logbook.State, []byte) {
	s := logbook.NewState()
	var next []byte
	for i := range n + 1 {
		next, _ = proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{{
			Writer: "ctl", Sequence: uint64(i + 1), WrittenUnixMs: 1_800_000_000_000,
			Body: &ragwortv1.Record_KeyGiven{KeyGiven: &ragwortv1.KeyGiven{
				Key: fmt.Sprintf("%026d", i), Digest: make([]byte, 32), Workspace: fmt.Sprintf("workspace-%d", i%2100), Comment: "for the forge",
			}},
		}}})
		if i < n {
			s.Apply(id.Offset(i+1), next)
		}
	}
	return s, next
}

// BenchmarkFetch compares the costs of updating a peer that is one record behind: by
// sending the record, and by sending the whole state with 10,000 keys.
func BenchmarkFetch(b *testing.B) {
	const keys = 10_000
	s, _ := stateWithKeys(keys)
	restored := logbook.NewState()
	restored.Restore(s.Snapshot()) // a restored state keeps no recent records
	for name, peer := range map[string]*logbook.State{"records": s, "state": restored} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = proto.Size(logbook.AnswerFetch(peer, &ragwortv1.FetchRequest{AfterOffset: keys - 1}))
			}
			b.ReportMetric(float64(size), "B/fetch")
		})
	}
}

// BenchmarkApply applies one record to a state with 10,000 keys.
func BenchmarkApply(b *testing.B) {
	const keys = 10_000
	s, payload := stateWithKeys(keys)
	offset := id.Offset(keys)
	for b.Loop() {
		offset++
		s.Apply(offset, payload)
	}
}
