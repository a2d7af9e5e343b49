package ragworttest_test

// This file tests bookings, which are calls that must run at most once, with real processes.

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
	bookingsPerCase    = 8
	requestsPerBooking = 3             // concurrent requests through each entry
	orderDeadline      = "deadline=3s" // replaces the 30 s of the example rules
)

// orderDesk is a fleet of two entries and one service that takes bookings.
type orderDesk struct {
	*ragworttest.Fleet
	t       *testing.T
	service *standin.Service
	proxy   *ragworttest.Proxy // between the sidecar and the service
	sidecar *ragworttest.Process
	entries []*ragworttest.Process
	key     string

	mu      sync.Mutex
	history []porcupine.Operation // of book; times are relative to start
	start   time.Time
}

func newOrderDesk(t *testing.T) *orderDesk {
	d := &orderDesk{t: t, Fleet: ragworttest.NewFleet(t), start: time.Now()}
	rules := regexp.MustCompile(`(name=order .*)deadline=30s`).ReplaceAllString(ragworttest.ExampleRules(t, "hingeworks.rules"), "${1}"+orderDeadline)
	require.Contains(t, rules, "wait=5s "+orderDeadline)
	d.PublishRules(rules)
	d.key, _ = d.GiveKey("bangkok-forge")
	var url string
	d.service, url = d.StartService()
	d.proxy = ragworttest.NewProxy(t, strings.TrimPrefix(url, "http://"))
	d.sidecar = d.StartSidecar("s1", "th-a", "http://"+d.proxy.Address(), "--service=order-desk")
	d.entries = []*ragworttest.Process{d.StartEntry("e1", "th-a"), d.StartEntry("e2", "th-b")}
	d.sidecar.WaitReady(t)
	for _, e := range d.entries {
		e.WaitReady(t)
		d.waitReachable(e)
	}
	return d
}

// waitReachable waits until the service can be reached through an entry.
func (d *orderDesk) waitReachable(e *ragworttest.Process) {
	ragworttest.Eventually(d.t, func() bool {
		rs := d.send(e, http.MethodGet, "/services/order-desk/stock", "", "")
		return rs.status == http.StatusOK
	}, "%s reaches the service", e.Node)
}

// reply is the response to a caller.
type reply struct {
	status   int // zero: no complete response
	body     string
	reason   problem.Reason
	run      problem.RunStatus
	header   http.Header
	replayed bool
}

func (r reply) String() string { return fmt.Sprintf("%d %s %s %s", r.status, r.reason, r.run, r.body) }

// send sends one request through an entry; its reply is the zero value without a complete
// response.
func (d *orderDesk) send(e *ragworttest.Process, method, path, idempotencyKey, body string) reply {
	rq, err := http.NewRequestWithContext(d.t.Context(), method, "http://"+e.Address+path, strings.NewReader(body))
	require.NoError(d.t, err)
	rq.Header.Set("Authorization", "Bearer "+d.key)
	rq.Close = true // net/http resends a request by itself if a reused connection breaks
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
	out := reply{status: rs.StatusCode, body: string(data), header: rs.Header, replayed: rs.Header.Get("Idempotent-Replayed") != ""}
	if rs.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Problem
		require.NoError(d.t, json.Unmarshal(data, &p))
		out.reason, out.run = p.Reason, p.Run
	}
	return out
}

// bookingInput is the input of one request for a booking, as recorded in the history.
type bookingInput struct{ reference string }

// book books a reference, with the reference as idempotency key, and records the operation in
// the history.
func (d *orderDesk) book(e *ragworttest.Process, reference string) reply {
	call := time.Since(d.start).Nanoseconds()
	r := d.send(e, http.MethodPost, "/services/order-desk/bookings", reference, `{"reference":"`+reference+`"}`)
	end := time.Since(d.start).Nanoseconds()
	if r.status == 0 {
		end = math.MaxInt64 // the booking may still take effect later
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, porcupine.Operation{Input: bookingInput{reference}, Output: r, Call: call, Return: end})
	return r
}

// bookUntilFinal repeats a booking until its outcome is final.
func (d *orderDesk) bookUntilFinal(e *ragworttest.Process, reference string) reply {
	var r reply
	ragworttest.Eventually(d.t, func() bool {
		r = d.book(e, reference)
		switch {
		case r.status == http.StatusCreated, r.reason == problem.BookingUnknown:
			return true
		case r.status == 0 || r.reason == problem.UpstreamFailed || r.reason == problem.DeadlineExceeded:
			return false
		}
		if r.reason != problem.NoUpstream { // when to retry after this one is left to the caller
			require.NotEmpty(d.t, r.header.Get("Retry-After"), r)
		}
		time.Sleep(200 * time.Millisecond)
		return false
	}, "%s has a final outcome, last %v", reference, &r)
	return r
}

