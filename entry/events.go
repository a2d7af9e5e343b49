package entry

// This file defines relayEvents, which relays a streamed answer.

import (
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	doneEvent      = "[DONE]"
	errorEventType = "error"
	// maxErrorRunes bounds what is told of an upstream's error.
	maxErrorRunes = 256
	// withheldEventBytes is what an event that is withheld takes besides its data.
	withheldEventBytes = 32
	// maxResumableBytes limits the text that is kept to resume an answer.
	maxResumableBytes = 4 << 20
)

// attemptStream is the part of an answer that one attempt contributes.
type attemptStream struct {
	e *Entry
	a *answer
	u *upstream.View

	rs            *http.Response
	outputBefore  id.Tokens // output delivered by earlier attempts
	memory        *memory.Share
	buffered      []string // events withheld until the next content
	bufferedBytes int
	finishReasons int    // number received in this attempt
	usageEvent    string // data of the engine's usage event
}

// relayEvents relays a stream of events. The stream is complete if it has a finish
// reason and the done event. Nothing is sent before the first content, so that an
// empty answer can be retried unnoticed.
func (e *Entry) relayEvents(a *answer, u *upstream.View, rs *http.Response) attemptResult {
	s := &attemptStream{e: e, a: a, u: u, rs: rs, memory: e.deps.Memory.Responses.Share(memory.Holder(u.ID)), outputBefore: a.output}
	defer s.memory.Release()
	body := &eventReader{from: rs.Body, a: a, stallTimeout: e.cfg.StallTimeout}
	defer body.stop()
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return s.broken(problem.UpstreamCut, body.endCause(err))
		}
		if res := s.handleEvent(ev); res != nil {
			a.flush()
			return res
		}
	}
	return s.broken(problem.UpstreamCut, body.endCause(io.ErrUnexpectedEOF))
}

// handleEvent relays one event. It returns a result if the attempt has ended.
func (s *attemptStream) handleEvent(ev sse.Event) attemptResult {
	switch {
	case ev.Type == wire.EventPreempted:
		return failedAttempt(problem.Preempted, s.u, "preempted by a request of a higher tier")
	case ev.Data == doneEvent:
		return s.finish()
	case ev.Type == errorEventType:
		return s.broken(problem.UpstreamFailed, "error event")
	case ev.Data == "":
		return nil
	case !gjson.Valid(ev.Data):
		// The stream broke off within an event, and something else followed.
		return s.broken(problem.UpstreamFailed, "an event is not JSON")
	}
	if e := gjson.Get(ev.Data, "error"); e.Type != gjson.Null {
		return s.broken(problem.UpstreamFailed, fmt.Sprintf("error event: %.*s", maxErrorRunes, e.Get("message").String()))
	}
	if answerID := gjson.Get(ev.Data, "id"); !belongsToRequest(answerID.Str, s.a.rq.id) {
		s.e.count("answer_crossed")
		return s.broken(problem.AnswerCrossed, "event belongs to another answer")
	}
	c := parseChunk(ev.Data)
	if c.usageOnly {
		s.usageEvent = ev.Data
		return nil
	}
	if c.hasFinishReason {
		s.finishReasons++
	}
	if s.outputBefore+s.a.output == 0 && !c.hasContent && !c.opaque {
		return s.withhold(ev.Data)
	}
	if s.a.started && !c.hasContent && !c.opaque && !c.hasFinishReason {
		return nil // opening event of a resumed attempt
	}
	return s.forward(c, ev.Data)
}

// withhold keeps an event until the next content. It returns a result if there is no memory for it.
func (s *attemptStream) withhold(data string) attemptResult {
	s.bufferedBytes += len(data) + withheldEventBytes
	if err := s.memory.GrowTo(int64(s.bufferedBytes)); err != nil {
		return s.broken(problem.AnswerTruncated, err.Error())
	}
	s.buffered = append(s.buffered, data)
	return nil
}

