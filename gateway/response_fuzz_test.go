package gateway_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzUpstreamResponse has an upstream answer with arbitrary bytes. As these never have the
// request's id, no caller may get a success.
func FuzzUpstreamResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Replica-Stamp: signed\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 1e999\r\nServer-Leaving: 1\r\n\r\n"))
	f.Add([]byte("\x00\xff no response"))
	f.Fuzz(func(t *testing.T, data []byte) {
		x := newFixture(t)
		x.serveConns(func(c net.Conn, in *bufio.Reader) {
			if _, ok := readRequest(in); ok {
				_, _ = c.Write(data) // the gateway may have closed the connection
			}
		})
		for _, path := range []string{"/once/x", "/stream/x"} {
			got := x.call(http.MethodPost, path, "")
			require.NoError(t, got.err)
			require.GreaterOrEqual(t, got.status, http.StatusMultipleChoices)
		}
	})
}
