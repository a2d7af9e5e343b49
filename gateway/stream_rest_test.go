package gateway_test

// This file tests that a stream that was broken off is either continued from its own run or seen
// to be incomplete, whatever the next upstream responds to the request for the rest.

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

const (
	unframedHead = "Content-Type: text/event-stream\r\n\r\n"
	emptyHead    = "Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
	lastChunk    = "0\r\n\r\n"
	errorHead    = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nX-Request-Id: 1\r\n\r\n"
)

// whole returns the end of a head and a chunked body.
func whole(body string) string { return streamHead + chunk(body) + lastChunk }

// brokenOff returns the end of a head and the start of a chunked body.
func brokenOff(body string) string { return streamHead + chunk(body) }

// plain returns the end of a head and a body of a content type.
func plain(contentType, body string) string {
	return fmt.Sprintf("Content-Type: %s\r\nContent-Length: %d\r\n\r\n%s", contentType, len(body), body)
}

// withStatus replaces the status 200 of the response that follows it in serveInTurn.
func withStatus(status int, rest string) string {
	return fmt.Sprintf("%d %s\r\n%s", status, http.StatusText(status), rest)
}

// serveInTurn adds upstreams of which the nth request gets the nth response, after the signed
// start of a head with status 200. The connection is closed after each response; later requests get none.
func (f *fixture) serveInTurn(responses ...string) *atomic.Int64 {
	served := new(atomic.Int64)
	for range max(len(responses), 3) {
		f.serveConns(func(c net.Conn, in *bufio.Reader) {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			n := int(served.Add(1))
			if n > len(responses) {
				return
			}
			text := signedHead(r, responses[n-1])
			if status, rest, ok := strings.Cut(responses[n-1], "\r\n"); ok && strings.HasPrefix(status, "2") {
				text = strings.Replace(signedHead(r, rest), "200 OK", status, 1)
			}
			_, _ = io.WriteString(c, text)
		})
	}
	return served
}

// TestForeignRestIsNotRelayed breaks off a stream and has the next upstream respond to the request
// for the rest with something else. The caller must get nothing of that, and no complete response.
func TestForeignRestIsNotRelayed(t *testing.T) {
	const type200 = "text/event-stream"
	for _, tc := range []struct {
		name, rest string
		relayed    int  // last event of the rest that is relayed, if any
		partial    bool // the first upstream stops in the middle of an event
	}{
		{"no content", withStatus(204, "\r\n"), 0, false},
		{"partial content", withStatus(206, whole(eventTexts(4, 6))), 0, false},
		{"text", plain("text/plain", "upstream failed\n\n"), 0, false},
		{"empty text", plain("text/plain", ""), 0, false},
		{"events of another type", plain("text/plain", eventTexts(4, 6)), 0, false},
		{"JSON", plain("application/json", "{\"error\":\"failed\"}\n\n"), 0, false},
		{"JSON as a stream", plain(type200, "{\"error\":\"failed\"}\n\n"), 0, false},
		{"text as a stream", plain(type200, "upstream failed\n\n"), 0, false},
		{"head as a stream", whole(errorHead), 0, false},
		{"head and events", whole(errorHead + eventTexts(4, 6)), 0, false},
		{"head as an unframed stream", unframedHead + errorHead, 0, false},
		{"head after events", unframedHead + eventTexts(4, 5) + errorHead, 5, false},
		{"head in an event", unframedHead + "id: 4\ndata: pa" + errorHead, 0, false},
		{"event without an id", whole("event: error\ndata: failed\n\n"), 0, false},
		{"event without an id after others", whole(eventText(4) + "event: error\ndata: failed\n\n"), 4, false},
		{"event with two ids", whole("id: 4\nid: 5\ndata: part\n\n"), 0, false},
		{"only a comment", unframedHead + ": wait\n\n", 0, false},
		{"empty and unframed", unframedHead, 0, false},
		{"empty though an event was begun", whole(""), 0, true},
		{"empty with a length though an event was begun", emptyHead, 0, true},
		{"missing events", whole(eventTexts(5, 6)), 0, false},
		{"other run", whole("id: 3\ndata: other 3\n\nid: 4\ndata: other 4\n\n"), 0, false},
		{"other run from the start", whole("id: 1\ndata: other 1\n\nid: 2\ndata: other 2\n\nid: 3\ndata: other 3\n\nid: 4\ndata: other 4\n\n"), 0, false},
		{"shorter run", whole(eventTexts(1, 2)), 0, false},
		{"run without the last event", whole(eventTexts(1, 2) + eventTexts(4, 5)), 0, false},
		{"events in another order", whole(eventTexts(4, 5) + eventText(4) + eventText(6)), 5, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			first := eventTexts(1, 3)
			if tc.partial {
				first += "id: 4\nda"
			}
			f.serveInTurn(brokenOff(first), tc.rest)
			got := f.call(http.MethodPost, "/resumable/x", "p")
			require.Error(t, got.err, "the stream looks complete: %q", got.body)
			require.Equal(t, eventTexts(1, max(3, tc.relayed)), strings.ReplaceAll(got.body, ": wait\n\n", ""))
		})
	}
}

