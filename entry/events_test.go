package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const testBody = `{"model":"m","max_tokens":8,"messages":[{"role":"user","content":"x"}]}`

// content and the others return the data of events as engines send them.
func content(text string) string {
	return `{"id":"chatcmpl-rq_1","choices":[{"index":0,"delta":{"content":"` + text + `"},"finish_reason":null}]}`
}

func opening() string {
	return `{"id":"chatcmpl-rq_1","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`
}

func tool() string {
	return `{"id":"chatcmpl-rq_1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]},"finish_reason":null}]}`
}

func finish() string {
	return `{"id":"chatcmpl-rq_1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
}

func usageOf(prompt, output int) string {
	return fmt.Sprintf(`{"id":"chatcmpl-rq_1","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`, prompt, output)
}

func crossed() string { return strings.ReplaceAll(content("other"), "rq_1", "rq_2") }

func events(data ...string) string {
	var b strings.Builder
	for _, d := range data {
		b.WriteString("data: " + d + "\n\n")
	}
	return b.String()
}

func testAnswer() (*Entry, *answer, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	rq := &request{id: "rq_1", stream: true, usage: true, chat: true, choices: 1, resumable: true, route: &rule.Route{}, prompt: 3, body: []byte(testBody)}
	return &Entry{deps: Deps{Metrics: metrics.NewRegistry()}}, &answer{w: w, rq: rq}, w
}

// feed relays body as the answer of an attempt.
func feed(e *Entry, a *answer, body io.Reader) result {
	h := http.Header{"Content-Type": {eventStream}}
	h.Set(wire.HeaderRequestID, "rq_1")
	rs := &http.Response{StatusCode: http.StatusOK, Header: h, Body: closer(body)}
	defer rs.Body.Close()
	return e.relay(a, &upstream.View{ID: "u"}, rs)
}

func closer(r io.Reader) io.ReadCloser {
	if c, ok := r.(io.ReadCloser); ok {
		return c
	}
	return io.NopCloser(r)
}

// textOf returns the text that a caller makes of a stream.
func textOf(body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		text.WriteString(gjson.Get(strings.TrimPrefix(line, "data: "), "choices.0.delta.content").Str)
	}
	return text.String()
}

func TestAttemptsMakeOneAnswer(t *testing.T) {
	const whole = problem.Reason("")
	preempted := "event: " + wire.EventPreempted + "\ndata: {}\n\n"
	cases := []struct {
		name     string
		attempts []string
		reasons  []problem.Reason // of each attempt; whole: answered
		text     string
		used     used
	}{
		{"whole", []string{events(opening(), content("a"), content("b"), finish(), usageOf(5, 2), "[DONE]")}, []problem.Reason{whole}, "ab", used{5, 2}},
		{"cut, then the rest", []string{events(opening(), content("a")), events(opening(), content("b"), finish(), usageOf(6, 1), "[DONE]")}, []problem.Reason{problem.UpstreamCut, whole}, "ab", used{5, 2}},
		{"preempted", []string{events(content("a")) + preempted, events(content("b"), finish(), usageOf(6, 1), "[DONE]")}, []problem.Reason{problem.Preempted, whole}, "ab", used{5, 2}},
		{"preempted before it began", []string{preempted, events(content("a"), finish(), usageOf(5, 1), "[DONE]")}, []problem.Reason{problem.Preempted, whole}, "a", used{5, 1}},
		{"no finish reason", []string{events(content("a"), "[DONE]"), events(content("b"), finish(), usageOf(6, 1), "[DONE]")}, []problem.Reason{problem.AnswerTruncated, whole}, "ab", used{5, 2}},
		{"empty", []string{events(opening(), finish(), usageOf(5, 0), "[DONE]"), events(content("a"), finish(), usageOf(5, 1), "[DONE]")}, []problem.Reason{problem.UpstreamEmpty, whole}, "a", used{5, 1}},
		{"crossed midway", []string{events(content("a"), crossed()), events(content("b"), finish(), usageOf(6, 1), "[DONE]")}, []problem.Reason{problem.AnswerCrossed, whole}, "ab", used{5, 2}},
		{"error event of the engine", []string{events(content("a"), `{"error":{"message":"out of memory"}}`), events(content("b"), finish(), usageOf(6, 1), "[DONE]")}, []problem.Reason{problem.UpstreamFailed, whole}, "ab", used{5, 2}},
		{"cut after its finish", []string{events(content("a"), finish())}, []problem.Reason{whole}, "a", used{3, 1}},
		{"rest empty once", []string{events(content("a")), events(finish(), usageOf(6, 0), "[DONE]"), events(content("b"), finish(), usageOf(6, 1), "[DONE]")}, []problem.Reason{problem.UpstreamCut, problem.UpstreamEmpty, whole}, "ab", used{5, 2}},
		{"rest empty indeed", []string{events(content("a")), events(finish(), usageOf(6, 0), "[DONE]"), events(finish(), usageOf(6, 0), "[DONE]")}, []problem.Reason{problem.UpstreamCut, problem.UpstreamEmpty, whole}, "a", used{5, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, a, w := testAnswer()
			var res result
			for i, body := range c.attempts {
				res = feed(e, a, iotest.OneByteReader(strings.NewReader(body)))
				got := whole
				if b, ok := res.(*broken); ok {
					got = b.problem.Reason
				}
				require.Equal(t, c.reasons[i], got)
			}
			require.Equal(t, &answered{c.used}, res)
			require.Equal(t, c.text, textOf(w.Body.String()))
			require.NotContains(t, w.Body.String(), "other")
			require.Equal(t, 1, strings.Count(w.Body.String(), "[DONE]"))
			require.Equal(t, 1, strings.Count(w.Body.String(), `"finish_reason":"stop"`))
			require.Equal(t, 1, strings.Count(w.Body.String(), `"usage"`))
		})
	}
}

