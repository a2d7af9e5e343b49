package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// outcomes are how many requests of each urgency begin and are refused.
type outcomes struct{ begun, refused map[int]int }

// arrive has requests of the urgencies arrive for a second, while other gateways use a part of the slots.
func arrive(t *testing.T, p *pool.Pool, from time.Time, slots int, used float64, urgencies ...int) outcomes {
	t.Helper()
	p.SetPeerLoads(map[id.Service]int{modelService: int(used * float64(slots))})
	o := outcomes{make(map[int]int), make(map[int]int)}
	for at := from; at.Before(from.Add(time.Second)); at = at.Add(10 * time.Millisecond) {
		for _, urgency := range urgencies {
			switch d := ask(p, at, urgency, shortTokens).(type) {
			case *pool.Assignment:
				o.begun[urgency]++
				d.PrefillDone(at)
				d.End(at)
			case *pool.Overloaded:
				require.True(t, d.ForMoreUrgent)
				o.refused[urgency]++
			default:
				require.Failf(t, "unexpected decision", "%T", d)
			}
		}
	}
	return o
}

// TestMoreUrgentRequestsFindSlots guards against urgent requests that wait for slots until their deadlines, behind
// more urgent ones, while less urgent requests begin at engines that have some left.
func TestMoreUrgentRequestsFindSlots(t *testing.T) {
	const engines, slots = 9, 128
	p := newSlotPool(engines, slots, 5)
	o := arrive(t, p, now, engines*slots, 0.5, 3, 4, 5)
	require.Empty(t, o.refused)
	o = arrive(t, p, now.Add(time.Second), engines*slots, 0.92, 3, 3, 4, 5)
	require.Zero(t, o.begun[5], "the slots that are left are for more urgent requests")
	require.Zero(t, o.refused[3]+o.refused[4])
	o = arrive(t, p, now.Add(2*time.Second), engines*slots, 0.98, 3, 3, 4, 5)
	require.Zero(t, o.begun[4]+o.begun[5])
	require.Zero(t, o.refused[3])
	o = arrive(t, p, now.Add(3*time.Second), engines*slots, 0.92, 3, 3, 4, 5)
	require.Positive(t, o.begun[4], "refusals must not keep others from beginning")
}

// TestRequestsOfOneUrgencyUseAllSlots has only requests of one urgency arrive: nobody needs the slots that they
// would leave.
func TestRequestsOfOneUrgencyUseAllSlots(t *testing.T) {
	p := newSlotPool(3, 128, 5)
	require.Empty(t, arrive(t, p, now, 3*128, 0.99, 5).refused)
}

// TestLoadsOfPeersCount has one gateway send a tenth of all requests: it must not take the slots for used as if all
// gateways sent as much.
func TestLoadsOfPeersCount(t *testing.T) {
	const engines, slots, gateways = 9, 50, 5
	affine := func(peers int) int {
		p := newSlotPool(engines, slots, gateways)
		p.SetPeerLoads(map[id.Service]int{modelService: peers})
		n := 0
		for i := range 30 {
			a := choose(t, p, now, pool.Request{Prompt: prompt("hot", 50, 100)})
			a.PrefillDone(now)
			if i > 0 && a.Reason == "affine" {
				n++
			}
		}
		return n
	}
	require.Greater(t, affine(0), affine(270), "alone, all slots of an engine are there for this gateway")
	require.Equal(t, map[id.Service]int{modelService: 0}, newSlotPool(1, 8, 1).ServiceLoads())
}

// TestShortPromptsFillBothGroups guards against short prompts that wait for a slot while the engines for long
// prompts, in use by half, have many.
func TestShortPromptsFillBothGroups(t *testing.T) {
	const engines, slots, gateways = 9, 60, 5
	p := newSlotPool(engines, slots, gateways)
	p.UseRandom(rand.New(rand.NewPCG(1, 2)))
	forLong := make(map[id.Upstream]int)
	long := func(i int) *pool.Assignment {
		return choose(t, p, now, pool.Request{Prompt: prompt(fmt.Sprint("long-", i), 6000, 6000)})
	}
	for i := range 200 {
		a := long(i)
		forLong[a.Upstream.ID] = 0
		a.End(now)
	}
	for i := range len(forLong) * slots / gateways * 6 / 10 { // more than half
		a := long(i)
		a.PrefillDone(now)
		forLong[a.Upstream.ID]++
	}
	own, shortSlots := 0, (engines-len(forLong))*slots/gateways
	for i := range shortSlots * 115 / 100 {
		a := choose(t, p, now, pool.Request{Prompt: prompt(fmt.Sprint("short-", i%40), 50, 100)})
		a.PrefillDone(now)
		if _, isLong := forLong[a.Upstream.ID]; !isLong {
			own++
		}
	}
	require.LessOrEqual(t, own, shortSlots, "none waits while the engines for long prompts have free slots")
}
