package ragworttest_test

// This file defines the process tests of calls that may not be repeated.

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

const (
	references    = 8 // bookings of one case
	repeats       = 3 // concurrent requests for each, through each entry
	orderDeadline = "deadline=3s"
)

// desk is two entries before one plain service.
type desk struct {
	*ragworttest.Fleet
	t       *testing.T
	service *standin.Service
	proxy   *ragworttest.Proxy // between the sidecar and the service
	side    *ragworttest.Process
	entries []*ragworttest.Process
	key     string

	mu      sync.Mutex
	history []porcupine.Operation
	start   time.Time
}

func newDesk(t *testing.T) *desk {
	d := &desk{t: t, Fleet: ragworttest.NewFleet(t), start: time.Now()}
	rules := regexp.MustCompile(`(name=order .*)deadline=30s`).ReplaceAllString(ragworttest.ExampleRules(t, "hingeworks.rules"), "${1}"+orderDeadline)
	require.Contains(t, rules, "wait=5s "+orderDeadline)
	d.PublishRules(rules)
	d.key, _ = d.GiveKey("bangkok-forge")
	var url string
	d.service, url = d.StartService()
	d.proxy = ragworttest.NewProxy(t, strings.TrimPrefix(url, "http://"))
	d.side = d.StartSidecar("s1", "th-a", "http://"+d.proxy.Address(), "--service=order-desk")
	d.entries = []*ragworttest.Process{d.StartEntry("e1", "th-a"), d.StartEntry("e2", "th-b")}
	d.side.WaitReady(t)
	for _, e := range d.entries {
		e.WaitReady(t)
		d.warm(e)
	}
	return d
}

// warm waits until an entry reaches the service.
func (d *desk) warm(e *ragworttest.Process) {
	ragworttest.Eventually(d.t, func() bool {
		rs := d.send(e, http.MethodGet, "/services/order-desk/stock", "", "")
		return rs.status == http.StatusOK
	}, "%s reaches the service", e.Node)
}

// reply is what a caller got.
type reply struct {
	status  int // zero: no answer
	body    string
	reason  problem.Reason
	run     problem.RunStatus
	header  http.Header
	replays bool
}

func (r reply) String() string { return fmt.Sprintf("%d %s %s %s", r.status, r.reason, r.run, r.body) }

func (d *desk) send(e *ragworttest.Process, method, path, idempotencyKey, body string) reply {
	rq, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+e.Address+path, strings.NewReader(body))
	require.NoError(d.t, err)
	rq.Header.Set("Authorization", "Bearer "+d.key)
	rq.Close = true // net/http repeats a request on a broken kept connection by itself
	if idempotencyKey != "" {
		rq.Header.Set("Idempotency-Key", idempotencyKey)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return reply{}
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return reply{}
	}
	out := reply{status: rs.StatusCode, body: string(data), header: rs.Header, replays: rs.Header.Get("Idempotent-Replayed") != ""}
	if rs.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Problem
		require.NoError(d.t, json.Unmarshal(data, &p))
		out.reason, out.run = p.Reason, p.Run
	}
	return out
}

// booking is one request for a booking, as the history holds it.
type booking struct{ reference string }

// book books a reference under its own name as idempotency key, and records it.
func (d *desk) book(e *ragworttest.Process, reference string) reply {
	call := time.Since(d.start).Nanoseconds()
	r := d.send(e, http.MethodPost, "/services/order-desk/bookings", reference, `{"reference":"`+reference+`"}`)
	end := time.Since(d.start).Nanoseconds()
	if r.status == 0 {
		end = math.MaxInt64 // it may still take effect
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, porcupine.Operation{Input: booking{reference}, Output: r, Call: call, Return: end})
	return r
}

// final repeats a booking until it has an outcome that stays.
func (d *desk) final(e *ragworttest.Process, reference string) reply {
	var r reply
	ragworttest.Eventually(d.t, func() bool {
		r = d.book(e, reference)
		switch {
		case r.status == http.StatusCreated, r.reason == problem.BookingUnknown:
			return true
		case r.status == 0 || r.reason == problem.UpstreamFailed || r.reason == problem.DeadlineExceeded:
			return false
		}
		if r.reason != problem.NoUpstream { // its time to come back is the caller's own matter
			require.NotEmpty(d.t, r.header.Get("Retry-After"), r)
		}
		time.Sleep(200 * time.Millisecond)
		return false
	}, "%s has an outcome, last %v", reference, r)
	return r
}

