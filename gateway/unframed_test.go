package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// serveUnframed adds an upstream that answers each request with a head and a body without a length
// or chunks, and then closes the connection, or resets it. It returns the number of requests.
func (f *fixture) serveUnframed(body string, reset bool) *atomic.Int64 {
	served := new(atomic.Int64)
	f.serveConns(func(c net.Conn, in *bufio.Reader) {
		r, ok := readRequest(in)
		if !ok {
			return
		}
		served.Add(1)
		_, _ = io.WriteString(c, signedHead(r, "\r\n"+body))
		if tcp, ok := c.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	})
	return served
}

// TestUnframedResponses guards against responses that end with their connection being taken for
// broken ones, and the other way round.
func TestUnframedResponses(t *testing.T) {
	whole := eventTexts(1, 3)
	for _, tc := range []struct {
		name, path, body string
		reset            bool
		want             string // empty: the caller must not get a complete response
	}{
		{"buffered", "/safe1/x", "answer", false, "answer"},
		{"stream", "/stream/x", whole, false, whole},
		{"stream that ends inside an event", "/stream/x", strings.TrimSuffix(whole, "\n"), false, ""},
		{"stream that ends before its first event", "/stream/x", "", false, ""},
		{"stream that is reset", "/stream/x", whole, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.serveUnframed(tc.body, tc.reset)
			got := f.do(f.request(t.Context(), http.MethodPost, tc.path, "p"))
			if tc.want == "" {
				require.True(t, got.err != nil || got.status == http.StatusBadGateway, "%+v", got)
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, tc.want, got.body)
		})
	}
}

// TestUnframedStreamIsResumed checks that a stream whose connection ended inside an event goes on
// at another upstream.
func TestUnframedStreamIsResumed(t *testing.T) {
	f := newFixture(t)
	whole := eventTexts(1, 4)
	broken := f.serveUnframed(whole[:len(eventTexts(1, 2))+3], false)
	f.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventTexts(lastEvent(r)+1, 4))
	})
	for broken.Load() == 0 {
		got := f.do(f.request(t.Context(), http.MethodPost, "/resumable/x", "p"))
		require.NoError(t, got.err)
		require.Equal(t, whole, got.body)
	}
}
