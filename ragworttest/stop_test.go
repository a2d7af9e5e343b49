package ragworttest_test

// This file tests that everyone whose connection was accepted has an answer when a process has been
// stopped as planned, and that such a process ends with status 0.

import (
	"bufio"
	"errors"
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

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// grace is the time from SIGTERM to SIGKILL, as in writeSettings.
const grace = 6 * time.Second

// errNotAccepted means that nothing listens any more.
var errNotAccepted = errors.New("not accepted")

// tally counts outcomes by their description. It is safe for concurrent use.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (o *tally) add(outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[string]int)
	}
	o.counts[outcome]++
}

// persistentCaller uses each connection until it is told to close it.
type persistentCaller struct {
	address   string
	path      string
	conn      net.Conn // nil: none
	in        *bufio.Reader
	requestID id.Request // of the latest call
}

// call sends a request and returns the status of the answer. Any error but errNotAccepted means that a
// connection that was accepted has ended without the answer.
func (c *persistentCaller) call(deadline time.Duration) (int, error) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return 0, errNotAccepted
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	status, err := c.exchange(deadline)
	if err != nil {
		c.close()
	}
	return status, err
}

func (c *persistentCaller) exchange(deadline time.Duration) (int, error) {
	if err := c.conn.SetDeadline(time.Now().Add(2 * deadline)); err != nil {
		return 0, err
	}
	c.requestID = newRequestID()
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		c.path, c.requestID, deadline.Milliseconds())
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, nil
}

