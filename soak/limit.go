package main

// This file defines the fault named_limit, an upstream that names how many requests it takes from all
// entries together, and the checker of that limit.

import (
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// The bound that arrivals at a limited upstream must keep in any limitSpan, from bounds.contact after it
// first named its limit: limitExcess times what the limit allows, and limitSlack. Requests of a
// process count that has passed on such a response limitNotice before.
const (
	limitSpan   = 4 * time.Second
	limitExcess = 1.5
	limitSlack  = 5
	limitNotice = 500 * time.Millisecond
)

// namedLimit is a time during which an upstream names a limit.
type namedLimit struct {
	upstream id.Upstream
	limit    id.PerSecond
	span
}

// visit is a request that reached an upstream while it named a limit, whether it ran or not.
type visit struct {
	at       time.Duration
	request  id.Request
	upstream id.Upstream
}

// nameLimits has an upstream name a limit that falls, rises, ends and begins again.
func (tb *testbed) nameLimits(f scheduledFault) {
	all := tb.listedUpstreams()
	u := all[f.target%len(all)]
	first := []id.PerSecond{0, 0.5, 1, 3}[f.variant%4]
	for _, phase := range []struct {
		limit id.PerSecond
		named bool
		share float64 // of the duration
	}{{first, true, 0.5}, {first / 2, true, 0.2}, {first + 1, true, 0.2}, {0, false, 0.05}, {first, true, 0.05}} {
		from := tb.now()
		u.setLimit(phase.limit, phase.named)
		goesOn := tb.sleep(time.Duration(phase.share * float64(f.duration)))
		if phase.named {
			tb.add(func() {
				tb.limits = append(tb.limits, namedLimit{u.name, phase.limit, span{from, tb.now()}})
			})
		}
		if !goesOn {
			break
		}
	}
	u.setLimit(0, false)
}

// setLimit sets the limit that the upstream names; none unless named.
func (u *upstream) setLimit(limit id.PerSecond, named bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit, u.limited = limit, named
}

// limitAt returns the highest limit that an upstream names at any time of a span. It reports false
// unless it names one all the time.
func (h *history) limitAt(u id.Upstream, s span) (highest id.PerSecond, named bool) {
	const gap = 10 * time.Millisecond // between two phases that follow each other
	until := s.from
	for _, l := range h.limits {
		if l.upstream != u || !l.overlaps(s) {
			continue
		}
		if l.from > until+gap {
			return 0, false
		}
		highest, until = max(highest, l.limit), max(until, l.until)
	}
	return highest, until >= s.until
}

// checkNamedLimit checks the arrivals at upstreams that name limits, of processes that know it.
func checkNamedLimit(h *history) (v checkResult) {
	type sender struct {
		result
		known bool
	}
	senders := make(map[id.Request]sender, len(h.results))
	for _, r := range h.results {
		senders[r.request] = sender{*r, true}
	}
	told := make(map[relation]time.Duration)
	from := func(x visit) relation {
		s := senders[x.request]
		return relation{s.node, s.incarnation, x.upstream}
	}
	for _, x := range h.visits {
		s := senders[x.request]
		if at, seen := told[from(x)]; s.known && s.complete && s.incarnation >= 0 && (!seen || s.done < at) {
			told[from(x)] = s.done
		}
	}
	counted := make(map[id.Upstream][]visit)
	for _, x := range h.visits {
		if at, seen := told[from(x)]; seen && x.at >= at+limitNotice {
			counted[x.upstream] = append(counted[x.upstream], x)
		}
	}
	for u, visits := range counted {
		for i, first := range visits {
			limit, named := h.limitAt(u, span{first.at - h.bounds.contact, first.at + limitSpan})
			if !named {
				continue
			}
			v.checked++
			n := 0
			for _, x := range visits[i:] {
				if x.at <= first.at+limitSpan && !h.excused(senders[x.request].node, span{first.at - h.bounds.contact, x.at}) {
					n++
				}
			}
			if allowed := limitExcess*float64(limit)*limitSpan.Seconds() + limitSlack; float64(n) > allowed {
				v.violation("%s named a limit of %v a second and got %d requests in the 4 s from %v on, allowed %v", u, limit, n, first.at, allowed)
				break
			}
		}
	}
	return v
}

// excused reports whether a node was restarted, stopped or cut off in a span, or the whole host was too
// busy. Faults of the store alone excuse nothing.
func (h *history) excused(node id.Node, s span) bool {
	return slices.ContainsFunc(h.disturbances, func(d disturbance) bool {
		switch d.cause {
		case "kill", "kill_all", "pause", "store_cut", "store_silent", "store_one_way", "stall":
			return (d.node == "" || d.node == node) && d.overlaps(s)
		}
		return false
	})
}
