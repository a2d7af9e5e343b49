package ragworttest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateBody is a request whose body is complete some time after its head.
type lateBody struct {
	headAt time.Duration // after SIGTERM
	bodyIn time.Duration
}

// TestLateBodiesDuringShutdown guards against a planned stop that cuts requests which may run once: a process
// gets heads at each tenth of its grace, on connections that were open before, with bodies that are
// complete later. What an upstream runs is answered, and what is refused did not run.
func TestLateBodiesDuringShutdown(t *testing.T) {
	const grace = 6 * time.Second // as in writeSettings
	f := newRelayFleet(t, 1)
	f.runTime.Store(int64(2600 * time.Millisecond))
	node := f.nodes[0]
	var requests []lateBody
	for tenth := range 10 {
		for _, bodyIn := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			requests = append(requests, lateBody{headAt: grace / 10 * time.Duration(tenth), bodyIn: bodyIn})
		}
	}
	conns := make([]net.Conn, len(requests))
	for i := range conns {
		conn, err := net.Dial("tcp", node.callerAddress)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		conns[i] = conn
	}
	time.Sleep(100 * time.Millisecond) // until they are accepted
	var mu sync.Mutex
	var violations []string
	counts := make(map[string]int)
	var callers sync.WaitGroup
	node.process.Signal(t, syscall.SIGTERM)
	for i, rq := range requests {
		callers.Go(func() {
			time.Sleep(rq.headAt)
			requestID := newRequestID()
			outcome := exchangeLateBody(conns[i], string(requestID), rq.bodyIn)
			f.mu.Lock()
			runs := f.bookingRuns[requestID]
			f.mu.Unlock()
			mu.Lock()
			defer mu.Unlock()
			counts[outcome]++
			served := outcome == "200 answer to "+string(requestID)
			if served {
				counts["served"]++
			}
			if runs > 1 || runs == 1 && !served || runs == 0 && served {
				violations = append(violations, fmt.Sprintf("%+v: %s, run %d times", rq, outcome, runs))
			}
		})
	}
	callers.Wait()
	node.process.WaitExit(t)
	require.Empty(t, violations, node.process.Log.Tail())
	require.GreaterOrEqual(t, counts["served"], 12, "%v", counts)
}

// exchangeLateBody sends a request on a connection and returns its answer, or the error.
func exchangeLateBody(conn net.Conn, requestID string, bodyIn time.Duration) string {
	_, err := fmt.Fprintf(conn, "POST /long/x HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\nContent-Length: 10\r\n\r\nfirst", requestID)
	if err != nil {
		return err.Error()
	}
	time.Sleep(bodyIn)
	if _, err = io.WriteString(conn, "after"); err != nil {
		return err.Error()
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", strings.TrimSpace(string(body)))
}
