package sidecar

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/wire"
)

// limitedEngine starts an engine that names a limit as long as it is not empty, and records arrivals.
func limitedEngine(t *testing.T, limit *atomic.Value, arrivals *ragworttest.Arrivals) *Sidecar {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(time.Now())
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		if text := limit.Load().(string); text != "" {
			w.Header().Set(wire.HeaderRateLimit, text)
		}
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(server.Close)
	return newServingSidecar(strings.TrimPrefix(server.URL, "http://"))
}

// callEvery sends a request of an entry at an interval for some time.
func callEvery(t *testing.T, s *Sidecar, interval, length time.Duration) {
	var calls sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		calls.Go(func() { serveRequest(t, s, id.Request(id.New("rq", time.Now()))) })
	}
	calls.Wait()
}

// TestEngineGetsMoreThanItsLimit guards against a sidecar that does not read the limit that its engine names,
// or that does not hear of its end.
func TestEngineGetsMoreThanItsLimit(t *testing.T) {
	for text, allowed := range map[string]int{"0": 5, "1": 11, "2.5": 20} {
		t.Run(text, func(t *testing.T) {
			t.Parallel()
			var limit atomic.Value
			var arrivals ragworttest.Arrivals
			limit.Store(text)
			s := limitedEngine(t, &limit, &arrivals)
			began := time.Now()
			callEvery(t, s, 20*time.Millisecond, 5*time.Second)
			require.LessOrEqual(t, arrivals.Most(began.Add(500*time.Millisecond), 4*time.Second), allowed)
			limit.Store("")
			ended := time.Now()
			callEvery(t, s, 20*time.Millisecond, 7*time.Second)
			require.Greater(t, arrivals.Between(ended.Add(6*time.Second), ended.Add(7*time.Second)), 20)
		})
	}
}

// TestOddLimitIsIgnored guards against a limit that is no rate, and one that reaches callers.
func TestOddLimitIsIgnored(t *testing.T) {
	for _, text := range []string{"NaN", "-1", "Inf", "many", "\xff"} {
		var limit atomic.Value
		var arrivals ragworttest.Arrivals
		limit.Store(text)
		s := limitedEngine(t, &limit, &arrivals)
		for range 50 {
			w := serveRequest(t, s, id.Request(id.New("rq", time.Now())))
			require.Equal(t, http.StatusOK, w.Code)
			require.Empty(t, w.Header().Get(wire.HeaderRateLimit))
		}
	}
}

// TestRestartEndsLimit guards against a limit that outlives the start of the engine that named it.
func TestRestartEndsLimit(t *testing.T) {
	var limit atomic.Value
	var arrivals ragworttest.Arrivals
	limit.Store("0")
	s := limitedEngine(t, &limit, &arrivals)
	serveRequest(t, s, "rq_1")
	now := time.Now()
	_, limited := s.rate.take(now) // a slot may be usable at now
	require.True(t, limited)
	require.Greater(t, s.rate.next(now).Sub(now), 3*time.Second)
	require.Equal(t, s.load().Running, s.load().Limit)
	s.markLost("test")
	s.markHealthy(now)
	require.Equal(t, now, s.rate.next(now))
	require.Greater(t, s.load().Limit, s.load().Running)
}
