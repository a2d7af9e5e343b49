package pool

// This file defines Choose, which decides at which upstream a request runs.

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens id.Tokens
}

// Prompt is what a request brings for a model engine. The zero value is a request
// without a prompt.
type Prompt struct {
	Model  id.Model
	Parts  []PromptPart // in order; the last is the request's or its session's own
	Length id.Tokens
	Output id.Tokens // at most
}

// Request is what a request needs of an upstream.
type Request struct {
	Service id.Service
	Prompt  Prompt
	Avoid   []id.Upstream // tried before; never chosen again
}

// Decision is the outcome of a choice: *Assignment, *Throttled or *NoUpstream.
type Decision interface{ decision() }

// Assignment names the upstream. End must be called once.
type Assignment struct {
	Upstream   Listing
	Reason     string        // why this one, for the log
	ListingAge time.Duration // of the listing
	Running    int           // requests of this entry that ran there already

	pool    *Pool
	member  *member
	prefill id.Tokens
	read    bool
}

// Throttled says that the only upstreams left are cold and have had their share.
type Throttled struct{ Until time.Time }

// NoUpstream says that no upstream can run the request.
type NoUpstream struct{ Known int }

func (*Assignment) decision() {}
func (*Throttled) decision()  {}
func (*NoUpstream) decision() {}

const (
	// affineCandidates is how many upstreams the shared parts of a prompt hash to: the
	// next takes what the one before it has no room for, and the parts are read at few
	// places.
	affineCandidates = 2
	// affinityBound is how many times the mean load a preferred upstream may have. 2.5 was
	// no better (docs/design/placement.md); runLoad was never measured against others.
	affinityBound = 1.5
	// affinitySlack is the load above the mean that is always allowed, in tokens of
	// prompts: about three long prompts. Measured best among 12,000 to 80,000: what is sent
	// elsewhere sooner reads shared parts again.
	affinitySlack = 40_000
	// affineBelow is the part of its slots from which an upstream is full: what is sent
	// there would wait while others have room. It answers one workspace or key that sends
	// many times its usual in short requests, which the bound in tokens does not notice.
	affineBelow = 0.9
	// fullSample is how many slots of an upstream must be an entry's part for its own
	// requests to tell whether all are taken. With fewer, one request more or less would
	// decide.
	fullSample = 8
	// runLoad is what a running request adds to the load, in tokens of a prompt: each
	// makes every step of its batch a little longer.
	runLoad = 400
	// prefillRate is how many tokens of prompts an engine reads in a second, until
	// its speed is learned.
	prefillRate = 130_000
)

// Choose decides at which upstream a request runs, and counts it there.
func (p *Pool) Choose(now time.Time, ask *Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	open, paced := p.open(now, ask)
	if len(open) == 0 {
		if !paced.IsZero() {
			return &Throttled{Until: paced}
		}
		return &NoUpstream{Known: len(p.byService[ask.Service])}
	}
	m, reason := p.pick(now, open, ask)
	if now.Before(m.coldUntil) {
		if rate := p.coldRate(m.Service); rate > 0 {
			m.cold.take(now, rate)
		}
	}
	c := &Assignment{Upstream: m.Listing, Reason: reason, ListingAge: now.Sub(m.listed), Running: m.runs, pool: p, member: m, prefill: ask.Prompt.Length}
	m.runs++
	m.prefill += c.prefill
	return c
}

// open returns the members that take the request, and when the first cold one does
// if these are held back. The caller holds the lock.
func (p *Pool) open(now time.Time, ask *Request) (open []*member, paced time.Time) {
	var unreachable []*member
	for _, m := range slices.Clone(p.byService[ask.Service]) {
		switch {
		case !m.goneAt.IsZero() && !now.Before(m.goneAt):
			p.drop(m)
		case !p.takes(m), slices.Contains(ask.Avoid, m.ID):
		case p.held(now, m):
			if paced.IsZero() || m.cold.next.Before(paced) {
				paced = m.cold.next
			}
		case now.Before(m.unreachable):
			unreachable = append(unreachable, m)
		default:
			open = append(open, m)
		}
	}
	if len(open) == 0 {
		open = unreachable
	}
	return open, paced
}

