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
			Name: name, Host: "desk.example", PathPrefix: "/" + string(name) + "/", Kind: k, Timeout: 2 * time.Second, Objective: time.Second,
			Pause: 300 * time.Millisecond, Priority: 1, Attempts: 2, Public: true, Affine: true,
			Shares: []catalog.Share{{Service: "desk", Weight: 3}, {Service: "old", Weight: 1}},
		}
	}
	c := &catalog.Catalog{
		Version: 7, Keyed: true,
		Routes:     []catalog.Route{route("a", catalog.Safe), route("b", catalog.Once), route("c", catalog.Stream), route("d", catalog.Resumable)},
		Services:   map[id.Service]*catalog.Service{"desk": {Name: "desk", Cold: catalog.ColdLimit{For: 3 * time.Second, Rate: 18}}},
		Limits:     catalog.Limits{HeaderBytes: 100, BodyBytes: 200},
		Workspaces: map[string]*catalog.Workspace{"key": {Name: "ws", Priority: &priority}},
	}
	c.Index()
	require.NoError(t, s.Configure(c))
	s.Evacuate("th-b", true)
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

	l := pool.Listing{ID: "i-1", Service: "desk", Address: "192.0.2.1:80", DataCentre: "th-a", Draining: true, Slots: 8, ColdFor: time.Second, Born: 9}
	require.NoError(t, s.List(l))
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
	standin.Ask(h, "rq", "key", 3*time.Second)
	ask := platform.HeaderCodec{}.ParseRequest(h)
	require.Equal(t, gateway.RequestInfo{ID: "rq", Key: "key", Timeout: 3 * time.Second}, ask)
	platform.HeaderCodec{}.SetUpstreamHeaders(h, gateway.UpstreamRequestInfo{Upstream: "i-1", Workspace: "ws", Timeout: time.Second, Urgency: 4, LastEventID: 5, Resumes: true})
	job := standin.ReadJob(h)
	require.Equal(t, standin.Job{Request: "rq", Expected: "i-1", Workspace: "ws", Urgency: 4, After: 5}, job)
	require.Equal(t, -1, standin.ReadJob(http.Header{}).Urgency)

	for _, tc := range []struct {
		self id.Upstream
		want gateway.ResponseInfo
	}{{"i-1", gateway.ResponseInfo{RequestID: "rq", NotRun: true}}, {"i-2", gateway.ResponseInfo{RequestID: "rq", NotRun: true, Misdirected: true}}} {
		w := httptest.NewRecorder()
		standin.RefuseJob(w, job, tc.self)
		require.Equal(t, tc.want, platform.HeaderCodec{}.ParseResponse(w.Result()))
	}
	w := httptest.NewRecorder()
	standin.Sign(w.Header(), "rq")
	require.Equal(t, gateway.ResponseInfo{RequestID: "rq", Signed: true}, platform.HeaderCodec{}.ParseResponse(w.Result()))
	require.Equal(t, id.Request("rq"), standin.Answered(w.Header()))
}
