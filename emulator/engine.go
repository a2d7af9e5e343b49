package emulator

// This file defines the engines of a Fleet and the requests that run on them.

import (
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/quarantine"
)

// maxUnreachable is how many upstreams that cannot be connected to a request tries.
const maxUnreachable = 3

// engine is one start of an engine.
type engine struct {
	fleet   *Fleet
	listing pool.Listing
	down    bool
	runs    []*run
}

// run is an attempt of a request at an engine.
type run struct {
	request    *request
	gateway    *member
	assignment *pool.Assignment
	engine     *engine
	ended      bool
	begun      bool // the engine has sent an event
	survived   bool // it has shown that it survives the request
}

// startEngine starts an engine, of which each gateway learns some time later.
func (f *Fleet) startEngine() {
	f.nextID++
	e := &engine{fleet: f, listing: pool.Listing{ID: upstreamID(f.nextID), Service: service, Address: "engine", Slots: 64, StartUnixMS: f.clock.Now().UnixMilli()}}
	f.engines[e.listing.ID] = e
	f.live = append(f.live, e)
	for _, g := range f.gateways {
		f.clock.After(f.between(300*time.Millisecond, 1500*time.Millisecond), func() { g.pool.Put(f.clock.Now(), e.listing) })
	}
}

func upstreamID(n int) id.Upstream {
	const digits = "0123456789"
	out := []byte{'i', '-'}
	for divisor := 10_000; divisor > 0; divisor /= 10 {
		out = append(out, digits[n/divisor%10])
	}
	return id.Upstream(out)
}

// crash ends an engine with all that runs there; another starts in its place.
func (e *engine) crash() {
	if e.down {
		return
	}
	f := e.fleet
	e.down = true
	f.live = slices.DeleteFunc(f.live, func(o *engine) bool { return o == e })
	e.cutResponses()
	for _, g := range f.gateways {
		f.clock.After(f.between(time.Second, 3*time.Second), func() { g.pool.Remove(f.clock.Now(), e.listing.ID) })
	}
	f.clock.After(restartTime, f.startEngine)
}

// cutResponses ends all that runs on the engine without an answer.
func (e *engine) cutResponses() {
	runs := e.runs
	e.runs = nil
	for _, r := range runs {
		if r.ended {
			continue
		}
		r.ended = true
		e.fleet.clock.After(detectionDelay, r.cut)
	}
}

// accept runs a request.
func (e *engine) accept(r *run) {
	f, clock := e.fleet, e.fleet.clock
	e.runs = append(e.runs, r)
	clock.After(f.between(40*time.Millisecond, 300*time.Millisecond), func() {
		if r.ended {
			return
		}
		if r.request.bad {
			clock.After(f.between(0, maxCrashDelay), func() {
				if !r.ended {
					f.result.BadCrashes++
					f.badCrashes = append(f.badCrashes, clock.Now())
					e.crash()
				}
			})
			return
		}
		r.begun = true
		r.request.begin()
		work := time.Duration(f.rand.ExpFloat64() * float64(time.Second))
		clock.After(min(work, quarantine.ProofOfLife), func() {
			if !r.ended {
				r.survived = true
				f.applyChanges(r.gateway, r.gateway.register.RecordSound(clock.Now(), r.request.parts))
			}
		})
		clock.After(work, r.complete)
	})
}

func (r *run) complete() {
	if !r.ended {
		r.ended = true
		r.engine.runs = slices.DeleteFunc(r.engine.runs, func(o *run) bool { return o == r })
		r.assignment.End(r.engine.fleet.clock.Now())
	}
}

// cut is called when the gateway notices that the response has ended early.
func (r *run) cut() {
	f := r.engine.fleet
	r.assignment.End(f.clock.Now())
	if r.engine.down && !r.survived {
		r.request.crashes++
		now := f.clock.Now()
		r.gateway.pool.MarkUnreachable(now, r.engine.listing.ID)
		start := quarantine.Start{Upstream: r.engine.listing.ID, UnixMS: r.engine.listing.StartUnixMS}
		f.applyChanges(r.gateway, r.gateway.register.RecordCrash(now, start, r.request.parts, r.begun))
		r.gateway.exchangeUrgently()
	}
	r.request.avoid = append(r.request.avoid, r.engine.listing.ID)
	r.request.send(r.gateway)
}

// request is a caller's request.
type request struct {
	fleet        *Fleet
	parts        []id.PromptPart
	bad, sibling bool
	begun        bool
	attemptsLeft int
	unreachable  int
	crashes      int
	avoid        []id.Upstream
}

// begin counts the request as begun once.
func (rq *request) begin() {
	if rq.begun {
		return
	}
	rq.begun = true
	rq.fleet.result.SoundBegun++
	if rq.sibling {
		rq.fleet.result.SiblingsBegun++
	}
}

// send makes the next attempt, if one is left and no part of the prompt is held.
func (rq *request) send(g *member) {
	const maxCrashes = 2
	f := rq.fleet
	now := f.clock.Now()
	if rq.attemptsLeft == 0 || rq.crashes >= maxCrashes || g.down {
		return
	}
	if _, held := g.register.Held(now, rq.parts); held {
		if !rq.bad {
			f.result.SoundRefused++
		}
		return
	}
	prompt := pool.Prompt{Model: "m"}
	for _, part := range rq.parts {
		prompt.Parts = append(prompt.Parts, pool.PromptPart{ID: part, Tokens: 200})
	}
	prompt.Parts = append(prompt.Parts, pool.PromptPart{ID: "own", Tokens: 200})
	assignment, ok := g.pool.Choose(now, &pool.Request{Service: service, Prompt: prompt, Avoid: rq.avoid}).(*pool.Assignment)
	if !ok {
		return
	}
	e := f.engines[assignment.Upstream.ID]
	if e.down {
		assignment.End(now)
		g.pool.MarkUnreachable(now, e.listing.ID)
		rq.avoid = append(rq.avoid, e.listing.ID)
		if rq.unreachable++; rq.unreachable < maxUnreachable {
			rq.send(g)
		}
		return
	}
	rq.attemptsLeft--
	if rq.bad && f.afterFifth(f.cfg.Contact) {
		f.result.BadLate++
	}
	r := &run{request: rq, gateway: g, assignment: assignment, engine: e}
	g.runs = append(g.runs, r)
	e.accept(r)
}
