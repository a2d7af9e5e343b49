package process

// This file tests which connections of callers are closed when they take all the memory for them.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/memory"
)

// TestLeastNeeded checks the order in which connections are closed.
func TestLeastNeeded(t *testing.T) {
	now := time.Now()
	ago := func(p connPhase, d time.Duration) connState { return connState{p, now.Add(-d)} }
	for name, tc := range map[string]struct {
		states []connState
		period time.Duration
		want   int // -1: none
	}{
		"none":                       {nil, 0, -1},
		"serving":                    {[]connState{ago(phaseServing, time.Hour)}, 0, -1},
		"waiting before idle":        {[]connState{ago(phaseIdle, time.Hour), ago(phaseWaiting, time.Second)}, 0, 1},
		"longest waiting":            {[]connState{ago(phaseWaiting, 1), ago(phaseWaiting, 3), ago(phaseWaiting, 2)}, 0, 1},
		"longest idle":               {[]connState{ago(phaseIdle, 2), ago(phaseServing, 9), ago(phaseIdle, 3)}, 0, 2},
		"not long enough":            {[]connState{ago(phaseWaiting, time.Second-1), ago(phaseIdle, 1)}, time.Second, -1},
		"idle long enough":           {[]connState{ago(phaseWaiting, 1), ago(phaseIdle, time.Second)}, time.Second, 1},
		"waiting for just as long":   {[]connState{ago(phaseWaiting, time.Second), ago(phaseIdle, time.Hour)}, time.Second, 0},
		"slow head as silent":        {[]connState{ago(phaseWaiting, 2), ago(phaseHead, 3), ago(phaseIdle, 4)}, 0, 1},
		"a clock that is set behind": {[]connState{ago(phaseWaiting, -time.Hour)}, 0, -1},
	} {
		t.Run(name, func(t *testing.T) {
			i, found := leastNeeded(slices.All(tc.states), closable(now, tc.period))
			if tc.want < 0 {
				require.False(t, found)
				return
			}
			require.True(t, found)
			require.Equal(t, tc.want, i)
		})
	}
}

// newSmallServer returns the address of a server that has memory for a number of connections.
func newSmallServer(t *testing.T, conns int) (address string, c *Conns) {
	return newSmallServerOf(t, conns, false)
}

// newSmallServerOf is newSmallServer of a server that speaks HTTP/2 or does not.
func newSmallServerOf(t *testing.T, conns int, multiplexes bool) (address string, c *Conns) {
	budgets := memory.NewBudgets(0)
	budgets.Connections = memory.NewBudget(int64((float64(conns) + 1) * connBytes / (1 - headReserve))) // a holder may have as much as is free
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "served") }))
	if multiplexes {
		server.Config.Protocols = NewHTTPServer(nil).Protocols
	}
	c = NewConns(ConnsConfig{IdleTimeout: noIdleTimeout, Memory: budgets.Connections, Registry: metrics.NewRegistry(), Logger: log.NewNopLogger()}, server.Config, server.Listener)
	server.Listener = c
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), c
}

// dialCaller opens a connection and writes to it.
func dialCaller(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// requireServed reads an answer from a connection.
func requireServed(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(minHeadTime)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "served", string(body))
}

const callerRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestSilentCallersMakeRoom has more callers connect than there is memory for: those that send nothing are
// closed for others, and one that was served before is not.
func TestSilentCallersMakeRoom(t *testing.T) {
	address, c := newSmallServer(t, 8)
	kept := dialCaller(t, address, callerRequest)
	requireServed(t, kept)
	for range 30 {
		dialCaller(t, address, "")
	}
	for range 3 {
		requireServed(t, dialCaller(t, address, callerRequest))
	}
	_, err := io.WriteString(kept, callerRequest)
	require.NoError(t, err)
	requireServed(t, kept)
	require.LessOrEqual(t, c.memory.Used(), int64(8*connBytes))
	// One that has just come counts until there is room for it or it is turned away.
	require.Eventually(t, func() bool { return c.Len() <= 8 }, 20*time.Second, time.Millisecond)
}

