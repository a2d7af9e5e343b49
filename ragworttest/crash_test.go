package ragworttest_test

// This file tests that requests under which engines crash do not crash one engine after the
// other, with real relay processes.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	crashContact   = 3 * time.Second // within which gateways must agree on what crashes engines
	crashAllowance = 3               // requests with a crashing part that may reach engines later
	crashRestart   = time.Second     // time out of service after a crash
	crashWork      = 30 * time.Millisecond
	badPart        = "bad0"
)

// crashFleet is a relayFleet with engines that crash when they begin to answer a request with
// badPart.
type crashFleet struct {
	*relayFleet
	engines sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	arrived []time.Time     // of requests with badPart
	begun   map[string]bool // sound requests
	stopped bool
}

// newCrashFleet starts relay processes and engines.
func newCrashFleet(t *testing.T, relays, engines int) *crashFleet {
	f := &crashFleet{relayFleet: newRelayFleet(t, relays), begun: make(map[string]bool)}
	f.store.DeleteListing("i-1")
	f.store.DeleteListing("i-2")
	for n := range engines {
		f.startEngine(fmt.Sprintf("engine-%d", n), 0)
	}
	t.Cleanup(func() {
		f.mu.Lock()
		f.stopped = true
		f.mu.Unlock()
		f.engines.Wait()
	})
	time.Sleep(2 * time.Second) // until all relays have read the listings
	return f
}

// startEngine starts and lists an engine, which starts again under another id after a crash.
func (f *crashFleet) startEngine(name string, start int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	upstream := id.Upstream(fmt.Sprintf("%s-%d", name, start))
	var server *http.Server
	crash := sync.OnceFunc(func() {
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.mu.Unlock()
		server.Close()
		f.engines.Go(func() {
			time.Sleep(crashRestart)
			f.mu.Lock()
			defer f.mu.Unlock()
			if !f.stopped {
				f.store.DeleteListing(upstream)
				f.startEngine(name, start+1)
			}
		})
	})
	server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rq := standin.ParseReplicaRequest(r.Header)
		parts := standin.PromptParts(r.Header)
		bad := false
		for _, part := range parts[:max(0, len(parts)-1)] {
			bad = bad || part == badPart
		}
		f.mu.Lock()
		if bad {
			f.arrived = append(f.arrived, time.Now())
		}
		f.mu.Unlock()
		standin.SignResponse(w.Header(), rq.Request)
		_ = http.NewResponseController(w).Flush()
		for n := 1; n <= 4; n++ {
			select {
			case <-time.After(crashWork):
			case <-r.Context().Done():
				return
			}
			if bad {
				crash()
				return
			}
			f.mu.Lock()
			f.begun[string(rq.Request)] = true
			f.mu.Unlock()
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n) // the relay notices a broken connection itself
			_ = http.NewResponseController(w).Flush()
		}
	})}
	go func() { _ = server.Serve(listener) }() // ends with the crash
	f.t.Cleanup(func() { server.Close() })
	require.NoError(f.t, f.store.PutListing(pool.Listing{
		ID: upstream, Service: "desk", Address: listener.Addr().String(), DataCentre: "th-a", Slots: 64, StartUnixMS: int64(start + 1),
	}))
}

// sendPrompt sends a request with the given parts in its prompt to a random relay, which may be
// down, and returns its id.
func (f *crashFleet) sendPrompt(client *http.Client, parts ...string) string {
	requestID := string(newRequestID())
	rq, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[rand.IntN(len(f.nodes))].callerAddress+"/resume/x", strings.NewReader("p"))
	require.NoError(f.t, err)
	rq.Host = "desk.example"
	standin.SetRequestHeaders(rq.Header, id.Request(requestID), "key-1", 2*time.Second)
	standin.SetPrompt(rq.Header, "m", append(parts, requestID)...)
	rs, err := client.Do(rq)
	if err != nil {
		return requestID
	}
	defer rs.Body.Close()
	_, _ = io.Copy(io.Discard, rs.Body) // streams that are cut midway count as begun
	return requestID
}

// load sends sound and bad requests at random intervals until the returned function is called.
// It returns the ids of the sound ones in the order of their start.
func (f *crashFleet) load() (stop func() (sound []string)) {
	done := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	var sound []string
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 3 * time.Second}
	repeat := func(mean time.Duration, send func()) {
		callers.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() * float64(mean))):
					callers.Go(send)
				}
			}
		})
	}
	repeat(15*time.Millisecond, func() {
		requestID := f.sendPrompt(client, "system", fmt.Sprintf("doc-%d", rand.IntN(40)))
		mu.Lock()
		sound = append(sound, requestID)
		mu.Unlock()
	})
	repeat(100*time.Millisecond, func() {
		f.sendPrompt(client, "system", badPart, fmt.Sprintf("doc-%d", rand.IntN(40)))
	})
	return func() []string {
		close(done)
		callers.Wait()
		return sound
	}
}

// requireHeldBack fails unless, from crashContact after the fifth crash on, hardly any request with
// the bad part has reached an engine.
func (f *crashFleet) requireHeldBack() {
	f.mu.Lock()
	defer f.mu.Unlock()
	require.GreaterOrEqual(f.t, len(f.crashes), 1)
	late := 0
	if len(f.crashes) >= 5 {
		for _, at := range f.arrived {
			if at.After(f.crashes[4].Add(crashContact)) {
				late++
			}
		}
	}
	f.t.Logf("%d crashes, %d requests with the bad part reached engines, %d of them late", len(f.crashes), len(f.arrived), late)
	require.LessOrEqual(f.t, late, crashAllowance)
}

// TestCrashingPartIsHeldBackByAllGateways guards against requests with one part in their prompts
// that crash engine after engine, and against sound ones being held back with them.
func TestCrashingPartIsHeldBackByAllGateways(t *testing.T) {
	f := newCrashFleet(t, 4, 12)
	stop := f.load()
	time.Sleep(9 * time.Second)
	sound := stop()
	f.requireHeldBack()
	f.mu.Lock()
	defer f.mu.Unlock()
	late := sound[len(sound)/2:]
	begun := 0
	for _, requestID := range late {
		if f.begun[requestID] {
			begun++
		}
	}
	t.Logf("%d of %d sound requests of the second half began", begun, len(late))
	require.Greater(t, begun, len(late)*95/100)
}

// TestCrashingPartIsHeldBackAfterKill guards against a fleet that is killed as a whole and lets the
// same part crash engines anew.
func TestCrashingPartIsHeldBackAfterKill(t *testing.T) {
	f := newCrashFleet(t, 3, 10)
	stop := f.load()
	time.Sleep(5 * time.Second)
	for _, r := range f.nodes {
		r.process.Signal(t, syscall.SIGKILL)
	}
	for _, r := range f.nodes {
		r.process.WaitExit(t)
		f.startNode(r)
	}
	for _, r := range f.nodes {
		f.waitReady(r)
	}
	time.Sleep(5 * time.Second)
	stop()
	f.requireHeldBack()
}
