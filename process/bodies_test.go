package process

// This file tests handlers that bound the bodies of requests.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// narrowListener accepts connections that hold little of an answer which is not read.
type narrowListener struct{ net.Listener }

const narrowBytes = 4 << 10

func (l narrowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetWriteBuffer(narrowBytes)
}

// TestNextRequestIsNotCancelled guards against a request being cancelled since the answer to the one before, whose body was
// read, was not read by its caller within maxUnreadTime. If the handler leaves the body, the server reads it.
func TestNextRequestIsNotCancelled(t *testing.T) {
	t.Run("read", func(t *testing.T) { requireNextServed(t, func(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }) })
	t.Run("left", func(t *testing.T) { requireNextServed(t, func(*http.Request) {}) })
}

func requireNextServed(t *testing.T, read func(r *http.Request)) {
	const callers, step = 40, 2000
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewHTTPServer(boundUnreadBodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var size int
		if _, err := fmt.Sscan(r.Header.Get("Answer-Bytes"), &size); err != nil {
			_, _ = fmt.Fprint(w, r.Context().Err())
			return
		}
		read(r)
		_, _ = w.Write(make([]byte, size))
	})))
	server.Listener = narrowListener{server.Listener}
	server.Start()
	t.Cleanup(server.Close)
	var group sync.WaitGroup
	answers := make([]string, callers)
	for i := range callers {
		conn := dialCaller(t, server.Listener.Addr().String(), "")
		require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(narrowBytes))
		group.Go(func() {
			in := bufio.NewReader(conn)
			_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nAnswer-Bytes: %d\r\nContent-Length: 2\r\n\r\nab", i*step)
			time.Sleep(2 * maxUnreadTime)
			for range 2 {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					answers[i] = err.Error()
					return
				}
				body, _ := io.ReadAll(resp.Body) // an error leaves an answer that is not wanted
				_ = resp.Body.Close()
				answers[i] = string(body)
				_, _ = io.WriteString(conn, callerRequest)
			}
		})
	}
	group.Wait()
	for i, answer := range answers {
		require.Equal(t, "<nil>", answer, "of %d bytes", i*step)
	}
}
