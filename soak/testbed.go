package main

// This file defines testbed: the real entry processes of one run, and the stand-ins for
// upstreams, store and operators around them.

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	plainService id.Service = "desk"
	modelService id.Service = "model"
	hostName                = "desk.example"
	// upstreamSlots is how many concurrent requests an upstream reports that it can run.
	upstreamSlots = 64
	// restartDelay is the time from the end of a process to its restart, and startMargin
	// bounds the time that the restart takes.
	restartDelay = 100 * time.Millisecond
	startMargin  = 100 * time.Millisecond
	// heartbeatInterval is how often an upstream writes its listing.
	heartbeatInterval = 500 * time.Millisecond
	// coldDuration is how long a newly added upstream is cold.
	coldDuration = 3 * time.Second
	// streamEvents is the number of events of a stream, eventInterval the time between two.
	streamEvents  = 8
	eventInterval = 15 * time.Millisecond
	// upstreamWait is how long an upstream asks for no further requests.
	upstreamWait = 1500 * time.Millisecond
	// maxWork bounds how long an upstream works on a request that is not a stream.
	maxWork = 30 * time.Millisecond
)

// dataCentres are assigned to upstreams in turn; all entries are in the first.
var dataCentres = []id.DataCentre{"th-a", "th-b"}

// clockOffsets are the clock errors of the first entry, one for each incarnation in turn.
var clockOffsets = []string{"0s", "4s", "-4s"}

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

	mu            sync.Mutex
	unlisted      bool // its listing was removed
	draining      bool
	mode          string        // empty: healthy; or full, asking_wait, failing, cutting
	leaving       bool          // says in every response that it is leaving
	lastDisturbed time.Duration // last fault of it or of its link; zero: never
}

// node is one entry, whose process is restarted whenever it ends.
type node struct {
	testbed       *testbed
	name          id.Node
	settingsPath  string
	callerAddress string
	readyAddress  string
	peerAddress   string
	link          *ragworttest.Proxy // to the store

	mu             sync.Mutex
	process        *ragworttest.Process
	incarnation    int
	endSignal      syscall.Signal // sent to end the process; zero: none
	faultySettings bool           // the settings file is invalid, so a start must fail
	inRotation     bool           // the balancer opens new connections to it
}

// testbed holds the processes, stand-ins and recorded history of one run.
type testbed struct {
	history
	t           testing.TB
	rng         *rand.Rand // for the schedule of faults only
	store       *standin.Store
	nodes       []*node
	stopCallers chan struct{} // closed when callers are to stop
	stopped     chan struct{} // closed when the run ends
	tasks       sync.WaitGroup
	underFault  sync.Map // links and data centres that a fault affects

	listMu        sync.Mutex
	upstreams     []*upstream // those that are listed
	upstreamsMade []*upstream // all of the run, drained ones included
	version       catalog.Version
	keys          map[string]id.Workspace
}

func newTestbed(t testing.TB, rng *rand.Rand, entries int) *testbed {
	tb := &testbed{t: t, rng: rng, store: standin.NewStore(), stopCallers: make(chan struct{}), stopped: make(chan struct{}), keys: map[string]id.Workspace{"key-a": "ws-a", "key-b": "ws-b"}}
	tb.bounds, tb.dataCentreOf = testedBounds, make(map[id.Upstream]id.DataCentre)
	tb.start = time.Now()
	for key := range tb.keys {
		tb.changes = append(tb.changes, change{kind: "key_added", name: key})
	}
	for i := range 2 * len(dataCentres) {
		tb.addUpstream(plainService, dataCentres[i%len(dataCentres)], false)
		tb.addUpstream(modelService, dataCentres[i%len(dataCentres)], false)
	}
	tb.publishConfig()
	server := httptest.NewServer(tb.store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections) // a silent link would keep them open
	address := strings.TrimPrefix(server.URL, "http://")
	dir := t.TempDir()
	for i := range entries {
		tb.nodes = append(tb.nodes, &node{
			testbed: tb, name: id.Node(fmt.Sprint("entry-", i)), settingsPath: filepath.Join(dir, fmt.Sprint(i, ".json")), link: ragworttest.NewProxy(t, address),
			callerAddress: ragworttest.FreeAddress(t), readyAddress: ragworttest.FreeAddress(t), peerAddress: ragworttest.FreeAddress(t),
		})
	}
	for _, n := range tb.nodes {
		n.writeSettings("")
		tb.tasks.Go(n.supervise)
	}
	tb.tasks.Go(tb.sendHeartbeats)
	tb.tasks.Go(tb.watchStalls)
	return tb
}

