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

	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

// testMemoryMB is the memory of the process of newTestAnswer.
const testMemoryMB = 64

const testBody = `{"model":"m","max_tokens":8,"messages":[{"role":"user","content":"x"}]}`

// contentChunk and the following functions return the data of events as engines send it.
func contentChunk(text string) string {
	return `{"id":"chatcmpl-rq_1","choices":[{"index":0,"delta":{"content":"` + text + `"},"finish_reason":null}]}`
}

func openingChunk() string {
	return `{"id":"chatcmpl-rq_1","choices":[{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}]}`
}

func toolCallChunk() string {
	return `{"id":"chatcmpl-rq_1","choices":[{"index":0,"delta":{"tool_calls":[{"index":0}]},"finish_reason":null}]}`
}

func finishChunk() string {
	return `{"id":"chatcmpl-rq_1","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
}

func usageChunk(prompt, output int) string {
	return fmt.Sprintf(`{"id":"chatcmpl-rq_1","choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`, prompt, output)
}

func crossedChunk() string { return strings.ReplaceAll(contentChunk("other"), "rq_1", "rq_2") }

func streamBody(data ...string) string {
	var b strings.Builder
	for _, d := range data {
		b.WriteString("data: " + d + "\n\n")
	}
	return b.String()
}

// newTestAnswer returns an entry, an answer to a resumable request of which nothing has been
// relayed yet, and the recorder of what the caller receives.
func newTestAnswer() (*Entry, *answer, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	rq := &request{id: "rq_1", stream: true, includeUsage: true, chat: true, choices: 1, resumable: true, route: &rule.Route{}, promptTokens: 3, body: []byte(testBody)}
	return &Entry{deps: Deps{Memory: memory.NewBudgets(testMemoryMB), Metrics: metrics.NewRegistry()}}, &answer{w: w, rq: rq}, w
}

// relayAttempt relays body as the response to one attempt.
func relayAttempt(e *Entry, a *answer, body io.Reader) attemptResult {
	h := http.Header{"Content-Type": {eventStream}}
	h.Set(wire.HeaderRequestID, "rq_1")
	rs := &http.Response{StatusCode: http.StatusOK, Header: h, Body: toReadCloser(body)}
	defer rs.Body.Close()
	return e.relay(a, &upstream.View{ID: "u"}, rs)
}

func toReadCloser(r io.Reader) io.ReadCloser {
	if c, ok := r.(io.ReadCloser); ok {
		return c
	}
	return io.NopCloser(r)
}

// streamedText returns the text that a caller assembles from a stream.
func streamedText(body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		text.WriteString(gjson.Get(strings.TrimPrefix(line, "data: "), "choices.0.delta.content").Str)
	}
	return text.String()
}

