package process

// This file tests callers that do not read their answers.

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/memory"
)

// TestUnreadAnswerIsClosedForMemory has a caller read no answer for long and another one ask for what there is no memory for: the
// connection of the first is closed, and the second is answered.
func TestUnreadAnswerIsClosedForMemory(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/full" {
			CloseUnread(r.Context(), time.Now(), memory.ErrFull)
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<10))
	}))
	c := NewConns(ConnsConfig{IdleTimeout: noIdleTimeout, Memory: memory.NewBudgets(0).Connections, Registry: metrics.NewRegistry(), Logger: log.NewNopLogger()}, server.Config, server.Listener)
	server.Listener = c
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	conn := dialCaller(t, address, "")
	go func() { _, _ = io.WriteString(conn, strings.Repeat(callerRequest, 1<<18)) }() // ends with the test
	stuck := func(now time.Time) bool {
		_, found := c.leastNeeded(nil, unread(now))
		return found
	}
	ask := func() {
		resp, err := http.Get("http://" + address + "/full")
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
	early := minUnreadTime - time.Second
	require.Eventually(t, func() bool { return stuck(time.Now().Add(early)) }, 30*time.Second, 100*time.Millisecond)
	ask()
	require.True(t, stuck(time.Now().Add(early)), "closed at once")
	require.Eventually(t, func() bool { return stuck(time.Now()) }, 30*time.Second, 100*time.Millisecond)
	ask()
	require.False(t, stuck(time.Now().Add(early)), "not closed")
}

// TestUnreadAnswersMakeRoom guards against callers that send requests ahead and read no answer, which need no key to have all connections
// for as long as they like.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	const conns = 2
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<10))
	}))
	c := NewConns(ConnsConfig{IdleTimeout: noIdleTimeout, Memory: memory.NewBudgets(0).Connections, MaxOpen: conns, Registry: metrics.NewRegistry(), Logger: log.NewNopLogger()}, server.Config, server.Listener)
	server.Listener = c
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	for range conns {
		conn := dialCaller(t, address, "")
		go func() { _, _ = io.WriteString(conn, strings.Repeat(callerRequest, 1<<18)) }() // ends with the test
	}
	stuck := func() bool {
		_, found := c.leastNeeded(nil, unread(time.Now()))
		return found
	}
	require.Eventually(t, stuck, 30*time.Second, 100*time.Millisecond)
	require.Eventually(t, func() bool {
		conn := dialCaller(t, address, callerRequest)
		if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
			return false
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}, 20*time.Second, 100*time.Millisecond)
}
