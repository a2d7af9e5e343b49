package gateway

// This file defines upstreamConn, a connection to an upstream, and exchange, which sends one request
// on it and reads the response that belongs to that request.
//
// A faulty upstream may write an earlier response once more, or the response to another request.
// Only the request id that a response repeats tells whose it is. Responses with another id are
// skipped, within bounds, and the connection is closed after the request. A response without an
// id ends the exchange, as nothing tells whether the own one will follow.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/response"
)

const (
	// maxResponseHeaderBytes limits the status line and headers of an upstream's response.
	maxResponseHeaderBytes = response.MaxHeadBytes
	// freeHeadBytes is the size up to which a head takes no memory from that for responses, and
	// headMemoryFactor the memory that larger ones take: header lines of a few bytes take several times
	// their size.
	freeHeadBytes    = 4 << 10
	headMemoryFactor = 8
	// maxInformational limits the informational responses (1xx) before a response.
	maxInformational = 5
	// maxForeignResponses limits the responses to other requests that an exchange skips.
	maxForeignResponses = 8
	// maxForeignBodyBytes limits the body of a response that an exchange skips.
	maxForeignBodyBytes = 64 << 10
	// maxRefusedPerConn is how many requests are refused on a connection before it is closed.
	maxRefusedPerConn = 64
	// writeFailureGrace is how long a response may still arrive after the request could not
	// be written in full: an upstream may refuse a request without reading its body.
	writeFailureGrace = 50 * time.Millisecond
	// writeSettleTime is how long the end of a response waits for the end of the request, which
	// was most likely written long before.
	writeSettleTime = 10 * time.Millisecond
)

var (
	errHeadTooLarge         = fmt.Errorf("the head of the response exceeds %d bytes", maxResponseHeaderBytes)
	errTooManyInformational = fmt.Errorf("more than %d informational responses", maxInformational)
	errUpgrade              = errors.New("the upstream switches protocols")
)

// CrossedError reports a response that does not belong to the request that was sent.
type CrossedError struct {
	Status    int
	Got, Want id.Request // Got is empty if the response names no request
}

func (e *CrossedError) Error() string {
	return fmt.Sprintf("response with status %d is for request %.64q, not %.64q", e.Status, string(e.Got), string(e.Want))
}

// UnsentError reports that no byte of a request was written to an upstream, and none will be.
type UnsentError struct{ Err error }

func (e *UnsentError) Error() string { return "nothing was sent: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// ownResponse is a response that belongs to the request it was read for. Only such a response
// says something of the request and of its upstream.
type ownResponse struct {
	*http.Response
	ResponseInfo
}

// upstreamConn is a connection to one start of an upstream. It carries one request at a time.
type upstreamConn struct {
	net.Conn
	start    upstreamStart
	service  id.Service
	idleTime time.Duration // for which it is kept without a request
	share    *memory.Share // reserved while the connection is idle
	in       *bufio.Reader
	out      *bufio.Writer
	headLeft int64                   // bytes that may still be read for a head; math.MaxInt64 outside of heads
	headRead func(bytes int64) error // reserves the memory for so much of a head; nil outside of heads
	idle     chan error              // receives why the read ended that waits while the connection is idle
	refused  []uint64                // hashes of the ids of requests that were refused on the connection
}

// headReader reads from a connection within the limit for heads.
type headReader struct{ conn *upstreamConn }

// Read implements io.Reader.
func (r headReader) Read(b []byte) (int, error) {
	c := r.conn
	if c.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Read(b[:min(int64(len(b)), c.headLeft)])
	if c.headRead != nil {
		c.headLeft -= int64(n)
		if err := c.headRead(maxResponseHeaderBytes - c.headLeft); err != nil {
			return 0, err
		}
	}
	return n, err
}

func newUpstreamConn(conn net.Conn, start upstreamStart, share *memory.Share) *upstreamConn {
	c := &upstreamConn{Conn: conn, start: start, idleTime: defaultIdleTime, share: share, headLeft: math.MaxInt64, out: bufio.NewWriter(nil)}
	c.in = bufio.NewReader(headReader{c})
	return c
}

// exchange is one request on one connection.
type exchange struct {
	client     *UpstreamClient
	conn       *upstreamConn
	headMemory *memory.Share
	kept       bool        // the connection was opened for an earlier request
	single     closeReason // why the connection is closed afterwards; empty: it may be kept
	req        *http.Request
	want       id.Request

	wrote      chan struct{} // closed once the request was written, or could not be
	writeErr   error         // why it was not written in full; set before wrote is closed
	stopCancel func() bool   // ends the watch over the request's context; false: it has closed the connection
	ended      sync.Once

	mu      sync.Mutex
	sealed  bool  // no byte may be written any more
	writing bool  // a write has begun and not returned
	written int64 // bytes
}

// Write implements io.Writer: it writes a part of the request to the connection.
func (x *exchange) Write(b []byte) (int, error) {
	x.mu.Lock()
	if x.sealed {
		x.mu.Unlock()
		return 0, net.ErrClosed
	}
	x.writing = true
	x.mu.Unlock()
	n, err := x.conn.Write(b)
	x.mu.Lock()
	x.writing = false
	x.written += int64(n)
	x.mu.Unlock()
	return n, err
}

// sealUnsent reports whether no byte was written, and keeps it so. A write that has begun
// counts as written: the upstream may have its bytes before the call returns.
func (x *exchange) sealUnsent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	return !x.writing && x.written == 0
}