// TestHeadsWithoutEndMakeRoom has callers send large heads without their end: they are closed, and one that
// sends a whole head of that size is served.
func TestHeadsWithoutEndMakeRoom(t *testing.T) {
	address, c := newSmallServer(t, 64)
	head := "GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 24<<10)
	for range 20 {
		dialCaller(t, address, head)
	}
	late := func() bool {
		for _, conn := range c.all() {
			if s := conn.state(); s.phase != phaseHead || time.Since(s.since) < minHeadTime {
				return false
			}
		}
		return c.Len() > 0
	}
	require.Eventually(t, late, 20*time.Second, time.Millisecond)
	require.Less(t, c.Len(), 20, "heads beyond the memory for connections are kept")
	requireServed(t, dialCaller(t, address, head+"\r\n\r\n"))
	require.Less(t, c.Len(), 20, "heads beyond the memory for connections are kept")
}

// TestHeadThatBecomesLateMakesRoom has a head come while another one takes all the memory and is not late yet, but will be while the
// new one waits.
func TestHeadThatBecomesLateMakesRoom(t *testing.T) {
	const cost = 24 << 10
	conns := &Conns{conns: make(map[*trackedConn]struct{}), registry: metrics.NewRegistry(), logger: log.NewNopLogger()}
	budget := memory.NewBudget(2 * cost) // a holder may have as much as is free
	add := func(begun time.Time) *trackedConn {
		ours, theirs := net.Pipe()
		t.Cleanup(func() { theirs.Close() })
		c := &trackedConn{Conn: ours, conns: conns, share: budget.Share("c"), headShare: budget.Share(memory.Holder(begun.String())), begunAt: begun}
		conns.track(c)
		return c
	}
	now := time.Now()
	first, second := add(now.Add(maxHeadWait/2-minHeadTime)), add(now)
	part := make([]byte, cost/headByteFactor)
	require.True(t, first.growHead(part))
	require.True(t, second.growHead(part))
	require.Equal(t, phaseServing, first.state().phase, "the late one is closed")
}

// TestConnectionsGiveMemoryBack opens and closes connections in several states: all memory comes back.
func TestConnectionsGiveMemoryBack(t *testing.T) {
	address, c := newSmallServer(t, 64)
	for i := range 20 {
		dialCaller(t, address, "").Close()
		dialCaller(t, address, fmt.Sprintf("GET /%d HTTP/1.1\r\nA: %s", i, strings.Repeat("x", 8<<10))).Close()
		served := dialCaller(t, address, callerRequest)
		requireServed(t, served)
		served.Close()
	}
	require.Eventually(t, func() bool { return c.Len() == 0 && c.memory.Used() == 0 }, 20*time.Second, time.Millisecond)
}

// TestRequestOfClosedConnectionIsNotPassedOn guards against a request being passed on whose connection was
// closed as its head became complete: its caller would get no answer to it.
func TestRequestOfClosedConnectionIsNotPassedOn(t *testing.T) {
	budget := memory.NewBudgets(0).Connections
	ours, theirs := net.Pipe()
	defer theirs.Close()
	c := &trackedConn{Conn: ours, conns: new(Conns), share: budget.Share("c"), headShare: budget.Share("c"), begunAt: time.Now()}
	require.True(t, c.closeForRoom())
	c.endHead()
	r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, c))
	require.PanicsWithError(t, http.ErrAbortHandler.Error(), func() { abortRefused(http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), r) })
}

// TestServingConnectionIsNotClosed guards against a connection being closed for others on which a request is
// being served.
func TestServingConnectionIsNotClosed(t *testing.T) {
	budget := memory.NewBudget(1 << 20)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	defer ours.Close()
	c := &trackedConn{Conn: ours, conns: new(Conns), share: budget.Share("c"), headShare: budget.Share("c"), begunAt: time.Now()}
	c.endHead()
	require.False(t, c.closeForRoom())
	c.endRequest(time.Now(), 0)
	require.True(t, c.closeForRoom())
}

