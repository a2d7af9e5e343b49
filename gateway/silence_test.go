package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/pool"
)

// silentUpstream is an upstream that can fall silent: its open connections stay open, but
// carry nothing any more, and new ones fail.
type silentUpstream struct {
	server *httptest.Server
	silent chan struct{}
}

// serveSilent adds an upstream that answers each request with a stream of events until it is
// silenced.
func (f *fixture) serveSilent(events int) *silentUpstream {
	const eventInterval = 20 * time.Millisecond
	u := &silentUpstream{silent: make(chan struct{})}
	wait := func() bool {
		select {
		case <-u.silent:
			<-f.t.Context().Done()
			return false
		case <-time.After(eventInterval):
			return true
		}
	}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Replica-Stamp", "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := lastEvent(r) + 1; n <= events; n++ {
			if !wait() {
				return
			}
			_, _ = io.WriteString(w, eventText(n))
			_ = http.NewResponseController(w).Flush()
		}
	}))
	f.t.Cleanup(u.server.Close)
	f.t.Cleanup(u.server.CloseClientConnections)
	f.addUpstream(strings.TrimPrefix(u.server.URL, "http://"))
	return u
}

// silence makes the upstream fall silent.
func (u *silentUpstream) silence() {
	close(u.silent)
	u.server.Listener.Close()
}

// callConcurrently makes n requests at once and returns the responses.
func (f *fixture) callConcurrently(n int, path string, timeout time.Duration) []response {
	responses := make([]response, n)
	var callers sync.WaitGroup
	for i := range responses {
		req := f.request(f.t.Context(), http.MethodPost, path, "p")
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
		callers.Go(func() { responses[i] = f.do(req) })
	}
	callers.Wait()
	return responses
}

// TestRepeatableRequestsLeaveSilentUpstream guards against requests that may be repeated waiting until
// their deadline at an upstream that has gone, while others are free.
func TestRepeatableRequestsLeaveSilentUpstream(t *testing.T) {
	const events = 10
	f := newFixture(t)
	gone := f.serveSilent(events)
	f.serveSilent(events)
	time.AfterFunc(90*time.Millisecond, gone.silence) // a few events have passed
	for _, got := range f.callConcurrently(20, "/resumable/x", 2*time.Second) {
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status, got.body)
		require.Equal(t, eventTexts(1, events), got.body)
	}
}

// TestRequestsAreNotLostAtSilentUpstream guards against requests that wait until their deadline
// on a connection to an upstream that has gone without closing it, while others are free.
func TestRequestsAreNotLostAtSilentUpstream(t *testing.T) {
	const events = 3
	for _, tc := range []struct {
		name, path string
		running    int           // streams that the silence interrupts
		after      time.Duration // from the silence to the requests
	}{
		{"with streams running, once", "/stream/x", 8, 200 * time.Millisecond},
		{"with streams running, resumable", "/resumable/x", 8, 200 * time.Millisecond},
		{"idle, once", "/stream/x", 0, 1500 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			gone := f.serveSilent(events)
			f.serveSilent(events)
			f.callConcurrently(40, "/stream/x", 4*time.Second) // opens connections to both
			running, leave := context.WithCancel(t.Context())
			var callers sync.WaitGroup
			for range tc.running {
				req := f.request(running, http.MethodPost, "/stream/x", "p")
				callers.Go(func() { f.do(req) })
			}
			time.Sleep(30 * time.Millisecond) // the first event has passed
			gone.silence()
			time.Sleep(tc.after)
			for _, got := range f.callConcurrently(20, tc.path, time.Second) {
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, eventTexts(1, events), got.body)
			}
			leave()
			callers.Wait()
		})
	}
}

// TestLastAttemptStaysAtSilentUpstream guards against requests that are given up at a silent upstream
// although they cannot go elsewhere, and are answered after all.
func TestLastAttemptStaysAtSilentUpstream(t *testing.T) {
	f := newFixture(t)
	var u *httptest.Server
	u = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.Listener.Close()
		time.Sleep(time.Second)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Replica-Stamp", "signed")
	}))
	t.Cleanup(u.Close)
	f.addUpstream(strings.TrimPrefix(u.URL, "http://"))
	got := f.call(http.MethodGet, "/safe1/x", "")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status, got.body)
}

// TestRestartedUpstreamGetsNewConnections guards against requests that are lost on connections to the
// earlier start of an upstream, which went without closing them and is back at its address.
func TestRestartedUpstreamGetsNewConnections(t *testing.T) {
	f := newFixture(t)
	var starts atomic.Int64
	address := f.serveConns(func(c net.Conn, in *bufio.Reader) {
		start := starts.Load()
		for {
			r, ok := readRequest(in)
			if !ok || starts.Load() != start {
				return // the VM does not know the connection any more
			}
			_, _ = io.WriteString(c, signedHead(r, "Content-Length: 2\r\n\r\nok"))
		}
	})
	for start := range int64(2) {
		starts.Store(start)
		f.pool.Put(time.Now(), pool.Listing{ID: "i-1", Service: service, Address: address, DataCentre: "th-a", StartUnixMS: start + 1})
		for range 3 {
			got := f.call(http.MethodPost, "/once/x", "p")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status, got.body)
		}
	}
}