// TestAnswerAcrossAttempts relays the responses to several attempts of one request. It guards
// against an answer that the caller receives with missing, repeated or foreign parts, and
// against wrong usage.
func TestAnswerAcrossAttempts(t *testing.T) {
	const whole = problem.Reason("")
	preempted := "event: " + wire.EventPreempted + "\ndata: {}\n\n"
	cases := []struct {
		name     string
		attempts []string
		reasons  []problem.Reason // of each attempt; whole: answered
		text     string
		used     tokenUsage
	}{
		{"whole", []string{streamBody(openingChunk(), contentChunk("a"), contentChunk("b"), finishChunk(), usageChunk(5, 2), "[DONE]")}, []problem.Reason{whole}, "ab", tokenUsage{5, 2}},
		{"interrupted, then resumed", []string{streamBody(openingChunk(), contentChunk("a")), streamBody(openingChunk(), contentChunk("b"), finishChunk(), usageChunk(6, 1), "[DONE]")}, []problem.Reason{problem.UpstreamCut, whole}, "ab", tokenUsage{5, 2}},
		{"preempted", []string{streamBody(contentChunk("a")) + preempted, streamBody(contentChunk("b"), finishChunk(), usageChunk(6, 1), "[DONE]")}, []problem.Reason{problem.Preempted, whole}, "ab", tokenUsage{5, 2}},
		{"preempted before the first content", []string{preempted, streamBody(contentChunk("a"), finishChunk(), usageChunk(5, 1), "[DONE]")}, []problem.Reason{problem.Preempted, whole}, "a", tokenUsage{5, 1}},
		{"no finish reason", []string{streamBody(contentChunk("a"), "[DONE]"), streamBody(contentChunk("b"), finishChunk(), usageChunk(6, 1), "[DONE]")}, []problem.Reason{problem.AnswerTruncated, whole}, "ab", tokenUsage{5, 2}},
		{"empty", []string{streamBody(openingChunk(), finishChunk(), usageChunk(5, 0), "[DONE]"), streamBody(contentChunk("a"), finishChunk(), usageChunk(5, 1), "[DONE]")}, []problem.Reason{problem.UpstreamEmpty, whole}, "a", tokenUsage{5, 1}},
		{"event of another answer", []string{streamBody(contentChunk("a"), crossedChunk()), streamBody(contentChunk("b"), finishChunk(), usageChunk(6, 1), "[DONE]")}, []problem.Reason{problem.AnswerCrossed, whole}, "ab", tokenUsage{5, 2}},
		{"error event of the engine", []string{streamBody(contentChunk("a"), `{"error":{"message":"out of memory"}}`), streamBody(contentChunk("b"), finishChunk(), usageChunk(6, 1), "[DONE]")}, []problem.Reason{problem.UpstreamFailed, whole}, "ab", tokenUsage{5, 2}},
		{"interrupted after the finish reason", []string{streamBody(contentChunk("a"), finishChunk())}, []problem.Reason{whole}, "a", tokenUsage{3, 1}},
		{"resumed without content once", []string{streamBody(contentChunk("a")), streamBody(finishChunk(), usageChunk(6, 0), "[DONE]"), streamBody(contentChunk("b"), finishChunk(), usageChunk(6, 1), "[DONE]")}, []problem.Reason{problem.UpstreamCut, problem.UpstreamEmpty, whole}, "ab", tokenUsage{5, 2}},
		{"resumed without content twice", []string{streamBody(contentChunk("a")), streamBody(finishChunk(), usageChunk(6, 0), "[DONE]"), streamBody(finishChunk(), usageChunk(6, 0), "[DONE]")}, []problem.Reason{problem.UpstreamCut, problem.UpstreamEmpty, whole}, "a", tokenUsage{5, 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, a, w := newTestAnswer()
			var res attemptResult
			for i, body := range c.attempts {
				res = relayAttempt(e, a, iotest.OneByteReader(strings.NewReader(body)))
				got := whole
				if b, ok := res.(*attemptFailed); ok {
					got = b.problem.Reason
				}
				require.Equal(t, c.reasons[i], got)
			}
			require.Equal(t, &attemptAnswered{c.used}, res)
			require.Equal(t, c.text, streamedText(w.Body.String()))
			require.NotContains(t, w.Body.String(), "other")
			require.Equal(t, 1, strings.Count(w.Body.String(), "[DONE]"))
			require.Equal(t, 1, strings.Count(w.Body.String(), `"finish_reason":"stop"`))
			require.Equal(t, 1, strings.Count(w.Body.String(), `"usage"`))
		})
	}
}

// TestStalledStream checks that a stream that stalls after its first content is given up and
// resumed by the next attempt. Otherwise the caller would wait for a hanging upstream until
// the deadline.
func TestStalledStream(t *testing.T) {
	e, a, w := newTestAnswer()
	e.cfg.StallTimeout = 20 * time.Millisecond
	from, to := io.Pipe()
	go func() { _, _ = io.WriteString(to, streamBody(openingChunk(), contentChunk("a"))) }()
	b, ok := relayAttempt(e, a, from).(*attemptFailed)
	require.True(t, ok)
	require.Equal(t, problem.UpstreamCut, b.problem.Reason)
	require.Contains(t, b.problem.Detail, "no event for 20ms")
	require.IsType(t, &attemptAnswered{}, relayAttempt(e, a, strings.NewReader(streamBody(contentChunk("b"), finishChunk(), usageChunk(6, 1), "[DONE]"))))
	require.Equal(t, "ab", streamedText(w.Body.String()))
}

// TestBodyOfResumedAttempt guards against a resumed attempt that starts a new message, repeats
// text, or generates more tokens than the caller asked for.
func TestBodyOfResumedAttempt(t *testing.T) {
	e, a, _ := newTestAnswer()
	relayAttempt(e, a, strings.NewReader(streamBody(contentChunk("a "), contentChunk("b "))))
	got := gjson.ParseBytes(a.attemptBody())
	require.Equal(t, "a b ", got.Get("messages.1.content").Str)
	require.Equal(t, "assistant", got.Get("messages.1.role").Str)
	require.True(t, got.Get("continue_final_message").Bool())
	require.True(t, got.Get("add_generation_prompt").Exists())
	require.False(t, got.Get("add_generation_prompt").Bool())
	require.EqualValues(t, 6, got.Get("max_tokens").Int())
	require.False(t, a.exhausted())
	for range 6 {
		relayAttempt(e, a, strings.NewReader(streamBody(contentChunk("c "))))
	}
	require.True(t, a.exhausted())
	require.Equal(t, "length", gjson.Get(a.finishChunk("length"), "choices.0.finish_reason").Str)
}

// TestNotResumable guards against resuming an answer whose text does not determine the rest.
func TestNotResumable(t *testing.T) {
	for _, extra := range []string{`"n":2`, `"logprobs":true`, `"response_format":{"type":"json_object"}`, `"continue_final_message":true`} {
		require.False(t, canResume([]byte(`{`+extra+`}`)), extra)
	}
	require.True(t, canResume([]byte(`{"n":1,"response_format":{"type":"text"}}`)))
	e, a, _ := newTestAnswer()
	relayAttempt(e, a, strings.NewReader(streamBody(contentChunk("a"), toolCallChunk())))
	require.True(t, a.started)
	require.False(t, a.resumable())
}

