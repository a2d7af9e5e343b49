package peer

import (
	"testing"
	"unicode/utf8"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// FuzzRepair checks that every row can be encoded after its repair, that strings which are valid are not
// changed, and that different names stay different.
func FuzzRepair(f *testing.F) {
	f.Add("ws", "ws-\xff", "5c1e")
	f.Add("\xff", "\xfe", "\xc3\x28")
	f.Add("", "\ufffd", "\x00")
	guard := newStringGuard(log.NewNopLogger(), metrics.NewRegistry())
	f.Fuzz(func(t *testing.T, a, b, part string) {
		names := map[string]uint64{a: 1, b: 2}
		row := &Row{
			Node: a, Use: []*ragwortv1.WindowUse{{Window: 1, Requests: map[string]uint64{a: 1, b: 2}}},
			Prompts: &ragwortv1.PromptEvidence{Crashes: []*ragwortv1.EngineCrash{{Upstream: b, SilentParts: []string{a, part}}}, Holds: []*ragwortv1.PartHold{{Part: part}}},
		}
		guard.repair(row)
		data, err := proto.Marshal(row)
		require.NoError(t, err)
		var decoded Row
		require.NoError(t, proto.Unmarshal(data, &decoded))
		require.True(t, proto.Equal(row, &decoded))
		if utf8.ValidString(part) {
			require.Equal(t, part, row.GetPrompts().GetHolds()[0].GetPart())
		}
		if utf8.ValidString(a) == utf8.ValidString(b) {
			require.Len(t, row.GetUse()[0].GetRequests(), len(names))
		}
	})
}
