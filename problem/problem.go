// Package problem defines the errors with which requests are refused.
//
// A refusal is sent as an RFC 9457 problem document with two extension members: reason,
// a stable code that is also part of the name of a counter, and run, which says whether
// the request may have reached an upstream.
package problem

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// RunStatus tells whether an upstream may have run a refused request.
type RunStatus string

// The values of RunStatus.
const (
	// NotRun is used only if no byte of the request can have reached an upstream, or if
	// the upstream or its sidecar reported that it did not run the request.
	NotRun RunStatus = "not_run"
	// RunUnknown means that the request may have been run.
	RunUnknown RunStatus = "unknown"
)

// Reason is a stable code for the cause of a refusal.
type Reason string

// The reasons, which are written out in problem documents and counter names.
const (
	KeyMissing       Reason = "key_missing"
	KeyUnknown       Reason = "key_unknown"
	KeyWithdrawn     Reason = "key_withdrawn"
	ClassNotAllowed  Reason = "class_not_allowed"
	ClassUnknown     Reason = "class_unknown"
	RouteUnknown     Reason = "route_unknown"
	RouteClosed      Reason = "route_closed" // the route is not open to the workspace
	BadRequest       Reason = "bad_request"
	BodyTooLarge     Reason = "body_too_large"
	BodyLate         Reason = "body_late" // the body was not complete by the deadline
	HeaderTooLarge   Reason = "header_too_large"
	ModelUnknown     Reason = "model_unknown"
	WorkspaceLimit   Reason = "workspace_limit"
	WorkspaceUnknown Reason = "workspace_unknown"
	QueueFull        Reason = "queue_full"
	DeadlineExceeded Reason = "deadline_exceeded"
	DeadlineHopeless Reason = "deadline_hopeless" // the request cannot start before its deadline
	ShedForTier      Reason = "shed_for_tier"     // removed from a full queue for a request of a higher tier
	NoUpstream       Reason = "no_upstream"
	UpstreamBusy     Reason = "upstream_busy"
	UpstreamLimited  Reason = "upstream_limited" // the upstreams have named limits that are used up
	// UpstreamOverloaded means that no upstream is expected to begin with the request in time.
	UpstreamOverloaded Reason = "upstream_overloaded"
	UpstreamDraining   Reason = "upstream_draining"
	UpstreamFailed     Reason = "upstream_failed"
	UpstreamCut        Reason = "upstream_cut"     // the connection broke before the answer was complete
	Preempted          Reason = "preempted"        // stopped for a request of a higher tier
	UpstreamEmpty      Reason = "upstream_empty"   // the answer has no content
	AnswerCrossed      Reason = "answer_crossed"   // the upstream sent the answer to another request
	AnswerTruncated    Reason = "answer_truncated" // the answer is incomplete or too large
	MemoryFull         Reason = "memory_full"      // there is no memory for the request
	NotReady           Reason = "not_ready"
	Leaving            Reason = "leaving"                 // the process is shutting down
	StaleConfig        Reason = "stale_config"            // the configuration of the process may be out of date
	LogUnavailable     Reason = "log_unavailable"         // a record could not be appended to the log
	BookingPending     Reason = "booking_pending"         // another request runs the same call
	BookingUnknown     Reason = "booking_unknown"         // the outcome of an earlier request for this call is unknown
	BookingConflict    Reason = "booking_conflict"        // the idempotency key was used for another call
	BookingNotKept     Reason = "booking_answer_not_kept" // the call was run, but its answer was too long to store
	PromptHeld         Reason = "prompt_held"             // engines have crashed under a part of the prompt
	RetryBudget        Reason = "retry_budget_spent"      // the class has no retries left
	CallerGone         Reason = "caller_gone"             // the caller closed the connection
	Internal           Reason = "internal"
)

// PromisesNotRun reports whether a response with a status promises that the request has not
// run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Problem is a refusal. It implements error, so that filters can return it and errors.As
// finds it.
type Problem struct {
	Reason     Reason
	Run        RunStatus
	Status     int           // HTTP status
	Detail     string        // explanation for the caller
	RetryAfter time.Duration // zero: no Retry-After header
	Repeatable bool          // the caller may repeat the request even if it has run
	Request    string        // request id
}

var _ error = (*Problem)(nil)

// New returns a problem. Its detail is formatted as by fmt.Sprintf.
func New(reason Reason, run RunStatus, status int, format string, args ...any) *Problem {
	return &Problem{Reason: reason, Run: run, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// FromError returns the problem in the chain of err. Any other error becomes a problem
// with the reason Internal and the run status RunUnknown.
func FromError(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return New(Internal, RunUnknown, http.StatusInternalServerError, "%v", err)
}

// WithRetryAfter returns a copy of p that tells the caller to retry after d.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	c := *p
	c.RetryAfter = d
	return &c
}

// Error returns the reason, the run status and the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Reason, p.Run, p.Detail)
}

// truthful returns p as callers may hear it. Unless the request is known not to have run, p
// has no status that promises this, and invites to a repetition only if that is harmless.
func (p *Problem) truthful() *Problem {
	if p.Run == NotRun {
		return p
	}
	c := *p
	if PromisesNotRun(c.Status) {
		c.Status = http.StatusBadGateway
	}
	if !c.Repeatable {
		c.RetryAfter = 0
	}
	return &c
}

// document is the JSON form of a problem. The error member repeats the reason and detail
// in the form that clients of the chat completions API expect.
type document struct {
	Type   string        `json:"type"`
	Title  string        `json:"title"`
	Status int           `json:"status"`
	Detail string        `json:"detail,omitempty"`
	Reason Reason        `json:"reason"`
	Run    RunStatus     `json:"run"`
	ID     string        `json:"request_id,omitempty"`
	Error  documentError `json:"error"`
}

// documentError is the error member of a document.
type documentError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// MarshalJSON returns the problem document. Its status is that of Write.
func (p *Problem) MarshalJSON() ([]byte, error) {
	p = p.truthful()
	return json.Marshal(document{
		Type:   "about:blank",
		Title:  http.StatusText(p.Status),
		Status: p.Status,
		Detail: p.Detail,
		Reason: p.Reason,
		Run:    p.Run,
		ID:     p.Request,
		Error:  documentError{Message: p.Detail, Type: string(p.Run), Code: string(p.Reason)},
	})
}

// UnmarshalJSON parses a problem document, which includes neither RetryAfter nor Repeatable.
func (p *Problem) UnmarshalJSON(data []byte) error {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*p = Problem{Reason: d.Reason, Run: d.Run, Status: d.Status, Detail: d.Detail, Request: d.ID}
	return nil
}

// Write sends the problem as the complete response. The status of a request that may have run
// becomes 502 if it is one that promises the contrary (see PromisesNotRun), and there is no
// Retry-After header unless the request is repeatable.
func (p *Problem) Write(w http.ResponseWriter) {
	p = p.truthful()
	if p.Run != NotRun {
		w.Header().Del("Retry-After")
	}
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, string(p.Reason), p.Status)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(p.RetryAfter)))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// retrySeconds rounds d up to whole seconds, the unit of Retry-After.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
