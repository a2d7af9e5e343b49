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

// chatAnswer is the response to a chat, as a caller reads it.
type chatAnswer struct {
	status     int
	text       string
	eventIDs   map[string]bool
	usageEvent string // data of the event with the token counts
	errorBody  string // data of an error event, or the body of a plain response
	done       bool
}

// completeChat sends a chat and reads the whole answer. Extra is JSON appended to the fields
// of the request.
func completeChat(t *testing.T, e *ragworttest.Process, key, content, extra string) chatAnswer {
	t.Helper()
	rs := sendChat(t, e, key, content, extra)
	defer rs.Body.Close()
	return readAnswer(t, rs)
}

func sendChat(t *testing.T, e *ragworttest.Process, key, content, extra string) *http.Response {
	t.Helper()
	return sendChatAs(t, e, key, "", content, extra)
}

// sendChatAs sends a chat with the given class, or without one if it is empty.
func sendChatAs(t *testing.T, e *ragworttest.Process, key, class, content, extra string) *http.Response {
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

// streamOptions are the fields of a request for a streamed answer with token counts.
const streamOptions = `,"stream":true,"stream_options":{"include_usage":true}`

// readAnswer reads a streamed or plain response to its end.
func readAnswer(t *testing.T, rs *http.Response) chatAnswer {
	got := chatAnswer{status: rs.StatusCode, eventIDs: make(map[string]bool)}
	if !strings.HasPrefix(rs.Header.Get("Content-Type"), "text/event-stream") {
		body, err := io.ReadAll(rs.Body)
		require.NoError(t, err)
		got.text = gjson.GetBytes(body, "choices.0.message.content").Str
		got.errorBody = string(body)
		return got
	}
	isError := false
	lines := bufio.NewScanner(rs.Body)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case lines.Text() == "event: error":
			isError = true
		case !isData:
		case isError:
			got.errorBody = data
		case data == "[DONE]":
			got.done = true
		default:
			got.eventIDs[gjson.Get(data, "id").Str] = true
			got.text += gjson.Get(data, "choices.0.delta.content").Str
			if gjson.Get(data, "usage").Exists() {
				got.usageEvent = data
			}
		}
	}
	require.NoError(t, lines.Err())
	return got
}

// requireComplete requires a streamed answer to content that does not show any fault: the
// whole text, one response ID, and the token counts of a single attempt.
func requireComplete(t *testing.T, got chatAnswer, content string) {
	t.Helper()
	require.Empty(t, got.errorBody)
	require.Equal(t, wantText(content), got.text)
	require.True(t, got.done)
	require.Len(t, got.eventIDs, 1)
	n := len(standin.CompletionTokens(standin.ChatPrompt(content), 32))
	require.EqualValues(t, n, gjson.Get(got.usageEvent, "usage.completion_tokens").Int())
	require.EqualValues(t, max(1, len(standin.ChatPrompt(content))/4), gjson.Get(got.usageEvent, "usage.prompt_tokens").Int())
}

// newTwoEngineFleet starts an entry and two sidecars with a warm engine each.
func newTwoEngineFleet(t *testing.T) (e *ragworttest.Process, engines []*standin.Engine, key string) {
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
	require.Equal(t, wantText("warm up"), completeChat(t, e, key, "warm up", streamOptions).text)
	return e, engines, key
}

// counterValue returns a counter of a process, or 0 if it does not exist.
func counterValue(t *testing.T, p *ragworttest.Process, name string) int64 {
	t.Helper()
	rs, err := http.Get("http://" + p.Address + "/metrics.json")
	require.NoError(t, err)
	defer rs.Body.Close()
	var all map[string]map[string]any
	require.NoError(t, json.NewDecoder(rs.Body).Decode(&all))
	n, _ := all[name]["count"].(float64)
	return int64(n)
}

// TestEngineFaults guards against faults of an engine that reach its callers: an answer that is
// cut off, empty or has the ID of another request must be retried or resumed. Only an answer
// that cannot be resumed, with several choices or with logprobs, may end in an error.
func TestEngineFaults(t *testing.T) {
	e, engines, key := newTwoEngineFleet(t)
	cases := []struct {
		name     string
		faults   standin.EngineFaults
		extra    string // see completeChat
		counter  string // of the entry, which must grow; empty: none
		complete bool   // the caller must get the whole answer; false: an error event
	}{
		{"cut at once", standin.EngineFaults{CutNext: 1}, streamOptions, "retried_upstream_failed", true},
		{"cut at once, plain", standin.EngineFaults{CutNext: 1}, "", "", true},
		{"cut midway", standin.EngineFaults{CutNext: 1, CutAfterTokens: 5}, streamOptions, "retried_upstream_cut", true},
		{"cut midway, plain", standin.EngineFaults{CutNext: 1, CutAfterTokens: 5}, "", "", true},
		{"cut again", standin.EngineFaults{CutNext: 2, CutAfterTokens: 3}, streamOptions, "retried_upstream_cut", true},
		{"empty", standin.EngineFaults{EmptyNext: 1}, streamOptions, "retried_upstream_empty", true},
		{"empty, plain", standin.EngineFaults{EmptyNext: 1}, "", "retried_upstream_empty", true},
		{"crossed", standin.EngineFaults{WrongIDNext: 1}, streamOptions, "answer_crossed", true},
		{"crossed, plain", standin.EngineFaults{WrongIDNext: 1}, "", "answer_crossed", true},
		{"cut, two choices", standin.EngineFaults{CutNext: 1, CutAfterTokens: 5}, streamOptions + `,"n":2`, "cut_upstream_cut", false},
		{"cut, logprobs", standin.EngineFaults{CutNext: 1, CutAfterTokens: 5}, streamOptions + `,"logprobs":true`, "cut_upstream_cut", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before := counterValue(t, e, c.counter)
			for _, g := range engines {
				g.SetFaults(c.faults)
			}
			got := completeChat(t, e, key, c.name, c.extra)
			require.Equal(t, http.StatusOK, got.status)
			switch {
			case !c.complete:
				require.Equal(t, "upstream_cut", gjson.Get(got.errorBody, "reason").Str)
				require.Equal(t, "unknown", gjson.Get(got.errorBody, "run").Str)
				require.False(t, got.done)
			case c.extra == "":
				require.Equal(t, wantText(c.name), got.text)
			default:
				requireComplete(t, got, c.name)
			}
			if c.counter != "" {
				require.Greater(t, counterValue(t, e, c.counter), before)
			}
		})
	}
}

// TestEngineCrashDuringAnswers guards against incomplete answers when an engine crashes while
// several answers are running.
func TestEngineCrashDuringAnswers(t *testing.T) {
	e, engines, key := newTwoEngineFleet(t)
	var wg sync.WaitGroup
	for i := range 4 {
		content := strings.Repeat("hinge ", i+1)
		rs := sendChat(t, e, key, content, streamOptions)
		require.Equal(t, http.StatusOK, rs.StatusCode)
		wg.Go(func() {
			defer rs.Body.Close()
			requireComplete(t, readAnswer(t, rs), content)
		})
	}
	engines[0].Crash(time.Now())
	wg.Wait()
}
