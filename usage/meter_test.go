package usage_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/usage"
)

// TestMeterConcurrentAddAndTake checks that no usage is lost when Add and Take run
// concurrently.
func TestMeterConcurrentAddAndTake(t *testing.T) {
	var m usage.Meter
	sum := make(usage.Lines)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 1000 {
				m.Add(usage.Window(n%3), usage.LineKey{Workspace: id.Workspace(fmt.Sprint(n % 7))}, usage.Counts{Requests: 1, OutputTokens: id.Tokens(i)})
			}
		})
	}
	for range 100 {
		for _, lines := range m.Take() {
			sum.AddAll(lines)
		}
	}
	wg.Wait()
	for _, lines := range m.Take() {
		sum.AddAll(lines)
	}
	require.Equal(t, usage.Counts{Requests: 8000, OutputTokens: 28000}, sum.Total())
	require.Zero(t, m.Pending())
}

// BenchmarkMeterAdd counts usage of 2,100 workspaces on all processors.
func BenchmarkMeterAdd(b *testing.B) {
	var m usage.Meter
	keys := make([]usage.LineKey, 2100)
	for i := range keys {
		keys[i] = usage.LineKey{Workspace: id.Workspace(fmt.Sprintf("workspace-%04d", i)), Class: "counter", Model: "temper-70b"}
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			m.Add(60, keys[i%len(keys)], usage.Counts{Requests: 1, PromptTokens: 800, OutputTokens: 300})
		}
	})
}

// BenchmarkLedgerApplyCounted applies the record that an entry appends every 5 s in a
// deployment of full size: 70 lines.
func BenchmarkLedgerApplyCounted(b *testing.B) {
	lines := make(usage.Lines)
	for i := range 70 {
		lines.Add(usage.LineKey{Workspace: id.Workspace(fmt.Sprintf("workspace-%04d", i)), Class: "counter", Model: "temper-70b"},
			usage.Counts{Requests: 1, PromptTokens: 800, OutputTokens: 300})
	}
	record := usage.CountedRecord(1_780_000_020, lines)
	l := usage.NewLedger()
	for b.Loop() {
		l.ApplyCounted(record)
	}
	b.ReportMetric(float64(proto.Size(record))/70, "bytes/line")
}