// stop ends all processes, tasks and handlers of upstreams, so that nothing changes the history
// any more, and adds the usage reports of the store to it.
func (tb *testbed) stop() {
	tb.duration = tb.now()
	close(tb.stopped)
	for _, n := range tb.nodes {
		n.sendEndSignal(syscall.SIGKILL)
	}
	tb.tasks.Wait()
	for _, u := range tb.upstreamsMade {
		u.stop()
	}
	for _, u := range tb.store.UsageReports() {
		tb.reports = append(tb.reports, usageReport{at: u.At.Sub(tb.start), ReceivedUsage: u})
	}
}

// sleep waits for d; it reports false if the run ended meanwhile.
func (tb *testbed) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-tb.stopped:
		return false
	}
}

const (
	// pollInterval is how often the run polls the clock and its processes. A poll that is
	// late by more than stallThreshold means that the host was overloaded.
	pollInterval   = 20 * time.Millisecond
	stallThreshold = 200 * time.Millisecond
)

// watchStalls records when the host was too busy to run the soak itself: guarantees about
// time are not checked during such a stall.
func (tb *testbed) watchStalls() {
	for last := tb.now(); tb.sleep(pollInterval); {
		now := tb.now()
		if now-last > stallThreshold {
			tb.addDisturbance(disturbance{cause: "stall", span: span{last, now}})
		}
		last = now
	}
}

func (tb *testbed) addDisturbance(d disturbance) {
	tb.add(func() { tb.disturbances = append(tb.disturbances, d) })
}

func (tb *testbed) addChange(c change) { tb.add(func() { tb.changes = append(tb.changes, c) }) }

// supervise starts the node's process, and restarts it whenever it has ended.
func (n *node) supervise() {
	for {
		args := []string{"relay", "--settings", n.settingsPath}
		if n == n.testbed.nodes[0] {
			args = append(args, "--clock-error="+clockOffsets[n.incarnation%len(clockOffsets)]) // the other entries' clocks are correct
		}
		process := ragworttest.StartProcess(n.testbed.t, "entry", n.callerAddress, args...)
		n.mu.Lock()
		faultySettings := n.faultySettings // at the start of the process, or soon after
		n.process, n.endSignal = process, 0
		n.incarnation++
		n.mu.Unlock()
		for !process.Exited() && n.testbed.sleep(pollInterval) {
		}
		n.mu.Lock()
		endSignal := n.endSignal
		faultySettings = faultySettings || n.faultySettings
		n.inRotation = false
		n.mu.Unlock()
		select {
		case <-n.testbed.stopped:
			return
		default:
		}
		n.testbed.add(func() { n.testbed.endedProcesses++ })
		// After SIGTERM, the last log line is event=stop; after a crash it is not.
		if graceful := endSignal == syscall.SIGTERM; endSignal == 0 && !faultySettings || graceful && !strings.Contains(process.Log.Tail(), "event=stop") {
			n.testbed.add(func() {
				n.testbed.unexpectedEnds = append(n.testbed.unexpectedEnds, fmt.Sprintf("%s ended unexpectedly at %v: %s", n.name, n.testbed.now(), process.Log.Tail()))
			})
		}
		if !n.testbed.sleep(restartDelay) {
			return
		}
	}
}

// sendEndSignal sends a signal that ends the process.
func (n *node) sendEndSignal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && !n.process.Exited() {
		n.endSignal = s
		n.process.Signal(n.testbed.t, s)
	}
}

// sendSignal sends a signal that does not end the process.
func (n *node) sendSignal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && !n.process.Exited() {
		n.process.Signal(n.testbed.t, s)
	}
}

