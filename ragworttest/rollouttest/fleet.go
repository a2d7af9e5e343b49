package rollouttest

// This file defines Fleet: real gateways, each with a link to the store of its own, and the replicas and the
// callers of several services.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// gatewayCount is how many gateways a fleet has.
const gatewayCount = 5

// TestedBounds are the bounds that the settings of a fleet name, as on the users' sheets.
var TestedBounds = Bounds{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second}

// The replicas of each version of a service, and what they do.
const (
	replicaCount = 2
	replicaWork  = 80 * time.Millisecond
)

// Gateway is a real gateway of a Fleet.
type Gateway struct {
	Name         id.Node
	fleet        *Fleet
	settingsPath string
	callers      string
	ready        string
	peers        string
	storeServer  *httptest.Server

	mu      sync.Mutex
	process *ragworttest.Process
	ended   []*ragworttest.Process // that were killed
	down    bool                   // it is not to get requests
	cut     bool                   // it does not reach the store
}

// Fleet is a store, replicas, and gateways as processes of their own.
type Fleet struct {
	Store    *standin.Store
	Replicas *standin.Replicas
	Gateways []*Gateway

	t   testing.TB
	ctx context.Context

	mu     sync.Mutex
	writer *Gateway // that has last written about roll-outs; nil: none
}

// NewFleet starts gateways and two replicas of the old version of each service.
func NewFleet(t testing.TB, services ...id.Service) *Fleet {
	t.Helper()
	f := &Fleet{t: t, Store: standin.NewStore()}
	f.Replicas = standin.NewReplicas(f.Store)
	ctx, cancel := context.WithCancel(context.Background())
	f.ctx = ctx
	var running sync.WaitGroup
	running.Go(func() { f.Replicas.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
		if t.Failed() {
			for _, g := range f.Gateways {
				g.logRollouts()
			}
		}
	})
	for _, service := range services {
		for _, cfg := range ReplicaConfigs(service, "v1", standin.Defect{}) {
			_, err := f.Replicas.Start(cfg)
			require.NoError(t, err)
		}
	}
	f.putCatalog(services)
	for i := range gatewayCount {
		f.addGateway(id.Node(fmt.Sprint("entry-", i)))
	}
	for _, g := range f.Gateways {
		g.writeSettings()
		g.Start()
	}
	for _, g := range f.Gateways {
		g.WaitReady()
	}
	return f
}

// StoreAddress returns the address at which operators reach the store.
func (f *Fleet) StoreAddress() string {
	return strings.TrimPrefix(f.Gateways[0].storeServer.URL, "http://")
}

// ReplicaConfigs returns the replicas that a service has of a version.
func ReplicaConfigs(service id.Service, version id.Version, d standin.Defect) (configs []standin.ReplicaConfig) {
	for range replicaCount {
		configs = append(configs, standin.ReplicaConfig{Service: service, Version: version, DataCentre: "th-a", Work: replicaWork, Defect: d})
	}
	return configs
}

// Order orders a roll-out whose replicas are as many as those of the old version.
func (f *Fleet) Order(service id.Service, target id.Version, within time.Duration, d standin.Defect) *standin.Rollout {
	f.t.Helper()
	r, err := f.Replicas.Order(f.ctx, standin.RolloutOrder{Service: service, Target: target, Within: within, Replicas: ReplicaConfigs(service, target, d)})
	require.NoError(f.t, err)
	return r
}

func (f *Fleet) putCatalog(services []id.Service) {
	c := &catalog.Catalog{Version: 3, Limits: catalog.Limits{BodyBytes: 65536}, Services: make(map[id.Service]*catalog.Service)}
	for _, service := range services {
		c.Services[service] = &catalog.Service{Name: service}
		for prefix, kind := range map[string]catalog.Kind{"/look/": catalog.KindSafe, "/stream/": catalog.KindStream} {
			c.Routes = append(c.Routes, catalog.Route{
				Name: id.Route(string(service) + prefix[:len(prefix)-1]), Host: HostOf(service), PathPrefix: prefix, Kind: kind, Timeout: callerDeadline,
				LatencyObjective: 4 * replicaWork, MaxAttempts: 2, Services: []catalog.WeightedService{{Service: service, Weight: 1}},
			})
		}
	}
	require.NoError(f.t, f.Store.PutCatalog(c))
}

func (f *Fleet) addGateway(name id.Node) {
	g := &Gateway{
		Name: name, fleet: f, settingsPath: filepath.Join(f.t.TempDir(), "settings.json"),
		callers: ragworttest.FreeAddress(f.t), ready: ragworttest.FreeAddress(f.t), peers: ragworttest.FreeAddress(f.t),
	}
	recorded := standin.RecordAppends(f.Store.Handler(), g.recordAppend)
	g.storeServer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.isCut() {
			panic(http.ErrAbortHandler)
		}
		recorded.ServeHTTP(w, r)
	}))
	f.t.Cleanup(func() {
		g.storeServer.CloseClientConnections()
		g.storeServer.Close()
	})
	f.Gateways = append(f.Gateways, g)
}