// TestRestIsRelayed has the next upstream respond with the rest of a stream in all the ways that
// the platform knows.
func TestRestIsRelayed(t *testing.T) {
	versioned := "x-weight-versions: 2\n" + eventText(4)
	for _, tc := range []struct{ name, first, rest, want string }{
		{"rest", brokenOff(eventTexts(1, 3)), whole(eventTexts(4, 6)), eventTexts(1, 6)},
		{"unframed rest", brokenOff(eventTexts(1, 3) + "id: 4\nda"), unframedHead + eventTexts(4, 6), eventTexts(1, 6)},
		{"from the start", brokenOff(eventTexts(1, 3)), whole(eventTexts(1, 6)), eventTexts(1, 6)},
		{"nothing is left", brokenOff(eventTexts(1, 3)), whole(""), eventTexts(1, 3)},
		{"nothing is left, with a length", brokenOff(eventTexts(1, 3)), emptyHead, eventTexts(1, 3)},
		{"nothing is left, from the start", brokenOff(eventTexts(1, 3)), whole(eventTexts(1, 3)), eventTexts(1, 3)},
		{"nothing is left, after bytes that are no event", unframedHead + eventTexts(1, 3) + errorHead, whole(""), eventTexts(1, 3)},
		{"new version", brokenOff(eventTexts(1, 3)), whole(versioned + eventText(5)), eventTexts(1, 3) + versioned + eventText(5)},
		{"comment", brokenOff(eventTexts(1, 3)), whole(": wait\n\n" + eventTexts(4, 6)), eventTexts(1, 3) + ": wait\n\n" + eventTexts(4, 6)},
		{"parameter of the type", brokenOff(eventTexts(1, 3)), strings.Replace(whole(eventTexts(4, 6)), "event-stream", "Event-Stream; charset=utf-8", 1), eventTexts(1, 6)},
		{"ids that skip numbers", brokenOff("id: 10\ndata: a\n\nid: 20\ndata: b\n\n"), whole("id: 30\ndata: c\n\n"), "id: 10\ndata: a\n\nid: 20\ndata: b\n\nid: 30\ndata: c\n\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			served := f.serveInTurn(tc.first, tc.rest)
			got := f.call(http.MethodPost, "/resumable/x", "p")
			require.NoError(t, got.err)
			require.Equal(t, tc.want, got.body)
			require.EqualValues(t, 2, served.Load())
		})
	}
}

// TestThirdUpstreamContinuesStream has the second upstream respond with something else than the
// rest, and a third one with the rest.
func TestThirdUpstreamContinuesStream(t *testing.T) {
	f := newFixture(t)
	f.serveInTurn(brokenOff(eventTexts(1, 3)), unframedHead+eventText(4)+errorHead, whole(eventTexts(5, 6)))
	got := f.call(http.MethodPost, "/resumable/x", "p")
	require.NoError(t, got.err)
	require.Equal(t, eventTexts(1, 6), got.body)
}

// TestResponseWithoutEventsIsNoStream has the only response to a stream be a success without an
// event, or with bytes that are none.
func TestResponseWithoutEventsIsNoStream(t *testing.T) {
	for name, response := range map[string]string{
		"no content":      withStatus(204, "\r\n"),
		"empty":           whole(""),
		"empty text":      plain("text/plain", ""),
		"comment":         whole(": wait\n\n"),
		"text":            plain("text/plain", "upstream failed\n\n"),
		"JSON":            plain("application/json", "{\"error\":\"failed\"}\n\n"),
		"head":            unframedHead + errorHead,
		"head, in chunks": whole(errorHead),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.serveInTurn(response)
			got := f.call(http.MethodPost, "/stream/x", "p")
			require.NotContains(t, got.body, "HTTP/1.1")
			if got.err == nil {
				require.Equal(t, http.StatusBadGateway, got.status, "%+v", got)
				require.NotContains(t, got.header, "X-Replica-Stamp")
			}
		})
	}
}

// TestBytesAfterEventsCutStream has an upstream send bytes that do not continue its stream.
func TestBytesAfterEventsCutStream(t *testing.T) {
	for name, response := range map[string]string{
		"another response":          unframedHead + eventTexts(1, 2) + errorHead,
		"another response in event": unframedHead + eventTexts(1, 2) + "id: 3\ndata: pa" + errorHead,
		"another run":               whole(eventTexts(1, 2) + "id: 1\ndata: other 1\n\nid: 2\ndata: other 2\n\n"),
		"an event again":            whole(eventTexts(1, 2) + eventText(2)),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.serveInTurn(response)
			got := f.call(http.MethodPost, "/stream/x", "p")
			require.Error(t, got.err, "the stream looks complete: %q", got.body)
			require.Equal(t, eventTexts(1, 2), got.body)
		})
	}
}

// TestUnnumberedEventsAreNotRepeated breaks off a stream whose events have no ids, so that no
// upstream can be told where to continue.
func TestUnnumberedEventsAreNotRepeated(t *testing.T) {
	for _, start := range []string{"", eventTexts(1, 2)} {
		f := newFixture(t)
		served := f.serveInTurn(brokenOff(start+"data: a\n\n"), whole(start+"data: a\n\ndata: b\n\n"))
		got := f.call(http.MethodPost, "/resumable/x", "p")
		require.Error(t, got.err, "the stream looks complete: %q", got.body)
		require.Equal(t, start+"data: a\n\n", got.body)
		require.EqualValues(t, 1, served.Load())
	}
}

// TestCallerResumesCompleteStream has a caller ask for the rest of a stream that it has whole.
func TestCallerResumesCompleteStream(t *testing.T) {
	for _, tc := range []struct {
		name, response string
		complete       bool
	}{
		{"chunked", whole(""), true},
		{"length", emptyHead, true},
		{"unframed", unframedHead, false},
		{"no content", withStatus(204, "\r\n"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.serveInTurn(tc.response)
			req := f.request(t.Context(), http.MethodPost, "/resumable/x", "p")
			req.Header.Set("Last-Event-Id", "3")
			got := f.do(req)
			if !tc.complete {
				require.True(t, got.err != nil || got.status == http.StatusBadGateway, "%+v", got)
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Empty(t, got.body)
		})
	}
}
