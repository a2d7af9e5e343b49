package entry

// This file tests that callers are not told that a request has not run unless that is known.

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/booking"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/retry"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// newTestLoop returns the loop of a request that has made an attempt which may have run.
func newTestLoop(repeat rule.RepeatPolicy) (*retryLoop, *httptest.ResponseRecorder) {
	e, a, w := newTestAnswer()
	e.deps.Traces, e.deps.Logger = trace.New("e", 1), log.NewNopLogger()
	a.rq.route = &rule.Route{Repeat: repeat}
	return &retryLoop{e: e, a: a, budget: retry.NewBudget(time.Now()), mayHaveRun: true}, w
}

// TestRefusalAfterAnAttemptPromisesNothing refuses a request whose first attempt may have run
// because no upstream is left for the second, or because the retry budget is spent.
func TestRefusalAfterAnAttemptPromisesNothing(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	t.Run("queue full", func(t *testing.T) {
		l, w := newTestLoop("")
		l.finishFailed(r, problem.New(problem.QueueFull, problem.NotRun, http.StatusServiceUnavailable, "full").WithRetryAfter(time.Second))
		requireUnknown(t, w, "1")
	})
	t.Run("no upstream, not repeatable", func(t *testing.T) {
		l, w := newTestLoop(rule.RepeatNever)
		l.finishFailed(r, problem.New(problem.NoUpstream, problem.NotRun, http.StatusServiceUnavailable, "none").WithRetryAfter(time.Second))
		requireUnknown(t, w, "")
	})
	t.Run("retry budget", func(t *testing.T) {
		l, w := newTestLoop("")
		for l.budget.Spend(time.Now()) {
		}
		failed := failedAttempt(problem.UpstreamFailed, &upstream.View{ID: "u"}, "broken").problem
		l.history.UnproductiveAttempts = 1
		p := l.prepareRetry(t.Context(), &upstream.View{ID: "u"}, failed)
		require.Equal(t, problem.RetryBudget, p.Reason)
		require.Equal(t, http.StatusBadGateway, p.Status)
		l.finishFailed(r, p)
		requireUnknown(t, w, "2")
	})
	t.Run("not run after an attempt that may have", func(t *testing.T) {
		l, w := newTestLoop("")
		l.history.RefusedAttempts = 32
		dialFailed := problem.New(problem.UpstreamFailed, problem.NotRun, http.StatusBadGateway, "connection refused")
		l.finishFailed(r, l.prepareRetry(t.Context(), &upstream.View{ID: "u"}, dialFailed))
		requireUnknown(t, w, "2")
	})
}

func requireUnknown(t *testing.T, w *httptest.ResponseRecorder, retryAfter string) {
	t.Helper()
	require.Equal(t, http.StatusBadGateway, w.Code)
	require.Equal(t, "unknown", gjson.Get(w.Body.String(), "run").Str)
	require.EqualValues(t, http.StatusBadGateway, gjson.Get(w.Body.String(), "status").Int())
	require.Equal(t, retryAfter, w.Header().Get("Retry-After"))
}

// TestRefusedByAllIsNotRun gives up a request that no upstream has run.
func TestRefusedByAllIsNotRun(t *testing.T) {
	l, w := newTestLoop(rule.RepeatNever)
	l.mayHaveRun, l.history.RefusedAttempts, l.history.AtMostOnce = false, 32, true
	dialFailed := problem.New(problem.UpstreamFailed, problem.NotRun, http.StatusBadGateway, "connection refused")
	l.finishFailed(httptest.NewRequest(http.MethodPost, "/", nil), l.prepareRetry(t.Context(), &upstream.View{ID: "u"}, dialFailed))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, "not_run", gjson.Get(w.Body.String(), "run").Str)
	require.Equal(t, "2", w.Header().Get("Retry-After"))
}

// TestServiceStatusIsNoPromise relays responses of a plain service to a call that must not be
// repeated. The service may have run the call, so a status that promises the contrary is not
// passed on.
func TestServiceStatusIsNoPromise(t *testing.T) {
	for status := 400; status < 600; status++ {
		e, a, w := newTestAnswer()
		a.rq.stream, a.rq.service, a.rq.route = false, "s", &rule.Route{Repeat: rule.RepeatNever}
		rs := &http.Response{StatusCode: status, Header: make(http.Header), Body: io.NopCloser(strings.NewReader("own"))}
		rs.Header.Set(wire.HeaderRequestID, string(a.rq.id))
		result := e.relay(a, &upstream.View{ID: "u"}, rs)
		if !problem.PromisesNotRun(status) {
			require.IsType(t, &attemptAnswered{}, result)
			require.Equal(t, status, w.Code)
			continue
		}
		require.IsType(t, &attemptFailed{}, result, strconv.Itoa(status))
		require.Equal(t, problem.RunUnknown, result.(*attemptFailed).problem.Run)
	}
}

// TestReplayPromisesNothing replays a call whose recorded answer has a status that says that it
// has not run.
func TestReplayPromisesNothing(t *testing.T) {
	e, a, w := newTestAnswer()
	e.deps.Traces = trace.New("e", 1)
	b := &bookingRequest{e: e, rq: a.rq}
	settled := &ragwortv1.BookingSettled{Outcome: string(booking.Answered), Status: http.StatusServiceUnavailable, Request: "rq_0"}
	p := b.replay(w, settled)
	require.NotNil(t, p)
	require.Equal(t, problem.BookingUnknown, p.Reason)
	settled.Status = http.StatusCreated
	require.Nil(t, b.replay(w, settled))
	require.Equal(t, http.StatusCreated, w.Code)
}
