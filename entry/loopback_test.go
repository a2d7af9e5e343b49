package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const loopbackEvents = 1000

// streamAnswer streams an answer and flushes after each event, as an engine does.
func streamAnswer(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", eventStream)
	w.Header().Set(wire.HeaderRequestID, "rq_1")
	flush := http.NewResponseController(w)
	for range loopbackEvents {
		_, _ = io.WriteString(w, streamBody(contentChunk("token ")))
		_ = flush.Flush()
	}
	_, _ = io.WriteString(w, streamBody(finishChunk(), usageChunk(5, loopbackEvents), "[DONE]"))
}

// BenchmarkRelayOverLoopback relays answers between sockets. The engine and the caller
// run in the same process and share its processors, so the reported time exceeds that of
// the relay alone.
func BenchmarkRelayOverLoopback(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	engine := process.NewHTTPServer(http.HandlerFunc(streamAnswer))
	go func() { _ = engine.Serve(l) }()
	defer engine.Close()
	peers := process.NewPeerClient()
	e, _, _ := newTestAnswer()
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rq, err := http.NewRequestWithContext(context.WithoutCancel(r.Context()), http.MethodGet, "http://"+l.Addr().String(), nil)
		require.NoError(b, err)
		rs, err := peers.Do(rq)
		require.NoError(b, err)
		defer rs.Body.Close()
		_, a, _ := newTestAnswer()
		a.w = w
		require.IsType(b, &attemptAnswered{}, e.relay(a, &upstream.View{}, rs))
	}))
	defer relay.Close()
	for n := 0; n < b.N; n += loopbackEvents {
		rs, err := http.Get(relay.URL)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, rs.Body)
		require.NoError(b, err)
		rs.Body.Close()
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}