func (c *persistentCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// TestCallersWithoutPauseAreCutAtTheEndOfAStop guards against requests that end with a closed connection
// because callers never leave a stopping process idle.
func TestCallersWithoutPauseAreCutAtTheEndOfAStop(t *testing.T) {
	const callers = 24
	f := newRelayFleet(t, 1)
	f.runTime.Store(int64(20 * time.Millisecond))
	node := f.nodes[0]
	var outcomes tally
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			c := &persistentCaller{address: node.callerAddress, path: "/look/x"}
			defer c.close()
			for {
				status, err := c.call(2 * time.Second)
				switch {
				case errors.Is(err, errNotAccepted):
					return
				case err != nil:
					outcomes.add("cut: " + strings.ReplaceAll(err.Error(), node.callerAddress, "gateway"))
				default:
					outcomes.add(http.StatusText(status))
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	signalled := time.Now()
	node.process.Signal(t, syscall.SIGTERM)
	code := node.process.ExitCode(t)
	took := time.Since(signalled)
	running.Wait()
	t.Logf("exit status %d after %v, %v", code, took.Round(time.Millisecond), outcomes.counts)
	t.Logf("signalled at %s: %s", signalled.UTC().Format(time.RFC3339Nano), eventLines(node.process.Log.String(), "leaving", "left"))
	for outcome := range outcomes.counts {
		require.Contains(t, []string{http.StatusText(http.StatusOK), http.StatusText(http.StatusServiceUnavailable)}, outcome, "%v", outcomes.counts)
	}
	require.Less(t, took, grace)
	require.Zero(t, code, node.process.Log.Tail())
}

// eventLines returns the lines of a log with the events.
func eventLines(text string, events ...string) string {
	var found []string
	for line := range strings.Lines(text) {
		for _, event := range events {
			if strings.Contains(line, " event="+event+" ") {
				found = append(found, line)
			}
		}
	}
	return strings.Join(found, "")
}

// acceptedRequest is a request that is on its way when a process is stopped.
type acceptedRequest struct {
	headAt time.Duration // after SIGTERM
	head   string        // further headers
	rest   string        // sent at restAt
	restAt time.Duration
	status int // of the answer
}

// TestAcceptedRequestsAreCutAtTheEndOfAStop guards against connections that end without an answer in a
// planned stop, whatever the state of their request, and with signals that come again.
func TestAcceptedRequestsAreCutAtTheEndOfAStop(t *testing.T) {
	const headers = "Host: desk.example\r\nAuthorization: Bearer key-1\r\nX-Deadline-Ms: 5000\r\nX-Request-Id: "
	post := func(length int, more string) string {
		return fmt.Sprintf("POST /long/x HTTP/1.1\r\n%s%s\r\nContent-Length: %d\r\n%s\r\n", headers, newRequestID(), length, more)
	}
	large := strings.Repeat("x", 60_000)
	requests := map[string]acceptedRequest{
		"half a head":                             {headAt: time.Second, head: "POST /long/x HTTP/1.1\r\nHost: d", status: http.StatusServiceUnavailable},
		"half a head, late":                       {headAt: 4400 * time.Millisecond, head: "POST /long/x HTTP/1.1\r\nHost: d", status: http.StatusServiceUnavailable},
		"body that does not come":                 {headAt: 2 * time.Second, head: post(10, ""), status: http.StatusServiceUnavailable},
		"no answer before the end":                {headAt: 2 * time.Second, head: post(0, ""), status: http.StatusBadGateway},
		"body after the refusal":                  {headAt: 4 * time.Second, head: post(len(large), ""), rest: large, restAt: 4200 * time.Millisecond, status: http.StatusServiceUnavailable},
		"body after the refusal, last on its own": {headAt: 4 * time.Second, head: post(len(large), "Connection: close\r\n"), rest: large, restAt: 4200 * time.Millisecond, status: http.StatusServiceUnavailable},
	}
	f := newRelayFleet(t, 1)
	f.runTime.Store(int64(grace))
	node := f.nodes[0]
	conns := make(map[string]net.Conn, len(requests))
	for name := range requests {
		conn, err := net.Dial("tcp", node.callerAddress)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		conns[name] = conn
	}
	time.Sleep(100 * time.Millisecond) // until they are accepted
	var mu sync.Mutex
	outcomes := make(map[string]string)
	var callers sync.WaitGroup
	node.process.Signal(t, syscall.SIGTERM)
	for name, rq := range requests {
		callers.Go(func() {
			outcome := rq.send(conns[name])
			mu.Lock()
			defer mu.Unlock()
			outcomes[name] = outcome
		})
	}
	time.Sleep(grace / 2)
	node.process.Signal(t, syscall.SIGHUP)
	node.process.Signal(t, syscall.SIGTERM)
	callers.Wait()
	code := node.process.ExitCode(t)
	for name, rq := range requests {
		require.Equal(t, http.StatusText(rq.status), outcomes[name], "%s, %v", name, outcomes)
	}
	require.Zero(t, code, node.process.Log.Tail())
}

// send sends the request and returns the status of its answer, or the error.
func (rq *acceptedRequest) send(conn net.Conn) string {
	time.Sleep(rq.headAt)
	if _, err := io.WriteString(conn, rq.head); err != nil {
		return err.Error()
	}
	if rq.rest != "" {
		time.Sleep(rq.restAt - rq.headAt)
		if _, err := io.WriteString(conn, rq.rest); err != nil {
			return err.Error()
		}
		time.Sleep(100 * time.Millisecond) // a reset has arrived then
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error()
	}
	return http.StatusText(resp.StatusCode)
}

// TestStopBeforeACatalogIsKnown stops a process that has just started and has nothing to serve by.
func TestStopBeforeACatalogIsKnown(t *testing.T) {
	f := newRelayFleet(t, 1)
	node := f.nodes[0]
	node.process.Kill(t)
	f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	f.startNode(node)
	c := &persistentCaller{address: node.callerAddress, path: "/look/x"}
	defer c.close()
	ragworttest.Eventually(t, func() bool {
		status, _ := c.call(time.Second)
		return status == http.StatusServiceUnavailable
	}, "a process without a catalog answers")
	node.process.Signal(t, syscall.SIGTERM)
	for {
		status, err := c.call(time.Second)
		if errors.Is(err, errNotAccepted) {
			break
		}
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status)
	}
	require.Zero(t, node.process.ExitCode(t), node.process.Log.Tail())
}

// TestBookingIsLostWhileAStopIsFrozen freezes a process at several steps of its stop. A booking that was passed on must be
// answered, and whoever was accepted before the freeze ended.
func TestBookingIsLostWhileAStopIsFrozen(t *testing.T) {
	const (
		callers = 8
		frozen  = 500 * time.Millisecond
		idle    = 40 * time.Millisecond
	)
	for _, at := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond, 2700 * time.Millisecond, 4700 * time.Millisecond} {
		t.Run(at.String(), func(t *testing.T) {
			t.Parallel()
			f := newRelayFleet(t, 1)
			f.runTime.Store(int64(5 * time.Millisecond))
			node := f.nodes[0]
			var outcomes tally
			var running sync.WaitGroup
			for i := range callers {
				running.Go(func() {
					c := &persistentCaller{address: node.callerAddress, path: "/book/x"}
					defer c.close()
					for {
						status, err := c.call(2 * time.Second)
						f.mu.Lock()
						runs := f.bookingRuns[c.requestID]
						f.mu.Unlock()
						switch {
						case errors.Is(err, errNotAccepted):
							return
						case err != nil:
							outcomes.add(fmt.Sprintf("cut, run %d times: %s", runs, strings.ReplaceAll(err.Error(), node.callerAddress, "gateway")))
						case (status == http.StatusOK) != (runs == 1):
							outcomes.add(fmt.Sprintf("%s, run %d times", http.StatusText(status), runs))
						default:
							outcomes.add(http.StatusText(status))
						}
						time.Sleep(idle * time.Duration(i) / callers)
					}
				})
			}
			time.Sleep(200 * time.Millisecond)
			node.process.Signal(t, syscall.SIGTERM)
			time.Sleep(at)
			node.process.Signal(t, syscall.SIGSTOP)
			time.Sleep(frozen)
			node.process.Signal(t, syscall.SIGCONT)
			code := node.process.ExitCode(t)
			running.Wait()
			t.Logf("exit status %d, %v", code, outcomes.counts)
			for outcome := range outcomes.counts {
				require.Contains(t, []string{http.StatusText(http.StatusOK), http.StatusText(http.StatusServiceUnavailable)}, outcome, "%v", outcomes.counts)
			}
			require.Zero(t, code, node.process.Log.Tail())
		})
	}
}

// TestStopWithoutPortEndsWithExitStatus1 stops a process that still waits for its port for callers.
func TestStopWithoutPortEndsWithExitStatus1(t *testing.T) {
	f, node := newStoppedRelay(t)
	taken, err := net.Listen("tcp", node.callerAddress)
	require.NoError(t, err)
	defer taken.Close()
	f.startNode(node)
	ragworttest.Eventually(t, func() bool { return strings.Contains(node.process.Log.String(), "event=listen_failed") }, "the port is taken")
	time.Sleep(200 * time.Millisecond)
	node.process.Signal(t, syscall.SIGTERM)
	require.Zero(t, node.process.ExitCode(t), node.process.Log.Tail())
}
