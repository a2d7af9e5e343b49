package pace_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/pace"
)

// engine is an upstream in simulated time.
type engine struct {
	slowness float64
	running  float64 // on average; it varies by half of it within five seconds
	reading  float64 // share of its steps beside which it reads prompts
	prompts  float64 // most tokens of these
	noise    bool    // it is 2.5 times slower in every seventh span of 600 ms
	slowFor  time.Duration
}

// fleet is some gateways in front of engines, each of which shows every gateway about perSecond times four events a second.
type fleet struct {
	engines   []*engine
	gateways  []*gateway
	paces     []pace.Pace // as all gateways have merged them
	perSecond float64
	now       time.Time
	elapsed   time.Duration
	rand      *rand.Rand
	odd       int // gateway whose samples are eight times as long; -1: none
}

type gateway struct {
	service   pace.Service
	upstreams []pace.Upstream
	steps     []pace.Steps // of the answers of each
}

func newFleet(gateways int, perSecond float64, engines ...*engine) *fleet {
	f := &fleet{engines: engines, perSecond: perSecond, now: time.Unix(1_800_000_000, 0), rand: rand.New(rand.NewPCG(1, 2)), odd: -1}
	for range gateways {
		f.gateways = append(f.gateways, &gateway{upstreams: make([]pace.Upstream, len(engines)), steps: make([]pace.Steps, len(engines))})
	}
	for range engines {
		f.paces = append(f.paces, pace.Even)
	}
	return f
}

const (
	tick = 10 * time.Millisecond
	// stepsPerSample is of how many events the shortest time counts.
	stepsPerSample = 4
)

