package standin

// This file defines the engine's completion calls, streamed and plain.

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire"
)

// prefixBytes is how much of a prompt counts as its prefix.
const prefixBytes = 256

// completionCall is the body of a completion call.
type completionCall struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Prompt        string `json:"prompt"`
	MaxTokens     int    `json:"max_tokens"`
	Stream        bool   `json:"stream"`
	Priority      int    `json:"priority"`
	Continue      bool   `json:"continue_final_message"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// prompt returns the text to answer and how many tokens of the answer it already
// holds.
func (c *completionCall) prompt() (text string, have int) {
	if len(c.Messages) == 0 {
		return c.Prompt, 0
	}
	messages := c.Messages
	if last := messages[len(messages)-1]; c.Continue && last.Role == "assistant" {
		messages = messages[:len(messages)-1]
		have = countTokens(last.Content)
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String(), have
}

// ChatPrompt returns the prompt of a chat with a single user message.
func ChatPrompt(content string) string { return "user: " + content + "\n" }

// generation is one answer being generated.
type generation struct {
	g      *Engine
	w      http.ResponseWriter
	call   completionCall
	id     string
	chat   bool
	prompt int // tokens
	have   int // tokens of the answer that the call already held
	tokens []string
	sent   int // tokens
	cutAt  int // tokens after which the answer is cut; negative: never
}

func (g *Engine) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var call completionCall
	if err := json.Unmarshal(body, &call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	crash, ok := g.begin(time.Now())
	if !ok {
		http.Error(w, "restarting", http.StatusServiceUnavailable)
		return
	}
	defer g.end()
	n := g.newGeneration(w, r, call)
	run := Run{Request: id.Request(r.Header.Get(wire.HeaderRequestID)), Began: time.Now(), Priority: call.Priority}
	run.Completed = n.run(r, crash)
	run.Ended, run.Tokens = time.Now(), n.sent
	g.note(run)
	if !run.Completed {
		panic(http.ErrAbortHandler)
	}
}

func (g *Engine) newGeneration(w http.ResponseWriter, r *http.Request, call completionCall) *generation {
	text, have := call.prompt()
	whole := call.MaxTokens
	if whole > 0 {
		whole += have // max_tokens bounds what is added to the text that is there
	}
	n := &generation{
		g: g, w: w, call: call, chat: strings.Contains(r.URL.Path, "chat"),
		prompt: max(1, len(text)/4), have: have, tokens: CompletionTokens(text, whole), cutAt: -1,
	}
	rid := r.Header.Get(wire.HeaderRequestID)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.WrongIDNext > 0 {
		g.faults.WrongIDNext--
		rid = "rq_another"
	}
	if g.faults.EmptyNext > 0 {
		g.faults.EmptyNext--
		n.tokens = nil
	}
	if g.faults.CutNext > 0 {
		g.faults.CutNext--
		n.cutAt = g.faults.CutAfterTokens
	}
	n.id = "chatcmpl-" + rid
	w.Header().Set(wire.HeaderRequestID, rid)
	return n
}

// run generates the answer; it reports false if the answer was cut or cancelled.
func (n *generation) run(r *http.Request, crash <-chan struct{}) bool {
	text, _ := n.call.prompt()
	wait := n.g.prefill(n.prompt+n.have, xxhash.Sum64String(text[:min(len(text), prefixBytes)]))
	var plain strings.Builder
	for _, t := range n.tokens[min(n.have, len(n.tokens)):] {
		if !pause(r, crash, wait) || n.cutAt == n.sent {
			return false
		}
		wait = n.g.gap()
		n.sent++
		if n.call.Stream {
			n.event(n.chunk(t, ""))
		}
		plain.WriteString(t)
	}
	if n.cutAt == n.sent {
		return false
	}
	if n.call.Stream {
		n.finishStream(n.sent)
		return true
	}
	n.finishPlain(plain.String(), n.sent)
	return true
}

// pause waits; it reports false if the caller left or the engine fell over.
func pause(r *http.Request, crash <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-crash:
		return false
	case <-t.C:
		return true
	}
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (n *generation) chunk(token, finish string) chunk {
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	object := "text_completion"
	switch {
	case n.chat:
		object = "chat.completion.chunk"
		c.Delta = &message{Content: token}
	default:
		c.Text = &token
	}
	return chunk{ID: n.id, Object: object, Created: time.Now().Unix(), Model: n.call.Model, Choices: []choice{c}}
}

func (n *generation) event(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("chunks always encode")
	}
	n.w.Header().Set("Content-Type", "text/event-stream")
	_, _ = n.w.Write(append(append([]byte("data: "), data...), '\n', '\n'))
	_ = http.NewResponseController(n.w).Flush()
}

func (n *generation) usage(sent int) *usage {
	return &usage{PromptTokens: n.prompt + n.have, CompletionTokens: sent, TotalTokens: n.prompt + n.have + sent}
}

func (n *generation) finishStream(sent int) {
	n.event(n.chunk("", "stop"))
	if n.call.StreamOptions.IncludeUsage {
		n.event(chunk{ID: n.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: n.call.Model, Choices: []choice{}, Usage: n.usage(sent)})
	}
	_, _ = io.WriteString(n.w, "data: [DONE]\n\n")
}

func (n *generation) finishPlain(text string, sent int) {
	stop := "stop"
	c := choice{FinishReason: &stop}
	object := "text_completion"
	if n.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	encode(n.w, chunk{ID: n.id, Object: object, Created: time.Now().Unix(), Model: n.call.Model, Choices: []choice{c}, Usage: n.usage(sent)})
}
