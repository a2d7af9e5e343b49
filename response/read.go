package response

// This file defines Read, which reads a response from a connection.

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
)

const (
	// headBytes is the size of most heads.
	headBytes = 1 << 10
	// MaxHeadBytes limits the head of a response.
	MaxHeadBytes = 64 << 10
	// maxTrailerBytes limits the trailer of a response.
	maxTrailerBytes = 4 << 10
)

var transferEncoding = []byte("transfer-encoding")

// TooLargeError reports a part of a response that exceeds its limit.
type TooLargeError struct {
	Part  Part
	Limit int // in bytes
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the %s of the response exceeds %d bytes", e.Part, e.Limit)
}

// UnwrittenError reports the end of the connection of a response without a length or chunks whose request
// was not written in full. A reset ends the reading as a close does once the writer has got its error,
// so that nothing tells whether the response is whole.
type UnwrittenError struct{ Err error }

func (e *UnwrittenError) Error() string {
	return "the connection ended, and the request was not written in full: " + e.Err.Error()
}

// Unwrap returns why the request was not written in full.
func (e *UnwrittenError) Unwrap() error { return e.Err }

// heads holds readers for the library's reader of heads.
var heads = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, headBytes) }}

// Read reads the head of the next response to a request, which may be informational. The error is a
// *HeadError if the head has a line that HTTP does not allow.
//
// The body ends with io.EOF only where the response is complete: after its length, after its last chunk and
// a valid trailer, or, if it has neither, where its connection ends and the request was written in
// full. For the last, written is called: it waits until the request has been written, and returns why
// it was not. The body's Close does nothing.
func Read(in *bufio.Reader, req *http.Request, written func() error) (*http.Response, error) {
	raw, err := readHead(in)
	if err != nil {
		return nil, err
	}
	head := heads.Get().(*bufio.Reader)
	defer heads.Put(head)
	head.Reset(bytes.NewReader(raw))
	resp, err := http.ReadResponse(head, req)
	if err != nil {
		return nil, err
	}
	switch {
	case resp.Body == http.NoBody:
	case len(resp.TransferEncoding) > 0:
		resp.Body = io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(in), in: in})
	case resp.ContentLength >= 0:
		resp.Body = io.NopCloser(&sizedBody{in: in, left: resp.ContentLength})
	default:
		resp.Body = io.NopCloser(&unsizedBody{in: in, written: written})
	}
	return resp, nil
}

// IsUnsized reports whether a response has neither a length nor chunks, so that its end is the end of its
// connection.
func IsUnsized(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readHead reads and checks the lines of a head, and returns it with the empty line at its end.
func readHead(in *bufio.Reader) ([]byte, error) {
	head := make([]byte, 0, headBytes)
	first, old := true, false
	for {
		start := len(head)
		var err error
		if head, err = appendLine(head, in, Head, MaxHeadBytes); err != nil {
			return nil, err
		}
		line := trimLineEnd(head[start:])
		switch {
		case first:
			if err := checkStatusLine(line); err != nil {
				return nil, err
			}
			first, old = false, line[versionBytes-1] == '0'
		case len(line) == 0:
			return head, nil
		default:
			name, err := checkField(Head, line)
			if err != nil {
				return nil, err
			}
			if old && bytes.EqualFold(name, transferEncoding) {
				return nil, newHeadError(Head, line, "an encoding that version %s0 does not have", versionPrefix)
			}
		}
	}
}

// appendLine reads a line of a part and appends it, with its end, to what was read of the part before. The
// error is io.ErrUnexpectedEOF if the line does not end.
func appendLine(to []byte, in *bufio.Reader, part Part, limit int) ([]byte, error) {
	for {
		piece, err := in.ReadSlice('\n')
		to = append(to, piece...)
		switch {
		case len(to) > limit:
			return to, &TooLargeError{part, limit}
		case err == nil:
			return to, nil
		case errors.Is(err, io.EOF):
			return to, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return to, err
		}
	}
}

// sizedBody is a body with a length.
type sizedBody struct {
	in   *bufio.Reader
	left int64 // bytes that have not been read
}

// Read implements io.Reader.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.in.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks, with the trailer that follows it.
type chunkedBody struct {
	chunks io.Reader
	in     *bufio.Reader
	ended  error // with which the trailer has been read
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended != nil {
		return 0, b.ended
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		if err = readTrailer(b.in); err == nil {
			err = io.EOF
		}
		b.ended = err
	}
	return n, err
}

// readTrailer reads and checks the fields after the last chunk. Nobody has asked for them.
func readTrailer(in *bufio.Reader) error {
	var trailer []byte
	for {
		start := len(trailer)
		var err error
		if trailer, err = appendLine(trailer, in, Trailer, maxTrailerBytes); err != nil {
			return err
		}
		line, ended := bytes.CutSuffix(trailer[start:], []byte("\r\n"))
		switch {
		case !ended:
			return newHeadError(Trailer, line, "an end without CR")
		case len(line) == 0:
			return nil
		}
		if _, err := checkField(Trailer, line); err != nil {
			return err
		}
	}
}

// unsizedBody is a body with neither a length nor chunks.
type unsizedBody struct {
	in      *bufio.Reader
	written func() error
}

// Read implements io.Reader.
func (b *unsizedBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := b.written(); err != nil {
		return n, &UnwrittenError{err}
	}
	return n, io.EOF
}

// ReadBody reads a body of up to limit bytes. A larger one is an error, as a part of it is no response.
func ReadBody(body io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	switch {
	case err != nil:
		return nil, err
	case len(data) > limit:
		return nil, &TooLargeError{Body, limit}
	}
	return data, nil
}
