package rollout

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

func TestReportsTravelWhole(t *testing.T) {
	full := tally(100, 5, 7)
	full.Streams[histogramBuckets-1] = 3
	reports := []Report{
		{
			Service: "ledger", Target: "v2", Order: 7, State: Shifting, Reason: ReasonGood, Started: time.UnixMilli(5), At: time.UnixMilli(9), By: "gw-1",
			Condemned: ReasonSlow, OtherRunning: 4, Counts: Counts{"r": {full, tally(10, 1, 0)}, "s": {Tally{}, Tally{}}},
			Upstreams: Upstreams{KeyOf("i-1"): {10, 1}}, Rejected: []id.Version{"v0", "v3"},
		},
		{Service: "desk", Target: "v1", Counts: Counts{}, Upstreams: Upstreams{}},
	}
	require.Equal(t, reports, Decode(Encode(reports)))
}

// TestOddReportsAreBounded answers rows of a peer with a fault.
func TestOddReportsAreBounded(t *testing.T) {
	reports := Decode([]*ragwortv1.RolloutReport{
		{Service: "ledger", State: 9}, {Service: "ledger", State: -1}, nil,
		{Service: "ledger", StartedUnixMs: math.MaxInt64}, {Service: "ledger", AtUnixMs: math.MaxInt64}, {Service: "ledger", AtUnixMs: -1},
		{
			Service: "desk", OtherRunning: 1 << 31,
			Routes: []*ragwortv1.RolloutRoute{nil, {Route: "r", Target: &ragwortv1.RolloutTally{Answers: 1, Failures: 9, Durations: make([]uint32, 100)}}},
		},
	})
	require.Len(t, reports, 2)
	require.Equal(t, maxPeerRunning, reports[1].OtherRunning)
	require.Equal(t, uint32(1), reports[1].Counts["r"].Target.Failures)
}
