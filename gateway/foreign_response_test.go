package gateway_test

// This file tests what the gateway makes of responses that do not belong to the request that was
// sent, and of statuses that promise more than the upstream has said.

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/problem"
)

// rawResponse returns a response to the request with an id. A status other than 200 is a refusal
// of a request that was not run.
func rawResponse(status int, id, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	if status == http.StatusOK {
		head += "X-Replica-Stamp: signed\r\n"
	} else {
		head += "X-Not-Run: 1\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// serveScript adds an upstream that responds to the nth request on a connection, from 0, with
// what respond returns. It runs the request, so that it counts, if respond returns true.
func (f *fixture) serveScript(respond func(n int, id string) (raw string, ran bool)) *atomic.Int64 {
	runs := new(atomic.Int64)
	f.serveConns(func(c net.Conn, in *bufio.Reader) {
		for n := 0; ; n++ {
			r, ok := readRequest(in)
			if !ok {
				return
			}
			raw, ran := respond(n, r.Header.Get("X-Request-Id"))
			if ran {
				runs.Add(1)
			}
			if _, err := io.WriteString(c, raw); err != nil {
				return
			}
		}
	})
	return runs
}

// TestRepeatedRefusalIsNotToldToTheNextCaller has an upstream that repeats the refusal of the first
// request on a connection before the response to the second, which it runs.
func TestRepeatedRefusalIsNotToldToTheNextCaller(t *testing.T) {
	for _, tc := range []struct {
		name, path, body string
		status           int
	}{
		{"full", "/once/x", "", http.StatusServiceUnavailable},
		{"full with a body", "/once/x", "full", http.StatusServiceUnavailable},
		{"too many requests", "/once/x", "", http.StatusTooManyRequests},
		{"another upstream's address", "/once/x", "", http.StatusMisdirectedRequest},
		{"two attempts", "/once2/x", "", http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			first := ""
			runs := f.serveScript(func(n int, id string) (string, bool) {
				switch {
				case first == "":
					first = id
					return rawResponse(http.StatusServiceUnavailable, id, ""), false
				case n == 1:
					return rawResponse(tc.status, first, tc.body) + rawResponse(http.StatusOK, id, "own"), true
				}
				return rawResponse(http.StatusOK, id, "own"), true
			})
			require.Equal(t, http.StatusServiceUnavailable, f.call(http.MethodPost, "/once/x", "steel").status)
			got := f.call(http.MethodPost, tc.path, "steel")
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status, "%+v", got)
			require.Equal(t, "own", got.body)
			require.EqualValues(t, 1, runs.Load())
			require.NotEmpty(t, f.logged("foreign_response", "for", first))
			require.Equal(t, "own", f.call(http.MethodPost, tc.path, "steel").body, "the upstream is still in use")
		})
	}
}

// TestResponseWithoutIDSaysNothing has an upstream run requests and send a refusal without an id
// before its response.
func TestResponseWithoutIDSaysNothing(t *testing.T) {
	f := newFixture(t)
	runs := f.serveScript(func(_ int, id string) (string, bool) {
		return rawResponse(http.StatusServiceUnavailable, "", "") + rawResponse(http.StatusOK, id, "own"), true
	})
	for range 3 {
		require.Equal(t, http.StatusBadGateway, f.call(http.MethodPost, "/once2/x", "").status)
	}
	require.EqualValues(t, 3, runs.Load())
}

// TestResponsesOneRequestLate has an upstream whose every response on a connection, from the
// second on, is the refusal of the request before.
func TestResponsesOneRequestLate(t *testing.T) {
	f := newFixture(t)
	previous := ""
	runs := f.serveScript(func(n int, id string) (string, bool) {
		defer func() { previous = id }()
		if n == 0 {
			return rawResponse(http.StatusServiceUnavailable, id, ""), false
		}
		return rawResponse(http.StatusServiceUnavailable, previous, ""), true
	})
	for n := range 8 {
		before := runs.Load()
		req := f.request(t.Context(), http.MethodPost, "/once/x", "")
		req.Header.Set("X-Deadline-Ms", "300")
		got := f.do(req)
		if runs.Load() > before {
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, got.status, "request %d", n)
			require.Empty(t, got.header.Get("Retry-After"))
		}
	}
	require.Positive(t, runs.Load())
}

// TestForeignResponseSaysNothingOfTheUpstream has another request's response say that the upstream
// is leaving, asks for a wait and is not the one at its address.
func TestForeignResponseSaysNothingOfTheUpstream(t *testing.T) {
	f := newFixture(t)
	f.serveScript(func(_ int, id string) (string, bool) {
		foreign := strings.Replace(rawResponse(http.StatusMisdirectedRequest, "other", ""), "\r\n", "\r\nServer-Leaving: 1\r\nRetry-After: 5\r\n", 1)
		busy := strings.Replace(rawResponse(http.StatusServiceUnavailable, "other", ""), "\r\n", "\r\nRetry-After: 5\r\n", 1)
		return foreign + busy + rawResponse(http.StatusOK, id, "own"), true
	})
	for range 3 {
		got := f.call(http.MethodPost, "/once/x", "")
		require.Equal(t, http.StatusOK, got.status, "%+v", got)
	}
	require.Empty(t, f.logged("upstream_leaving"))
	require.Empty(t, f.logged("upstream_asked_wait"))
}

