package trace_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/trace"
)

var start = time.Unix(1_800_000_000, 0)

// TestLogKeepsLatestRequests checks that a full log drops the oldest requests and keeps
// every decision about the newest.
func TestLogKeepsLatestRequests(t *testing.T) {
	l := trace.New("e1", 160)
	for i := range 10_000 {
		rq := id.Request(fmt.Sprint("rq_", i))
		l.Add(start, rq, "identify", "key_valid", "")
		l.Add(start.Add(time.Second), rq, "route", "chosen", "upstream=u1")
	}
	require.Empty(t, l.Explain("rq_0"))
	last := l.Explain("rq_9999")
	require.Len(t, last, 2)
	require.Equal(t, trace.Decision{At: start.Add(time.Second), Node: "e1", Step: "route", Reason: "chosen", Detail: "upstream=u1"}, last[1])
}

// BenchmarkAdd fills a log of the default size of an entry with ten decisions per request
// and reports the memory per request.
func BenchmarkAdd(b *testing.B) {
	const requests, decisions = 20_000, 10
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	l := trace.New("e1", requests)
	n := 0
	for b.Loop() {
		rq := id.Request(fmt.Sprintf("rq_%026d", n/decisions%(2*requests)))
		l.Add(start, rq, "admit", "in_turn", fmt.Sprintf("tier=gold waited=%d cost=64 queue=12 upstream=u-th-a-7", n))
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(l)
	kept := min(n/decisions, requests)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(max(1, kept)), "B/request")
}
