package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/quarantine"
	"github.com/ragwortpass/ragwortpass/standin"
)

// crashTime exceeds the time within which two crashes count as one.
const crashTime = 120 * time.Millisecond

// serveCrashing adds an upstream that crashes under requests with the part bad in their prompts.
func (f *fixture) serveCrashing(arrived *atomic.Int64) {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		standin.SignResponse(w.Header(), standin.ParseReplicaRequest(r.Header).Request)
		parts := standin.PromptParts(r.Header)
		if !slices.Contains(parts[:len(parts)-1], "bad") {
			_, _ = io.WriteString(w, eventText(1))
			return
		}
		arrived.Add(1)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(crashTime)
		server.Listener.Close()
		server.CloseClientConnections()
	}))
	f.t.Cleanup(server.Close)
	f.addUpstream(strings.TrimPrefix(server.URL, "http://"))
}

// callPrompt sends a request with parts in its prompt.
func (f *fixture) callPrompt(path string, parts ...string) response {
	r := f.request(f.t.Context(), http.MethodPost, path, "p")
	standin.SetPrompt(r.Header, "m", parts...)
	return f.do(r)
}

// TestRequestEndsTwoUpstreamsAtMost guards against one request that crashes as many upstreams as its
// route has attempts.
func TestRequestEndsTwoUpstreamsAtMost(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int64
	for range 4 {
		f.serveCrashing(&arrived)
	}
	got := f.callPrompt("/resumable/x", "first", "bad", "own")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.EqualValues(t, 2, arrived.Load())
	require.Len(t, f.logged("stop crashes"), 1)
}

// TestHeldPartIsRefused checks what callers hear of a part under which upstreams have crashed, and that
// requests with the other parts of its prompts run.
func TestHeldPartIsRefused(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int64
	for range 4 {
		f.serveCrashing(&arrived)
	}
	f.callPrompt("/resumable/x", "first", "bad", "own-1")
	f.callPrompt("/stream/x", "first", "bad", "own-2")
	require.EqualValues(t, 3, arrived.Load())
	got := f.callPrompt("/resumable/x", "first", "bad", "own-3")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Empty(t, got.header.Get("Retry-After"))
	require.Contains(t, got.body, `"reason":"prompt_held"`)
	require.Contains(t, got.body, `"run":"not_run"`)
	require.EqualValues(t, 3, arrived.Load())
	require.Len(t, f.logged("event prompt_held part bad crashes 3"), 1)
	require.Equal(t, eventText(1), f.callPrompt("/resumable/x", "first", "own-4").body)
	require.Equal(t, eventText(1), f.callPrompt("/resumable/x", "first", "other", "bad").body, "the last part is the request's own")
}

// TestLostResponsesHoldNothing guards against blaming prompts for responses that are cut while
// their upstreams live on.
func TestLostResponsesHoldNothing(t *testing.T) {
	f := newFixture(t)
	var arrived atomic.Int64
	for range 6 {
		f.serveUpstream(func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
			time.Sleep(crashTime / 4)
			panic(http.ErrAbortHandler)
		})
	}
	for range 4 {
		require.Equal(t, http.StatusBadGateway, f.callPrompt("/resumable/x", "first", "part", "own").status)
	}
	require.EqualValues(t, 12, arrived.Load())
	require.Empty(t, f.quarantine.Holds(time.Now()))
}

// TestPendingAttemptEndsWhenPartIsHeld checks that a request that waits at an engine does not crash
// it once a part of its prompt is held.
func TestPendingAttemptEndsWhenPartIsHeld(t *testing.T) {
	f := newFixture(t)
	arrived, left := make(chan struct{}), make(chan struct{})
	f.serveUpstream(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices only then that the sender has left
		close(arrived)
		<-r.Context().Done()
		close(left)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	r := f.request(ctx, http.MethodPost, "/resumable/x", "p")
	standin.SetPrompt(r.Header, "m", "first", "bad", "own")
	go func() {
		<-arrived
		f.gateway.ApplyHolds(f.quarantine.Restore(time.Now(), []quarantine.Hold{{Part: "bad", Since: time.Now(), Crashes: 3}}))
	}()
	got := f.do(r)
	require.Equal(t, http.StatusBadGateway, got.status, "it may have run")
	require.Contains(t, got.body, `"reason":"prompt_held"`)
	<-left
}
