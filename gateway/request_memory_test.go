package gateway_test

// This file tests requests that there is no memory for.

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/memory"
)

// fillRequests has others take the memory for requests but for one part in 2^n.
func (f *fixture) fillRequests(n int) (release func()) {
	var shares []*memory.Share
	for i := range n {
		share := f.memory.Requests.Share(memory.Holder(fmt.Sprint("other-", i)))
		size := int64(0)
		for step := int64(1 << 30); step > 0; step /= 2 {
			if share.GrowTo(size+step) == nil {
				size += step
			}
		}
		shares = append(shares, share)
	}
	return func() {
		for _, s := range shares {
			s.Release()
		}
	}
}

// TestRequestWithoutMemoryIsRefused guards against a request being read, or taking long to be refused, that
// there is no memory for.
func TestRequestWithoutMemoryIsRefused(t *testing.T) {
	f := newFixture(t)
	ran := make(chan struct{}, 1)
	f.serveUpstream(func(http.ResponseWriter, *http.Request) { ran <- struct{}{} })
	release := f.fillRequests(20)
	for name, rest := range map[string]string{"nothing follows": "", "the body follows": "after"} {
		conn := f.startBody("/once/x")
		_, err := io.WriteString(conn, rest)
		require.NoError(t, err, name)
		status, body := readAnswer(t, conn, 500*time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, status, name)
		require.Contains(t, body, `"reason":"memory_full"`, name)
		require.Contains(t, body, `"run":"not_run"`, name)
	}
	got := f.call(http.MethodGet, "/safe/x", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Empty(t, ran)
	release()
	require.Equal(t, http.StatusOK, f.call(http.MethodPost, "/once/x", "steel").status)
	require.Zero(t, f.memory.Requests.Used())
}

// TestBodyTooLargeIsNotRead guards against memory being taken, or time, for a body that says itself that it
// is too large.
func TestBodyTooLargeIsNotRead(t *testing.T) {
	f := newFixture(t)
	f.serveUpstream(func(http.ResponseWriter, *http.Request) {})
	conn := f.startRequest("/once/x", fmt.Sprintf("Content-Length: %d", f.currentCatalog.Load().Limits.BodyBytes+1))
	status, body := readAnswer(t, conn, 500*time.Millisecond)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	require.Contains(t, body, `"reason":"body_too_large"`)
	require.Zero(t, f.memory.Requests.Used())
}

// TestBodiesOfUnknownLength sends bodies in chunks: they are passed on as they are, with their length, and
// refused once they are too large.
func TestBodiesOfUnknownLength(t *testing.T) {
	f := newFixture(t)
	f.serveUpstream(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.EqualValues(t, len(body), r.ContentLength)
		_, _ = w.Write(body)
	})
	limit := int(f.currentCatalog.Load().Limits.BodyBytes)
	for size, status := range map[int]int{0: http.StatusOK, 1: http.StatusOK, limit: http.StatusOK, limit + 1: http.StatusRequestEntityTooLarge} {
		content := strings.Repeat("x", size)
		req := f.request(t.Context(), http.MethodPost, "/once/x", "")
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(content)), -1
		got := f.do(req)
		require.NoError(t, got.err)
		require.Equal(t, status, got.status, size)
		if status == http.StatusOK {
			require.Equal(t, content, got.body)
		}
	}
}

// TestUrgentRequestsHaveMemory guards against more urgent requests being refused for the memory that less
// urgent ones have.
func TestUrgentRequestsHaveMemory(t *testing.T) {
	f := newFixture(t)
	f.serveUpstream(func(http.ResponseWriter, *http.Request) {})
	second := 1
	c := testCatalog()
	c.Version++
	c.Workspaces["key-2"] = &catalog.Workspace{Name: "ws-2", Priority: &second}
	c.Index()
	f.currentCatalog.Update(c)
	defer f.fillRequests(5)()
	less := f.request(t.Context(), http.MethodPost, "/once/x", "steel")
	less.Header.Set("Authorization", "Bearer key-2")
	require.Equal(t, http.StatusServiceUnavailable, f.do(less).status)
	require.Equal(t, http.StatusOK, f.call(http.MethodPost, "/once/x", "steel").status)
}

// TestLargeBodyIsToldOfRefusal guards against a caller being reset before it has read the refusal of a large
// body that there is no memory for: it reads nothing before it has sent all.
func TestLargeBodyIsToldOfRefusal(t *testing.T) {
	f := newFixture(t)
	const size = 32 << 20
	c := testCatalog()
	c.Version, c.Limits.BodyBytes = c.Version+1, size
	c.Index()
	f.currentCatalog.Update(c)
	defer f.fillRequests(20)()
	conn := f.startRequest("/once/x", fmt.Sprintf("Content-Length: %d", size))
	require.NoError(t, conn.SetDeadline(time.Now().Add(2*time.Second)))
	_, err := conn.Write(make([]byte, size))
	require.NoError(t, err)
	status, body := readAnswer(t, conn, time.Second)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"reason":"memory_full"`)
}