// writeSettings writes the settings file; a suffix that is not empty makes it invalid.
func (n *node) writeSettings(suffix string) {
	b := n.testbed.bounds
	settings := &gateway.Settings{
		Node: n.name, DataCentre: dataCentres[0], StoreAddress: n.link.Address(), DutyAddress: n.link.Address(), Duties: []string{"usage"},
		Bounds: gateway.Bounds{
			ConfigMS: float64(b.config.Milliseconds()), RetryRatio: b.retryRatio, RetrySlack: b.retrySlack, RetryWindowS: b.retryWindow.Seconds(),
			GraceS: b.grace.Seconds(), LeaseMS: float64(b.lease.Milliseconds()), WindowS: b.window.Seconds(), UsageLateS: b.reportWithin.Seconds(),
		},
	}
	settings.Listen.Callers, settings.Listen.Ready, settings.Listen.Peers = n.callerAddress, n.readyAddress, n.peerAddress
	for _, other := range n.testbed.nodes {
		settings.Seeds = append(settings.Seeds, other.peerAddress)
	}
	text, err := json.Marshal(settings)
	require.NoError(n.testbed.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultySettings = suffix != ""
	require.NoError(n.testbed.t, os.WriteFile(n.settingsPath, append(text, suffix...), 0o600))
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

// stop closes all connections of the upstream and waits until its handlers have returned.
func (u *upstream) stop() {
	u.server.CloseClientConnections()
	u.server.Close()
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

// sendHeartbeats writes the listings of all upstreams until the run ends.
func (tb *testbed) sendHeartbeats() {
	for tb.sleep(heartbeatInterval) {
		for _, u := range tb.listedUpstreams() {
			u.publishListing()
		}
	}
}

func (tb *testbed) listedUpstreams() []*upstream {
	tb.listMu.Lock()
	defer tb.listMu.Unlock()
	return slices.Clone(tb.upstreams)
}

// publishConfig writes the configuration with the valid keys to the store.
func (tb *testbed) publishConfig() {
	tb.listMu.Lock()
	defer tb.listMu.Unlock()
	tb.version += 3
	c := &catalog.Catalog{
		Version: tb.version, RequireKeys: true, Limits: catalog.Limits{BodyBytes: 1 << 20, HeaderBytes: 1 << 14},
		Services: make(map[id.Service]*catalog.Service), Workspaces: make(map[string]*catalog.Workspace),
	}
	for _, name := range []id.Service{plainService, modelService} {
		c.Services[name] = &catalog.Service{Name: name, Cold: catalog.ColdLimit{Duration: coldDuration, RequestsPerSecond: tb.bounds.coldRate}}
	}
	for _, r := range testRoutes {
		c.Routes = append(c.Routes, catalog.Route{
			Name: id.Route(r.kind.String()), Host: hostName, PathPrefix: "/" + r.kind.String() + "/", Kind: r.kind, Timeout: callerDeadline,
			Priority: r.priority, MaxAttempts: 2, Services: []catalog.WeightedService{{Service: r.service(), Weight: 1}},
		})
	}
	for key, workspace := range tb.keys {
		priority := workspacePriorities[workspace]
		c.Workspaces[key] = &catalog.Workspace{Name: workspace, Priority: &priority}
	}
	require.NoError(tb.t, tb.store.PutCatalog(c))
}

// ServeHTTP serves a request, or fails as the upstream's mode specifies.
func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender disconnected before anything ran
	}
	u.mu.Lock()
	mode, leaving := u.mode, u.leaving
	u.mu.Unlock()
	replicaRequest := standin.ParseReplicaRequest(r.Header)
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
		urgency: replicaRequest.Urgency, ran: true, leaving: leaving, // without an urgency, checkPriority fails
	}
	u.testbed.add(func() { u.testbed.arrivals = append(u.testbed.arrivals, a) })
	defer u.recordEnd(a)
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
	lastDisturbed := u.lastDisturbed
	u.mu.Unlock()
	u.testbed.add(func() {
		a.ended = u.testbed.now()
		a.interrupted = lastDisturbed != 0 && lastDisturbed >= a.at-u.testbed.bounds.contact
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
