package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
)

// callLongPrompt sends a request with a prompt of many tokens.
func (f *fixture) callLongPrompt(path string, tokens id.Tokens) response {
	r := f.request(f.t.Context(), http.MethodPost, path, "p")
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Count", strconv.Itoa(int(tokens))+",8")
	r.Header.Set("X-Prompt-Prefix", "shared:8,own:"+strconv.Itoa(int(tokens)-8))
	return f.do(r)
}

// TestRequestsPileUpAtBusyEngine guards against requests that are sent to an engine that cannot begin them in
// time, and against a refusal that is not true or names no time.
func TestRequestsPileUpAtBusyEngine(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	var arrived atomic.Int64
	f.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\nevent: end\ndata: a\n\n")
	})
	const tokens = 39_000 // take 300 ms of the 500 ms that a request may wait
	var calls sync.WaitGroup
	for n := range 2 {
		calls.Go(func() { require.Equal(t, http.StatusOK, f.callLongPrompt("/stream/x", tokens).status) })
		require.Eventually(t, func() bool { return int(arrived.Load()) == n+1 }, 2*time.Second, time.Millisecond)
	}
	got := f.callLongPrompt("/stream/x", tokens)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Contains(t, got.body, `"reason":"upstream_overloaded"`)
	require.Contains(t, got.body, `"run":"not_run"`)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.EqualValues(t, 2, arrived.Load())
	require.Len(t, f.logged("event refused", "upstream_overloaded"), 1)
	close(release)
	calls.Wait()
	require.Equal(t, http.StatusOK, f.callLongPrompt("/stream/x", tokens).status)
}
