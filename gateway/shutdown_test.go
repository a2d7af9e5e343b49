package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFarDeadlineExceedsShutdown has a caller wait for longer than nanoseconds since 1970 can count.
func TestFarDeadlineExceedsShutdown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	g := &Gateway{bodies: newBodyReads()}
	require.False(t, g.exceedsShutdown(now.Add(math.MaxInt64)))
	g.SetShutdownDeadline(now.Add(time.Second))
	require.False(t, g.exceedsShutdown(now.Add(time.Second)))
	require.True(t, g.exceedsShutdown(now.Add(2*time.Second)))
	require.True(t, g.exceedsShutdown(now.Add(math.MaxInt64)))
}
