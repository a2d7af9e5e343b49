package bench

// This file defines caller, which makes calls and verifies the responses.

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/standin"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	callTimeout        = 90 * time.Second // of a call with all its attempts
	maxBookingAttempts = 4
	bookingRetryDelay  = 500 * time.Millisecond
	maxEventBytes      = 1 << 20
	maxPlainBytes      = 1 << 20
	doneEvent          = "[DONE]"
	errorEvent         = "error"
)

// caller makes calls as the programs of workspaces do.
type caller struct {
	balancer *Balancer
	keys     Keys
	model    id.Model
	runID    string // makes booking references unique between runs
}

// Keys maps each workspace to the key that its calls carry.
type Keys map[id.Workspace]string

// call makes one call and returns its result. It retries a booking with an
// idempotency key while it is unknown whether the booking ran.
func (c *caller) call(ctx context.Context, a *Arrival) *Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	r := c.attempt(ctx, a)
	n := 1
	for ; n < maxBookingAttempts && hasIdempotencyKey(a) && (r.Outcome == RefusedUnknown || r.Outcome == Lost); n++ {
		time.Sleep(bookingRetryDelay)
		r = c.attempt(ctx, a)
	}
	r.Sent, r.Attempts = sent, n
	return r
}

// hasIdempotencyKey reports whether an arrival is a booking with an idempotency key.
func hasIdempotencyKey(a *Arrival) bool { return a.Traffic.Kind == Booking && a.Number%2 == 0 }

// attempt makes one attempt of a call.
func (c *caller) attempt(ctx context.Context, a *Arrival) *Result {
	r := &Result{Arrival: a, Sent: time.Now()}
	if a.Traffic.Kind == Booking {
		r.Booking = c.reference(a)
	}
	resp, entry, err := c.balancer.Do(ctx, func(base string) (*http.Request, error) { return c.request(ctx, base, a) })
	r.Entry = entry
	if err != nil {
		r.Outcome, r.Detail = Lost, err.Error()
		return r
	}
	defer resp.Body.Close()
	r.Request = id.Request(resp.Header.Get(wire.HeaderRequestID))
	switch {
	case strings.HasPrefix(resp.Header.Get("Content-Type"), problem.ContentType):
		readRefusal(r, resp)
	case a.Traffic.Kind == Chat:
		c.readChat(r, resp)
	default:
		c.readService(r, resp)
	}
	return r
}

// request builds the HTTP request of an arrival for one entry.
func (c *caller) request(ctx context.Context, base string, a *Arrival) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", any(nil)
	switch a.Traffic.Kind {
	case Chat:
		body = map[string]any{
			"model": c.model, "stream": true, "max_tokens": a.Traffic.MaxTokens,
			"messages": []map[string]string{{"role": "user", "content": a.Prompt}},
		}
	case Lookup:
		method, path = http.MethodGet, "/services/"+a.Traffic.Route
	case Booking:
		path, body = "/services/"+a.Traffic.Route, map[string]string{"reference": c.reference(a)}
	}
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.keys[a.Workspace])
	req.Header.Set("X-Class", string(a.Traffic.Class))
	if hasIdempotencyKey(a) {
		req.Header.Set("Idempotency-Key", c.reference(a))
	}
	return req, nil
}

// reference returns the reference that identifies a booking.
func (c *caller) reference(a *Arrival) string { return c.runID + "-" + strconv.Itoa(a.Number) }

// readRefusal reads the problem document of a refused call.
func readRefusal(r *Result, resp *http.Response) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainBytes))
	var p problem.Problem
	r.Last = time.Now()
	if err != nil || json.Unmarshal(body, &p) != nil {
		r.Outcome, r.Detail = Lost, "unreadable problem document"
		return
	}
	r.Reason, r.Outcome, r.Detail = p.Reason, RefusedUnknown, p.Detail
	if p.Run == problem.NotRun {
		r.Outcome = RefusedNotRun
	}
	if p.Request != "" {
		r.Request = id.Request(p.Request)
	}
}

// readChat reads a stream of events and compares its text with the expected one.
func (c *caller) readChat(r *Result, resp *http.Response) {
	var text strings.Builder
	done := false
	for ev, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			r.Outcome, r.Detail = Lost, "stream broke off: "+err.Error()
			return
		}
		if ev.Type == errorEvent {
			r.Outcome, r.Reason = Cut, problem.Reason(gjson.Get(ev.Data, "reason").Str)
			r.Detail = gjson.Get(ev.Data, "detail").Str
			return
		}
		if ev.Data == doneEvent {
			done = true
			break
		}
		if token := gjson.Get(ev.Data, "choices.0.delta.content").Str; token != "" {
			text.WriteString(token)
			r.addToken(time.Now())
		}
	}
	want := strings.Join(r.Arrival.expectedTokens(), "")
	r.Outcome, r.Detail = compareText(text.String(), want, done)
}

// expectedTokens returns the tokens of the correct response to a chat; none for
// other calls.
func (a *Arrival) expectedTokens() []string {
	if a.Traffic.Kind != Chat {
		return nil
	}
	return standin.CompletionTokens(standin.ChatPrompt(a.Prompt), a.Traffic.MaxTokens)
}

// compareText compares the text of a stream with the expected one.
func compareText(got, want string, done bool) (Outcome, string) {
	switch {
	case done && got == want:
		return Whole, ""
	case done && got == "":
		return Wrong, "empty response"
	case done && strings.HasPrefix(want, got):
		return Wrong, "truncated response that looks whole"
	case !strings.HasPrefix(want, got):
		return Wrong, "text of another response"
	}
	return Lost, "stream ended without [DONE]"
}

// addToken records the arrival of one token.
func (r *Result) addToken(now time.Time) {
	if r.First.IsZero() {
		r.First = now
	} else {
		r.MaxGap = max(r.MaxGap, now.Sub(r.Last))
	}
	r.Last = now
	r.Tokens++
}

// readService reads and verifies the response of a plain service.
func (c *caller) readService(r *Result, resp *http.Response) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPlainBytes))
	r.First, r.Last = time.Now(), time.Now()
	switch {
	case err != nil:
		r.Outcome, r.Detail = Lost, "response broke off: "+err.Error()
	case resp.StatusCode >= http.StatusBadRequest:
		r.Outcome, r.Detail = Lost, "status "+strconv.Itoa(resp.StatusCode)+" without a problem document"
	case r.Arrival.Traffic.Kind == Lookup && !gjson.GetBytes(body, "in_stock").Bool():
		r.Outcome, r.Detail = Wrong, "not the response to a lookup"
	case r.Arrival.Traffic.Kind == Booking && gjson.GetBytes(body, "reference").Str != c.reference(r.Arrival):
		r.Outcome, r.Detail = Wrong, "response to another booking"
	default:
		r.Outcome = Whole
	}
}