// TestShortFieldsTakeMemory guards against heads of very many short fields that take many times their bytes: each
// field of a head that is read is counted, before it is parsed.
func TestShortFieldsTakeMemory(t *testing.T) {
	const fields, leastFieldBytes = 500, 100
	address, c := newSmallServer(t, 100)
	dialCaller(t, address, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", fields))
	require.Eventually(t, func() bool { return c.memory.Used() > fields*leastFieldBytes }, 5*time.Second, time.Millisecond)
	small, _ := newSmallServer(t, 1)
	conn := dialCaller(t, small, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", fields))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err, "closed: there is no memory for it")
}

// TestOrdinaryHeadTakesNoMemory guards against heads that callers send being counted one by one.
func TestOrdinaryHeadTakesNoMemory(t *testing.T) {
	head := "POST /v1/x HTTP/1.1\r\n" + strings.Repeat("X-Some-Field: "+strings.Repeat("v", 60)+"\r\n", 20) + "\r\n"
	require.LessOrEqual(t, headCost([]byte(head)), int64(freeHeadCost))
}

// TestFramesAreNoHead guards against a connection of HTTP/2 being closed for others as one that keeps its head back: its peer
// sends frames, such as pings, while no request is being served.
func TestFramesAreNoHead(t *testing.T) {
	budget := memory.NewBudget(1 << 20)
	ours, theirs := net.Pipe()
	defer theirs.Close()
	defer ours.Close()
	now := time.Now()
	c := &trackedConn{Conn: ours, conns: new(Conns), share: budget.Share("c"), headShare: budget.Share("c"), idleSince: now, prefaceLeft: http2Preface}
	read := func(text string) {
		go func() { _, _ = io.WriteString(theirs, text) }()
		_, err := io.ReadFull(c, make([]byte, len(text)))
		require.NoError(t, err)
	}
	read("PRI * HTTP")
	require.Equal(t, phaseWaiting, c.state().phase)
	read("/2.0\r\n\r\nSM\r\n\r\n")
	require.Equal(t, phaseIdle, c.state().phase)
	c.beginRequest()
	c.endHead()
	require.Equal(t, phaseServing, c.state().phase)
	c.endRequest(now, 0)
	read("\x00\x00\x08\x06\x00\x00\x00\x00\x00\n\n\n\n\n\n\n\n") // a ping
	state := c.state()
	require.Equal(t, phaseIdle, state.phase)
	require.True(t, state.since.After(now), "what was just read may begin a request")
	require.Zero(t, c.headCost)
}

// TestHeadsLeaveRoomForConnections guards against heads that are kept, by requests whose bodies never end, taking the memory
// that new connections need.
func TestHeadsLeaveRoomForConnections(t *testing.T) {
	address, c := newSmallServer(t, 100)
	for range 60 {
		dialCaller(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"+strings.Repeat("a:\r\n", 200)+"\r\n")
	}
	time.Sleep(2 * maxHeadWait) // heads that there is no memory for were closed
	require.Positive(t, c.States().Serving)
	conn := dialCaller(t, address, callerRequest)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}

// newBodyServer returns the address of a server whose handler reads bodies, and calls served for each that is whole.
func newBodyServer(t *testing.T, maxOpen int, served func()) (address string, c *Conns) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end := AwaitBody(r.Context(), time.Now())
		if _, err := io.Copy(io.Discard, r.Body); !end() || err != nil {
			return
		}
		served()
		_, _ = io.WriteString(w, "served")
	}))
	c = NewConns(ConnsConfig{IdleTimeout: noIdleTimeout, Memory: memory.NewBudgets(0).Connections, MaxOpen: maxOpen, Registry: metrics.NewRegistry(), Logger: log.NewNopLogger()}, server.Config, server.Listener)
	server.Listener = c
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), c
}

const unfinishedBody = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 10\r\n\r\nfirst"

// TestUnfinishedBodiesMakeRoom has more callers than there are descriptors for keep their bodies back, as they may for the whole
// time of their requests: another one is served.
func TestUnfinishedBodiesMakeRoom(t *testing.T) {
	address, c := newBodyServer(t, 8, func() {})
	for range 30 {
		dialCaller(t, address, unfinishedBody)
	}
	conn := dialCaller(t, address, callerRequest)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.LessOrEqual(t, c.Len(), 9)
}

