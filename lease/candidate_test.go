package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
)

func at(monotonic, wall time.Duration) lease.ClockReading {
	return lease.ClockReading{Monotonic: monotonic, Wall: time.Unix(1_000_000, 0).Add(wall)}
}

// holder returns a candidate that sent its claim at zero by both clocks, read it
// back at readBack and has settled.
func holder(t *testing.T, readBack time.Duration) *lease.Candidate {
	t.Helper()
	cfg := lease.DefaultConfig("a", time.Second, 0)
	cfg.MaxOrderLifetime = 0
	c := lease.NewCandidate(at(0, 0), cfg)
	claim, ok := c.Step(at(0, 0), &lease.Tick{LogAvailable: true})[1].(*lease.AppendClaim)
	require.True(t, ok)
	c.Step(at(readBack, readBack), &lease.GrantObserved{Grant: lease.Grant{Holder: "a", Term: 1, Offset: 7, TTL: time.Second}})
	c.Step(at(readBack, readBack), &lease.AppendCompleted{AppendID: claim.AppendID, Result: lease.AppendAccepted})
	c.Step(at(readBack, readBack), &lease.Tick{LogAvailable: true})
	require.Equal(t, lease.Holding, c.State())
	return c
}

func TestLeaseIsCountedFromBeforeItsSendingByBothClocks(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name            string
		monotonic, wall time.Duration
		holds           bool
	}{
		{"within", 999 * ms, 999 * ms, true},
		{"counted from the sending, not from the reading back", 1000 * ms, 1000 * ms, false},
		{"suspended: only the wall clock went on", 500 * ms, 1000 * ms, false},
		{"wall clock set back a little: the monotonic clock went on", 1000 * ms, 500 * ms, false},
		{"wall clock set back before the sending", 600 * ms, -1 * ms, false},
		{"wall clock set forward", 500 * ms, time.Hour, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, ok := holder(t, 400*ms).Holding(at(c.monotonic, c.wall))
			require.Equal(t, c.holds, ok)
		})
	}
}

func TestSupersededHolderStopsAtOnce(t *testing.T) {
	c := holder(t, 0)
	todo := c.Step(at(1, 1), &lease.GrantObserved{Grant: lease.Grant{Holder: "b", Term: 2, Offset: 9, TTL: time.Second}})
	require.Equal(t, []lease.Action{&lease.StateChanged{From: lease.Holding, To: lease.Follower, Term: 1, Reason: lease.ReasonSuperseded}}, todo)
	_, _, ok := c.Holding(at(1, 1))
	require.False(t, ok)
}

func TestLapsedHolderRenewsItsOwnTerm(t *testing.T) {
	c := holder(t, 0)
	c.Step(at(2*time.Second, 2*time.Second), &lease.Tick{LogAvailable: false})
	require.Equal(t, lease.Follower, c.State())
	require.Empty(t, c.Step(at(2*time.Second, 2*time.Second), &lease.Tick{LogAvailable: false}), "no claims while the log is out")
	todo := c.Step(at(3*time.Second, 3*time.Second), &lease.Tick{LogAvailable: true})
	require.Equal(t, []lease.Action{&lease.AppendRenewal{AppendID: 2, Term: 1}}, todo)
	c.Step(at(3*time.Second, 3*time.Second), &lease.AppendCompleted{AppendID: 2, Result: lease.AppendAccepted})
	_, _, ok := c.Holding(at(3*time.Second, 3*time.Second))
	require.False(t, ok, "settles again first")
	c.Step(at(3*time.Second, 3*time.Second), &lease.Tick{LogAvailable: true})
	term, _, holds := c.Holding(at(3*time.Second, 3*time.Second))
	require.True(t, holds)
	require.Equal(t, id.Term(1), term)
}

func TestLeavingHolderReleases(t *testing.T) {
	todo := holder(t, 0).Step(at(1, 1), &lease.Resigned{})
	require.Equal(t, &lease.AppendRelease{Term: 1}, todo[1])
}
