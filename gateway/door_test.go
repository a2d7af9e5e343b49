package gateway

// This file tests the doors that callers have no business with under crowds that come to them.

import (
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
)

// openTestDoor opens a door of a process with the least number of descriptors, and returns its address.
func openTestDoor(t *testing.T, budget *memory.Budget, handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	var tasks sync.WaitGroup
	p := &Program{settings: &Settings{MaxDescriptors: otherDescriptors + 1}, registry: metrics.NewRegistry(), logger: log.NewNopLogger()}
	p.servers = servers{tasks: &tasks, failed: make(chan error, 1), logger: p.logger}
	p.openDoor(&door{name: "ready", address: address, sockets: readySocketFraction, requestTime: doorRequestTime, memory: budget, handler: handler})
	t.Cleanup(func() {
		require.NoError(t, p.servers.close())
		tasks.Wait()
	})
	return address
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
			address := openTestDoor(t, budget, withoutBodies(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") })))
			for range 3 * minDoorConns {
				dialCaller(t, address, text)
			}
			conn := dialCaller(t, address, callerRequest)
			requireAnswer(t, conn, http.StatusOK)
			require.LessOrEqual(t, budget.Used(), int64(minDoorConns*callerConnBytes))
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
		"compressed":    {"Content-Length: 1000\r\nContent-Encoding: gzip\r\n", http.StatusUnsupportedMediaType},
	} {
		t.Run(name, func(t *testing.T) {
			budget := memory.NewBudget(1 << 20)
			address := openTestDoor(t, memory.NewBudget(1<<20), withBodiesIn(budget, &callRefusals{registry: metrics.NewRegistry(), logger: log.NewNopLogger()}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			})))
			conn := dialCaller(t, address, "POST / HTTP/1.1\r\nHost: h\r\n"+tc.head+"\r\n"+strings.Repeat("x", 1000))
			requireAnswer(t, conn, tc.want)
			require.Eventually(t, func() bool { return budget.Used() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}
