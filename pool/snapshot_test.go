package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pace"
	"github.com/ragwortpass/ragwortpass/quota"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
)

const snapshotService id.Service = "models"

var snapshotStart = time.Unix(1_800_000_000, 0)

// play is a pool in a random state, at a time, with the requests that run.
type play struct {
	pool    *Pool
	latest  *catalog.Latest
	now     time.Time
	running []*Assignment
}

// newPlay returns a pool with upstreams.
func newPlay(upstreams int) *play {
	c := &catalog.Catalog{
		Version:  1,
		Routes:   []catalog.Route{{MaxEventGap: 200 * time.Millisecond, Services: []catalog.WeightedService{{Service: snapshotService, Weight: 1}}}},
		Services: map[id.Service]*catalog.Service{snapshotService: {Name: snapshotService, Cold: catalog.ColdLimit{Duration: 3 * time.Second, RequestsPerSecond: 20}}},
	}
	c.Index()
	x := &play{latest: new(catalog.Latest), now: snapshotStart}
	x.latest.Update(c)
	x.pool = New(x.latest)
	x.pool.UseRandom(rand.New(rand.NewPCG(1, 2)))
	for i := range upstreams {
		x.pool.Put(x.now, x.listing(i))
	}
	return x
}

func (x *play) listing(i int) Listing {
	return Listing{ID: id.Upstream(fmt.Sprint("i-", i)), Service: snapshotService, Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: id.DataCentre(fmt.Sprint("th-", i%3)), Version: id.Version(fmt.Sprint("v", i%2)), StartUnixMS: 1, Slots: 8}
}

// drawRequest draws a request.
func (x *play) drawRequest(t *rapid.T) *Request {
	rq := &Request{Service: snapshotService, ArrivedAt: x.now, Urgency: rapid.IntRange(0, 3).Draw(t, "urgency"), RunsOnce: rapid.Bool().Draw(t, "once")}
	if rapid.Bool().Draw(t, "has prompt") {
		shared, own := id.Tokens(rapid.IntRange(0, 4000).Draw(t, "shared")), id.Tokens(rapid.IntRange(1, 30_000).Draw(t, "own"))
		rq.Prompt = Prompt{Model: "m", Length: shared + own, Output: 200, Parts: []PromptPart{{ID: id.PromptPart(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "part")), Tokens: shared}, {ID: "own", Tokens: own}}}
		rq.MaxWait = time.Duration(rapid.SampledFrom([]int{0, 50, 500}).Draw(t, "max wait")) * time.Millisecond
	}
	if rapid.IntRange(0, 4).Draw(t, "one version") == 0 {
		version := rapid.SampledFrom([]id.Version{"v0", "v9"}).Draw(t, "version")
		rq.Allows = func(l *Listing, _ time.Time) bool { return l.Version == version }
		rq.MaxUpstreams = rapid.IntRange(0, 2).Draw(t, "most")
	}
	return rq
}

// step makes a random change of the pool.
func (x *play) step(t *rapid.T) {
	x.now = x.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
	l := x.listing(rapid.IntRange(0, 7).Draw(t, "upstream"))
	switch rapid.IntRange(0, 16).Draw(t, "step") {
	case 0:
		l.ColdFor = time.Duration(rapid.IntRange(0, 3).Draw(t, "cold")) * time.Second
		x.pool.Put(x.now, l)
	case 1:
		l.Draining = rapid.Bool().Draw(t, "draining")
		x.pool.Put(x.now, l)
	case 2:
		x.pool.StoreRecovered(x.now)
		x.pool.Remove(x.now, l.ID)
	case 3:
		x.pool.SetEvacuated(x.now, l.DataCentre, rapid.Bool().Draw(t, "evacuated"))
	case 4:
		x.pool.MarkUnreachable(x.now, l.ID)
	case 5:
		x.pool.AskWait(x.now, &l, time.Second)
	case 6:
		x.pool.HearLimit(x.now, &l, rapid.Bool().Draw(t, "limited"), id.PerSecond(rapid.IntRange(1, 9).Draw(t, "limit")), x.now.Add(-10*time.Millisecond))
	case 7:
		x.pool.SetFleet(quota.NewFleet("g-0", []id.Node{"g-0", "g-1", "g-2"}[:rapid.IntRange(1, 3).Draw(t, "members")], x.now, x.now))
		x.pool.SetGatewayCount(3)
	case 8:
		peers := Load{Running: rapid.IntRange(0, 60).Draw(t, "peers run"), Upstreams: map[UpstreamKey]UpstreamLoad{}, Paces: map[PaceKey][]pace.Figure{l.paceKey(): {{Pace: 2, Samples: 30}}}}
		peers.Levels[0] = LevelLoad{Running: peers.Running, Arrived: 30, Refused: 4, SlotSeconds: 40, Started: 40, Ended: 20}
		x.pool.SetPeerLoads(map[id.Service]Load{snapshotService: peers})
	case 9:
		x.pool.Wait(x.drawRequest(t))
	case 10:
		x.pool.SetViewsOutdated(rapid.Bool().Draw(t, "outdated"))
	case 11:
		if len(x.running) > 0 {
			a := x.running[0]
			x.running = x.running[1:]
			a.PrefillDone(x.now)
			a.End(x.now)
		}
	case 12:
		if len(x.running) > 0 {
			a := x.running[0]
			x.running = x.running[1:]
			a.Unsent()
			a.End(x.now)
		}
	default:
		if a, ok := x.pool.Choose(x.now, x.drawRequest(t)).(*Assignment); ok {
			a.Gone()
			x.running = append(x.running, a)
		}
	}
}

