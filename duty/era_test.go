package duty_test

// This file tests what is claimed and reported when the store comes back without its last claims.

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/duty"
	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// TestLostClaim guards against two reports of a window when the store has lost the claim that
// one of them was made by, and against an end of the reports after that. The claim was not
// read by others, whose counts differ.
func TestLostClaim(t *testing.T) {
	for name, reported := range map[string]bool{"reported before": true, "not reported": false} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(3)
			s.now = windowStart.Add(cfg.WindowLength + time.Second)
			s.runGateway("entry-0", !reported)
			require.Len(t, s.topic, 1)
			s.reported = duty.WindowSet{} // the others have not heard of a report
			s.rewind(1)
			require.Empty(t, s.topic)
			for s.now.Before(windowStart.Add(4 * cfg.WindowLength)) {
				s.now = s.now.Add(100 * time.Millisecond)
				for _, n := range []id.Node{"entry-2", "entry-1", "entry-0"} {
					s.runGateway(n, false)
				}
			}
			s.checkReports(t)
			var windows []duty.Window
			for _, report := range s.sent {
				windows = append(windows, report.window)
			}
			first := s.reporters["entry-0"].WindowAt(windowStart)
			require.Subset(t, windows, []duty.Window{first, first + 1, first + 2})
		})
	}
}

// TestLostClaimOfForgottenGateway guards against two reports of a window whose claim the store has
// lost, long after the gateway that made it has ended without telling: its row is no longer kept.
func TestLostClaimOfForgottenGateway(t *testing.T) {
	s := newSimulation(2)
	for _, n := range s.nodes {
		s.runGateway(n, false)
	}
	s.now = windowStart.Add(cfg.WindowLength + time.Second)
	s.gossip = false
	s.runGateway("entry-0", false)
	require.Len(t, s.sent, 1)
	s.stopped["entry-0"] = true
	s.gossip, s.reported = true, duty.WindowSet{}
	s.rewind(1)
	for s.now.Before(windowStart.Add(duty.BacklogWindows * cfg.WindowLength)) {
		s.now = s.now.Add(100 * time.Millisecond)
		s.runGateway("entry-1", false)
	}
	s.checkReports(t)
	require.Greater(t, len(s.sent), 1, "the windows after that must be reported")
}

// TestClaimMadeForAnotherEra guards against two reports of a window when a gateway that was away
// claims at the offset of a lost claim, without knowing that another gateway had taken over nor
// that the store has come back: its claim must not fix the counts.
func TestClaimMadeForAnotherEra(t *testing.T) {
	s := newSimulation(2)
	for _, n := range s.nodes {
		s.runGateway(n, false)
	}
	s.now = windowStart.Add(cfg.WindowLength + time.Second)
	s.runGateway("entry-0", false)
	require.Len(t, s.sent, 1)
	s.gossip, s.stopped["entry-0"] = false, true
	s.now = windowStart.Add(2*cfg.WindowLength + time.Second)
	for len(s.topic) == 1 && s.now.Before(windowStart.Add(3*cfg.WindowLength)) {
		s.now = s.now.Add(100 * time.Millisecond)
		s.runGateway("entry-1", false)
	}
	require.Len(t, s.topic, 2)
	require.Equal(t, s.sent[0].window+1, s.sent[len(s.sent)-1].window)
	s.rewind(1)
	s.stopped["entry-0"], s.stopped["entry-1"] = false, true
	for s.now.Before(windowStart.Add(4 * cfg.WindowLength)) {
		s.runGateway("entry-0", false)
		s.now = s.now.Add(100 * time.Millisecond)
	}
	s.checkReports(t)
	require.Equal(t, "entry-0", string(s.sent[len(s.sent)-1].holder), "the windows after that must be reported")
}

// TestLostClaimAfterClockCorrection guards against two reports of a window by a gateway that learns
// of the era while its clock is slow, before it has measured the clocks of others: the window
// ended before the era all the same.
func TestLostClaimAfterClockCorrection(t *testing.T) {
	s := newSimulation(2)
	for _, n := range s.nodes {
		s.runGateway(n, false)
	}
	s.now = windowStart.Add(cfg.WindowLength + time.Second)
	s.gossip = false
	s.runGateway("entry-0", false)
	require.Len(t, s.sent, 1)
	s.stopped["entry-0"] = true // without having told of its claim
	s.gossip, s.reported = true, duty.WindowSet{}
	s.rewind(1)
	s.startGateway("entry-1", 2, s.now)
	s.knownFrom["entry-1"] = s.sent[0].window // as its peers have told
	s.knownEra["entry-1"], s.clockSkew["entry-1"] = s.era, -4*time.Second
	s.runGateway("entry-1", false)
	s.clockSkew["entry-1"] = 0
	for s.now.Before(windowStart.Add(4 * cfg.WindowLength)) {
		s.now = s.now.Add(100 * time.Millisecond)
		s.runGateway("entry-1", false)
	}
	s.checkReports(t)
	require.Greater(t, len(s.sent), 1, "the windows after that must be reported")
}

