package bench_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/bench"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/wire"
)

var chat = bench.Traffic{Class: "counter", Kind: bench.Chat, MaxTokens: 16}

// writeStream writes an event stream with a token for each word of text, and then end.
func writeStream(w http.ResponseWriter, text string, end string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(wire.HeaderRequestID, "rq_1")
	for _, token := range strings.Fields(text) {
		_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", token+" ")
	}
	_, _ = fmt.Fprint(w, end)
}

// TestOutcomes guards against responses that get a wrong outcome, above all faulty ones
// that count as whole.
func TestOutcomes(t *testing.T) {
	prompt := "a hinge"
	right := strings.Join(standin.CompletionTokens(standin.ChatPrompt(prompt), chat.MaxTokens), "")
	first, _, _ := strings.Cut(right, " ")
	const done = "data: [DONE]\n\n"
	cases := []struct {
		name    string
		serve   http.HandlerFunc
		outcome bench.Outcome
	}{
		{"whole", func(w http.ResponseWriter, _ *http.Request) { writeStream(w, right, done) }, bench.Whole},
		{"text of another response", func(w http.ResponseWriter, _ *http.Request) { writeStream(w, "another", done) }, bench.Wrong},
		{"text of another response, no end", func(w http.ResponseWriter, _ *http.Request) { writeStream(w, "another", "") }, bench.Wrong},
		{"more text than expected", func(w http.ResponseWriter, _ *http.Request) { writeStream(w, right+first, done) }, bench.Wrong},
		{"empty", func(w http.ResponseWriter, _ *http.Request) { writeStream(w, "", done) }, bench.Wrong},
		{"truncated but looks whole", func(w http.ResponseWriter, _ *http.Request) { writeStream(w, first, done) }, bench.Wrong},
		{"no end", func(w http.ResponseWriter, _ *http.Request) { writeStream(w, right, "") }, bench.Lost},
		{"broken off", func(w http.ResponseWriter, _ *http.Request) {
			writeStream(w, first, "")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, bench.Lost},
		{"error event", func(w http.ResponseWriter, _ *http.Request) {
			writeStream(w, first, "event: error\ndata: {\"reason\":\"upstream_cut\"}\n\n")
		}, bench.Cut},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			problem.New(problem.QueueFull, problem.NotRun, http.StatusServiceUnavailable, "full").Write(w)
		}, bench.RefusedNotRun},
		{"failed", func(w http.ResponseWriter, _ *http.Request) {
			problem.New(problem.UpstreamFailed, problem.RunUnknown, http.StatusBadGateway, "failed").Write(w)
		}, bench.RefusedUnknown},
		{"plain error", func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "oops", http.StatusInternalServerError) }, bench.Lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.serve)
			defer server.Close()
			l := &bench.LoadGenerator{Balancer: bench.NewBalancer([]string{server.Listener.Addr().String()})}
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			results := l.Run(ctx, []bench.Arrival{{Prompt: prompt, Traffic: &chat}})
			require.Equal(t, c.outcome, results[0].Outcome, results[0].Detail)
		})
	}
}

// TestBalancerSkipsUnreachableEntry guards against calls that fail because one entry
// cannot be connected to.
func TestBalancerSkipsUnreachableEntry(t *testing.T) {
	addresses, err := bench.FreeAddresses(1)
	require.NoError(t, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer server.Close()
	b := bench.NewBalancer([]string{addresses[0], server.Listener.Addr().String()})
	for range 4 {
		rs, base, err := b.Do(t.Context(), func(base string) (*http.Request, error) { return http.NewRequest(http.MethodGet, base, nil) })
		require.NoError(t, err)
		require.NoError(t, rs.Body.Close())
		require.Equal(t, server.URL, base)
	}
}

// TestNewReport guards against calls of the warm-up and late responses that count as in
// time, and against lost responses that count as resolved.
func TestNewReport(t *testing.T) {
	d, err := bench.FindDeployment("hingeworks")
	require.NoError(t, err)
	set, err := d.RuleSet()
	require.NoError(t, err)
	result := func(o bench.Outcome, ws id.Workspace, first, last, tokens int) *bench.Result {
		return &bench.Result{
			Arrival: &bench.Arrival{Workspace: ws, Traffic: &chat}, Outcome: o,
			Sent: start, First: at(first), Last: at(last), Tokens: tokens,
		}
	}
	warm := result(bench.Whole, "nan-forge", 100, 200, 4)
	warm.Arrival.Warmup = true
	r := bench.NewReport(d, set, []*bench.Result{
		warm,
		result(bench.Whole, "nan-forge", 100, 200, 4),  // in time
		result(bench.Whole, "nan-forge", 800, 900, 4),  // first token too late
		result(bench.Whole, "udon-forge", 100, 300, 3), // gaps between tokens too long
		result(bench.Whole, "udon-forge", 1, 20001, 1), // past its deadline
		result(bench.RefusedNotRun, "udon-forge", 0, 0, 0),
	}, start, time.Second)
	require.Equal(t, 5, r.Total.Calls)
	require.Equal(t, 1, r.Total.InTime)
	require.Equal(t, 4, r.Total.InTimeTokens)
	require.Equal(t, 12, r.Total.WholeTokens)
	require.Equal(t, id.Workspace("udon-forge"), r.Workspaces[0].Name)
	require.InDelta(t, 0.5, r.Workspaces[1].Attainment, 1e-9)
	require.True(t, r.AllResolved())

	r = bench.NewReport(d, set, []*bench.Result{result(bench.Lost, "nan-forge", 0, 0, 0)}, start, time.Second)
	require.False(t, r.AllResolved())
}

// TestNewEngineTotals guards against wrong counts of wasted tokens, of refusals with
// not_run of calls that have run, and of doubled bookings.
func TestNewEngineTotals(t *testing.T) {
	results := []*bench.Result{
		{Request: "whole", Outcome: bench.Whole, Tokens: 5, Arrival: &bench.Arrival{Traffic: &chat}},
		{Request: "refused", Outcome: bench.RefusedNotRun, Arrival: &bench.Arrival{Traffic: &chat}},
		{Request: "refused and not run", Outcome: bench.RefusedNotRun, Arrival: &bench.Arrival{Traffic: &chat}},
	}
	runs := []standin.Run{{Request: "whole", Tokens: 2}, {Request: "whole", Tokens: 5}, {Request: "refused", Tokens: 1}}
	e := bench.NewEngineTotals(results, runs, map[string]int{"a": 1, "b": 2})
	require.Equal(t, int64(3), e.WastedTokens)
	require.Equal(t, 1, e.FalseNotRun)
	require.Equal(t, 1, e.DoubledBookings)
}

// TestPlanIsSeeded guards against loads that differ between runs of one seed, or whose
// other calls change when a workspace is excluded.
func TestPlanIsSeeded(t *testing.T) {
	d, err := bench.FindDeployment("errata")
	require.NoError(t, err)
	set, err := d.RuleSet()
	require.NoError(t, err)
	plan := bench.Plan{Deployment: d, Seed: 7, RateFactor: 1, Duration: 5 * time.Second}
	all := plan.Arrivals(set)
	require.Equal(t, all, plan.Arrivals(set))
	plan.ExcludedWorkspace = "moka-books"
	others := plan.Arrivals(set)
	kept := 0
	for _, a := range all {
		if a.Workspace != plan.ExcludedWorkspace {
			require.Equal(t, a.Prompt, others[kept].Prompt)
			kept++
		}
	}
	require.Len(t, others, kept)
}
