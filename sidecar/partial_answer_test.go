package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// earlyEngine answers the head of each request with a text before it reads on: all of the request, or for up to
// 30 ms, and then it resets the connection.
func earlyEngine(t *testing.T, text string, resets bool) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	var served atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, text)
				if !resets {
					_, _ = io.Copy(io.Discard, r.Body)
					return
				}
				end := time.Now().Add(time.Duration(served.Add(1)%31) * time.Millisecond)
				for part := make([]byte, 4<<10); time.Now().Before(end); time.Sleep(time.Millisecond) {
					if _, err := c.Read(part); err != nil {
						break
					}
				}
				_ = c.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	return l
}

// serveUpload serves a request of an entry with a body, and reports whether the entry takes the response for
// a whole success.
func serveUpload(t *testing.T, s *Sidecar, request id.Request, atMostOnce bool, upload string) (whole bool) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/x", strings.NewReader(upload))
	r = r.WithContext(context.WithValue(t.Context(), envelopeKey{}, wire.Envelope{Request: request, AtMostOnce: atMostOnce}))
	defer func() {
		if aborted := recover(); aborted != nil {
			require.Equal(t, http.ErrAbortHandler, aborted)
			whole = false
		}
	}()
	s.serve(w, r)
	return w.Code < 300 && w.Result().Trailer.Get(wire.HeaderRefused) == ""
}

// TestPartBeforeResetIsNoAnswer guards against an engine that answers a long upload at once without a length,
// sends a part and resets the connection while the upload is being written.
func TestPartBeforeResetIsNoAnswer(t *testing.T) {
	upload := strings.Repeat("u", 7<<20)
	for _, atMostOnce := range []bool{false, true} {
		for _, closing := range []string{"", "Connection: close\r\n"} {
			t.Run(fmt.Sprint("once=", atMostOnce, strings.TrimSpace(closing)), func(t *testing.T) {
				l := earlyEngine(t, "HTTP/1.1 200 OK\r\n"+closing+wire.HeaderRequestID+": rq_1\r\n\r\npart", true)
				var whole atomic.Int64
				var callers sync.WaitGroup
				for range 4 {
					callers.Go(func() {
						for range 10 {
							if serveUpload(t, newServingSidecar(l.Addr().String()), "rq_1", atMostOnce, upload) {
								whole.Add(1)
							}
						}
					})
				}
				callers.Wait()
				require.Zero(t, whole.Load(), "of 40")
			})
		}
	}
}

// TestEarlyAnswerIsServed guards against a whole response being dropped because its request was not read.
func TestEarlyAnswerIsServed(t *testing.T) {
	for _, framing := range []string{"Content-Length: 5\r\n\r\nwhole", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n"} {
		l := earlyEngine(t, "HTTP/1.1 200 OK\r\n"+wire.HeaderRequestID+": rq_1\r\n"+framing, false)
		require.True(t, serveUpload(t, newServingSidecar(l.Addr().String()), "rq_1", true, strings.Repeat("u", 7<<20)), framing)
	}
}

// TestInvalidHeadIsNoAnswer guards against answers whose head or trailer has a name that HTTP does not allow, or
// a status that it does not have.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + wire.HeaderRequestID + ": rq_1\r\n"
	for _, text := range []string{
		strings.Replace(head, "200", "600", 1) + "\r\nok", strings.Replace(head, "200", "000", 1) + "\r\nok",
		head + "Content-Length : 2\r\n\r\nok", head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", head + "X Odd: 1\r\nContent-Length: 2\r\n\r\nok",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok",
	} {
		l := cuttingEngine(t, text)
		require.False(t, serveUpload(t, newServingSidecar(l.Addr().String()), "rq_1", false, ""), "%q", text)
		l.Close()
	}
}

// TestCutConfirmationIsNone guards against an order that counts as carried out although the upstream's response
// to it was cut off.
func TestCutConfirmationIsNone(t *testing.T) {
	l := cuttingEngine(t, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"loaded\"")
	defer l.Close()
	o := &orderService{s: newServingSidecar(l.Addr().String())}
	require.Error(t, o.loadModel(t.Context(), &ragwortv1.OrderDecided{Order: "o", DeadlineUnixMs: time.Now().Add(time.Second).UnixMilli()}))
}
