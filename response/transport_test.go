package response_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/response"
)

func newTransport() *response.Transport {
	return response.NewTransport(&http.Transport{DialContext: new(net.Dialer).DialContext})
}

// serve starts a server that hands each connection to h, and returns its URL.
func serve(t *testing.T, h func(c *net.TCPConn, in *bufio.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				h(c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// serveText starts a server that answers each request with a text and closes.
func serveText(t *testing.T, text string) string {
	return serve(t, func(c *net.TCPConn, in *bufio.Reader) {
		if r, err := http.ReadRequest(in); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
		}
	})
}

// send sends a request and returns the body of the response.
func send(ctx context.Context, transport *response.Transport, url, body string) (string, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	rs, err := (&http.Client{Transport: transport}).Do(rq)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	return string(text), err
}

// TestEndWhileRequestIsWritten guards against a part of a response being taken as whole where the connection ended
// or was reset before the request was written.
func TestEndWhileRequestIsWritten(t *testing.T) {
	upload := strings.Repeat("u", 7<<20)
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			url := serve(t, func(c *net.TCPConn, in *bufio.Reader) {
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				n := served.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
				_ = c.SetReadDeadline(time.Now().Add(time.Duration(n%31) * time.Millisecond))
				_, _ = io.Copy(io.Discard, io.LimitReader(in, 1<<20))
				if reset {
					_ = c.SetLinger(0)
				}
			})
			for range 60 {
				text, err := send(t.Context(), newTransport(), url, upload)
				require.Error(t, err, text)
			}
		})
	}
}

// TestUnsizedResponseIsServed guards against a whole response being taken for a part where its request was
// written, over new and kept connections.
func TestUnsizedResponseIsServed(t *testing.T) {
	transport := newTransport()
	url := serve(t, func(c *net.TCPConn, in *bufio.Reader) {
		for n := range 2 {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\n\r\nwhole"}[n])
		}
	})
	for _, size := range []int{0, 10, 5 << 10, 1 << 20} {
		for range 20 {
			text, err := send(t.Context(), transport, url, strings.Repeat("u", size))
			require.NoError(t, err)
			require.Equal(t, "whole", text)
		}
	}
}

// TestTransportRefusesInvalidHeads guards against heads and trailers that HTTP does not allow, in the responses of the
// library's client.
func TestTransportRefusesInvalidHeads(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 000 OK\r\n\r\nok":                                                           `invalid response head`,
		"HTTP/1.1 600 OK\r\n\r\nok":                                                           `invalid response head`,
		"HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n":                                        `invalid response head`,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":                                     `byte 0x20 in a name in line "Content-Length "`,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":          `byte 0x20 in a name`,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Odd: 1\r\n\r\n":                            `byte 0x20 in a name`,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX y: 1\r\n\r\n": `invalid response trailer`,
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\nok":               `byte 0x20 in a name`,
		"HTTP/1.1 200 OK\r\nX\x01: 1\r\n\r\nok":                                               "malformed",
		"HTTP/1.1 200 OK\r\nX: \x00\r\n\r\nok":                                                "malformed",
	} {
		got, err := send(t.Context(), newTransport(), serveText(t, text), "")
		require.ErrorContains(t, err, want, "%q: %q", text, got)
	}
}

// TestRequireSize guards against a message that was cut counting as one, of a server that always says where
// its responses end.
func TestRequireSize(t *testing.T) {
	transport := newTransport()
	transport.RequireSize = true
	var unsized *response.UnsizedError
	_, err := send(t.Context(), transport, serveText(t, "HTTP/1.1 200 OK\r\n\r\nok"), "")
	require.ErrorAs(t, err, &unsized)
	for _, length := range []int{0, 1, 100, 64 << 10} { // the library adds a length, or sends chunks
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", length))
		}))
		text, err := send(t.Context(), transport, server.URL, "")
		server.Close()
		require.NoError(t, err)
		require.Len(t, text, length)
	}
}

// TestReadBodyRefusesLargerBodies guards against the first part of a large body being taken as all of it.
func TestReadBodyRefusesLargerBodies(t *testing.T) {
	data, err := response.ReadBody(strings.NewReader("four"), 4)
	require.NoError(t, err)
	require.Equal(t, "four", string(data))
	_, err = response.ReadBody(strings.NewReader("fives"), 4)
	require.EqualError(t, err, "the body of the response exceeds 4 bytes")
}
