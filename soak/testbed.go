package main

// This file defines testbed: the real entry processes of one run, and the stand-ins for
// upstreams, store and operators around them.

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/ragworttest/rollouttest"
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
	startFault     startFault     // of the next start; nil: none
	outputClosed   bool           // nobody reads the output of the process any more
	uncaughtHangup bool           // a SIGHUP was sent before the process could catch it
	earlierLogs    string         // of the processes that have ended
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
	rollouts    sync.WaitGroup // calls of rollOut and their replicas
	underFault  sync.Map       // links and data centres that a fault affects

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
		fault := n.takeStartFault()
		fault.prepare(n)
		end := processEnd{node: n.name, started: n.testbed.now()}
		process := ragworttest.StartProcess(n.testbed.t, "entry", n.callerAddress, args...)
		n.mu.Lock()
		end.faultySettings = n.faultySettings // at the start of the process, or soon after
		n.process, n.endSignal, n.outputClosed, n.uncaughtHangup = process, 0, false, false
		n.incarnation++
		n.mu.Unlock()
		n.testbed.tasks.Go(func() { fault.follow(n) })
		for goesOn := true; goesOn && !process.Exited(); goesOn = n.testbed.sleep(pollInterval) {
			if peak, err := process.PeakMemory(); err == nil { // otherwise it has just ended
				end.peakMB = max(end.peakMB, peak)
			}
		}
		if !process.Exited() {
			n.sendEndSignal(syscall.SIGKILL) // the run is over
			process.WaitExit(n.testbed.t)
		}
		n.recordEnd(process, end)
		if !n.testbed.sleep(restartDelay) {
			return
		}
	}
}

// servesPattern matches the line of a process that serves, and endTailBytes is how much of the last
// output of a process the history keeps.
var servesPattern = regexp.MustCompile(`event=listening server=callers `)

const endTailBytes = 500

// recordEnd adds the end of the node's process to the history.
func (n *node) recordEnd(process *ragworttest.Process, end processEnd) {
	n.mu.Lock()
	end.sent, end.outputClosed, end.uncaughtHangup = n.endSignal, n.outputClosed, n.uncaughtHangup
	end.faultySettings = end.faultySettings || n.faultySettings
	n.inRotation = false
	text := process.Log.String()
	n.earlierLogs += text
	n.mu.Unlock()
	end.at, end.status = n.testbed.now(), process.Status()
	end.served, end.stopLogged = servesPattern.MatchString(text), strings.Contains(process.Log.Tail(), "event=stop")
	end.tail = text[max(0, len(text)-endTailBytes):]
	n.testbed.add(func() { n.testbed.ends = append(n.testbed.ends, end) })
}

// takesSignals reports whether the process runs and was not killed. One that was killed may not be
// seen to have ended yet. The caller holds the lock.
func (n *node) takesSignals() bool {
	return n.process != nil && !n.process.Exited() && n.endSignal != syscall.SIGKILL
}

// sendEndSignal sends a signal that ends the process.
func (n *node) sendEndSignal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.takesSignals() && n.signal(s) {
		n.endSignal = s
	}
}

// sendSignal sends a signal that does not end the process.
func (n *node) sendSignal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.takesSignals() {
		n.uncaughtHangup = n.uncaughtHangup || s == syscall.SIGHUP && !n.process.HandlesSignal(s)
		n.signal(s)
	}
}

// signal sends a signal to the process; it reports false if the process has ended. The caller holds
// the lock.
func (n *node) signal(s syscall.Signal) bool {
	err := n.process.TrySignal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return false
	}
	require.NoError(n.testbed.t, err)
	return true
}

// writeSettings writes the settings file; a suffix that is not empty makes it invalid.
func (n *node) writeSettings(suffix string) {
	b := n.testbed.bounds
	settings := &gateway.Settings{
		Node: n.name, DataCentre: dataCentres[0], MemoryMB: memoryMB, StoreAddress: n.link.Address(), DutyAddress: n.link.Address(), Duties: []string{"usage"},
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
	text, err = rollouttest.AddBounds(text, rollouttest.TestedBounds)
	require.NoError(n.testbed.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultySettings = suffix != ""
	require.NoError(n.testbed.t, os.WriteFile(n.settingsPath, append(text, suffix...), 0o600))
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
		Version: tb.version, RequireKeys: true, Limits: catalog.Limits{BodyBytes: maxBodyBytes, HeaderBytes: 1 << 14},
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
	c.Services[rolledService] = &catalog.Service{Name: rolledService}
	c.Routes = append(c.Routes, rolloutRoutes()...)
	for key, workspace := range tb.keys {
		priority := workspacePriorities[workspace]
		c.Workspaces[key] = &catalog.Workspace{Name: workspace, Priority: &priority}
	}
	require.NoError(tb.t, tb.store.PutCatalog(c))
}
