package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
)

// clocks returns a reading of both clocks, relative to the start of the test.
func clocks(monotonic, wall time.Duration) lease.ClockReading {
	return lease.ClockReading{Monotonic: monotonic, Wall: time.Unix(1_000_000, 0).Add(wall)}
}

// newHolder returns a candidate in state Holding that sent its claim at zero on both
// clocks and read it back at readBack.
func newHolder(t *testing.T, readBack time.Duration) *lease.Candidate {
	t.Helper()
	cfg := lease.DefaultConfig("a", time.Second, 0)
	cfg.MaxOrderLifetime = 0
	c := lease.NewCandidate(clocks(0, 0), cfg)
	claim, ok := c.Step(clocks(0, 0), &lease.Tick{LogAvailable: true})[1].(*lease.AppendClaim)
	require.True(t, ok)
	c.Step(clocks(readBack, readBack), &lease.GrantObserved{Grant: lease.Grant{Holder: "a", Term: 1, Offset: 7, TTL: time.Second}})
	c.Step(clocks(readBack, readBack), &lease.AppendCompleted{AppendID: claim.AppendID, Result: lease.AppendAccepted})
	c.Step(clocks(readBack, readBack), &lease.Tick{LogAvailable: true})
	require.Equal(t, lease.Holding, c.State())
	return c
}

// TestLeaseStartsBeforeAppendOnBothClocks checks that a lease ends when its time to live
// has passed on either clock since the claim was sent, also if the other clock stopped
// or was set back.
func TestLeaseStartsBeforeAppendOnBothClocks(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name            string
		monotonic, wall time.Duration
		holds           bool
	}{
		{"within the time to live", 999 * ms, 999 * ms, true},
		{"counted from when the claim was sent, not from when it was read back", 1000 * ms, 1000 * ms, false},
		{"VM suspended: only the wall clock advanced", 500 * ms, 1000 * ms, false},
		{"wall clock set back a little: the monotonic clock advanced", 1000 * ms, 500 * ms, false},
		{"wall clock set back to before the claim was sent", 600 * ms, -1 * ms, false},
		{"wall clock set forward", 500 * ms, time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, ok := newHolder(t, 400*ms).Holding(clocks(c.monotonic, c.wall))
			require.Equal(t, c.holds, ok)
		})
	}
}

// TestSupersededHolderStopsImmediately checks that a holder that observes a later term no
// longer acts on its lease, although the time to live has not passed.
func TestSupersededHolderStopsImmediately(t *testing.T) {
	c := newHolder(t, 0)
	actions := c.Step(clocks(1, 1), &lease.GrantObserved{Grant: lease.Grant{Holder: "b", Term: 2, Offset: 9, TTL: time.Second}})
	require.Equal(t, []lease.Action{&lease.StateChanged{From: lease.Holding, To: lease.Follower, Term: 1, Reason: lease.ReasonSuperseded}}, actions)
	_, _, ok := c.Holding(clocks(1, 1))
	require.False(t, ok)
}

// TestLapsedHolderRenewsItsOwnTerm checks that a holder whose lease has expired only
// locally renews its term instead of claiming a new one, and settles again before it acts.
func TestLapsedHolderRenewsItsOwnTerm(t *testing.T) {
	c := newHolder(t, 0)
	c.Step(clocks(2*time.Second, 2*time.Second), &lease.Tick{LogAvailable: false})
	require.Equal(t, lease.Follower, c.State())
	require.Empty(t, c.Step(clocks(2*time.Second, 2*time.Second), &lease.Tick{LogAvailable: false}), "nothing must be appended while the log is unavailable")
	actions := c.Step(clocks(3*time.Second, 3*time.Second), &lease.Tick{LogAvailable: true})
	require.Equal(t, []lease.Action{&lease.AppendRenewal{AppendID: 2, Term: 1}}, actions)
	c.Step(clocks(3*time.Second, 3*time.Second), &lease.AppendCompleted{AppendID: 2, Result: lease.AppendAccepted})
	_, _, ok := c.Holding(clocks(3*time.Second, 3*time.Second))
	require.False(t, ok, "the candidate must pass through Settling again first")
	c.Step(clocks(3*time.Second, 3*time.Second), &lease.Tick{LogAvailable: true})
	term, _, holds := c.Holding(clocks(3*time.Second, 3*time.Second))
	require.True(t, holds)
	require.Equal(t, id.Term(1), term)
}

// TestResigningHolderReleasesLease checks that a shutdown releases the lease, so that the
// next holder need not wait until it expires.
func TestResigningHolderReleasesLease(t *testing.T) {
	actions := newHolder(t, 0).Step(clocks(1, 1), &lease.Resigned{})
	require.Equal(t, &lease.AppendRelease{Term: 1}, actions[1])
}
