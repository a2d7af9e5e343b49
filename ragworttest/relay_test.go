package ragworttest_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
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

// relays is a fleet of real relay processes before a store and upstreams of the test.
type relays struct {
	t     *testing.T
	store *standin.Store
	base  string // address of the store
	seeds []string
	nodes []*relay

	mu      sync.Mutex
	ran     map[id.Request]int
	booked  map[id.Request]int // the same, of calls that must not be repeated
	version catalog.Version
}

// relay is one node, whose process may be started again.
type relay struct {
	name     id.Node
	settings string // path
	callers  string
	ready    string
	peers    string
	process  *ragworttest.Process
}

const relayWindow = time.Second

func newRelays(t *testing.T, n int) *relays {
	f := &relays{t: t, store: standin.NewStore(), ran: make(map[id.Request]int), booked: make(map[id.Request]int)}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	f.base = strings.TrimPrefix(server.URL, "http://")
	f.upstream("i-1")
	f.upstream("i-2")
	f.configure("key-1", "key-2")
	for i := range n {
		r := &relay{
			name: id.Node(fmt.Sprint("entry-", i)), settings: filepath.Join(t.TempDir(), "settings.json"),
			callers: ragworttest.FreeAddress(t), ready: ragworttest.FreeAddress(t), peers: ragworttest.FreeAddress(t),
		}
		f.seeds = append(f.seeds, r.peers)
		f.nodes = append(f.nodes, r)
	}
	for _, r := range f.nodes {
		f.write(r)
		f.start(r)
	}
	for _, r := range f.nodes {
		f.ready(r)
	}
	return f
}

// upstream lists an upstream that takes a few milliseconds and notes what it ran.
func (f *relays) upstream(name id.Upstream) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rq := standin.ParseReplicaRequest(r.Header).Request
		f.mu.Lock()
		f.ran[rq]++
		if r.Method == http.MethodPost {
			f.booked[rq]++
		}
		f.mu.Unlock()
		standin.SignResponse(w.Header(), rq)
		_, _ = io.WriteString(w, "answer to "+string(rq))
	}))
	f.t.Cleanup(server.Close)
	require.NoError(f.t, f.store.PutListing(pool.Listing{
		ID: name, Service: "desk", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "th-a", Slots: 8, StartUnixMS: 1,
	}))
}

// configure puts a configuration with the given keys of one workspace in force.
func (f *relays) configure(keys ...string) {
	f.version += 3
	route := func(name id.Route, k catalog.Kind, attempts int) catalog.Route {
		return catalog.Route{
			Name: name, Host: "desk.example", PathPrefix: "/" + string(name) + "/", Kind: k, Timeout: 2 * time.Second,
			MaxAttempts: attempts, Services: []catalog.WeightedService{{Service: "desk", Weight: 1}},
		}
	}
	c := &catalog.Catalog{
		Version: f.version, RequireKeys: true, Limits: catalog.Limits{BodyBytes: 65536},
		Routes:     []catalog.Route{route("book", catalog.KindOnce, 1), route("look", catalog.KindSafe, 2)},
		Services:   map[id.Service]*catalog.Service{"desk": {Name: "desk"}},
		Workspaces: make(map[string]*catalog.Workspace),
	}
	for _, key := range keys {
		c.Workspaces[key] = &catalog.Workspace{Name: "ws"}
	}
	require.NoError(f.t, f.store.PutCatalog(c))
}

func (f *relays) write(r *relay) {
	s := &gateway.Settings{
		Node: r.name, DataCentre: "th-a", Seeds: f.seeds, StoreAddress: f.base, DutyAddress: f.base, Duties: []string{"usage"}, MemoryMB: 200,
		Bounds: gateway.Bounds{
			ConfigMS: 2000, RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10, GraceS: 6, LeaseMS: 500,
			WindowS: relayWindow.Seconds(), UsageLateS: 8,
		},
	}
	s.Listen.Callers, s.Listen.Ready, s.Listen.Peers = r.callers, r.ready, r.peers
	text, err := json.Marshal(s)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(r.settings, text, 0o600))
}

func (f *relays) start(r *relay) {
	r.process = ragworttest.StartProcess(f.t, "entry", r.callers, "relay", "--settings", r.settings)
}

func (f *relays) ready(r *relay) {
	ragworttest.Eventually(f.t, func() bool { return f.isReady(r) }, "%s is ready", r.name)
}

