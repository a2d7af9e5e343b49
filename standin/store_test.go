package standin_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/standin"
)

// TestRewriteUndoesANewerChange guards against a stand-in whose operators, as they write again what the store
// has lost, replace a configuration that they have published since by an older one.
func TestRewriteUndoesANewerChange(t *testing.T) {
	for name, tc := range map[string]struct {
		since string
		want  string
	}{"nothing since": {"", "lost"}, "a change since": {"newer", "newer"}} {
		t.Run(name, func(t *testing.T) {
			store := standin.NewStore()
			server := httptest.NewServer(store.Handler())
			t.Cleanup(server.Close)
			store.Put(standin.OperatorsTopic, "config", []byte("old"))
			copied := store.Copy()
			store.Put(standin.OperatorsTopic, "config", []byte("lost"))
			rewrite := store.Restore(copied)
			if tc.since != "" {
				store.Put(standin.OperatorsTopic, "config", []byte(tc.since))
			}
			rewrite()
			page, err := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), log.NewNopLogger()).KeyedTopic(standin.OperatorsTopic).Newest(t.Context())
			require.NoError(t, err)
			require.Len(t, page.Records, 1)
			require.Equal(t, tc.want, string(page.Records[0].Value))
		})
	}
}
