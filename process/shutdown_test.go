package process

// This file tests that a graceful shutdown answers every request of a connection that was accepted.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// callUntilRefused sends requests without a pause until connections are refused, on a connection of its own each or
// on one for as long as that is kept. It returns the first error of a connection that was accepted.
func callUntilRefused(address string, keeps bool) error {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", address); errors.Is(err, syscall.ECONNREFUSED) {
				conn = nil
				return nil
			} else if err != nil {
				return err
			}
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		if err = errors.Join(err, resp.Body.Close()); err != nil {
			return err
		}
		if resp.Close || !keeps {
			_ = conn.Close()
			conn = nil
		}
	}
}

// TestCallersWithoutPauseAreCutByShutdown guards against a shutdown that closes connections on which a request arrives,
// and those that were accepted and not yet read.
func TestCallersWithoutPauseAreCutByShutdown(t *testing.T) {
	const (
		shutdowns = 3
		callers   = 24
	)
	for name, keeps := range map[string]bool{"kept connections": true, "new connections": false} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			cuts := make(map[string]int)
			for range shutdowns {
				l, err := ListenTCP("127.0.0.1:0")
				require.NoError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				served := make(chan error, 1)
				go func() {
					served <- Serve(ctx, Server{
						Listener: l, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Millisecond) }),
						Ready: func() error { return nil }, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(), ShutdownDelay: 50 * time.Millisecond,
					})
				}()
				var running sync.WaitGroup
				for range callers {
					running.Go(func() {
						if err := callUntilRefused(l.Addr().String(), keeps); err != nil {
							mu.Lock()
							defer mu.Unlock()
							var syscallErr syscall.Errno
							if errors.As(err, &syscallErr) {
								err = syscallErr
							}
							cuts[err.Error()]++
						}
					})
				}
				time.Sleep(50 * time.Millisecond)
				cancel()
				running.Wait()
				require.NoError(t, <-served)
			}
			require.Empty(t, cuts, "of %d shutdowns with %d callers", shutdowns, callers)
		})
	}
}

// TestRequestOnItsWayIsCutByShutdown guards against a shutdown that closes a kept connection on which a request has arrived in
// part, or arrives just afterwards.
func TestRequestOnItsWayIsCutByShutdown(t *testing.T) {
	const head = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	for name, first := range map[string]int{"half": len(head) / 2, "none": 0} {
		t.Run(name, func(t *testing.T) {
			l, err := ListenTCP("127.0.0.1:0")
			require.NoError(t, err)
			conn := dialCaller(t, l.Addr().String(), "")
			in := bufio.NewReader(conn)
			answer := func() int {
				resp, err := http.ReadResponse(in, nil)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				return resp.StatusCode
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			left := make(chan struct{})
			served := make(chan error, 1)
			go func() {
				served <- Serve(ctx, Server{
					Listener: l, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Ready: func() error { return nil },
					Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(), OnShutdown: func() { close(left) },
				})
			}()
			_, err = io.WriteString(conn, head)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, answer())
			_, err = io.WriteString(conn, head[:first])
			require.NoError(t, err)
			cancel()
			<-left
			time.Sleep(unreadTimeout / 4)
			_, err = io.WriteString(conn, head[first:])
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, answer())
			require.NoError(t, <-served)
		})
	}
}

// TestSilentConnectionsHoldShutdown guards against a shutdown that waits for connections on which nothing comes.
func TestSilentConnectionsHoldShutdown(t *testing.T) {
	l, err := ListenTCP("127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	served := make(chan error, 1)
	go func() {
		served <- Serve(ctx, Server{
			Listener: l, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Ready: func() error { return nil },
			Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger(),
		})
	}()
	dialCaller(t, l.Addr().String(), "")
	kept := dialCaller(t, l.Addr().String(), callerRequest)
	_, err = kept.Read(make([]byte, 1))
	require.NoError(t, err)
	cancel()
	began := time.Now()
	require.NoError(t, <-served)
	require.Less(t, time.Since(began), 4*time.Second, "http.Server.Shutdown waits 5 s for a silent connection")
}
