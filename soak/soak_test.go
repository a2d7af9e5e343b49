package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/standin"
)

// sound returns a history that keeps every promise and that each checker has something
// to judge in.
func sound() *history {
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	h := &history{bounds: promised, length: s(60), calmFrom: s(40)}
	h.start = time.Unix(0, 1000*int64(promised.window)) // a window begins with the run
	h.changes = []change{
		{what: "key_added", name: "key-a"}, {what: "key_added", name: "key-w"},
		{what: "key_withdrawn", name: "key-w", span: span{from: s(10)}},
		{what: "drained", name: "i-1", span: span{from: s(20)}},
		{what: "cold", name: "i-2", span: span{s(20), s(23)}},
	}
	h.faults = []fault{{what: "terminate", node: "entry-0", planned: true, span: span{s(30), s(39)}}}
	add := func(rq string, k kind, key string, at float64, status int, ran bool, priority [2]int) (*answer, *arrival) {
		a := &answer{
			request: rq, kind: k, key: key, node: "entry-0", life: 1, sent: s(at), done: s(at + 0.1), status: status,
			whole: true, own: status == 200, priority: priority,
		}
		h.answers = append(h.answers, a)
		if !ran {
			return a, nil
		}
		x := &arrival{
			at: s(at + 0.01), began: s(at + 0.01), ended: s(at + 0.09), request: rq, upstream: "i-2", service: deskService,
			workspace: "ws-a", urgency: priority[0]*2 + priority[1], ran: true,
		}
		h.arrivals = append(h.arrivals, x)
		return a, x
	}
	_, x := add("drained", safe, "key-a", 21, 200, true, [2]int{0, 1})
	x.upstream = "i-1" // within the time to drain
	add("once", once, "key-a", 4.5, 200, true, [2]int{0, 0})
	add("other", safe, "key-w", 5, 200, true, [2]int{1, 1})
	add("withdrawn", safe, "key-w", 13, 401, false, [2]int{1, 1})
	add("refused", once, "key-a", 14, 503, false, [2]int{0, 0})
	left, _ := add("left", safe, "key-a", 15, 0, true, [2]int{0, 1})
	left.left, left.whole = true, false
	add("planned", once, "key-a", 31, 200, true, [2]int{0, 0})
	add("after", safe, "key-a", 50, 200, true, [2]int{0, 1})
	for w, n := range map[int64]uint64{1002: 2, 1010: 1, 1007: 1, 1015: 1, 1025: 1} {
		h.reports = append(h.reports, report{at: s(float64(w-1000)*2 + 3), UsageSeen: standin.UsageSeen{
			Holder: "entry-0", Fence: uint64(w), Window: w, Counts: map[string]uint64{"ws-a": n},
		}})
	}
	sortReports(h)
	return h
}

func sortReports(h *history) {
	for i := range h.reports {
		for j := range i {
			if h.reports[i].at < h.reports[j].at {
				h.reports[i], h.reports[j] = h.reports[j], h.reports[i]
			}
		}
	}
}

func (h *history) answerTo(rq string) *answer {
	for _, a := range h.answers {
		if a.request == rq {
			return a
		}
	}
	return nil
}

func (h *history) arrivalOf(rq string) *arrival {
	for _, x := range h.arrivals {
		if x.request == rq {
			return x
		}
	}
	return nil
}

