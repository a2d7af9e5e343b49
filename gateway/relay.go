package gateway

// This file defines the relay of answers: plain ones when they are whole, streams
// event by event.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
)

const (
	// maxHeld bounds an answer that is held until it is whole.
	maxHeld = 16 << 20
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// eventBuffer is the size of the buffer that events are read through.
	eventBuffer = 4 << 10
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func removeConnectionHeaders(h http.Header) {
	for _, named := range h["Connection"] {
		for name := range bytes.SplitSeq([]byte(named), []byte(",")) {
			h.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// head passes the head of an answer on.
func (n *run) head(rs *http.Response) {
	h := n.w.Header()
	closing := h.Get("Connection")
	for name, values := range rs.Header {
		h[name] = values
	}
	removeConnectionHeaders(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
	n.started = true
	n.g.observe("first_answer_ms", time.Since(n.rq.arrived))
}

// relayPlain passes an answer on once it is whole, so that a cut one can be asked
// for again.
func (n *run) relayPlain(ctx context.Context, rs *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxHeld+1))
	switch {
	case err != nil && ctx.Err() != nil:
		n.mayRun = true
		return &gone{goneReason(ctx)}
	case err != nil:
		return &lost{problem.UpstreamCut, err}
	case len(body) > maxHeld:
		return &lost{problem.AnswerTruncated, fmt.Errorf("the answer exceeds %d bytes", maxHeld)}
	}
	n.head(rs)
	n.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	n.w.WriteHeader(rs.StatusCode)
	if _, err := n.w.Write(body); err != nil {
		n.mayRun = true
		return callerFailed(ctx)
	}
	return &whole{rs.StatusCode}
}

// relayEvents passes events on as they arrive, each whole. Events that the caller
// already has are left out.
func (n *run) relayEvents(ctx context.Context, c *pool.Assignment, rs *http.Response) outcome {
	events := newEventReader(rs.Body)
	flusher := http.NewResponseController(n.w)
	for {
		event, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			n.startStream(rs)
			return &whole{rs.StatusCode}
		case err != nil && ctx.Err() != nil:
			n.mayRun = true
			return &gone{goneReason(ctx)}
		case err != nil:
			return &lost{problem.UpstreamCut, err}
		}
		c.PrefillDone()
		n.meter(0)
		if event.numbered && n.resumes && event.id <= n.after {
			continue
		}
		n.startStream(rs)
		if _, err := n.w.Write(event.raw); err != nil {
			n.mayRun = true
			return callerFailed(ctx)
		}
		if err := flusher.Flush(); err != nil {
			n.mayRun = true
			return callerFailed(ctx)
		}
		if event.numbered {
			n.after, n.resumes = event.id, true
		}
	}
}

// startStream passes the head of a stream on, unless the caller has one.
func (n *run) startStream(rs *http.Response) {
	if n.started {
		return
	}
	n.head(rs)
	n.w.Header().Del("Content-Length") // the rest may come from another upstream
	n.w.WriteHeader(rs.StatusCode)
}

// event is one event of a stream.
type event struct {
	raw      []byte // with the empty line at its end
	id       uint64
	numbered bool
}

// eventReader splits a stream into events.
type eventReader struct {
	lines *bufio.Reader
	raw   []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next whole event, which is valid until the call after. Its error
// is io.EOF if the stream ended between two events.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	var e event
	start := 0 // of the line that is read
	for {
		line, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(r.raw) <= maxEvent:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return event{}, fmt.Errorf("an event exceeds %d bytes", maxEvent)
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(r.raw[start:], "\r\n")
		if len(text) == 0 {
			if start == 0 {
				r.raw = r.raw[:0] // an empty line between events
				continue
			}
			e.raw = r.raw
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			e.id, e.numbered = n, err == nil
		}
		start = len(r.raw)
	}
}
