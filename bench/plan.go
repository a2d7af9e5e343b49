package bench

// This file defines Plan, the seeded arrivals of an open-loop load: when each
// call is sent does not depend on how earlier ones fared.

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/rule"
)

// Arrival is one call of a plan.
type Arrival struct {
	Number    int
	At        time.Duration // since the start of the load
	Workspace id.Workspace
	Traffic   *Traffic
	Prompt    string
	Warmup    bool // sent to warm the fleet; not part of the figures
}

// Surge multiplies the rate of a part of the load for a while.
type Surge struct {
	From, To  time.Duration // since the end of the warm-up
	Factor    float64
	Class     id.Class     // empty: every class
	Workspace id.Workspace // empty: every workspace
}

func (s Surge) covers(at time.Duration, c id.Class, ws id.Workspace) bool {
	return at >= s.From && at < s.To && (s.Class == "" || s.Class == c) && (s.Workspace == "" || s.Workspace == ws)
}

// Plan describes a load.
type Plan struct {
	Deployment *Deployment
	Seed       uint64
	RateFactor float64       // of the deployment's rates
	Warmup     time.Duration // ramp before the load proper
	Duration   time.Duration // of the load proper
	Surges     []Surge
	Without    id.Workspace // sends nothing; empty: all send
}

// minRamp is the part of the rate with which a warm-up starts.
const minRamp = 0.1

// Arrivals returns the calls in the order of their times. The arrivals of each
// workspace and kind of call are a Poisson process with a generator of its own, so
// leaving one out or raising one changes no other.
func (p *Plan) Arrivals(set *rule.Set) []Arrival {
	names, weights := shares(set)
	total := 0.0
	for _, w := range weights {
		total += w
	}
	var all []Arrival
	for i, ws := range names {
		if ws == p.Without {
			continue
		}
		for j := range p.Deployment.Traffic {
			t := &p.Deployment.Traffic[j]
			rng := rand.New(rand.NewPCG(p.Seed, uint64(i)<<32|uint64(j)))
			all = append(all, p.stream(rng, ws, t, t.Rate*p.RateFactor*weights[i]/total)...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		all[i].Number = i
	}
	return all
}

// stream returns the arrivals of one workspace and kind of call, by thinning a
// process of the highest rate.
func (p *Plan) stream(rng *rand.Rand, ws id.Workspace, t *Traffic, rate float64) []Arrival {
	highest := 1.0
	for _, s := range p.Surges {
		if (s.Class == "" || s.Class == t.Class) && (s.Workspace == "" || s.Workspace == ws) {
			highest *= max(1, s.Factor)
		}
	}
	var list []Arrival
	end := p.Warmup + p.Duration
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / (rate * highest) * float64(time.Second))
		if at >= end {
			return list
		}
		keep := rng.Float64() < p.factor(at, t.Class, ws)/highest
		prompt := promptText(rng, t)
		if keep {
			list = append(list, Arrival{At: at, Workspace: ws, Traffic: t, Prompt: prompt, Warmup: at < p.Warmup})
		}
	}
}

// factor returns the multiple of the rate at a time since the start.
func (p *Plan) factor(at time.Duration, c id.Class, ws id.Workspace) float64 {
	if at < p.Warmup {
		return minRamp + (1-minRamp)*float64(at)/float64(p.Warmup)
	}
	f := 1.0
	for _, s := range p.Surges {
		if s.covers(at-p.Warmup, c, ws) {
			f *= s.Factor
		}
	}
	return f
}

// sharedPrefixes is the number of different beginnings of prompts of a class.
const sharedPrefixes = 16

// promptText returns a prompt that shares its beginning with others of its class.
func promptText(rng *rand.Rand, t *Traffic) string {
	var b strings.Builder
	shared := "history " + string(t.Class) + " " + strconv.Itoa(rng.IntN(sharedPrefixes)) + " "
	for b.Len() < t.PromptBytes*3/4 {
		b.WriteString(shared)
	}
	b.WriteString("case " + strconv.FormatUint(rng.Uint64(), 36) + " ")
	for b.Len() < t.PromptBytes {
		b.WriteString("x ")
	}
	return b.String()
}
