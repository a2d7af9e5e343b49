package process

// This file tests bodies whose requests were answered before they had arrived.

import (
	"bufio"
	"context"
	"fmt"
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

// newRefusingServer is newBodyServer, but answers requests for /refused at once and reads their bodies without keeping them. The channel
// receives the error of each.
func newRefusingServer(t *testing.T, maxOpen int) (address string, discarded <-chan error) {
	return newRefusingServerOf(t, maxOpen, memory.NewBudgets(0).Connections)
}

// newRefusingServerOf is newRefusingServer with memory for connections.
func newRefusingServerOf(t *testing.T, maxOpen int, budget *memory.Budget) (address string, discarded <-chan error) {
	errs := make(chan error, 10)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		if r.URL.Path != "/refused" {
			end := AwaitBody(r.Context(), time.Now())
			if _, err := io.Copy(io.Discard, r.Body); end() && err == nil {
				_, _ = io.WriteString(w, "served")
			}
			return
		}
		w.Header().Set("Content-Length", "0")
		if err := controller.EnableFullDuplex(); err != nil {
			errs <- err
			return
		}
		if err := controller.Flush(); err != nil {
			errs <- err
			return
		}
		if err := DiscardBody(r, 1<<30, controller.SetReadDeadline); err != nil {
			errs <- err
			panic(http.ErrAbortHandler)
		}
		errs <- controller.SetReadDeadline(time.Time{})
	}))
	c := NewConns(ConnsConfig{IdleTimeout: noIdleTimeout, Memory: budget, MaxOpen: maxOpen, Registry: metrics.NewRegistry(), Logger: log.NewNopLogger()}, server.Config, server.Listener)
	server.Listener = c
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), errs
}

// startUpload sends a body to a path at a good rate, and returns a function that waits until it is sent or cannot be.
func startUpload(t *testing.T, address, path string, duration time.Duration) (in *bufio.Reader, wait func() error) {
	const pieceBytes, pause = 32 << 10, 20 * time.Millisecond
	pieces := int(duration / pause)
	conn := dialCaller(t, address, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, pieces*pieceBytes))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	sent := make(chan error, 1)
	go func() {
		for range pieces {
			if _, err := conn.Write(make([]byte, pieceBytes)); err != nil {
				sent <- err
				return
			}
			time.Sleep(pause)
		}
		sent <- nil
	}()
	return bufio.NewReader(conn), func() error { return <-sent }
}

func requireAnswer(t *testing.T, in *bufio.Reader, want string) {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, want, string(body))
}

// TestRestOfBodyMakesRoom has a caller come while two bodies are arriving fast, one of which belongs to a request that was answered, and
// there are descriptors for these two only: that one is closed for it, and the other is read.
func TestRestOfBodyMakesRoom(t *testing.T) {
	address, discarded := newRefusingServer(t, 2)
	refused, _ := startUpload(t, address, "/refused", time.Minute)
	requireAnswer(t, refused, "")
	upload, sent := startUpload(t, address, "/", 2*time.Second)
	caller := dialCaller(t, address, callerRequest)
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(20*time.Second)))
	requireAnswer(t, bufio.NewReader(caller), "served")
	var unread *UnreadError
	require.ErrorAs(t, <-discarded, &unread)
	require.NoError(t, sent())
	requireAnswer(t, upload, "served")
}

// TestRestOfBodyIsRead sends a body whose request was answered at once, for a while and at a good rate: it is read to its end.
func TestRestOfBodyIsRead(t *testing.T) {
	address, discarded := newRefusingServer(t, 0)
	refused, sent := startUpload(t, address, "/refused", 3*time.Second)
	require.NoError(t, sent())
	requireAnswer(t, refused, "")
	require.NoError(t, <-discarded)
}

// TestHeadsOfAnsweredTakeNoMemory guards against heads that are kept, but not counted, while the bodies of requests that were answered
// are awaited.
func TestHeadsOfAnsweredTakeNoMemory(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
	r.Header.Set("Long", strings.Repeat("x", 10<<10))
	budget := memory.NewBudget(5 * RequestHeadCost(r) / 2) // a holder may have as much as is free
	discard := func() error {
		c := &trackedConn{serving: true, headShare: budget.Share("caller")}
		return DiscardBody(r.WithContext(context.WithValue(r.Context(), connKey{}, c)), 100, func(time.Time) error { return nil })
	}
	require.NoError(t, discard())
	require.GreaterOrEqual(t, budget.Used(), RequestHeadCost(r))
	require.ErrorIs(t, discard(), memory.ErrFull)
}

// TestHeadsOfAnsweredMakeRoom guards against callers whose bodies arrive just fast enough, and whose requests were answered, keeping the
// memory for heads from others.
func TestHeadsOfAnsweredMakeRoom(t *testing.T) {
	field := strings.Repeat("x", 10<<10)
	head := headCost([]byte(field))
	address, discarded := newRefusingServerOf(t, 0, memory.NewBudget(int64(float64(5*head/2+2*connBytes)/(1-connReserve)))) // for one head
	refused, _ := startUpload(t, address, "/refused HTTP/1.1\r\nLong: "+field+"\r\nOdd:", time.Minute)
	requireAnswer(t, refused, "")
	caller := dialCaller(t, address, "GET / HTTP/1.1\r\nHost: h\r\nLong: "+field+"\r\n\r\n")
	require.NoError(t, caller.SetReadDeadline(time.Now().Add(20*time.Second)))
	requireAnswer(t, bufio.NewReader(caller), "served")
	var unread *UnreadError
	require.ErrorAs(t, <-discarded, &unread)
}
