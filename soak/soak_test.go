package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/platform"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// exitStatus returns how a process ends with an exit code.
func exitStatus(code int) syscall.WaitStatus { return syscall.WaitStatus(code << 8) }

// validHistory returns a history without violations in which each checker has cases to check.
func validHistory() *history {
	seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	h := &history{bounds: testedBounds, duration: seconds(60), faultsEnded: seconds(40), dataCentreOf: map[id.Upstream]id.DataCentre{"i-1": "th-a", "i-2": "th-a", "i-3": "th-a"}}
	h.start = time.Unix(0, 1000*int64(testedBounds.window)) // a usage window begins with the run
	h.changes = []change{
		{kind: "key_added", name: "key-a"}, {kind: "key_added", name: "key-w"},
		{kind: "key_withdrawn", name: "key-w", span: span{from: seconds(10)}},
		{kind: "drained", name: "i-1", span: span{from: seconds(20)}},
		{kind: "cold", name: "i-2", span: span{seconds(20), seconds(23)}},
		{kind: "evacuated", name: "th-b", span: span{seconds(24), seconds(45)}},
	}
	h.disturbances = []disturbance{{cause: "terminate", node: "entry-0", maintenance: true, span: span{seconds(30), seconds(39)}}}
	add := func(requestID id.Request, k catalog.Kind, key string, at float64, status int, ran bool, priority [2]int) (*result, *arrival) {
		r := &result{
			request: requestID, kind: k, key: key, node: "entry-0", incarnation: 1, sent: seconds(at), done: seconds(at + 0.1), status: status,
			complete: true, own: status == 200, priority: priority,
		}
		h.results = append(h.results, r)
		if !ran {
			return r, nil
		}
		a := &arrival{
			at: seconds(at + 0.01), began: seconds(at + 0.01), ended: seconds(at + 0.09), request: requestID, upstream: "i-2", service: plainService,
			workspace: "ws-a", urgency: priority[0]*2 + priority[1], ran: true,
		}
		h.arrivals = append(h.arrivals, a)
		return r, a
	}
	_, a := add("drained", catalog.KindSafe, "key-a", 21, 200, true, [2]int{0, 1})
	a.upstream = "i-1" // within the time to drain
	_, a = add("garbled", catalog.KindSafe, "key-a", 16, 502, true, [2]int{0, 1})
	a.garbled = true
	_, a = add("leaver", catalog.KindSafe, "key-a", 16, 200, true, [2]int{0, 1})
	a.upstream, a.leaving = "i-3", true
	h.waits = []askedWait{{"drained", "i-2", span{seconds(21), seconds(22.5)}}}
	h.limits = []namedLimit{{"i-3", 1, span{seconds(15), seconds(29)}}}
	h.visits = []visit{{seconds(16), "leaver", "i-3"}, {seconds(20), "leaver", "i-3"}}
	add("once", catalog.KindOnce, "key-a", 4.5, 200, true, [2]int{0, 0})
	add("other", catalog.KindSafe, "key-w", 5, 200, true, [2]int{1, 1})
	add("withdrawn", catalog.KindSafe, "key-w", 13, 401, false, [2]int{1, 1})
	add("again", catalog.KindSafe, "key-w", 14, 401, false, [2]int{1, 1})
	add("refused", catalog.KindOnce, "key-a", 14, 503, false, [2]int{0, 0})
	abandoned, _ := add("left", catalog.KindSafe, "key-a", 15, 0, true, [2]int{0, 1})
	abandoned.abandoned, abandoned.complete = true, false
	add("cold", catalog.KindSafe, "key-a", 22, 200, true, [2]int{0, 1})
	add("planned", catalog.KindOnce, "key-a", 31, 200, true, [2]int{0, 0})
	_, a = add("after", catalog.KindSafe, "key-a", 50, 200, true, [2]int{0, 1})
	repeated := *a
	repeated.at += time.Millisecond
	h.arrivals = append(h.arrivals, &repeated)
	h.crashes = []time.Duration{seconds(5), seconds(5), seconds(5.2), seconds(5.4), seconds(5.7), seconds(6)} // the second is none of its own
	crashing, _ := add("crashing", catalog.KindResumable, "key-a", 16, 502, true, [2]int{0, 1})
	crashing.prompt = crashingPart
	h.arrivalOf("crashing").began = 0
	beside, _ := add("beside", catalog.KindResumable, "key-a", 16.2, 503, false, [2]int{0, 1})
	beside.prompt = sharedPart
	h.ends = []processEnd{
		{node: "entry-0", sent: syscall.SIGTERM, served: true, stopLogged: true, peakMB: 40},
		{node: "entry-0", sent: syscall.SIGTERM, status: syscall.WaitStatus(syscall.SIGTERM), peakMB: 10}, // before it served
		{node: "entry-0", sent: syscall.SIGKILL, status: syscall.WaitStatus(syscall.SIGKILL), served: true, peakMB: 40},
		{node: "entry-0", faultySettings: true, status: exitStatus(1)},
		{node: "entry-0", uncaughtHangup: true, status: syscall.WaitStatus(syscall.SIGHUP)},
	}
	h.resultOf("planned").stop = 1
	h.rolled = []rolledOut{playedRollout(h, rolloutPlan{}, standin.RolloutDone, 500), playedRollout(h, rolloutPlan{defect: standin.Defect{Way: standin.BadFails}}, standin.RolloutRolledBack, 60)}
	h.treated = []treated{{"once", ragworttest.AnsweredAfterRepeat}, {"refused", ragworttest.Refused}}
	for _, second := range []int64{4, 5, 15, 16, 21, 22, 31, 50} { // one request began in each
		h.reports = append(h.reports, usageReport{at: seconds(float64(second) + 2), ReceivedUsage: standin.ReceivedUsage{
			Holder: "entry-0", FencingNumber: uint64(second), WindowID: 1000 + second, Counts: map[string]uint64{"ws-a": 1},
		}})
	}
	return h
}

