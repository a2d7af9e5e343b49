// Package wire defines what the router's own processes say to each other: the
// generated connect-go code below it, and the headers of the data path between
// an entry and a sidecar.
package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/tier"
)

// HeaderPrefix starts every header of the data path. Headers with this prefix
// that come from a caller are dropped.
const HeaderPrefix = "Ragwort-"

// The headers from an entry to a sidecar, and back.
const (
	HeaderRequest      = HeaderPrefix + "Request"
	HeaderKey          = HeaderPrefix + "Key"
	HeaderWorkspace    = HeaderPrefix + "Workspace"
	HeaderClass        = HeaderPrefix + "Class"
	HeaderTier         = HeaderPrefix + "Tier"
	HeaderDeadline     = HeaderPrefix + "Deadline-Unix-Ms"
	HeaderAttempt      = HeaderPrefix + "Attempt"
	HeaderConfigOffset = HeaderPrefix + "Config-Offset"
	HeaderAtMostOnce   = HeaderPrefix + "Once"      // set: the call must not be repeated
	HeaderResumable    = HeaderPrefix + "Resumable" // set: the rest of the answer can be generated elsewhere
	HeaderLoad         = HeaderPrefix + "Load"
	HeaderUpstream     = HeaderPrefix + "Upstream"
	HeaderRefused      = HeaderPrefix + "Refused" // set: the sidecar refused; the body is its problem
)

// EventPreempted is the type of the last event of a stream that a sidecar ended
// to make room for a higher tier. The answer goes on from where it stopped.
const EventPreempted = "ragwort_preempted"

// HeaderRequestID names a request towards callers and upstreams.
const HeaderRequestID = "X-Request-Id"

// Envelope is what an entry tells a sidecar about a request.
type Envelope struct {
	Request      id.Request
	Key          id.Key
	Workspace    id.Workspace
	Class        id.Class
	Tier         tier.Tier
	Deadline     time.Time // zero: none
	Attempt      int       // counted from 1
	ConfigOffset id.Offset // the entry's journal offset
	AtMostOnce   bool
	Resumable    bool // a cut stream can go on from its text
}

// EnvelopeError says that a request to a sidecar lacks a header or has a bad one.
type EnvelopeError struct{ Header, Value string }

func (e *EnvelopeError) Error() string {
	return fmt.Sprintf("header %s: bad value %q", e.Header, e.Value)
}

// SetHeaders writes the envelope into h.
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

// ReadEnvelope reads an envelope; its error is an *EnvelopeError.
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
	config, err := strconv.ParseUint(h.Get(HeaderConfigOffset), 10, 64)
	if err != nil {
		return e, &EnvelopeError{Header: HeaderConfigOffset, Value: h.Get(HeaderConfigOffset)}
	}
	e.ConfigOffset = id.Offset(config)
	if text := h.Get(HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return e, &EnvelopeError{Header: HeaderDeadline, Value: text}
		}
		e.Deadline = time.UnixMilli(ms)
	}
	return e, nil
}

// Load is what a sidecar says of its upstream on every answer.
type Load struct {
	Incarnation  id.Incarnation
	State        string
	Limit        int
	Running      int
	Waiting      int
	ConfigOffset id.Offset
}

// String returns the form of the load header.
func (l Load) String() string {
	return fmt.Sprintf("%d %s %d %d %d %d", l.Incarnation, l.State, l.Limit, l.Running, l.Waiting, l.ConfigOffset)
}

// ParseLoad reads the load header; it reports false if it is missing or malformed.
func ParseLoad(text string) (Load, bool) {
	var l Load
	n, err := fmt.Sscanf(text, "%d %s %d %d %d %d", &l.Incarnation, &l.State, &l.Limit, &l.Running, &l.Waiting, &l.ConfigOffset)
	return l, err == nil && n == 6
}

// DropInternalHeaders removes every header of the data path from h.
func DropInternalHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, HeaderPrefix) {
			h.Del(name)
		}
	}
}
