package pool_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// surgeKind describes the requests of one urgency in a slotFleet.
type surgeKind struct {
	urgency   int
	perSecond float64
	hold      time.Duration // of a slot, on average
}

// slotFleet is gateways in front of engines whose slots are all that they lack. Its gateways tell each
// other their loads every 250 ms.
type slotFleet struct {
	pools    []*pool.Pool
	rand     *rand.Rand
	at       time.Time
	running  []*slotHolder
	mostUsed int
	begun    map[int]int // by urgency
	queued   map[int]int // of these, how many found all slots in use
	refused  map[int]int
}

// slotHolder is a request that holds a slot.
type slotHolder struct {
	*pool.Assignment
	until time.Time
}

const (
	fleetEngines, fleetSlots = 9, 128
	fleetStep                = 10 * time.Millisecond
	exchangeInterval         = 250 * time.Millisecond
)

func newSlotFleet(gateways int, seed uint64) *slotFleet {
	f := &slotFleet{rand: rand.New(rand.NewPCG(seed, 1)), at: now}
	for range gateways {
		p := newSlotPool(fleetEngines, fleetSlots, gateways)
		p.UseRandom(f.rand)
		f.pools = append(f.pools, p)
	}
	f.exchangeLoads()
	return f
}

// exchangeLoads tells each gateway the loads of the others.
func (f *slotFleet) exchangeLoads() {
	loads := make([]map[id.Service]pool.Load, len(f.pools))
	for i, p := range f.pools {
		loads[i] = p.Loads(f.at)
	}
	for i, p := range f.pools {
		p.SetPeerLoads(pool.SumLoads(slices.Concat(loads[:i], loads[i+1:])...))
	}
}

// play has requests of the kinds arrive for a time, and counts what begins and what is refused in it. The
// first gateway gets half of them.
func (f *slotFleet) play(t *testing.T, length time.Duration, kinds ...surgeKind) {
	t.Helper()
	f.begun, f.queued, f.refused, f.mostUsed = make(map[int]int), make(map[int]int), make(map[int]int), 0
	for end := f.at.Add(length); f.at.Before(end); f.at = f.at.Add(fleetStep) {
		if f.at.Sub(now)%exchangeInterval == 0 {
			f.exchangeLoads()
		}
		f.running = slices.DeleteFunc(f.running, func(h *slotHolder) bool {
			over := !f.at.Before(h.until)
			if over {
				h.End(f.at)
			}
			return over
		})
		for _, k := range kinds {
			for next := f.rand.ExpFloat64(); next < k.perSecond*fleetStep.Seconds(); next += f.rand.ExpFloat64() {
				f.arrive(t, k)
			}
		}
		f.mostUsed = max(f.mostUsed, len(f.running))
	}
}

// arrive has one request arrive.
func (f *slotFleet) arrive(t *testing.T, k surgeKind) {
	t.Helper()
	p := f.pools[max(0, f.rand.IntN(2*len(f.pools))-len(f.pools))]
	switch d := ask(p, f.at, k.urgency, 100).(type) {
	case *pool.Assignment:
		d.PrefillDone(f.at)
		f.begun[k.urgency]++
		if len(f.running) >= fleetEngines*fleetSlots {
			f.queued[k.urgency]++
		}
		f.running = append(f.running, &slotHolder{d, f.at.Add(time.Duration(f.rand.ExpFloat64() * float64(k.hold)))})
	case *pool.Overloaded:
		require.NotNil(t, d.Shed)
		f.refused[k.urgency]++
	default:
		require.Failf(t, "unexpected decision", "%T", d)
	}
}

// The kinds of a surge: all but the last could be served at once.
var (
	urgentSurge = surgeKind{3, 250, 3400 * time.Millisecond}
	briefSurge  = surgeKind{4, 130, 300 * time.Millisecond}
	longSurge   = surgeKind{5, 80, 8 * time.Second}
)

// tenth returns a kind with a tenth of its requests.
func (k surgeKind) tenth() surgeKind {
	k.perSecond /= 10
	return k
}

// TestBriefRequestsAreRefusedForSlotsOfLongOnes guards against requests of a kind that get nothing while less
// urgent ones, which hold their slots for long, begin at the same service.
func TestBriefRequestsAreRefusedForSlotsOfLongOnes(t *testing.T) {
	for _, gateways := range []int{1, 5, 30} {
		for seed := range uint64(5) {
			f := newSlotFleet(gateways, seed)
			f.play(t, 4*time.Second, urgentSurge.tenth(), briefSurge.tenth(), longSurge.tenth())
			require.Empty(t, f.refused, "there is room for all")
			f.play(t, 12*time.Second, urgentSurge, briefSurge, longSurge)
			require.Zero(t, f.refused[urgentSurge.urgency])
			require.LessOrEqual(t, f.refused[briefSurge.urgency], f.begun[briefSurge.urgency]/24)
			require.Positive(t, f.begun[longSurge.urgency])
			require.LessOrEqual(t, f.queued[urgentSurge.urgency], f.begun[urgentSurge.urgency]/20)
			f.play(t, 5*time.Second, urgentSurge.tenth(), briefSurge.tenth(), longSurge.tenth())
			f.play(t, 5*time.Second, urgentSurge.tenth(), briefSurge.tenth(), longSurge.tenth())
			require.Empty(t, f.refused, "the surge is over")
		}
	}
}