func (f *relays) isReady(r *relay) bool {
	rs, err := http.Get("http://" + r.ready + "/api/readyz")
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// tally is what callers got.
type tally struct {
	served, refused, cut atomic.Int64
	faults               sync.Map // text to struct{}
}

func (a *tally) fault(format string, args ...any) {
	a.faults.Store(fmt.Sprintf(format, args...), struct{}{})
}

func (a *tally) none(t *testing.T) {
	a.faults.Range(func(text, _ any) bool {
		require.Fail(t, text.(string))
		return true
	})
}

// call sends one request to a node that is ready, and judges the answer.
func (f *relays) call(client *http.Client, r *relay, method, path string, into *tally) {
	rq, err := http.NewRequest(method, "http://"+r.callers+path, strings.NewReader("steel"))
	if err != nil {
		into.fault("%v", err)
		return
	}
	name := id.Request(fmt.Sprintf("%016x", rand.Uint64()))
	rq.Host = "desk.example"
	standin.SetRequestHeaders(rq.Header, name, "key-1", 2*time.Second)
	rs, err := client.Do(rq)
	if err != nil {
		into.cut.Add(1)
		return
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	f.mu.Lock()
	ran := f.ran[name]
	f.mu.Unlock()
	switch {
	case err != nil:
		into.cut.Add(1)
	case rs.StatusCode == http.StatusOK && string(body) == "answer to "+string(name):
		into.served.Add(1)
	case rs.StatusCode == http.StatusOK:
		into.fault("an answer to another request: %q", body)
	case rs.StatusCode == http.StatusServiceUnavailable && ran > 0:
		into.fault("a request that ran was refused as not run")
	case rs.StatusCode == http.StatusUnauthorized, rs.StatusCode == http.StatusNotFound:
		into.fault("%d for a key and a route that always were in force", rs.StatusCode)
	default:
		into.refused.Add(1)
	}
}

// load calls nodes that are ready from several callers until stop is called.
func (f *relays) load(callers int) (into *tally, stop func()) {
	into = &tally{}
	ctx, cancel := context.WithCancel(f.t.Context())
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 5 * time.Second}
			for n := i; ctx.Err() == nil; n++ {
				r := f.nodes[n%len(f.nodes)]
				if !f.isReady(r) {
					continue
				}
				method, path := http.MethodGet, "/look/x"
				if n%3 == 0 {
					method, path = http.MethodPost, "/book/x"
				}
				f.call(client, r, method, path, into)
			}
		})
	}
	return into, func() {
		cancel()
		wg.Wait()
	}
}

// usageFaults says where reports of windows differ, or terms go back.
func (f *relays) usageFaults() error {
	seen := map[int64]map[string]uint64{}
	var last uint64
	for _, u := range f.store.UsageReports() {
		if old, known := seen[u.WindowID]; known && fmt.Sprint(old) != fmt.Sprint(u.Counts) {
			return fmt.Errorf("window %d was reported as %v and as %v", u.WindowID, old, u.Counts)
		}
		seen[u.WindowID] = u.Counts
		if u.FencingNumber < last {
			return errors.New("a fencing number went back")
		}
		last = u.FencingNumber
	}
	return nil
}

// TestRelaysUnderSignals puts load on three processes while they are stopped, killed,
// started again and told of faulty settings, and while the configuration changes.
func TestRelaysUnderSignals(t *testing.T) {
	f := newRelays(t, 3)
	into, stop := f.load(6)
	settle := func() {
		from := into.served.Load()
		ragworttest.Eventually(t, func() bool { return into.served.Load() > from+100 }, "callers are served")
	}
	settle()

	f.nodes[0].process.Signal(t, syscall.SIGTERM)
	f.configure("key-1")
	f.nodes[0].process.WaitExit(t)
	require.Zero(t, into.cut.Load(), "a graceful end cuts nothing")
	f.start(f.nodes[0])
	f.ready(f.nodes[0])
	settle()

	require.NoError(t, os.WriteFile(f.nodes[1].settings, []byte(`{"node":`), 0o600))
	f.nodes[1].process.Signal(t, syscall.SIGHUP)
	ragworttest.Eventually(t, func() bool { return strings.Contains(f.nodes[1].process.Log.String(), "event=reload_refused") }, "faulty settings are refused")
	f.write(f.nodes[1])
	f.nodes[1].process.Signal(t, syscall.SIGHUP)
	ragworttest.Eventually(t, func() bool { return strings.Contains(f.nodes[1].process.Log.String(), "event=reloaded") }, "good settings are taken")
	settle()
	require.Zero(t, into.cut.Load())

	f.nodes[1].process.Kill(t)
	f.start(f.nodes[1])
	f.ready(f.nodes[1])
	f.configure("key-1", "key-3")
	settle()

	before := len(f.store.UsageReports())
	ragworttest.Eventually(t, func() bool { return len(f.store.UsageReports()) > before+2 }, "usage is reported")
	stop()
	into.none(t)
	require.NoError(t, f.usageFaults())
	f.mu.Lock()
	defer f.mu.Unlock()
	for rq, n := range f.booked {
		require.Equal(t, 1, n, rq)
	}
	for rq, n := range f.ran {
		require.LessOrEqual(t, n, 2, rq)
	}
	t.Logf("%d served, %d refused, %d cut", into.served.Load(), into.refused.Load(), into.cut.Load())
}

