package main

// This file defines world: the real entry processes of one run, and the upstreams,
// the store and the operators that they meet.

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
	deskService  id.Service = "desk"
	modelService id.Service = "model"
	hostName                = "desk.example"
	// upstreamSlots is how many requests an upstream says that it runs at once.
	upstreamSlots = 64
	// restartPause is how long a process that has ended stays away, and startMargin what it
	// takes at most to run again.
	restartPause = 100 * time.Millisecond
	startMargin  = 100 * time.Millisecond
	// heartbeat is how often an upstream writes its entry.
	heartbeat = 500 * time.Millisecond
	// coldFor is how long an upstream that was added is cold.
	coldFor = 3 * time.Second
	// streamEvents is the length of a stream, and eventPause lies between two events.
	streamEvents = 8
	eventPause   = 15 * time.Millisecond
	// workMax bounds how long an upstream works on a request that is no stream.
	workMax = 30 * time.Millisecond
)

// centres are the data centres of the upstreams, in turn; entries are in the first.
var centres = []id.DataCentre{"th-a", "th-b"}

// clockErrors are how far the clock of the first entry is off, in turn.
var clockErrors = []string{"0s", "4s", "-4s"}

// upstream is a stand-in whose address is that of a proxy.
type upstream struct {
	w       *world
	name    id.Upstream
	service id.Service
	centre  id.DataCentre
	server  *httptest.Server
	link    *ragworttest.Proxy
	born    int64
	cold    time.Time // until

	mu        sync.Mutex
	gone      bool // it is not listed any more
	draining  bool
	mode      string        // empty: sound; full, failing or cutting
	disturbed time.Duration // when its link or itself last was; zero: never
}

// node is one entry, whose process is started again whenever it ends.
type node struct {
	w        *world
	name     id.Node
	settings string // path
	callers  string
	ready    string
	peers    string
	link     *ragworttest.Proxy // to the store

	mu      sync.Mutex
	process *ragworttest.Process
	life    int
	ordered syscall.Signal // by which the end that comes was ordered; zero: it was not
	faulty  bool           // the settings are, so that a start must be refused
	rotated bool           // the balancer sends new connections
}

// world is one run.
type world struct {
	history
	t      testing.TB
	rng    *rand.Rand // of the plan only
	store  *standin.Store
	nodes  []*node
	hangUp chan struct{} // callers go away
	quit   chan struct{} // the run ends
	tasks  sync.WaitGroup
	busy   sync.Map // links that are disturbed

	listMu    sync.Mutex
	upstreams []*upstream
	made      int
	version   catalog.Version
	keys      map[string]id.Workspace
}

func newWorld(t testing.TB, rng *rand.Rand, entries int) *world {
	w := &world{t: t, rng: rng, store: standin.NewStore(), hangUp: make(chan struct{}), quit: make(chan struct{}), keys: map[string]id.Workspace{"key-a": "ws-a", "key-b": "ws-b"}}
	w.bounds, w.centres = promised, make(map[id.Upstream]id.DataCentre)
	w.start = time.Now()
	for key := range w.keys {
		w.changes = append(w.changes, change{what: "key_added", name: key})
	}
	for i := range 2 * len(centres) {
		w.addUpstream(deskService, centres[i%len(centres)], false)
		w.addUpstream(modelService, centres[i%len(centres)], false)
	}
	w.configure()
	server := httptest.NewServer(w.store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections) // a silent link would keep them
	address := strings.TrimPrefix(server.URL, "http://")
	dir := t.TempDir()
	for i := range entries {
		w.nodes = append(w.nodes, &node{
			w: w, name: id.Node(fmt.Sprint("entry-", i)), settings: filepath.Join(dir, fmt.Sprint(i, ".json")), link: ragworttest.NewProxy(t, address),
			callers: ragworttest.FreeAddress(t), ready: ragworttest.FreeAddress(t), peers: ragworttest.FreeAddress(t),
		})
	}
	for _, n := range w.nodes {
		n.write("")
		w.tasks.Go(n.keep)
	}
	w.tasks.Go(w.beat)
	w.tasks.Go(w.watchStalls)
	return w
}

// stop ends what the run started. The store's reports become part of the history.
func (w *world) stop() {
	w.length = w.now()
	close(w.quit)
	for _, n := range w.nodes {
		n.end(syscall.SIGKILL)
	}
	w.tasks.Wait()
	for _, u := range w.store.UsageReports() {
		w.reports = append(w.reports, report{at: u.At.Sub(w.start), ReceivedUsage: u})
	}
}

// sleep reports false if the run has ended.
func (w *world) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-w.quit:
		return false
	}
}

