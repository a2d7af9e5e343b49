package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/wire"
)

// cuttingEngine answers each connection's first request with a text and closes.
func cuttingEngine(t *testing.T, text string) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err = http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
			c.Close()
		}
	}()
	return l
}

// TestCutHeadIsNoAnswer guards against an engine that stops in the middle of a head and closes: its
// entry must not get a success.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"} {
		for _, framing := range []string{"Content-Length: 9\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n", "\r\n"} {
			whole := before + "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + wire.HeaderRequestID + ": rq_1\r\n" + framing
			for cut := range len(whole) {
				l := cuttingEngine(t, whole[:cut])
				w := serveRequest(t, newServingSidecar(l.Addr().String()), "rq_1")
				l.Close()
				require.GreaterOrEqual(t, w.Code, http.StatusInternalServerError, "%d bytes of %q", cut, whole)
			}
		}
	}
}
