package crowd_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
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
	host     = "desk.example"
	crowdKey = "key-crowd" // of a workspace that no ordinary caller belongs to
	key      = "key-1"
	// answerBytes is what an upstream answers, and routeTimeout what a request may take.
	answerBytes  = 256 << 10
	routeTimeout = 20 * time.Second
)

var gatewayDoors = []string{"route", "no_route", "ready", "metrics", "peers", "peers_call"}

// startGateway starts a relay process with one upstream.
func startGateway(t *testing.T, memoryMB float64, maxDescriptors int, limits catalog.Limits) (p *ragworttest.Process, s *gateway.Settings) {
	store := standin.NewStore()
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(storeServer.Close)
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		standin.SignResponse(w.Header(), standin.ParseReplicaRequest(r.Header).Request)
		_, _ = io.WriteString(w, strings.Repeat("x", answerBytes))
	}))
	t.Cleanup(upstream.Close)
	require.NoError(t, store.PutListing(pool.Listing{
		ID: "i-1", Service: "desk", Address: strings.TrimPrefix(upstream.URL, "http://"), DataCentre: "th-a", Slots: 64, StartUnixMS: 1,
	}))
	require.NoError(t, store.PutCatalog(&catalog.Catalog{
		Version: 3, RequireKeys: true, Limits: limits,
		Routes: []catalog.Route{{
			Name: "look", Host: host, PathPrefix: "/look/", Kind: catalog.KindSafe, Timeout: routeTimeout, MaxAttempts: 2,
			Services: []catalog.WeightedService{{Service: "desk", Weight: 1}},
		}},
		Services:   map[id.Service]*catalog.Service{"desk": {Name: "desk"}},
		Workspaces: map[string]*catalog.Workspace{key: {Name: "ws"}, crowdKey: {Name: "crowd"}},
	}))
	address := strings.TrimPrefix(storeServer.URL, "http://")
	s = &gateway.Settings{
		Node: "entry-0", DataCentre: "th-a", StoreAddress: address, DutyAddress: address, Duties: []string{"usage"}, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors,
		Metrics: ragworttest.FreeAddress(t),
		Bounds: gateway.Bounds{
			ConfigMS: 2000, RetryRatio: 0.2, RetrySlack: 50, RetryWindowS: 10, GraceS: 6, LeaseMS: 500, WindowS: 1, UsageLateS: 8,
		},
	}
	s.Listen.Callers, s.Listen.Ready, s.Listen.Peers = ragworttest.FreeAddress(t), ragworttest.FreeAddress(t), ragworttest.FreeAddress(t)
	text, err := json.Marshal(s)
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, text, 0o600))
	p = ragworttest.StartProcess(t, "entry", s.Listen.Callers, "relay", "--settings", path)
	ready := get(s.Listen.Ready, "/api/readyz", "", nil)
	look := get(s.Listen.Callers, "/look/x", host, callerHeader(key))
	ragworttest.Eventually(t, func() bool {
		status, err := ready()
		if err != nil || status != http.StatusOK {
			return false
		}
		status, err = look()
		return err == nil && status == http.StatusOK
	}, "the gateway serves")
	return p, s
}

func callerHeader(key string) http.Header {
	header := make(http.Header)
	standin.SetRequestHeaders(header, "9c41d07be2a35f68", key, routeTimeout)
	return header
}

// newGateway starts a relay process as the target of a crowd.
func newGateway(t *testing.T, maxDescriptors int) *target {
	p, s := startGateway(t, memoryMB, maxDescriptors, catalog.Limits{HeaderBytes: headLimit, BodyBytes: bodyLimit})
	var headers strings.Builder
	fmt.Fprintf(&headers, "Host: %s\r\n", host)
	_ = callerHeader(crowdKey).Write(&headers)
	plain := fmt.Sprintf("Host: %s\r\n", host)
	return &target{
		process: p,
		doors: map[string]door{
			"route": {s.Listen.Callers, "/look/x", headers.String()}, "no_route": {s.Listen.Callers, "/nowhere/x", headers.String()},
			"ready": {s.Listen.Ready, "/api/readyz", plain}, "metrics": {s.Metrics, "/metrics", plain},
			"peers":      {s.Listen.Peers, "/", plain},
			"peers_call": {s.Listen.Peers, "/ragwort.v1.PeerService/Exchange", plain + "Content-Type: application/proto\r\n"},
		},
		ordinary: map[string]func() (int, error){
			"a caller":               get(s.Listen.Callers, "/look/x", host, callerHeader(key)),
			"the check of readiness": get(s.Listen.Ready, "/api/readyz", "", nil),
			"the page of metrics":    get(s.Metrics, "/metrics", "", nil),
		},
	}
}

// TestGatewayMemory has crowds at each door of a gateway.
func TestGatewayMemory(t *testing.T) { runAll(t, gatewayDoors, newGateway) }

// TestGatewayDescriptors has crowds at each door of a gateway that knows how many descriptors it has.
func TestGatewayDescriptors(t *testing.T) { runDescriptors(t, gatewayDoors, newGateway) }

// TestLargestRequestIsServed guards against a limit that a proper caller meets: a head of 16 kB of short fields with a
// body of 4 MB is served by a gateway of the smallest VMs of the users.
func TestLargestRequestIsServed(t *testing.T) {
	const smallestMB, largestHead, largestBody = 184, 16 << 10, 4 << 20
	_, s := startGateway(t, smallestMB, 0, catalog.Limits{HeaderBytes: largestHead, BodyBytes: largestBody})
	header := callerHeader(key)
	size := len("POST /look/x HTTP/1.1") + len("Host: ") + len(host) + len("Content-Length: 4194304") + len("User-Agent: Go-http-client/1.1") + len("Accept-Encoding: gzip")
	for name, values := range header {
		size += len(name) + len(values[0]) + len(": \r\n")
	}
	for n := 0; size < largestHead-20; n++ {
		name := fmt.Sprintf("X%x", n)
		header.Set(name, "")
		size += len(name) + len(": \r\n")
	}
	rq, err := http.NewRequest(http.MethodPost, "http://"+s.Listen.Callers+"/look/x", strings.NewReader(strings.Repeat("x", largestBody)))
	require.NoError(t, err)
	rq.Host, rq.Header = host, header
	rs, err := http.DefaultClient.Do(rq)
	require.NoError(t, err)
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, rs.StatusCode, string(body[:min(len(body), 1000)]))
	require.Len(t, body, answerBytes)
}
