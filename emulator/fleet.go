package emulator

// This file defines Fleet, its callers and what a run of it counts.

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quarantine"
)

// service is the only service of a fleet.
const service id.Service = "engines"

// Place is where in its prompt a crashing part stands.
type Place int

// The places.
const (
	Middle Place = iota // behind a part that sound requests have as well
	First
)

// Faults sets what else goes wrong. The zero value means nothing.
type Faults struct {
	CrashesPerSecond float64       // engines that crash by themselves, one at a time
	HerdInterval     time.Duration // between crashes of HerdShare of all engines at once; zero: none
	HerdShare        float64
	CutsPerSecond    float64       // engines whose running responses are cut while they live on
	LostExchanges    float64       // share of the exchanges between gateways that fail
	KillAllAt        time.Duration // when all gateways are killed and start again; zero: never
}

// Config describes a fleet and its load.
type Config struct {
	Seed              uint64
	Gateways, Engines int
	SoundPerSecond    float64
	BadPerSecond      float64 // requests with a part that crashes engines; zero: none
	BadFrom           time.Duration
	BadPlace          Place
	FirstParts        int // parts that begin a prompt
	SecondParts       int // parts that follow
	Attempts          int // most upstreams for a request
	Contact           time.Duration
	Length            time.Duration
	Faults            Faults
}

// Result counts what happened in a run.
type Result struct {
	BadCrashes    int // engines that crashed under a bad request
	OtherCrashes  int
	BadLate       int // bad requests that reached engines later than Config.Contact after the fifth crash
	SoundHeld     int // sound parts that were held at any gateway
	SoundSent     int
	SoundRefused  int // sound requests that were refused because of a held part
	SoundBegun    int
	SiblingsSent  int // sound requests with the first part of the bad ones, from two contact times after the fifth crash on
	SiblingsBegun int
	HeldAfter     time.Duration // from the first bad request to the first hold of its part; zero: never
}

const (
	restartTime       = 4 * time.Second        // of a crashed engine
	maxCrashDelay     = 150 * time.Millisecond // from the beginning of a bad answer to the crash
	detectionDelay    = 2 * time.Millisecond   // until a gateway has noticed the end of a connection
	badPart           = id.PromptPart("bad")
	gatewayRestart    = time.Second
	badFirstPartIndex = 0
)

// Fleet is a fleet in a run.
type Fleet struct {
	cfg      Config
	clock    *Clock
	rand     *rand.Rand
	started  time.Time
	latest   *catalog.Latest
	gateways []*member
	engines  map[id.Upstream]*engine
	live     []*engine
	nextID   int
	saved    []quarantine.Hold // on the store

	result     Result
	badCrashes []time.Time
	firstBad   time.Time
	soundHeld  map[id.PromptPart]bool
}

// Run plays a fleet for the length of its configuration.
func Run(cfg Config) Result {
	epoch := time.Unix(1_800_000_000, 0)
	f := &Fleet{
		cfg: cfg, clock: NewClock(epoch), rand: rand.New(rand.NewPCG(cfg.Seed, 1)), started: epoch, latest: new(catalog.Latest),
		engines: make(map[id.Upstream]*engine), soundHeld: make(map[id.PromptPart]bool),
	}
	c := &catalog.Catalog{Version: 1, Services: map[id.Service]*catalog.Service{service: {Name: service, Engine: &catalog.Engine{Slots: 64}}}}
	c.Index()
	f.latest.Update(c)
	for n := range cfg.Gateways {
		f.gateways = append(f.gateways, f.newGateway(n))
	}
	for range cfg.Engines {
		f.startEngine()
	}
	for _, e := range f.live { // all views are complete at the beginning
		for _, g := range f.gateways {
			g.pool.Put(f.clock.Now(), e.listing)
		}
	}
	f.schedule()
	f.clock.Run(epoch.Add(cfg.Length))
	f.result.SoundHeld = len(f.soundHeld)
	return f.result
}

// schedule adds callers and faults to the clock.
func (f *Fleet) schedule() {
	f.poisson(f.cfg.SoundPerSecond, func() { f.call(false) })
	f.clock.After(f.cfg.BadFrom, func() { f.poisson(f.cfg.BadPerSecond, func() { f.call(true) }) })
	f.poisson(f.cfg.Faults.CrashesPerSecond, func() { f.crashAny() })
	f.poisson(f.cfg.Faults.CutsPerSecond, func() {
		if len(f.live) > 0 {
			f.live[f.rand.IntN(len(f.live))].cutResponses()
		}
	})
	if herd := f.cfg.Faults.HerdInterval; herd > 0 {
		f.clock.Every(herd, func() {
			for range int(f.cfg.Faults.HerdShare * float64(len(f.live))) {
				f.crashAny()
			}
		})
	}
	if at := f.cfg.Faults.KillAllAt; at > 0 {
		f.clock.After(at, func() {
			for _, g := range f.gateways {
				g.restart()
			}
		})
	}
}

// poisson runs fn at random times with a mean rate; never, if the rate is zero.
func (f *Fleet) poisson(perSecond float64, fn func()) {
	if perSecond <= 0 {
		return
	}
	f.clock.After(time.Duration(f.rand.ExpFloat64()/perSecond*float64(time.Second)), func() {
		fn()
		f.poisson(perSecond, fn)
	})
}

// between returns a random duration.
func (f *Fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rand.Int64N(int64(high-low)))
}

// crashAny crashes a random engine.
func (f *Fleet) crashAny() {
	if len(f.live) > 0 {
		f.result.OtherCrashes++
		f.live[f.rand.IntN(len(f.live))].crash()
	}
}

// call sends a request of a caller to a random gateway.
func (f *Fleet) call(bad bool) {
	first := f.rand.IntN(f.cfg.FirstParts)
	second := id.PromptPart(fmt.Sprint("second-", f.rand.IntN(f.cfg.SecondParts)))
	rq := &request{fleet: f, bad: bad, attemptsLeft: f.cfg.Attempts}
	switch {
	case bad && f.cfg.BadPlace == First:
		rq.parts = []id.PromptPart{badPart, second}
	case bad:
		first = badFirstPartIndex
		rq.parts = []id.PromptPart{firstPart(first), badPart, second}
	default:
		rq.parts = []id.PromptPart{firstPart(first), second}
		f.result.SoundSent++
		if first == badFirstPartIndex && f.afterFifth(2*f.cfg.Contact) {
			rq.sibling = true
			f.result.SiblingsSent++
		}
	}
	if bad && f.firstBad.IsZero() {
		f.firstBad = f.clock.Now()
	}
	g := f.gateways[f.rand.IntN(len(f.gateways))]
	g.register.CountRequest(rq.parts)
	rq.send(g)
}

func firstPart(n int) id.PromptPart { return id.PromptPart(fmt.Sprint("first-", n)) }

// afterFifth reports whether the fifth crash under a bad request is longer ago than d.
func (f *Fleet) afterFifth(d time.Duration) bool {
	return len(f.badCrashes) >= 5 && f.clock.Now().Sub(f.badCrashes[4]) > d
}

// applyChanges counts what a gateway has decided, and ends its attempts with a held part of which
// no event has come.
func (f *Fleet) applyChanges(g *member, changes []quarantine.Change) {
	for _, c := range changes {
		if c.Held {
			g.cancelPending(c.Hold.Part)
		}
		switch {
		case !c.Held:
		case c.Hold.Part != badPart:
			f.soundHeld[c.Hold.Part] = true
		case f.result.HeldAfter == 0:
			f.result.HeldAfter = f.clock.Now().Sub(f.firstBad)
		}
	}
}