// check holds what must be true whatever failed.
func (d *desk) check() {
	runs := d.service.RunCounts()
	for reference, n := range runs {
		require.LessOrEqual(d.t, n, 1, "runs of %s", reference)
	}
	ran := make(map[string]bool)
	for _, op := range d.history {
		r, reference := op.Output.(reply), op.Input.(booking).reference
		if r.status == http.StatusCreated {
			require.JSONEq(d.t, `{"reference":"`+reference+`","run":1}`, r.body)
			ran[reference] = true
		}
	}
	for reference := range ran {
		require.Equal(d.t, 1, runs[reference], reference)
	}
	require.True(d.t, porcupine.CheckOperations(bookings.ToModel(), d.history), "the outcomes have no order")
}

// call is the state of one booking.
type call string

const (
	free     call = "free"
	answered call = "answered"
	unknown  call = "unknown"
)

// bookings says which outcomes may follow each other for one booking.
var bookings = &porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			reference := op.Input.(booking).reference
			parts[reference] = append(parts[reference], op)
		}
		var out [][]porcupine.Operation
		for _, p := range parts {
			out = append(out, p)
		}
		return out
	},
	Init: func() []any { return []any{free} },
	Step: func(state, _, output any) []any {
		s, r := state.(call), output.(reply)
		to := unknown
		switch {
		case r.status == 0 && s == free:
			return []any{free, answered, unknown}
		case r.status == 0, r.run == problem.NotRun, r.reason == problem.BookingPending:
			return []any{s}
		case r.status == http.StatusCreated:
			to = answered
		}
		if s == free || s == to {
			return []any{to}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestBookingsRunOnce books through both entries at the same time while faults
// strike, alone and two together.
func TestBookingsRunOnce(t *testing.T) {
	faults := map[string]func(d *desk){
		"none":                func(*desk) {},
		"service slow":        func(d *desk) { d.service.SetFaults(standin.ServiceFaults{DelayMS: 300}) },
		"service loses":       func(d *desk) { d.service.SetFaults(standin.ServiceFaults{DropResponses: 3, DelayMS: 50}) },
		"service cut":         func(d *desk) { d.proxy.Disable(); time.Sleep(200 * time.Millisecond); d.proxy.Enable() },
		"log loses":           func(d *desk) { d.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 6}) },
		"log out":             func(d *desk) { d.Platform.SetFaults(standin.PlatformFaults{Outage: true}) },
		"log slow":            func(d *desk) { d.Platform.SetFaults(standin.PlatformFaults{LogDelayMS: 700}) },
		"entry killed":        func(d *desk) { d.entries[0].Kill(d.t) },
		"sidecar killed":      func(d *desk) { d.side.Kill(d.t) },
		"append rate reached": func(d *desk) { d.Platform.SetFaults(standin.PlatformFaults{AppendsPerSecond: 5}) },
	}
	cases := []string{
		"none", "service loses", "log loses", "log out", "log slow", "append rate reached", "service cut",
		"service slow+entry killed", "service slow+sidecar killed", "log loses+entry killed", "service loses+log loses",
		"log out+sidecar killed", "service slow+log out", "log slow+service loses",
	}
	for _, name := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDesk(t)
			var wg sync.WaitGroup
			for _, fault := range strings.Split(name, "+") {
				wg.Go(func() {
					time.Sleep(60 * time.Millisecond) // so that it strikes some calls half-way
					faults[fault](d)
				})
			}
			for i := range references {
				for _, e := range d.entries {
					for range repeats {
						wg.Go(func() {
							time.Sleep(time.Duration(i) * 20 * time.Millisecond)
							d.book(e, fmt.Sprintf("ref-%d", i))
						})
					}
				}
			}
			wg.Wait()
			d.service.SetFaults(standin.ServiceFaults{})
			d.Platform.SetFaults(standin.PlatformFaults{})
			d.check()
			d.restart()
			for i := range references {
				wg.Go(func() {
					reference := fmt.Sprintf("ref-%d", i)
					d.final(d.entries[0], reference)
					d.final(d.entries[1], reference)
				})
			}
			wg.Wait()
			d.check()
		})
	}
}

// restart replaces the processes that a fault has ended.
func (d *desk) restart() {
	for i, e := range d.entries {
		if e.Exited() {
			d.Platform.RemoveVM(time.Now(), e.Node)
			d.entries[i] = d.StartEntry("e-new", "th-a")
			d.entries[i].WaitReady(d.t)
		}
	}
	if d.side.Exited() {
		d.side = d.StartSidecar("s-new", "th-a", "http://"+d.proxy.Address(), "--service=order-desk")
		d.side.WaitReady(d.t)
	}
	for _, e := range d.entries {
		d.warm(e)
	}
}

