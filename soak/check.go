package main

// This file defines the checkers, each of which finds where a history breaks one
// promise.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
)

// verdict is how often a promise was put to the test, and where it was broken.
type verdict struct {
	judged int
	broken []string
}

func (v *verdict) fault(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

// checker judges one promise.
type checker struct {
	name  string
	check func(h *history) verdict
}

var checkers = []checker{
	{"own_answer", checkOwn},
	{"once", checkOnce},
	{"true_refusal", checkRefusals},
	{"nothing_lost", checkLost},
	{"caller_gone", checkGone},
	{"drain", checkDrain},
	{"evacuation", checkEvacuation},
	{"configuration_in_force", checkConfig},
	{"configuration_never_back", checkNeverBack},
	{"one_holder", checkHolder},
	{"usage", checkUsage},
	{"cold", checkCold},
	{"retry_budget", checkBudget},
	{"priority", checkPriority},
	{"recovery", checkRecovery},
	{"own_ends", func(h *history) verdict { return verdict{h.ended, h.ends} }},
}

// judge returns the verdict of each checker by its name.
func (h *history) judge() map[string]verdict {
	out := make(map[string]verdict, len(checkers))
	for _, c := range checkers {
		out[c.name] = c.check(h)
	}
	return out
}

// broken returns a line for each broken promise, in the order of the checkers.
func broken(verdicts map[string]verdict) (lines []string) {
	for _, c := range checkers {
		for _, line := range verdicts[c.name].broken {
			lines = append(lines, c.name+": "+line)
		}
	}
	return lines
}

func checkOwn(h *history) (v verdict) {
	for _, a := range h.answers {
		if !a.served() {
			continue
		}
		v.judged++
		if !a.own {
			v.fault("%s of kind %s got other bytes than its own at %v", a.request, a.kind, a.done)
		}
	}
	return v
}

func checkOnce(h *history) (v verdict) {
	runs := h.byRequest()
	for _, a := range h.answers {
		n := 0
		for _, x := range runs[a.request] {
			if x.ran {
				n++
			}
		}
		if a.kind.Retryable() || n == 0 {
			continue
		}
		v.judged++
		if n > 1 {
			v.fault("%s of kind %s ran %d times", a.request, a.kind, n)
		}
	}
	return v
}

func checkRefusals(h *history) (v verdict) {
	runs := h.byRequest()
	for _, a := range h.answers {
		if a.kind.Retryable() || !a.refused() {
			continue
		}
		v.judged++
		for _, x := range runs[a.request] {
			if x.ran {
				v.fault("%s was refused with %d at %v and ran at %v", a.request, a.status, a.done, x.at)
			}
		}
	}
	return v
}

// checkLost judges only around planned work and calm: a request that was passed on to a
// sound upstream gets an answer.
func checkLost(h *history) (v verdict) {
	runs := h.byRequest()
	for _, a := range h.answers {
		if a.left || !h.inTouch(a.node, span{a.sent, a.done}) {
			continue
		}
		v.judged++
		if a.whole {
			continue
		}
		ran, sound := false, true
		for _, x := range runs[a.request] {
			ran = ran || x.ran
			sound = sound && !x.broke
		}
		if ran && sound {
			v.fault("%s was passed on by %s and got no whole answer at %v", a.request, a.node, a.done)
		}
	}
	return v
}

const (
	// goneWithin is how soon an upstream must have stopped after its caller left.
	goneWithin = 500 * time.Millisecond
	// goneShare and goneFew are what the pages allow beyond.
	goneShare, goneFew = 0.25, 4
)

func checkGone(h *history) (v verdict) {
	runs := h.byRequest()
	late := 0
	for _, a := range h.answers {
		if !a.left || !a.kind.Retryable() && !a.kind.Streams() || !h.inTouch(a.node, span{a.sent, a.done + goneWithin}) {
			continue
		}
		for _, x := range runs[a.request] {
			if !x.ran || x.broke {
				continue
			}
			v.judged++
			if x.ended == 0 || x.ended > a.done+goneWithin {
				late++
			}
		}
	}
	if late > goneFew && float64(late) > goneShare*float64(v.judged) {
		v.fault("upstreams went on with %d of %d requests whose callers had left", late, v.judged)
	}
	return v
}

// senders returns the node that each request was sent to.
func (h *history) senders() map[id.Request]id.Node {
	out := make(map[id.Request]id.Node, len(h.answers))
	for _, a := range h.answers {
		out[a.request] = a.node
	}
	return out
}

func checkDrain(h *history) (v verdict) {
	senders := h.senders()
	for _, c := range h.changes {
		if c.what != "drained" {
			continue
		}
		until := c.from + h.bounds.drain
		for _, x := range h.arrivals {
			if !x.ran || x.at <= until || !h.inTouch(senders[x.request], span{c.from, x.at}) {
				continue
			}
			v.judged++
			if x.upstream == id.Upstream(c.name) {
				v.fault("%s reached %s at %v, which was drained at %v", x.request, x.upstream, x.at, c.from)
			}
		}
	}
	return v
}

func checkEvacuation(h *history) (v verdict) {
	senders := h.senders()
	for _, c := range h.changes {
		if c.what != "evacuated" {
			continue
		}
		for _, x := range h.arrivals {
			if x.at <= c.from+h.bounds.evacuate || x.at >= c.until || !h.inTouch(senders[x.request], span{c.from, x.at}) {
				continue
			}
			v.judged++
			if h.centres[x.upstream] == id.DataCentre(c.name) {
				v.fault("%s reached %s in %s at %v, which was evacuated at %v", x.request, x.upstream, c.name, x.at, c.from)
			}
		}
	}
	return v
}

// keySpans returns since when and until when each key is in force.
func (h *history) keySpans() map[string]span {
	out := make(map[string]span)
	for _, c := range h.changes {
		s, known := out[c.name]
		switch {
		case c.what == "key_added":
			out[c.name] = span{c.from, h.length + time.Hour}
		case c.what == "key_withdrawn" && known:
			out[c.name] = span{s.from, c.from}
		}
	}
	return out
}

func checkConfig(h *history) (v verdict) {
	keys := h.keySpans()
	for _, a := range h.answers {
		in, known := keys[a.key]
		denied := a.status == 401 || a.status == 403 || a.status == 404
		accepted := a.status == 200
		if accepted || denied {
			v.judged++
		}
		switch {
		case !known:
			v.fault("%s was sent with a key that never was", a.request)
		case denied && in.from == 0 && a.done < in.until:
			v.fault("%s was denied with %d at %v by %s, its key always was in force", a.request, a.status, a.done, a.node)
		case denied && a.sent > in.from+h.bounds.config && a.done < in.until && h.inTouch(a.node, span{in.from, a.done}):
			v.fault("%s was denied with %d at %v by %s, its key is in force since %v", a.request, a.status, a.done, a.node, in.from)
		case accepted && a.sent > in.until+h.bounds.config && h.inTouch(a.node, span{in.until, a.sent}):
			v.fault("%s was accepted at %v by %s, its key was withdrawn at %v", a.request, a.sent, a.node, in.until)
		}
	}
	return v
}

// checkNeverBack judges every process, in touch or not: one that has refused a withdrawn
// key does not take it again.
func checkNeverBack(h *history) (v verdict) {
	type at struct {
		node id.Node
		life int
		key  string
	}
	keys := h.keySpans()
	refused := make(map[at]time.Duration)
	for _, a := range h.answers {
		k := at{a.node, a.life, a.key}
		if a.status != 401 || a.life < 0 || a.sent < keys[a.key].until {
			continue
		}
		if t, known := refused[k]; !known || a.done < t {
			refused[k] = a.done
		}
	}
	for _, a := range h.answers {
		t, known := refused[at{a.node, a.life, a.key}]
		if !known || a.sent <= t+h.bounds.downgrade {
			continue
		}
		v.judged++
		if a.status == 200 {
			v.fault("%s refused key %s at %v and took it again at %v", a.node, a.key, t, a.sent)
		}
	}
	return v
}

func checkHolder(h *history) (v verdict) {
	counts := make(map[int64]report)
	holders := make(map[uint64]string)
	var highest uint64
	for i, r := range h.reports {
		v.judged++
		excused := !h.calm(id.Node(r.Holder), span{r.at - h.bounds.thaw, r.at})
		if first, known := counts[r.WindowID]; known && !maps.Equal(first.Counts, r.Counts) {
			v.fault("window %d was reported as %v and as %v", r.WindowID, first.Counts, r.Counts)
		} else if !known {
			counts[r.WindowID] = r
		}
		if other, known := holders[r.FencingNumber]; known && other != r.Holder {
			v.fault("%s and %s both used the fencing number %d", other, r.Holder, r.FencingNumber)
		}
		holders[r.FencingNumber] = r.Holder
		if r.FencingNumber < highest && !excused {
			v.fault("%s used the fencing number %d after %d", r.Holder, r.FencingNumber, highest)
		}
		highest = max(highest, r.FencingNumber)
		if i >= 2 && !excused && r.Holder != h.reports[i-1].Holder && r.Holder == h.reports[i-2].Holder && r.at-h.reports[i-2].at < h.bounds.lease {
			v.fault("%s held the duty again at %v, %v after its last report", r.Holder, r.at, r.at-h.reports[i-2].at)
		}
	}
	return v
}

// settled is how long the figures of a window travel among peers, a stopped one's too.
const settled = 3 * time.Second

// checkUsage judges the windows in and around which no process was disturbed but by
// planned work: figures that a killed process had not told anybody are lost.
func checkUsage(h *history) (v verdict) {
	reported := make(map[int64]map[string]uint64)
	for _, r := range h.reports {
		reported[r.WindowID] = r.Counts
	}
	truth := make(map[int64]map[id.Workspace]uint64)
	counted := make(map[id.Request]bool) // a request counts where it began first
	for _, x := range slices.SortedFunc(slices.Values(h.arrivals), func(a, b *arrival) int { return cmp.Compare(a.began, b.began) }) {
		if !x.ran || x.began == 0 || counted[x.request] {
			continue
		}
		counted[x.request] = true
		w := h.start.Add(x.began).UnixNano() / int64(h.bounds.window)
		if truth[w] == nil {
			truth[w] = make(map[id.Workspace]uint64)
		}
		truth[w][x.workspace]++
	}
	for w, want := range truth {
		from := time.Unix(0, w*int64(h.bounds.window)).Sub(h.start)
		until := from + h.bounds.window
		if from < settled || until+h.bounds.usageLate > h.length || !h.calmEverywhere(span{from - settled, until + settled}) {
			continue
		}
		v.judged++
		got, known := reported[w]
		if !known {
			v.fault("window %d, from %v, was not reported", w, from)
			continue
		}
		var off, all uint64
		for name, n := range want {
			all += n
			off += max(n, got[string(name)]) - min(n, got[string(name)])
		}
		if float64(off) > h.bounds.usageOff*float64(all)+1 {
			v.fault("window %d, from %v, was reported as %v, it was %v", w, from, got, want)
		}
	}
	return v
}

// calmEverywhere reports whether nothing disturbed any node in a span, planned work aside.
func (h *history) calmEverywhere(s span) bool {
	return !slices.ContainsFunc(h.faults, func(f fault) bool { return !f.planned && f.meets(s) })
}

func checkCold(h *history) (v verdict) {
	limit := h.bounds.coldRate*h.bounds.coldExcess + h.bounds.coldSlack
	for _, c := range h.changes {
		if c.what != "cold" {
			continue
		}
		var at []time.Duration
		for _, x := range h.arrivals {
			if x.upstream == id.Upstream(c.name) && x.at >= c.from && x.at <= c.until {
				at = append(at, x.at)
			}
		}
		slices.Sort(at)
		v.judged += len(at)
		first := 0
		for i, t := range at {
			for t-at[first] > time.Second {
				first++
			}
			if n := i - first + 1; float64(n) > limit {
				v.fault("%s was cold and got %d requests in the second to %v", c.name, n, t)
				break
			}
		}
	}
	return v
}

// checkBudget counts, in each window, the arrivals beyond the first of each request
// against the requests that callers sent in it or just before.
func checkBudget(h *history) (v verdict) {
	service := func(k catalog.Kind) id.Service {
		if k.Streams() {
			return modelService
		}
		return deskService
	}
	for _, name := range []id.Service{deskService, modelService} {
		var sent, repeats []time.Duration
		for _, a := range h.answers {
			if service(a.kind) == name {
				sent = append(sent, a.sent)
			}
		}
		seen := make(map[id.Request]bool)
		for _, x := range h.arrivals {
			if x.service == name && seen[x.request] {
				repeats = append(repeats, x.at)
			}
			seen[x.request] = true
		}
		slices.Sort(repeats)
		v.judged += len(repeats)
		for i, t := range repeats {
			from := t - h.bounds.retryWindow
			n := 0
			for j := i; j >= 0 && repeats[j] >= from; j-- {
				n++
			}
			asked := 0
			for _, back := range []time.Duration{0, h.bounds.retryWindow / 2, h.bounds.retryWindow} {
				count := 0
				for _, s := range sent {
					if s >= from-back && s <= t-back {
						count++
					}
				}
				asked = max(asked, count)
			}
			if allowed := h.bounds.retryRatio*float64(asked) + h.bounds.retrySlack; float64(n) > allowed {
				v.fault("%s got %d repeats in the %v to %v, %.0f are allowed", name, n, h.bounds.retryWindow, t, allowed)
				break
			}
		}
	}
	return v
}

// checkPriority compares how urgent upstreams were told that requests are with the
// priorities of workspace and route, in this order.
func checkPriority(h *history) (v verdict) {
	told := make(map[id.Request]int)
	for _, x := range h.arrivals {
		told[x.request] = x.urgency
	}
	type group struct{ low, high int }
	groups := make(map[[2]int]group)
	for _, a := range h.answers {
		u, known := told[a.request]
		if !known {
			continue
		}
		g, seen := groups[a.priority]
		if !seen {
			g = group{u, u}
		}
		groups[a.priority] = group{min(g.low, u), max(g.high, u)}
	}
	order := slices.SortedFunc(maps.Keys(groups), func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	for i := 1; i < len(order); i++ {
		v.judged++
		if before, after := groups[order[i-1]], groups[order[i]]; before.high >= after.low {
			v.fault("priorities %v and %v were sent with urgencies %v and %v", order[i-1], order[i], before, after)
		}
	}
	return v
}

// recovered is the part of the requests that must be served once all is well again: the
// pages ask for a quarter of them, we for nearly all.
const recovered = 0.9

func checkRecovery(h *history) (v verdict) {
	served := 0
	for _, a := range h.answers {
		if a.sent < h.calmFrom+h.bounds.recovers || a.left || a.status == 401 {
			continue
		}
		v.judged++
		if a.served() {
			served++
		}
	}
	if v.judged == 0 || float64(served) < recovered*float64(v.judged) {
		v.fault("%d of %d requests were served after %v", served, v.judged, h.calmFrom+h.bounds.recovers)
	}
	return v
}
