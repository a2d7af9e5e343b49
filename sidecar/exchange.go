package sidecar

// This file defines exchange, one request at the upstream: its answer is relayed
// and observed, as evidence for the limiter.

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
	eventStream = "text/event-stream"
	relayBuffer = 32 << 10
)

var (
	eventEnd = []byte("\n\n")
	// finishMarks are in the event with which an answer finishes. What follows it
	// comes without a gap, and shows nothing.
	finishMarks = [][]byte{[]byte(`"finish_reason":"`), []byte(`"finish_reason": "`)}
)

// exchange is one request that holds a slot.
type exchange struct {
	s        *Sidecar
	slot     *slot
	evidence upstream.AnswerSample

	last     time.Time // last token
	first    time.Time // first token; zero: none yet
	events   int       // after the first token
	finished bool
	whole    bool // what was relayed ends with a whole event
	firm     bool // the answer cannot go on elsewhere
	bytes    int64
}

// begin notes the start of a request and its class's targets.
func (s *Sidecar) begin(now time.Time, e wire.Envelope, t *slot) *exchange {
	s.deps.Traces.Add(now, e.Request, "sidecar", "run", s.inputs()+fmt.Sprintf(" attempt=%d", e.Attempt))
	x := &exchange{s: s, slot: t, firm: e.AtMostOnce || !e.Resumable || s.cfg.Service != "", evidence: upstream.AnswerSample{Started: now}}
	if c := s.deps.State.Rules().Classes[e.Class]; c != nil {
		x.evidence.FirstTokenTarget = c.TTFT
		x.evidence.GapTarget = c.TokenGap
	}
	return x
}

// inputs returns what the sidecar's decisions rest on, for explain.
func (s *Sidecar) inputs() string {
	limit, running := s.limiter.Limit()
	return fmt.Sprintf("limit=%d running=%d waiting=%d state=%s", limit, running, s.waiting.Load(), s.state())
}

// end gives the slot back with what the answer showed.
func (x *exchange) end() {
	x.evidence.Ended = time.Now()
	if x.events > 0 {
		x.evidence.Gap = x.last.Sub(x.first) / time.Duration(x.events)
	}
	if x.evidence.FirstToken > 0 {
		x.s.observeFirstToken(x.evidence.FirstToken)
	}
	x.s.limiter.Release(x.evidence)
	x.s.slots.leave(x.evidence.Ended, x.slot)
	x.s.follow(time.Now())
}

// relay copies the body, flushing as it goes.
func (x *exchange) relay(w http.ResponseWriter, rs *http.Response) error {
	flush := http.NewResponseController(w)
	streamed := strings.HasPrefix(rs.Header.Get("Content-Type"), eventStream)
	buf := make([]byte, relayBuffer)
	for {
		n, err := rs.Body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = flush.Flush()
			x.bytes += int64(n)
			if streamed {
				x.observe(time.Now(), buf[:n])
			}
		}
		if errors.Is(err, io.EOF) {
			x.observeWhole(streamed, rs.StatusCode)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// observe notes the tokens in a piece of a stream.
func (x *exchange) observe(now time.Time, piece []byte) {
	x.whole = bytes.HasSuffix(piece, eventEnd)
	x.firm = x.firm || holdsOpaque(piece)
	n := bytes.Count(piece, eventEnd)
	if n == 0 || x.finished {
		return
	}
	for _, mark := range finishMarks {
		if bytes.Contains(piece, mark) {
			x.finished = true
			x.s.slots.firm(x.slot)
			return
		}
	}
	x.s.slots.relayed(x.slot, x.events+n, !x.firm)
	if x.first.IsZero() {
		x.first, x.last = now, now
		x.evidence.FirstToken = now.Sub(x.evidence.Started)
		return
	}
	gap := now.Sub(x.last) / time.Duration(n)
	x.last = now
	x.events += n
	for range n {
		x.s.limiter.ObserveTokenGap(now, gap)
	}
}

// opaqueMembers are what an entry cannot resume an answer from.
var opaqueMembers = []string{`"tool_calls":`, `"function_call":`, `"refusal":`, `"reasoning":`, `"reasoning_content":`}

// holdsOpaque reports whether a piece of a stream holds one of these, not null.
func holdsOpaque(piece []byte) bool {
	for _, name := range opaqueMembers {
		n := bytes.Count(piece, []byte(name))
		if n > 0 && n > bytes.Count(piece, []byte(name+"null"))+bytes.Count(piece, []byte(name+" null")) {
			return true
		}
	}
	return false
}

// observeWhole notes the pace of an engine's answer that was not streamed.
func (x *exchange) observeWhole(streamed bool, status int) {
	if streamed || x.bytes == 0 || status != http.StatusOK || x.s.cfg.Service != "" {
		return
	}
	x.evidence.TimePerByte = time.Since(x.evidence.Started) / time.Duration(x.bytes)
}