// forward writes an event to the caller. A finish reason without content is withheld
// until the end of the attempt, which shows whether the attempt was empty. It returns a result if the
// attempt has ended.
func (s *attemptStream) forward(c chunk, data string) attemptResult {
	a := s.a
	if c.hasFinishReason && !c.hasContent && !c.opaque && a.output == s.outputBefore {
		return s.withhold(data)
	}
	a.start(s.rs)
	for _, withheld := range s.buffered {
		a.event(withheld)
	}
	s.buffered, s.bufferedBytes = nil, 0
	a.event(data)
	a.finished = s.finishReasons >= a.rq.choices
	if c.hasContent {
		a.output++
		a.lastContent = data
		if a.resumable() {
			a.text.WriteString(c.text)
		}
	}
	a.opaque = a.opaque || c.opaque || a.text.Len() > maxResumableBytes
	return nil
}

// finish ends an attempt after its done event.
func (s *attemptStream) finish() attemptResult {
	a := s.a
	switch {
	case a.output == 0 && !a.opaque:
		return failedAttempt(problem.UpstreamEmpty, s.u, "answer without content")
	case s.finishReasons < a.rq.choices:
		return failedAttempt(problem.AnswerTruncated, s.u, "stream ended without a finish reason")
	case len(s.buffered) > 0 && a.emptyResumptions == 0:
		// The rest of the answer may really be empty, but a second attempt must confirm it.
		a.emptyResumptions++
		return failedAttempt(problem.UpstreamEmpty, s.u, "no content after the first "+strconv.FormatInt(int64(s.outputBefore), 10)+" tokens")
	}
	for _, withheld := range s.buffered {
		a.event(withheld)
	}
	return s.e.completeStream(a, s.usageEvent, s.outputBefore)
}

// completeStream ends a complete answer with the usage of all its attempts and the done
// event. Usage is the last attempt's usage event, or "" if there is none; outputBefore is the
// output that earlier attempts delivered, which the last one counts as part of its prompt.
func (e *Entry) completeStream(a *answer, usage string, outputBefore id.Tokens) attemptResult {
	total := tokenUsage{prompt: a.rq.promptTokens, output: a.output}
	if usage != "" {
		u := gjson.Get(usage, "usage")
		total.prompt = id.Tokens(u.Get("prompt_tokens").Int()) - outputBefore
		total.output = outputBefore + id.Tokens(u.Get("completion_tokens").Int())
	} else {
		e.count("usage_estimated")
		usage = a.usageChunk()
	}
	a.usageEvent(usage, total)
	a.event(doneEvent)
	a.flush()
	return &attemptAnswered{used: total}
}

// broken ends an attempt whose stream broke off or goes on with something else. An answer
// that already has its finish reasons is complete nevertheless.
func (s *attemptStream) broken(reason problem.Reason, detail string) attemptResult {
	if s.a.finished {
		return s.e.completeStream(s.a, s.usageEvent, s.outputBefore)
	}
	return failedAttempt(reason, s.u, detail)
}

// chunk holds the properties of an event that decide how it is relayed.
type chunk struct {
	text            string
	hasContent      bool // carries text
	opaque          bool // carries a part that a later attempt cannot resume from
	hasFinishReason bool
	usageOnly       bool // carries only usage
}

// parseChunk parses the data of an event.
func parseChunk(data string) chunk {
	choice := gjson.Get(data, "choices.0")
	if !choice.Exists() {
		return chunk{usageOnly: gjson.Get(data, "usage").IsObject()}
	}
	var c chunk
	choice.ForEach(func(name, v gjson.Result) bool {
		switch name.Str {
		case "finish_reason":
			c.hasFinishReason = v.Str != ""
		case "text":
			c.text = v.Str
		case "delta":
			v.ForEach(c.readDeltaMember)
		}
		return true
	})
	c.hasContent = c.text != ""
	return c
}

// readDeltaMember records one member of a delta.
func (c *chunk) readDeltaMember(name, v gjson.Result) bool {
	switch name.Str {
	case "content":
		c.text = v.Str
	case "role":
	default: // tool calls, refusals, reasoning
		c.opaque = c.opaque || nonEmpty(v)
	}
	return true
}

// nonEmpty reports whether a member holds a non-empty string, list or object.
func nonEmpty(v gjson.Result) bool {
	switch v.Type {
	case gjson.String:
		return v.Str != ""
	case gjson.JSON:
		return v.Raw != "[]" && v.Raw != "{}"
	}
	return false
}