// TestCallsWithoutKey checks that a refusal that says not_run is true, and that
// nothing runs twice, when the caller names no idempotency key.
func TestCallsWithoutKey(t *testing.T) {
	d := newDesk(t)
	d.service.SetFaults(standin.ServiceFaults{DropResponses: 10, DelayMS: 20})
	var wg sync.WaitGroup
	var mu sync.Mutex
	replies := make(map[string]reply)
	for i := range 60 {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			reference := fmt.Sprintf("ref-%d", i)
			r := d.send(d.entries[i%2], http.MethodPost, "/services/order-desk/bookings", "", `{"reference":"`+reference+`"}`)
			mu.Lock()
			defer mu.Unlock()
			replies[reference] = r
		})
	}
	time.Sleep(150 * time.Millisecond)
	d.proxy.Disable()
	time.Sleep(100 * time.Millisecond)
	d.proxy.Enable()
	time.Sleep(150 * time.Millisecond)
	d.side.Kill(t)
	wg.Wait()
	runs := d.service.RunCounts()
	for reference, r := range replies {
		switch {
		case r.run == problem.NotRun:
			require.Zero(t, runs[reference], r)
		case r.status == http.StatusCreated:
			require.Equal(t, 1, runs[reference], r)
		}
		require.LessOrEqual(t, runs[reference], 1, reference)
	}
}

// TestRepeats checks what a repeat is told.
func TestRepeats(t *testing.T) {
	d := newDesk(t)
	first := d.book(d.entries[0], "steel")
	require.Equal(t, http.StatusCreated, first.status, first)
	require.False(t, first.replays)
	again := d.book(d.entries[1], "steel")
	require.Equal(t, first.body, again.body)
	require.Equal(t, first.header.Get("Content-Type"), again.header.Get("Content-Type"))
	require.True(t, again.replays)
	other := d.send(d.entries[1], http.MethodPost, "/services/order-desk/bookings", "steel", `{"reference":"brass"}`)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, problem.BookingConflict, other.reason)

	d.service.SetFaults(standin.ServiceFaults{DropResponses: 1})
	lost := d.book(d.entries[0], "lost")
	require.Equal(t, problem.RunUnknown, lost.run, lost)
	require.Equal(t, problem.BookingUnknown, d.book(d.entries[1], "lost").reason)

	d.Platform.SetFaults(standin.PlatformFaults{Outage: true})
	begin := time.Now()
	out := d.book(d.entries[0], "outage")
	require.Less(t, time.Since(begin), 5*time.Second)
	require.Equal(t, problem.LogUnavailable, out.reason)
	require.Equal(t, problem.NotRun, out.run)
	require.NotEmpty(t, out.header.Get("Retry-After"))
	require.Equal(t, first.body, d.book(d.entries[0], "steel").body, "a recorded outcome needs no log")
	d.Platform.SetFaults(standin.PlatformFaults{})
	require.Equal(t, http.StatusCreated, d.final(d.entries[1], "outage").status)
	d.check()
}

// TestEntryDiesWhileBooking kills the entry that runs a booking: a repeat waits for
// the longest run and is then told that the outcome is not known.
func TestEntryDiesWhileBooking(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	d.service.SetFaults(standin.ServiceFaults{DelayMS: 1000})
	first := make(chan reply, 1)
	go func() { first <- d.book(d.entries[0], "steel") }()
	ragworttest.Eventually(t, func() bool { return d.service.RunCounts()["steel"] == 1 }, "the service runs it")
	d.entries[0].Kill(t)
	require.Zero(t, (<-first).status)
	pending := d.book(d.entries[1], "steel")
	require.Equal(t, problem.BookingPending, pending.reason)
	require.Equal(t, problem.RunUnknown, pending.run)
	require.NotEmpty(t, pending.header.Get("Retry-After"))
	require.Equal(t, problem.BookingUnknown, d.final(d.entries[1], "steel").reason)
	d.restart()
	require.Equal(t, problem.BookingUnknown, d.final(d.entries[0], "steel").reason)
	d.check()
}

// TestRepeatsAreNotLimited repeats a booking beyond what its workspace may send.
func TestRepeatsAreNotLimited(t *testing.T) {
	t.Parallel()
	d := newDesk(t)
	d.PublishRules(strings.Replace(ragworttest.ExampleRules(t, "hingeworks.rules"), "share=4 requests=200", "share=4 burst=1s requests=1", 1))
	e := d.entries[0]
	first := d.final(e, "steel")
	require.Equal(t, http.StatusCreated, first.status)
	var limited reply
	ragworttest.Eventually(t, func() bool {
		limited = d.send(e, http.MethodGet, "/services/order-desk/stock/bars", "", "")
		return limited.reason == problem.WorkspaceLimit
	}, "the workspace has spent its limit")
	for range 5 {
		require.Equal(t, first.body, d.book(e, "steel").body)
	}
	d.check()
}
