package bench

// This file defines Plan, which generates the seeded arrivals of an open-loop load:
// the time of a call does not depend on the results of earlier ones.

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

// Arrival is one planned call.
type Arrival struct {
	Number    int           // in the order of the times, from zero
	At        time.Duration // since the start of the load
	Workspace id.Workspace
	Traffic   *Traffic
	Prompt    string
	Warmup    bool // sent to warm the fleet; left out of the report
}

// Surge multiplies the rate of a class or a workspace for a while.
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
	Deployment        *Deployment
	Seed              uint64
	RateFactor        float64       // multiple of the deployment's rates
	Warmup            time.Duration // ramp before the measured period
	Duration          time.Duration // of the measured period
	Surges            []Surge
	ExcludedWorkspace id.Workspace // sends nothing; empty: all send
}

// rampStart is the fraction of the planned rate at which the warm-up starts.
const rampStart = 0.1

// Arrivals returns the calls in the order of their times. The arrivals of each
// workspace and Traffic are a Poisson process with its own random generator, so
// that excluding one or changing its rate does not change the others.
func (p *Plan) Arrivals(set *rule.Set) []Arrival {
	names, weights := workspaceWeights(set)
	total := 0.0
	for _, w := range weights {
		total += w
	}
	var all []Arrival
	for i, ws := range names {
		if ws == p.ExcludedWorkspace {
			continue
		}
		for j := range p.Deployment.Traffic {
			t := &p.Deployment.Traffic[j]
			rng := rand.New(rand.NewPCG(p.Seed, uint64(i)<<32|uint64(j)))
			all = append(all, p.poissonArrivals(rng, ws, t, t.Rate*p.RateFactor*weights[i]/total)...)
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		all[i].Number = i
	}
	return all
}

// poissonArrivals returns the arrivals of one workspace and Traffic. It generates a
// Poisson process at the highest rate that the surges allow and drops arrivals at
// random to match the rate of each moment.
func (p *Plan) poissonArrivals(rng *rand.Rand, ws id.Workspace, t *Traffic, rate float64) []Arrival {
	maxFactor := 1.0
	for _, s := range p.Surges {
		if (s.Class == "" || s.Class == t.Class) && (s.Workspace == "" || s.Workspace == ws) {
			maxFactor *= max(1, s.Factor)
		}
	}
	var list []Arrival
	end := p.Warmup + p.Duration
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / (rate * maxFactor) * float64(time.Second))
		if at >= end {
			return list
		}
		keep := rng.Float64() < p.rateFactorAt(at, t.Class, ws)/maxFactor
		prompt := promptText(rng, t)
		if keep {
			list = append(list, Arrival{At: at, Workspace: ws, Traffic: t, Prompt: prompt, Warmup: at < p.Warmup})
		}
	}
}

// rateFactorAt returns the multiple of the planned rate that applies at a time since
// the start of the load: the ramp of the warm-up, then the product of the surges.
func (p *Plan) rateFactorAt(at time.Duration, c id.Class, ws id.Workspace) float64 {
	if at < p.Warmup {
		return rampStart + (1-rampStart)*float64(at)/float64(p.Warmup)
	}
	f := 1.0
	for _, s := range p.Surges {
		if s.covers(at-p.Warmup, c, ws) {
			f *= s.Factor
		}
	}
	return f
}

// sharedPrefixes is the number of distinct prompt prefixes of a class.
const sharedPrefixes = 16

// promptText returns a prompt that shares its prefix with others of its class.
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
