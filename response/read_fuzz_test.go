package response_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/response"
)

var (
	validStatusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	validField      = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*$")
)

// splitLines returns the lines up to the first empty one, without their ends.
func splitLines(data []byte) (lines []string) {
	for line := range strings.SplitAfterSeq(string(data), "\n") {
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if line == "" {
			break
		}
		lines = append(lines, line)
	}
	return lines
}

// FuzzRead reads arbitrary bytes as a response. Where it takes a head, each of its lines is one that HTTP
// allows, and a body that ends whole is what the library makes of the same bytes; nothing is whole if the request
// was not written and the response does not say where it ends.
func FuzzRead(f *testing.F) {
	for _, field := range []string{"X: y", "Content-Length : 2", "Content-Length: 2", "Transfer-Encoding : chunked", "X Odd: 1", "X-\x01: 1", "X: 1\r\n 2", "X: a\rb", "X: \x00", ": 1", "X", "\xe9: 1"} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\nok"))
		f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + field + "\r\n\r\n"))
	}
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 999", "HTTP/1.0 200 OK", "HTTP/1.1 103 Early Hints", "HTTP/2.0 200 OK", "HTTP/1.1  200", "HTTP/1.1 +20 OK"} {
		f.Add([]byte(line + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		rq := &http.Request{Method: http.MethodPost}
		resp, err := response.Read(bufio.NewReader(bytes.NewReader(data)), rq, func() error { return io.ErrShortWrite })
		if err != nil {
			return
		}
		defer resp.Body.Close()
		lines := splitLines(data)
		require.Regexp(t, validStatusLine, lines[0])
		for _, line := range lines[1:] {
			require.Regexp(t, validField, line)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		require.True(t, !response.IsUnsized(resp) || resp.Body == http.NoBody, "the request was not written")
		library, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), rq)
		require.NoError(t, err)
		defer library.Body.Close()
		want, err := io.ReadAll(library.Body)
		require.NoError(t, err)
		require.Equal(t, want, body)
	})
}
