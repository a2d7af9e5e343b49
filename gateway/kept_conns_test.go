package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/pool"
)

// TestIdleTimeFollowsUpstream guards against connections that are closed long before the upstream would close
// them, so that requests some seconds apart need new ones, and against those that are used as it closes them.
func TestIdleTimeFollowsUpstream(t *testing.T) {
	for stated, want := range map[string]time.Duration{
		"timeout=10":            9 * time.Second,
		"timeout=5, max=100":    4 * time.Second,
		"max=100, Timeout=30":   29 * time.Second,
		`timeout="7"`:           6 * time.Second,
		"timeout=2":             time.Second,
		"timeout=1":             time.Second / 2,
		"timeout=0":             0,
		"timeout=3600":          maxIdleTime,
		"timeout=99999999999":   defaultIdleTime,
		"timeout=-1":            defaultIdleTime,
		"timeout=soon":          defaultIdleTime,
		"timeout":               defaultIdleTime,
		"":                      defaultIdleTime,
		"max=5":                 defaultIdleTime,
		"timeout=x, timeout=20": 19 * time.Second,
	} {
		require.Equal(t, want, idleTime(http.Header{"Keep-Alive": {stated}}), stated)
	}
	require.Equal(t, defaultIdleTime, idleTime(http.Header{}))
}

// TestIdleConnectionIsClosedBeforeUpstreamCloses plays an upstream that states a time: the connection serves a request
// that comes shortly before, and is closed before the upstream would close it.
func TestIdleConnectionIsClosedBeforeUpstreamCloses(t *testing.T) {
	for _, tc := range []struct {
		stated string
		pause  time.Duration // between two requests
		reused bool
	}{
		{"Keep-Alive: timeout=10\r\n", 8900 * time.Millisecond, true},
		{"Keep-Alive: timeout=10\r\n", 9100 * time.Millisecond, false},
		{"Keep-Alive: timeout=2\r\n", 1100 * time.Millisecond, false},
		{"", 3900 * time.Millisecond, true},
		{"", 4100 * time.Millisecond, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			ours, theirs := net.Pipe()
			registry := metrics.NewRegistry()
			client := NewUpstreamClient(idCodec{}, memory.NewBudgets(0), registry, log.NewNopLogger())
			client.keep(newUpstreamConn(ours, upstreamStart{upstream: "i-1"}, client.connections.Share("i-1")))
			go func() {
				defer theirs.Close()
				in := bufio.NewReader(theirs)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					_, _ = fmt.Fprintf(theirs, "HTTP/1.1 200 OK\r\nId: rq\r\n%sContent-Length: 0\r\n\r\n", tc.stated)
				}
			}()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			send := func() error {
				rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://desk.example/x", http.NoBody)
				require.NoError(t, err)
				resp, err := client.do(rq, "rq", &pool.Listing{ID: "i-1"}, false, idCodec{})
				if err != nil {
					return err
				}
				return resp.Body.Close()
			}
			require.NoError(t, send())
			time.Sleep(tc.pause)
			synctest.Wait()
			closed := metrics.GetOrRegisterCounter("upstream_closed_idle", registry)
			if tc.reused {
				require.NoError(t, send(), tc.stated)
				require.Zero(t, closed.Count())
				ours.Close()
				synctest.Wait()
				return
			}
			require.EqualValues(t, 1, closed.Count(), tc.stated)
			_, err := theirs.Read(make([]byte, 1))
			require.Error(t, err)
		})
	}
}

// TestTrialConnectionIsKept has a connection that was opened to see whether an upstream is there be kept for as long as
// the upstream has stated on another one.
func TestTrialConnectionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := metrics.NewRegistry()
		client := NewUpstreamClient(idCodec{}, memory.NewBudgets(0), registry, log.NewNopLogger())
		l := &pool.Listing{ID: "i-1"}
		closed := metrics.GetOrRegisterCounter("upstream_closed_idle", registry)
		for _, stated := range []time.Duration{defaultIdleTime, 9 * time.Second} {
			first, _ := net.Pipe()
			conn := client.newConn(first, l)
			conn.idleTime = stated
			client.keep(conn)
			trial, _ := net.Pipe()
			client.Adopt(trial, l)
			before := closed.Count()
			time.Sleep(stated - time.Millisecond)
			synctest.Wait()
			require.Equal(t, before, closed.Count())
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
			require.Equal(t, before+2, closed.Count())
			require.Empty(t, client.open)
		}
	})
}

// TestKeptConnectionsFitTheUpstream has many gateways keep what a peak has opened, in turn: together they keep no
// more to an upstream than it accepts, and each keeps one.
func TestKeptConnectionsFitTheUpstream(t *testing.T) {
	for _, gateways := range []int{1, 3, 23, 100, 600} {
		for _, accepted := range []int{110, 460} {
			total := 0
			for range gateways {
				open := 50 // in the peak
				idle := 0
				for ; open > idle; open-- { // each request that ends keeps its connection or closes it
					for open > idle && mayKeep(idle, open, float64(accepted)/float64(gateways)) {
						idle++
					}
					if idle == open {
						break
					}
				}
				require.Positive(t, idle)
				total += idle
			}
			require.LessOrEqual(t, total, max(accepted, gateways), "%d gateways", gateways)
		}
	}
	require.True(t, mayKeep(maxIdleConnsPerUpstream-1, 100, 0), "the bound is not known")
	require.False(t, mayKeep(maxIdleConnsPerUpstream, 100, 0))
}

// TestPeakLeavesFewConnections has a peak of requests end at an upstream of which this gateway's part is known.
func TestPeakLeavesFewConnections(t *testing.T) {
	const peak = 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	release := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					<-release
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: rq\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	registry := metrics.NewRegistry()
	client := NewUpstreamClient(idCodec{}, memory.NewBudgets(0), registry, log.NewNopLogger())
	client.ShareConnections(func(id.Service) float64 { return 8 })
	ended := make(chan error, peak)
	for range peak {
		go func() {
			rq, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://desk.example/x", http.NoBody)
			if err != nil {
				ended <- err
				return
			}
			resp, err := client.do(rq, "rq", &pool.Listing{ID: "i-1", Address: l.Addr().String()}, false, idCodec{})
			if err == nil {
				err = resp.Body.Close()
			}
			ended <- err
		}()
	}
	require.Eventually(t, func() bool {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.open[upstreamStart{address: l.Addr().String(), upstream: "i-1"}] == peak
	}, 5*time.Second, time.Millisecond)
	close(release)
	for range peak {
		require.NoError(t, <-ended)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	start := upstreamStart{address: l.Addr().String(), upstream: "i-1"}
	require.Len(t, client.kept[start], 6) // three quarters
	require.Equal(t, 6, client.open[start])
	require.EqualValues(t, peak-6, metrics.GetOrRegisterCounter("upstream_closed_too_many", registry).Count())
}
