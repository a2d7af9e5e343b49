package emulator

// This file defines prompts, which draws the prompts of a kind.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// prompts draws the prompts of a kind.
type prompts struct {
	day    *day
	kind   *Kind
	shared [][]pool.PromptPart // the variants of each part
	share  []float64           // of the variants of the last part up to each one
}

// newPrompts draws the shared parts of a kind.
func (d *day) newPrompts(k *Kind) *prompts {
	p := &prompts{day: d, kind: k}
	for i := range k.Shared {
		part := &k.Shared[i]
		variants := make([]pool.PromptPart, part.Variants)
		for n := range variants {
			variants[n] = pool.PromptPart{ID: id.PromptPart(fmt.Sprintf("%s-%d-%d", k.Name, i, n)), Tokens: part.Tokens.draw(d.rand)}
		}
		p.shared = append(p.shared, variants)
	}
	if len(k.Shared) > 0 {
		last, sum := &k.Shared[len(k.Shared)-1], 0.0
		for n := range last.Variants {
			sum += math.Pow(float64(n+1), -last.Skew)
			p.share = append(p.share, sum)
		}
	}
	return p
}

// draw returns a prompt with a private last part.
func (p *prompts) draw() pool.Prompt {
	r := p.day.rand
	prompt := pool.Prompt{Model: model, Output: p.kind.Output.draw(r)}
	if len(p.share) > 0 {
		n, _ := slices.BinarySearch(p.share, r.Float64()*p.share[len(p.share)-1])
		for _, variants := range p.shared {
			prompt.Parts = append(prompt.Parts, variants[n%len(variants)])
		}
	}
	prompt.Parts = append(prompt.Parts, pool.PromptPart{ID: id.PromptPart("own-" + strconv.Itoa(p.day.nextID())), Tokens: p.kind.Own.draw(r)})
	for _, part := range prompt.Parts {
		prompt.Length += part.Tokens
	}
	return prompt
}

// draw returns a random length.
func (l *Length) draw(r *rand.Rand) id.Tokens {
	n := float64(l.Mean) * math.Exp(l.Spread*r.NormFloat64()-l.Spread*l.Spread/2)
	if l.Max > 0 {
		n = min(n, float64(l.Max))
	}
	return max(1, id.Tokens(math.Round(n)))
}
