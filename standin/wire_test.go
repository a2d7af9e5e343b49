package standin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/standin"
)

// TestWireIsWhatTheAdapterReads writes with the stand-in and reads with the adapter.
func TestWireIsWhatTheAdapterReads(t *testing.T) {
	s := standin.NewStore()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	out := platform.New(&gateway.Settings{StoreAddress: strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger())
	priority := 2
	route := func(name id.Route, k catalog.Kind) catalog.Route {
		return catalog.Route{
			Name: name, Host: "desk.example", PathPrefix: "/" + string(name) + "/", Kind: k, Timeout: 2 * time.Second, LatencyObjective: time.Second,
			MaxEventGap: 300 * time.Millisecond, Priority: 1, MaxAttempts: 2, Public: true, PromptAffinity: true,
			Services: []catalog.WeightedService{{Service: "desk", Weight: 3}, {Service: "old", Weight: 1}},
		}
	}
	c := &catalog.Catalog{
		Version: 7, RequireKeys: true,
		Routes:     []catalog.Route{route("a", catalog.KindSafe), route("b", catalog.KindOnce), route("c", catalog.KindStream), route("d", catalog.KindResumable)},
		Services:   map[id.Service]*catalog.Service{"desk": {Name: "desk", Cold: catalog.ColdLimit{Duration: 3 * time.Second, RequestsPerSecond: 18}}},
		Limits:     catalog.Limits{HeaderBytes: 100, BodyBytes: 200},
		Workspaces: map[string]*catalog.Workspace{"key": {Name: "ws", Priority: &priority}},
	}
	c.Index()
	require.NoError(t, s.PutCatalog(c))
	s.SetEvacuated("th-b", true)
	page, err := out.OperatorTopic.Newest(t.Context())
	require.NoError(t, err)
	require.Len(t, page.Records, 2)
	for _, r := range page.Records {
		change, err := out.Decoder.DecodeChange(r)
		require.NoError(t, err)
		switch change := change.(type) {
		case *gateway.CatalogChange:
			require.Equal(t, c, change.Catalog)
		case *gateway.Evacuation:
			require.Equal(t, &gateway.Evacuation{DataCentre: "th-b", Active: true}, change)
		default:
			require.Fail(t, "another change", "%T", change)
		}
	}

	l := pool.Listing{ID: "i-1", Service: "desk", Address: "192.0.2.1:80", DataCentre: "th-a", Draining: true, Slots: 8, ColdFor: time.Second, StartUnixMS: 9}
	require.NoError(t, s.PutListing(l))
	page, err = out.UpstreamTopic.Newest(t.Context())
	require.NoError(t, err)
	require.Len(t, page.Records, 1)
	got, err := out.Decoder.DecodeListing(page.Records[0])
	require.NoError(t, err)
	require.Equal(t, l, got)
}

// TestHeadersAreWhatTheAdapterReads does the same for requests and answers.
func TestHeadersAreWhatTheAdapterReads(t *testing.T) {
	h := make(http.Header)
	standin.SetRequestHeaders(h, "rq", "key", 3*time.Second)
	ask := platform.HeaderCodec{}.ParseRequest(h)
	require.Equal(t, gateway.RequestInfo{ID: "rq", Key: "key", Timeout: 3 * time.Second}, ask)
	platform.HeaderCodec{}.SetUpstreamHeaders(h, gateway.UpstreamRequestInfo{Upstream: "i-1", Workspace: "ws", Timeout: time.Second, Urgency: 4, LastEventID: 5, Resumes: true})
	job := standin.ParseReplicaRequest(h)
	require.Equal(t, standin.ReplicaRequest{Request: "rq", ExpectedReplica: "i-1", Workspace: "ws", Urgency: 4, LastEventID: 5}, job)
	require.Equal(t, -1, standin.ParseReplicaRequest(http.Header{}).Urgency)

	for _, tc := range []struct {
		self id.Upstream
		want gateway.ResponseInfo
	}{{"i-1", gateway.ResponseInfo{RequestID: "rq", NotRun: true}}, {"i-2", gateway.ResponseInfo{RequestID: "rq", NotRun: true, Misdirected: true}}} {
		w := httptest.NewRecorder()
		standin.RefuseRequest(w, job, tc.self)
		require.Equal(t, tc.want, platform.HeaderCodec{}.ParseResponse(w.Result()))
	}
	w := httptest.NewRecorder()
	standin.SignResponse(w.Header(), "rq")
	require.Equal(t, gateway.ResponseInfo{RequestID: "rq", Signed: true}, platform.HeaderCodec{}.ParseResponse(w.Result()))
	require.Equal(t, id.Request("rq"), standin.ResponseRequestID(w.Header()))
}