// bytesWritten returns how many bytes of the request have been written.
func (x *exchange) bytesWritten() int64 {
	if x == nil {
		return 0
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.written
}

// connection returns which connection was used, for the log: none, new or kept.
func (x *exchange) connection() string {
	switch {
	case x == nil:
		return "none"
	case x.kept:
		return "kept"
	}
	return "new"
}

// writeRequest writes the request.
func (x *exchange) writeRequest() {
	x.conn.out.Reset(x)
	err := x.client.guard.Try("write_request", func() error {
		if err := x.req.Write(x.conn.out); err != nil {
			return err
		}
		return x.conn.out.Flush()
	})
	if err != nil {
		_ = x.conn.SetReadDeadline(time.Now().Add(writeFailureGrace)) // fails only if the connection is closed
	}
	x.writeErr = err
	close(x.wrote)
}

// writtenWhole waits until the request has been written, and returns why it was not.
func (x *exchange) writtenWhole() error {
	ctx := x.req.Context()
	select {
	case <-x.wrote:
		return x.writeErr
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// readResponse reads the head of the response that belongs to the request. It reports each
// response that does not to foreign; the error is a *CrossedError if no other can follow.
func (x *exchange) readResponse(foreign func(*CrossedError)) (*http.Response, error) {
	for skipped := 0; ; {
		resp, err := x.readHead()
		if err != nil {
			return nil, err
		}
		got := x.client.codec.ResponseRequestID(resp.Header)
		if got == x.want && got != "" {
			return resp, nil
		}
		x.closeAfterwards(closedForeign)
		crossed := &CrossedError{Status: resp.StatusCode, Got: got, Want: x.want}
		x.client.countForeign(x.conn.start.upstream)
		foreign(crossed)
		if skipped++; got == "" || skipped > maxForeignResponses || !skipBody(resp) {
			return nil, crossed
		}
	}
}

// noteRefused records that the upstream has refused a request. If the caller sends it again,
// with the same id, a repetition of the refusal could not be told from a response to it.
func (x *exchange) noteRefused() {
	x.conn.refused = append(x.conn.refused, xxhash.Sum64String(string(x.want)))
	if len(x.conn.refused) >= maxRefusedPerConn {
		x.closeAfterwards(closedRefusals)
	}
}

// closeAfterwards has the connection closed after the exchange. The first reason counts.
func (x *exchange) closeAfterwards(reason closeReason) {
	if x.single == "" {
		x.single = reason
	}
}

// readHead reads the head of the next response that is not informational.
func (x *exchange) readHead() (*http.Response, error) {
	for range maxInformational + 1 {
		x.conn.headLeft, x.conn.headRead = maxResponseHeaderBytes, x.reserveHead
		resp, err := response.Read(x.conn.in, x.req, x.writtenWhole)
		x.conn.headLeft, x.conn.headRead = math.MaxInt64, nil
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errUpgrade
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errTooManyInformational
}

// reserveHead reserves the memory for a head of which so many bytes were read.
func (x *exchange) reserveHead(bytes int64) error {
	if bytes <= freeHeadBytes {
		return nil
	}
	return x.headMemory.GrowTo(bytes * headMemoryFactor)
}

// skipBody reads the body of a response that belongs to another request. It returns false if
// the next response on the connection cannot be found.
func skipBody(resp *http.Response) bool {
	if resp.Close || response.IsUnsized(resp) || resp.Request.Method == http.MethodHead {
		return false
	}
	n, err := io.CopyN(io.Discard, resp.Body, maxForeignBodyBytes+1)
	return errors.Is(err, io.EOF) && n <= maxForeignBodyBytes
}

// end ends the exchange. The connection is kept for other requests if the response was read to
// its end and nothing speaks against it; otherwise failure is why the response was not.
func (x *exchange) end(failure closeReason) {
	x.ended.Do(func() {
		x.headMemory.Release()
		switch {
		case !x.stopCancel():
			x.client.closeConn(x.conn, closedCancelled)
			return
		case x.single != "":
			x.client.closeConn(x.conn, x.single)
			return
		case failure != "":
			x.client.closeConn(x.conn, failure)
			return
		}
		settled := time.NewTimer(writeSettleTime)
		defer settled.Stop()
		select {
		case <-x.wrote:
			if x.writeErr == nil {
				x.client.keep(x.conn)
				return
			}
		case <-settled.C: // the upstream has answered without reading the request
		}
		x.client.closeConn(x.conn, closedUnwritten)
	})
}

// exchangeBody is the body of an exchange's response. The exchange ends with it.
type exchangeBody struct {
	io.Reader
	exchange *exchange
	resp     *http.Response
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		failure := closedBroken
		if errors.Is(err, io.EOF) {
			failure = ""
		}
		b.exchange.end(failure)
		b.Reader = endedReader{err}
	}
	return n, err
}

// Close implements io.Closer. A rest of the body that has arrived already is read, so that the
// connection can be kept.
func (b *exchangeBody) Close() error {
	if _, ended := b.Reader.(endedReader); ended {
		return nil
	}
	if length := b.resp.ContentLength; b.Reader == http.NoBody || length >= 0 && length <= int64(b.exchange.conn.in.Buffered()) {
		_, err := io.Copy(io.Discard, b)
		return err
	}
	b.exchange.end(closedUnread)
	b.Reader = endedReader{http.ErrBodyReadAfterClose}
	return nil
}

// endedReader is the rest of a body that was read to its end or closed.
type endedReader struct{ err error }

// Read implements io.Reader.
func (r endedReader) Read([]byte) (int, error) { return 0, r.err }