// newPlayed returns a pool in a random state.
func newPlayed(t *rapid.T) *play {
	x := newPlay(8)
	for range rapid.IntRange(0, 80).Draw(t, "steps") {
		x.step(t)
	}
	return x
}

// snapshot returns a copy that chooses by the numbers of a seed.
func (x *play) snapshot(seed uint64) *Pool {
	return x.pool.Snapshot(snapshotService, x.latest, rand.New(rand.NewPCG(seed, seed)))
}

// requireSame fails unless a snapshot has the state that a pool has now, but for what it does without.
func requireSame(t require.TestingT, snapshot, p *Pool) {
	for _, u := range p.upstreams {
		u.gone = nil
	}
	snapshot.remarks, snapshot.rand, snapshot.latest = p.remarks, p.rand, p.latest
	require.Equal(t, snapshot, p)
}

// outcomeOf returns what a decision says, without the pool that has made it.
func outcomeOf(d Decision) any {
	if a, ok := d.(*Assignment); ok {
		c := *a
		c.pool, c.state = nil, nil
		for i := range c.taken {
			c.taken[i].of = nil
		}
		return c
	}
	return d
}

// TestSnapshotDecidesAlike answers explanations that name another upstream or refusal than the request gets that is sent
// at once afterwards.
func TestSnapshotDecidesAlike(t *testing.T) {
	kinds := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		x := newPlayed(t)
		rq := x.drawRequest(t)
		copied := *rq
		foreseen := outcomeOf(x.snapshot(7).Choose(x.now, &copied))
		x.pool.UseRandom(rand.New(rand.NewPCG(7, 7)))
		require.Equal(t, foreseen, outcomeOf(x.pool.Choose(x.now, rq)))
		kinds[fmt.Sprintf("%T", foreseen)]++
	})
	require.Len(t, kinds, 4, "every kind of decision")
}

// TestSnapshotSharesNothing answers decisions on a copy that count for requests, and the reverse.
func TestSnapshotSharesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newPlayed(t)
		before := x.snapshot(7)
		requireSame(t, before, x.pool)
		y := &play{pool: x.snapshot(8), latest: x.latest, now: x.now}
		for range 10 {
			y.step(t)
		}
		x.pool.View(x.now, x.drawRequest(t), "i-1", 9)
		requireSame(t, before, x.pool)
		kept := x.snapshot(7)
		for range 10 {
			x.step(t)
		}
		kept.remarks, kept.rand = before.remarks, before.rand
		require.Equal(t, before, kept)
	})
}

// TestViewAgreesWithChoice answers a view that excludes an upstream which gets the request, or names no reason.
func TestViewAgreesWithChoice(t *testing.T) {
	seen := map[Exclusion]bool{}
	rapid.Check(t, func(t *rapid.T) {
		x := newPlayed(t)
		rq := x.drawRequest(t)
		before := x.snapshot(7)
		view := x.pool.View(x.now, rq, "", 9)
		require.Len(t, view.Candidates, view.Known)
		considered := []id.Upstream{}
		for _, c := range view.Candidates {
			seen[c.Excluded] = true
			require.NotEqual(t, ExcludedOther, c.Excluded)
			if c.Excluded == "" {
				considered = append(considered, c.ID)
			}
		}
		switch d := x.pool.Choose(x.now, rq).(type) {
		case *Assignment:
			require.Contains(t, considered, d.Upstream.ID)
			first := before.View(x.now, rq, d.Upstream.ID, 1)
			require.Len(t, first.Candidates, 1)
			require.Equal(t, d.Upstream.ID, first.Candidates[0].ID)
		case *NoUpstream:
			require.Empty(t, considered)
		}
	})
	for _, why := range []Exclusion{ExcludedGone, ExcludedDraining, ExcludedEvacuated, ExcludedVersion, ExcludedWait, ExcludedSlot, ExcludedUnreachable, ExcludedCanary} {
		require.True(t, seen[why], why)
	}
}

// TestSnapshotKeepsSpareSlots answers an explanation that takes a slot which a request has given back.
func TestSnapshotKeepsSpareSlots(t *testing.T) {
	for _, isCold := range []bool{true, false} {
		x := newPlay(1)
		l := x.listing(0)
		if isCold {
			l.ColdFor = 3 * time.Second
			x.pool.Put(x.now, l)
		} else {
			x.pool.HearLimit(x.now, &l, true, 40, x.now)
		}
		for x.now.Before(snapshotStart.Add(2 * time.Second)) {
			if a, ok := x.pool.Choose(x.now, &Request{Service: snapshotService}).(*Assignment); ok {
				x.running = append(x.running, a)
			}
			x.now = x.now.Add(100 * time.Millisecond)
		}
		spare := x.running[len(x.running)-4:]
		for _, a := range spare {
			a.Unsent()
		}
		present := func() string {
			u := x.pool.upstreams["i-0"]
			if _, slots, limited := u.limitRate(); limited {
				return fmt.Sprintf("%+v", *slots)
			}
			return fmt.Sprintf("%+v", u.coldSlots)
		}
		before := present()
		require.IsType(t, new(Assignment), x.snapshot(1).Choose(x.now, &Request{Service: snapshotService}))
		require.Equal(t, before, present())
	}
}

// BenchmarkSnapshot copies the state of a service of 2,700 upstreams, for which requests wait.
func BenchmarkSnapshot(b *testing.B) {
	x := newPlay(2700)
	b.ReportAllocs()
	for b.Loop() {
		x.snapshot(1)
	}
}