// TestClosedBodyIsNotServed completes bodies while their connections are closed for others: a request is served only if its
// caller gets the answer.
func TestClosedBodyIsNotServed(t *testing.T) {
	const tries = 100
	var served atomic.Int64
	address, c := newBodyServer(t, 0, func() { served.Add(1) })
	closings := 0
	for i := range tries {
		before := served.Load()
		conn := dialCaller(t, address, unfinishedBody)
		require.Eventually(t, func() bool { return len(c.all()) == 1 && c.all()[0].state().phase == phaseBody }, 5*time.Second, time.Millisecond)
		closed := make(chan bool, 1)
		tracked := c.all()[0]
		if i == 0 {
			closed <- tracked.closeForRoom()
		} else {
			go func() { closed <- tracked.closeForRoom() }()
		}
		_, _ = io.WriteString(conn, "after") // fails if the connection is closed
		answer, _ := io.ReadAll(conn)        // the same
		wasClosed := <-closed
		if wasClosed {
			closings++
		}
		require.NoError(t, conn.Close())
		require.Eventually(t, func() bool { return c.Len() == 0 }, 5*time.Second, time.Millisecond)
		if served.Load() == before {
			require.True(t, wasClosed)
		} else {
			require.Contains(t, string(answer), "served")
		}
	}
	require.Positive(t, closings)
}

// TestBodyThatComesIsKept checks from when on a connection may be closed for others whose body is slow.
func TestBodyThatComesIsKept(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		bytes  int64
		readAt time.Duration
		after  time.Duration
		want   bool
	}{
		"just begun":    {0, 0, minHeadTime - 1, false},
		"nothing comes": {0, 0, minHeadTime, true},
		"fast":          {4 << 20, 10 * time.Second, 10 * time.Second, false},
		"stops":         {4 << 20, 9 * time.Second, 10 * time.Second, true},
		"slow":          {minBodyRate / 4, 2 * time.Second, 2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := &trackedConn{serving: true, served: true, body: &bodyArrival{began: now, bytes: tc.bytes, readAt: now.Add(tc.readAt)}}
			require.Equal(t, tc.want, stalled(now.Add(tc.after))(c.state()))
			require.Equal(t, tc.want, closable(now.Add(tc.after), 0)(c.state()))
		})
	}
}

// TestUploadIsKeptBesideIdle has a caller come while a body is arriving fast and another connection is idle, and there
// are descriptors for these two only: the idle connection is closed for it.
func TestUploadIsKeptBesideIdle(t *testing.T) {
	const pieces, pieceBytes, piecePause = 100, 10_000, 20 * time.Millisecond
	address, _ := newBodyServer(t, 2, func() {})
	requireServed(t, dialCaller(t, address, callerRequest))
	time.Sleep(minHeadTime)
	upload := dialCaller(t, address, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", pieces*pieceBytes))
	sent := make(chan error, 1)
	go func() {
		for range pieces {
			if _, err := upload.Write(make([]byte, pieceBytes)); err != nil {
				sent <- err
				return
			}
			time.Sleep(piecePause)
		}
		sent <- nil
	}()
	time.Sleep(10 * piecePause)
	requireServed(t, dialCaller(t, address, callerRequest))
	require.NoError(t, <-sent)
	requireServed(t, upload)
}

// TestSlowReaderIsKept checks that a connection whose answer is being written is closed for others only if its caller has not read
// for long, and no other is left.
func TestSlowReaderIsKept(t *testing.T) {
	now := time.Now()
	c := &trackedConn{serving: true, served: true, unreadSince: now}
	require.False(t, unread(now.Add(minUnreadTime-1))(c.state()))
	require.True(t, unread(now.Add(minUnreadTime))(c.state()))
	require.False(t, closable(now.Add(time.Hour), 0)(c.state()))
	require.False(t, stalled(now.Add(time.Hour))(c.state()))
	c.multiplexed = true
	require.False(t, unread(now.Add(time.Hour))(c.state()))
}
