package gateway_test

// This file tests heads and trailers that no response of HTTP may have.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// invalidFields are lines that are no field of a head or of a trailer.
var invalidFields = map[string]string{
	"blank before the colon":       "X-Odd : 1",
	"blank after a length's name":  "Content-Length : 2",
	"blank after the encoding":     "Transfer-Encoding : chunked",
	"blank in a name":              "X Odd: 1",
	"blank in a length's name":     "Content Length: 2",
	"tab before the colon":         "X-Odd\t: 1",
	"control byte in a name":       "X-\x01Odd: 1",
	"DEL in a name":                "X-Odd\x7f: 1",
	"byte over 127 in a name":      "X-Odd\xe9: 1",
	"separator in a name":          "X(Odd): 1",
	"no name":                      ": 1",
	"no colon":                     "X-Odd",
	"folded line":                  "X-Odd: 1\r\n 2",
	"folded with a tab":            "X-Odd: 1\r\n\tContent-Length: 2",
	"bare CR in a value":           "X-Odd: 1\rX-Other: 2",
	"CR before the end of a line":  "X-Odd: 1\r",
	"NUL in a value":               "X-Odd: 1\x00",
	"control byte in a value":      "X-Odd: 1\x0b2",
	"DEL in a value":               "X-Odd: \x7f",
	"NUL in a name before a blank": "X-\x00 Odd: 1",
}

// invalidStatusLines are the first lines of what is no response.
var invalidStatusLines = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
	"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200\x00OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/2.0 200 OK", "HTTP/3.1 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "HTTP/1.1",
}

// answerAll adds an upstream that answers every request with what respond returns, and closes the
// connection.
func (f *fixture) answerAll(respond func(r *http.Request) string) {
	f.serveConns(func(c net.Conn, in *bufio.Reader) {
		if r, ok := readRequest(in); ok {
			_, _ = io.WriteString(c, respond(r))
		}
	})
}

// requireNoAnswer calls a route of each kind and requires that no caller gets an answer of an upstream.
func (f *fixture) requireNoAnswer(t *testing.T, what string) {
	for _, path := range []string{"/once/x", "/safe1/x", "/stream/x"} {
		got := f.call(http.MethodPost, path, "")
		require.False(t, got.err == nil && got.status != http.StatusBadGateway, "%s, %s: %d %v %q", what, path, got.status, got.header, got.body)
		if got.err == nil { // otherwise a stream that had begun was cut off
			require.Empty(t, got.header.Get("X-Replica-Stamp"), what)
		}
	}
}

// TestInvalidHeadIsNoAnswer guards against answers whose head has a line that HTTP does not allow: readers differ
// on what it means, so that its body may be another than the upstream's.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	bodies := map[string]string{
		"length":  "Content-Length: 19\r\n\r\nid: 1\ndata: sixth\n\n",
		"chunks":  "Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: sixth\n\n\r\n0\r\n\r\n",
		"neither": "\r\nid: 1\ndata: sixth\n\n",
	}
	for name, field := range invalidFields {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for framing, rest := range bodies {
				f := newFixture(t)
				f.answerAll(func(r *http.Request) string { return signedHead(r, field+"\r\n"+rest) })
				f.requireNoAnswer(t, framing)
				require.NotEmpty(t, f.logged("attempt_failed", "reason upstream_failed", "invalid response head"), framing)
			}
			first := newFixture(t)
			first.answerAll(func(r *http.Request) string {
				head, _, _ := strings.Cut(signedHead(r, ""), "\r\n")
				return head + "\r\n" + field + "\r\n" + strings.TrimPrefix(signedHead(r, bodies["length"]), head+"\r\n")
			})
			first.requireNoAnswer(t, "as the first field")
			informational := newFixture(t)
			informational.answerAll(func(r *http.Request) string {
				return "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + signedHead(r, bodies["length"])
			})
			informational.requireNoAnswer(t, "informational")
		})
	}
}

// TestInvalidStatusIsNoAnswer guards against answers with a status that HTTP does not have.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, line := range invalidStatusLines {
		f := newFixture(t)
		f.answerAll(func(r *http.Request) string {
			return strings.Replace(signedHead(r, "Content-Length: 19\r\n\r\nid: 1\ndata: sixth\n\n"), "HTTP/1.1 200 OK", line, 1)
		})
		f.requireNoAnswer(t, line)
	}
}

// TestInvalidTrailerIsNoAnswer guards against answers whose trailer has a line that HTTP does not allow.
func TestInvalidTrailerIsNoAnswer(t *testing.T) {
	for name, field := range invalidFields {
		f := newFixture(t)
		f.answerAll(func(r *http.Request) string {
			return signedHead(r, "Transfer-Encoding: chunked\r\n\r\n13\r\nid: 1\ndata: sixth\n\n\r\n0\r\n"+field+"\r\n\r\n")
		})
		f.requireNoAnswer(t, name)
	}
}

// TestChunksOfOldVersionAreNoAnswer guards against a response of HTTP/1.0 that names chunks, which that version
// does not have: their lengths would be passed on as text.
func TestChunksOfOldVersionAreNoAnswer(t *testing.T) {
	f := newFixture(t)
	f.answerAll(func(r *http.Request) string {
		return strings.Replace(signedHead(r, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), "HTTP/1.1", "HTTP/1.0", 1)
	})
	f.requireNoAnswer(t, "HTTP/1.0")
}

// TestOddHeadsAreServed guards against answers that HTTP allows being taken for none.
func TestOddHeadsAreServed(t *testing.T) {
	const body = "id: 1\ndata: sixth\n\n"
	for name, raw := range map[string]string{
		"informational":       "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nID\r\nContent-Length: 19\r\n\r\n" + body,
		"no reason":           "HTTP/1.1 200\r\nID\r\nContent-Length: 19\r\n\r\n" + body,
		"empty reason":        "HTTP/1.1 200 \r\nID\r\nContent-Length: 19\r\n\r\n" + body,
		"old version":         "HTTP/1.0 200 OK\r\nID\r\nContent-Length: 19\r\n\r\n" + body,
		"line feeds only":     "HTTP/1.1 200 OK\nID\nContent-Length: 19\n\n" + body,
		"blanks around value": "HTTP/1.1 200 OK\r\nID\r\nX-Odd:\t 1 \t\r\nContent-Length:19 \r\n\r\n" + body,
		"bytes over 127":      "HTTP/1.1 200 Gr\xfcn\r\nID\r\nX-Odd: \xc3\xa9\xff\r\nContent-Length: 19\r\n\r\n" + body,
		"empty value":         "HTTP/1.1 200 OK\r\nID\r\nX-Odd:\r\nContent-Length: 19\r\n\r\n" + body,
		"token of marks":      "HTTP/1.1 200 OK\r\nID\r\n!#$%&'*+-.^_`|~0: 1\r\nContent-Length: 19\r\n\r\n" + body,
		"trailer":             "HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n13;a=b\r\n" + body + "\r\n0;c\r\nX-Sum: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/once/x", "/stream/x"} {
				f := newFixture(t)
				f.answerAll(func(r *http.Request) string {
					return strings.Replace(raw, "ID", "X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\nX-Replica-Stamp: signed", 1)
				})
				got := f.call(http.MethodPost, path, "")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, body, got.body)
				require.Empty(t, got.header.Get("X-Sum"))
			}
		})
	}
}
