package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// TestLoadsOfPeersCount has one gateway send a tenth of all requests: it must not take the slots for used as if all
// gateways sent as much.
func TestLoadsOfPeersCount(t *testing.T) {
	const engines, slots, gateways = 9, 50, 5
	affine := func(peers int) int {
		p := newSlotPool(engines, slots, gateways)
		p.SetPeerLoads(map[id.Service]pool.Load{modelService: {Running: peers}})
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
	require.Equal(t, map[id.Service]pool.Load{modelService: {}}, newSlotPool(1, 8, 1).Loads(now))
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
