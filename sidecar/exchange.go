package sidecar

// This file defines exchange, which runs one request at the upstream: it relays the answer
// and measures it for the limiter.

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	eventStream      = "text/event-stream"
	relayBufferBytes = 32 << 10
)

var (
	eventSeparator = []byte("\n\n")
	// finishReasonPrefixes mark the event that finishes an answer. The events after it arrive
	// without a gap, so they say nothing about the pace.
	finishReasonPrefixes = [][]byte{[]byte(`"finish_reason":"`), []byte(`"finish_reason": "`)}
)

// exchange is a request that holds a slot.
type exchange struct {
	s      *Sidecar
	slot   *slotRequest
	sample upstream.AnswerSample

	lastToken    time.Time
	firstToken   time.Time // zero: none yet
	tokens       int       // events after the read that brought the first one
	finishSeen   bool
	atEventEnd   bool // the relayed part ends with a complete event
	notResumable bool // another upstream cannot continue the answer
	relayedBytes int64
}

// beginExchange records the start of a request and the targets of its class.
func (s *Sidecar) beginExchange(now time.Time, e wire.Envelope, slot *slotRequest) *exchange {
	s.deps.Traces.Add(now, e.Request, "sidecar", "run", s.describeState()+fmt.Sprintf(" attempt=%d", e.Attempt))
	x := &exchange{s: s, slot: slot, notResumable: e.AtMostOnce || !e.Resumable || s.cfg.Service != "", sample: upstream.AnswerSample{Started: now}}
	if c := s.deps.State.Rules().Classes[e.Class]; c != nil {
		x.sample.FirstTokenTarget = c.TTFT
		x.sample.GapTarget = c.TokenGap
	}
	return x
}

// describeState describes the load and state by which the sidecar decides, for the explain
// call.
func (s *Sidecar) describeState() string {
	limit, running := s.limiter.Limit()
	return fmt.Sprintf("limit=%d running=%d waiting=%d state=%s", limit, running, s.waiting.Load(), s.state())
}

// end releases the slot and passes the measurements of the answer to the limiter.
func (x *exchange) end() {
	x.sample.Ended = time.Now()
	if x.tokens > 0 {
		x.sample.Gap = x.lastToken.Sub(x.firstToken) / time.Duration(x.tokens)
	}
	if x.sample.FirstToken > 0 {
		x.s.observeFirstToken(x.sample.FirstToken)
	}
	x.s.limiter.Release(x.sample)
	x.s.slots.release(x.sample.Ended, x.slot)
	x.s.updateLifecycle(time.Now())
}

// relay copies the body to w, flushes after each read, and measures the answer.
func (x *exchange) relay(w http.ResponseWriter, rs *http.Response) error {
	flusher := http.NewResponseController(w)
	streamed := strings.HasPrefix(rs.Header.Get("Content-Type"), eventStream)
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := rs.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = flusher.Flush()
			x.relayedBytes += int64(n)
			if streamed {
				x.observeStream(time.Now(), buf[:n])
			}
		}
		if errors.Is(err, io.EOF) {
			x.observeUnstreamed(streamed, rs.StatusCode)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// observeStream counts and times the tokens in a piece of a stream. Each event that ends in
// the piece counts as a token.
func (x *exchange) observeStream(now time.Time, piece []byte) {
	x.atEventEnd = bytes.HasSuffix(piece, eventSeparator)
	x.notResumable = x.notResumable || hasOpaqueMember(piece)
	n := bytes.Count(piece, eventSeparator)
	if n == 0 || x.finishSeen {
		return
	}
	for _, prefix := range finishReasonPrefixes {
		if bytes.Contains(piece, prefix) {
			x.finishSeen = true
			x.s.slots.disablePreemption(x.slot)
			return
		}
	}
	x.s.slots.updateProgress(x.slot, x.tokens+n, !x.notResumable)
	if x.firstToken.IsZero() {
		x.firstToken, x.lastToken = now, now
		x.sample.FirstToken = now.Sub(x.sample.Started)
		return
	}
	gap := now.Sub(x.lastToken) / time.Duration(n)
	x.lastToken = now
	x.tokens += n
	for range n {
		x.s.limiter.ObserveTokenGap(now, gap)
	}
}

// opaqueMembers are the members of an answer that an entry cannot resume from.
var opaqueMembers = []string{`"tool_calls":`, `"function_call":`, `"refusal":`, `"reasoning":`, `"reasoning_content":`}

// hasOpaqueMember reports whether a piece of a stream has such a member that is not null.
func hasOpaqueMember(piece []byte) bool {
	for _, name := range opaqueMembers {
		n := bytes.Count(piece, []byte(name))
		if n > 0 && n > bytes.Count(piece, []byte(name+"null"))+bytes.Count(piece, []byte(name+" null")) {
			return true
		}
	}
	return false
}

// observeUnstreamed measures the time per byte of a model's answer that is not streamed.
func (x *exchange) observeUnstreamed(streamed bool, status int) {
	if streamed || x.relayedBytes == 0 || status != http.StatusOK || x.s.cfg.Service != "" {
		return
	}
	x.sample.TimePerByte = time.Since(x.sample.Started) / time.Duration(x.relayedBytes)
}
