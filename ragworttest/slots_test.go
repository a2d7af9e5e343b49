package ragworttest_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1/ragwortv1connect"
)

// chatResult is the outcome of a streamed chat.
type chatResult struct {
	text string
	err  error
}

// streamChat asks for an answer of so many tokens, and calls began at its first one.
func streamChat(ctx context.Context, c openai.Client, class, content string, tokens int64, began func()) chatResult {
	ask := chat(content)
	ask.MaxTokens = openai.Int(tokens)
	s := c.Chat.Completions.NewStreaming(ctx, ask, option.WithHeader("X-Class", class))
	defer func() { _ = s.Close() }()
	var text strings.Builder
	for s.Next() {
		if choices := s.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
		if began != nil {
			began()
			began = nil
		}
	}
	return chatResult{text.String(), s.Err()}
}

func wholeChat(content string, tokens int) chatResult {
	return chatResult{text: strings.Join(standin.CompletionTokens(standin.ChatPrompt(content), tokens), "")}
}

// TestPreempted has a counter request come while long answers of clerks hold the
// only slot and the place ahead of it. The counter is answered within its wait,
// and the clerks get whole answers.
func TestPreempted(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(strings.ReplaceAll(ragworttest.ExampleRules(t, "hingeworks.rules"), "concurrency=16 initial=2", "concurrency=1 initial=1"))
	key, _ := f.GiveKey("bangkok-forge")
	cfg := standin.DefaultEngineConfig()
	cfg.TokenGap = 20 * time.Millisecond
	g, url := f.StartEngine(cfg)
	g.MakeWarm()
	side := f.StartSidecar("s1", "th-a", url, "--models=temper-70b")
	side.WaitReady(t)
	control := ragwortv1connect.NewNodeServiceClient(process.NewPeerClient(), "http://"+side.Address)
	ragworttest.Eventually(t, func() bool {
		rs, err := control.Heartbeat(t.Context(), connect.NewRequest(&ragwortv1.HeartbeatRequest{}))
		return err == nil && rs.Msg.GetLoad().GetLimit() == 1
	}, "the sidecar follows the rules")
	e := f.StartEntry("e1", "th-a")
	e.WaitReady(t)
	c := client(e, key)
	ctx, cancel := context.WithTimeout(t.Context(), 2*ragworttest.WaitTimeout)
	defer cancel()

	first, second := make(chan chatResult, 1), make(chan chatResult, 1)
	began := make(chan struct{})
	go func() {
		first <- streamChat(ctx, c, "clerk", "a long summary", 800, func() { close(began) })
	}()
	select {
	case <-began:
	case got := <-first:
		require.Fail(t, "the first clerk's answer did not begin", "%+v", got)
	}
	go func() { second <- streamChat(ctx, c, "clerk", "another summary", 5, nil) }()

	require.Equal(t, wholeChat("a hinge", 5), streamChat(ctx, c, "counter", "a hinge", 5, nil))
	require.Equal(t, wholeChat("a long summary", 800), <-first)
	require.Equal(t, wholeChat("another summary", 5), <-second)
	require.Positive(t, g.Stats().Cancelled, "a clerk's answer was preempted")
}