// playedRollout returns a roll-out from 45 s on with a request every 20 ms, of which the target got the first
// ones, that ended in a state a second before its deadline.
func playedRollout(h *history, plan rolloutPlan, end standin.RolloutState, exposed int) rolledOut {
	start := h.start.Add(45 * time.Second)
	r := rolledOut{plan: plan, senders: make(map[id.Request]id.Node), record: standin.RolloutRecord{
		Service: rolledService, Target: "v2", OrderedAt: start, Deadline: start.Add(rolloutTime),
		Statuses: []standin.StatusChange{{At: start.Add(rolloutTime - time.Second), RolloutStatus: standin.RolloutStatus{State: end, Target: "v2"}}},
	}}
	for i := range 500 {
		at := start.Add(time.Duration(i) * rolloutTime / 500)
		run := standin.ReplicaRun{Request: id.Request(fmt.Sprint("rolled-", i)), Service: rolledService, Version: "v1", At: at, Ended: at}
		if i < exposed {
			run.Version, run.Bad = "v2", plan.defect.Way != ""
		}
		r.runs, r.senders[run.Request] = append(r.runs, run), "entry-0"
	}
	return r
}

// TestRolloutExcuses checks what excuses a roll-out: a disturbance of all entries how it ends, one of an entry
// what the target gets from it too late, and nothing that it gets too much.
func TestRolloutExcuses(t *testing.T) {
	bad := rolloutPlan{defect: standin.Defect{Way: standin.BadFails}}
	for _, tc := range []struct {
		name       string
		exposed    int
		end        standin.RolloutState
		node       id.Node
		violations int
	}{
		{"not rolled back, all disturbed", 60, standin.RolloutRunning, "", 0},
		{"not rolled back, one disturbed", 60, standin.RolloutRunning, "entry-0", 1},
		{"exposed, all disturbed", 400, standin.RolloutRolledBack, "", 1},
		{"exposed, the entry disturbed", 400, standin.RolloutRolledBack, "entry-0", 1},
		{"exposed, another one disturbed", 400, standin.RolloutRolledBack, "entry-1", 2}, // and too long
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := validHistory()
			h.rolled = []rolledOut{playedRollout(h, bad, tc.end, tc.exposed)}
			h.disturbances = append(h.disturbances, disturbance{cause: "pause", node: tc.node, span: span{45 * time.Second, 55 * time.Second}})
			require.Len(t, checkRollout(h).violations, tc.violations)
		})
	}
}

func (h *history) resultOf(requestID id.Request) *result {
	for _, r := range h.results {
		if r.request == requestID {
			return r
		}
	}
	return nil
}

func (h *history) arrivalOf(requestID id.Request) *arrival {
	for _, a := range h.arrivals {
		if a.request == requestID {
			return a
		}
	}
	return nil
}

// addTreated adds requests at an upstream that repeats refusals.
func (h *history) addTreated(n int, treatment ragworttest.Treatment, status int) {
	for i := range n {
		r := *h.resultOf("refused")
		r.request, r.status = id.Request(fmt.Sprint("treated-", i)), status
		h.results = append(h.results, &r)
		h.treated = append(h.treated, treated{r.request, treatment})
	}
}

