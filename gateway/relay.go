package gateway

// This file defines the relay of responses: streams event by event, all others once
// they are complete.

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
	// maxBufferedResponse limits the bytes of a response that is buffered until it is
	// complete.
	maxBufferedResponse = 16 << 20
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 256 << 10
	// eventBufferBytes is the size of the read buffer of a stream. Events may be larger.
	eventBufferBytes = 4 << 10
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHopHeaders removes the hop-by-hop headers, those named in the Connection
// header included.
func removeHopByHopHeaders(h http.Header) {
	for _, named := range h["Connection"] {
		for name := range bytes.SplitSeq([]byte(named), []byte(",")) {
			h.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyResponseHeaders copies the upstream's headers to the caller's response. A
// Connection header that the gateway has set remains.
func (f *forwarding) copyResponseHeaders(resp *http.Response) {
	h := f.w.Header()
	connection := h.Get("Connection")
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	if connection != "" {
		h.Set("Connection", connection)
	}
	f.headSent = true
	f.gateway.observeDuration("first_answer_ms", time.Since(f.req.arrived))
}

// relayBuffered relays a response once it is complete, so that the request can be
// retried if the response is cut off.
func (f *forwarding) relayBuffered(ctx context.Context, resp *http.Response) outcome {
	body, err := f.gateway.buffers.read(resp.Body)
	defer body.release()
	switch {
	case err != nil && ctx.Err() != nil:
		return interrupted(ctx)
	case errors.Is(err, errResponseTooLarge), errors.Is(err, errBuffersFull):
		return &responseLost{problem.AnswerTruncated, fmt.Errorf("after %d bytes: %w", body.length, err)}
	case err != nil:
		return &responseLost{problem.UpstreamCut, err}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		f.noteSurvived()
	}
	f.copyResponseHeaders(resp)
	f.w.Header().Set("Content-Length", strconv.Itoa(body.length))
	f.w.WriteHeader(resp.StatusCode)
	if _, err := body.WriteTo(f.w); err != nil {
		return callerWriteFailed(ctx)
	}
	return &answered{resp.StatusCode}
}

// relayStream relays complete events as they arrive. It leaves out events that the
// caller already has.
func (f *forwarding) relayStream(ctx context.Context, assignment *pool.Assignment, resp *http.Response) outcome {
	events := newEventReader(resp.Body)
	flusher := http.NewResponseController(f.w)
	for {
		event, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && f.firstEvent.IsZero() && !f.resuming && isUnframed(resp):
			return &responseLost{problem.UpstreamCut, errors.New("the connection ended before the first event")}
		case errors.Is(err, io.EOF):
			if !f.firstEvent.IsZero() {
				f.noteSurvived()
			}
			f.startStream(resp)
			return &answered{resp.StatusCode}
		case err != nil && ctx.Err() != nil:
			return interrupted(ctx)
		case err != nil:
			return &responseLost{problem.UpstreamCut, err}
		}
		assignment.PrefillDone(time.Now())
		f.noteEvent(time.Now())
		f.meterOnce(0)
		if event.hasID && f.resuming && event.id <= f.lastEventID {
			continue
		}
		f.startStream(resp)
		if _, err := f.w.Write(event.raw); err != nil {
			return callerWriteFailed(ctx)
		}
		if err := flusher.Flush(); err != nil {
			return callerWriteFailed(ctx)
		}
		if event.hasID {
			f.lastEventID, f.resuming = event.id, true
		}
	}
}

// isUnframed reports whether a response has neither a length nor chunks, so that its end is the
// end of its connection, whatever ended that.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// startStream sends the status and the headers of a stream, unless the caller has them
// from an earlier attempt.
func (f *forwarding) startStream(resp *http.Response) {
	if f.headSent {
		return
	}
	f.copyResponseHeaders(resp)
	f.w.Header().Del("Content-Length") // the length is unknown: the rest may come from another upstream
	f.w.WriteHeader(resp.StatusCode)
}

// event is a server-sent event.
type event struct {
	raw   []byte // including the empty line at its end
	id    uint64
	hasID bool
}

// eventReader splits a stream into server-sent events.
type eventReader struct {
	lines *bufio.Reader
	raw   []byte // the event being read
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the next complete event, which is valid until the following call. The
// error is io.EOF if the stream ended between two events.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	var e event
	lineStart := 0 // offset in raw of the line being read
	for {
		line, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(r.raw) <= maxEventBytes:
			continue
		case errors.Is(err, bufio.ErrBufferFull):
			return event{}, fmt.Errorf("an event exceeds %d bytes", maxEventBytes)
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(r.raw[lineStart:], "\r\n")
		if len(text) == 0 {
			if lineStart == 0 {
				r.raw = r.raw[:0] // an empty line between events
				continue
			}
			e.raw = r.raw
			return e, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			e.id, e.hasID = n, err == nil
		}
		lineStart = len(r.raw)
	}
}
