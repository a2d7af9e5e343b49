package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// review asks for an engine for a long prompt whose answer is expected to have a number of tokens.
func review(t *testing.T, p *pool.Pool, at time.Time, tokens id.Tokens) *pool.Assignment {
	t.Helper()
	rq := pool.Request{Urgency: 5, MaxWait: time.Second, Prompt: prompt("shared", 5000, 5000)}
	rq.Prompt.Hint, rq.Prompt.Output = tokens, 1000
	return choose(t, p, at, rq)
}

// TestAnswersAreCutNearTheirEnd has an engine of late make an event in a quarter of a second: of an answer of 360 tokens it is
// known beforehand that it takes 15 s, although it begins at once.
func TestAnswersAreCutNearTheirEnd(t *testing.T) {
	p, at := newSlotPool(1, 64, 1), now
	p.UseRandom(rand.New(rand.NewPCG(1, 2)))
	require.Zero(t, review(t, p, at, 100_000).ExpectedEnd, "nothing is known")
	for range 20 {
		a := review(t, p, at, 240)
		for range 40 {
			at = at.Add(250 * time.Millisecond)
			a.PrefillDone(at)
		}
		a.Answered(at)
		a.End(at)
	}
	require.InDelta(t, 7.7, review(t, p, at, 180).ExpectedEnd.Seconds(), 1)
	require.InDelta(t, 15, review(t, p, at, 360).ExpectedEnd.Seconds(), 2)
}
