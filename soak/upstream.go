package main

// This file defines upstream, a stand-in for an upstream with the faults that a run injects.

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// upstream is a stand-in for an upstream that entries reach through a proxy.
type upstream struct {
	testbed     *testbed
	name        id.Upstream
	service     id.Service
	dataCentre  id.DataCentre
	server      *httptest.Server
	link        *ragworttest.Proxy
	startUnixMS int64
	coldUntil   time.Time
	crashing    sync.WaitGroup // calls of crash
	repeating   sync.WaitGroup // calls of serveRepeating

	mu            sync.Mutex
	unlisted      bool // its listing was removed
	draining      bool
	mode          string // empty: healthy; or full, asking_wait, failing, cutting
	leaving       bool   // says in every response that it is leaving
	limited       bool   // names limit in every response
	limit         id.PerSecond
	lastDisturbed time.Duration // last fault of it or of its link; zero: never
	repeats       bool          // repeats refusals on some connections
	repeaters     []net.Conn    // on which it has done so
	garbles       bool          // garbles the heads of its responses
}

// addUpstream starts and lists one more upstream, which may be cold at first.
func (tb *testbed) addUpstream(service id.Service, dataCentre id.DataCentre, cold bool) {
	tb.listMu.Lock()
	defer tb.listMu.Unlock()
	u := &upstream{testbed: tb, name: id.Upstream(fmt.Sprint("i-", len(tb.upstreamsMade)+1)), service: service, dataCentre: dataCentre, startUnixMS: time.Now().UnixMilli()}
	tb.add(func() { tb.dataCentreOf[u.name] = dataCentre })
	tb.upstreamsMade = append(tb.upstreamsMade, u)
	u.server = httptest.NewServer(u)
	tb.t.Cleanup(u.stop)
	u.link = ragworttest.NewProxy(tb.t, strings.TrimPrefix(u.server.URL, "http://"))
	if cold {
		u.coldUntil = time.Now().Add(coldDuration)
		now := tb.now()
		tb.addChange(change{kind: "cold", name: string(u.name), span: span{now, now + coldDuration}})
	}
	tb.upstreams = append(tb.upstreams, u)
	u.publishListing()
}

// stop closes all connections of the upstream and waits until its handlers have returned and its
// crashes are over.
func (u *upstream) stop() {
	u.server.CloseClientConnections()
	u.server.Close()
	u.closeRepeaters()
	u.repeating.Wait()
	u.crashing.Wait()
}

// publishListing writes the upstream's listing to the store, unless it was removed.
func (u *upstream) publishListing() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.unlisted {
		return
	}
	require.NoError(u.testbed.t, u.testbed.store.PutListing(pool.Listing{
		ID: u.name, Service: u.service, Address: u.link.Address(), DataCentre: u.dataCentre, Draining: u.draining,
		Slots: upstreamSlots, ColdFor: max(0, time.Until(u.coldUntil)), StartUnixMS: u.startUnixMS,
	}))
}

// ServeHTTP serves a request, or fails as the upstream's mode specifies.
func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender disconnected before anything ran
	}
	if u.serveRepeating(rw, r, body) {
		return
	}
	u.mu.Lock()
	mode, leaving, limited, limit := u.mode, u.leaving, u.limited, u.limit
	_, owned := rw.(http.Hijacker) // false: called by a repeater
	garbles := u.garbles && owned
	u.mu.Unlock()
	replicaRequest := standin.ParseReplicaRequest(r.Header)
	if limited && replicaRequest.ExpectedReplica == u.name {
		standin.NameLimit(rw.Header(), limit)
		u.testbed.add(func() {
			u.testbed.visits = append(u.testbed.visits, visit{u.testbed.now(), replicaRequest.Request, u.name})
		})
	}
	if leaving {
		standin.MarkLeaving(rw.Header())
	}
	if mode == "asking_wait" && replicaRequest.ExpectedReplica == u.name {
		now := u.testbed.now()
		u.testbed.add(func() {
			u.testbed.waits = append(u.testbed.waits, askedWait{replicaRequest.Request, u.name, span{now, now + upstreamWait}})
		})
		standin.AskWait(rw.Header(), upstreamWait)
		mode = "full"
	}
	if mode == "full" || replicaRequest.ExpectedReplica != u.name {
		standin.RefuseRequest(rw, replicaRequest, u.name)
		return
	}
	a := &arrival{
		at: u.testbed.now(), request: replicaRequest.Request, upstream: u.name, service: u.service, workspace: replicaRequest.Workspace,
		urgency: replicaRequest.Urgency, ran: true, leaving: leaving, garbled: garbles, // without an urgency, checkPriority fails
	}
	u.testbed.add(func() { u.testbed.arrivals = append(u.testbed.arrivals, a) })
	defer u.recordEnd(a)
	if garbles {
		u.serveGarbled(rw, replicaRequest.Request)
		return
	}
	standin.SignResponse(rw.Header(), replicaRequest.Request)
	if u.service == plainService {
		u.testbed.add(func() { a.began = a.at })
		u.servePlain(rw, r, mode, replicaRequest.Request, body)
		return
	}
	u.serveStream(rw, r, mode, replicaRequest, a)
}

// recordEnd records that an upstream no longer works on a request.
func (u *upstream) recordEnd(a *arrival) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.testbed.add(func() {
		a.ended = u.testbed.now()
		a.interrupted = u.lastDisturbed != 0 && u.lastDisturbed >= a.at-u.testbed.bounds.contact
	})
}

func (u *upstream) servePlain(rw http.ResponseWriter, r *http.Request, mode string, requestID id.Request, body []byte) {
	select {
	case <-time.After(time.Duration(rand.Int64N(int64(maxWork)))):
	case <-r.Context().Done():
		return
	}
	text := plainAnswer(requestID, body)
	switch mode {
	case "failing":
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case "cutting":
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(rw, text[:len(text)/2]) // the connection is reset next
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(rw, text) // errors are ignored: the checks find callers that have disconnected
}

func plainAnswer(requestID id.Request, body []byte) string {
	return fmt.Sprintf("answer to %s, %d bytes %x", requestID, len(body), body[:min(len(body), 16)])
}

func (u *upstream) serveStream(rw http.ResponseWriter, r *http.Request, mode string, replicaRequest standin.ReplicaRequest, a *arrival) {
	if mode == "failing" {
		u.testbed.add(func() { a.began = u.testbed.now() })
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	if slices.Contains(standin.PromptParts(r.Header), crashingPart) {
		time.Sleep(crashTime)
		u.crashing.Go(u.crash)
		<-r.Context().Done()
		return
	}
	for n := replicaRequest.LastEventID + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, replicaRequest.Request, n)
		if n == replicaRequest.LastEventID+1 {
			u.testbed.add(func() { a.began = u.testbed.now() })
		}
		if mode == "cutting" && n == streamEvents/2 {
			_, _ = io.WriteString(rw, event[:len(event)/2]) // the connection is reset next
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(rw, event) // errors are ignored: the checks find callers that have disconnected
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return // the connection is closed
		}
	}
}
