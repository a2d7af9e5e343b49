package response

// This file defines Transport, which holds the responses of the library's client to the same rules as Read.
// The client reads heads itself, so that Transport judges them as read: of what Read refuses, it cannot see folded
// lines and an encoding in a response of HTTP/1.0.

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

// writeSettleTime is how long the end of a connection waits for a write that has not returned. One that
// the end has made fail returns at once.
const writeSettleTime = 50 * time.Millisecond

var errStillWriting = errors.New("it is still being written")

// Transport is an http.RoundTripper of HTTP/1. Its responses are errors, or their bodies end with one, where
// they are no response of HTTP or may not be whole.
type Transport struct {
	base *http.Transport
	// RequireSize refuses responses that have neither a length nor chunks, as nothing says where they end.
	// For servers that always send one of them.
	RequireSize bool
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport that sends requests with base. It replaces the dialer of base, which must have
// one.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, writer: make(chan struct{}, 1)}, nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the idle connections, for http.Client.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// UnsizedError reports a response that has neither a length nor chunks, of a server that sends one of them.
type UnsizedError struct{ Status int }

func (e *UnsizedError) Error() string { return "the response has neither a length nor chunks" }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	write := newRequestWrite()
	trace := &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { write.begin() },
		WroteRequest:   func(info httptrace.WroteRequestInfo) { write.end(info.Err) },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return CheckFields(Head, http.Header(h)) },
	}
	rs, err := t.base.RoundTrip(rq.WithContext(httptrace.WithClientTrace(rq.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := t.check(rs); err != nil {
		return nil, errors.Join(err, rs.Body.Close())
	}
	if rs.Body != http.NoBody {
		rs.Body = &checkedBody{ReadCloser: rs.Body, ctx: rq.Context(), response: rs, write: write}
	}
	return rs, nil
}

// check returns an error if a response is none that HTTP allows.
func (t *Transport) check(rs *http.Response) error {
	if err := CheckStatus(rs.StatusCode); err != nil {
		return err
	}
	if err := CheckFields(Head, rs.Header); err != nil {
		return err
	}
	if t.RequireSize && rs.Body != http.NoBody && IsUnsized(rs) {
		return &UnsizedError{rs.StatusCode}
	}
	return nil
}

// checkedBody is the body of a response. Its end is an error if the response may not be whole, or if its trailer
// is none that HTTP allows.
type checkedBody struct {
	io.ReadCloser
	ctx      context.Context //nolint:containedctx // of the request
	response *http.Response
	write    *requestWrite
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if IsUnsized(b.response) {
		if err := b.write.wait(b.ctx); err != nil {
			return n, &UnwrittenError{err}
		}
	}
	if err := CheckFields(Trailer, b.response.Trailer); err != nil {
		return n, err
	}
	return n, io.EOF
}

// requestWrite is what is known of the writing of a request, which the client begins again if a kept
// connection has ended.
type requestWrite struct {
	mu    sync.Mutex
	ended chan struct{} // closed once the request was written, or could not be
	done  bool
	err   error // of the last connection
}

func newRequestWrite() *requestWrite { return &requestWrite{ended: make(chan struct{})} }

// begin records that the request is about to be written to a connection.
func (w *requestWrite) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.done, w.err = make(chan struct{}), false, nil
}

// end records that the request was written, or why it could not be.
func (w *requestWrite) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = err
	}
	if !w.done {
		w.done = true
		close(w.ended)
	}
}

// wait waits until the request has been written, and returns why it was not.
func (w *requestWrite) wait(ctx context.Context) error {
	w.mu.Lock()
	ended := w.ended
	w.mu.Unlock()
	select {
	case <-ended:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// conn is a connection whose end is told from a reset. The error of a reset goes to the first that
// calls the socket. If that is a writer, the reader gets an ordinary end.
type conn struct {
	net.Conn
	writer   chan struct{} // holds a value while a write runs
	writeErr error         // of the first failed write; guarded by writer
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writer <- struct{}{}
	defer func() { <-c.writer }()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if no write has failed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := c.writeFailure(); err != nil {
		return n, &UnwrittenError{err}
	}
	return n, err
}

// writeFailure returns why a write has failed, or that one has not returned.
func (c *conn) writeFailure() error {
	settled := time.NewTimer(writeSettleTime)
	defer settled.Stop()
	select {
	case c.writer <- struct{}{}:
		defer func() { <-c.writer }()
		return c.writeErr
	case <-settled.C:
		return errStillWriting
	}
}
