package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/quota"
)

// TestLimitReportSize measures what a limit adds to a row, for docs/CAPACITY.md, and that the wire form keeps
// it.
func TestLimitReportSize(t *testing.T) {
	at := time.UnixMilli(1_800_000_000_123)
	report := pool.LimitReport{Upstream: "i-63ff4148f8", StartUnixMS: at.UnixMilli(), Statement: quota.Statement{Limited: true, Limit: 2.1, SentAt: at, HeardAt: at.Add(time.Second)}}
	empty, full := &peer.Row{}, &peer.Row{Limits: encodeLimits([]pool.LimitReport{report})}
	size := proto.Size(full) - proto.Size(empty)
	t.Logf("%d bytes", size)
	require.Less(t, size, 64)
	l := full.GetLimits()[0]
	require.Equal(t, 2.1, l.GetRequestsPerSecond())
	require.Equal(t, at.UnixMilli(), l.GetSentUnixMs())
	require.Equal(t, at.UnixMilli()+1000, l.GetHeardUnixMs())
}