// discardWriter is a caller that reads without delay.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header       { return d.header }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
func (discardWriter) Flush()                      {}

// BenchmarkRelayEvents relays an answer of 1,000 events. It reports the time per event.
func BenchmarkRelayEvents(b *testing.B) {
	const size = 1000
	list := make([]string, size)
	for i := range list {
		list[i] = `{"id":"chatcmpl-rq_1","object":"chat.completion.chunk","created":1800000000,"model":"temper-70b","choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}`
	}
	body := []byte(streamBody(append(list, finishChunk(), usageChunk(5, size), "[DONE]")...))
	e, _, _ := newTestAnswer()
	b.ReportAllocs()
	for n := 0; n < b.N; n += size {
		_, a, _ := newTestAnswer()
		a.w = discardWriter{make(http.Header)}
		res := relayAttempt(e, a, bytes.NewReader(body))
		if _, ok := res.(*attemptAnswered); !ok {
			b.Fatal(res)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "events/s")
}

// TestStatusFailed guards against retrying an error that is the answer of a plain service, and
// against passing on a status of a call that must not be repeated if it says that it has not run.
func TestStatusFailed(t *testing.T) {
	model, service := &request{route: &rule.Route{}}, &request{service: "s", route: &rule.Route{}}
	booking := &request{service: "s", route: &rule.Route{Repeat: rule.RepeatNever}}
	cases := []struct {
		rq     *request
		status int
		want   bool
	}{
		{model, 200, false}, {model, 400, false}, {model, 500, true}, {model, 503, true},
		{service, 404, false}, {service, 500, false}, {service, 503, true}, {service, 504, true},
		{booking, 429, true}, {booking, 500, false}, {booking, 502, false}, {booking, 503, true},
	}
	for _, c := range cases {
		require.Equal(t, c.want, statusFailed(c.rq, c.status), "service %q, status %d", c.rq.service, c.status)
	}
}

// TestBytesInPlaceOfEvents has an upstream send the head of another response, or an error, in place
// of events or in the middle of one. The caller must get none of them, and the answer goes on.
func TestBytesInPlaceOfEvents(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
	content := "data: " + contentChunk("b")
	withError := func(chunk string) string {
		return "data: " + strings.Replace(chunk, `"choices"`, `"error":{"message":"out of memory"},"choices"`, 1) + "\n\n"
	}
	for name, wrong := range map[string]string{
		"head in an event":             content[:len(content)-20] + head,
		"head in the text of an event": content[:strings.Index(content, "b\"")+1] + head,
		"head after an id":             content[:strings.Index(content, `"choices"`)] + head,
		"text in an event":             content[:len(content)-20] + "upstream failed\n\n",
		"text":                         "data: upstream failed\n\n",
		"error with the id":            `data: {"id":"chatcmpl-rq_1","error":{"message":"out of memory"}}` + "\n\n",
		"error in a chunk":             withError(contentChunk("b")),
		"error in an opening chunk":    withError(openingChunk()),
		"event of type error":          "event: error\ndata: " + contentChunk("b") + "\n\n",
	} {
		for _, start := range []string{"", streamBody(openingChunk(), contentChunk("a"))} {
			t.Run(fmt.Sprint(name, " after ", len(start)), func(t *testing.T) {
				e, a, w := newTestAnswer()
				require.IsType(t, &attemptFailed{}, relayAttempt(e, a, strings.NewReader(start+wrong+streamBody(contentChunk("c"), finishChunk(), "[DONE]"))))
				before := w.Body.String()
				require.NotContains(t, before, "HTTP/1.1")
				require.NotContains(t, before, "failed")
				require.NotContains(t, before, "memory")
				require.Equal(t, strings.Repeat("a", min(1, len(start))), streamedText(before))
				res := relayAttempt(e, a, strings.NewReader(streamBody(contentChunk("d"), finishChunk(), usageChunk(6, 1), "[DONE]")))
				require.IsType(t, &attemptAnswered{}, res)
				require.Equal(t, strings.Repeat("a", min(1, len(start)))+"d", streamedText(w.Body.String()))
			})
		}
	}
}

// TestBytesAfterFinishReason has an upstream send something else after the finish reason, which the
// caller has. Another attempt would append to an answer that has ended.
func TestBytesAfterFinishReason(t *testing.T) {
	for _, wrong := range []string{"data: upstream failed\n\n", "event: error\ndata: {}\n\n", `data: {"error":{}}` + "\n\n", streamBody(crossedChunk())} {
		e, a, w := newTestAnswer()
		require.IsType(t, &attemptAnswered{}, relayAttempt(e, a, strings.NewReader(streamBody(contentChunk("a"), finishChunk())+wrong)), wrong)
		require.Equal(t, "a", streamedText(w.Body.String()))
		require.Equal(t, 1, strings.Count(w.Body.String(), "[DONE]"))
	}
}
