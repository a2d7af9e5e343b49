package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/tier"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// TestKeyCheck sends requests with keys that an entry passes on only if it checks them wrongly
// or has applied another part of the log than the sidecar. It guards against serving such a
// request, and against a refusal that takes longer than the wait for the log.
func TestKeyCheck(t *testing.T) {
	s, _ := newTestSidecar(t)
	payload, err := proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{
		{Writer: "test", Sequence: 3, Body: &ragwortv1.Record_KeyGiven{
			KeyGiven: &ragwortv1.KeyGiven{Key: "k2", Workspace: "bangkok-forge", Digest: make([]byte, 32)},
		}},
		{Writer: "test", Sequence: 4, Body: &ragwortv1.Record_KeyWithdrawn{KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: "k2"}}},
	}})
	require.NoError(t, err)
	s.deps.State.Apply(2, payload)
	cases := []struct {
		name   string
		e      wire.Envelope
		reason problem.Reason
	}{
		{"withdrawn", wire.Envelope{Key: "k2", Workspace: "bangkok-forge", ConfigOffset: 1}, problem.KeyWithdrawn},
		{"other workspace", wire.Envelope{Key: "k1", Workspace: "korat-forge", ConfigOffset: 2}, problem.KeyUnknown},
		{"never given", wire.Envelope{Key: "k9", Workspace: "bangkok-forge", ConfigOffset: 2}, problem.KeyUnknown},
		{"not applied yet", wire.Envelope{Key: "k9", Workspace: "bangkok-forge", ConfigOffset: 3}, problem.StaleConfig},
	}
	for _, c := range cases {
		c.e.Request, c.e.Class, c.e.Tier, c.e.Attempt = "rq_1", "clerk", tier.Bronze, 1
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/chat/completions", nil)
		c.e.SetHeaders(r.Header)
		w := httptest.NewRecorder()
		begin := time.Now()
		s.Handler().ServeHTTP(w, r)
		require.Equal(t, string(c.reason), w.Header().Get(wire.HeaderRefused), c.name)
		require.Less(t, time.Since(begin), 2*staleConfigTimeout, c.name)
	}
}