// TestExpiringClaim guards against a report by a claim from before the store came back, after
// another gateway has claimed in the new era.
func TestExpiringClaim(t *testing.T) {
	s := newSimulation(2)
	s.now = windowStart.Add(cfg.WindowLength + time.Second)
	old := s.reporters["entry-0"]
	for range 3 {
		switch a := old.Step(s.now, s.view("entry-0")).(type) {
		case *duty.ReadClaims:
			old.ClaimsRead(s.now, s.now, nil, s.end())
		case *duty.AppendClaim:
			claim := *a.Claim
			claim.Position = s.end()
			old.ClaimAppended(s.now, &claim)
		}
	}
	require.IsType(t, &duty.SendReport{}, old.Step(s.now, s.view("entry-0")))
	s.rewind(0)
	aware := s.view("entry-0")
	aware.Era = s.era
	unaware := *old
	_, acts := old.Step(s.now, aware).(*duty.SendReport)
	require.False(t, acts, "a claim must not be acted on once its era is known to be over")
	old = &unaware
	s.knownEra["entry-1"] = s.era
	acted := func() bool { return len(s.topic) > 0 }
	for !acted() && s.now.Before(windowStart.Add(3*cfg.WindowLength)) {
		s.runGateway("entry-1", false)
		if !acted() {
			s.now = s.now.Add(100 * time.Millisecond)
		}
	}
	require.True(t, acted())
	_, acts = old.Step(s.now, s.view("entry-0")).(*duty.SendReport)
	require.False(t, acts)
}

// TestClaimWaitsForLostOnesToExpire checks the same for the holder by the restored claims, which
// need not wait for a lease: another gateway may act on a claim that was lost.
func TestClaimWaitsForLostOnesToExpire(t *testing.T) {
	s := newSimulation(1)
	s.now = windowStart.Add(cfg.WindowLength + time.Second)
	s.runGateway("entry-0", false)
	require.Len(t, s.topic, 1)
	s.now = windowStart.Add(2*cfg.WindowLength - 100*time.Millisecond)
	s.rewind(0)
	s.knownEra["entry-0"] = s.era
	s.runGateway("entry-0", false) // learns of the era; no window is due
	s.now = windowStart.Add(2*cfg.WindowLength + time.Second)
	s.runGateway("entry-0", false)
	require.Len(t, s.topic, 1, "the window has settled, but a lost claim may still be valid")
	s.now = s.now.Add(500 * time.Millisecond)
	s.runGateway("entry-0", false)
	require.Len(t, s.topic, 2)
}

// TestTermRisesWithEra guards against a fencing number that begins lower in a new era.
func TestTermRisesWithEra(t *testing.T) {
	last := &duty.Claim{Position: feed.Position{Era: 3, Offset: 1 << 30}}
	first := &duty.Claim{Position: feed.Position{Era: 4}}
	require.Greater(t, first.Term(), last.Term())
	require.Equal(t, id.Term(1), (&duty.Claim{}).Term())
}

// TestClaimAppendedInAnotherEraIsNotActedOn has the store come back between the read of the claims and
// the append of an own one, which is then the claim of a topic that was not read.
func TestClaimAppendedInAnotherEraIsNotActedOn(t *testing.T) {
	s := newSimulation(1)
	s.now = windowStart.Add(cfg.WindowLength + time.Second)
	r := s.reporters["entry-0"]
	appended := false
	for range 3 {
		switch a := r.Step(s.now, s.view("entry-0")).(type) {
		case *duty.ReadClaims:
			r.ClaimsRead(s.now, s.now, nil, s.end())
		case *duty.AppendClaim:
			claim := *a.Claim
			claim.Position = feed.Position{Era: s.end().Era + 1, Offset: s.end().Offset}
			r.ClaimAppended(s.now, &claim)
			appended = true
		case *duty.SendReport:
			t.Fatal("the claim of another era was acted on")
		}
	}
	require.True(t, appended)
}
