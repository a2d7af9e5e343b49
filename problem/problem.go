// Package problem defines the refusals that callers receive.
//
// A refusal is an RFC 9457 problem document with two members of our own: reason,
// a stable code that is also the name of a counter, and run, which says whether
// the request can have reached an upstream.
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

// RunStatus says whether a refused request can have been run.
type RunStatus string

// The values of Run. NotRun is said only when no byte of the request can have
// reached an upstream, or the upstream or its sidecar said so.
const (
	NotRun     RunStatus = "not_run"
	RunUnknown RunStatus = "unknown"
)

// Reason is a stable code for a refusal.
type Reason string

// The reasons for refusals.
const (
	KeyMissing       Reason = "key_missing"
	KeyUnknown       Reason = "key_unknown"
	KeyWithdrawn     Reason = "key_withdrawn"
	ClassNotAllowed  Reason = "class_not_allowed"
	ClassUnknown     Reason = "class_unknown"
	RouteUnknown     Reason = "route_unknown"
	RouteClosed      Reason = "route_closed"
	BadRequest       Reason = "bad_request"
	BodyTooLarge     Reason = "body_too_large"
	HeaderTooLarge   Reason = "header_too_large"
	ModelUnknown     Reason = "model_unknown"
	WorkspaceLimit   Reason = "workspace_limit"
	WorkspaceUnknown Reason = "workspace_unknown"
	QueueFull        Reason = "queue_full"
	DeadlineExceeded Reason = "deadline_exceeded"
	DeadlineHopeless Reason = "deadline_hopeless"
	ShedForTier      Reason = "shed_for_tier"
	NoUpstream       Reason = "no_upstream"
	UpstreamBusy     Reason = "upstream_busy"
	UpstreamDraining Reason = "upstream_draining"
	UpstreamFailed   Reason = "upstream_failed"
	UpstreamCut      Reason = "upstream_cut"
	Preempted        Reason = "preempted"
	UpstreamEmpty    Reason = "upstream_empty"
	AnswerCrossed    Reason = "answer_crossed"
	AnswerTruncated  Reason = "answer_truncated"
	NotReady         Reason = "not_ready"
	Leaving          Reason = "leaving"
	StaleConfig      Reason = "stale_config"
	LogUnavailable   Reason = "log_unavailable"
	BookingPending   Reason = "booking_pending"
	BookingUnknown   Reason = "booking_unknown"
	BookingConflict  Reason = "booking_conflict"
	BookingNotKept   Reason = "booking_answer_not_kept"
	RetryBudget      Reason = "retry_budget_spent"
	CallerGone       Reason = "caller_gone"
	Internal         Reason = "internal"
)

// Problem is a refusal. It is an error, so that it can be returned through the
// filters and found with errors.As.
type Problem struct {
	Reason     Reason
	Run        RunStatus
	Status     int // HTTP status
	Detail     string
	RetryAfter time.Duration // zero: no advice
	Request    string
}

var _ error = (*Problem)(nil)

// New returns a problem. Detail is formatted as by fmt.Sprintf.
func New(reason Reason, run RunStatus, status int, format string, args ...any) *Problem {
	return &Problem{Reason: reason, Run: run, Status: status, Detail: fmt.Sprintf(format, args...)}
}

// FromError returns the problem within err; any other error becomes an internal problem
// whose run is unknown.
func FromError(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return New(Internal, RunUnknown, http.StatusInternalServerError, "%v", err)
}

// WithRetryAfter returns a copy of p that tells the caller when to come back.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	c := *p
	c.RetryAfter = d
	return &c
}

// Error returns the reason and the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Reason, p.Run, p.Detail)
}

// document is the JSON form. The error member repeats the detail in the form
// that clients of the chat completion interface read.
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

type documentError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

// MarshalJSON returns the problem document.
func (p *Problem) MarshalJSON() ([]byte, error) {
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

// UnmarshalJSON reads a problem document.
func (p *Problem) UnmarshalJSON(data []byte) error {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*p = Problem{Reason: d.Reason, Run: d.Run, Status: d.Status, Detail: d.Detail, Request: d.ID}
	return nil
}

// Write sends the problem as the whole response.
func (p *Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, string(p.Reason), p.Status)
		return
	}
	w.Header().Set("Content-Type", ContentType)
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(p.RetryAfter)))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// retrySeconds rounds up to whole seconds, the unit of Retry-After.
func retrySeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
