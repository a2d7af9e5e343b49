package gateway_test

// This file tests that a part of a response is never passed on as a whole one, whoever learns first that
// its connection was reset.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
)

// uploadBytes is the body of a request that is still being written when the response to it has ended.
const uploadBytes = 7 << 20

// newUploadFixture returns a fixture that takes bodies of uploadBytes.
func newUploadFixture(t *testing.T) *fixture {
	currentCatalog := new(catalog.Latest)
	c := testCatalog()
	c.Limits.BodyBytes = 8 << 20
	currentCatalog.Update(c)
	return newFixtureWith(t, currentCatalog)
}

// readHeadOf reads the head of a request and leaves the body unread.
func readHeadOf(in *bufio.Reader) (*http.Request, bool) {
	r, err := http.ReadRequest(in)
	return r, err == nil
}

// TestPartBeforeResetIsNoAnswer guards against an upstream that answers a long upload at once without a
// length, sends a part, reads on and resets the connection while the upload is being written. The writer
// gets the error of the reset, and the reader an ordinary end.
func TestPartBeforeResetIsNoAnswer(t *testing.T) {
	const calls = 40
	upload := strings.Repeat("u", uploadBytes)
	for _, path := range []string{"/safe1/x", "/once/x", "/stream/x"} {
		for _, closing := range []string{"", "Connection: close\r\n"} {
			t.Run(path[1:len(path)-2]+map[bool]string{true: " closing"}[closing != ""], func(t *testing.T) {
				f := newUploadFixture(t)
				var served atomic.Int64
				f.serveConns(func(c net.Conn, in *bufio.Reader) {
					r, ok := readHeadOf(in)
					if !ok {
						return
					}
					n := served.Add(1)
					_, _ = io.WriteString(c, signedHead(r, closing+"Content-Type: text/event-stream\r\n\r\n"+eventTexts(1, 2)))
					readOnAndReset(c, time.Duration(n%31)*time.Millisecond)
				})
				var whole atomic.Int64
				var callers sync.WaitGroup
				for range 4 {
					callers.Go(func() {
						for served.Load() < calls {
							if got := f.call(http.MethodPost, path, upload); got.err == nil && got.status < 300 {
								whole.Add(1)
							}
						}
					})
				}
				callers.Wait()
				require.Zero(t, whole.Load(), "of %d", served.Load())
			})
		}
	}
}

// readOnAndReset reads from a connection for a time, a little at a time, and resets it.
func readOnAndReset(c net.Conn, during time.Duration) {
	end := time.Now().Add(during)
	part := make([]byte, 4<<10)
	for time.Now().Before(end) {
		if _, err := c.Read(part); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	_ = c.(*net.TCPConn).SetLinger(0) // the caller closes it
}

// TestEarlyAnswerIsServed guards against a whole response being dropped because its request was not read:
// its length or its chunks show that it is whole, or the request was written in full although the
// response had ended.
func TestEarlyAnswerIsServed(t *testing.T) {
	upload := strings.Repeat("u", uploadBytes)
	answer := eventTexts(1, 2)
	for name, response := range map[string]string{
		"length":           fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answer), answer),
		"chunks":           fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(answer), answer),
		"trailers":         fmt.Sprintf("Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n%x\r\n%s\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n", len(answer), answer),
		"neither":          "\r\n" + answer,
		"neither, closing": "Connection: close\r\n\r\n" + answer,
	} {
		for _, path := range []string{"/safe1/x", "/once/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				f := newUploadFixture(t)
				f.serveConns(func(c net.Conn, in *bufio.Reader) {
					r, ok := readHeadOf(in)
					if !ok {
						return
					}
					_, _ = io.WriteString(c, signedHead(r, response))
					if strings.HasPrefix(name, "neither") {
						_ = c.(*net.TCPConn).CloseWrite()
						_, _ = io.Copy(io.Discard, r.Body)
						return
					}
					readOnAndReset(c, 20*time.Millisecond)
				})
				got := f.call(http.MethodPost, path, upload)
				require.NoError(t, got.err)
				require.Equal(t, http.StatusOK, got.status, got.body)
				require.Equal(t, answer, got.body)
			})
		}
	}
}

// TestResetPartOfStreamIsResumed checks that the rest of a stream of which a part came before a reset is
// got from another upstream.
func TestResetPartOfStreamIsResumed(t *testing.T) {
	f := newUploadFixture(t)
	var broken atomic.Int64
	f.serveConns(func(c net.Conn, in *bufio.Reader) {
		if r, ok := readHeadOf(in); ok {
			broken.Add(1)
			_, _ = io.WriteString(c, signedHead(r, "Content-Type: text/event-stream\r\n\r\n"+eventTexts(1, 2)))
			readOnAndReset(c, 10*time.Millisecond)
		}
	})
	f.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, eventTexts(lastEvent(r)+1, 4))
	})
	upload := strings.Repeat("u", uploadBytes)
	for broken.Load() == 0 {
		got := f.call(http.MethodPost, "/resumable/x", upload)
		require.NoError(t, got.err)
		require.Equal(t, eventTexts(1, 4), got.body)
	}
}
