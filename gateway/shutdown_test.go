package gateway

import (
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/ragwortpass/ragwortpass/catalog"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/clock/clocktest"
)

// TestFarDeadlineExceedsShutdown has a caller wait for longer than nanoseconds since 1970 can count.
func TestFarDeadlineExceedsShutdown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	g := &Gateway{bodies: newBodyReads()}
	require.False(t, g.exceedsShutdown(now.Add(math.MaxInt64)))
	g.SetShutdownDeadline(now.Add(time.Second))
	require.False(t, g.exceedsShutdown(now.Add(time.Second)))
	require.True(t, g.exceedsShutdown(now.Add(2*time.Second)))
	require.True(t, g.exceedsShutdown(now.Add(math.MaxInt64)))
}

// TestClockStepDuringShutdown steps the system time while a gateway shuts down: requests that outlast
// the process must not be taken, nor others refused.
func TestClockStepDuringShutdown(t *testing.T) {
	const left = 4 * time.Second
	for name, step := range map[string]time.Duration{"back": -3 * time.Second, "none": 0, "ahead": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{bodies: newBodyReads()}
			started := time.Now()
			g.BeginShutdown(started)
			g.SetShutdownDeadline(started.Add(left))
			now := clocktest.Step(started, step)
			require.False(t, g.exceedsShutdown(now.Add(left-time.Second)))
			require.True(t, g.exceedsShutdown(now.Add(left+time.Second)))
			require.Zero(t, now.Sub(g.ShutdownStarted()))
		})
	}
}

// TestClockStepAfterActivity steps the system time after a request: a gateway that shuts down must not
// end at once, as the next request may be on its way, nor wait for longer.
func TestClockStepAfterActivity(t *testing.T) {
	for name, step := range map[string]time.Duration{"back": -time.Minute, "ahead": time.Minute} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{bodies: newBodyReads()}
			handler := g.trackActivity(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
			now := clocktest.Step(time.Now(), step)
			require.False(t, g.Idle(now, 10*time.Second))
			require.True(t, g.Idle(now.Add(10*time.Second), 10*time.Second))
		})
	}
}

// TestSuspensionDuringShutdown suspends the VM of a process that shuts down: the process must end before the
// platform kills it, and take no requests that outlast it.
func TestSuspensionDuringShutdown(t *testing.T) {
	const (
		grace      = 5 * time.Second
		suspension = time.Minute
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g := &Gateway{bodies: newBodyReads(), deps: Deps{Catalog: new(catalog.Latest)}}
	g.inFlight.Add(1) // a request that outlasts the process
	var suspended atomic.Int64
	began := time.Now()
	p := &Program{
		settings: &Settings{Bounds: Bounds{GraceS: grace.Seconds()}}, gateway: g, logger: log.NewNopLogger(),
		callers: g.TrackCallers(&http.Server{}, listener),
		bootNow: func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) },
	}
	time.AfterFunc(shutdownAcceptPeriod+200*time.Millisecond, func() { suspended.Store(int64(suspension)) })
	require.NoError(t, p.shutDown(syscall.SIGTERM))
	require.Less(t, time.Since(began), grace-shutdownMargin)
	require.True(t, g.exceedsShutdown(time.Now().Add(time.Millisecond)))
}