// held reports whether a cold upstream has had its share for now.
func (p *Pool) held(now time.Time, m *member) bool {
	if until := p.lifted[m.DataCentre].Add(p.coldFor(m.Service)); now.Before(until) && m.coldUntil.Before(until) {
		m.coldUntil = until
	}
	return now.Before(m.coldUntil) && p.coldRate(m.Service) > 0 && !m.cold.ready(now)
}

func (p *Pool) service(s id.Service) *catalog.Service {
	if c := p.shelf.Load(); c != nil {
		return c.Services[s]
	}
	return nil
}

func (p *Pool) coldFor(s id.Service) time.Duration {
	if x := p.service(s); x != nil {
		return x.Cold.Duration
	}
	return 0
}

// coldRate returns the requests a second that this entry may send to one cold
// upstream; zero: no limit.
func (p *Pool) coldRate(s id.Service) float64 {
	if x := p.service(s); x != nil {
		return x.Cold.RequestsPerSecond * coldShare / float64(p.entries)
	}
	return 0
}

// load is how much a member has to do for this entry, in tokens of prompts.
func (m *member) load() float64 { return float64(m.prefill) + runLoad*float64(m.runs) }

// pick chooses among members that take the request.
func (p *Pool) pick(now time.Time, open []*member, ask *Request) (*member, string) {
	shared := sharedParts(&ask.Prompt)
	if len(open) == 1 {
		return open[0], "only"
	}
	if shared == 0 {
		return least(two(open)), "least_of_two"
	}
	open = p.side(now, open, ask)
	if len(open) == 1 {
		return open[0], "only"
	}
	mean := 0.0
	for _, m := range open {
		mean += m.load() / float64(len(open))
	}
	for i, m := range affine(open, shared) {
		if m.load() <= affinityBound*mean+affinitySlack && !p.full(m) {
			return m, affineReasons[i]
		}
	}
	return least(two(open)), "over_bound"
}

// full reports whether the slots of an upstream are taken, as far as this entry can tell.
// The caller holds the lock.
func (p *Pool) full(m *member) bool {
	use, known := p.use([]*member{m})
	return known && use >= affineBelow
}

// affineReasons are for the log.
var affineReasons = [affineCandidates]string{"affine", "affine_second"}

// sharedParts hashes the parts of a prompt that other requests share; zero: none.
func sharedParts(p *Prompt) uint64 {
	if len(p.Parts) < 2 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(p.Model)) // a hash takes everything
	for _, x := range p.Parts[:len(p.Parts)-1] {
		_, _ = h.WriteString("," + x.ID)
	}
	return h.Sum64() | 1
}

// affine returns the members that a hash of shared parts prefers.
func affine(open []*member, shared uint64) []*member {
	type scored struct {
		m     *member
		score uint64
	}
	best := make([]scored, 0, affineCandidates+1)
	for _, m := range open {
		score := mix(xxhash.Sum64String(string(m.ID)) ^ shared)
		at := slices.IndexFunc(best, func(b scored) bool { return score > b.score })
		if at < 0 {
			at = len(best)
		}
		best = slices.Insert(best, at, scored{m, score})
		best = best[:min(len(best), affineCandidates)]
	}
	out := make([]*member, len(best))
	for i, b := range best {
		out[i] = b.m
	}
	return out
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// two returns two members at random, so that entries with equal views do not all
// choose the same one.
func two(open []*member) []*member {
	i := rand.IntN(len(open))
	j := rand.IntN(len(open) - 1)
	if j >= i {
		j++
	}
	return []*member{open[i], open[j]}
}

// least returns the member with the least load.
func least(of []*member) *member {
	best := of[0]
	for _, m := range of[1:] {
		if m.load() < best.load() {
			best = m
		}
	}
	return best
}

// PrefillDone says that the upstream has read the prompt.
func (c *Assignment) PrefillDone() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.finishReading()
}

func (c *Assignment) finishReading() {
	if !c.read {
		c.read = true
		c.member.prefill -= c.prefill
	}
}

// End says that the request no longer runs at the upstream.
func (c *Assignment) End() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.finishReading()
	c.member.runs--
}
