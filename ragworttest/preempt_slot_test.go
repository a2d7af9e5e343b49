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

// streamChat requests a streamed answer of at most the given tokens. It calls onFirstToken,
// unless that is nil, at the first event.
func streamChat(ctx context.Context, c openai.Client, class, content string, tokens int64, onFirstToken func()) chatResult {
	params := chatParams(content)
	params.MaxTokens = openai.Int(tokens)
	s := c.Chat.Completions.NewStreaming(ctx, params, option.WithHeader("X-Class", class))
	defer func() { _ = s.Close() }()
	var text strings.Builder
	for s.Next() {
		if choices := s.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
		if onFirstToken != nil {
			onFirstToken()
			onFirstToken = nil
		}
	}
	return chatResult{text.String(), s.Err()}
}

// wantChat returns the result of a chat that is answered completely.
func wantChat(content string, tokens int) chatResult {
	return chatResult{text: strings.Join(standin.CompletionTokens(standin.ChatPrompt(content), tokens), "")}
}

// TestPreemptionWithSingleSlot guards against a request of the class counter that waits behind
// the class clerk: one clerk's long answer holds the only slot, and a second clerk is ahead in
// the queue. The counter must be answered within its maximum wait, and both clerks must get
// complete answers.
func TestPreemptionWithSingleSlot(t *testing.T) {
	f := ragworttest.NewFleet(t)
	f.PublishRules(strings.ReplaceAll(ragworttest.ExampleRules(t, "hingeworks.rules"), "concurrency=16 initial=2", "concurrency=1 initial=1"))
	key, _ := f.GiveKey("bangkok-forge")
	cfg := standin.DefaultEngineConfig()
	cfg.TokenGap = 20 * time.Millisecond
	g, url := f.StartEngine(cfg)
	g.MakeWarm()
	sidecar := f.StartSidecar("s1", "th-a", url, "--models=temper-70b")
	sidecar.WaitReady(t)
	nodeClient := ragwortv1connect.NewNodeServiceClient(process.NewPeerClient(), "http://"+sidecar.Address)
	ragworttest.Eventually(t, func() bool {
		rs, err := nodeClient.Heartbeat(t.Context(), connect.NewRequest(&ragwortv1.HeartbeatRequest{}))
		return err == nil && rs.Msg.GetLoad().GetLimit() == 1
	}, "the sidecar applies the rules")
	e := f.StartEntry("e1", "th-a")
	e.WaitReady(t)
	c := newClient(e, key)
	ctx, cancel := context.WithTimeout(t.Context(), 2*ragworttest.WaitTimeout)
	defer cancel()

	first, second := make(chan chatResult, 1), make(chan chatResult, 1)
	started := make(chan struct{})
	go func() {
		first <- streamChat(ctx, c, "clerk", "a long summary", 800, func() { close(started) })
	}()
	select {
	case <-started:
	case got := <-first:
		require.Fail(t, "the first clerk's answer ended before its first token", "%+v", got)
	}
	go func() { second <- streamChat(ctx, c, "clerk", "another summary", 5, nil) }()

	require.Equal(t, wantChat("a hinge", 5), streamChat(ctx, c, "counter", "a hinge", 5, nil))
	require.Equal(t, wantChat("a long summary", 800), <-first)
	require.Equal(t, wantChat("another summary", 5), <-second)
	require.Positive(t, g.Stats().Cancelled, "no answer of a clerk was preempted")
}
