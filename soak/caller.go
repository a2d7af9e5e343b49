package main

// This file defines the callers, which keep sending on a connection until it closes, and the
// balancer, which selects the entries to connect to.

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// testRoute is a route of the configuration.
type testRoute struct {
	kind     catalog.Kind
	priority int
}

func (r testRoute) service() id.Service { return serviceOf(r.kind) }

// serviceOf returns the service of requests of a kind.
func serviceOf(k catalog.Kind) id.Service {
	if k.Streams() {
		return modelService
	}
	return plainService
}

var testRoutes = []testRoute{{catalog.KindOnce, 0}, {catalog.KindSafe, 1}, {catalog.KindStream, 0}, {catalog.KindResumable, 1}}

// workspacePriorities are compared before the priorities of routes.
var workspacePriorities = map[id.Workspace]int{"ws-a": 0, "ws-b": 1}

const (
	// probeInterval is how often the balancer probes readiness, and maxMisses how many failed
	// probes in a row take a node out of rotation.
	probeInterval = time.Second
	maxMisses     = 2
	// thinkTime is the time between two requests of a caller.
	thinkTime = 15 * time.Millisecond
	// callerDeadline is how long a caller waits for a response.
	callerDeadline = 3 * time.Second
	// At most withdrawnKeyShare of the requests carry a withdrawn key, and callers abandon
	// abandonShare of them early: enough cases of each to check within seconds.
	withdrawnKeyShare, abandonShare = 0.1, 0.05
	// maxRequestsPerConnection bounds how many requests a caller sends on one connection.
	maxRequestsPerConnection = 60
)

// probeReadiness probes a node and puts it into or out of the balancer's rotation.
func (tb *testbed) probeReadiness(n *node) {
	client := &http.Client{Timeout: probeInterval / 2}
	misses := maxMisses
	for {
		ready := false
		if resp, err := client.Get("http://" + n.readyAddress + "/api/readyz"); err == nil {
			ready = resp.StatusCode == http.StatusOK
			resp.Body.Close()
		}
		if misses++; ready {
			misses = 0
		}
		n.mu.Lock()
		n.inRotation = misses < maxMisses
		n.mu.Unlock()
		if !tb.sleep(probeInterval) {
			return
		}
	}
}

func (tb *testbed) nodesInRotation() (nodes []*node) {
	for _, n := range tb.nodes {
		n.mu.Lock()
		if n.inRotation {
			nodes = append(nodes, n)
		}
		n.mu.Unlock()
	}
	if len(nodes) == 0 {
		return tb.nodes
	}
	return nodes
}

// runCaller runs one caller: it sends requests on a connection until it may not be reused or
// has carried enough requests, and then opens another.
func (tb *testbed) runCaller(caller int) {
	for n := 0; tb.callersRunning() && tb.sleep(thinkTime); {
		nodes := tb.nodesInRotation()
		target := nodes[rand.IntN(len(nodes))]
		transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
		client := &http.Client{Transport: transport}
		for range 1 + rand.IntN(maxRequestsPerConnection) {
			n++
			c := call{request: id.Request(fmt.Sprintf("%d-%d-%08x", caller, n, rand.Uint32())), route: testRoutes[rand.IntN(len(testRoutes))]}
			if !tb.callersRunning() || !tb.send(client, target, c) || !tb.sleep(thinkTime) {
				break
			}
		}
		transport.CloseIdleConnections()
	}
}

// callersRunning reports whether callers should go on sending.
func (tb *testbed) callersRunning() bool {
	select {
	case <-tb.stopCallers:
		return false
	default:
		return true
	}
}

// pickKey returns a random valid key, or sometimes a withdrawn one.
func (tb *testbed) pickKey() (key string, priority int) {
	tb.listMu.Lock()
	defer tb.listMu.Unlock()
	if rand.Float64() < withdrawnKeyShare {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		for _, c := range tb.changes {
			if c.kind == "key_withdrawn" && rand.IntN(2) == 0 {
				return c.name, workspacePriorities["ws-b"]
			}
		}
	}
	for key, workspace := range tb.keys { // in random order
		return key, workspacePriorities[workspace]
	}
	return "", 0
}

// call is a request that a caller sends.
type call struct {
	request id.Request
	route   testRoute
	parts   []string // of its prompt; empty: it has none
	crowd   *crowd   // says how the body is sent; nil: short and at once
	stop    int      // the stop during which it is sent without a pause, from 1; zero: none
}

// send sends one request and records the result; it reports whether to reuse the connection.
func (tb *testbed) send(client *http.Client, target *node, c call) bool {
	key, workspacePriority := tb.pickKey()
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	payload := strings.Repeat("steel ", 1+rand.IntN(200))
	body := io.Reader(strings.NewReader(payload))
	if c.crowd != nil {
		payload = crowdPayload
		body = c.crowd.body(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.callerAddress+"/"+c.route.kind.String()+"/x", io.NopCloser(body))
	if err != nil {
		tb.t.Errorf("build request: %v", err)
		return false
	}
	if rand.IntN(2) == 0 {
		req.ContentLength = int64(len(payload)) // otherwise chunked
	}
	req.Host = hostName
	standin.SetRequestHeaders(req.Header, c.request, key, callerDeadline)
	if len(c.parts) > 0 {
		standin.SetPrompt(req.Header, "m", c.parts...)
	}
	abandons := rand.Float64() < abandonShare
	r := &result{
		request: c.request, kind: c.route.kind, key: key, node: target.name, incarnation: target.currentIncarnation(), sent: tb.now(),
		priority: [2]int{workspacePriority, c.route.priority}, stop: c.stop,
	}
	if len(c.parts) > 0 {
		r.prompt = c.parts[len(c.parts)-2] // the last part that others share
	}
	if abandons {
		hangUp := time.AfterFunc(time.Duration(rand.Int64N(int64(eventInterval*streamEvents))), cancel)
		defer hangUp.Stop()
	}
	resp, err := client.Do(req)
	r.notAccepted = isDialError(err)
	reusable := false
	if err == nil {
		reusable = tb.readResponse(resp, r, []byte(payload))
	}
	r.done = tb.now()
	r.abandoned = abandons && ctx.Err() != nil && !r.complete
	if r.incarnation != target.currentIncarnation() {
		r.incarnation = -1
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.complete, r.abandoned = false, true // the caller's deadline passed
	}
	tb.add(func() { tb.results = append(tb.results, r) })
	return reusable
}

// isDialError reports whether a request failed before it had a connection.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

func (n *node) currentIncarnation() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation
}

// readResponse reads a response; it reports whether the connection may be reused.
func (tb *testbed) readResponse(resp *http.Response, r *result, payload []byte) bool {
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, resp.Body)
		r.complete = err == nil
		return r.complete && !resp.Close
	}
	if r.kind.Streams() {
		r.complete, r.own = readStream(resp.Body, r.request)
	} else {
		body, err := io.ReadAll(resp.Body)
		r.complete, r.own = err == nil, string(body) == plainAnswer(r.request, payload)
	}
	r.own = r.own && standin.ResponseRequestID(resp.Header) == r.request
	return r.complete && !resp.Close
}

// readStream reads a stream to its end; own is whether every event came once and in order.
func readStream(body io.Reader, requestID id.Request) (complete, own bool) {
	next := 1
	own = true
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			own = own && data == fmt.Sprintf("%s/%d", requestID, next)
			next++
		}
	}
	return lines.Err() == nil, own && next == streamEvents+1
}
