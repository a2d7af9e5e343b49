package main

// This file defines the fault of upstreams that repeat refusals on kept connections, and its
// checker.

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
)

const (
	// takeOverShare is the share of requests with which their connections begin to repeat refusals.
	takeOverShare = 0.25
	// minTruthShare is the share of callers of a repeating upstream that must hear what became of
	// their requests, as for minServedShare. minTreated is how many such requests are enough to tell.
	minTruthShare, minTreated = 0.9, 10
)

// repeatRefusals makes every other upstream that runs requests once repeat refusals.
func (tb *testbed) repeatRefusals(f scheduledFault) {
	var repeating []*upstream
	plain := 0
	for _, u := range tb.listedUpstreams() {
		if u.service != plainService {
			continue
		}
		if plain++; plain%2 == f.target%2 {
			repeating = append(repeating, u)
		}
	}
	setRepeats := func(repeats bool) {
		for _, u := range repeating {
			u.mu.Lock()
			u.repeats = repeats
			u.mu.Unlock()
		}
	}
	setRepeats(true)
	tb.sleep(f.duration)
	setRepeats(false)
}

func (u *upstream) repeatsNow() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.repeats
}

func (u *upstream) closeRepeaters() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.repeaters {
		c.Close()
	}
}

// serveRepeating may take over the connection of a request, and serve this request and the next
// ones while the upstream repeats refusals. It reports whether it did.
func (u *upstream) serveRepeating(rw http.ResponseWriter, r *http.Request, body []byte) bool {
	hijacker, ok := rw.(http.Hijacker)
	if !ok || rand.Float64() >= takeOverShare || !u.repeatsNow() { // no hijacker: called by a repeater
		return false
	}
	u.repeating.Add(1)
	defer u.repeating.Done()
	u.mu.Lock()
	conn, in, err := hijacker.Hijack()
	if err == nil {
		u.repeaters = append(u.repeaters, conn)
	}
	u.mu.Unlock()
	if err != nil {
		u.testbed.t.Errorf("take over a connection: %v", err)
		return false
	}
	defer conn.Close()
	repeater := ragworttest.RefusalRepeater{
		Repeats: []ragworttest.Treatment{
			ragworttest.AnsweredAfterRepeat, ragworttest.AnsweredAfterRepeat, ragworttest.AnsweredAfterRepeat, ragworttest.AnsweredAfterMisdirected,
			ragworttest.AnsweredAfterTooMany, ragworttest.AnsweredAfterOther, ragworttest.AnsweredAfterUnnamed,
		},
		FailsWithPromise: true, Handler: u,
		BeforeResponse: func(request id.Request, treatment ragworttest.Treatment) bool {
			u.testbed.add(func() { u.testbed.treated = append(u.testbed.treated, treated{request, treatment}) })
			return u.repeatsNow()
		},
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	repeater.Serve(r, in.Reader, conn)
	return true
}

// checkRepeatsAnswered checks that callers get their answers before which an upstream repeats a
// refusal. That what callers are told is true is checked by checkRefusals.
func checkRepeatsAnswered(h *history) checkResult {
	return h.checkTreated(func(got []ragworttest.Treatment) bool {
		return slices.ContainsFunc(got, func(t ragworttest.Treatment) bool { return t != ragworttest.Refused && t != ragworttest.Answered })
	})
}

// checkRepeatsRefused checks that callers of requests that such an upstream refuses are served by
// another one or told so.
func checkRepeatsRefused(h *history) checkResult {
	return h.checkTreated(func(got []ragworttest.Treatment) bool {
		return len(got) > 0 && !slices.ContainsFunc(got, func(t ragworttest.Treatment) bool { return t != ragworttest.Refused })
	})
}

// checkTreated checks that callers hear what became of the requests that selected reports by how
// upstreams that repeat refusals treated them.
func (h *history) checkTreated(selected func([]ragworttest.Treatment) bool) (v checkResult) {
	treatments := make(map[id.Request][]ragworttest.Treatment)
	for _, t := range h.treated {
		treatments[t.request] = append(treatments[t.request], t.treatment)
	}
	runs := h.arrivalsByRequest()
	told := 0
	for _, r := range h.results {
		got := treatments[r.request]
		if !selected(got) || r.abandoned || !h.undisturbed(r.node, span{r.sent, r.done}) {
			continue
		}
		if slices.ContainsFunc(got, failsCaller) || slices.ContainsFunc(runs[r.request], func(a *arrival) bool { return a.interrupted }) {
			continue
		}
		if !r.served() && !r.refused() && h.lostOnLink(r) {
			continue
		}
		v.checked++
		ran := slices.ContainsFunc(runs[r.request], func(a *arrival) bool { return a.ran })
		if r.served() || r.refused() && !ran {
			told++
		}
	}
	if v.checked >= minTreated && float64(told) < minTruthShare*float64(v.checked) {
		v.violation("only %d of %d callers of requests at an upstream that repeats refusals heard what became of them", told, v.checked)
	}
	return v
}

// lostOnLink reports whether a request ended just as a fault of an upstream of its service began or
// ended, by which a link drops what it holds: the request may have been lost there without an arrival.
func (h *history) lostOnLink(r *result) bool {
	return slices.ContainsFunc(h.edges, func(e faultEdge) bool {
		return e.service == serviceOf(r.kind) && r.sent <= e.at && (r.done-e.at).Abs() <= linkTransit
	})
}

// failsCaller reports whether a request may fail although it ran: its upstream fails it, or sends a
// response that may be of any request.
func failsCaller(t ragworttest.Treatment) bool {
	return t == ragworttest.FailedWithPromise || t == ragworttest.AnsweredAfterUnnamed
}
