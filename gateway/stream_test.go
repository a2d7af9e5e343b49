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
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n) }

func eventTexts(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(eventText(n))
	}
	return b.String()
}

// chunk encodes text as one chunk of a chunked body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const streamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// lastEvent returns the last event that the sender of a request has received; 0: none.
func lastEvent(r *http.Request) int {
	n := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &n) // n stays zero without the header
	return n
}

// TestEventsAreFlushed guards against buffered streams: the caller must receive each event
// before the upstream sends the next one.
func TestEventsAreFlushed(t *testing.T) {
	f := newFixture(t)
	next := make(chan struct{})
	f.serveUpstream(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 3; n++ {
			_, _ = io.WriteString(w, eventText(n))
			_ = http.NewResponseController(w).Flush()
			<-next
		}
	})
	resp, err := http.DefaultClient.Do(f.request(t.Context(), http.MethodPost, "/stream/x", "p"))
	require.NoError(t, err)
	defer resp.Body.Close()
	in := bufio.NewReader(resp.Body)
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
	require.EqualValues(t, 1, f.counted())
}

// TestResumableStreamIsRetried cuts off a resumable stream in the middle of an event.
// The second upstream repeats one event that the caller has already received, which the
// gateway must leave out.
func TestResumableStreamIsRetried(t *testing.T) {
	f := newFixture(t)
	var runs atomic.Int64
	for range 3 {
		f.serveConns(func(c net.Conn, in *bufio.Reader) {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			if runs.Add(1) == 1 {
				_, _ = io.WriteString(c, signedHead(r, streamHead)+chunk(eventTexts(1, 3)+"id: 4\ndata: pa"))
				return
			}
			_, _ = io.WriteString(c, signedHead(r, "X-Other: run\r\n"+streamHead)+chunk(eventTexts(max(1, lastEvent(r)), 6))+"0\r\n\r\n")
		})
	}
	got := f.call(http.MethodPost, "/resumable/x", "p")
	require.NoError(t, got.err)
	require.Equal(t, eventTexts(1, 6), got.body)
	require.Empty(t, got.header.Get("X-Other"), "the response must keep the headers of the first attempt")
	require.EqualValues(t, 2, runs.Load())
	require.EqualValues(t, 1, f.counted())
}

// TestCallerResumesStream resumes a stream after the last event that the caller has. The
// caller must get only the events after it.
func TestCallerResumesStream(t *testing.T) {
	f := newFixture(t)
	f.serveUpstream(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, eventTexts(lastEvent(r)+1, 5)) })
	req := f.request(t.Context(), http.MethodPost, "/resumable/x", "p")
	req.Header.Set("Last-Event-Id", "3")
	require.Equal(t, eventTexts(4, 5), f.do(req).body)
}

// TestCutStreamLooksIncomplete cuts off a stream that cannot be resumed. The caller
// must see an error and not the regular end of the stream.
func TestCutStreamLooksIncomplete(t *testing.T) {
	f := newFixture(t)
	var runs atomic.Int64
	f.serveConns(func(c net.Conn, in *bufio.Reader) {
		r, ok := readRequest(in)
		if !ok {
			return
		}
		runs.Add(1)
		_, _ = io.WriteString(c, signedHead(r, streamHead)+chunk(eventTexts(1, 2)+"id: 3\nda"))
	})
	got := f.call(http.MethodPost, "/stream/x", "p")
	require.Error(t, got.err)
	require.Equal(t, eventTexts(1, 2), got.body)
	require.EqualValues(t, 1, runs.Load())
}

// TestLongLines sends lines that are longer than the event reader's buffer. They must be
// relayed unchanged.
func TestLongLines(t *testing.T) {
	f := newFixture(t)
	long := "id: 1\ndata: " + strings.Repeat("x", 20_000) + "\n\n" + eventText(2)
	f.serveUpstream(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) })
	require.Equal(t, long, f.call(http.MethodPost, "/stream/x", "p").body)
}

