package entry

// This file defines relay: from a sidecar's response to the caller, checking
// that the answer is the request's own and whole.

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	eventStream   = "text/event-stream"
	doneEvent     = "[DONE]"
	maxEventBytes = 1 << 20
	maxPlainBytes = 64 << 20
)

// used is what a caller received.
type used struct {
	prompt id.Tokens
	output id.Tokens
}

// answer is the caller's side of one request, across its attempts.
type answer struct {
	w       http.ResponseWriter
	rq      *request
	started bool // a byte of the answer has been sent
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
	wire.DropInternal(a.w.Header())
	a.w.Header().Set(wire.HeaderRequestID, string(a.rq.id))
	a.w.WriteHeader(rs.StatusCode)
}

// write sends text at once.
func (a *answer) write(text string) {
	_, _ = io.WriteString(a.w, text)
	_ = http.NewResponseController(a.w).Flush()
}

// sendFailure judges a request that got no response. A failed dial means that no
// byte can have arrived.
func sendFailure(ctx context.Context, u *upstream.View, err error) result {
	if callerGone(ctx) {
		return &broken{problem: problem.New(problem.CallerGone, problem.Unknown, 499, "the caller has left")}
	}
	if ctx.Err() != nil {
		return &broken{problem: problem.New(problem.DeadlineExceeded, problem.Unknown, http.StatusGatewayTimeout, "deadline passed at upstream %s", u.ID)}
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &refused{problem.New(problem.UpstreamFailed, problem.NotRun, http.StatusBadGateway, "upstream %s: %v", u.ID, err)}
	}
	return &broken{problem: problem.New(problem.UpstreamFailed, problem.Unknown, http.StatusBadGateway, "upstream %s: %v", u.ID, err)}
}

// relay passes the response on.
func (e *Entry) relay(a *answer, u *upstream.View, rs *http.Response) result {
	if rs.Header.Get(wire.HeaderRefused) != "" {
		return sidecarRefusal(u, rs)
	}
	if rid := rs.Header.Get(wire.HeaderRequestID); rid != string(a.rq.id) {
		e.count("answer_crossed")
		return brokenBy(problem.AnswerCrossed, u, "answer carries request id "+rid, used{})
	}
	if mediaType(rs) == eventStream {
		return e.relayEvents(a, u, rs)
	}
	return e.relayPlain(a, u, rs)
}

func mediaType(rs *http.Response) string {
	t := rs.Header.Get("Content-Type")
	if len(t) >= len(eventStream) && t[:len(eventStream)] == eventStream {
		return eventStream
	}
	return t
}

func brokenBy(reason problem.Reason, u *upstream.View, detail string, got used) *broken {
	return &broken{
		problem: problem.New(reason, problem.Unknown, http.StatusBadGateway, "upstream %s: %s", u.ID, detail),
		used:    got,
	}
}

// sidecarRefusal reads the problem with which a sidecar refused.
func sidecarRefusal(u *upstream.View, rs *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxEventBytes))
	var p problem.Problem
	if err != nil || json.Unmarshal(body, &p) != nil {
		return brokenBy(problem.UpstreamFailed, u, "unreadable refusal", used{})
	}
	if p.Run == problem.NotRun {
		return &refused{problem: &p}
	}
	return &broken{problem: &p}
}

// relayPlain passes on an answer with a full length. It is held back until it is
// whole, so that a cut one can be tried again.
func (e *Entry) relayPlain(a *answer, u *upstream.View, rs *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxPlainBytes+1))
	if err != nil {
		return brokenBy(problem.UpstreamCut, u, err.Error(), used{})
	}
	if len(body) > maxPlainBytes {
		return brokenBy(problem.AnswerTruncated, u, "answer too large", used{})
	}
	var got used
	if a.rq.service == "" && rs.StatusCode == http.StatusOK {
		usage := gjson.GetBytes(body, "usage")
		got = used{prompt: id.Tokens(usage.Get("prompt_tokens").Int()), output: id.Tokens(usage.Get("completion_tokens").Int())}
		if gjson.GetBytes(body, "choices.0.finish_reason").Str == "" {
			return brokenBy(problem.UpstreamEmpty, u, "answer without a finish reason", used{})
		}
		if got.output == 0 {
			return brokenBy(problem.UpstreamEmpty, u, "empty answer", used{})
		}
	}
	a.start(rs)
	if _, err := a.w.Write(body); err != nil {
		return &broken{problem: problem.New(problem.CallerGone, problem.Unknown, 499, "%v", err), used: got}
	}
	return &answered{used: got}
}

// relayEvents passes on a stream of events. It is whole with its finish reason
// and its last event.
func (e *Entry) relayEvents(a *answer, u *upstream.View, rs *http.Response) result {
	var got used
	finished := false
	config := &sse.ReadConfig{MaxEventSize: maxEventBytes}
	for ev, err := range sse.Read(rs.Body, config) {
		if err != nil {
			return brokenBy(problem.UpstreamCut, u, err.Error(), got)
		}
		if ev.Data == doneEvent {
			return e.finish(a, u, got, finished)
		}
		chunk := gjson.Parse(ev.Data)
		if !ownChunk(chunk, a.rq.id) {
			e.count("answer_crossed")
			return brokenBy(problem.AnswerCrossed, u, "event of another answer", got)
		}
		usageOnly := readChunk(chunk, &got, &finished)
		if usageOnly && !a.rq.usage {
			continue
		}
		a.start(rs)
		a.write("data: " + ev.Data + "\n\n")
	}
	return brokenBy(problem.UpstreamCut, u, "stream ended early", got)
}

// finish ends a stream whose last event has come.
func (e *Entry) finish(a *answer, u *upstream.View, got used, finished bool) result {
	if got.output == 0 {
		return brokenBy(problem.UpstreamEmpty, u, "empty answer", got)
	}
	if !finished {
		return brokenBy(problem.AnswerTruncated, u, "no finish reason", got)
	}
	a.write("data: " + doneEvent + "\n\n")
	return &answered{used: got}
}

// ownChunk reports whether a chunk belongs to the request: engines name an answer
// after the request id that they are given.
func ownChunk(chunk gjson.Result, rq id.Request) bool {
	cid := chunk.Get("id").Str
	return len(cid) >= len(rq) && cid[len(cid)-len(rq):] == string(rq)
}

// readChunk counts a chunk and reports whether it holds nothing but usage.
func readChunk(chunk gjson.Result, got *used, finished *bool) (usageOnly bool) {
	if u := chunk.Get("usage"); u.IsObject() {
		got.prompt = id.Tokens(u.Get("prompt_tokens").Int())
		got.output = id.Tokens(u.Get("completion_tokens").Int())
		return !chunk.Get("choices.0").Exists()
	}
	c := chunk.Get("choices.0")
	if c.Get("finish_reason").Str != "" {
		*finished = true
	}
	if c.Get("delta.content").Str != "" || c.Get("text").Str != "" || c.Get("delta.tool_calls").Exists() {
		got.output++
	}
	return false
}
