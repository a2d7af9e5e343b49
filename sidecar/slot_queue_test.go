package sidecar

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/tier"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

func newTestSlotQueue(limit int) *slotQueue {
	return newSlotQueue(upstream.NewLimiter(upstream.Limits{Initial: limit, Max: limit}), new(rateLimit), "u1")
}

func envelope(n int, t tier.Tier) wire.Envelope {
	return wire.Envelope{Request: id.Request(fmt.Sprintf("rq_%03d", n)), Tier: t}
}

// outcomes returns the outcome of each request: "granted", a reason, or "" if undecided.
func outcomes(all []*slotRequest) []string {
	list := make([]string, len(all))
	for i, req := range all {
		select {
		case p := <-req.outcome:
			list[i] = "granted"
			if p != nil {
				list[i] = string(p.Reason)
			}
		default:
		}
	}
	return list
}

// TestSlotGrantOrder fills the queue and releases one slot at a time. It guards against slots
// that are granted to a lower tier first, or to a later request of the same tier.
func TestSlotGrantOrder(t *testing.T) {
	s := newTestSlotQueue(1)
	now := time.Now()
	var all []*slotRequest
	for i, tr := range []tier.Tier{tier.Bronze, tier.Bronze, tier.Silver, tier.Platinum, tier.Gold, tier.Platinum} {
		all = append(all, s.enqueue(now, envelope(i, tr)))
	}
	require.Equal(t, []string{"granted", "", "", "", "", ""}, outcomes(all))
	for i, next := range []int{3, 5, 4, 2, 1} {
		holder := []int{0, 3, 5, 4, 2}[i]
		s.limiter.Release(upstream.AnswerSample{Started: now, Ended: now})
		s.release(now, all[holder])
		want := make([]string, len(all))
		want[next] = "granted"
		require.Equal(t, want, outcomes(all))
	}
}

// TestFullSlotQueue adds a request to a full queue. It guards against refusing a waiter in
// favour of a request that is not of a higher tier, and against refusing a request of a
// higher tier than the last waiter.
func TestFullSlotQueue(t *testing.T) {
	cases := []struct {
		name    string
		waiting tier.Tier
		arrives tier.Tier
		last    string // outcome of the newest waiter
		arrival string // outcome of the request that arrives
	}{
		{"higher displaces", tier.Silver, tier.Gold, string(problem.ShedForTier), ""},
		{"equal does not", tier.Silver, tier.Silver, "", string(problem.UpstreamBusy)},
		{"lower does not", tier.Silver, tier.Bronze, "", string(problem.UpstreamBusy)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSlotQueue(1)
			now := time.Now()
			s.enqueue(now, envelope(0, tier.Platinum))
			var all []*slotRequest
			for i := range maxWaiting {
				all = append(all, s.enqueue(now, envelope(1+i, c.waiting)))
			}
			all = append(all, s.enqueue(now, envelope(99, c.arrives)))
			got := outcomes(all)
			require.Equal(t, c.last, got[maxWaiting-1])
			require.Equal(t, c.arrival, got[maxWaiting])
		})
	}
}

// TestPreemptionVictim checks which holder of a slot is preempted. It guards against preempting
// an answer that cannot be resumed or is not of a lower tier, and against losing more
// progress than necessary.
func TestPreemptionVictim(t *testing.T) {
	type holder struct {
		tier      tier.Tier
		tokens    int
		resumable bool
	}
	cases := []struct {
		name    string
		holders []holder
		waits   tier.Tier
		victim  int // -1: none
	}{
		{"lowest tier", []holder{{tier.Silver, 1, true}, {tier.Bronze, 90, true}, {tier.Gold, 1, true}}, tier.Platinum, 1},
		{"least progress", []holder{{tier.Bronze, 50, true}, {tier.Bronze, 3, true}, {tier.Bronze, 10, true}}, tier.Gold, 1},
		{"never an equal tier", []holder{{tier.Gold, 1, true}}, tier.Gold, -1},
		{"never a higher tier", []holder{{tier.Platinum, 1, true}}, tier.Gold, -1},
		{"never one that cannot be resumed", []holder{{tier.Bronze, 1, false}, {tier.Silver, 70, true}}, tier.Gold, 1},
		{"none that can be resumed", []holder{{tier.Bronze, 1, false}}, tier.Gold, -1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newTestSlotQueue(len(c.holders))
			now := time.Now()
			var held []*slotRequest
			for i, h := range c.holders {
				held = append(held, s.enqueue(now, envelope(i, h.tier)))
				s.makePreemptible(t.Context(), held[i])
				s.updateProgress(held[i], h.tokens, h.resumable)
			}
			victim, _ := s.preempt(s.enqueue(now, envelope(99, c.waits)))
			if c.victim < 0 {
				require.Nil(t, victim)
				return
			}
			require.Same(t, held[c.victim], victim)
		})
	}
}

