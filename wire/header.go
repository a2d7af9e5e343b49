// Package wire defines the protocol between the router's processes: the headers of
// proxied requests between an entry and a sidecar, and, in its subpackages, the generated
// code of the RPC services.
package wire

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/tier"
)

// HeaderPrefix is the prefix of the headers that entries and sidecars exchange. Headers
// with this prefix are removed from what callers and upstreams send.
const HeaderPrefix = "Ragwort-"

// The headers of requests from an entry to a sidecar, and of the responses.
const (
	HeaderRequest      = HeaderPrefix + "Request"
	HeaderKey          = HeaderPrefix + "Key"
	HeaderWorkspace    = HeaderPrefix + "Workspace"
	HeaderClass        = HeaderPrefix + "Class"
	HeaderTier         = HeaderPrefix + "Tier"
	HeaderDeadline     = HeaderPrefix + "Deadline-Unix-Ms"
	HeaderAttempt      = HeaderPrefix + "Attempt"
	HeaderConfigOffset = HeaderPrefix + "Config-Offset"
	HeaderAtMostOnce   = HeaderPrefix + "Once"      // set: the call must not be sent again
	HeaderResumable    = HeaderPrefix + "Resumable" // set: another upstream can generate the rest of the response
	HeaderLoad         = HeaderPrefix + "Load"
	HeaderUpstream     = HeaderPrefix + "Upstream"
	HeaderRateLimit    = HeaderPrefix + "Rate-Limit" // from an upstream to its sidecar: requests a second that it takes
	HeaderRefused      = HeaderPrefix + "Refused"    // set: the sidecar refused the request; the body is its problem document
)

// ParseRateLimit parses a number of requests a second, from zero.
func ParseRateLimit(text string) (id.PerSecond, error) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		return 0, err
	}
	if !(n >= 0) || math.IsInf(n, 1) { // NaN is not from zero
		return 0, fmt.Errorf("rate %v: expected a finite number from zero", n)
	}
	return id.PerSecond(n), nil
}

// EventPreempted is the type of the last event of a stream that a sidecar preempted in
// favour of a higher tier. The entry has the rest of the response generated elsewhere.
const EventPreempted = "ragwort_preempted"

// HeaderRequestID carries the request ID to callers and upstreams.
const HeaderRequestID = "X-Request-Id"

// Envelope holds the metadata of a request that an entry sends to a sidecar.
type Envelope struct {
	Request      id.Request
	Key          id.Key
	Workspace    id.Workspace
	Class        id.Class
	Tier         tier.Tier
	Deadline     time.Time // zero: none
	Attempt      int       // starts at 1
	ConfigOffset id.Offset // log offset that the entry has applied
	AtMostOnce   bool      // the call must not be sent again
	Resumable    bool      // an interrupted stream can be continued from its text
}

// EnvelopeError reports a missing or invalid header in a request to a sidecar.
type EnvelopeError struct{ Header, Value string }

func (e *EnvelopeError) Error() string {
	return fmt.Sprintf("header %s: bad value %q", e.Header, e.Value)
}

// SetHeaders sets the headers of the envelope in h.
func (e Envelope) SetHeaders(h http.Header) {
	h.Set(HeaderRequest, string(e.Request))
	h.Set(HeaderKey, string(e.Key))
	h.Set(HeaderWorkspace, string(e.Workspace))
	h.Set(HeaderClass, string(e.Class))
	h.Set(HeaderTier, e.Tier.String())
	h.Set(HeaderAttempt, strconv.Itoa(e.Attempt))
	h.Set(HeaderConfigOffset, strconv.FormatUint(uint64(e.ConfigOffset), 10))
	if !e.Deadline.IsZero() {
		h.Set(HeaderDeadline, strconv.FormatInt(e.Deadline.UnixMilli(), 10))
	}
	if e.AtMostOnce {
		h.Set(HeaderAtMostOnce, "true")
	}
	if e.Resumable {
		h.Set(HeaderResumable, "true")
	}
}

// ReadEnvelope parses the headers of an envelope. A non-nil error is an *EnvelopeError.
func ReadEnvelope(h http.Header) (Envelope, error) {
	e := Envelope{
		Request:    id.Request(h.Get(HeaderRequest)),
		Key:        id.Key(h.Get(HeaderKey)),
		Workspace:  id.Workspace(h.Get(HeaderWorkspace)),
		Class:      id.Class(h.Get(HeaderClass)),
		AtMostOnce: h.Get(HeaderAtMostOnce) == "true",
		Resumable:  h.Get(HeaderResumable) == "true",
	}
	if e.Request == "" {
		return e, &EnvelopeError{Header: HeaderRequest}
	}
	var err error
	if e.Tier, err = tier.Parse(h.Get(HeaderTier)); err != nil {
		return e, &EnvelopeError{Header: HeaderTier, Value: h.Get(HeaderTier)}
	}
	if e.Attempt, err = strconv.Atoi(h.Get(HeaderAttempt)); err != nil {
		return e, &EnvelopeError{Header: HeaderAttempt, Value: h.Get(HeaderAttempt)}
	}
	configOffset, err := strconv.ParseUint(h.Get(HeaderConfigOffset), 10, 64)
	if err != nil {
		return e, &EnvelopeError{Header: HeaderConfigOffset, Value: h.Get(HeaderConfigOffset)}
	}
	e.ConfigOffset = id.Offset(configOffset)
	if text := h.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return e, &EnvelopeError{Header: HeaderDeadline, Value: text}
		}
		e.Deadline = time.UnixMilli(ms)
	}
	return e, nil
}

// Load is the state and load of an upstream, which its sidecar reports on every response.
type Load struct {
	Incarnation  id.Incarnation
	State        string
	Limit        int       // concurrency limit
	Running      int       // requests
	Waiting      int       // requests
	ConfigOffset id.Offset // log offset that the sidecar has applied
}

// String returns the value of the load header.
func (l Load) String() string {
	return fmt.Sprintf("%d %s %d %d %d %d", l.Incarnation, l.State, l.Limit, l.Running, l.Waiting, l.ConfigOffset)
}

// ParseLoad parses the load header. It returns false if the header is missing or malformed.
func ParseLoad(text string) (Load, bool) {
	var l Load
	n, err := fmt.Sscanf(text, "%d %s %d %d %d %d", &l.Incarnation, &l.State, &l.Limit, &l.Running, &l.Waiting, &l.ConfigOffset)
	return l, err == nil && n == 6
}

// DropInternalHeaders removes every header with HeaderPrefix from h.
func DropInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, HeaderPrefix) {
			h.Del(name)
		}
	}
}
