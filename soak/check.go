package main

// This file defines the checkers; each finds the violations of one guarantee in a history.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// checkResult holds the number of cases that a checker checked and the violations it found.
type checkResult struct {
	checked    int
	violations []string
}

func (v *checkResult) violation(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// checker checks one guarantee.
type checker struct {
	name  string
	check func(h *history) checkResult
}

var checkers = []checker{
	{"own_answer", checkOwnAnswer},
	{"once", checkAtMostOnce},
	{"true_refusal", checkRefusals},
	{"nothing_lost", checkNothingLost},
	{"caller_gone", checkCallerGone},
	{"drain", checkDrain},
	{"leaving", checkLeaving},
	{"asked_wait", checkAskedWait},
	{"named_limit", checkNamedLimit},
	{"evacuation", checkEvacuation},
	{"configuration_in_force", checkConfigInForce},
	{"configuration_never_back", checkConfigNeverBack},
	{"one_holder", checkSingleHolder},
	{"usage", checkUsage},
	{"cold", checkCold},
	{"retry_budget", checkRetryBudget},
	{"priority", checkPriority},
	{"crashing", checkCrashing},
	{"garbled_heads", checkGarbledHeads},
	{"repeats_answered", checkRepeatsAnswered},
	{"repeats_refused", checkRepeatsRefused},
	{"rollout", checkRollout},
	{"recovery", checkRecovery},
	{"own_ends", checkOwnEnds},
	{"memory", checkMemory},
	{"stop_answered", checkStopAnswered},
}

// runCheckers returns the result of each checker by its name.
func (h *history) runCheckers() map[string]checkResult {
	out := make(map[string]checkResult, len(checkers))
	for _, c := range checkers {
		out[c.name] = c.check(h)
	}
	return out
}

// listViolations returns a line for each violation, in the order of the checkers.
func listViolations(results map[string]checkResult) (lines []string) {
	for _, c := range checkers {
		for _, line := range results[c.name].violations {
			lines = append(lines, c.name+": "+line)
		}
	}
	return lines
}

func checkOwnAnswer(h *history) (v checkResult) {
	for _, r := range h.results {
		if !r.served() {
			continue
		}
		v.checked++
		if !r.own {
			v.violation("%s of kind %s got the content of another response at %v", r.request, r.kind, r.done)
		}
	}
	return v
}

func checkAtMostOnce(h *history) (v checkResult) {
	runs := h.arrivalsByRequest()
	for _, r := range h.results {
		n := 0
		for _, a := range runs[r.request] {
			if a.ran {
				n++
			}
		}
		if r.kind.Retryable() || n == 0 {
			continue
		}
		v.checked++
		if n > 1 {
			v.violation("%s of kind %s ran %d times", r.request, r.kind, n)
		}
	}
	return v
}

func checkRefusals(h *history) (v checkResult) {
	runs := h.arrivalsByRequest()
	for _, r := range h.results {
		if r.kind.Retryable() || !r.refused() {
			continue
		}
		v.checked++
		for _, a := range runs[r.request] {
			if a.ran {
				v.violation("%s was refused with %d at %v and ran at %v", r.request, r.status, r.done, a.at)
			}
		}
	}
	return v
}

// checkNothingLost checks that a request that ran at an undisturbed upstream gets a complete
// response. It leaves out requests to nodes that anything but maintenance disturbed.
func checkNothingLost(h *history) (v checkResult) {
	runs := h.arrivalsByRequest()
	for _, r := range h.results {
		if r.abandoned || !h.inContact(r.node, span{r.sent, r.done}) {
			continue
		}
		v.checked++
		if r.complete {
			continue
		}
		ran, undisturbed := false, true
		for _, a := range runs[r.request] {
			ran = ran || a.ran
			undisturbed = undisturbed && !a.interrupted
		}
		if ran && undisturbed {
			v.violation("%s was forwarded by %s and its response ended incomplete at %v", r.request, r.node, r.done)
		}
	}
	return v
}

const (
	// stopWithin bounds the time from a caller's disconnect until the upstream stops working.
	stopWithin = 500 * time.Millisecond
	// A violation needs more late stops than maxLateStops, and a larger share than maxLateShare.
	maxLateShare, maxLateStops = 0.25, 4
)

func checkCallerGone(h *history) (v checkResult) {
	runs := h.arrivalsByRequest()
	late := 0
	for _, r := range h.results {
		if !r.abandoned || !r.kind.Retryable() && !r.kind.Streams() || !h.inContact(r.node, span{r.sent, r.done + stopWithin}) {
			continue
		}
		for _, a := range runs[r.request] {
			if !a.ran || a.interrupted {
				continue
			}
			v.checked++
			if a.ended == 0 || a.ended > r.done+stopWithin {
				late++
			}
		}
	}
	if late > maxLateStops && float64(late) > maxLateShare*float64(v.checked) {
		v.violation("upstreams went on with %d of %d requests whose callers had disconnected", late, v.checked)
	}
	return v
}

// keyValidity returns the span in which each key is valid.
func (h *history) keyValidity() map[string]span {
	out := make(map[string]span)
	for _, c := range h.changes {
		s, known := out[c.name]
		switch {
		case c.kind == "key_added":
			out[c.name] = span{c.from, h.duration + time.Hour}
		case c.kind == "key_withdrawn" && known:
			out[c.name] = span{s.from, c.from}
		}
	}
	return out
}

func checkConfigInForce(h *history) (v checkResult) {
	keys := h.keyValidity()
	for _, r := range h.results {
		valid, known := keys[r.key]
		denied := r.status == 401 || r.status == 403 || r.status == 404
		accepted := r.status == 200
		if accepted || denied {
			v.checked++
		}
		switch {
		case !known:
			v.violation("%s was sent with a key that was never added", r.request)
		case denied && valid.from == 0 && r.done < valid.until:
			v.violation("%s was denied with %d at %v by %s, but its key was valid from the start", r.request, r.status, r.done, r.node)
		case denied && r.sent > valid.from+h.bounds.config && r.done < valid.until && h.inContact(r.node, span{valid.from, r.done}):
			v.violation("%s was denied with %d at %v by %s, but its key is valid since %v", r.request, r.status, r.done, r.node, valid.from)
		case accepted && r.sent > valid.until+h.bounds.config && h.inContact(r.node, span{valid.until, r.sent}):
			v.violation("%s was accepted at %v by %s, but its key was withdrawn at %v", r.request, r.sent, r.node, valid.until)
		}
	}
	return v
}

// checkConfigNeverBack checks every process, in contact or not: one that has refused a
// withdrawn key must not accept it again.
func checkConfigNeverBack(h *history) (v checkResult) {
	type keyAtProcess struct {
		node        id.Node
		incarnation int
		key         string
	}
	keys := h.keyValidity()
	refused := make(map[keyAtProcess]time.Duration)
	for _, r := range h.results {
		k := keyAtProcess{r.node, r.incarnation, r.key}
		if r.status != 401 || r.incarnation < 0 || r.sent < keys[r.key].until {
			continue
		}
		if refusedAt, known := refused[k]; !known || r.done < refusedAt {
			refused[k] = r.done
		}
	}
	for _, r := range h.results {
		refusedAt, known := refused[keyAtProcess{r.node, r.incarnation, r.key}]
		if !known || r.sent <= refusedAt+h.bounds.rollbackGrace {
			continue
		}
		v.checked++
		if r.status == 200 {
			v.violation("%s refused key %s at %v and accepted it again at %v", r.node, r.key, refusedAt, r.sent)
		}
	}
	return v
}

func checkSingleHolder(h *history) (v checkResult) {
	counts := make(map[int64]usageReport)
	holders := make(map[uint64]string)
	var highest uint64
	for i, r := range h.reports {
		v.checked++
		excused := !h.undisturbed(id.Node(r.Holder), span{r.at - h.bounds.resumeGrace, r.at})
		if first, known := counts[r.WindowID]; known && !maps.Equal(first.Counts, r.Counts) {
			v.violation("window %d was reported as %v and as %v", r.WindowID, first.Counts, r.Counts)
		} else if !known {
			counts[r.WindowID] = r
		}
		if other, known := holders[r.FencingNumber]; known && other != r.Holder {
			v.violation("%s and %s both used the fencing number %d", other, r.Holder, r.FencingNumber)
		}
		holders[r.FencingNumber] = r.Holder
		if r.FencingNumber < highest && !excused {
			v.violation("%s used the fencing number %d after %d", r.Holder, r.FencingNumber, highest)
		}
		highest = max(highest, r.FencingNumber)
		if i >= 2 && !excused && r.Holder != h.reports[i-1].Holder && r.Holder == h.reports[i-2].Holder && r.at-h.reports[i-2].at < h.bounds.lease {
			v.violation("%s held the duty again at %v, %v after its last report", r.Holder, r.at, r.at-h.reports[i-2].at)
		}
	}
	return v
}

// countPropagation bounds how long a process's counts, also if it is stopped, take to reach all peers.
const countPropagation = 3 * time.Second

// checkUsage checks the windows in and around which nothing but maintenance disturbed any
// process: counts that a killed process had not sent to a peer are lost.
func checkUsage(h *history) (v checkResult) {
	reported := make(map[int64]map[string]uint64)
	for _, r := range h.reports {
		reported[r.WindowID] = r.Counts
	}
	actual := make(map[int64]map[id.Workspace]uint64)
	counted := make(map[id.Request]bool) // a request counts in the window of its first start
	for _, a := range slices.SortedFunc(slices.Values(h.arrivals), func(a, b *arrival) int { return cmp.Compare(a.began, b.began) }) {
		if !a.ran || a.began == 0 || counted[a.request] {
			continue
		}
		counted[a.request] = true
		window := h.start.Add(a.began).UnixNano() / int64(h.bounds.window)
		if actual[window] == nil {
			actual[window] = make(map[id.Workspace]uint64)
		}
		actual[window][a.workspace]++
	}
	for window, want := range actual {
		from := time.Unix(0, window*int64(h.bounds.window)).Sub(h.start)
		until := from + h.bounds.window
		if from < countPropagation || until+h.bounds.reportWithin > h.duration || !h.allUndisturbed(span{from - countPropagation, until + countPropagation}) {
			continue
		}
		v.checked++
		got, known := reported[window]
		if !known {
			v.violation("window %d, from %v, was not reported", window, from)
			continue
		}
		var deviation, total uint64
		for workspace, n := range want {
			total += n
			deviation += max(n, got[string(workspace)]) - min(n, got[string(workspace)])
		}
		if float64(deviation) > h.bounds.usageTolerance*float64(total)+1 {
			v.violation("window %d, from %v, was reported as %v, but %v arrived", window, from, got, want)
		}
	}
	return v
}

// allUndisturbed reports whether nothing but maintenance disturbed any node in a span.
func (h *history) allUndisturbed(s span) bool {
	return !slices.ContainsFunc(h.disturbances, func(d disturbance) bool { return !d.maintenance && d.overlaps(s) })
}

// checkRetryBudget compares the repeated arrivals in each window with the requests that
// callers sent in it or up to one window earlier.
func checkRetryBudget(h *history) (v checkResult) {
	for _, name := range []id.Service{plainService, modelService} {
		var sent, repeats []time.Duration
		for _, r := range h.results {
			if serviceOf(r.kind) == name {
				sent = append(sent, r.sent)
			}
		}
		seen := make(map[id.Request]bool)
		for _, a := range h.arrivals {
			if a.service == name && seen[a.request] {
				repeats = append(repeats, a.at)
			}
			seen[a.request] = true
		}
		slices.Sort(repeats)
		v.checked += len(repeats)
		for i, t := range repeats {
			from := t - h.bounds.retryWindow
			recent := 0
			for j := i; j >= 0 && repeats[j] >= from; j-- {
				recent++
			}
			requests := 0
			for _, back := range []time.Duration{0, h.bounds.retryWindow / 2, h.bounds.retryWindow} {
				count := 0
				for _, s := range sent {
					if s >= from-back && s <= t-back {
						count++
					}
				}
				requests = max(requests, count)
			}
			if allowed := h.bounds.retryRatio*float64(requests) + h.bounds.retrySlack; float64(recent) > allowed {
				v.violation("%s got %d repeats in the %v before %v, but only %.0f are allowed", name, recent, h.bounds.retryWindow, t, allowed)
				break
			}
		}
	}
	return v
}

// checkPriority checks that the urgencies sent to upstreams are ordered as the priorities of
// workspace and route, compared in this order.
func checkPriority(h *history) (v checkResult) {
	urgencies := make(map[id.Request]int)
	for _, a := range h.arrivals {
		urgencies[a.request] = a.urgency
	}
	type urgencyRange struct{ low, high int }
	groups := make(map[[2]int]urgencyRange)
	for _, r := range h.results {
		urgency, known := urgencies[r.request]
		if !known {
			continue
		}
		g, seen := groups[r.priority]
		if !seen {
			g = urgencyRange{urgency, urgency}
		}
		groups[r.priority] = urgencyRange{min(g.low, urgency), max(g.high, urgency)}
	}
	order := slices.SortedFunc(maps.Keys(groups), func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	for i := 1; i < len(order); i++ {
		v.checked++
		if before, after := groups[order[i-1]], groups[order[i]]; before.high >= after.low {
			v.violation("priorities %v and %v were sent with urgencies %v and %v", order[i-1], order[i], before, after)
		}
	}
	return v
}

// minServedShare is the share of requests that must be served after the recovery time. The
// guarantee is a quarter; the check is stricter.
const minServedShare = 0.9

func checkRecovery(h *history) (v checkResult) {
	served := 0
	for _, r := range h.results {
		if r.sent < h.faultsEnded+h.bounds.recovery || r.abandoned || r.status == 401 {
			continue
		}
		v.checked++
		if r.served() {
			served++
		}
	}
	if v.checked == 0 || float64(served) < minServedShare*float64(v.checked) {
		v.violation("only %d of %d requests were served after %v", served, v.checked, h.faultsEnded+h.bounds.recovery)
	}
	return v
}
