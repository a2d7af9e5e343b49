package ragworttest_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// newTwoEntryFleet starts two entries and one sidecar with a warm model engine.
func newTwoEntryFleet(t *testing.T) (f *ragworttest.Fleet, entries []*ragworttest.Process, key string) {
	f = ragworttest.NewFleet(t)
	f.PublishRules(ragworttest.ExampleRules(t, "hingeworks.rules"))
	key, _ = f.GiveKey("bangkok-forge")
	g, url := f.StartEngine(standin.DefaultEngineConfig())
	g.MakeWarm()
	sidecar := f.StartSidecar("s1", "th-a", url, "--models=temper-70b")
	entries = []*ragworttest.Process{f.StartEntry("e1", "th-a"), f.StartEntry("e2", "th-b")}
	sidecar.WaitReady(t)
	for _, e := range entries {
		e.WaitReady(t)
	}
	return f, entries, key
}

func newClient(e *ragworttest.Process, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+e.Address+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(content string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "temper-70b",
		MaxTokens: openai.Int(32),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(content)},
	}
}

// wantText returns the answer to a chat of chatParams.
func wantText(content string) string {
	return strings.Join(standin.CompletionTokens(standin.ChatPrompt(content), 32), "")
}

// TestOpenAIClient guards against responses that OpenAI's own client library cannot read:
// plain and streamed chats, the list of models, and a refusal.
func TestOpenAIClient(t *testing.T) {
	_, entries, key := newTwoEntryFleet(t)
	ctx, cancel := context.WithTimeout(t.Context(), ragworttest.WaitTimeout)
	defer cancel()
	for _, e := range entries {
		c := newClient(e, key)

		plain, err := c.Chat.Completions.New(ctx, chatParams("a hinge"))
		require.NoError(t, err)
		require.Equal(t, wantText("a hinge"), plain.Choices[0].Message.Content)

		stream := c.Chat.Completions.NewStreaming(ctx, chatParams("a die"))
		var got strings.Builder
		for stream.Next() {
			if choices := stream.Current().Choices; len(choices) > 0 {
				got.WriteString(choices[0].Delta.Content)
			}
		}
		require.NoError(t, stream.Err())
		require.Equal(t, wantText("a die"), got.String())

		models, err := c.Models.List(ctx)
		require.NoError(t, err)
		require.Equal(t, "temper-70b", models.Data[0].ID)

		wrongKey := newClient(e, key+"x")
		_, err = wrongKey.Chat.Completions.New(ctx, chatParams("a hinge"))
		var refusal *openai.Error
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, http.StatusUnauthorized, refusal.StatusCode)
		require.Equal(t, string(problem.NotRun), refusal.Type)
	}
}

// TestInvalidRequests guards against invalid requests that are accepted, or refused with a wrong
// status or reason or without not_run.
func TestInvalidRequests(t *testing.T) {
	_, entries, key := newTwoEntryFleet(t)
	cases := []struct {
		name, method, path, body, class string
		status                          int
		reason                          problem.Reason
	}{
		{"not json", "POST", "/v1/chat/completions", "{", "", 400, problem.BadRequest},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"temper-70b"}`, "", 400, problem.BadRequest},
		{"no model", "POST", "/v1/completions", `{"prompt":"x"}`, "", 400, problem.BadRequest},
		{"unknown model", "POST", "/v1/completions", `{"prompt":"x","model":"y"}`, "", 404, problem.ModelUnknown},
		{"unknown class", "POST", "/v1/completions", `{"prompt":"x","model":"temper-70b"}`, "urgent", 400, problem.ClassUnknown},
		{"unknown route", "GET", "/services/nowhere/x", "", "", 404, problem.RouteUnknown},
		{"unknown path", "GET", "/v2/chat", "", "", 404, problem.RouteUnknown},
		{"body too large", "POST", "/v1/completions", strings.Repeat("x", 9<<20), "", 413, problem.BodyTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rq, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+entries[0].Address+c.path, bytes.NewBufferString(c.body))
			require.NoError(t, err)
			rq.Header.Set("Authorization", "Bearer "+key)
			if c.class != "" {
				rq.Header.Set("X-Class", c.class)
			}
			rs, err := http.DefaultClient.Do(rq)
			require.NoError(t, err)
			defer rs.Body.Close()
			var refusal problem.Problem
			require.NoError(t, json.NewDecoder(rs.Body).Decode(&refusal))
			require.Equal(t, c.status, rs.StatusCode)
			require.Equal(t, c.reason, refusal.Reason)
			require.Equal(t, problem.NotRun, refusal.Run)
		})
	}
}

// TestCallerCancels guards against engines that continue an answer whose caller has
// disconnected.
func TestCallerCancels(t *testing.T) {
	f, entries, key := newTwoEntryFleet(t)
	cfg := standin.DefaultEngineConfig()
	cfg.TokenGap = 200 * time.Millisecond
	slow, url := f.StartEngine(cfg)
	f.PublishRules(strings.ReplaceAll(ragworttest.ExampleRules(t, "hingeworks.rules"), "temper-70b", "slow-70b"))
	f.StartSidecar("s2", "th-a", url, "--models=slow-70b").WaitReady(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := `{"model":"slow-70b","stream":true,"max_tokens":64,"messages":[{"role":"user","content":"x"}]}`
	var rs *http.Response
	ragworttest.Eventually(t, func() bool {
		rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entries[0].Address+"/v1/chat/completions", strings.NewReader(body))
		require.NoError(t, err)
		rq.Header.Set("Authorization", "Bearer "+key)
		rs, err = http.DefaultClient.Do(rq) //nolint:bodyclose // closed below
		require.NoError(t, err)
		if rs.StatusCode != http.StatusOK {
			_, _ = io.Copy(io.Discard, rs.Body)
			rs.Body.Close()
		}
		return rs.StatusCode == http.StatusOK
	}, "the slow model answers")
	defer rs.Body.Close()
	_, err := bufio.NewReader(rs.Body).ReadString('\n')
	require.NoError(t, err)
	cancel()
	ragworttest.Eventually(t, func() bool { return slow.Stats().Cancelled == 1 }, "the engine stops the answer whose caller has disconnected")
}
