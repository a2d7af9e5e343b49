package rollout

// This file defines Register.Snapshot, on which requests can be planned that must not count, and the description of an
// order for operators.

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/ragwortpass/ragwortpass/id"
)

// Snapshot returns a register with the present order of one service, if it has one. Plans of it, by the numbers of
// random, change nothing of g, and the reverse. It knows the counts of requests sent and what was
// concluded from their answers, not the counts of these.
func (g *Register) Snapshot(service id.Service, random func() float64) *Register {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := New(g.cfg, random)
	s.gateways, s.isolated, s.roundAt, s.version = g.gateways, g.isolated, g.roundAt, g.version
	known := g.rollouts[service]
	if known == nil {
		return s
	}
	r := newRollout(known.started, known.order, maps.Clone(known.rejected))
	r.withdrawn, r.unread, r.knownSince, r.targetSince = known.withdrawn, known.unread, known.knownSince, known.targetSince
	r.record, r.condemned, r.superseded, r.service = known.record, known.condemned, known.superseded, known.service
	r.service.Versions = maps.Clone(known.service.Versions)
	r.exposure = exposure{sends: known.exposure.sends, target: known.exposure.target, routes: maps.Clone(known.exposure.routes)}
	r.trialUpstreams, r.inDoubt, r.sound.isDisturbed = known.trialUpstreams, known.inDoubt, known.sound.isDisturbed
	r.otherRunning, r.allShifting = known.otherRunning, known.allShifting
	s.rollouts[service] = r
	return s
}

// Description is an order as a gateway knows it.
type Description struct {
	Order
	State     State
	Reason    Reason // of the state
	Condemned Reason // why the target is condemned; empty: it is not
	Withdrawn bool
	Rejected  []id.Version // get nothing, besides the target of an order that is rolled back
	Share     float64      // of a gateway's requests that the target gets at most in a canary, without slack
	Sent      int          // requests of this gateway since the order
	Exposed   int          // of these, to the target
}

// Describe returns the order of a service, if there is one.
func (g *Register) Describe(service id.Service) (d Description, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.rollouts[service]
	if r == nil {
		return Description{}, false
	}
	return Description{
		Order: r.order, State: r.record.State, Reason: r.record.Reason, Condemned: r.condemned, Withdrawn: r.withdrawn,
		Rejected: r.rejectedVersions(), Share: shareFraction * g.cfg.Share, Sent: r.exposure.sends, Exposed: r.exposure.target,
	}, true
}

// String describes the set, for operators.
func (f *Filter) String() string {
	var b strings.Builder
	switch {
	case f.OnTarget && f.Most > 0:
		fmt.Fprintf(&b, "the first %d of version %s", f.Most, f.Target)
	case f.OnTarget:
		fmt.Fprintf(&b, "version %s", f.Target)
	default:
		fmt.Fprintf(&b, "not version %s", f.Target)
	}
	if f.OnTarget && !f.StartedAfter.IsZero() {
		b.WriteString(" or started later")
	}
	for _, v := range slices.Sorted(maps.Keys(f.Rejected)) {
		fmt.Fprintf(&b, ", not %s", v)
	}
	return b.String()
}
