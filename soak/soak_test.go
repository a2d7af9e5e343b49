package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// sound returns a history that keeps every promise and that each checker has something
// to judge in.
func sound() *history {
	s := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	h := &history{bounds: promised, length: s(60), calmFrom: s(40), ended: 1, centres: map[id.Upstream]id.DataCentre{"i-1": "th-a", "i-2": "th-a"}}
	h.start = time.Unix(0, 1000*int64(promised.window)) // a window begins with the run
	h.changes = []change{
		{what: "key_added", name: "key-a"}, {what: "key_added", name: "key-w"},
		{what: "key_withdrawn", name: "key-w", span: span{from: s(10)}},
		{what: "drained", name: "i-1", span: span{from: s(20)}},
		{what: "cold", name: "i-2", span: span{s(20), s(23)}},
		{what: "evacuated", name: "th-b", span: span{s(24), s(45)}},
	}
	h.faults = []fault{{what: "terminate", node: "entry-0", planned: true, span: span{s(30), s(39)}}}
	add := func(rq id.Request, k catalog.Kind, key string, at float64, status int, ran bool, priority [2]int) (*answer, *arrival) {
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
	_, x := add("drained", catalog.KindSafe, "key-a", 21, 200, true, [2]int{0, 1})
	x.upstream = "i-1" // within the time to drain
	add("once", catalog.KindOnce, "key-a", 4.5, 200, true, [2]int{0, 0})
	add("other", catalog.KindSafe, "key-w", 5, 200, true, [2]int{1, 1})
	add("withdrawn", catalog.KindSafe, "key-w", 13, 401, false, [2]int{1, 1})
	add("again", catalog.KindSafe, "key-w", 14, 401, false, [2]int{1, 1})
	add("refused", catalog.KindOnce, "key-a", 14, 503, false, [2]int{0, 0})
	left, _ := add("left", catalog.KindSafe, "key-a", 15, 0, true, [2]int{0, 1})
	left.left, left.whole = true, false
	add("cold", catalog.KindSafe, "key-a", 22, 200, true, [2]int{0, 1})
	add("planned", catalog.KindOnce, "key-a", 31, 200, true, [2]int{0, 0})
	_, x = add("after", catalog.KindSafe, "key-a", 50, 200, true, [2]int{0, 1})
	repeated := *x
	repeated.at += time.Millisecond
	h.arrivals = append(h.arrivals, &repeated)
	for _, second := range []int64{4, 5, 15, 21, 22, 31, 50} { // in which one request began each
		h.reports = append(h.reports, report{at: s(float64(second) + 2), ReceivedUsage: standin.ReceivedUsage{
			Holder: "entry-0", FencingNumber: uint64(second), WindowID: 1000 + second, Counts: map[string]uint64{"ws-a": 1},
		}})
	}
	return h
}

func (h *history) answerTo(rq id.Request) *answer {
	for _, a := range h.answers {
		if a.request == rq {
			return a
		}
	}
	return nil
}

func (h *history) arrivalOf(rq id.Request) *arrival {
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
	for name, v := range sound().judge() {
		require.Positive(t, v.judged, "%s has nothing to judge", name)
		require.Empty(t, v.broken, name)
	}
	repeat := func(h *history, rq id.Request, n int, after time.Duration) {
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
		{"sent to an evacuated data centre", "evacuation", func(h *history) { h.centres["i-2"] = "th-b" }},
		{"withdrawn key taken", "configuration_in_force", func(h *history) {
			a := h.answerTo("again")
			a.status, a.own, a.life = 200, true, 2
		}},
		{"valid key denied", "configuration_in_force", func(h *history) { h.answerTo("refused").status = 401 }},
		{"withdrawn key taken again", "configuration_never_back", func(h *history) {
			a := h.answerTo("again")
			a.status, a.own = 200, true
			h.faults = append(h.faults, fault{what: "store_cut", node: "entry-0", span: span{a.sent, a.sent}}) // excuses nothing
		}},
		{"a window with two figures", "one_holder", func(h *history) {
			r := h.reports[0]
			r.Counts = map[string]uint64{"ws-a": 9}
			h.reports = append([]report{r}, h.reports...)
		}},
		{"two holders of a number", "one_holder", func(h *history) {
			h.reports[1].FencingNumber, h.reports[1].Holder = h.reports[0].FencingNumber, "entry-1"
		}},
		{"a number that goes back", "one_holder", func(h *history) { h.reports[1].FencingNumber = 1 }},
		{"holders in turn", "one_holder", func(h *history) {
			h.reports[1].Holder = "entry-1"
			h.reports[2].at = h.reports[0].at + 2*time.Second
		}},
		{"a window left out", "usage", func(h *history) { h.reports = h.reports[1:] }},
		{"a window that is off", "usage", func(h *history) { h.reports[0].Counts["ws-a"] += 2 }},
		{"a cold upstream overrun", "cold", func(h *history) {
			for range 20 {
				y := *h.arrivalOf("cold")
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
			lines := broken(h.judge())
			require.NotEmpty(t, lines)
			for _, line := range lines {
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