// TestLongRequestsFillSlotsOfUrgentOnes guards against long requests that begin while there are slots, and
// which are still there when more urgent ones need them.
func TestLongRequestsFillSlotsOfUrgentOnes(t *testing.T) {
	for seed := range uint64(5) {
		f := newSlotFleet(5, seed)
		f.play(t, 4*time.Second, urgentSurge.tenth(), longSurge)
		f.play(t, 12*time.Second, urgentSurge, longSurge)
		require.Zero(t, f.refused[urgentSurge.urgency])
		require.LessOrEqual(t, f.queued[urgentSurge.urgency], f.begun[urgentSurge.urgency]/20)
	}
}

// TestRequestsOfOneUrgencyUseAllSlots has only requests of one urgency arrive: nobody needs the slots that they
// would leave.
func TestRequestsOfOneUrgencyUseAllSlots(t *testing.T) {
	f := newSlotFleet(5, 1)
	f.play(t, 40*time.Second, longSurge, longSurge)
	require.Empty(t, f.refused)
	require.Greater(t, f.mostUsed, fleetEngines*fleetSlots)
}

// TestFewUrgentRequestsReserveManySlots guards against long requests that are refused for the sake of a few
// more urgent ones.
func TestFewUrgentRequestsReserveManySlots(t *testing.T) {
	f := newSlotFleet(5, 1)
	f.play(t, 20*time.Second, surgeKind{1, 5, time.Second}, longSurge)
	require.Empty(t, f.refused)
}

// TestRefusalsOfOneGatewayStopLessUrgentOnes guards against all requests of an urgency that are refused because
// a few more urgent ones were, at a gateway that has few.
func TestRefusalsOfOneGatewayStopLessUrgentOnes(t *testing.T) {
	p := newSlotPool(9, 128, 5)
	tell := func(running int, refused float64) {
		load := pool.Load{Running: running}
		load.Levels[3] = pool.LevelLoad{Running: 40, Arrived: 60, Refused: refused, SlotSeconds: 200, Started: 100, Ended: 100}
		load.Levels[4] = pool.LevelLoad{Running: 20, Arrived: 60, SlotSeconds: 100, Started: 300, Ended: 300}
		load.Levels[5] = pool.LevelLoad{Running: 40, Arrived: 60, SlotSeconds: 200, Started: 100, Ended: 100}
		p.SetPeerLoads(map[id.Service]pool.Load{modelService: load})
	}
	at := now
	begun := func(urgency int) (n int) {
		for range 100 {
			at = at.Add(10 * time.Millisecond)
			if a, ok := ask(p, at, urgency, shortTokens).(*pool.Assignment); ok {
				a.PrefillDone(at)
				a.End(at)
				n++
			}
		}
		return n
	}
	tell(700, 1)
	require.Equal(t, 100, begun(5), "one refusal is not a trend")
	tell(700, 4)
	require.Equal(t, 100, begun(4), "the least urgent ones go first")
	require.InDelta(t, 100, begun(5), 50)
	tell(100, 20)
	require.Equal(t, 100, begun(5), "one gateway got many requests at once, and slots are free")
	tell(700, 20)
	require.Zero(t, begun(5))
	require.Zero(t, begun(4))
	require.Equal(t, 100, begun(2), "more urgent than those that are refused")
}

// TestShortPromptsDoNotYieldToLongOnes guards against short requests that are refused because a few more urgent ones with
// long prompts were, for which other engines are too busy.
func TestShortPromptsDoNotYieldToLongOnes(t *testing.T) {
	p := newSlotPool(9, 128, 5)
	load := pool.Load{Running: 700}
	load.Levels[2] = pool.LevelLoad{Running: 10, Arrived: 10, Refused: 5, RefusedLong: 4.5, SlotSeconds: 50, Started: 20, Ended: 20}
	load.Levels[3] = pool.LevelLoad{Running: 400, Arrived: 200, SlotSeconds: 200, Started: 400, Ended: 400}
	load.Levels[5] = pool.LevelLoad{Running: 290, Arrived: 60, SlotSeconds: 500, Started: 200, Ended: 200}
	p.SetPeerLoads(map[id.Service]pool.Load{modelService: load})
	for urgency := 3; urgency <= 5; urgency++ {
		require.IsType(t, new(pool.Assignment), ask(p, now, urgency, shortTokens), urgency)
		require.IsType(t, new(pool.Overloaded), ask(p, now, urgency, longTokens), urgency)
	}
}

// TestShedCallersReturnBeforeSlotsAreReleased guards against callers that return at once, all of them, and are refused
// again.
func TestShedCallersReturnBeforeSlotsAreReleased(t *testing.T) {
	p := newSlotPool(9, 128, 5)
	load := pool.Load{Running: 1100}
	load.Levels[3] = pool.LevelLoad{Running: 900, Arrived: 300, SlotSeconds: 4500, Started: 1500, Ended: 1500}
	load.Levels[5] = pool.LevelLoad{Running: 200, Arrived: 60, SlotSeconds: 8000, Started: 1000, Ended: 1000}
	p.SetPeerLoads(map[id.Service]pool.Load{modelService: load})
	var last time.Time
	for i := range 10 {
		refused, ok := ask(p, now, 5, shortTokens).(*pool.Overloaded)
		require.True(t, ok)
		require.True(t, refused.Shed.ForSlots)
		if i > 0 {
			require.InDelta(t, 5*8.0/200, refused.RetryAt.Sub(last).Seconds(), 0.02, "a slot of the level is released each 40 ms, for one of five gateways")
		}
		last = refused.RetryAt
	}
}
