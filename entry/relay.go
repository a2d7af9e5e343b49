package entry

// This file defines relay: from a sidecar's response to the caller, checking
// that the answer is the request's own and whole. Streams are in events.go.

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	eventStream   = "text/event-stream"
	maxEventBytes = 1 << 20
	maxPlainBytes = 64 << 20
)

// relay passes the response on.
func (e *Entry) relay(a *answer, u *upstream.View, rs *http.Response) result {
	if rs.Header.Get(wire.HeaderRefused) != "" {
		return sidecarRefusal(u, rs)
	}
	if failed(a.rq, rs.StatusCode) {
		return brokenBy(problem.UpstreamFailed, u, rs.Status)
	}
	if rid := rs.Header.Get(wire.HeaderRequestID); rid != string(a.rq.id) {
		e.count("answer_crossed")
		return brokenBy(problem.AnswerCrossed, u, "answer carries request id "+rid)
	}
	if a.rq.stream && strings.HasPrefix(rs.Header.Get("Content-Type"), eventStream) {
		return e.relayEvents(a, u, rs)
	}
	return e.relayPlain(a, u, rs)
}

// failed reports whether a status says that an upstream did not serve the request.
// Other errors of a plain service are its answer, as is all that a call gets which
// must not be repeated.
func failed(rq *request, status int) bool {
	switch {
	case rq.once():
		return false
	case rq.service == "":
		return status >= http.StatusInternalServerError
	}
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func brokenBy(reason problem.Reason, u *upstream.View, detail string) *broken {
	return &broken{problem.New(reason, problem.RunUnknown, http.StatusBadGateway, "upstream %s: %s", u.ID, detail)}
}

// sidecarRefusal reads the problem with which a sidecar refused.
func sidecarRefusal(u *upstream.View, rs *http.Response) result {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxEventBytes))
	var p problem.Problem
	if err != nil || json.Unmarshal(body, &p) != nil {
		return brokenBy(problem.UpstreamFailed, u, "unreadable refusal")
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
		return brokenBy(problem.UpstreamCut, u, err.Error())
	}
	if len(body) > maxPlainBytes {
		return brokenBy(problem.AnswerTruncated, u, "answer too large")
	}
	var got used
	if a.rq.service == "" && rs.StatusCode == http.StatusOK {
		var b *broken
		if got, b = e.checkPlain(a.rq, u, body); b != nil {
			return b
		}
	}
	if a.started {
		return brokenBy(problem.AnswerTruncated, u, "the rest of the stream came as "+rs.Header.Get("Content-Type"))
	}
	a.start(rs)
	if _, err := a.w.Write(body); err != nil {
		return &broken{problem.New(problem.CallerGone, problem.RunUnknown, statusCallerGone, "%v", err)}
	}
	a.output = got.output
	return &answered{used: got}
}

// checkPlain returns what a completion delivers, or why it is not a whole answer
// to the request.
func (e *Entry) checkPlain(rq *request, u *upstream.View, body []byte) (used, *broken) {
	if !ownChunk(gjson.GetBytes(body, "id").Str, rq.id) {
		e.count("answer_crossed")
		return used{}, brokenBy(problem.AnswerCrossed, u, "answer with another id")
	}
	usage := gjson.GetBytes(body, "usage")
	got := used{
		prompt: id.Tokens(usage.Get("prompt_tokens").Int()),
		output: id.Tokens(usage.Get("completion_tokens").Int()),
	}
	switch {
	case got.output == 0:
		return used{}, brokenBy(problem.UpstreamEmpty, u, "empty answer")
	case gjson.GetBytes(body, "choices.0.finish_reason").Str == "":
		return used{}, brokenBy(problem.AnswerTruncated, u, "answer without a finish reason")
	}
	return got, nil
}

// ownChunk reports whether an answer with id cid belongs to the request: engines
// name an answer after the request id that they are given.
func ownChunk(cid string, rq id.Request) bool { return strings.HasSuffix(cid, string(rq)) }