// requireConsistent requires what must hold under every fault: each booking has run at most
// once, exactly once if a caller was told so, and the outcomes are linearizable.
func (d *orderDesk) requireConsistent() {
	runs := d.service.RunCounts()
	for reference, n := range runs {
		require.LessOrEqual(d.t, n, 1, "runs of %s", reference)
	}
	ran := make(map[string]bool)
	for _, op := range d.history {
		r, reference := op.Output.(reply), op.Input.(bookingInput).reference
		if r.status == http.StatusCreated {
			require.JSONEq(d.t, `{"reference":"`+reference+`","run":1}`, r.body)
			ran[reference] = true
		}
	}
	for reference := range ran {
		require.Equal(d.t, 1, runs[reference], reference)
	}
	require.True(d.t, porcupine.CheckOperations(bookingModel.ToModel(), d.history), "the outcomes are not linearizable")
}

// bookingState is the state of one booking in bookingModel.
type bookingState string

const (
	notBooked       bookingState = "free"
	bookingAnswered bookingState = "answered"
	outcomeUnknown  bookingState = "unknown"
)

// bookingModel is the sequential specification of bookings: the outcomes that may follow each
// other for one reference.
var bookingModel = &porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make(map[string][]porcupine.Operation)
		for _, op := range history {
			reference := op.Input.(bookingInput).reference
			parts[reference] = append(parts[reference], op)
		}
		var out [][]porcupine.Operation
		for _, p := range parts {
			out = append(out, p)
		}
		return out
	},
	Init: func() []any { return []any{notBooked} },
	Step: func(state, _, output any) []any {
		s, r := state.(bookingState), output.(reply)
		next := outcomeUnknown
		switch {
		case r.status == 0 && s == notBooked:
			return []any{notBooked, bookingAnswered, outcomeUnknown}
		case r.status == 0, r.run == problem.NotRun, r.reason == problem.BookingPending:
			return []any{s}
		case r.status == http.StatusCreated:
			next = bookingAnswered
		}
		if s == notBooked || s == next {
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// TestBookingsUnderFaults guards against bookings that run twice or whose callers are told a
// wrong outcome. Callers book through both entries at the same time while one or two faults
// occur.
func TestBookingsUnderFaults(t *testing.T) {
	faults := map[string]func(d *orderDesk){
		"none":                   func(*orderDesk) {},
		"service slow":           func(d *orderDesk) { d.service.SetFaults(standin.ServiceFaults{DelayMS: 300}) },
		"service responses lost": func(d *orderDesk) { d.service.SetFaults(standin.ServiceFaults{DropResponses: 3, DelayMS: 50}) },
		"service disconnected":   func(d *orderDesk) { d.proxy.Disable(); time.Sleep(200 * time.Millisecond); d.proxy.Enable() },
		"log responses lost":     func(d *orderDesk) { d.Platform.SetFaults(standin.PlatformFaults{DropAppendResponses: 6}) },
		"log outage":             func(d *orderDesk) { d.Platform.SetFaults(standin.PlatformFaults{Outage: true}) },
		"log slow":               func(d *orderDesk) { d.Platform.SetFaults(standin.PlatformFaults{LogDelayMS: 700}) },
		"entry killed":           func(d *orderDesk) { d.entries[0].Kill(d.t) },
		"sidecar killed":         func(d *orderDesk) { d.sidecar.Kill(d.t) },
		"append rate reached":    func(d *orderDesk) { d.Platform.SetFaults(standin.PlatformFaults{AppendsPerSecond: 5}) },
	}
	cases := []string{
		"none", "service responses lost", "log responses lost", "log outage", "log slow", "append rate reached", "service disconnected",
		"service slow+entry killed", "service slow+sidecar killed", "log responses lost+entry killed", "service responses lost+log responses lost",
		"log outage+sidecar killed", "service slow+log outage", "log slow+service responses lost",
	}
	for _, name := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newOrderDesk(t)
			var wg sync.WaitGroup
			for _, fault := range strings.Split(name, "+") {
				wg.Go(func() {
					time.Sleep(60 * time.Millisecond) // so that some calls are already running
					faults[fault](d)
				})
			}
			for i := range bookingsPerCase {
				for _, e := range d.entries {
					for range requestsPerBooking {
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
			d.requireConsistent()
			d.replaceExited()
			for i := range bookingsPerCase {
				wg.Go(func() {
					reference := fmt.Sprintf("ref-%d", i)
					d.bookUntilFinal(d.entries[0], reference)
					d.bookUntilFinal(d.entries[1], reference)
				})
			}
			wg.Wait()
			d.requireConsistent()
		})
	}
}

// replaceExited starts a new process for each one that a fault has killed.
func (d *orderDesk) replaceExited() {
	for i, e := range d.entries {
		if e.Exited() {
			d.Platform.RemoveVM(time.Now(), e.Node)
			d.entries[i] = d.StartEntry("e-new", "th-a")
			d.entries[i].WaitReady(d.t)
		}
	}
	if d.sidecar.Exited() {
		d.sidecar = d.StartSidecar("s-new", "th-a", "http://"+d.proxy.Address(), "--service=order-desk")
		d.sidecar.WaitReady(d.t)
	}
	for _, e := range d.entries {
		d.waitReachable(e)
	}
}

// TestBookingsWithoutIdempotencyKey guards against a refusal with not_run for a booking that
// has run, and against a second run, when callers give no idempotency key.
func TestBookingsWithoutIdempotencyKey(t *testing.T) {
	d := newOrderDesk(t)
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
	d.sidecar.Kill(t)
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

// TestRepeatedBookings guards against wrong responses to repeated bookings: they must get the
// recorded response if the outcome is known, and an error if the body differs, the outcome is
// unknown, or there is no recorded response and the log is unavailable.
func TestRepeatedBookings(t *testing.T) {
	d := newOrderDesk(t)
	first := d.book(d.entries[0], "steel")
	require.Equal(t, http.StatusCreated, first.status, first)
	require.False(t, first.replayed)
	repeated := d.book(d.entries[1], "steel")
	require.Equal(t, first.body, repeated.body)
	require.Equal(t, first.header.Get("Content-Type"), repeated.header.Get("Content-Type"))
	require.True(t, repeated.replayed)
	other := d.send(d.entries[1], http.MethodPost, "/services/order-desk/bookings", "steel", `{"reference":"brass"}`)
	require.Equal(t, http.StatusUnprocessableEntity, other.status)
	require.Equal(t, problem.BookingConflict, other.reason)

	d.service.SetFaults(standin.ServiceFaults{DropResponses: 1})
	lost := d.book(d.entries[0], "lost")
	require.Equal(t, problem.RunUnknown, lost.run, lost)
	require.Equal(t, problem.BookingUnknown, d.book(d.entries[1], "lost").reason)

	d.Platform.SetFaults(standin.PlatformFaults{Outage: true})
	begin := time.Now()
	refused := d.book(d.entries[0], "outage")
	require.Less(t, time.Since(begin), 5*time.Second)
	require.Equal(t, problem.LogUnavailable, refused.reason)
	require.Equal(t, problem.NotRun, refused.run)
	require.NotEmpty(t, refused.header.Get("Retry-After"))
	require.Equal(t, first.body, d.book(d.entries[0], "steel").body, "a recorded outcome must not need the log")
	d.Platform.SetFaults(standin.PlatformFaults{})
	require.Equal(t, http.StatusCreated, d.bookUntilFinal(d.entries[1], "outage").status)
	d.requireConsistent()
}

// TestEntryKilledDuringBooking guards against a second run of a booking whose entry was killed:
// a repeat is refused as pending for the longest time that a run may take, and then with an
// unknown outcome.
func TestEntryKilledDuringBooking(t *testing.T) {
	t.Parallel()
	d := newOrderDesk(t)
	d.service.SetFaults(standin.ServiceFaults{DelayMS: 1000})
	first := make(chan reply, 1)
	go func() { first <- d.book(d.entries[0], "steel") }()
	ragworttest.Eventually(t, func() bool { return d.service.RunCounts()["steel"] == 1 }, "the service runs the booking")
	d.entries[0].Kill(t)
	require.Zero(t, (<-first).status)
	pending := d.book(d.entries[1], "steel")
	require.Equal(t, problem.BookingPending, pending.reason)
	require.Equal(t, problem.RunUnknown, pending.run)
	require.NotEmpty(t, pending.header.Get("Retry-After"))
	require.Equal(t, problem.BookingUnknown, d.bookUntilFinal(d.entries[1], "steel").reason)
	d.replaceExited()
	require.Equal(t, problem.BookingUnknown, d.bookUntilFinal(d.entries[0], "steel").reason)
	d.requireConsistent()
}

// TestReplaysAreNotRateLimited guards against replays of a recorded outcome that are refused
// because the workspace has reached its rate limit.
func TestReplaysAreNotRateLimited(t *testing.T) {
	t.Parallel()
	d := newOrderDesk(t)
	d.PublishRules(strings.Replace(ragworttest.ExampleRules(t, "hingeworks.rules"), "share=4 requests=200", "share=4 burst=1s requests=1", 1))
	e := d.entries[0]
	first := d.bookUntilFinal(e, "steel")
	require.Equal(t, http.StatusCreated, first.status)
	var limited reply
	ragworttest.Eventually(t, func() bool {
		limited = d.send(e, http.MethodGet, "/services/order-desk/stock/bars", "", "")
		return limited.reason == problem.WorkspaceLimit
	}, "the workspace has reached its rate limit")
	for range 5 {
		require.Equal(t, first.body, d.book(e, "steel").body)
	}
	d.requireConsistent()
}