const (
	// stallCheck is how often the run looks at the clock, and stalled is the delay from
	// which on this host counts as having stopped everything.
	stallCheck = 20 * time.Millisecond
	stalled    = 200 * time.Millisecond
)

// watchStalls notes when this host was too busy to run the soak itself: what happens
// meanwhile says nothing about promises in time.
func (w *world) watchStalls() {
	for last := w.now(); w.sleep(stallCheck); {
		now := w.now()
		if now-last > stalled {
			w.disturb(fault{what: "stall", span: span{last, now}})
		}
		last = now
	}
}

func (w *world) disturb(f fault) { w.add(func() { w.faults = append(w.faults, f) }) }

func (w *world) changed(c change) { w.add(func() { w.changes = append(w.changes, c) }) }

// keep starts the node's process again whenever it has ended.
func (n *node) keep() {
	for {
		args := []string{"relay", "--settings", n.settings}
		if n == n.w.nodes[0] {
			args = append(args, "--clock-error="+clockErrors[n.life%len(clockErrors)]) // most clocks are right
		}
		process := ragworttest.StartProcess(n.w.t, "entry", n.callers, args...)
		n.mu.Lock()
		faulty := n.faulty // as it reads them, or soon after
		n.process, n.ordered = process, 0
		n.life++
		n.mu.Unlock()
		for !process.Exited() && n.w.sleep(stallCheck) {
		}
		n.mu.Lock()
		ordered := n.ordered
		faulty = faulty || n.faulty
		n.rotated = false
		n.mu.Unlock()
		select {
		case <-n.w.quit:
			return
		default:
		}
		n.w.add(func() { n.w.ended++ })
		// One that is told to end says so in its last line: a crash would not.
		if graceful := ordered == syscall.SIGTERM; ordered == 0 && !faulty || graceful && !strings.Contains(process.Log.Tail(), "event=stop") {
			n.w.add(func() {
				n.w.ends = append(n.w.ends, fmt.Sprintf("%s ended by itself at %v: %s", n.name, n.w.now(), process.Log.Tail()))
			})
		}
		if !n.w.sleep(restartPause) {
			return
		}
	}
}

// end orders the process to end.
func (n *node) end(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && !n.process.Exited() {
		n.ordered = s
		n.process.Signal(n.w.t, s)
	}
}

// signal sends a signal that does not end the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && !n.process.Exited() {
		n.process.Signal(n.w.t, s)
	}
}

// write writes the settings file; a suffix makes it faulty.
func (n *node) write(suffix string) {
	b := n.w.bounds
	settings := &gateway.Settings{
		Node: n.name, DataCentre: centres[0], StoreAddress: n.link.Address(), DutyAddress: n.link.Address(), Duties: []string{"usage"},
		Bounds: gateway.Bounds{
			ConfigMS: float64(b.config.Milliseconds()), RetryRatio: b.retryRatio, RetrySlack: b.retrySlack, RetryWindowS: b.retryWindow.Seconds(),
			GraceS: b.grace.Seconds(), LeaseMS: float64(b.lease.Milliseconds()), WindowS: b.window.Seconds(), UsageLateS: b.usageLate.Seconds(),
		},
	}
	settings.Listen.Callers, settings.Listen.Ready, settings.Listen.Peers = n.callers, n.ready, n.peers
	for _, other := range n.w.nodes {
		settings.Seeds = append(settings.Seeds, other.peers)
	}
	text, err := json.Marshal(settings)
	require.NoError(n.w.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faulty = suffix != ""
	require.NoError(n.w.t, os.WriteFile(n.settings, append(text, suffix...), 0o600))
}

// addUpstream lists one more upstream. One that comes while callers are served is cold.
func (w *world) addUpstream(service id.Service, centre id.DataCentre, cold bool) {
	w.listMu.Lock()
	defer w.listMu.Unlock()
	w.made++
	u := &upstream{w: w, name: id.Upstream(fmt.Sprint("i-", w.made)), service: service, centre: centre, born: time.Now().UnixMilli()}
	w.add(func() { w.centres[u.name] = centre })
	u.server = httptest.NewServer(u)
	w.t.Cleanup(func() {
		u.server.CloseClientConnections()
		u.server.Close()
	})
	u.link = ragworttest.NewProxy(w.t, strings.TrimPrefix(u.server.URL, "http://"))
	if cold {
		u.cold = time.Now().Add(coldFor)
		now := w.now()
		w.changed(change{what: "cold", name: string(u.name), span: span{now, now + coldFor}})
	}
	w.upstreams = append(w.upstreams, u)
	u.list()
}

// list writes the upstream's entry.
func (u *upstream) list() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gone {
		return
	}
	require.NoError(u.w.t, u.w.store.PutListing(pool.Listing{
		ID: u.name, Service: u.service, Address: u.link.Address(), DataCentre: u.centre, Draining: u.draining,
		Slots: upstreamSlots, ColdFor: max(0, time.Until(u.cold)), StartUnixMS: u.born,
	}))
}