// recordAppend records that the gateway writes about roll-outs.
func (g *Gateway) recordAppend(topic string) {
	if topic == standin.StatusTopic || strings.Contains(topic, "rollout") {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		g.fleet.writer = g
	}
}

// Writer returns the gateway that has last written about roll-outs, or else the first that is up.
func (f *Fleet) Writer() *Gateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writer != nil {
		return f.writer
	}
	return f.Gateways[0]
}

func (g *Gateway) isCut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// CutOff cuts the gateway off from the store for a time.
func (g *Gateway) CutOff(d time.Duration) {
	set := func(cut bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.cut = cut
	}
	set(true)
	g.storeServer.CloseClientConnections()
	time.Sleep(d)
	set(false)
}

// writeSettings writes the settings with the bounds of roll-outs.
func (g *Gateway) writeSettings() {
	t := g.fleet.t
	s := &gateway.Settings{
		Node: g.Name, DataCentre: "th-a", StoreAddress: strings.TrimPrefix(g.storeServer.URL, "http://"), MemoryMB: 184,
		Bounds: gateway.Bounds{ConfigMS: 2000, RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10, GraceS: 6, LeaseMS: 3000},
	}
	s.Listen.Callers, s.Listen.Ready, s.Listen.Peers = g.callers, g.ready, g.peers
	for _, other := range g.fleet.Gateways {
		s.Seeds = append(s.Seeds, other.peers)
	}
	text, err := json.Marshal(s)
	require.NoError(t, err)
	text, err = AddBounds(text, TestedBounds)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(g.settingsPath, text, 0o600))
}

// AddBounds adds the bounds of roll-outs to the text of a gateway's settings.
func AddBounds(settings []byte, b Bounds) ([]byte, error) {
	var doc map[string]any
	if err := json.Unmarshal(settings, &doc); err != nil {
		return nil, err
	}
	bounds, ok := doc["bounds"].(map[string]any)
	if !ok {
		return nil, fmt.Errorf("settings without bounds: %.100q", settings)
	}
	bounds["expose_share"], bounds["expose_slack"], bounds["rollback_ms"] = b.ExposeShare, b.ExposeSlack, b.Rollback.Milliseconds()
	return json.Marshal(doc)
}

// Start starts the gateway's process.
func (g *Gateway) Start() {
	p := ragworttest.StartProcess(g.fleet.t, "entry", g.callers, "relay", "--settings", g.settingsPath)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = p
}

// WaitReady waits until the gateway is ready; from then on it gets requests.
func (g *Gateway) WaitReady() {
	ragworttest.Eventually(g.fleet.t, func() bool {
		rs, err := http.Get("http://" + g.ready + "/api/readyz")
		if err != nil {
			return false
		}
		defer rs.Body.Close()
		return rs.StatusCode == http.StatusOK
	}, "%s is ready", g.Name)
	g.setDown(false)
}

func (g *Gateway) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
}

// KillFor kills the gateway and starts it again after a time.
func (g *Gateway) KillFor(d time.Duration) {
	g.setDown(true)
	g.mu.Lock()
	p := g.process
	g.mu.Unlock()
	p.Kill(g.fleet.t)
	g.mu.Lock()
	g.ended = append(g.ended, p)
	g.mu.Unlock()
	time.Sleep(d)
	g.Start()
	g.WaitReady()
}

// logRollouts logs what the gateway has logged of roll-outs.
func (g *Gateway) logRollouts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range append(g.ended, g.process) {
		if p == nil {
			continue // it was not started
		}
		for line := range strings.Lines(p.Log.String()) {
			if strings.Contains(line, "event=rollout") {
				g.fleet.t.Logf("%s: %s", g.Name, strings.TrimSpace(line))
			}
		}
	}
}

// pick returns a random gateway that is up, and its address.
func (f *Fleet) pick() (id.Node, string) {
	first := rand.IntN(len(f.Gateways))
	for i := range f.Gateways {
		g := f.Gateways[(first+i)%len(f.Gateways)]
		g.mu.Lock()
		down := g.down
		g.mu.Unlock()
		if !down {
			return g.Name, g.callers
		}
	}
	return f.Gateways[first].Name, f.Gateways[first].callers
}

// Send sends requests for a service to the gateways that are up until the load is stopped, at the latest
// when the test ends.
func (f *Fleet) Send(service id.Service, perSecond int) *Load {
	l := StartLoad(service, perSecond, f.pick)
	f.t.Cleanup(func() { l.Stop() })
	return l
}

// Exposure returns what a roll-out has exposed so far, and logs it.
func (f *Fleet) Exposure(r *standin.Rollout) Exposure {
	f.t.Helper()
	record := r.Record()
	e := Count(f.Replicas.Runs(), &record, TestedBounds, NoExcuse)
	f.t.Logf("%s to %s: %v", record.Service, record.Target, e)
	for _, c := range record.Statuses {
		f.t.Logf("%s: %s of %s after %.1f s", record.Service, c.State, c.Target, c.At.Sub(record.OrderedAt).Seconds())
	}
	return e
}