// A stream that stalls after its first content is given up, and goes on elsewhere.
func TestStalledStream(t *testing.T) {
	e, a, w := testAnswer()
	e.cfg.Stall = 20 * time.Millisecond
	from, to := io.Pipe()
	go func() { _, _ = io.WriteString(to, events(opening(), content("a"))) }()
	b, ok := feed(e, a, from).(*broken)
	require.True(t, ok)
	require.Equal(t, problem.UpstreamCut, b.problem.Reason)
	require.Contains(t, b.problem.Detail, "no event for 20ms")
	require.IsType(t, &answered{}, feed(e, a, strings.NewReader(events(content("b"), finish(), usageOf(6, 1), "[DONE]"))))
	require.Equal(t, "ab", textOf(w.Body.String()))
}

func TestResumedBody(t *testing.T) {
	e, a, _ := testAnswer()
	feed(e, a, strings.NewReader(events(content("a "), content("b "))))
	got := gjson.ParseBytes(a.body())
	require.Equal(t, "a b ", got.Get("messages.1.content").Str)
	require.Equal(t, "assistant", got.Get("messages.1.role").Str)
	require.True(t, got.Get("continue_final_message").Bool())
	require.True(t, got.Get("add_generation_prompt").Exists())
	require.False(t, got.Get("add_generation_prompt").Bool())
	require.EqualValues(t, 6, got.Get("max_tokens").Int())
	require.False(t, a.exhausted())
	for range 6 {
		feed(e, a, strings.NewReader(events(content("c "))))
	}
	require.True(t, a.exhausted())
	require.Equal(t, "length", gjson.Get(a.finishChunk("length"), "choices.0.finish_reason").Str)
}

func TestWhatCannotResume(t *testing.T) {
	for _, extra := range []string{`"n":2`, `"logprobs":true`, `"response_format":{"type":"json_object"}`, `"continue_final_message":true`} {
		require.False(t, canResume([]byte(`{`+extra+`}`)), extra)
	}
	require.True(t, canResume([]byte(`{"n":1,"response_format":{"type":"text"}}`)))
	e, a, _ := testAnswer()
	feed(e, a, strings.NewReader(events(content("a"), tool())))
	require.True(t, a.started)
	require.False(t, a.resumable())
}

// discard is a caller that reads everything at once.
type discard struct{ header http.Header }

func (d discard) Header() http.Header       { return d.header }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}
func (discard) Flush()                      {}

// BenchmarkRelayEvents relays an answer of 1,000 events; the time is for one event.
func BenchmarkRelayEvents(b *testing.B) {
	const size = 1000
	list := make([]string, size)
	for i := range list {
		list[i] = `{"id":"chatcmpl-rq_1","object":"chat.completion.chunk","created":1800000000,"model":"temper-70b","choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}`
	}
	body := []byte(events(append(list, finish(), usageOf(5, size), "[DONE]")...))
	e, _, _ := testAnswer()
	b.ReportAllocs()
	for n := 0; n < b.N; n += size {
		_, a, _ := testAnswer()
		a.w = discard{make(http.Header)}
		res := feed(e, a, bytes.NewReader(body))
		if _, ok := res.(*answered); !ok {
			b.Fatal(res)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

func TestFailedStatus(t *testing.T) {
	model, service := &request{route: &rule.Route{}}, &request{service: "s", route: &rule.Route{}}
	booking := &request{service: "s", route: &rule.Route{Repeat: rule.RepeatNever}}
	cases := []struct {
		rq     *request
		status int
		want   bool
	}{
		{model, 200, false}, {model, 400, false}, {model, 500, true}, {model, 503, true},
		{service, 404, false}, {service, 500, false}, {service, 503, true}, {service, 504, true},
		{booking, 500, false}, {booking, 503, false},
	}
	for _, c := range cases {
		require.Equal(t, c.want, failed(c.rq, c.status), "%v %d", c.rq.service, c.status)
	}
}