// newTestSidecar returns a sidecar with one slot, in front of an engine that streams until
// the request is cancelled, or answers at once if the request has the header X-Whole. The
// channel receives a value whenever the engine ends an answer.
func newTestSidecar(t *testing.T) (s *Sidecar, answerEnded <-chan struct{}) {
	state := logbook.NewState()
	payload, err := proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{
		{Writer: "test", Sequence: 1, Body: &ragwortv1.Record_RulesPublished{
			RulesPublished: &ragwortv1.RulesPublished{Text: strings.ReplaceAll(ragworttest.ExampleRules(t, "hingeworks.rules"), "concurrency=16", "concurrency=1")},
		}},
		{Writer: "test", Sequence: 2, Body: &ragwortv1.Record_KeyGiven{
			KeyGiven: &ragwortv1.KeyGiven{Key: "k1", Workspace: "bangkok-forge", Digest: make([]byte, sha256.Size)},
		}},
	}})
	require.NoError(t, err)
	state.Apply(1, payload)
	engineDone := make(chan struct{}, 10)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for r.Context().Err() == nil && r.Header.Get("X-Whole") == "" {
			_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(time.Millisecond)
		}
		engineDone <- struct{}{}
	}))
	t.Cleanup(engine.Close)
	s = New(Config{Node: "s1", Upstream: "u1", UpstreamURL: engine.URL, Models: []id.Model{"temper-70b"}},
		Deps{State: state, UpstreamClient: http.DefaultClient, OnceClient: http.DefaultClient, Traces: trace.New("s1", 100), Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	s.lifecycle.Apply(upstream.Answered)
	s.lifecycle.Apply(upstream.Loaded)
	return s, engineDone
}

// newRequest returns a request as an entry sends it. The engine of newTestSidecar answers it
// at once if endAtOnce is set.
func newRequest(t *testing.T, e wire.Envelope, endAtOnce bool) *http.Request {
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/chat/completions", nil)
	e.Attempt, e.Key, e.Workspace = 1, "k1", "bangkok-forge"
	e.SetHeaders(r.Header)
	if endAtOnce {
		r.Header.Set("X-Whole", "true")
	}
	return r
}

// TestPreemption sends a request of class counter to an upstream whose only slot is held by
// a long answer of class clerk. It guards against a request that misses its target behind an
// answer of a lower tier, and against a preempted stream that the entry cannot resume.
func TestPreemption(t *testing.T) {
	s, engineDone := newTestSidecar(t)
	low, high := httptest.NewRecorder(), httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		s.Handler().ServeHTTP(low, newRequest(t, wire.Envelope{Request: id.Request(id.New("rq", time.Now())), Class: "clerk", Tier: tier.Bronze, Resumable: true}, false))
		close(done)
	}()
	ragworttest.Eventually(t, func() bool { return s.slots.preemptibleCount() == 1 }, "the clerk's answer to stream")
	s.meanFirstTokenNs.Store(int64(700 * time.Millisecond)) // with a target of 750 ms, a slot is needed at once
	s.Handler().ServeHTTP(high, newRequest(t, wire.Envelope{Request: id.Request(id.New("rq", time.Now())), Class: "counter", Tier: tier.Platinum, Resumable: true}, true))
	<-done
	<-engineDone
	require.Equal(t, http.StatusOK, high.Code)
	require.Empty(t, high.Header().Get(wire.HeaderRefused))
	require.True(t, strings.HasSuffix(low.Body.String(), "\n\nevent: "+wire.EventPreempted+"\ndata: {}\n\n"), "the victim's stream should end with the preempted event")
	require.EqualValues(t, 1, metrics.GetOrRegisterCounter("preempted_bronze", s.deps.Metrics).Count())
	_, running := s.limiter.Limit()
	require.Zero(t, running)
}

// TestNoPreemption sends requests that must not preempt: of a class without a target, with
// time left until the target, or past the target.
func TestNoPreemption(t *testing.T) {
	cases := []struct {
		name  string
		class id.Class
		tier  tier.Tier
		ago   time.Duration // since the request's arrival
	}{
		{"no target", "order", tier.Gold, 0},
		{"time to spare", "foreman", tier.Silver, 0},
		{"missed target", "counter", tier.Platinum, time.Second},
	}
	s, _ := newTestSidecar(t)
	go func() {
		defer func() { _ = recover() }() // the answer is aborted at the end of the test
		s.Handler().ServeHTTP(httptest.NewRecorder(), newRequest(t, wire.Envelope{Request: "rq_1", Class: "clerk", Tier: tier.Bronze, Resumable: true}, false))
	}()
	ragworttest.Eventually(t, func() bool { return s.slots.preemptibleCount() == 1 }, "the clerk's answer to stream")
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, newRequest(t, wire.Envelope{Request: id.Request(id.New("rq", time.Now().Add(-c.ago))), Class: c.class, Tier: c.tier}, true))
			require.Equal(t, string(problem.UpstreamBusy), w.Header().Get(wire.HeaderRefused))
			require.Equal(t, 1, s.slots.preemptibleCount())
		})
	}
}

// preemptibleCount returns how many holders of a slot may be preempted.
func (s *slotQueue) preemptibleCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for h := range s.holders {
		if h.resumable {
			n++
		}
	}
	return n
}