// addPrompts adds requests to the model service, those with status 200 with an arrival.
func (h *history) addPrompts(n int, draw func(n int) (prompt string, status int)) {
	for i := range n {
		r, a := *h.resultOf("beside"), *h.arrivalOf("crashing")
		r.request = id.Request(fmt.Sprint("prompt-", i))
		r.prompt, r.status = draw(i)
		r.own = r.status == http.StatusOK
		h.results = append(h.results, &r)
		if r.own {
			a.request = r.request
			h.arrivals = append(h.arrivals, &a)
		}
	}
}

// TestNoUpstreamForPrompts checks that sound requests beside crashing ones need not begin where no others do.
func TestNoUpstreamForPrompts(t *testing.T) {
	h := validHistory()
	h.addPrompts(2*minSoundPrompts, func(n int) (prompt string, status int) { return []string{sharedPart, ""}[n%2], 503 })
	require.Empty(t, checkCrashing(h).violations)
}

// TestEachCheckerCanFail adds one violation at a time to a valid history: the checker of that
// guarantee, and no other, must report it.
func TestEachCheckerCanFail(t *testing.T) {
	for name, v := range validHistory().runCheckers() {
		require.Positive(t, v.checked, "%s has no case to check", name)
		require.Empty(t, v.violations, name)
	}
	repeat := func(h *history, requestID id.Request, n int, after time.Duration) {
		for range n {
			a := *h.arrivalOf(requestID)
			a.at += after
			h.arrivals = append(h.arrivals, &a)
		}
	}
	for _, tc := range []struct {
		name    string
		checker string
		mutate  func(h *history)
	}{
		{"content of another response", "own_answer", func(h *history) { h.resultOf("once").own = false }},
		{"ran twice", "once", func(h *history) { repeat(h, "once", 1, 0) }},
		{"refused but ran", "true_refusal", func(h *history) { h.resultOf("planned").status = 503 }},
		{"response cut by a graceful shutdown", "nothing_lost", func(h *history) { h.resultOf("planned").complete = false }},
		{"upstream goes on without a caller", "caller_gone", func(h *history) {
			for range maxLateStops + 1 {
				h.results = append(h.results, h.resultOf("left"))
			}
			h.arrivalOf("left").ended = 0
		}},
		{"sent to a drained upstream", "drain", func(h *history) {
			h.arrivalOf("after").upstream = "i-1"
			h.arrivalOf("after").at = h.resultOf("after").sent
		}},
		{"more than the limit", "named_limit", func(h *history) {
			for range 11 {
				h.visits = append(h.visits, visit{20500 * time.Millisecond, "leaver", "i-3"})
			}
		}},
		{"sent to a leaving upstream", "leaving", func(h *history) {
			h.arrivalOf("planned").upstream = "i-3"
		}},
		{"requests during an asked wait", "asked_wait", func(h *history) {
			a := *h.arrivalOf("drained")
			a.upstream, a.at, a.ran = "i-2", 21800*time.Millisecond, false
			for range maxDuringWait + 1 {
				h.arrivals = append(h.arrivals, &a)
			}
		}},
		{"sent to an evacuated data centre", "evacuation", func(h *history) { h.dataCentreOf["i-2"] = "th-b" }},
		{"withdrawn key accepted", "configuration_in_force", func(h *history) {
			r := h.resultOf("again")
			r.status, r.own, r.incarnation = 200, true, 2
		}},
		{"valid key denied", "configuration_in_force", func(h *history) { h.resultOf("refused").status = 401 }},
		{"withdrawn key accepted again after a refusal", "configuration_never_back", func(h *history) {
			r := h.resultOf("again")
			r.status, r.own = 200, true
			h.disturbances = append(h.disturbances, disturbance{cause: "store_cut", node: "entry-0", span: span{r.sent, r.sent}}) // excuses nothing
		}},
		{"two counts for a window", "one_holder", func(h *history) {
			r := h.reports[0]
			r.Counts = map[string]uint64{"ws-a": 9}
			h.reports = append([]usageReport{r}, h.reports...)
		}},
		{"two holders with one fencing number", "one_holder", func(h *history) {
			h.reports[1].FencingNumber, h.reports[1].Holder = h.reports[0].FencingNumber, "entry-1"
		}},
		{"fencing number decreases", "one_holder", func(h *history) { h.reports[1].FencingNumber = 1 }},
		{"alternating holders", "one_holder", func(h *history) {
			h.reports[1].Holder = "entry-1"
			h.reports[2].at = h.reports[0].at + 2*time.Second
		}},
		{"a window not reported", "usage", func(h *history) { h.reports = h.reports[1:] }},
		{"a window with a wrong count", "usage", func(h *history) { h.reports[0].Counts["ws-a"] += 2 }},
		{"too many requests to a cold upstream", "cold", func(h *history) {
			for range 20 {
				a := *h.arrivalOf("cold")
				a.ran, a.request = false, "unknown"
				h.arrivals = append(h.arrivals, &a)
			}
		}},
		{"retries beyond the budget", "retry_budget", func(h *history) { repeat(h, "after", 60, time.Millisecond) }},
		{"the lower priority is more urgent", "priority", func(h *history) { h.arrivalOf("once").urgency = 5 }},
		{"requests that crash upstreams go on", "crashing", func(h *history) {
			for range maxCrashesLate + 1 {
				a := *h.arrivalOf("crashing")
				a.ran = false
				h.arrivals = append(h.arrivals, &a)
			}
		}},
		{"sound requests beside those are held back", "crashing", func(h *history) {
			r := *h.resultOf("beside")
			for n := range minSoundPrompts {
				other := r
				other.request = id.Request(fmt.Sprint("beside-", n))
				h.results = append(h.results, &other)
			}
		}},
		{"sound requests beside those are held back, half of the others are served", "crashing", func(h *history) {
			h.addPrompts(8*minSoundPrompts, func(n int) (prompt string, status int) {
				return []string{sharedPart, "", sharedPart, ""}[n%4], []int{503, 503, 503, 200}[n%4]
			})
		}},
		{"a status that HTTP does not have", "garbled_heads", func(h *history) { h.resultOf("garbled").status = 999 }},
		{"no answers beside repeated refusals", "repeats_answered", func(h *history) {
			h.addTreated(minTreated, ragworttest.AnsweredAfterRepeat, 502)
		}},
		{"refused requests fail beside repeated refusals", "repeats_refused", func(h *history) {
			h.addTreated(minTreated, ragworttest.Refused, 502)
		}},
		{"a good version is not done", "rollout", func(h *history) { h.rolled[0].record.Statuses = nil }},
		{"a good version is rolled back", "rollout", func(h *history) { h.rolled[0].record.Statuses[0].State = standin.RolloutRolledBack }},
		{"a good version is done late", "rollout", func(h *history) { h.rolled[0].record.Statuses[0].At = h.start.Add(56 * time.Second) }},
		{"a bad version is done", "rollout", func(h *history) { h.rolled[1].record.Statuses[0].State = standin.RolloutDone }},
		{"a bad version is not rolled back", "rollout", func(h *history) { h.rolled[1].record.Statuses = nil }},
		{"a bad version gets too much", "rollout", func(h *history) {
			h.rolled[1] = playedRollout(h, h.rolled[1].plan, standin.RolloutRolledBack, 110)
		}},
		{"a bad version gets requests too long", "rollout", func(h *history) { h.rolled[1].runs[400].Version = "v2" }},
		{"a withdrawn version is done", "rollout", func(h *history) { h.rolled[0].plan.withdrawn = true }},
		{"not served after the faults", "recovery", func(h *history) { h.resultOf("after").status = 502 }},
		{"a process that crashed", "own_ends", func(h *history) { h.ends[2].sent = 0 }},
		{"a process that crashed after SIGTERM", "own_ends", func(h *history) { h.ends[0].status, h.ends[0].stopLogged = syscall.WaitStatus(syscall.SIGSEGV), false }},
		{"a planned stop with an error", "own_ends", func(h *history) { h.ends[0].status = exitStatus(1) }},
		{"a planned stop whose output nobody reads, with an error", "own_ends", func(h *history) { h.ends[0].status, h.ends[0].outputClosed = exitStatus(1), true }},
		{"a planned stop that is cut short", "own_ends", func(h *history) { h.ends[0].stopLogged = false }},
		{"SIGTERM ends a process that serves", "own_ends", func(h *history) { h.ends[1].served = true }},
		{"SIGHUP ends a process that starts", "own_ends", func(h *history) { h.ends[4].uncaughtHangup = false }},
		{"SIGHUP ends a process that serves", "own_ends", func(h *history) { h.ends[4].served = true }},
		{"a process gives up at its start", "own_ends", func(h *history) { h.ends[3].faultySettings = false }},
		{"invalid settings end a process that serves", "own_ends", func(h *history) { h.ends[3].served = true }},
		{"too much memory", "memory", func(h *history) { h.ends[2].peakMB = memoryMB + 1 }},
		{"no answers in a stop", "stop_answered", func(h *history) {
			for range maxUnanswered + 1 {
				lost := *h.resultOf("refused")
				lost.request, lost.status, lost.complete, lost.stop = "lost", 0, false, 1
				h.results = append(h.results, &lost)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := validHistory()
			tc.mutate(h)
			lines := listViolations(h.runCheckers())
			require.NotEmpty(t, lines)
			for _, line := range lines {
				require.Contains(t, line, tc.checker+": ")
			}
		})
	}
}

// TestStopWaitsForUpstreams checks that no handler of an upstream changes the history after stop,
// when the checkers read it without a lock.
func TestStopWaitsForUpstreams(t *testing.T) {
	tb := newTestbed(t, rand.New(rand.NewPCG(1, 1)), 0)
	var u *upstream
	for _, listed := range tb.listedUpstreams() {
		if listed.service == modelService {
			u = listed
		}
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, u.server.URL, http.NoBody)
	require.NoError(t, err)
	platform.HeaderCodec{}.SetUpstreamHeaders(request.Header, gateway.UpstreamRequestInfo{Upstream: u.name, Timeout: time.Minute})
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = response.Body.Read(make([]byte, 1)) // the stream has begun and goes on
	require.NoError(t, err)
	tb.stop()
	require.Len(t, tb.arrivals, 1)
	require.NotZero(t, tb.arrivals[0].ended)
}

// TestAnswerOnLink checks that a fault of an upstream interrupts the answers that it has just finished.
func TestAnswerOnLink(t *testing.T) {
	tb := &testbed{}
	tb.start = time.Now().Add(-time.Second)
	u := &upstream{testbed: tb, name: "i-1"}
	now := tb.now()
	onLink := &arrival{upstream: "i-1", ended: now}
	earlier := &arrival{upstream: "i-1", ended: now - 2*linkTransit}
	other := &arrival{upstream: "i-2", ended: now}
	tb.arrivals = []*arrival{onLink, earlier, other}
	u.markDisturbed()
	require.True(t, onLink.interrupted)
	require.False(t, earlier.interrupted)
	require.False(t, other.interrupted)
}

// TestLostOnLink checks that requests that end as a fault of an upstream ends may have been lost on its
// link, and no others.
func TestLostOnLink(t *testing.T) {
	for _, tc := range []struct {
		name     string
		edge     faultEdge
		violated bool
	}{
		{"as the fault ends", faultEdge{14 * time.Second, plainService}, false},
		{"later", faultEdge{14*time.Second - linkTransit, plainService}, true},
		{"other service", faultEdge{14 * time.Second, modelService}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := validHistory()
			h.addTreated(minTreated, ragworttest.Refused, 502)
			h.edges = []faultEdge{tc.edge}
			require.Equal(t, tc.violated, len(checkRepeatsRefused(h).violations) > 0)
		})
	}
}

