package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReadsOutlastTheirBound guards against time limits of reads and views that together exceed the bound on
// configurations.
func TestReadsOutlastTheirBound(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 14 * time.Second} {
		f := newFreshness(bound)
		reader, groupReader, follower := f.longest()
		for _, longest := range []time.Duration{reader, groupReader, follower} {
			require.Positive(t, longest)
			require.LessOrEqual(t, longest, bound)
		}
		require.LessOrEqual(t, f.maxPeerViewAge, f.maxGroupViewAge)
	}
}
