package booking_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// BenchmarkSettledCall measures the cost of one settled call: the time to apply both
// records, heap bytes, and checkpoint bytes.
func BenchmarkSettledCall(b *testing.B) {
	table := booking.NewTable()
	now := time.Unix(1_800_000_000, 0)
	body := []byte(`{"reference":"steel bar 40mm","run":1}`)
	digest := make([]byte, 32)
	before := heapBytes()
	b.ResetTimer()
	for i := range b.N {
		key, rq := fmt.Sprintf("idempotency-key-%024d", i), fmt.Sprintf("rq_%026d", i)
		table.ApplyIntent(id.Offset(i), now, &ragwortv1.BookingIntended{
			Workspace: "bangkok-forge", IdempotencyKey: key, Request: rq, Route: "book", BodyDigest: bytes.Clone(digest), Entry: "e1",
		})
		table.ApplySettlement(now, &ragwortv1.BookingSettled{
			Workspace: "bangkok-forge", IdempotencyKey: key, Request: rq, Outcome: "answered", Status: 201,
			ContentType: "application/json", Body: bytes.Clone(body), BodyBytes: uint64(len(body)),
		})
	}
	b.StopTimer()
	b.ReportMetric(float64(heapBytes()-before)/float64(b.N), "heap_B/call")
	var s ragwortv1.State
	table.Snapshot(&s)
	b.ReportMetric(float64(proto.Size(&s))/float64(b.N), "checkpoint_B/call")
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