// TestPortTaken checks that a port that is taken as a process starts cannot be had until it is free.
func TestPortTaken(t *testing.T) {
	tb := &testbed{t: t, stopped: make(chan struct{})}
	for _, connected := range []bool{false, true} {
		p := &portTaken{address: ragworttest.FreeAddress(t), connected: connected}
		p.prepare(&node{testbed: tb})
		_, err := net.Listen("tcp", p.address)
		require.ErrorIs(t, err, syscall.EADDRINUSE)
		p.follow(&node{testbed: tb})
		l, err := net.Listen("tcp", p.address)
		require.NoError(t, err)
		l.Close()
	}
}

// TestSeeds runs one seed for a short time, and seeds that once reported violations, each with
// the cause.
func TestSeeds(t *testing.T) {
	for _, tc := range []struct {
		seed  uint64
		cause string
	}{
		{1, "none: a check of the soak itself"},
		{7, "in the soak: a start with invalid settings counted as a crash"},
	} {
		t.Run(tc.cause, func(t *testing.T) {
			res := runSeed(tc.seed, config{callersPerEntry: 3, faultDuration: 5 * time.Second, entries: 3, lifeFaults: injectsLifeFaults})
			t.Log(res.summary)
			require.Empty(t, res.violations)
		})
	}
}

// TestCrashesInABurstAreOne guards against a check that asks for a part to be held after fewer separate crashes than
// the guarantee names.
func TestCrashesInABurstAreOne(t *testing.T) {
	const ms = time.Millisecond
	burst := []time.Duration{5030 * ms, 5000 * ms, 5060 * ms, 5090 * ms}
	require.Equal(t, []time.Duration{5000 * ms}, separateCrashes(burst))
	require.Equal(t, []time.Duration{5000 * ms, 5100 * ms, 7000 * ms}, separateCrashes(append(burst, 5100*ms, 7000*ms, 7050*ms)))
}
