package main

// This file defines callers, which keep connections to entries in use until these go
// away, and the balancer that tells them where to connect.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// servedRoute is a route of the configuration.
type servedRoute struct {
	kind     catalog.Kind
	priority int
}

func (r servedRoute) service() id.Service {
	if r.kind.Streams() {
		return modelService
	}
	return deskService
}

var routesServed = []servedRoute{{catalog.KindOnce, 0}, {catalog.KindSafe, 1}, {catalog.KindStream, 0}, {catalog.KindResumable, 1}}

// workspacePriorities go before those of routes.
var workspacePriorities = map[id.Workspace]int{"ws-a": 0, "ws-b": 1}

const (
	// balanceEvery is how often the balancer asks, and maxMisses is after how many misses
	// a node gets no new connections.
	balanceEvery = time.Second
	maxMisses    = 2
	// callerPause lies between two requests of a caller.
	callerPause = 15 * time.Millisecond
	// callerDeadline is how long a caller waits.
	callerDeadline = 3 * time.Second
	// oldKeyShare of the requests carry a key that was withdrawn, if there is one, and
	// leaveShare of the callers go away early: enough of each to judge in some seconds.
	oldKeyShare, leaveShare = 0.1, 0.05
	// connectionUse is the most requests on one connection.
	connectionUse = 60
)

// balance keeps track of which nodes are ready.
func (w *world) balance(n *node) {
	client := &http.Client{Timeout: balanceEvery / 2}
	misses := maxMisses
	for {
		ok := false
		if rs, err := client.Get("http://" + n.ready + "/api/readyz"); err == nil {
			ok = rs.StatusCode == http.StatusOK
			rs.Body.Close()
		}
		if misses++; ok {
			misses = 0
		}
		n.mu.Lock()
		n.rotated = misses < maxMisses
		n.mu.Unlock()
		if !w.sleep(balanceEvery) {
			return
		}
	}
}

func (w *world) rotation() (in []*node) {
	for _, n := range w.nodes {
		n.mu.Lock()
		if n.rotated {
			in = append(in, n)
		}
		n.mu.Unlock()
	}
	if len(in) == 0 {
		return w.nodes
	}
	return in
}

// call is one caller: it keeps a connection in use until it is told to close it or the
// connection breaks.
func (w *world) call(number int) {
	for n := 0; w.calling() && w.sleep(callerPause); {
		in := w.rotation()
		to := in[rand.IntN(len(in))]
		transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
		client := &http.Client{Transport: transport}
		for range 1 + rand.IntN(connectionUse) {
			n++
			if !w.calling() || !w.send(client, to, id.Request(fmt.Sprintf("%d-%d-%08x", number, n, rand.Uint32()))) || !w.sleep(callerPause) {
				break
			}
		}
		transport.CloseIdleConnections()
	}
}

// calling reports whether callers are to go on.
func (w *world) calling() bool {
	select {
	case <-w.hangUp:
		return false
	default:
		return true
	}
}

// key returns a key in force, or at times one that was withdrawn.
func (w *world) key() (key string, priority int) {
	w.listMu.Lock()
	defer w.listMu.Unlock()
	if rand.Float64() < oldKeyShare {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, c := range w.changes {
			if c.what == "key_withdrawn" && rand.IntN(2) == 0 {
				return c.name, workspacePriorities["ws-b"]
			}
		}
	}
	for key, name := range w.keys { // in random order
		return key, workspacePriorities[name]
	}
	return "", 0
}

// send sends one request; it reports whether the connection may be used again.
func (w *world) send(client *http.Client, to *node, rq id.Request) bool {
	r := routesServed[rand.IntN(len(routesServed))]
	key, workspacePriority := w.key()
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	payload := strings.Repeat("steel ", 1+rand.IntN(200))
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+"/"+r.kind.String()+"/x", io.NopCloser(strings.NewReader(payload)))
	if err != nil {
		w.t.Errorf("request: %v", err)
		return false
	}
	if rand.IntN(2) == 0 {
		hr.ContentLength = int64(len(payload)) // otherwise it is sent in chunks
	}
	hr.Host = hostName
	standin.SetRequestHeaders(hr.Header, rq, key, callerDeadline)
	leaves := rand.Float64() < leaveShare
	a := &answer{request: rq, kind: r.kind, key: key, node: to.name, life: to.at(), sent: w.now(), priority: [2]int{workspacePriority, r.priority}}
	if leaves {
		gone := time.AfterFunc(time.Duration(rand.Int64N(int64(eventPause*streamEvents))), cancel)
		defer gone.Stop()
	}
	rs, err := client.Do(hr)
	again := false
	if err == nil {
		again = w.read(rs, a, []byte(payload))
	}
	a.done = w.now()
	a.left = leaves && ctx.Err() != nil && !a.whole
	if a.life != to.at() {
		a.life = -1
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.whole, a.left = false, true // its time was over: it went away
	}
	w.add(func() { w.answers = append(w.answers, a) })
	return again
}

func (n *node) at() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// read takes an answer; it reports whether the connection may be used again.
func (w *world) read(rs *http.Response, a *answer, payload []byte) bool {
	defer rs.Body.Close()
	a.status = rs.StatusCode
	if rs.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, rs.Body)
		a.whole = err == nil
		return a.whole && !rs.Close
	}
	if a.kind.Streams() {
		a.whole, a.own = readStream(rs.Body, a.request)
	} else {
		body, err := io.ReadAll(rs.Body)
		a.whole, a.own = err == nil, string(body) == wholeAnswer(a.request, payload)
	}
	a.own = a.own && standin.ResponseRequestID(rs.Header) == a.request
	return a.whole && !rs.Close
}

// readStream reads a stream to its end. It is its own if every event came once and in
// order.
func readStream(body io.Reader, rq id.Request) (whole, own bool) {
	next := 1
	own = true
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			own = own && data == fmt.Sprintf("%s/%d", rq, next)
			next++
		}
	}
	return lines.Err() == nil, own && next == streamEvents+1
}
