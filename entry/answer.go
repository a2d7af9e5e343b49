package entry

// This file defines answer, which tracks what the caller has received of one request
// across its attempts.

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire"
)

// tokenUsage counts the tokens of an answer.
type tokenUsage struct {
	prompt id.Tokens
	output id.Tokens
}

// answer tracks the part of an answer that the caller has received. For a stream it
// holds what a later attempt needs to resume.
type answer struct {
	w       http.ResponseWriter
	rq      *request
	started bool // the status and headers have been sent

	text             strings.Builder // text relayed so far
	output           id.Tokens       // of a stream: content events relayed; otherwise the engine's count
	opaque           bool            // relayed a part that no later attempt can resume from, such as a tool call
	finished         bool            // relayed the finish reason of every choice
	emptyResumptions int             // resumed attempts that delivered no content
	lastContent      string          // most recent content event relayed
}

// start sends the status and headers, once.
func (a *answer) start(rs *http.Response) {
	if a.started {
		return
	}
	a.started = true
	for name, values := range rs.Header {
		if name != "Content-Length" {
			a.w.Header()[name] = values
		}
	}
	wire.DropInternalHeaders(a.w.Header())
	a.w.Header().Set(wire.HeaderRequestID, string(a.rq.id))
	a.w.WriteHeader(rs.StatusCode)
}

// event writes one event; flush sends the buffered events to the caller.
func (a *answer) event(data string) {
	_, _ = io.WriteString(a.w, "data: ")
	_, _ = io.WriteString(a.w, data)
	_, _ = io.WriteString(a.w, "\n\n")
}

func (a *answer) flush() {
	if a.started {
		_ = http.NewResponseController(a.w).Flush()
	}
}

// usageEvent writes the usage event of the whole answer if the caller asked for one. Chunk
// is an event whose usage is replaced by u.
func (a *answer) usageEvent(chunk string, u tokenUsage) {
	if !a.rq.includeUsage {
		return
	}
	chunk, _ = sjson.Set(chunk, "usage.prompt_tokens", u.prompt)
	chunk, _ = sjson.Set(chunk, "usage.completion_tokens", u.output)
	chunk, _ = sjson.Set(chunk, "usage.total_tokens", u.prompt+u.output)
	a.event(chunk)
}

// usageChunk returns a usage event derived from the last content event, for an answer
// whose engine sent none.
func (a *answer) usageChunk() string {
	chunk, _ := sjson.SetRaw(a.lastContent, "choices", "[]")
	return chunk
}

// finishChunk returns an event with a finish reason, derived from the last content
// event.
func (a *answer) finishChunk(reason string) string {
	chunk := a.lastContent
	if gjson.Get(chunk, "choices.0.delta").Exists() {
		chunk, _ = sjson.SetRaw(chunk, "choices.0.delta", "{}")
	} else {
		chunk, _ = sjson.Set(chunk, "choices.0.text", "")
	}
	chunk, _ = sjson.Set(chunk, "choices.0.finish_reason", reason)
	return chunk
}

// errorEvent writes an event of type error.
func (a *answer) errorEvent(v any) {
	doc, _ := json.Marshal(v)
	_, _ = io.WriteString(a.w, "event: error\n")
	a.event(string(doc))
	a.flush()
}
