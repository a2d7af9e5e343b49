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

	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	deskService  = "desk"
	modelService = "model"
	dataCentre   = "th-a"
	hostName     = "desk.example"
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

// clockErrors are how far the clock of the first entry is off, in turn.
var clockErrors = []string{"0s", "4s", "-4s"}

// upstream is a stand-in whose address is that of a proxy.
type upstream struct {
	w       *world
	name    string
	service string
	server  *httptest.Server
	link    *ragworttest.Proxy
	born    int64
	cold    time.Time // until

	mu    sync.Mutex
	seq   int
	state string        // ready or draining; empty: it is gone
	mode  string        // empty: sound; full, failing or cutting
	hurt  time.Duration // when its link or itself was last disturbed, with what follows
}

// node is one entry, whose process is started again whenever it ends.
type node struct {
	w        *world
	name     string
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
	version   int
	keys      map[string]string // key to workspace
}

func newWorld(t testing.TB, rng *rand.Rand, entries int) *world {
	w := &world{t: t, rng: rng, store: standin.NewStore(), hangUp: make(chan struct{}), quit: make(chan struct{}), keys: map[string]string{"key-a": "ws-a", "key-b": "ws-b"}}
	w.bounds = promised
	w.start = time.Now()
	for key := range w.keys {
		w.changes = append(w.changes, change{what: "key_added", name: key})
	}
	for range 3 {
		w.addUpstream(deskService, false)
		w.addUpstream(modelService, false)
	}
	w.configure()
	server := httptest.NewServer(w.store.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections) // a silent link would keep them
	address := strings.TrimPrefix(server.URL, "http://")
	dir := t.TempDir()
	for i := range entries {
		w.nodes = append(w.nodes, &node{
			w: w, name: fmt.Sprint("entry-", i), settings: filepath.Join(dir, fmt.Sprint(i, ".json")), link: ragworttest.NewProxy(t, address),
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
	for _, u := range w.store.Usage() {
		w.reports = append(w.reports, report{at: u.At.Sub(w.start), UsageSeen: u})
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
		process := ragworttest.Start(n.w.t, "entry", n.callers, args...)
		n.mu.Lock()
		n.process, n.ordered = process, 0
		n.life++
		n.mu.Unlock()
		for !process.Ended() && n.w.sleep(stallCheck) {
		}
		n.mu.Lock()
		ordered, faulty := n.ordered, n.faulty
		n.rotated = false
		n.mu.Unlock()
		select {
		case <-n.w.quit:
			return
		default:
		}
		// One that is told to end says so in its last line: a crash would not.
		if graceful := ordered == syscall.SIGTERM; ordered == 0 && !faulty || graceful && !strings.Contains(process.Log.Tail(), "event=stop") {
			n.w.add(func() {
				n.w.ends = append(n.w.ends, fmt.Sprintf("%s ended by itself at %v: %s", n.name, n.w.now(), process.Log.Tail()))
			})
		}
		if !n.w.sleep(100 * time.Millisecond) {
			return
		}
	}
}

// end orders the process to end.
func (n *node) end(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && !n.process.Ended() {
		n.ordered = s
		n.process.Signal(n.w.t, s)
	}
}

// signal sends a signal that does not end the process.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && !n.process.Ended() {
		n.process.Signal(n.w.t, s)
	}
}

// write writes the settings file; a suffix makes it faulty.
func (n *node) write(suffix string) {
	var seeds []string
	for _, other := range n.w.nodes {
		seeds = append(seeds, other.peers)
	}
	b := n.w.bounds
	text, err := json.Marshal(map[string]any{
		"node": n.name, "data_centre": dataCentre, "seeds": seeds, "memory_mb": 200, "duties": []string{"usage"},
		"listen":        map[string]string{"callers": n.callers, "ready": n.ready, "peers": n.peers},
		"store_address": n.link.Address(), "duty_address": n.link.Address(),
		"bounds": map[string]float64{
			"config_ms": float64(b.config.Milliseconds()), "retry_ratio": b.retryRatio, "retry_slack": b.retrySlack,
			"retry_window_s": b.retryWindow.Seconds(), "grace_s": b.grace.Seconds(), "lease_ms": float64(b.lease.Milliseconds()),
			"window_s": b.window.Seconds(), "usage_late_s": b.usageLate.Seconds(),
		},
	})
	require.NoError(n.w.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faulty = suffix != ""
	require.NoError(n.w.t, os.WriteFile(n.settings, append(text, suffix...), 0o600))
}

// addUpstream lists one more upstream. One that comes while callers are served is cold.
func (w *world) addUpstream(service string, cold bool) {
	w.listMu.Lock()
	defer w.listMu.Unlock()
	w.made++
	u := &upstream{w: w, name: fmt.Sprint("i-", w.made), service: service, state: "ready", born: time.Now().UnixMilli()}
	u.server = httptest.NewServer(u)
	w.t.Cleanup(func() {
		u.server.CloseClientConnections()
		u.server.Close()
	})
	u.link = ragworttest.NewProxy(w.t, strings.TrimPrefix(u.server.URL, "http://"))
	if cold {
		u.cold = time.Now().Add(coldFor)
		now := w.now()
		w.changed(change{what: "cold", name: u.name, span: span{now, now + coldFor}})
	}
	w.upstreams = append(w.upstreams, u)
	u.list()
}

// list writes the upstream's entry.
func (u *upstream) list() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.state == "" {
		return
	}
	u.seq++
	u.w.store.Put("keyed.servers", u.name, fmt.Appendf(nil,
		`{"Service":%q,"Addr":%q,"Zone":%q,"State":%q,"ColdLeftMs":%d,"Slots":64,"Seq":%d,"born":%d}`,
		u.service, u.link.Address(), dataCentre, u.state, max(0, time.Until(u.cold).Milliseconds()), u.seq, u.born))
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
	byName := map[string][]string{"ws-a": {}, "ws-b": {}}
	for key, name := range w.keys {
		byName[name] = append(byName[name], key)
	}
	var routes []map[string]any
	for _, r := range routesServed {
		wire := string(r.kind)
		switch r.kind {
		case once:
			wire = "unsafe"
		case resumable:
			wire = "stream"
		case safe, stream:
		}
		routes = append(routes, map[string]any{
			"Name": string(r.kind), "Host": hostName, "PathPrefix": "/" + string(r.kind) + "/", "RouteKind": wire, "Resumable": r.kind == resumable,
			"TimeoutMs": 3000, "GoalMs": 300, "Priority": r.priority, "Service": r.service(), "Attempts": 2,
		})
	}
	text, err := json.Marshal(map[string]any{
		"Version": w.version, "Routes": routes, "Limits": map[string]int{"MaxBodyBytes": 1 << 20, "MaxHeaderBytes": 1 << 14, "IdleTimeoutMs": 30_000},
		"Services": []map[string]any{
			{"Name": deskService, "ColdS": coldFor.Seconds(), "ColdPerS": w.bounds.coldRate},
			{"Name": modelService, "ColdS": coldFor.Seconds(), "ColdPerS": w.bounds.coldRate},
		},
		"Tenants": []map[string]any{
			{"Name": "ws-a", "Priority": 0, "ApiKeys": byName["ws-a"]},
			{"Name": "ws-b", "Priority": 1, "ApiKeys": byName["ws-b"]},
		},
	})
	require.NoError(w.t, err)
	w.store.Put("keyed.op", "config", text)
}

// ServeHTTP runs a request, or does what the upstream's mode says.
func (u *upstream) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the sender broke off: nothing has run
	}
	u.mu.Lock()
	mode, expected := u.mode, r.Header.Get("X-Expect-Replica")
	u.mu.Unlock()
	rq := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", rq)
	if mode == "full" || expected != u.name {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusMisdirectedRequest}[expected == u.name])
		return
	}
	urgency, err := strconv.Atoi(r.Header.Get("X-Request-Urgency"))
	if err != nil {
		urgency = -1 // breaks the order of priorities, which is checked
	}
	x := &arrival{at: u.w.now(), request: rq, upstream: u.name, service: u.service, workspace: r.Header.Get("X-Tenant"), urgency: urgency, ran: true}
	u.w.add(func() { u.w.arrivals = append(u.w.arrivals, x) })
	defer u.w.finished(x, u)
	rw.Header().Set("X-Replica-Stamp", "signed")
	if u.service == deskService {
		u.w.add(func() { x.began = x.at })
		u.work(rw, r, mode, rq, body)
		return
	}
	u.stream(rw, r, mode, rq, x)
}

// finished notes that an upstream no longer works on a request.
func (w *world) finished(x *arrival, u *upstream) {
	u.mu.Lock()
	hurt := u.hurt
	u.mu.Unlock()
	w.add(func() {
		x.ended = w.now()
		x.broke = x.broke || hurt >= x.at-w.bounds.contact && hurt != 0
	})
}

func (u *upstream) work(rw http.ResponseWriter, r *http.Request, mode, rq string, body []byte) {
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

func wholeAnswer(rq string, body []byte) string {
	return fmt.Sprintf("answer to %s, %d bytes %x", rq, len(body), body[:min(len(body), 16)])
}

func (u *upstream) stream(rw http.ResponseWriter, r *http.Request, mode, rq string, x *arrival) {
	if mode == "failing" {
		u.w.add(func() { x.began = u.w.now() })
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0 // a stream from its start
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventPause):
		case <-r.Context().Done():
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", n, rq, n)
		if n == after+1 {
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
