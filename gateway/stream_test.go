package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n) }

func eventTexts(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(eventText(n))
	}
	return b.String()
}

// chunk frames a part of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// after returns the last event that a request says its sender has.
func after(r *http.Request) int {
	n := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &n) // none: zero
	return n
}

// TestEventsArriveOneByOne reads each event before the upstream sends the next.
func TestEventsArriveOneByOne(t *testing.T) {
	f := newFixture(t)
	next := make(chan struct{})
	f.serve(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 3; n++ {
			_, _ = io.WriteString(w, eventText(n))
			_ = http.NewResponseController(w).Flush()
			<-next
		}
	})
	rs, err := http.DefaultClient.Do(f.request(t.Context(), http.MethodPost, "/stream/x", "p"))
	require.NoError(t, err)
	defer rs.Body.Close()
	in := bufio.NewReader(rs.Body)
	for n := 1; n <= 3; n++ {
		got := ""
		for range 3 {
			line, err := in.ReadString('\n')
			require.NoError(t, err)
			got += line
		}
		require.Equal(t, eventText(n), got)
		next <- struct{}{}
	}
	_, err = in.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, f.begun())
}

// TestStreamGoesOnElsewhere cuts a resumable stream in the middle of an event. The
// second upstream sends one event again that the caller has.
func TestStreamGoesOnElsewhere(t *testing.T) {
	f := newFixture(t)
	var runs atomic.Int64
	for range 3 {
		f.raw(func(c net.Conn, in *bufio.Reader) {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			if runs.Add(1) == 1 {
				_, _ = io.WriteString(c, head(r, streamHead)+chunk(eventTexts(1, 3)+"id: 4\ndata: pa"))
				return
			}
			_, _ = io.WriteString(c, head(r, "X-Other: run\r\n"+streamHead)+chunk(eventTexts(max(1, after(r)), 6))+"0\r\n\r\n")
		})
	}
	a := f.call(http.MethodPost, "/resumable/x", "p")
	require.NoError(t, a.err)
	require.Equal(t, eventTexts(1, 6), a.body)
	require.Empty(t, a.header.Get("X-Other"), "the answer keeps the head of its first run")
	require.EqualValues(t, 2, runs.Load())
	require.EqualValues(t, 1, f.begun())
}

// TestCallerResumes brings the last event that the caller has.
func TestCallerResumes(t *testing.T) {
	f := newFixture(t)
	f.serve(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, eventTexts(after(r)+1, 5)) })
	rq := f.request(t.Context(), http.MethodPost, "/resumable/x", "p")
	rq.Header.Set("Last-Event-Id", "3")
	require.Equal(t, eventTexts(4, 5), f.do(rq).body)
}

// TestCutStreamDoesNotLookWhole cuts streams that nobody may continue.
func TestCutStreamDoesNotLookWhole(t *testing.T) {
	f := newFixture(t)
	var runs atomic.Int64
	f.raw(func(c net.Conn, in *bufio.Reader) {
		r, ok := readRequest(in)
		if !ok {
			return
		}
		runs.Add(1)
		_, _ = io.WriteString(c, head(r, streamHead)+chunk(eventTexts(1, 2)+"id: 3\nda"))
	})
	a := f.call(http.MethodPost, "/stream/x", "p")
	require.Error(t, a.err)
	require.Equal(t, eventTexts(1, 2), a.body)
	require.EqualValues(t, 1, runs.Load())
}

// TestLongLines has lines longer than the reader's buffer.
func TestLongLines(t *testing.T) {
	f := newFixture(t)
	long := "id: 1\ndata: " + strings.Repeat("x", 20_000) + "\n\n" + eventText(2)
	f.serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
	require.Equal(t, long, f.call(http.MethodPost, "/stream/x", "p").body)
}

// TestFailureOfAStreamIsUse sends streams to an upstream that fails them: each has run,
// unless the answer says that it has not. One that failed and is tried elsewhere counts
// once.
func TestFailureOfAStreamIsUse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		status int
		notRun bool
		begun  int64
	}{
		{"failed", "/stream/x", http.StatusInternalServerError, false, 1},
		{"failed twice", "/resumable/x", http.StatusInternalServerError, false, 1},
		{"out of time", "/stream/x", http.StatusGatewayTimeout, false, 1},
		{"refused", "/stream/x", http.StatusServiceUnavailable, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			for range 2 {
				f.serve(func(w http.ResponseWriter, _ *http.Request) {
					if tc.notRun {
						w.Header().Set("X-Not-Run", "1")
					}
					w.WriteHeader(tc.status)
				})
			}
			f.call(http.MethodPost, tc.path, "")
			require.Equal(t, tc.begun, f.begun())
		})
	}
}
