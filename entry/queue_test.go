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

// desk is an entry without sockets, before one upstream.
type desk struct {
	*Entry
	t    *testing.T
	key  *key.Key
	seen int
}

func newDesk(t *testing.T) *desk {
	state := logbook.NewState()
	_, given := key.Generate(time.Now(), "bangkok-forge", nil, "test")
	fold(t, state, 1, &ragwortv1.Record{Body: &ragwortv1.Record_RulesPublished{
		RulesPublished: &ragwortv1.RulesPublished{Text: ragworttest.Rules(t, "hingeworks.rules")},
	}})
	fold(t, state, 2, &ragwortv1.Record{Body: &ragwortv1.Record_KeyGiven{KeyGiven: given}})
	k, err := state.Keys.Find(id.Key(given.GetKey()))
	require.NoError(t, err)
	writer := logbook.NewWriter(nil, state, "e1", log.NewNopLogger(), metrics.NewRegistry())
	e := New(Config{Node: "e1", LeaseTTL: time.Minute}, Deps{State: state, Bookings: &logbook.Stream{State: logbook.NewState()}, Writer: writer, Traces: trace.New("e1", 1000), Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	return &desk{Entry: e, t: t, key: k}
}

func fold(t *testing.T, s *logbook.State, offset id.Offset, r *ragwortv1.Record) {
	r.Writer, r.Sequence = "test", uint64(offset)
	payload, err := proto.Marshal(&ragwortv1.Batch{Records: []*ragwortv1.Record{r}})
	require.NoError(t, err)
	s.Apply(offset, payload)
}

// capacity tells the entry that its upstream runs one request of another entry and
// has room for this many more, besides the one that is sent ahead.
func (d *desk) capacity(room int) {
	d.upstreams.Update(upstream.View{
		ID: "u1", Models: []id.Model{"temper-70b"}, LastHeard: time.Now(),
		Load: wire.Load{State: string(upstream.Ready), Limit: 1 + room, Running: 1},
	})
}

func (d *desk) request(class id.Class) *request {
	d.seen++
	now := time.Now()
	c := d.deps.State.Rules().Classes[class]
	return &request{
		id: id.Request(fmt.Sprintf("rq_%03d", d.seen)), key: d.key, class: c, model: "temper-70b",
		arrived: now, startBy: now.Add(c.MaxWait), expected: 10,
	}
}

// admission is what became of a request.
type admission struct {
	rq      *request
	problem *problem.Problem
}

// wait starts to wait for an upstream and returns once the request is queued.
func (d *desk) wait(ctx context.Context, rq *request, done chan<- admission) {
	before := d.waiting.Load()
	go func() {
		_, p := d.admit(ctx, rq, nil)
		done <- admission{rq, p}
	}()
	ragworttest.Eventually(d.t, func() bool { return d.waiting.Load() > before && d.queued() == int(d.waiting.Load()) }, "%s waits", rq.id)
}

func (d *desk) queued() int {
	q := d.queues.of(target{model: "temper-70b"})
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters.Len()
}

// TestHighestTierFirst gives back one slot at a time.
func TestHighestTierFirst(t *testing.T) {
	d := newDesk(t)
	done := make(chan admission)
	for _, class := range []id.Class{"clerk", "foreman", "counter", "foreman", "counter"} {
		d.wait(t.Context(), d.request(class), done)
	}
	d.capacity(0) // and one ahead
	var order []id.Class
	for range 5 {
		a := <-done
		require.Nil(t, a.problem)
		order = append(order, a.rq.class.Name)
		d.upstreams.RequestEnded("u1")
	}
	require.Equal(t, []id.Class{"counter", "counter", "foreman", "foreman", "clerk"}, order)
}

// TestPlaceKept brings a request back from an upstream that was busy.
func TestPlaceKept(t *testing.T) {
	d := newDesk(t)
	done := make(chan admission)
	first, second := d.request("foreman"), d.request("foreman")
	d.capacity(0)
	_, p := d.admit(t.Context(), first, nil)
	require.Nil(t, p)
	d.wait(t.Context(), second, done)
	d.wait(t.Context(), first, done)
	d.upstreams.RequestEnded("u1")
	require.Equal(t, first.id, (<-done).rq.id)
	d.upstreams.RequestEnded("u1")
	require.Equal(t, second.id, (<-done).rq.id)
}

// TestCallerLeaves has the only waiter leave, before and just as it gets a slot.
func TestCallerLeaves(t *testing.T) {
	d := newDesk(t)
	done := make(chan admission)
	ctx, cancel := context.WithCancel(t.Context())
	d.wait(ctx, d.request("counter"), done)
	cancel()
	require.Equal(t, problem.CallerGone, (<-done).problem.Reason)
	require.Zero(t, d.queued())

	late := d.newTicket(d.request("counter"), nil)
	d.capacity(0)
	q := d.queues.of(target{model: "temper-70b"})
	q.push(time.Now(), late)
	require.Equal(t, 1, d.upstreams.All()[0].Outstanding)
	q.leave(time.Now(), late)
	require.Zero(t, d.upstreams.All()[0].Outstanding)
}

// TestWithdrawnWhileWaiting withdraws the key of a waiting request.
func TestWithdrawnWhileWaiting(t *testing.T) {
	d := newDesk(t)
	done := make(chan admission)
	d.wait(t.Context(), d.request("foreman"), done)
	fold(t, d.deps.State, 3, &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: string(d.key.ID)}}})
	d.capacity(1)
	require.Equal(t, problem.KeyWithdrawn, (<-done).problem.Reason)
}

// TestRefusedAtOnce looks at the final refusals of a full queue and of time run out.
func TestRefusedAtOnce(t *testing.T) {
	d := newDesk(t)
	q := d.queues.of(target{model: "temper-70b"})
	var low []*ticket
	for range 4096 {
		tk := d.newTicket(d.request("clerk"), nil)
		q.push(time.Now(), tk)
		low = append(low, tk)
	}
	high := d.newTicket(d.request("counter"), nil)
	q.push(time.Now(), high)
	require.Empty(t, high.outcome)
	shed := <-low[len(low)-1].outcome
	require.Equal(t, problem.ShedForTier, shed.problem.Reason)
	require.Equal(t, problem.NotRun, shed.problem.Run)
	require.Positive(t, shed.problem.RetryAfter)

	more := d.newTicket(d.request("clerk"), nil)
	q.push(time.Now(), more)
	require.Equal(t, problem.QueueFull, (<-more.outcome).problem.Reason)

	q.lookAgain(time.Now().Add(high.rq.class.MaxWait))
	late := <-high.outcome
	require.Equal(t, problem.NoUpstream, late.problem.Reason)
	require.Positive(t, late.problem.RetryAfter)
}
