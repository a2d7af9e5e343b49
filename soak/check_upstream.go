package main

// This file defines the checkers of what reaches upstreams that drain, leave, ask for a wait, are
// cold or are in an evacuated data centre.

import (
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// nodeByRequest returns the node that each request was sent to.
func (h *history) nodeByRequest() map[id.Request]id.Node {
	out := make(map[id.Request]id.Node, len(h.results))
	for _, r := range h.results {
		out[r.request] = r.node
	}
	return out
}

func checkDrain(h *history) (v checkResult) {
	nodes := h.nodeByRequest()
	for _, c := range h.changes {
		if c.kind != "drained" {
			continue
		}
		until := c.from + h.bounds.drain
		for _, a := range h.arrivals {
			if !a.ran || a.at <= until || !h.inContact(nodes[a.request], span{c.from, a.at}) {
				continue
			}
			v.checked++
			if a.upstream == id.Upstream(c.name) {
				v.violation("%s reached %s at %v, but it was drained at %v", a.request, a.upstream, a.at, c.from)
			}
		}
	}
	return v
}

// relation is an upstream as one process of a node has met it.
type relation struct {
	node        id.Node
	incarnation int
	upstream    id.Upstream
}

// checkLeaving checks every process, in contact with the store or not: once it has passed on a
// response of an upstream that says it is leaving, it must not send a request there that a
// caller sends later than the time to drain.
func checkLeaving(h *history) (v checkResult) {
	runs := h.arrivalsByRequest()
	known := make(map[relation]time.Duration)
	for _, r := range h.results {
		for _, a := range runs[r.request] {
			to := relation{r.node, r.incarnation, a.upstream}
			if at, seen := known[to]; a.leaving && r.complete && r.incarnation >= 0 && (!seen || r.done < at) {
				known[to] = r.done
			}
		}
	}
	for _, r := range h.results {
		for _, a := range runs[r.request] {
			at, seen := known[relation{r.node, r.incarnation, a.upstream}]
			if !seen {
				continue
			}
			v.checked++
			if r.sent > at+h.bounds.drain && h.undisturbed(r.node, span{at, a.at}) {
				v.violation("%s was sent to %s at %v and reached %s, which had said at %v that it is leaving", r.request, r.node, r.sent, a.upstream, at)
			}
		}
	}
	return v
}

// waitSlack is how long requests that are on their way may arrive after an upstream has asked
// for a wait, and maxDuringWait how many may arrive later than that and before its end.
const (
	waitSlack     = 500 * time.Millisecond
	maxDuringWait = 2
)

// checkAskedWait checks that upstreams that have asked a node for a wait get it.
func checkAskedWait(h *history) (v checkResult) {
	type sender struct {
		node        id.Node
		incarnation int
	}
	senders := make(map[id.Request]sender, len(h.results))
	for _, r := range h.results {
		senders[r.request] = sender{r.node, r.incarnation}
	}
	arrived := make(map[relation][]time.Duration)
	add := func(request id.Request, upstream id.Upstream, at time.Duration) relation {
		s := senders[request]
		to := relation{s.node, s.incarnation, upstream}
		arrived[to] = append(arrived[to], at)
		return to
	}
	for _, a := range h.arrivals {
		add(a.request, a.upstream, a.at)
	}
	asked := make([]relation, len(h.waits))
	for i, w := range h.waits {
		asked[i] = add(w.request, w.upstream, w.from)
	}
	for i, w := range h.waits {
		if asked[i].incarnation < 0 || !h.undisturbed(asked[i].node, w.span) {
			continue
		}
		v.checked++
		n := 0
		for _, at := range arrived[asked[i]] {
			if at > w.from+waitSlack && at < w.until {
				n++
			}
		}
		if n > maxDuringWait {
			v.violation("%s got %d requests from %s while it had asked for none from %v to %v", w.upstream, n, asked[i].node, w.from, w.until)
		}
	}
	return v
}

func checkEvacuation(h *history) (v checkResult) {
	nodes := h.nodeByRequest()
	for _, c := range h.changes {
		if c.kind != "evacuated" {
			continue
		}
		for _, a := range h.arrivals {
			if a.at <= c.from+h.bounds.evacuate || a.at >= c.until || !h.inContact(nodes[a.request], span{c.from, a.at}) {
				continue
			}
			v.checked++
			if h.dataCentreOf[a.upstream] == id.DataCentre(c.name) {
				v.violation("%s reached %s in %s at %v, but the data centre was evacuated at %v", a.request, a.upstream, c.name, a.at, c.from)
			}
		}
	}
	return v
}

func checkCold(h *history) (v checkResult) {
	limit := h.bounds.coldRate*h.bounds.coldExcess + h.bounds.coldSlack
	for _, c := range h.changes {
		if c.kind != "cold" {
			continue
		}
		var times []time.Duration
		for _, a := range h.arrivals {
			if a.upstream == id.Upstream(c.name) && a.at >= c.from && a.at <= c.until {
				times = append(times, a.at)
			}
		}
		slices.Sort(times)
		v.checked += len(times)
		first := 0
		for i, t := range times {
			for t-times[first] > time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > limit {
				v.violation("%s was cold and got %d requests in the second before %v", c.name, n, t)
				break
			}
		}
	}
	return v
}