// TestRelayStartsWithoutTheStore starts a process while the store answers nobody: it
// takes its views from its peers and serves.
func TestRelayStartsWithoutTheStore(t *testing.T) {
	f := newRelays(t, 2)
	f.nodes[1].process.Kill(t)
	f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	f.start(f.nodes[1])
	f.ready(f.nodes[1])
	into := &tally{}
	ragworttest.Eventually(t, func() bool {
		f.call(http.DefaultClient, f.nodes[1], http.MethodGet, "/look/x", into)
		return into.served.Load() > 0
	}, "a process without the store serves")
	into.none(t)

	f.nodes[0].process.Kill(t)
	f.nodes[1].process.Kill(t)
	f.start(f.nodes[0])
	ragworttest.Eventually(t, func() bool {
		rs, err := http.Get("http://" + f.nodes[0].callers + "/look/x")
		if err != nil {
			return false
		}
		defer rs.Body.Close()
		return rs.StatusCode == http.StatusBadRequest || rs.StatusCode == http.StatusServiceUnavailable
	}, "a process that knows nothing answers")
	require.False(t, f.isReady(f.nodes[0]), "alone, it knows no configuration")
	f.store.SetFaults(standin.StoreFaults{})
	f.ready(f.nodes[0])
}

// TestLastRelayStaysReady tells both processes to end, one after the other: the second
// stays ready for a moment, as nobody else would take its callers, and both end.
func TestLastRelayStaysReady(t *testing.T) {
	f := newRelays(t, 2)
	first, last := f.nodes[0], f.nodes[1]
	client := &http.Client{}
	into := &tally{}
	ctx, cancel := context.WithCancel(t.Context())
	var kept sync.WaitGroup
	kept.Go(func() { // a request now and then keeps the first from ending early
		for ctx.Err() == nil && !first.process.Exited() {
			f.call(client, first, http.MethodGet, "/look/x", into)
		}
	})
	first.process.Signal(t, syscall.SIGTERM)
	ragworttest.Eventually(t, func() bool { return !f.isReady(first) }, "the first is unready while the other stays")
	last.process.Signal(t, syscall.SIGTERM)
	ragworttest.Eventually(t, func() bool { return strings.Contains(last.process.Log.String(), "event=leaving") }, "the last is told")
	ragworttest.Eventually(t, func() bool { return f.isReady(last) }, "the last stays ready")
	f.call(client, last, http.MethodPost, "/book/x", into)
	ragworttest.Eventually(t, func() bool { return !f.isReady(last) }, "the last is unready in time")
	last.process.WaitExit(t)
	cancel()
	kept.Wait()
	require.Positive(t, into.served.Load())
	into.none(t)
}

// TestRelaysStartBesideAPartialOutage ends all processes while the store answers for
// none of the platform's own topics: they serve from the copies that they kept.
func TestRelaysStartBesideAPartialOutage(t *testing.T) {
	f := newRelays(t, 2)
	ragworttest.Eventually(t, func() bool {
		return f.store.Len(standin.CopyPartition(standin.OperatorsTopic, 1)) > 0 && f.store.Len(standin.CopyPartition(standin.ReplicasTopic, 1)) > 0
	}, "both topics are copied")
	for _, r := range f.nodes {
		r.process.Kill(t)
	}
	f.store.SetFaults(standin.StoreFaults{UnavailablePartitions: []string{standin.OperatorsTopic, standin.ReplicasTopic}})
	for _, r := range f.nodes {
		f.start(r)
	}
	for _, r := range f.nodes {
		f.ready(r)
	}
	into := &tally{}
	ragworttest.Eventually(t, func() bool {
		f.call(http.DefaultClient, f.nodes[0], http.MethodPost, "/book/x", into)
		f.call(http.DefaultClient, f.nodes[1], http.MethodGet, "/look/x", into)
		return into.served.Load() >= 2
	}, "processes that know only copies serve")

	f.store.SetFaults(standin.StoreFaults{})
	f.configure("key-2")
	ragworttest.Eventually(t, func() bool {
		rq, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[0].callers+"/look/x", http.NoBody)
		require.NoError(t, err)
		rq.Host = "desk.example"
		standin.SetRequestHeaders(rq.Header, "withdrawn", "key-1", 2*time.Second)
		rs, err := http.DefaultClient.Do(rq)
		require.NoError(t, err)
		defer rs.Body.Close()
		return rs.StatusCode == http.StatusUnauthorized
	}, "a withdrawn key is refused after the outage")
	into.none(t)
}