// TestEachCheckerCanFail breaks a sound history in one way at a time: the checker of the
// promise, and no other, must say so.
func TestEachCheckerCanFail(t *testing.T) {
	require.Empty(t, sound().judge())
	repeat := func(h *history, rq string, n int, after time.Duration) {
		for range n {
			x := *h.arrivalOf(rq)
			x.at += after
			h.arrivals = append(h.arrivals, &x)
		}
	}
	for _, tc := range []struct {
		name    string
		checker string
		mutate  func(h *history)
	}{
		{"bytes of another", "own_answer", func(h *history) { h.answerTo("once").own = false }},
		{"booked twice", "once", func(h *history) { repeat(h, "once", 1, 0) }},
		{"refused and ran", "true_refusal", func(h *history) { h.answerTo("planned").status = 503 }},
		{"cut by a graceful end", "nothing_lost", func(h *history) { h.answerTo("planned").whole = false }},
		{"upstreams work for nobody", "caller_gone", func(h *history) {
			for range goneFew + 1 {
				h.answers = append(h.answers, h.answerTo("left"))
			}
			h.arrivalOf("left").ended = 0
		}},
		{"sent to a drained upstream", "drain", func(h *history) {
			h.arrivalOf("after").upstream = "i-1"
			h.arrivalOf("after").at = h.answerTo("after").sent
		}},
		{"withdrawn key taken", "configuration_in_force", func(h *history) {
			a := h.answerTo("withdrawn")
			a.status, a.own = 200, true
		}},
		{"valid key denied", "configuration_in_force", func(h *history) { h.answerTo("refused").status = 401 }},
		{"withdrawn key taken again", "configuration_never_back", func(h *history) {
			a := *h.answerTo("withdrawn")
			a.request, a.status, a.sent, a.own = "again", 200, a.done+time.Second, true
			h.answers = append(h.answers, &a)
			h.faults = append(h.faults, fault{what: "store_cut", node: "entry-0", span: span{a.sent, a.sent}})
		}},
		{"a window with two figures", "one_holder", func(h *history) {
			r := h.reports[0]
			r.Counts = map[string]uint64{"ws-a": 9}
			h.reports = append([]report{r}, h.reports...)
		}},
		{"two holders of a number", "one_holder", func(h *history) { h.reports[1].Fence, h.reports[1].Holder = h.reports[0].Fence, "entry-1" }},
		{"a number that goes back", "one_holder", func(h *history) { h.reports[1].Fence = 1 }},
		{"holders in turn", "one_holder", func(h *history) {
			h.reports[1].Holder, h.reports[1].at = "entry-1", h.reports[0].at+time.Second
			h.reports[2].at = h.reports[1].at + time.Second
		}},
		{"a window left out", "usage", func(h *history) { h.reports = h.reports[1:] }},
		{"a window that is off", "usage", func(h *history) { h.reports[0].Counts["ws-a"] += 2 }},
		{"a cold upstream overrun", "cold", func(h *history) {
			x := h.arrivalOf("drained")
			x.upstream = "i-2"
			for range 20 {
				y := *x
				y.ran, y.request = false, "a stranger"
				h.arrivals = append(h.arrivals, &y)
			}
		}},
		{"repeats beyond the budget", "retry_budget", func(h *history) { repeat(h, "after", 60, time.Millisecond) }},
		{"the lower priority first", "priority", func(h *history) { h.arrivalOf("once").urgency = 5 }},
		{"not served again", "recovery", func(h *history) { h.answerTo("after").status = 502 }},
		{"a process that ended", "own_ends", func(h *history) { h.ends = []string{"entry-0"} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := sound()
			tc.mutate(h)
			broken := h.judge()
			require.NotEmpty(t, broken)
			for _, line := range broken {
				require.Contains(t, line, tc.checker+": ")
			}
		})
	}
}

// TestSeeds plays one fresh seed shortly, and those that once broke a promise. Each has a
// line on the cause.
func TestSeeds(t *testing.T) {
	for _, tc := range []struct {
		seed  uint64
		cause string
	}{
		{1, "none: it shows that the soak itself works"},
		{7, "of the soak: a start with faulty settings was taken for a crash"},
	} {
		t.Run(tc.cause, func(t *testing.T) {
			o := play(tc.seed, config{callers: 3, faults: 5 * time.Second, entries: 3})
			t.Log(o.summary)
			require.Empty(t, o.broken)
		})
	}
}
