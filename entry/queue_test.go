package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/trace"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// testEntry is an entry without sockets, in front of one upstream.
type testEntry struct {
	*Entry
	t        *testing.T
	key      *key.Key
	requests int
}

func newTestEntry(t *testing.T) *testEntry {
	state := logbook.NewState()
	_, keyGiven := key.Generate(time.Now(), "bangkok-forge", nil, "test")
	applyRecord(t, state, 1, &ragwortv1.Record{Body: &ragwortv1.Record_RulesPublished{
		RulesPublished: &ragwortv1.RulesPublished{Text: ragworttest.ExampleRules(t, "hingeworks.rules")},
	}})
	applyRecord(t, state, 2, &ragwortv1.Record{Body: &ragwortv1.Record_KeyGiven{KeyGiven: keyGiven}})
	k, err := state.Keys.Find(id.Key(keyGiven.GetKey()))
	require.NoError(t, err)
	writer := logbook.NewWriter(nil, state, "e1", log.NewNopLogger(), metrics.NewRegistry())
	e := New(Config{Node: "e1", LeaseTTL: time.Minute}, Deps{State: state, Bookings: &logbook.Stream{State: logbook.NewState()}, Writer: writer, Traces: trace.New("e1", 1000), Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	return &testEntry{Entry: e, t: t, key: k}
}

func applyRecord(t *testing.T, s *logbook.State, offset id.Offset, r *ragwortv1.Record) {
	r.Writer, r.Sequence = "test", uint64(offset)
	payload, err := proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{r}})
	require.NoError(t, err)
	s.Apply(offset, payload)
}

// setCapacity tells the entry that its upstream runs one request of another entry and can
// run room more. The entry sends route.Overcommit requests in addition to these.
func (e *testEntry) setCapacity(room int) {
	e.upstreams.Update(upstream.View{
		ID: "u1", Models: []id.Model{"temper-70b"}, LastHeard: time.Now(),
		Load: wire.Load{State: string(upstream.Ready), Limit: 1 + room, Running: 1},
	})
}

func (e *testEntry) request(class id.Class) *request {
	e.requests++
	now := time.Now()
	c := e.deps.State.Rules().Classes[class]
	return &request{
		id: id.Request(fmt.Sprintf("rq_%03d", e.requests)), key: e.key, class: c, model: "temper-70b",
		arrived: now, startBy: now.Add(c.MaxWait), expectedOutput: 10,
	}
}

// admitResult is the result of admit for a request.
type admitResult struct {
	rq      *request
	problem *problem.Problem
}

// waitInQueue calls admit in the background and returns once the request is queued.
func (e *testEntry) waitInQueue(ctx context.Context, rq *request, done chan<- admitResult) {
	before := e.waiting.Load()
	go func() {
		_, p := e.admit(ctx, rq, nil)
		done <- admitResult{rq, p}
	}()
	ragworttest.Eventually(e.t, func() bool { return e.waiting.Load() > before && e.queued() == int(e.waiting.Load()) }, "%s to be queued", rq.id)
}

func (e *testEntry) queued() int {
	q := e.queues.get(target{model: "temper-70b"})
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters.Len()
}

// TestHighestTierFirst frees one slot at a time. It guards against slots that are given to
// requests of a lower tier that arrived earlier.
func TestHighestTierFirst(t *testing.T) {
	e := newTestEntry(t)
	done := make(chan admitResult)
	for _, class := range []id.Class{"clerk", "foreman", "counter", "foreman", "counter"} {
		e.waitInQueue(t.Context(), e.request(class), done)
	}
	e.setCapacity(0) // the entry still sends one request at a time, because of route.Overcommit
	var order []id.Class
	for range 5 {
		a := <-done
		require.Nil(t, a.problem)
		order = append(order, a.rq.class.Name)
		e.upstreams.RequestEnded("u1")
	}
	require.Equal(t, []id.Class{"counter", "counter", "foreman", "foreman", "clerk"}, order)
}

// TestRetriedRequestKeepsQueuePosition queues a request again after an attempt. It guards
// against a retried request that is dispatched after one that arrived later.
func TestRetriedRequestKeepsQueuePosition(t *testing.T) {
	e := newTestEntry(t)
	done := make(chan admitResult)
	first, second := e.request("foreman"), e.request("foreman")
	e.setCapacity(0)
	_, p := e.admit(t.Context(), first, nil)
	require.Nil(t, p)
	e.waitInQueue(t.Context(), second, done)
	e.waitInQueue(t.Context(), first, done)
	e.upstreams.RequestEnded("u1")
	require.Equal(t, first.id, (<-done).rq.id)
	e.upstreams.RequestEnded("u1")
	require.Equal(t, second.id, (<-done).rq.id)
}

// TestCallerLeavesQueue cancels the only waiter, before and just after its dispatch. It
// guards against a cancelled request that stays in the queue, or that counts as active at
// its upstream for ever.
func TestCallerLeavesQueue(t *testing.T) {
	e := newTestEntry(t)
	done := make(chan admitResult)
	ctx, cancel := context.WithCancel(t.Context())
	e.waitInQueue(ctx, e.request("counter"), done)
	cancel()
	require.Equal(t, problem.CallerGone, (<-done).problem.Reason)
	require.Zero(t, e.queued())

	late := e.newPendingRequest(e.request("counter"), nil)
	e.setCapacity(0)
	q := e.queues.get(target{model: "temper-70b"})
	q.push(time.Now(), late)
	require.Equal(t, 1, e.upstreams.All()[0].Outstanding)
	q.cancel(time.Now(), late)
	require.Zero(t, e.upstreams.All()[0].Outstanding)
}

// TestKeyWithdrawnWhileWaiting withdraws the key of a queued request. It guards against
// dispatching the request, or refusing it for another reason.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	e := newTestEntry(t)
	done := make(chan admitResult)
	e.waitInQueue(t.Context(), e.request("foreman"), done)
	applyRecord(t, e.deps.State, 3, &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: string(e.key.ID)}}})
	e.setCapacity(1)
	require.Equal(t, problem.KeyWithdrawn, (<-done).problem.Reason)
}

// TestRefusalsOfFullQueueAndExpiry checks the refusals of a full queue and of a request
// whose time to start has passed: which request is refused, why, and when it may be retried.
func TestRefusalsOfFullQueueAndExpiry(t *testing.T) {
	e := newTestEntry(t)
	q := e.queues.get(target{model: "temper-70b"})
	var low []*pendingRequest
	for range 4096 { // the length of the queue
		pending := e.newPendingRequest(e.request("clerk"), nil)
		q.push(time.Now(), pending)
		low = append(low, pending)
	}
	high := e.newPendingRequest(e.request("counter"), nil)
	q.push(time.Now(), high)
	require.Empty(t, high.result)
	shed := <-low[len(low)-1].result
	require.Equal(t, problem.ShedForTier, shed.problem.Reason)
	require.Equal(t, problem.NotRun, shed.problem.Run)
	require.Positive(t, shed.problem.RetryAfter)

	more := e.newPendingRequest(e.request("clerk"), nil)
	q.push(time.Now(), more)
	require.Equal(t, problem.QueueFull, (<-more.result).problem.Reason)

	q.processAndSchedule(time.Now().Add(high.rq.class.MaxWait))
	late := <-high.result
	require.Equal(t, problem.NoUpstream, late.problem.Reason)
	require.Positive(t, late.problem.RetryAfter)
}
