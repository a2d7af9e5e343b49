package ragworttest_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// told is what a caller made of one answer.
type told struct {
	status int
	text   string
	ids    map[string]bool
	usage  string // the usage event
	failed string // the data of an error event
	done   bool
}

// ask sends a chat and reads the whole answer.
func ask(t *testing.T, e *ragworttest.Process, key, content, extra string) told {
	t.Helper()
	rs := send(t, e, key, content, extra)
	defer rs.Body.Close()
	return listen(t, rs)
}

func send(t *testing.T, e *ragworttest.Process, key, content, extra string) *http.Response {
	t.Helper()
	return sendAs(t, e, key, "", content, extra)
}

// sendAs asks for a class, unless that is empty.
func sendAs(t *testing.T, e *ragworttest.Process, key, class, content, extra string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), ragworttest.WaitTimeout)
	t.Cleanup(cancel)
	body := `{"model":"temper-70b","max_tokens":32,"messages":[{"role":"user","content":"` + content + `"}]` + extra + `}`
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	rq.Header.Set("Authorization", "Bearer "+key)
	if class != "" {
		rq.Header.Set("X-Class", class)
	}
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	return rs
}

const streamed = `,"stream":true,"stream_options":{"include_usage":true}`

func listen(t *testing.T, rs *http.Response) told {
	got := told{status: rs.StatusCode, ids: make(map[string]bool)}
	if !strings.HasPrefix(rs.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(rs.Body)
		require.NoError(t, err)
		got.text = gjson.GetBytes(body, "choices.0.message.content").Str
		got.failed = string(body)
		return got
	}
	failed := false
	lines := bufio.NewScanner(rs.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			failed = true
		case !isData:
		case failed:
			got.failed = data
		case data == "[DONE]":
			got.done = true
		default:
			got.ids[gjson.Get(data, "id").Str] = true
			got.text += gjson.Get(data, "choices.0.delta.content").Str
			if gjson.Get(data, "usage").Exists() {
				got.usage = data
			}
		}
	}
	require.NoError(t, lines.Err())
	return got
}

// requireWhole requires the one answer to content, as if nothing had failed.
func requireWhole(t *testing.T, got told, content string) {
	t.Helper()
	require.Empty(t, got.failed)
	require.Equal(t, want(content), got.text)
	require.True(t, got.done)
	require.Len(t, got.ids, 1)
	n := len(standin.CompletionTokens(standin.ChatPrompt(content), 32))
	require.EqualValues(t, n, gjson.Get(got.usage, "usage.completion_tokens").Int())
	require.EqualValues(t, max(1, len(standin.ChatPrompt(content))/4), gjson.Get(got.usage, "usage.prompt_tokens").Int())
}

// pair starts an entry before two sidecars with an engine each.
func pair(t *testing.T) (e *ragworttest.Process, engines []*standin.Engine, key string) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ = f.GiveKey("bangkok-forge")
	for _, name := range []string{"s1", "s2"} {
		g, url := f.StartEngine(standin.DefaultEngineConfig())
		g.MakeWarm()
		engines = append(engines, g)
		f.StartSidecar(name, "th-a", url, "--models=temper-70b").WaitReady(t)
	}
	e = f.StartEntry("e1", "th-a")
	e.WaitReady(t)
	require.Equal(t, want("warm up"), ask(t, e, key, "warm up", streamed).text)
	return e, engines, key
}

func counter(t *testing.T, p *ragworttest.Process, name string) int64 {
	t.Helper()
	rs, err := http.Get("http://" + p.Address + "/metrics.json")
	require.NoError(t, err)
	defer rs.Body.Close()
	var all map[string]map[string]any
	require.NoError(t, json.NewDecoder(rs.Body).Decode(&all))
	n, _ := all[name]["count"].(float64)
	return int64(n)
}

func TestEngineFaults(t *testing.T) {
	e, engines, key := pair(t)
	cases := []struct {
		name    string
		faults  standin.EngineFaults
		extra   string
		counter string
		whole   bool
	}{
		{"cut at once", standin.EngineFaults{CutNext: 1}, streamed, "retried_upstream_failed", true},
		{"cut at once, plain", standin.EngineFaults{CutNext: 1}, "", "", true},
		{"cut midway", standin.EngineFaults{CutNext: 1, CutAfterTokens: 5}, streamed, "retried_upstream_cut", true},
		{"cut midway, plain", standin.EngineFaults{CutNext: 1, CutAfterTokens: 5}, "", "", true},
		{"cut again", standin.EngineFaults{CutNext: 2, CutAfterTokens: 3}, streamed, "retried_upstream_cut", true},
		{"empty", standin.EngineFaults{EmptyNext: 1}, streamed, "retried_upstream_empty", true},
		{"empty, plain", standin.EngineFaults{EmptyNext: 1}, "", "retried_upstream_empty", true},
		{"crossed", standin.EngineFaults{WrongIDNext: 1}, streamed, "answer_crossed", true},
		{"crossed, plain", standin.EngineFaults{WrongIDNext: 1}, "", "answer_crossed", true},
		{"cut, two choices", standin.EngineFaults{CutNext: 1, CutAfterTokens: 5}, streamed + `,"n":2`, "cut_upstream_cut", false},
		{"cut, logprobs", standin.EngineFaults{CutNext: 1, CutAfterTokens: 5}, streamed + `,"logprobs":true`, "cut_upstream_cut", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := counter(t, e, c.counter)
			for _, g := range engines {
				g.SetFaults(c.faults)
			}
			got := ask(t, e, key, c.name, c.extra)
			require.Equal(t, http.StatusOK, got.status)
			switch {
			case !c.whole:
				require.Equal(t, "upstream_cut", gjson.Get(got.failed, "reason").Str)
				require.Equal(t, "unknown", gjson.Get(got.failed, "run").Str)
				require.False(t, got.done)
			case c.extra == "":
				require.Equal(t, want(c.name), got.text)
			default:
				requireWhole(t, got, c.name)
			}
			if c.counter != "" {
				require.Greater(t, counter(t, e, c.counter), before)
			}
		})
	}
}

func TestEngineCrashesUnderAnswers(t *testing.T) {
	e, engines, key := pair(t)
	var wg sync.WaitGroup
	for i := range 4 {
		content := strings.Repeat("hinge ", i+1)
		rs := send(t, e, key, content, streamed)
		require.Equal(t, http.StatusOK, rs.StatusCode)
		wg.Go(func() {
			defer rs.Body.Close()
			requireWhole(t, listen(t, rs), content)
		})
	}
	engines[0].Crash(time.Now())
	wg.Wait()
}
