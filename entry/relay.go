package entry

// This file defines relay, which passes a sidecar's response to the caller and checks
// that the answer is complete and belongs to the request. events.go relays streams.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	eventStream        = "text/event-stream"
	maxEventBytes      = 1 << 20  // of an event of a stream, or of a sidecar's refusal
	maxUnstreamedBytes = 64 << 20 // of an answer that is not streamed
)

// relay passes the response to the caller.
func (e *Entry) relay(a *answer, u *upstream.View, rs *http.Response) attemptResult {
	if rs.Header.Get(wire.HeaderRefused) != "" {
		return e.sidecarRefusal(a.rq, u, rs)
	}
	if statusFailed(a.rq, rs.StatusCode) {
		return failedAttempt(problem.UpstreamFailed, u, fmt.Sprintf("%.*s", maxErrorRunes, rs.Status))
	}
	if rid := rs.Header.Get(wire.HeaderRequestID); rid != string(a.rq.id) {
		e.count("answer_crossed")
		return failedAttempt(problem.AnswerCrossed, u, fmt.Sprintf("answer carries request id %.64q", rid))
	}
	if a.rq.stream && strings.HasPrefix(rs.Header.Get("Content-Type"), eventStream) {
		return e.relayEvents(a, u, rs)
	}
	return e.relayUnstreamed(a, u, rs)
}

// statusFailed reports whether a status means that the upstream did not serve the
// request. Any other error status of a plain service is its answer. To a call that must not be
// repeated every status is, except those that would promise the caller that it has not run, which
// a service does not say.
func statusFailed(rq *request, status int) bool {
	switch {
	case rq.atMostOnce():
		return problem.PromisesNotRun(status)
	case rq.service == "":
		return status >= http.StatusInternalServerError
	}
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

func failedAttempt(reason problem.Reason, u *upstream.View, detail string) *attemptFailed {
	return &attemptFailed{problem.New(reason, problem.RunUnknown, http.StatusBadGateway, "upstream %s: %s", u.ID, detail)}
}

// sidecarRefusal returns the result of an attempt that a sidecar refused. A refusal that does not
// name the request, or contradicts the response, proves nothing.
func (e *Entry) sidecarRefusal(rq *request, u *upstream.View, rs *http.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxEventBytes))
	var p problem.Problem
	if err != nil || json.Unmarshal(body, &p) != nil {
		return failedAttempt(problem.UpstreamFailed, u, "sidecar sent an unreadable refusal with reason "+rs.Header.Get(wire.HeaderRefused))
	}
	if p.Request != string(rq.id) || p.Status != rs.StatusCode {
		e.count("answer_crossed")
		return failedAttempt(problem.AnswerCrossed, u, fmt.Sprintf("sidecar sent a refusal of request %q with status %d in a response with status %d", p.Request, p.Status, rs.StatusCode))
	}
	if p.Reason == problem.AnswerCrossed {
		e.count("answer_crossed")
	}
	if p.Run == problem.NotRun {
		return &attemptNotRun{problem: &p}
	}
	return &attemptFailed{problem: &p}
}

// relayUnstreamed relays an answer that is not streamed. It reads the whole answer before
// it sends anything, so that an interrupted one can be retried.
func (e *Entry) relayUnstreamed(a *answer, u *upstream.View, rs *http.Response) attemptResult {
	whole, err := e.deps.Memory.Responses.Share(memory.Holder(u.ID)).ReadBody(rs.Body, maxUnstreamedBytes)
	defer whole.Release()
	switch {
	case errors.Is(err, memory.ErrTooLarge), errors.Is(err, memory.ErrFull):
		return failedAttempt(problem.AnswerTruncated, u, fmt.Sprintf("after %d bytes of the answer: %v", whole.Len(), err))
	case err != nil:
		return failedAttempt(problem.UpstreamCut, u, err.Error())
	}
	body := whole.Bytes()
	var got tokenUsage
	if a.rq.service == "" && rs.StatusCode == http.StatusOK {
		var failure *attemptFailed
		if got, failure = e.checkCompletion(a.rq, u, body); failure != nil {
			return failure
		}
	}
	if a.started {
		return failedAttempt(problem.AnswerTruncated, u, "rest of the stream has content type "+rs.Header.Get("Content-Type"))
	}
	a.start(rs)
	if _, err := a.w.Write(body); err != nil {
		return &attemptFailed{problem.New(problem.CallerGone, problem.RunUnknown, statusClientClosedRequest, "%v", err)}
	}
	a.output = got.output
	return &attemptAnswered{used: got}
}

// checkCompletion returns the token usage of a completion, or the failure if the
// completion is incomplete or belongs to another request.
func (e *Entry) checkCompletion(rq *request, u *upstream.View, body []byte) (tokenUsage, *attemptFailed) {
	if !belongsToRequest(gjson.GetBytes(body, "id").Str, rq.id) {
		e.count("answer_crossed")
		return tokenUsage{}, failedAttempt(problem.AnswerCrossed, u, "answer belongs to another request")
	}
	usage := gjson.GetBytes(body, "usage")
	got := tokenUsage{
		prompt: id.Tokens(usage.Get("prompt_tokens").Int()),
		output: id.Tokens(usage.Get("completion_tokens").Int()),
	}
	switch {
	case got.output == 0:
		return tokenUsage{}, failedAttempt(problem.UpstreamEmpty, u, "answer without content")
	case gjson.GetBytes(body, "choices.0.finish_reason").Str == "":
		return tokenUsage{}, failedAttempt(problem.AnswerTruncated, u, "answer without a finish reason")
	}
	return got, nil
}

// belongsToRequest reports whether an answer belongs to the request. Engines end an
// answer's id with the request id that they were sent.
func belongsToRequest(answerID string, rq id.Request) bool {
	return strings.HasSuffix(answerID, string(rq))
}
