package entry

// This file defines answer, the caller's side of one request across its attempts.

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

// used is what a caller received.
type used struct {
	prompt id.Tokens
	output id.Tokens
}

// answer is what the caller has got so far. Of a stream it keeps what a later
// attempt needs to go on from there.
type answer struct {
	w       http.ResponseWriter
	rq      *request
	started bool // a byte of the answer has been sent

	text     strings.Builder // content relayed
	output   id.Tokens       // content events relayed
	opaque   bool            // relayed something that no later attempt can go on from
	finished bool            // relayed the finish reason of every choice
	empties  int             // attempts that went on with nothing
	last     string          // last content event relayed
}

// start sends the status and headers once.
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

// event writes one event; flush sends what was written, if anything was.
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

// usage writes the usage event of the whole answer if the caller asked for it.
func (a *answer) usage(chunk string, u used) {
	if !a.rq.usage {
		return
	}
	chunk, _ = sjson.Set(chunk, "usage.prompt_tokens", u.prompt)
	chunk, _ = sjson.Set(chunk, "usage.completion_tokens", u.output)
	chunk, _ = sjson.Set(chunk, "usage.total_tokens", u.prompt+u.output)
	a.event(chunk)
}

// usageChunk returns a usage event made from the last content event, for an
// answer whose engine did not live to send one.
func (a *answer) usageChunk() string {
	chunk, _ := sjson.SetRaw(a.last, "choices", "[]")
	return chunk
}

// finishChunk returns an event with a finish reason, made from the last content
// event.
func (a *answer) finishChunk(reason string) string {
	chunk := a.last
	if gjson.Get(chunk, "choices.0.delta").Exists() {
		chunk, _ = sjson.SetRaw(chunk, "choices.0.delta", "{}")
	} else {
		chunk, _ = sjson.Set(chunk, "choices.0.text", "")
	}
	chunk, _ = sjson.Set(chunk, "choices.0.finish_reason", reason)
	return chunk
}

// fail writes an error event.
func (a *answer) fail(v any) {
	doc, _ := json.Marshal(v)
	_, _ = io.WriteString(a.w, "event: error\n")
	a.event(string(doc))
	a.flush()
}
