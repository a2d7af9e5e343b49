package gateway_test

// This file tests requests that are refused before their bodies have arrived.

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limitBodies sets the size in bytes that bodies may have.
func (f *fixture) limitBodies(bytes int64) {
	c := testCatalog()
	c.Version, c.Limits.BodyBytes = c.Version+1, bytes
	c.Index()
	f.currentCatalog.Update(c)
}

// sendPaced sends pieces with a pause after each until a write fails, and returns the number of those sent.
func sendPaced(conn net.Conn, pieces int, piece []byte, pause time.Duration) (sent int, err error) {
	for ; sent < pieces; sent++ {
		if _, err := conn.Write(piece); err != nil {
			return sent, err
		}
		time.Sleep(pause)
	}
	return sent, nil
}

// TestSlowBodyIsToldOfRefusal guards against a caller with a slow link being reset before it has read a refusal: it reads nothing
// before it has sent all, which takes longer than half a second. Its connection serves the next request.
func TestSlowBodyIsToldOfRefusal(t *testing.T) {
	const pieces, pieceBytes, pause = 30, 32 << 10, 50 * time.Millisecond // at least 1.5 s; ten times the least rate at most
	length := fmt.Sprintf("Content-Length: %d", pieces*pieceBytes)
	piece := make([]byte, pieceBytes)
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", pieceBytes, piece)
	for name, tc := range map[string]struct {
		path, line string
		piece      []byte
		end        string
		full       bool // there is no memory
		status     int
		reason     string
	}{
		"no memory":            {"/once/x", length, piece, "", true, http.StatusServiceUnavailable, "memory_full"},
		"no memory for chunks": {"/once/x", "Transfer-Encoding: chunked", chunk, "0\r\n\r\n", true, http.StatusServiceUnavailable, "memory_full"},
		"no route":             {"/nowhere/x", length, piece, "", false, http.StatusNotFound, "route_unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.serveUpstream(func(http.ResponseWriter, *http.Request) {})
			f.limitBodies(2 * pieces * pieceBytes)
			release := func() {}
			if tc.full {
				release = f.fillRequests(20)
			}
			conn := f.startRequest(tc.path, tc.line)
			sent, err := sendPaced(conn, pieces, tc.piece, pause)
			require.NoError(t, err, "after %d pieces", sent)
			_, err = io.WriteString(conn, tc.end)
			require.NoError(t, err)
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
			in := bufio.NewReader(conn)
			resp, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.status, resp.StatusCode)
			require.Contains(t, string(body), fmt.Sprintf("%q:%q", "reason", tc.reason))
			release()
			next := f.request(t.Context(), http.MethodPost, "/once/x", "steel")
			require.NoError(t, next.Write(conn))
			resp, err = http.ReadResponse(in, nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}

// TestRestOfBodyHoldsConnection guards against a caller that was refused keeping its connection with a body that stops, drips
// or never ends.
func TestRestOfBodyHoldsConnection(t *testing.T) {
	const limit = 1 << 20
	for name, send := range map[string]func(conn net.Conn) error{
		"stops": func(conn net.Conn) error {
			_, err := conn.Write(make([]byte, 100))
			return err
		},
		"drips": func(conn net.Conn) error {
			_, err := sendPaced(conn, 1000, []byte("x"), 20*time.Millisecond)
			return err
		},
		"never ends": func(conn net.Conn) error {
			_, err := sendPaced(conn, 1000, make([]byte, limit), 0)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.limitBodies(limit)
			conn := f.startRequest("/nowhere/x", fmt.Sprintf("Content-Length: %d", 1000*limit))
			err := send(conn)
			if name != "stops" {
				require.Error(t, err, "the connection is closed")
			}
			require.Eventually(t, func() bool { return len(f.logged("event body_cut", "reason route_unknown")) == 1 }, 20*time.Second, 10*time.Millisecond)
			require.Eventually(t, func() bool { return f.callerConns.Len() == 0 && f.gateway.InFlight() == 0 }, 20*time.Second, 10*time.Millisecond)
		})
	}
}

// TestRestOfBodyOutlastsProcess guards against a refusal that waits for the body, and a stop that waits for the rest of it. The body
// takes no memory.
func TestRestOfBodyOutlastsProcess(t *testing.T) {
	const pieces, pieceBytes, pause = 400, 32 << 10, 50 * time.Millisecond // at least 20 s
	for path, want := range map[string]int{"/nowhere/x": http.StatusNotFound, "/once/x": http.StatusServiceUnavailable} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			f.limitBodies(2 * pieces * pieceBytes)
			defer f.fillRequests(20)()
			used := f.memory.Requests.Used()
			conn := f.startRequest(path, fmt.Sprintf("Content-Length: %d", pieces*pieceBytes))
			ended := make(chan error, 1)
			go func() {
				_, err := sendPaced(conn, pieces, make([]byte, pieceBytes), pause)
				ended <- err
			}()
			status, _ := readAnswer(t, conn, 10*time.Second)
			require.Equal(t, want, status)
			require.Equal(t, used, f.memory.Requests.Used())
			require.Empty(t, ended, "the body was awaited, or cut")
			f.gateway.BeginShutdown(time.Now())
			f.gateway.SetShutdownDeadline(time.Now().Add(700 * time.Millisecond))
			require.Error(t, <-ended, "the whole body was awaited")
			require.Eventually(t, func() bool { return f.gateway.InFlight() == 0 && f.callerConns.Len() == 0 }, 20*time.Second, 10*time.Millisecond)
		})
	}
}

// TestStopCutsRestOfBody guards against a process that is about to end, which reads no bodies any more, resetting a caller before it has
// read that it is refused: it reads nothing before it has sent all.
func TestStopCutsRestOfBody(t *testing.T) {
	const pieces, pieceBytes, pause = 10, 8 << 10, 10 * time.Millisecond
	f := newFixture(t)
	f.serveUpstream(func(http.ResponseWriter, *http.Request) {})
	f.limitBodies(2 * pieces * pieceBytes)
	f.gateway.BeginShutdown(time.Now())
	f.gateway.SetShutdownDeadline(time.Now().Add(200 * time.Millisecond))
	conn := f.startRequest("/once/x", fmt.Sprintf("Content-Length: %d", pieces*pieceBytes))
	sent, err := sendPaced(conn, pieces, make([]byte, pieceBytes), pause)
	require.NoError(t, err, "after %d pieces", sent)
	status, body := readAnswer(t, conn, 10*time.Second)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"reason":"leaving"`)
	require.Empty(t, f.logged("event body_cut"))
}

// TestHangUpIsNoCut guards against bodies that count as cut although their callers have closed the connection, as they have read that
// they are refused.
func TestHangUpIsNoCut(t *testing.T) {
	for name, line := range map[string]string{"length": "Content-Length: 1000", "chunks": "Transfer-Encoding: chunked", "expects": "Expect: 100-continue\r\nContent-Length: 1000"} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			conn := f.startRequest("/nowhere/x", line)
			status, _ := readAnswer(t, conn, 10*time.Second)
			require.Equal(t, http.StatusNotFound, status)
			require.NoError(t, conn.Close())
			require.Eventually(t, func() bool { return f.callerConns.Len() == 0 && f.gateway.InFlight() == 0 }, 20*time.Second, 10*time.Millisecond)
			require.Len(t, f.logged("event refused"), 1)
			require.Empty(t, f.logged("event body_cut"))
		})
	}
}
