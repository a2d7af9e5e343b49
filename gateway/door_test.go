package gateway

// This file tests the doors that callers have no business with under crowds that come to them.

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/process"
)

// openTestDoor opens a door of a process with the least number of descriptors, and returns its address.
func openTestDoor(t *testing.T, budget *memory.Budget, handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	var tasks sync.WaitGroup
	p := &Program{settings: &Settings{MaxDescriptors: process.OtherDescriptors + 1}, registry: metrics.NewRegistry(), logger: log.NewNopLogger()}
	p.servers = servers{tasks: &tasks, failed: make(chan error, 1), logger: p.logger}
	p.openDoor(&door{name: "ready", address: address, sockets: readySocketFraction, requestTime: doorRequestTime, memory: budget, handler: handler})
	t.Cleanup(func() {
		require.NoError(t, p.servers.close())
		tasks.Wait()
	})
	return address
}

const (
	doorRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	connBytes   = 10 << 10 // that a connection takes
)

// dialDoor opens a connection and writes to it.
func dialDoor(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// requireAnswer reads the status of an answer from a connection, for as long as a busy machine may take.
func requireAnswer(t *testing.T, conn net.Conn, status int) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, status, resp.StatusCode)
}

// TestDoorAnswersBesideCrowd has more connections at a door than it may have, which all keep it waiting: one that asks
// properly is answered.
func TestDoorAnswersBesideCrowd(t *testing.T) {
	for name, text := range map[string]string{
		"silent":       "",
		"half a head":  "GET / HTTP/1.1\r\nHost: h",
		"half a body":  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx",
		"half a chunk": "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			budget := memory.NewBudget(16 << 20)
			address := openTestDoor(t, budget, process.WithoutBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })))
			for range 3 * minDoorConns {
				dialDoor(t, address, text)
			}
			conn := dialDoor(t, address, doorRequest)
			requireAnswer(t, conn, http.StatusOK)
			require.LessOrEqual(t, budget.Used(), int64(minDoorConns*connBytes))
		})
	}
}

// TestPeerBodyNeedsMemoryFirst guards against bodies at the door of peers being read that there is no memory for.
func TestPeerBodyNeedsMemoryFirst(t *testing.T) {
	for name, tc := range map[string]struct {
		head string
		want int
	}{
		"small":         {"Content-Length: 1000\r\n", http.StatusOK},
		"no memory":     {"Content-Length: 1000000\r\n", http.StatusServiceUnavailable},
		"length unsaid": {"Transfer-Encoding: chunked\r\n", http.StatusLengthRequired},
		"late":          {"Content-Length: 1001\r\n", http.StatusRequestTimeout},
		"compressed":    {"Content-Length: 1000\r\nContent-Encoding: gzip\r\n", http.StatusUnsupportedMediaType},
	} {
		t.Run(name, func(t *testing.T) {
			budget := memory.NewBudget(1 << 20)
			bounds := process.NewCallBounds(&memory.Budgets{Peers: budget}, time.Second, metrics.NewRegistry(), log.NewNopLogger())
			_, bounded := bounds.Handler("/", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
			address := openTestDoor(t, memory.NewBudget(1<<20), bounded)
			conn := dialDoor(t, address, "POST / HTTP/1.1\r\nHost: h\r\n"+tc.head+"\r\n"+strings.Repeat("x", 1000))
			requireAnswer(t, conn, tc.want)
			require.Eventually(t, func() bool { return budget.Used() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}