// TestOwnPromiseOfUpstreamIsNotPassedOn has an upstream fail requests that it has run with a
// status that promises callers that they have not run.
func TestOwnPromiseOfUpstreamIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{"/once/x", "/once2/x", "/safe1/x", "/stream/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				f := newFixture(t)
				var arrived atomic.Int64
				f.serveUpstream(func(w http.ResponseWriter, _ *http.Request) {
					arrived.Add(1)
					w.Header().Set("Retry-After", "0.1")
					w.WriteHeader(status)
				})
				got := f.call(http.MethodPost, path, "steel")
				require.NoError(t, got.err)
				require.Equal(t, http.StatusBadGateway, got.status)
				require.Empty(t, got.header.Get("X-Replica-Stamp"))
				require.Empty(t, got.header.Get("Retry-After"))
				require.EqualValues(t, 1, arrived.Load())
				require.EqualValues(t, 1, f.counted(), "it has run")
			})
		}
	}
}

// TestForeignResponsesWithoutEnd has an upstream that sends other requests' responses for as long
// as the connection is open.
func TestForeignResponsesWithoutEnd(t *testing.T) {
	f := newFixture(t)
	var sent atomic.Int64
	f.serveConns(func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); !ok {
			return
		}
		for {
			if _, err := io.WriteString(c, rawResponse(http.StatusOK, "other", strings.Repeat("x", 1<<10))); err != nil {
				return
			}
			sent.Add(1)
		}
	})
	began := time.Now()
	require.Equal(t, http.StatusBadGateway, f.call(http.MethodPost, "/once/x", "").status)
	require.Less(t, time.Since(began), 2*time.Second)
}

// TestRepeatedRefusalOfTheSameID has a caller send a refused request again with the same id. The
// upstream repeats the refusal on the connection of the first before it answers.
func TestRepeatedRefusalOfTheSameID(t *testing.T) {
	f := newFixture(t)
	refused := false
	runs := f.serveScript(func(n int, id string) (string, bool) {
		switch {
		case !refused:
			refused = true
			return rawResponse(http.StatusServiceUnavailable, id, ""), false
		case n > 0:
			return rawResponse(http.StatusServiceUnavailable, id, "") + rawResponse(http.StatusOK, id, "own"), true
		}
		return rawResponse(http.StatusOK, id, "own"), true
	})
	req := f.request(t.Context(), http.MethodPost, "/once/x", "")
	again := req.Clone(t.Context())
	require.Equal(t, http.StatusServiceUnavailable, f.do(req).status)
	require.Equal(t, http.StatusOK, f.do(again).status)
	require.EqualValues(t, 1, runs.Load())
}

// runRecord counts how often upstreams have run each request.
type runRecord struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runRecord) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// misbehaving is an upstream that chooses at random what it writes for each request.
type misbehaving struct {
	record  *runRecord
	random  func(n int) int
	refused []string // ids of requests that it has refused
}

