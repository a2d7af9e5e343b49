package pool_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// pacedFleet is some gateways before upstreams that differ in speed, in simulated time. An engine sends an event of each
// answer after 20 ms, an upstream without prompts a whole answer after 60 ms, times the slowness of the upstream.
type pacedFleet struct {
	pools    []*pool.Pool
	slowness map[id.Upstream]float64
	at       time.Time
}

func newPacedFleet(gateways, upstreams int, slowness func(i int) float64) *pacedFleet {
	f := &pacedFleet{slowness: make(map[id.Upstream]float64), at: now}
	for i := range gateways {
		p := newSlotPool(upstreams, 64, gateways)
		p.UseRandom(rand.New(rand.NewPCG(1, uint64(i))))
		f.pools = append(f.pools, p)
	}
	for i := range upstreams {
		f.slowness[listing(i).ID] = slowness(i)
	}
	return f
}

// exchange has the gateways tell each other their loads.
func (f *pacedFleet) exchange() {
	loads := make([]map[id.Service]pool.Load, len(f.pools))
	for i, p := range f.pools {
		loads[i] = p.Loads(f.at)
	}
	for i, p := range f.pools {
		p.SetPeerLoads(pool.SumLoads(slices.Concat(loads[:i], loads[i+1:])...))
	}
}

// play sends a request to each gateway in each of some rounds of 250 ms, and returns how many each upstream got.
func (f *pacedFleet) play(t *testing.T, rounds int, request func(i int) pool.Request) map[id.Upstream]int {
	t.Helper()
	got := make(map[id.Upstream]int)
	for round := range rounds {
		f.exchange()
		for i, p := range f.pools {
			rq := request(round*len(f.pools) + i)
			a := choose(t, p, f.at, rq)
			got[a.Upstream.ID]++
			slowness := f.slowness[a.Upstream.ID]
			if rq.Prompt.Length == 0 {
				end := f.at.Add(time.Duration(60*slowness) * time.Millisecond)
				a.Answered(end)
				a.End(end)
				continue
			}
			end := f.at
			for range 8 {
				end = end.Add(time.Duration(20*slowness) * time.Millisecond)
				a.PrefillDone(end)
			}
			a.End(end)
		}
		f.at = f.at.Add(250 * time.Millisecond)
	}
	return got
}

// thirds makes every third upstream 2.4 times as fast as the others.
func thirds(i int) float64 {
	if i%3 == 2 {
		return 1
	}
	return 2.4
}

// share returns the part of the requests that went to fast upstreams.
func (f *pacedFleet) share(got map[id.Upstream]int) float64 {
	fast, all := 0, 0
	for u, n := range got {
		all += n
		if f.slowness[u] == 1 {
			fast += n
		}
	}
	return float64(fast) / float64(all)
}

// question returns a request of which each prefix is used by some others.
func question(i int) pool.Request {
	return pool.Request{Prompt: prompt(fmt.Sprint("topic-", i*7919%211), 100, 200)}
}

// TestFastEnginesGetMorePrefixes guards against engines that get as much as others that are 2.4 times as fast: on the
// calm day of a fleet with such engines, a sixth of the questions paused for too long at the slow ones.
func TestFastEnginesGetMorePrefixes(t *testing.T) {
	f := newPacedFleet(16, 24, thirds)
	require.InDelta(t, 1.0/3, f.share(f.play(t, 2, question)), 0.2, "nothing is known")
	f.play(t, 24, question)
	require.Greater(t, f.share(f.play(t, 24, question)), 0.45)
}

// TestAlikeEnginesKeepTheirPrefixes guards against shared parts of prompts that are read again and again, as engines that are
// alike seem to differ by chance.
func TestAlikeEnginesKeepTheirPrefixes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	f := newPacedFleet(16, 24, func(int) float64 { return 1 })
	places := make(map[int]map[id.Upstream]bool)
	for range 40 {
		for u := range f.slowness {
			f.slowness[u] = 0.8 + 0.4*random.Float64()
		}
		for topic := range 8 {
			for u := range f.play(t, 1, func(int) pool.Request {
				return pool.Request{Prompt: prompt(fmt.Sprint("topic-", topic), 100, 200)}
			}) {
				if places[topic] == nil {
					places[topic] = make(map[id.Upstream]bool)
				}
				places[topic][u] = true
			}
		}
	}
	for topic, engines := range places {
		require.LessOrEqual(t, len(engines), 2, "topic %d", topic)
	}
}

// TestGatewayLearnsFromPeers has one gateway that gets no answers know by its peers which engines are slow.
func TestGatewayLearnsFromPeers(t *testing.T) {
	f := newPacedFleet(8, 12, thirds)
	idle := f.pools[7]
	ask := func() float64 {
		got := make(map[id.Upstream]int)
		for i := range 211 {
			a := choose(t, idle, f.at, question(i))
			a.End(f.at)
			got[a.Upstream.ID]++
		}
		return f.share(got)
	}
	f.pools = f.pools[:7]
	f.play(t, 20, question)
	loads := make([]map[id.Service]pool.Load, 0, len(f.pools))
	for _, p := range f.pools {
		loads = append(loads, p.Loads(f.at))
	}
	told := pool.SumLoads(loads...)
	silent := told[modelService]
	silent.Paces = nil
	idle.SetPeerLoads(map[id.Service]pool.Load{modelService: silent})
	for range 20 { // until the division of the engines is steady
		ask()
	}
	before := ask()
	idle.SetPeerLoads(told)
	f.at = f.at.Add(time.Second)
	require.Greater(t, ask(), 1.15*before)
}

// TestRestartedEngineIsNotWhatItWas starts a slow engine again: neither this gateway nor its peers may take it for slow.
func TestRestartedEngineIsNotWhatItWas(t *testing.T) {
	const gateways, rounds = 8, 24
	f := newPacedFleet(gateways, 12, func(int) float64 { return 1 })
	before := f.play(t, rounds, question)
	busiest := 0
	for i := range len(f.slowness) {
		if before[listing(i).ID] > before[listing(busiest).ID] {
			busiest = i
		}
	}
	l := listing(busiest)
	f.slowness[l.ID] = 4
	f.play(t, rounds, question)
	slow := f.play(t, rounds, question)
	require.Less(t, slow[l.ID], before[l.ID]*3/4)
	f.slowness[l.ID] = 1
	for _, p := range f.pools {
		l.Slots, l.StartUnixMS = 64, 2
		p.Put(f.at, l)
	}
	require.Greater(t, f.play(t, rounds, question)[l.ID], slow[l.ID])
}

// TestFastApplicationsGetMoreRequests has an application of which one VM is slow, as requests without prompts go to it by
// turns.
func TestFastApplicationsGetMoreRequests(t *testing.T) {
	f := newPacedFleet(8, 4, func(i int) float64 {
		if i == 0 {
			return 3
		}
		return 1
	})
	plain := func(int) pool.Request { return pool.Request{} }
	f.play(t, 24, plain)
	running := make(map[id.Upstream]int)
	for i := range 160 {
		if i%8 == 0 {
			f.exchange()
		}
		running[choose(t, f.pools[i%8], f.at, plain(i)).Upstream.ID]++
	}
	require.Less(t, running[listing(0).ID], 160/4*2/3)
	require.Positive(t, running[listing(0).ID], "some are tried")
}
