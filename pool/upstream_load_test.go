package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// TestGatewaysKnowFullEngines guards against an engine that is full of requests with one prefix while others are
// idle, as each gateway has a few of them only.
func TestGatewaysKnowFullEngines(t *testing.T) {
	const engines, slots, gateways, requests = 12, 32, 28, 5
	var pools []*pool.Pool
	for i := range gateways {
		p := newSlotPool(engines, slots, gateways)
		p.UseRandom(rand.New(rand.NewPCG(1, uint64(i))))
		pools = append(pools, p)
	}
	loads := make([]map[id.Service]pool.Load, gateways)
	running := make(map[id.Upstream]int)
	for n := range gateways * requests {
		if n%(gateways/4) == 0 {
			for i, p := range pools {
				loads[i] = p.Loads(now)
			}
			for i, p := range pools {
				p.SetPeerLoads(pool.SumLoads(slices.Concat(loads[:i], loads[i+1:])...))
			}
		}
		a := choose(t, pools[n%gateways], now, pool.Request{Prompt: prompt("hot", 50, 100)})
		a.PrefillDone(now)
		running[a.Upstream.ID]++
	}
	for u, n := range running {
		require.LessOrEqual(t, n, slots+gateways/4, "%s, beyond its slots by what gateways have not told each other yet", u)
	}
	require.LessOrEqual(t, len(running), 2+gateways*requests/slots, "engines that have cached the prefix")
}

// TestLongPromptsLeaveEnginesToShortOnes guards against streams that run beside long prompts for lack of slots.
func TestLongPromptsLeaveEnginesToShortOnes(t *testing.T) {
	const engines, slots, gateways = 9, 128, 5
	for _, tc := range []struct{ short, forLong int }{{0, 5}, {4 * slots, 4}, {5 * slots, 3}, {20 * slots, 3}} {
		t.Run(fmt.Sprint(tc.short), func(t *testing.T) {
			p := newSlotPool(engines, slots, gateways)
			p.SetPeerLoads(map[id.Service]pool.Load{modelService: {Running: tc.short, Short: tc.short}})
			forLong, forShort := make(map[id.Upstream]int), make(map[id.Upstream]int)
			for i := range 30 {
				long := choose(t, p, now, pool.Request{Prompt: prompt(fmt.Sprint("long-", i), 6000, 6000)})
				short := choose(t, p, now, pool.Request{Prompt: prompt(fmt.Sprint("short-", i), 50, 100)})
				forLong[long.Upstream.ID]++
				forShort[short.Upstream.ID]++
				long.End(now)
				short.End(now)
			}
			require.Len(t, forLong, tc.forLong)
			for u := range forLong {
				require.NotContains(t, forShort, u)
			}
		})
	}
}
