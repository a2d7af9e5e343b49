package bench

// This file defines caller, which makes one call and judges the answer.

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
	callTimeout   = 90 * time.Second
	bookingTries  = 4
	bookingPause  = 500 * time.Millisecond
	maxEventBytes = 1 << 20
	maxPlainBytes = 1 << 20
	doneEvent     = "[DONE]"
	errorEvent    = "error"
)

// caller makes calls as the workspaces' programs would.
type caller struct {
	balancer *Balancer
	keys     Keys
	model    id.Model
	run      string // makes booking references unique between runs
}

// Keys maps each workspace to the key that its calls carry.
type Keys map[id.Workspace]string

// call makes one call and returns its result. A booking with an idempotency key
// is repeated while it is not known whether it ran.
func (c *caller) call(ctx context.Context, a *Arrival) *Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	r := c.try(ctx, a)
	n := 1
	for ; n < bookingTries && keyed(a) && (r.Outcome == RefusedUnknown || r.Outcome == Lost); n++ {
		time.Sleep(bookingPause)
		r = c.try(ctx, a)
	}
	r.Sent, r.Tries = sent, n
	return r
}

// keyed reports whether an arrival is a booking with an idempotency key.
func keyed(a *Arrival) bool { return a.Traffic.Kind == Booking && a.Number%2 == 0 }

// try makes one attempt of a call.
func (c *caller) try(ctx context.Context, a *Arrival) *Result {
	r := &Result{Arrival: a, Sent: time.Now()}
	if a.Traffic.Kind == Booking {
		r.Booking = c.reference(a)
	}
	rs, entry, err := c.balancer.Do(ctx, func(base string) (*http.Request, error) { return c.request(ctx, base, a) })
	r.Entry = entry
	if err != nil {
		r.Outcome, r.Detail = Lost, err.Error()
		return r
	}
	defer rs.Body.Close()
	r.Request = id.Request(rs.Header.Get(wire.HeaderRequestID))
	switch {
	case strings.HasPrefix(rs.Header.Get("Content-Type"), problem.ContentType):
		refusal(r, rs)
	case a.Traffic.Kind == Chat:
		c.chat(r, rs)
	default:
		c.service(r, rs)
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
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, err
		}
	}
	rq, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	rq.Header.Set("Authorization", "Bearer "+c.keys[a.Workspace])
	rq.Header.Set("X-Class", string(a.Traffic.Class))
	if keyed(a) {
		rq.Header.Set("Idempotency-Key", c.reference(a))
	}
	return rq, nil
}

// reference names a booking.
func (c *caller) reference(a *Arrival) string { return c.run + "-" + strconv.Itoa(a.Number) }

// refusal reads a problem document.
func refusal(r *Result, rs *http.Response) {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxPlainBytes))
	var p problem.Problem
	r.Last = time.Now()
	if err != nil || json.Unmarshal(body, &p) != nil {
		r.Outcome, r.Detail = Lost, "unreadable refusal"
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

// chat reads a stream of events and compares its text with the engine's answer.
func (c *caller) chat(r *Result, rs *http.Response) {
	var text strings.Builder
	done := false
	for ev, err := range sse.Read(rs.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			r.Outcome, r.Detail = Lost, "stream broke: "+err.Error()
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
			r.token(time.Now())
		}
	}
	want := strings.Join(r.Arrival.answer(), "")
	r.Outcome, r.Detail = judgeText(text.String(), want, done)
}

// answer returns the tokens of the right answer to a chat; none for other calls.
func (a *Arrival) answer() []string {
	if a.Traffic.Kind != Chat {
		return nil
	}
	return standin.CompletionTokens(standin.ChatPrompt(a.Prompt), a.Traffic.MaxTokens)
}

// judgeText compares the text of a stream with the right one.
func judgeText(got, want string, done bool) (Outcome, string) {
	switch {
	case done && got == want:
		return Whole, ""
	case done && got == "":
		return Wrong, "empty answer"
	case done && strings.HasPrefix(want, got):
		return Wrong, "cut answer that looks whole"
	case !strings.HasPrefix(want, got):
		return Wrong, "text of another answer"
	}
	return Lost, "stream ended without an end"
}

// token notes the arrival of one token.
func (r *Result) token(now time.Time) {
	if r.First.IsZero() {
		r.First = now
	} else {
		r.LongGap = max(r.LongGap, now.Sub(r.Last))
	}
	r.Last = now
	r.Tokens++
}

// service reads the answer of a plain service.
func (c *caller) service(r *Result, rs *http.Response) {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxPlainBytes))
	r.First, r.Last = time.Now(), time.Now()
	switch {
	case err != nil:
		r.Outcome, r.Detail = Lost, "answer broke: "+err.Error()
	case rs.StatusCode >= http.StatusBadRequest:
		r.Outcome, r.Detail = Lost, "status "+strconv.Itoa(rs.StatusCode)+" without a problem document"
	case r.Arrival.Traffic.Kind == Lookup && !gjson.GetBytes(body, "in_stock").Bool():
		r.Outcome, r.Detail = Wrong, "not the answer to a lookup"
	case r.Arrival.Traffic.Kind == Booking && gjson.GetBytes(body, "reference").Str != c.reference(r.Arrival):
		r.Outcome, r.Detail = Wrong, "answer to another booking"
	default:
		r.Outcome = Whole
	}
}