// respond returns what the upstream writes for a request, and whether it closes the connection
// afterwards.
func (u *misbehaving) respond(id string) (raw string, closes bool) {
	u.record.mu.Lock()
	defer u.record.mu.Unlock()
	earlier := "none"
	if len(u.refused) > 0 {
		earlier = u.refused[u.random(len(u.refused))]
	}
	own := rawResponse(http.StatusOK, id, "answer to "+id)
	behaviour := u.random(10)
	if behaviour < 3 {
		u.refused = append(u.refused, id)
		refusal := rawResponse([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[u.random(2)], id, []string{"", "full"}[u.random(2)])
		return refusal + []string{"", refusal}[u.random(2)], false // some refusals are written twice at once
	}
	u.record.runs[id]++
	switch behaviour {
	case 3:
		return rawResponse(http.StatusServiceUnavailable, earlier, "") + own, false
	case 4:
		return rawResponse(http.StatusMisdirectedRequest, earlier, "elsewhere") + own, false
	case 5:
		return rawResponse(http.StatusServiceUnavailable, "", "") + own, false
	case 6:
		return own + rawResponse(http.StatusServiceUnavailable, earlier, ""), false // a response behind from now on
	case 7:
		return strings.Replace(rawResponse(http.StatusServiceUnavailable, id, ""), "X-Not-Run: 1", "X-Replica-Stamp: signed", 1), false
	case 8:
		return own[:len(own)-3], true
	}
	return own, false
}

// TestRefusalsAreTrueWhateverUpstreamsWrite sends requests over kept connections to upstreams that
// refuse, repeat refusals, and lose responses. What is refused has not run, nothing that
// may run once runs twice, and each answer is the request's own. SEEDS sets the number of seeds.
func TestRefusalsAreTrueWhateverUpstreamsWrite(t *testing.T) {
	seeds := uint64(3)
	if text := os.Getenv("SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRefusals(t, seed) })
	}
}

// checkRefusals sends requests to upstreams whose behaviour a seed chooses, and checks what callers
// are told.
func checkRefusals(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	f := newFixture(t)
	record := &runRecord{runs: make(map[string]int)}
	for range 2 {
		upstream := &misbehaving{record: record, random: random.IntN}
		f.serveConns(func(c net.Conn, in *bufio.Reader) {
			for {
				r, ok := readRequest(in)
				if !ok {
					return
				}
				raw, closes := upstream.respond(r.Header.Get("X-Request-Id"))
				if _, err := io.WriteString(c, raw); err != nil || closes {
					return
				}
			}
		})
	}
	var served, refused atomic.Int64
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for n := range 100 {
				req := f.request(t.Context(), http.MethodPost, []string{"/once/x", "/once2/x"}[n%2], "steel")
				id := req.Header.Get("X-Request-Id")
				got := f.do(req)
				runs := record.count(id)
				switch {
				case got.status == http.StatusOK:
					served.Add(1)
					assert.Equal(t, "answer to "+id, got.body)
				case problem.PromisesNotRun(got.status):
					refused.Add(1)
					assert.Zero(t, runs, "%s was refused: %s", id, got.body)
				}
				assert.LessOrEqual(t, runs, 1, id)
			}
		})
	}
	callers.Wait()
	require.Positive(t, served.Load())
	require.Positive(t, refused.Load())
}

// TestRequestPastItsDeadlineIsNotSent has the time of requests run out before they are sent over a
// kept connection.
func TestRequestPastItsDeadlineIsNotSent(t *testing.T) {
	f := newFixture(t)
	runs := f.serveScript(func(_ int, id string) (string, bool) { return rawResponse(http.StatusOK, id, "own"), true })
	statuses := make(map[int]int)
	for range 10 {
		require.Equal(t, http.StatusOK, f.call(http.MethodPost, "/once/x", "steel").status)
		before := runs.Load()
		require.Eventually(t, func() bool { return f.gateway.InFlight() == 0 }, 20*time.Second, time.Millisecond)
		body, writer := io.Pipe()
		req := f.request(t.Context(), http.MethodPost, "/once/x", "")
		req.Body, req.ContentLength = body, 4
		req.Header.Set("X-Deadline-Ms", "5")
		go func() {
			for f.gateway.InFlight() == 0 { // the time counts from when the gateway has the head
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond) // half of the time for which a body is read at least
			_, _ = writer.Write([]byte("bars"))
			_ = writer.Close()
		}()
		statuses[f.do(req).status]++
		require.Equal(t, before, runs.Load())
	}
	// On a busy machine a body may come after the time for which it is read.
	require.Equal(t, 10, statuses[http.StatusServiceUnavailable]+statuses[http.StatusRequestTimeout], "%v", statuses)
	require.Positive(t, statuses[http.StatusServiceUnavailable])
}

// TestAbsoluteRequestTarget sends a request whose target names the scheme and the host.
func TestAbsoluteRequestTarget(t *testing.T) {
	f := newFixture(t)
	f.serveUpstream(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.RequestURI) })
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST http://desk.example/once/x?a=b HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: target\r\nAuthorization: Bearer key-1\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "/once/x?a=b", string(body))
}

// TestResponseWrittenTwiceIsCounted has an upstream write a refusal twice at once.
func TestResponseWrittenTwiceIsCounted(t *testing.T) {
	f := newFixture(t)
	f.serveScript(func(_ int, id string) (string, bool) {
		refusal := rawResponse(http.StatusServiceUnavailable, id, "")
		return refusal + refusal, false
	})
	require.Equal(t, http.StatusServiceUnavailable, f.call(http.MethodPost, "/once/x", "").status)
	require.Eventually(t, func() bool { return len(f.logged("foreign_response", "idle")) == 1 }, 20*time.Second, time.Millisecond)
}

// TestErrorRepeatsLittle has an upstream send a long line that is no response: neither the caller nor the log
// gets all of it.
func TestErrorRepeatsLittle(t *testing.T) {
	f := newFixture(t)
	f.serveConns(func(c net.Conn, in *bufio.Reader) {
		if _, ok := readRequest(in); ok {
			_, _ = io.WriteString(c, strings.Repeat("\x00", 32<<10)+"\r\n\r\n")
		}
	})
	got := f.call(http.MethodPost, "/once/x", "")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Less(t, len(got.body), 1<<10)
	for _, line := range f.logged() {
		require.Less(t, len(line), 2<<10)
	}
}
