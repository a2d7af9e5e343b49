package ragworttest_test

// This file tests what callers are told beside upstreams that repeat refusals, with a real relay
// process.

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	repeatingCallers = 16
	repeatingTime    = 4 * time.Second
	// stillInUse is the time at the end in which each upstream must still get requests.
	stillInUse       = time.Second
	thinkTime        = 2 * time.Millisecond
	maxRepeatingWork = 10 * time.Millisecond
)

// repeatingFleet is a relayFleet with upstreams that repeat refusals.
type repeatingFleet struct {
	*relayFleet

	mu          sync.Mutex
	treatments  map[id.Request][]ragworttest.Treatment // of each arrival of a request
	lastArrival map[id.Upstream]time.Time
	served      int                // callers that got the answer to their request
	statuses    map[id.Request]int // as callers saw them; zero: no response
}

func newRepeatingFleet(t *testing.T, upstreams ...id.Upstream) *repeatingFleet {
	f := &repeatingFleet{
		relayFleet: newRelayFleet(t, 1), treatments: make(map[id.Request][]ragworttest.Treatment), statuses: make(map[id.Request]int),
		lastArrival: make(map[id.Upstream]time.Time),
	}
	f.store.DeleteListing("i-1")
	f.store.DeleteListing("i-2")
	for _, name := range upstreams {
		f.startUpstream(name)
	}
	time.Sleep(2 * time.Second) // until the relay has read the listings
	return f
}

// startUpstream starts and lists an upstream that repeats refusals.
func (f *repeatingFleet) startUpstream(name id.Upstream) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			f.t.Cleanup(func() { conn.Close() })
			go func() {
				defer conn.Close()
				f.newRepeater(name).Serve(nil, bufio.NewReader(conn), conn)
			}()
		}
	}()
	require.NoError(f.t, f.store.PutListing(pool.Listing{
		ID: name, Service: "desk", Address: listener.Addr().String(), DataCentre: "th-a", Slots: 64, StartUnixMS: 1,
	}))
}

func (f *repeatingFleet) newRepeater(name id.Upstream) *ragworttest.RefusalRepeater {
	return &ragworttest.RefusalRepeater{
		Repeats: []ragworttest.Treatment{
			ragworttest.AnsweredAfterRepeat, ragworttest.AnsweredAfterRepeat, ragworttest.AnsweredAfterMisdirected, ragworttest.AnsweredAfterTooMany,
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(rand.Int64N(int64(maxRepeatingWork))))
			requestID := standin.ParseReplicaRequest(r.Header).Request
			standin.SignResponse(w.Header(), requestID)
			_, _ = io.WriteString(w, "answer to "+string(requestID))
		}),
		BeforeResponse: func(request id.Request, treatment ragworttest.Treatment) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lastArrival[name] = time.Now()
			f.treatments[request] = append(f.treatments[request], treatment)
			return true
		},
	}
}

// callUntil sends requests that may run once, one after the other, and records what their
// caller hears.
func (f *repeatingFleet) callUntil(end time.Time, path string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	for ; time.Now().Before(end); time.Sleep(thinkTime) {
		requestID := newRequestID()
		status, own := f.callOnce(client, requestID, path)
		f.mu.Lock()
		f.statuses[requestID] = status
		if own {
			f.served++
		}
		f.mu.Unlock()
	}
}

func (f *repeatingFleet) callOnce(client *http.Client, requestID id.Request, path string) (status int, own bool) {
	rq, err := http.NewRequest(http.MethodPost, "http://"+f.nodes[0].callerAddress+path, strings.NewReader("steel"))
	if err != nil {
		return 0, false
	}
	rq.Host = "desk.example"
	standin.SetRequestHeaders(rq.Header, requestID, "key-1", 2*time.Second)
	rs, err := client.Do(rq)
	if err != nil {
		return 0, false
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	return rs.StatusCode, err == nil && rs.StatusCode == http.StatusOK && string(body) == "answer to "+string(requestID)
}

// TestRepeatedRefusalsAreNotToldToCallers guards against callers that hear that their requests have
// not run, and against second runs, because an upstream repeats the refusal of another request.
func TestRepeatedRefusalsAreNotToldToCallers(t *testing.T) {
	for _, tc := range []struct{ name, path string }{{"one attempt", "/book/x"}, {"two attempts", "/reserve/x"}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newRepeatingFleet(t, "raw-1", "raw-2")
			end := time.Now().Add(repeatingTime)
			var callers sync.WaitGroup
			for range repeatingCallers {
				callers.Go(func() { f.callUntil(end, tc.path) })
			}
			callers.Wait()
			f.requireTrueStatuses()
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Len(t, f.lastArrival, 2)
			for name, at := range f.lastArrival {
				require.WithinRange(t, at, end.Add(-stillInUse), time.Now(), "%s has been withdrawn", name)
			}
		})
	}
}

// requireTrueStatuses fails if a caller heard that a request has not run that ran, if a request ran
// twice, or if less than nine in ten of the requests that ran got their answers.
func (f *repeatingFleet) requireTrueStatuses() {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran, twice, repeats, refused, untrue := 0, 0, 0, 0, 0
	for requestID, status := range f.statuses {
		runs := 0
		for _, treatment := range f.treatments[requestID] {
			switch treatment {
			case ragworttest.Refused:
				refused++
				continue
			case ragworttest.Answered:
			default:
				repeats++
			}
			runs++
		}
		if runs == 0 {
			continue
		}
		ran++
		if runs > 1 {
			twice++
		}
		switch status {
		case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			untrue++
		}
	}
	f.t.Logf("%d refused arrivals, %d requests ran, %d after another request's refusal, %d served, %d untrue refusals, %d ran twice", refused, ran, repeats, f.served, untrue, twice)
	require.Positive(f.t, refused)
	require.Positive(f.t, repeats)
	require.Zero(f.t, untrue, "callers heard of requests that ran that they have not run")
	require.Zero(f.t, twice, "requests ran twice")
	require.GreaterOrEqual(f.t, 10*f.served, 9*ran, "answers of requests that ran")
}
