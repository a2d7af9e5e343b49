package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/tier"
)

// TestEndlessBodyHoldsRequest guards against a body that stops midway and holds its request, and the shutdown
// of its entry, without end.
func TestEndlessBodyHoldsRequest(t *testing.T) {
	e := newBodyEntry(1 << 20)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		body, p := e.readBody(w, r, newBodyRequest(now, 100*time.Millisecond))
		if p != nil {
			p.Write(w)
			return
		}
		_, _ = w.Write(body)
	}))
	t.Cleanup(server.Close)
	for _, whole := range []bool{false, true} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
		text := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nfirst"
		if whole {
			text += "after"
		}
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		if whole {
			require.Equal(t, "firstafter", string(body))
			continue
		}
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.Equal(t, string(problem.BodyLate), gjson.GetBytes(body, "reason").Str)
	}
}

// newBodyEntry returns an entry that only reads bodies, with a memory in bytes for requests.
func newBodyEntry(bytes int64) *Entry {
	budgets := memory.NewBudgets(0)
	budgets.Requests = memory.NewBudget(bytes)
	return &Entry{cfg: Config{MaxBodyBytes: 1 << 20}, deps: Deps{Memory: budgets}}
}

func newBodyRequest(now time.Time, timeout time.Duration) *request {
	return &request{arrived: now, deadline: now.Add(timeout), key: &key.Key{Workspace: "ws"}, class: &rule.Class{Tier: tier.Platinum}}
}

// TestBodiesHaveMemory guards against a body being read that there is no memory for, of known or unknown length.
func TestBodiesHaveMemory(t *testing.T) {
	const size = 100 << 10
	for name, length := range map[string]int64{"known": size, "unknown": -1} {
		t.Run(name, func(t *testing.T) {
			e := newBodyEntry(5 * size)
			read := func() (*request, *problem.Problem) {
				rq := newBodyRequest(time.Now(), time.Minute)
				r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
				r.ContentLength = length
				body, p := e.readBody(&deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}, r, rq)
				if p == nil {
					require.Len(t, body, size)
				}
				return rq, p
			}
			first, p := read()
			require.Nil(t, p)
			second, p := read()
			require.Equal(t, problem.MemoryFull, p.Reason)
			require.Equal(t, problem.NotRun, p.Run)
			require.Equal(t, http.StatusServiceUnavailable, p.Status)
			require.NotZero(t, p.RetryAfter)
			first.share.Release()
			second.share.Release()
			require.Zero(t, e.deps.Memory.Requests.Used())
			_, p = read()
			require.Nil(t, p)
		})
	}
}

// deadlineRecorder is a response recorder whose read deadline can be set.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (*deadlineRecorder) SetReadDeadline(time.Time) error { return nil }
