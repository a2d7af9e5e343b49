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

// TestPlatformDecodesRecords guards against a stand-in store whose records differ from those
// that package platform decodes.
func TestPlatformDecodesRecords(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	adapter := platform.New(&gateway.Settings{StoreAddress: strings.TrimPrefix(server.URL, "http://")}, log.NewNopLogger())
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
	require.NoError(t, store.PutCatalog(c))
	store.SetEvacuated("th-b", true)
	page, err := adapter.OperatorTopic.Newest(t.Context())
	require.NoError(t, err)
	require.Len(t, page.Records, 2)
	for _, r := range page.Records {
		change, err := adapter.Decoder.DecodeChange(r)
		require.NoError(t, err)
		switch change := change.(type) {
		case *gateway.CatalogChange:
			require.Equal(t, c, change.Catalog)
		case *gateway.Evacuation:
			require.Equal(t, &gateway.Evacuation{DataCentre: "th-b", Active: true}, change)
		default:
			require.Fail(t, "unexpected change", "%T", change)
		}
	}

	listing := pool.Listing{ID: "i-1", Service: "desk", Address: "192.0.2.1:80", DataCentre: "th-a", Draining: true, Slots: 8, ColdFor: time.Second, StartUnixMS: 9, Sequence: 1}
	require.NoError(t, store.PutListing(listing))
	page, err = adapter.UpstreamTopic.Newest(t.Context())
	require.NoError(t, err)
	require.Len(t, page.Records, 1)
	got, err := adapter.Decoder.DecodeListing(page.Records[0])
	require.NoError(t, err)
	require.Equal(t, listing, got)
}

// TestPlatformParsesUnnamedRefusal guards against a refusal without an ID that package platform does
// not take for one.
func TestPlatformParsesUnnamedRefusal(t *testing.T) {
	w := httptest.NewRecorder()
	standin.MarkNotRun(w.Header(), "")
	w.WriteHeader(http.StatusTooManyRequests)
	require.Empty(t, standin.ResponseRequestID(w.Header()))
	require.Equal(t, gateway.ResponseInfo{NotRun: true}, platform.HeaderCodec{}.ParseResponse(w.Result()))
}

// TestPlatformParsesHeaders guards against a stand-in client or replica whose headers differ
// from those that package platform parses and sets.
func TestPlatformParsesHeaders(t *testing.T) {
	h := make(http.Header)
	standin.SetRequestHeaders(h, "rq", "key", 3*time.Second)
	info := platform.HeaderCodec{}.ParseRequest(h)
	require.Equal(t, gateway.RequestInfo{ID: "rq", Key: "key", Timeout: 3 * time.Second}, info)
	platform.HeaderCodec{}.SetUpstreamHeaders(h, gateway.UpstreamRequestInfo{Upstream: "i-1", Workspace: "ws", Timeout: time.Second, Urgency: 4, LastEventID: 5, Resumes: true})
	request := standin.ParseReplicaRequest(h)
	require.Equal(t, standin.ReplicaRequest{Request: "rq", ExpectedReplica: "i-1", Workspace: "ws", Urgency: 4, LastEventID: 5}, request)
	require.Equal(t, -1, standin.ParseReplicaRequest(http.Header{}).Urgency)

	for _, tc := range []struct {
		self id.Upstream
		want gateway.ResponseInfo
	}{{"i-1", gateway.ResponseInfo{NotRun: true}}, {"i-2", gateway.ResponseInfo{NotRun: true, Misdirected: true}}} {
		w := httptest.NewRecorder()
		standin.RefuseRequest(w, request, tc.self)
		require.Equal(t, tc.want, platform.HeaderCodec{}.ParseResponse(w.Result()))
		require.Equal(t, id.Request("rq"), platform.HeaderCodec{}.ResponseRequestID(w.Header()))
	}
	w := httptest.NewRecorder()
	standin.SignResponse(w.Header(), "rq")
	require.Equal(t, gateway.ResponseInfo{Signed: true}, platform.HeaderCodec{}.ParseResponse(w.Result()))
	require.Equal(t, id.Request("rq"), platform.HeaderCodec{}.ResponseRequestID(w.Header()))
	require.Equal(t, id.Request("rq"), standin.ResponseRequestID(w.Header()))
}
