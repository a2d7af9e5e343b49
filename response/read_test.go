package response_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/response"
)

// read reads a response to a request with a method from a text, and returns its body and what follows it. Each
// read brings a few bytes.
func read(text, method string, written error) (body []byte, in *bufio.Reader, err error) {
	in = bufio.NewReaderSize(&slowReader{text: text}, 16)
	resp, err := response.Read(in, &http.Request{Method: method}, func() error { return written })
	if err != nil {
		return nil, in, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(resp.Body)
	return body, in, err
}

// slowReader returns three bytes at a time of a text.
type slowReader struct{ text string }

func (r *slowReader) Read(p []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), 3)], r.text)
	r.text = r.text[n:]
	return n, nil
}

// TestReadEndsWhereResponseDoes guards against a body that ends early, or takes bytes of what follows it.
func TestReadEndsWhereResponseDoes(t *testing.T) {
	unwritten := errors.New("connection reset by peer")
	for name, tc := range map[string]struct {
		text, method string
		written      error
		body, rest   string
		fault        error // nil: the response is whole
	}{
		"length":                   {text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcdNEXT", body: "abcd", rest: "NEXT"},
		"length, request cut":      {text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd", written: unwritten, body: "abcd"},
		"length, body cut":         {text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", body: "abc", fault: io.ErrUnexpectedEOF},
		"no body":                  {text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nNEXT", rest: "NEXT"},
		"no content":               {text: "HTTP/1.1 204 No Content\r\n\r\nNEXT", rest: "NEXT"},
		"head only":                {text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nNEXT", method: http.MethodHead, rest: "NEXT"},
		"head only, unsized":       {text: "HTTP/1.1 200 OK\r\n\r\nNEXT", method: http.MethodHead, written: unwritten, rest: "NEXT"},
		"informational":            {text: "HTTP/1.1 103 Early Hints\r\n\r\nNEXT", rest: "NEXT"},
		"chunks":                   {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX: y\r\n\r\nNEXT", body: "abcd", rest: "NEXT"},
		"chunks, request cut":      {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", written: unwritten, body: "abcd"},
		"chunks, none last":        {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", body: "abcd", fault: io.ErrUnexpectedEOF},
		"chunks, trailer cut":      {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n", body: "abcd", fault: io.ErrUnexpectedEOF},
		"chunks, field cut":        {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX: y", body: "abcd", fault: io.ErrUnexpectedEOF},
		"neither":                  {text: "HTTP/1.1 200 OK\r\n\r\nabcd", body: "abcd"},
		"neither, request cut":     {text: "HTTP/1.1 200 OK\r\n\r\nabcd", written: unwritten, body: "abcd", fault: unwritten},
		"neither, nothing at all":  {text: "HTTP/1.1 200 OK\r\n\r\n", written: unwritten, fault: unwritten},
		"old version, request cut": {text: "HTTP/1.0 200 OK\r\n\r\nabcd", written: unwritten, body: "abcd", fault: unwritten},
		"head cut":                 {text: "HTTP/1.1 200 OK\r\nContent-Le", fault: io.ErrUnexpectedEOF},
		"head cut after a field":   {text: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", fault: io.ErrUnexpectedEOF},
		"nothing":                  {fault: io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			if tc.method == "" {
				tc.method = http.MethodPost
			}
			body, in, err := read(tc.text, tc.method, tc.written)
			require.Equal(t, tc.body, string(body))
			require.ErrorIs(t, err, tc.fault)
			if tc.fault == nil {
				rest, err := io.ReadAll(in)
				require.NoError(t, err)
				require.Equal(t, tc.rest, string(rest))
			}
		})
	}
}

// TestHeadAndTrailerAreBounded guards against a head or a trailer without an end.
func TestHeadAndTrailerAreBounded(t *testing.T) {
	long := strings.Repeat("x", response.MaxHeadBytes)
	for name, text := range map[string]string{
		"status line": "HTTP/1.1 200 " + long,
		"field":       "HTTP/1.1 200 OK\r\nX: " + long,
		"fields":      "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", response.MaxHeadBytes/6),
		"trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: " + long,
		"trailers":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", response.MaxHeadBytes/6),
	} {
		_, _, err := read(text+"\r\n\r\n", http.MethodPost, nil)
		var tooLarge *response.TooLargeError
		require.ErrorAs(t, err, &tooLarge, name)
	}
}

// TestHeadErrorNamesLineAndFault checks what an operator reads of a line.
func TestHeadErrorNamesLineAndFault(t *testing.T) {
	for text, want := range map[string]response.HeadError{
		"HTTP/1.1 000 OK\r\n":                                                      {Part: response.Head, Line: "HTTP/1.1 000 OK", Fault: "a status outside of 100 to 599"},
		"HTTP/1.1 +20 OK\r\n":                                                      {Part: response.Head, Line: "HTTP/1.1 +20 OK", Fault: "no status of 3 digits"},
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n":                                {Part: response.Head, Line: "Content-Length : 2", Fault: "byte 0x20 in a name"},
		"HTTP/1.1 200 OK\r\nA: \x00" + strings.Repeat("b", 90) + "\r\n":            {Part: response.Head, Line: "A: \x00" + strings.Repeat("b", 60), Fault: "byte 0x00 in a value"},
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX y: 1\r\n\r\n": {Part: response.Trailer, Line: "X y: 1", Fault: "byte 0x20 in a name"},
	} {
		_, _, err := read(text, http.MethodPost, nil)
		var headError *response.HeadError
		require.ErrorAs(t, err, &headError, text)
		require.Equal(t, want, *headError)
	}
}
