package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

// TestForeignRefusalIsNotBelieved relays refusals that are not proven to be the sidecar's refusal
// of this request. To believe one would send a call to a second upstream, or tell its caller that
// it has not run.
func TestForeignRefusalIsNotBelieved(t *testing.T) {
	document := func(request string, status int) string {
		body, err := json.Marshal(&problem.Problem{Reason: problem.UpstreamBusy, Run: problem.NotRun, Status: status, Request: request})
		require.NoError(t, err)
		return string(body)
	}
	for _, tc := range []struct {
		name, body string
		refused    bool // the response has the header of a sidecar's refusal
		believed   bool
	}{
		{"own", document("rq_1", http.StatusServiceUnavailable), true, true},
		{"of another request", document("rq_2", http.StatusServiceUnavailable), true, false},
		{"without a request", document("", http.StatusServiceUnavailable), true, false},
		{"with another status than the response", document("rq_1", http.StatusUnauthorized), true, false},
		{"without a status", document("rq_1", 0), true, false},
		{"not from a sidecar", document("rq_1", http.StatusServiceUnavailable), false, false},
		{"not a document", "busy", true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e, a, _ := newTestAnswer()
			rs := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: make(http.Header), Body: io.NopCloser(strings.NewReader(tc.body))}
			rs.Header.Set("Content-Type", problem.ContentType)
			if tc.refused {
				rs.Header.Set(wire.HeaderRefused, string(problem.UpstreamBusy))
			}
			result := e.relay(a, &upstream.View{ID: "u"}, rs)
			if tc.believed {
				require.IsType(t, &attemptNotRun{}, result)
				return
			}
			require.IsType(t, &attemptFailed{}, result)
			require.Equal(t, problem.RunUnknown, result.(*attemptFailed).problem.Run)
		})
	}
}

// TestLoadOfAnotherUpstreamIsIgnored has a sidecar of another upstream answer at an address. What
// it says of its own state must not make this upstream unusable.
func TestLoadOfAnotherUpstreamIsIgnored(t *testing.T) {
	for _, tc := range []struct {
		upstream id.Upstream
		want     bool
	}{{"u", true}, {"other", false}, {"", false}} {
		h := make(http.Header)
		h.Set(wire.HeaderUpstream, string(tc.upstream))
		h.Set(wire.HeaderLoad, wire.Load{State: "draining"}.String())
		_, ok := loadOf(&upstream.View{ID: "u"}, h)
		require.Equal(t, tc.want, ok, tc.upstream)
	}
}
