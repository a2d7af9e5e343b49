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

	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/response"
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
	f.gateway.attempts.noteHead(f)
	f.gateway.observeDuration("first_answer_ms", time.Since(f.req.arrived))
}

// closeUnread makes room for the next answers if an error says that there was no memory for one: those that callers do not
// read keep theirs.
func closeUnread(ctx context.Context, err error) {
	if errors.Is(err, memory.ErrFull) {
		process.CloseUnread(ctx, time.Now(), err)
	}
}

// relayBuffered relays a response once it is complete, so that the request can be
// retried if the response is cut off.
func (f *forwarding) relayBuffered(ctx context.Context, assignment *pool.Assignment, resp *http.Response) outcome {
	body, err := f.gateway.deps.Client.responses.Share(memory.Holder(assignment.Upstream.ID)).ReadBody(resp.Body, maxBufferedResponse)
	defer body.Release()
	switch {
	case err != nil && ctx.Err() != nil:
		return interrupted(ctx)
	case errors.Is(err, memory.ErrTooLarge), errors.Is(err, memory.ErrFull):
		closeUnread(ctx, err)
		return &responseLost{problem.AnswerTruncated, fmt.Errorf("after %d bytes: %w", body.Len(), err)}
	case err != nil:
		return &responseLost{lossReason(err), err}
	}
	if resp.StatusCode < http.StatusMultipleChoices {
		f.noteSurvived()
		assignment.Answered(time.Now())
	}
	f.copyResponseHeaders(resp)
	f.w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	f.w.WriteHeader(resp.StatusCode)
	if _, err := body.WriteTo(f.w); err != nil {
		return callerWriteFailed(ctx)
	}
	return &answered{resp.StatusCode}
}

// relayStream relays complete events as they arrive. It leaves out events that the
// caller already has. A response that does not continue the caller's stream is lost.
func (f *forwarding) relayStream(ctx context.Context, assignment *pool.Assignment, resp *http.Response) outcome {
	if f.headSent {
		if err := checkRest(resp); err != nil {
			return &responseLost{problem.UpstreamFailed, err}
		}
	}
	stream := &continuation{streamProgress: &f.streamProgress, isRest: f.headSent}
	share := f.gateway.deps.Client.responses.Share(memory.Holder(assignment.Upstream.ID))
	defer share.Release()
	events := newEventReader(resp.Body, share)
	flusher := http.NewResponseController(f.w)
	for {
		event, err := events.next()
		if err != nil {
			end := f.endStream(ctx, resp, stream, events, err)
			if _, whole := end.(*answered); whole && !stream.isRest {
				assignment.Answered(time.Now())
			}
			return end
		}
		relay, err := stream.accept(&event)
		if err != nil {
			return &responseLost{problem.UpstreamFailed, err}
		}
		if !event.isComment() {
			assignment.PrefillDone(time.Now())
			f.noteEvent(time.Now())
			f.meterOnce(0)
		}
		if !relay {
			continue
		}
		f.startStream(resp)
		if _, err := f.w.Write(event.raw); err != nil {
			return callerWriteFailed(ctx)
		}
		if err := flusher.Flush(); err != nil {
			return callerWriteFailed(ctx)
		}
		stream.noteRelayed(&event)
	}
}

