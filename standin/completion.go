package standin

// This file implements the engine's completion calls, with a streamed or a plain response.

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

// promptPrefixBytes is the length of the prefix that identifies a prompt in the cache.
const promptPrefixBytes = 256

// completionRequest is the body of a completion call.
type completionRequest struct {
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

// splitPrompt returns the text to answer and the number of tokens of the answer that the
// request already holds in a final assistant message to be continued.
func (c *completionRequest) splitPrompt() (text string, existingTokens int) {
	if len(c.Messages) == 0 {
		return c.Prompt, 0
	}
	messages := c.Messages
	if last := messages[len(messages)-1]; c.Continue && last.Role == "assistant" {
		messages = messages[:len(messages)-1]
		existingTokens = countTokens(last.Content)
	}
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String(), existingTokens
}

// ChatPrompt returns the prompt of a chat with a single user message.
func ChatPrompt(content string) string { return "user: " + content + "\n" }

// generation is an answer that is being generated.
type generation struct {
	engine         *Engine
	w              http.ResponseWriter
	request        completionRequest
	id             string
	chat           bool
	promptTokens   int
	existingTokens int      // of the answer, given in the request
	tokens         []string // the whole answer, including the existing tokens
	sentTokens     int
	cutAfter       int // sent tokens after which the connection is cut; negative: never
}

func (g *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	crashed, ok := g.startRequest(time.Now())
	if !ok {
		http.Error(w, "restarting", http.StatusServiceUnavailable)
		return
	}
	defer g.endRequest()
	gen := g.newGeneration(w, r, request)
	run := Run{Request: id.Request(r.Header.Get(wire.HeaderRequestID)), Began: time.Now(), Priority: request.Priority}
	run.Completed = gen.run(r, crashed)
	run.Ended, run.Tokens = time.Now(), gen.sentTokens
	g.recordRun(run)
	if !run.Completed {
		panic(http.ErrAbortHandler)
	}
}

func (g *Engine) newGeneration(w http.ResponseWriter, r *http.Request, request completionRequest) *generation {
	text, existingTokens := request.splitPrompt()
	maxTokens := request.MaxTokens
	if maxTokens > 0 {
		maxTokens += existingTokens // max_tokens does not count the existing tokens
	}
	gen := &generation{
		engine: g, w: w, request: request, chat: strings.Contains(r.URL.Path, "chat"),
		promptTokens: max(1, len(text)/4), existingTokens: existingTokens, tokens: CompletionTokens(text, maxTokens), cutAfter: -1,
	}
	requestID := r.Header.Get(wire.HeaderRequestID)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.faults.WrongIDNext > 0 {
		g.faults.WrongIDNext--
		requestID = "rq_another"
	}
	if g.faults.EmptyNext > 0 {
		g.faults.EmptyNext--
		gen.tokens = nil
	}
	if g.faults.CutNext > 0 {
		g.faults.CutNext--
		gen.cutAfter = g.faults.CutAfterTokens
	}
	gen.id = "chatcmpl-" + requestID
	w.Header().Set(wire.HeaderRequestID, requestID)
	if g.faults.RateLimit != "" {
		w.Header().Set(wire.HeaderRateLimit, g.faults.RateLimit)
	}
	return gen
}

// run generates and sends the answer. It reports false if the answer was cut off, by a fault or
// a crash of the engine, or if its caller has disconnected.
func (gen *generation) run(r *http.Request, crashed <-chan struct{}) bool {
	text, _ := gen.request.splitPrompt()
	delay := gen.engine.prefillTime(gen.promptTokens+gen.existingTokens, xxhash.Sum64String(text[:min(len(text), promptPrefixBytes)]))
	var sentText strings.Builder
	for _, t := range gen.tokens[min(gen.existingTokens, len(gen.tokens)):] {
		if !waitFor(r, crashed, delay) || gen.cutAfter == gen.sentTokens {
			return false
		}
		delay = gen.engine.nextTokenDelay()
		gen.sentTokens++
		if gen.request.Stream {
			gen.writeEvent(gen.newChunk(t, ""))
		}
		sentText.WriteString(t)
	}
	if gen.cutAfter == gen.sentTokens {
		return false
	}
	if gen.request.Stream {
		gen.finishStream(gen.sentTokens)
		return true
	}
	gen.finishPlain(sentText.String(), gen.sentTokens)
	return true
}

// waitFor waits for d. It reports false if the caller has disconnected or the engine has
// crashed before.
func waitFor(r *http.Request, crashed <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-crashed:
		return false
	case <-t.C:
		return true
	}
}

type tokenUsage struct {
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

// completionResponse is a whole response, or one event of a streamed response.
type completionResponse struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *tokenUsage `json:"usage,omitempty"`
}

func (gen *generation) newChunk(token, finish string) completionResponse {
	c := choice{}
	if finish != "" {
		c.FinishReason = &finish
	}
	object := "text_completion"
	switch {
	case gen.chat:
		object = "chat.completion.chunk"
		c.Delta = &message{Content: token}
	default:
		c.Text = &token
	}
	return completionResponse{ID: gen.id, Object: object, Created: time.Now().Unix(), Model: gen.request.Model, Choices: []choice{c}}
}

// writeEvent sends v, encoded as JSON, as a server-sent event.
func (gen *generation) writeEvent(v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic("encoding a stream event: " + err.Error())
	}
	gen.w.Header().Set("Content-Type", "text/event-stream")
	_, _ = gen.w.Write(append(append([]byte("data: "), data...), '\n', '\n'))
	_ = http.NewResponseController(gen.w).Flush()
}

func (gen *generation) usageCounts(sentTokens int) *tokenUsage {
	return &tokenUsage{PromptTokens: gen.promptTokens + gen.existingTokens, CompletionTokens: sentTokens, TotalTokens: gen.promptTokens + gen.existingTokens + sentTokens}
}

func (gen *generation) finishStream(sentTokens int) {
	gen.writeEvent(gen.newChunk("", "stop"))
	if gen.request.StreamOptions.IncludeUsage {
		gen.writeEvent(completionResponse{ID: gen.id, Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: gen.request.Model, Choices: []choice{}, Usage: gen.usageCounts(sentTokens)})
	}
	_, _ = io.WriteString(gen.w, "data: [DONE]\n\n")
}

func (gen *generation) finishPlain(text string, sentTokens int) {
	stop := "stop"
	c := choice{FinishReason: &stop}
	object := "text_completion"
	if gen.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	writeJSON(gen.w, completionResponse{ID: gen.id, Object: object, Created: time.Now().Unix(), Model: gen.request.Model, Choices: []choice{c}, Usage: gen.usageCounts(sentTokens)})
}
