package entry

// This file defines relayEvents, which passes on a streamed answer.

import (
	"io"
	"net/http"
	"strconv"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const doneEvent = "[DONE]"

// stream is one attempt's part of an answer.
type stream struct {
	e *Entry
	a *answer
	u *upstream.View

	rs       *http.Response
	before   id.Tokens // delivered by earlier attempts
	held     []string  // events before the first content
	finishes int       // finish reasons this attempt has sent
	usage    string    // the engine's usage event
}

// relayEvents passes on a stream of events, which is whole with its finish reason
// and its last event. Nothing is sent before the first content has come, so an
// empty answer leaves no trace.
func (e *Entry) relayEvents(a *answer, u *upstream.View, rs *http.Response) result {
	s := &stream{e: e, a: a, u: u, rs: rs, before: a.output}
	body := &eventReader{from: rs.Body, a: a, patience: e.cfg.Stall}
	defer body.stop()
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return s.cut(body.why(err))
		}
		if res := s.event(ev); res != nil {
			a.flush()
			return res
		}
	}
	return s.cut(body.why(io.ErrUnexpectedEOF))
}

// event passes on one event; it returns a result if the attempt is over.
func (s *stream) event(ev sse.Event) result {
	switch {
	case ev.Type == wire.EventPreempted:
		return brokenBy(problem.Preempted, s.u, "made room for a higher tier")
	case ev.Data == doneEvent:
		return s.done()
	case ev.Data == "":
		return nil
	}
	if own := gjson.Get(ev.Data, "id"); !ownChunk(own.Str, s.a.rq.id) {
		return s.foreign(ev.Data)
	}
	c := readChunk(ev.Data)
	if c.usage {
		s.usage = ev.Data
		return nil
	}
	if c.finish {
		s.finishes++
	}
	if s.before+s.a.output == 0 && !c.content && !c.opaque {
		s.held = append(s.held, ev.Data)
		return nil
	}
	if s.a.started && !c.content && !c.opaque && !c.finish {
		return nil // an opening event of a later attempt
	}
	s.pass(c, ev.Data)
	return nil
}

// foreign judges an event without the request's id.
func (s *stream) foreign(data string) result {
	if e := gjson.Get(data, "error"); e.Exists() {
		return brokenBy(problem.UpstreamFailed, s.u, "error event: "+e.Get("message").String())
	}
	s.e.count("answer_crossed")
	return brokenBy(problem.AnswerCrossed, s.u, "event of another answer")
}

// pass writes an event to the caller. A finish without content of its own waits
// for the end, which tells whether the answer was empty.
func (s *stream) pass(c chunk, data string) {
	a := s.a
	if c.finish && !c.content && !c.opaque && a.output == s.before {
		s.held = append(s.held, data)
		return
	}
	a.start(s.rs)
	for _, h := range s.held {
		a.event(h)
	}
	s.held = nil
	a.event(data)
	a.finished = s.finishes >= a.rq.choices
	if c.content {
		a.output++
		a.last = data
		if a.rq.resumable {
			a.text.WriteString(c.text)
		}
	}
	a.opaque = a.opaque || c.opaque
}

// done ends an attempt whose last event has come.
func (s *stream) done() result {
	a := s.a
	switch {
	case a.output == 0 && !a.opaque:
		return brokenBy(problem.UpstreamEmpty, s.u, "empty answer")
	case s.finishes < a.rq.choices:
		return brokenBy(problem.AnswerTruncated, s.u, "no finish reason")
	case len(s.held) > 0 && a.empties == 0:
		// The rest may be empty indeed, but a second attempt must agree.
		a.empties++
		return brokenBy(problem.UpstreamEmpty, s.u, "nothing after the first "+strconv.FormatInt(int64(s.before), 10)+" tokens")
	}
	for _, h := range s.held {
		a.event(h)
	}
	return s.e.complete(a, s.usage, s.before)
}

// complete ends a whole answer: with the usage of all its attempts and the last
// event. before is what attempts before the last one delivered.
func (e *Entry) complete(a *answer, usage string, before id.Tokens) result {
	total := used{prompt: a.rq.prompt, output: a.output}
	if usage != "" {
		u := gjson.Get(usage, "usage")
		total.prompt = id.Tokens(u.Get("prompt_tokens").Int()) - before
		total.output = before + id.Tokens(u.Get("completion_tokens").Int())
	} else {
		e.count("usage_estimated")
		usage = a.usageChunk()
	}
	a.usage(usage, total)
	a.event(doneEvent)
	a.flush()
	return &answered{used: total}
}

// cut ends an attempt whose stream broke off. An answer that had its finish
// reason is whole all the same.
func (s *stream) cut(detail string) result {
	if s.a.finished {
		return s.e.complete(s.a, s.usage, s.before)
	}
	return brokenBy(problem.UpstreamCut, s.u, detail)
}

// chunk is what relay needs to know of one event.
type chunk struct {
	text    string
	content bool // carries text
	opaque  bool // carries what a later attempt cannot go on from
	finish  bool
	usage   bool // carries nothing but usage
}

// readChunk reads the data of an event.
func readChunk(data string) chunk {
	choice := gjson.Get(data, "choices.0")
	if !choice.Exists() {
		return chunk{usage: gjson.Get(data, "usage").IsObject()}
	}
	var c chunk
	choice.ForEach(func(name, v gjson.Result) bool {
		switch name.Str {
		case "finish_reason":
			c.finish = v.Str != ""
		case "text":
			c.text = v.Str
		case "delta":
			v.ForEach(c.delta)
		}
		return true
	})
	c.content = c.text != ""
	return c
}

// delta reads one member of a delta.
func (c *chunk) delta(name, v gjson.Result) bool {
	switch name.Str {
	case "content":
		c.text = v.Str
	case "role":
	default: // tool calls, refusals, reasoning
		c.opaque = c.opaque || present(v)
	}
	return true
}

// present reports whether a member holds anything.
func present(v gjson.Result) bool {
	switch v.Type {
	case gjson.String:
		return v.Str != ""
	case gjson.JSON:
		return v.Raw != "[]" && v.Raw != "{}"
	}
	return false
}