// endStream returns the outcome of a response whose events ended with err.
func (f *forwarding) endStream(ctx context.Context, resp *http.Response, stream *continuation, events *eventReader, err error) outcome {
	if !errors.Is(err, io.EOF) {
		f.begun = f.begun || events.begun()
	}
	switch {
	case errors.Is(err, io.EOF) && !stream.hasEvents && response.IsUnsized(resp):
		return &responseLost{problem.UpstreamCut, errors.New("the connection ended before the first event")}
	case errors.Is(err, io.EOF):
		if err := stream.checkEnd(resp); err != nil {
			return &responseLost{problem.UpstreamFailed, err}
		}
		if stream.hasEvents {
			f.noteSurvived()
		}
		f.startStream(resp)
		return &answered{resp.StatusCode}
	case errors.Is(err, errNotAnEvent):
		return &responseLost{problem.UpstreamFailed, err}
	case errors.Is(err, errEventTooLarge), errors.Is(err, memory.ErrFull):
		closeUnread(ctx, err)
		return &responseLost{problem.AnswerTruncated, err}
	case ctx.Err() != nil:
		return interrupted(ctx)
	}
	return &responseLost{lossReason(err), err}
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

// errNotAnEvent means that an upstream sent bytes that are not an event of its stream.
var errNotAnEvent = errors.New("the response has a line that is not part of an event")

// errEventTooLarge means that an event of a stream exceeds maxEventBytes.
var errEventTooLarge = fmt.Errorf("an event exceeds %d bytes", maxEventBytes)

// event is a server-sent event, or only comments.
type event struct {
	raw      []byte // including the empty line at its end
	id       uint64
	hasID    bool // id is a number
	idLines  int
	fields   int  // lines that are fields
	extended bool // begins with a line of the platform's own
}

// isComment reports whether there is nothing but comments.
func (e *event) isComment() bool { return e.fields == 0 }

// addLine takes in one line of an event. It fails if the line is no field of an event: other
// readers skip such lines, but here they show that an upstream has put something else, such
// as another response, in place of its stream.
func (e *event) addLine(line []byte, first bool) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
		return nil
	case "data", "event", "retry":
	case "id":
		n, ok := parseNumber(value)
		e.id, e.hasID = n, ok
		e.idLines++
	default:
		if _, ok := parseNumber(value); !first || !ok {
			return errNotAnEvent
		}
		e.extended = true // NAME: NUMBER
		return nil
	}
	e.fields++
	return nil
}

// parseNumber parses the value of a line.
func parseNumber(value []byte) (uint64, bool) {
	n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	return n, err == nil
}

// checkWhole returns an error if the lines together are not an event.
func (e *event) checkWhole() error {
	if e.idLines > 1 || e.extended && e.fields == 0 {
		return errNotAnEvent
	}
	return nil
}

// eventReader splits a stream into server-sent events.
type eventReader struct {
	lines *bufio.Reader
	raw   []byte // the event being read
	share *memory.Share
}

// newEventReader returns a reader of events that takes the memory for those larger than
// eventBufferBytes from a share.
func newEventReader(r io.Reader, share *memory.Share) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(r, eventBufferBytes), share: share}
}

// addRaw adds a part of a line to the event being read. The error is errEventTooLarge or
// memory.ErrFull.
func (r *eventReader) addRaw(part []byte) error {
	size := len(r.raw) + len(part)
	if size > maxEventBytes {
		return errEventTooLarge
	}
	if size > cap(r.raw) && size > eventBufferBytes {
		size = (size + memory.ChunkBytes - 1) / memory.ChunkBytes * memory.ChunkBytes
		if err := r.share.GrowTo(int64(size)); err != nil {
			return err
		}
		r.raw = append(make([]byte, 0, size), r.raw...)
	}
	r.raw = append(r.raw, part...)
	return nil
}

// begun reports whether a part of an event was read after the last complete one.
func (r *eventReader) begun() bool {
	text := bytes.TrimLeft(r.raw, "\r\n")
	return len(text) > 0 && text[0] != ':'
}

// next returns the next complete event, which is valid until the following call. The
// error is io.EOF if the stream ended between two events, and errNotAnEvent if it has
// a line that can't be part of one.
func (r *eventReader) next() (event, error) {
	r.raw = r.raw[:0]
	var e event
	lineStart := 0 // offset in raw of the line being read
	for {
		line, err := r.lines.ReadSlice('\n')
		if err := r.addRaw(line); err != nil {
			return event{}, err
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
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
			return e, e.checkWhole()
		}
		if err := e.addLine(text, lineStart == 0); err != nil {
			r.raw = r.raw[:lineStart]
			return event{}, err
		}
		lineStart = len(r.raw)
	}
}