// events returns a number of events whose mean is given.
func events(r *rand.Rand, mean float64) int {
	n := int(mean)
	if r.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// play lets time pass. The gateways exchange their reports four times a second.
func (f *fleet) play(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now, f.elapsed = f.now.Add(tick), f.elapsed+tick {
		for i, e := range f.engines {
			slowness := e.slowness
			if e.noise && (f.elapsed/(600*time.Millisecond)+time.Duration(i))%7 == 0 {
				slowness *= 2.5
			}
			if e.slowFor > 0 {
				slowness *= 3
				e.slowFor -= tick
			}
			for n, g := range f.gateways {
				for range events(f.rand, stepsPerSample*f.perSecond*tick.Seconds()/slowness) {
					f.sample(n, g, i, e, slowness)
				}
			}
		}
		if f.elapsed%(250*time.Millisecond) == 0 {
			f.exchange()
		}
	}
}

// sample has a gateway see an event of an engine: an event takes 24 ms, 0.5 ms for each request and a ms
// for 100 unread tokens, up to 24,000; a prompt of 1,000 to 10,000 tokens is read at 100 tokens a ms.
func (f *fleet) sample(n int, g *gateway, i int, e *engine, slowness float64) {
	swing := 1 + 0.5*math.Sin(2*math.Pi*f.elapsed.Seconds()/5+float64(i))
	c := pace.Conditions{Running: e.running * swing}
	if f.rand.Float64() < e.reading {
		c.Unread = 1000 + e.prompts*f.rand.Float64()
	}
	took := 24 + 0.5*c.Running + min(c.Unread, 24_000)/100
	tokens := 1000 + 9000*f.rand.Float64()
	if n == f.odd {
		slowness *= 8
	}
	jitter := func() float64 { return 0.8 + 0.4*f.rand.Float64() }
	ms := func(n float64) time.Duration {
		return time.Duration(n * slowness * jitter() * float64(time.Millisecond))
	}
	u := &g.upstreams[i]
	u.AddStep(f.now, &g.service, f.paces[i], &g.steps[i], c, ms(took))
	if f.rand.Float64() < 1.0/64 {
		g.service.AddRead(f.now, f.paces[i], tokens, c.Running, ms(30+tokens/100))
	}
}

// exchange merges the reports of all gateways.
func (f *fleet) exchange() {
	var paces []*pace.Pace
	for i := range f.engines {
		var figures []pace.Figure
		for _, g := range f.gateways {
			figures = append(figures, told(g.upstreams[i].Figure(f.now)))
		}
		f.paces[i] = pace.Merge(figures)
		paces = append(paces, &f.paces[i])
	}
	pace.Normalise(paces)
}

// told returns what peers know of a figure.
func told(f pace.Figure) pace.Figure { return pace.DecodeFigure(f.Encode()) }

// ratio returns how much longer an engine takes than another one.
func (f *fleet) ratio(a, b int) float64 { return float64(f.paces[a] / f.paces[b]) }

// mixed returns a third of fast engines, and slow ones that take 2.4 times as long.
func mixed(n int) (engines []*engine) {
	for i := range n {
		e := &engine{slowness: 2.4, running: 20, reading: 0.2, prompts: 2000}
		if i%3 == 2 {
			e.slowness = 1
		}
		engines = append(engines, e)
	}
	return engines
}

// TestEnginesDifferInSpeed guards against engines that get as much work as others that are 2.4 times as fast.
func TestEnginesDifferInSpeed(t *testing.T) {
	f := newFleet(8, 4, mixed(9)...)
	require.InDelta(t, 1, f.ratio(0, 2), 0, "alike before anything is known")
	f.play(6 * time.Second)
	require.InDelta(t, 2.4, f.ratio(0, 2), 0.25)
	require.InDelta(t, 1, f.ratio(0, 1), 0.15)
}

// TestLoadIsNotTakenForSlowness has fast engines run three times as many requests, and read prompts most of the time, as
// they do once they get the work that they bear: that they then answer no sooner than slow ones must not undo it.
func TestLoadIsNotTakenForSlowness(t *testing.T) {
	engines := mixed(9)
	f := newFleet(8, 4, engines...)
	f.play(6 * time.Second)
	for _, e := range engines {
		if e.slowness == 1 {
			e.running, e.reading, e.prompts = 60, 0.8, 10_000
		}
	}
	for range 12 {
		f.play(5 * time.Second)
		require.InDelta(t, 2.4, f.ratio(0, 2), 0.5)
	}
}

// TestGatewaySeesFewRequests has 24 gateways that each see an event of an engine every four seconds.
func TestGatewaySeesFewRequests(t *testing.T) {
	f := newFleet(24, 0.25, mixed(30)...)
	f.play(15 * time.Second)
	for i := range f.engines {
		want := 1.0
		if f.engines[i].slowness == 1 {
			want = 1 / 2.4
		}
		require.InDelta(t, want, f.ratio(i, 0), 0.35, "engine %d", i)
	}
}

// TestEngineIsSlowForSeconds guards against work that goes on to an engine while it is slow, and against one that gets
// less long after.
func TestEngineIsSlowForSeconds(t *testing.T) {
	f := newFleet(8, 16, mixed(9)...)
	f.play(10 * time.Second)
	f.engines[0].slowFor = 5 * time.Second
	f.play(2 * time.Second)
	require.Greater(t, f.ratio(0, 1), 1.25, "after 2 s")
	f.play(3 * time.Second)
	require.Greater(t, f.ratio(0, 1), 1.7, "after 5 s")
	f.play(6 * time.Second)
	require.Less(t, f.ratio(0, 1), 1.25, "6 s after it has ended")
}

// TestNoiseIsNotSlowness has each engine be slow by turns, as machines are that others share.
func TestNoiseIsNotSlowness(t *testing.T) {
	engines := mixed(9)
	for _, e := range engines {
		e.noise = true
	}
	f := newFleet(8, 8, engines...)
	f.play(10 * time.Second)
	for range 40 {
		f.play(250 * time.Millisecond)
		require.InDelta(t, 1, f.ratio(0, 1), 0.45)
		require.Greater(t, f.ratio(1, 2), 1.5)
	}
}

// TestOddSamplesOfOneGateway has one gateway see times that are eight times too long, as on a machine that has turned
// slow, at one of the engines.
func TestOddSamplesOfOneGateway(t *testing.T) {
	figures := make([]pace.Figure, 7)
	for i := range figures {
		figures[i] = pace.Figure{Pace: 1, Samples: 10}
	}
	require.InDelta(t, 1, float64(pace.Merge(append(figures, pace.Figure{Pace: 8, Samples: 1e6}))), 0.1)

	f := newFleet(8, 4, mixed(9)...)
	f.odd = 3
	f.play(10 * time.Second)
	require.InDelta(t, 2.4, f.ratio(0, 2), 0.3)
}

// TestDoubtedEngineIsTriedAgain guards against an engine that was slow once and gets nothing any more, so that nobody
// learns that it has recovered.
func TestDoubtedEngineIsTriedAgain(t *testing.T) {
	require.LessOrEqual(t, pace.Merge([]pace.Figure{{Pace: 1000, Samples: 1000}}), pace.Pace(4))
	f := newFleet(8, 8, mixed(9)...)
	f.play(10 * time.Second)
	before := f.ratio(0, 2)
	f.perSecond = 0
	f.play(30 * time.Second)
	after := f.ratio(0, 2)
	require.Greater(t, before, 2.0)
	require.Less(t, after, 1.2, "forgotten without samples")
}

// TestRestartedEngineIsUnknown starts an engine again: what it was must not count.
func TestRestartedEngineIsUnknown(t *testing.T) {
	f := newFleet(8, 8, mixed(9)...)
	f.play(10 * time.Second)
	for _, g := range f.gateways {
		g.upstreams[0] = pace.Upstream{}
	}
	f.exchange()
	require.InDelta(t, 1, float64(pace.Merge(nil)), 0)
	require.Less(t, f.ratio(0, 2), 2.0)
	f.engines[0].slowness = 1
	f.play(3 * time.Second)
	require.InDelta(t, 1, f.ratio(0, 2), 0.2)
}

// TestExpectedTimes compares what is expected with what an engine does, under the loads that it has had.
func TestExpectedTimes(t *testing.T) {
	engines := mixed(3)
	engines[0].running, engines[1].running, engines[2].running = 8, 16, 40
	f := newFleet(4, 16, engines...)
	f.play(20 * time.Second)
	s, fast := &f.gateways[0].service, f.paces[2]
	for _, running := range []float64{25, 50} {
		for _, unread := range []float64{0, 2000} {
			t.Run(fmt.Sprint(running, unread), func(t *testing.T) {
				want := 24 + 0.5*running + unread/100
				require.InEpsilon(t, want, float64(s.StepTime(fast, pace.Conditions{Running: running, Unread: unread}).Milliseconds()), 1.0/3)
			})
		}
	}
	require.InEpsilon(t, 130, float64(s.ReadTime(fast, 10_000, 40).Milliseconds()), 1.0/3)
	most, limited := s.MostRunning(fast, 44*time.Millisecond, 0)
	require.True(t, limited)
	require.InDelta(t, 40, most, 15)
}

// TestNothingIsKnown asks a service without samples.
func TestNothingIsKnown(t *testing.T) {
	var s pace.Service
	require.Zero(t, s.StepTime(pace.Even, pace.Conditions{Running: 9, Unread: 1000}))
	require.Zero(t, s.ReadTime(pace.Even, 1000, 1))
	_, limited := s.MostRunning(pace.Even, time.Second, 1000)
	require.False(t, limited)
	require.Equal(t, pace.Even, pace.Merge([]pace.Figure{{}, {}}))
	pace.Normalise(nil)
}

// TestSamplesWithoutVariation has a service whose upstreams always run as much, and never read prompts.
func TestSamplesWithoutVariation(t *testing.T) {
	var s pace.Service
	var u pace.Upstream
	var steps pace.Steps
	at := time.Unix(1_800_000_000, 0)
	for i := range 100 {
		u.AddStep(at.Add(time.Duration(i)*time.Millisecond), &s, pace.Even, &steps, pace.Conditions{}, 30*time.Millisecond)
	}
	require.InEpsilon(t, 30, float64(s.StepTime(pace.Even, pace.Conditions{}).Milliseconds()), 0.05)
	require.InEpsilon(t, 30, float64(s.StepTime(pace.Even, pace.Conditions{Running: 50, Unread: 1000}).Milliseconds()), 0.05)
}

// TestToldFigures sends figures to peers, sensible ones and those that are out of range.
func TestToldFigures(t *testing.T) {
	for _, f := range []pace.Figure{{1, 0}, {1, 5}, {2.4, 40}, {0.42, 3000}, {4, 1e5}, {0.25, 1}} {
		got := told(f)
		require.InEpsilon(t, float64(f.Pace), float64(got.Pace), 0.03)
		require.InDelta(t, f.Samples, got.Samples, 0.5*f.Samples+0.01)
	}
	got := pace.DecodeFigure(1<<31, 1<<31)
	require.InDelta(t, 4, float64(got.Pace), 0.01)
	require.Less(t, got.Samples, 2e6)
}

// answers has four upstreams send whole answers to a gateway, each a number a second, whose times have a deviation in
// logarithm, for some minutes. The first upstream has a slowness. It returns the share of the time in which each of them
// counts as unlike the others.
func answers(perSecond, deviation, slowness float64, minutes int) (unlike [4]float64) {
	random := rand.New(rand.NewPCG(3, 4))
	var s pace.Service
	var upstreams [4]pace.Upstream
	paces := [4]pace.Pace{1, 1, 1, 1}
	start, rounds := time.Unix(1_800_000_000, 0), 0
	for at := start; at.Before(start.Add(time.Duration(minutes) * time.Minute)); at = at.Add(tick) {
		for i := range upstreams {
			for range events(random, perSecond*tick.Seconds()) {
				took := 0.06 * math.Exp(deviation*random.NormFloat64())
				if i == 0 {
					took *= slowness
				}
				upstreams[i].AddWhole(at, &s, paces[i], 2, time.Duration(took*float64(time.Second)))
			}
		}
		if elapsed := at.Sub(start); elapsed%(250*time.Millisecond) == 0 && elapsed >= 20*time.Second {
			var all []*pace.Pace
			for i := range upstreams {
				paces[i] = pace.Merge([]pace.Figure{upstreams[i].Figure(at)})
				all = append(all, &paces[i])
			}
			pace.Normalise(all)
			rounds++
			for i, p := range paces {
				if p.Distinct() != pace.Even {
					unlike[i]++
				}
			}
		}
	}
	for i := range unlike {
		unlike[i] /= float64(rounds)
	}
	return unlike
}

// TestAnswersDifferByWhatTheyHold guards against alike upstreams of a service without events that count as unlike by
// chance: where answers vary, it takes more of them to tell.
func TestAnswersDifferByWhatTheyHold(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 10} {
		for _, deviation := range []float64{0.3, 0.5, 0.8} {
			t.Run(fmt.Sprint(perSecond, deviation), func(t *testing.T) {
				unlike := answers(perSecond, deviation, 1, 20)
				t.Log(unlike)
				for i := range unlike {
					require.LessOrEqual(t, unlike[i], 0.015, "upstream %d", i)
				}
			})
		}
	}
}

// TestSlowUpstreamAmongVaryingAnswers has one upstream take three times as long as the others.
func TestSlowUpstreamAmongVaryingAnswers(t *testing.T) {
	for _, deviation := range []float64{0, 0.3, 0.5} {
		t.Log(answers(1, deviation, 3, 5))
		require.Greater(t, answers(5, deviation, 3, 5)[0], 0.95, "deviation %.1f", deviation)
	}
}

// TestSlowUpstreamIsNoVariation guards against one upstream that is slow counting as a service whose answers vary, so that it is
// not found: at each upstream all answers take the same time.
func TestSlowUpstreamIsNoVariation(t *testing.T) {
	for _, slowness := range []float64{3, 4, 6} {
		unlike := answers(0.3, 0, slowness, 10)
		t.Log(unlike)
		require.Greater(t, unlike[0], 0.5, "%.0f times as slow", slowness)
	}
}