// beat writes the entries of all upstreams until the run ends.
func (w *world) beat() {
	for w.sleep(heartbeat) {
		for _, u := range w.listed() {
			u.list()
		}
	}
}

func (w *world) listed() []*upstream {
	w.listMu.Lock()
	defer w.listMu.Unlock()
	return slices.Clone(w.upstreams)
}

// configure writes the configuration with the keys in force.
func (w *world) configure() {
	w.listMu.Lock()
	defer w.listMu.Unlock()
	w.version += 3
	c := &catalog.Catalog{
		Version: w.version, RequireKeys: true, Limits: catalog.Limits{BodyBytes: 1 << 20, HeaderBytes: 1 << 14},
		Services: make(map[id.Service]*catalog.Service), Workspaces: make(map[string]*catalog.Workspace),
	}
	for _, name := range []id.Service{deskService, modelService} {
		c.Services[name] = &catalog.Service{Name: name, Cold: catalog.ColdLimit{Duration: coldFor, RequestsPerSecond: w.bounds.coldRate}}
	}
	for _, r := range routesServed {
		c.Routes = append(c.Routes, catalog.Route{
			Name: id.Route(r.kind.String()), Host: hostName, PathPrefix: "/" + r.kind.String() + "/", Kind: r.kind, Timeout: callerDeadline,
			Priority: r.priority, MaxAttempts: 2, Services: []catalog.WeightedService{{Service: r.service(), Weight: 1}},
		})
	}
	for key, name := range w.keys {
		priority := workspacePriorities[name]
		c.Workspaces[key] = &catalog.Workspace{Name: name, Priority: &priority}
	}
	require.NoError(w.t, w.store.PutCatalog(c))
}

// ServeHTTP runs a request, or does what the upstream's mode says.
func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender broke off: nothing has run
	}
	u.mu.Lock()
	mode := u.mode
	u.mu.Unlock()
	job := standin.ParseReplicaRequest(r.Header)
	if mode == "full" || job.ExpectedReplica != u.name {
		standin.RefuseRequest(rw, job, u.name)
		return
	}
	x := &arrival{
		at: u.w.now(), request: job.Request, upstream: u.name, service: u.service, workspace: job.Workspace,
		urgency: job.Urgency, ran: true, // one that is not said breaks the order of priorities
	}
	u.w.add(func() { u.w.arrivals = append(u.w.arrivals, x) })
	defer u.finished(x)
	standin.SignResponse(rw.Header(), job.Request)
	if u.service == deskService {
		u.w.add(func() { x.began = x.at })
		u.work(rw, r, mode, job.Request, body)
		return
	}
	u.stream(rw, r, mode, job, x)
}

// finished notes that an upstream no longer works on a request.
func (u *upstream) finished(x *arrival) {
	u.mu.Lock()
	disturbed := u.disturbed
	u.mu.Unlock()
	u.w.add(func() {
		x.ended = u.w.now()
		x.broke = disturbed != 0 && disturbed >= x.at-u.w.bounds.contact
	})
}

func (u *upstream) work(rw http.ResponseWriter, r *http.Request, mode string, rq id.Request, body []byte) {
	select {
	case <-time.After(time.Duration(rand.Int64N(int64(workMax)))):
	case <-r.Context().Done():
		return
	}
	text := wholeAnswer(rq, body)
	switch mode {
	case "failing":
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case "cutting":
		rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(rw, text[:len(text)/2]) // the connection is reset next
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(rw, text) // a caller that has left is seen by the checks
}

func wholeAnswer(rq id.Request, body []byte) string {
	return fmt.Sprintf("answer to %s, %d bytes %x", rq, len(body), body[:min(len(body), 16)])
}

func (u *upstream) stream(rw http.ResponseWriter, r *http.Request, mode string, job standin.ReplicaRequest, x *arrival) {
	if mode == "failing" {
		u.w.add(func() { x.began = u.w.now() })
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := job.LastEventID + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, job.Request, n)
		if n == job.LastEventID+1 {
			u.w.add(func() { x.began = u.w.now() })
		}
		if mode == "cutting" && n == streamEvents/2 {
			_, _ = io.WriteString(rw, event[:len(event)/2]) // the connection is reset next
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(rw, event) // a caller that has left is seen by the checks
		if err := http.NewResponseController(rw).Flush(); err != nil {
			return // nobody takes the rest
		}
	}
}