// TestFailedStreamIsMetered sends streams to an upstream that fails them. Each counts as
// usage, unless the response says that it has not run. One that is retried counts once.
func TestFailedStreamIsMetered(t *testing.T) {
	for _, tc := range []struct {
		name    string
		path    string
		status  int
		notRun  bool
		counted int64
	}{
		{"failed", "/stream/x", http.StatusInternalServerError, false, 1},
		{"failed twice", "/resumable/x", http.StatusInternalServerError, false, 1},
		{"out of time", "/stream/x", http.StatusGatewayTimeout, false, 1},
		{"refused", "/stream/x", http.StatusServiceUnavailable, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			for range 2 {
				f.serveUpstream(func(w http.ResponseWriter, _ *http.Request) {
					if tc.notRun {
						w.Header().Set("X-Not-Run", "1")
					}
					w.WriteHeader(tc.status)
				})
			}
			f.call(http.MethodPost, tc.path, "")
			require.Equal(t, tc.counted, f.counted())
		})
	}
}

// TestSlowStreamIsNotCut sends events with long pauses, within the caller's deadline. The
// stream must be relayed whole, from one run.
func TestSlowStreamIsNotCut(t *testing.T) {
	f := newFixture(t)
	var runs atomic.Int64
	f.serveUpstream(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		for n := 1; n <= 4; n++ {
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(w, eventText(n))
			_ = http.NewResponseController(w).Flush()
		}
	})
	for _, path := range []string{"/stream/x", "/resumable/x"} {
		runs.Store(0)
		got := f.call(http.MethodPost, path, "p")
		require.NoError(t, got.err)
		require.Equal(t, eventTexts(1, 4), got.body)
		require.EqualValues(t, 1, runs.Load())
	}
}

// TestStalledStreamEnds has an upstream send a byte now and then that never completes an event.
// The request must end at the caller's deadline, and the upstream must learn of it.
func TestStalledStreamEnds(t *testing.T) {
	const deadline = 600 * time.Millisecond
	for _, begun := range []bool{false, true} {
		t.Run(fmt.Sprint("after an event ", begun), func(t *testing.T) {
			f := newFixture(t)
			stopped := make(chan time.Time, 2)
			f.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
				if begun {
					_, _ = io.WriteString(w, eventText(1))
				}
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, ":")
					_ = http.NewResponseController(w).Flush()
					time.Sleep(20 * time.Millisecond)
				}
				stopped <- time.Now()
			})
			req := f.request(t.Context(), http.MethodPost, "/stream/x", "p")
			req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
			sent := time.Now()
			got := f.do(req)
			if begun {
				require.Error(t, got.err, "a stream that is cut must not look complete")
			} else {
				require.Equal(t, http.StatusGatewayTimeout, got.status)
			}
			require.Less(t, time.Since(sent), deadline+500*time.Millisecond)
			require.Less(t, (<-stopped).Sub(sent), deadline+500*time.Millisecond)
		})
	}
}

// TestRunningRequestOutlivesListing guards against running work that is given up or started
// again elsewhere when its upstream is no longer listed, cannot be connected to or leaves.
func TestRunningRequestOutlivesListing(t *testing.T) {
	for name, change := range map[string]func(f *fixture, u id.Upstream){
		"listing removed": func(f *fixture, u id.Upstream) { f.pool.Remove(time.Now(), u) },
		"unreachable":     func(f *fixture, u id.Upstream) { f.pool.MarkUnreachable(time.Now(), u) },
		"leaving":         func(f *fixture, u id.Upstream) { f.pool.MarkLeaving(time.Now(), &pool.Listing{ID: u}) },
		"evacuated":       func(f *fixture, _ id.Upstream) { f.pool.SetEvacuated(time.Now(), "th-a", true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var runs atomic.Int64
			running, proceed := make(chan struct{}), make(chan struct{})
			u := f.serveUpstream(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				_, _ = io.WriteString(w, eventText(1))
				_ = http.NewResponseController(w).Flush()
				running <- struct{}{}
				<-proceed
				_, _ = io.WriteString(w, eventTexts(2, 3))
			})
			f.addUpstream("127.0.0.1:1") // nothing listens there: a second run would fail
			f.pool.MarkUnreachable(time.Now(), "i-2")
			done := make(chan response)
			go func() { done <- f.call(http.MethodPost, "/resumable/x", "p") }()
			<-running
			change(f, u)
			close(proceed)
			got := <-done
			require.NoError(t, got.err)
			require.Equal(t, eventTexts(1, 3), got.body)
			require.EqualValues(t, 1, runs.Load())
		})
	}
}
