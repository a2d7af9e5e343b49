package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/fleet"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// scriptedEngine serves connections by writing what respond returns for the nth request of the
// nth connection, both from 0. It closes a connection after an empty response.
func scriptedEngine(t *testing.T, respond func(conn, n int, r *http.Request) string) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for conn := 0; ; conn++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					raw := respond(conn, n, r)
					if _, err := io.WriteString(c, raw); err != nil || raw == "" {
						return
					}
				}
			}()
		}
	}()
	return l
}

// rawResponse returns a response to the request with an id; without one it has no id.
func rawResponse(status int, request, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if request != "" {
		head += wire.HeaderRequestID + ": " + request + "\r\n"
	}
	return head + "\r\n" + body
}

// newServingSidecar returns the sidecar of an engine at an address, which is healthy.
func newServingSidecar(address string) *Sidecar {
	s := New(Config{Upstream: "u", UpstreamURL: "http://" + address, Models: []id.Model{"m"}}, Deps{
		State: logbook.NewState(), UpstreamClient: process.NewExternalClient(), OnceClient: process.NewNoResendClient(),
		Traces: trace.New("u", 1), Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
	})
	s.markHealthy(time.Now())
	return s
}

// serveRequest serves one request of an entry.
func serveRequest(t *testing.T, s *Sidecar, request id.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r = r.WithContext(context.WithValue(t.Context(), envelopeKey{}, wire.Envelope{Request: request}))
	s.serve(w, r)
	return w
}

// TestDialAfterSentProvesNothing has an upstream end while it runs a request on a kept connection.
// The transport sends the request again, and the dial for that fails.
func TestDialAfterSentProvesNothing(t *testing.T) {
	var runs atomic.Int64
	var l net.Listener
	l = scriptedEngine(t, func(_, n int, r *http.Request) string {
		if n == 0 {
			return rawResponse(http.StatusOK, r.Header.Get(wire.HeaderRequestID), "")
		}
		runs.Add(1)
		l.Close()
		return ""
	})
	s := newServingSidecar(l.Addr().String())
	require.Equal(t, http.StatusOK, serveRequest(t, s, "rq_1").Code)
	w := serveRequest(t, s, "rq_2")
	require.EqualValues(t, 1, runs.Load())
	require.Contains(t, w.Body.String(), "connection refused")
	require.Equal(t, string(problem.RunUnknown), gjson.Get(w.Body.String(), "run").Str)
	require.Equal(t, upstream.Gone, s.state(), "a failed dial still shows that the upstream is gone")
}

// TestDialFailedIsNotRun guards the proof that nothing was sent.
func TestDialFailedIsNotRun(t *testing.T) {
	l := scriptedEngine(t, nil)
	l.Close()
	s := newServingSidecar(l.Addr().String())
	require.Equal(t, string(problem.NotRun), gjson.Get(serveRequest(t, s, "rq_1").Body.String(), "run").Str)
	require.Equal(t, upstream.Gone, s.state())
}

// TestResponseOfAnotherRequestIsDropped has an engine repeat a response on a kept connection before
// the response to the next request. It must not be taken for the next request's, make the engine
// count as lost, or leave the connection one response behind.
func TestResponseOfAnotherRequestIsDropped(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
	}{{http.StatusServiceUnavailable, ""}, {http.StatusServiceUnavailable, "restarting"}, {http.StatusOK, ""}, {http.StatusOK, "answer"}} {
		t.Run(fmt.Sprint(tc.status, tc.body), func(t *testing.T) {
			var connections atomic.Int64
			l := scriptedEngine(t, func(conn, n int, r *http.Request) string {
				connections.Store(int64(conn) + 1)
				own := rawResponse(http.StatusOK, r.Header.Get(wire.HeaderRequestID), "own")
				if conn == 0 && n == 1 {
					return rawResponse(tc.status, "rq_1", tc.body) + own
				}
				return own
			})
			s := newServingSidecar(l.Addr().String())
			require.Equal(t, "own", serveRequest(t, s, "rq_1").Body.String())
			w := serveRequest(t, s, "rq_2")
			require.Equal(t, string(problem.AnswerCrossed), w.Header().Get(wire.HeaderRefused))
			require.Equal(t, http.StatusBadGateway, w.Code)
			require.Equal(t, string(problem.RunUnknown), gjson.Get(w.Body.String(), "run").Str)
			require.NotEqual(t, upstream.Gone, s.state())
			w = serveRequest(t, s, "rq_3")
			require.Equal(t, "own", w.Body.String())
			require.Equal(t, "rq_3", w.Header().Get(wire.HeaderRequestID))
			require.EqualValues(t, 2, connections.Load())
		})
	}
}

// TestLateResponseIsNotAnOrdersSuccess has an engine repeat a response on a kept connection when an
// order arrives on it, and then refuse the order.
func TestLateResponseIsNotAnOrdersSuccess(t *testing.T) {
	l := scriptedEngine(t, func(_, n int, r *http.Request) string {
		if r.URL.Path != "/v1/orders" {
			return rawResponse(http.StatusOK, r.Header.Get(wire.HeaderRequestID), "")
		}
		refusal := rawResponse(http.StatusConflict, "", "busy")
		if n > 0 {
			return rawResponse(http.StatusOK, "", "") + refusal
		}
		return refusal
	})
	s := newServingSidecar(l.Addr().String())
	require.Equal(t, http.StatusOK, serveRequest(t, s, "rq_1").Code)
	s.probe(t.Context())
	order := &ragwortv1.OrderDecided{Order: "o", Term: 1, Kind: string(fleet.LoadModel), Model: "m", DeadlineUnixMs: time.Now().Add(time.Minute).UnixMilli()}
	require.Equal(t, refusedFailed, s.orders.execute(t.Context(), order))
}
