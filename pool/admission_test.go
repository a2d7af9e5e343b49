package pool_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// The load of the tests in this file: engines that read 130 tokens a ms until others are measured.
const (
	maxWait     = 300 * time.Millisecond
	longTokens  = 13_000 // take 100 ms
	shortTokens = 1_300
)

// repeatablePool returns a pool that chooses alike in each run.
func repeatablePool(n int) *pool.Pool {
	p := newPool(n)
	p.UseRandom(rand.New(rand.NewPCG(1, 2)))
	return p
}

// ask asks for an engine for a request of an urgency, with a private prompt.
func ask(p *pool.Pool, at time.Time, urgency int, tokens id.Tokens) pool.Decision {
	return p.Choose(at, &pool.Request{
		Service: modelService, Urgency: urgency, MaxWait: maxWait,
		Prompt: pool.Prompt{Model: "m", Length: tokens, Parts: []pool.PromptPart{{ID: "own", Tokens: tokens}}},
	})
}

// fill has requests of an urgency begin until one is refused, and returns them and the refusal.
func fill(t *testing.T, p *pool.Pool, at time.Time, urgency int, tokens id.Tokens) (begun []*pool.Assignment, refused *pool.Overloaded) {
	t.Helper()
	for range 10_000 {
		switch d := ask(p, at, urgency, tokens).(type) {
		case *pool.Assignment:
			begun = append(begun, d)
		case *pool.Overloaded:
			return begun, d
		default:
			require.Failf(t, "unexpected decision", "%T", d)
		}
	}
	require.Fail(t, "nothing is refused")
	return nil, nil
}

// TestRequestsWaitForEnginesUntilDeadline guards against engines that work for answers that nobody waits
// for: under three times what engines bear, requests waited for seconds and were cut at their deadlines.
func TestRequestsWaitForEnginesUntilDeadline(t *testing.T) {
	p := repeatablePool(3)
	begun, refused := fill(t, p, now, 5, longTokens)
	require.InDelta(t, 3*4, len(begun), 3, "about 300 ms of work for each engine")
	require.Greater(t, refused.Wait, maxWait)
	require.Nil(t, refused.Shed)
	for _, a := range begun[:6] {
		a.PrefillDone(now.Add(100 * time.Millisecond))
	}
	require.IsType(t, &pool.Assignment{}, ask(p, now.Add(100*time.Millisecond), 5, longTokens))
}

// TestUrgentRequestIsRefusedForLessUrgentOnes guards against urgent requests that are refused for work that
// engines do only after theirs.
func TestUrgentRequestIsRefusedForLessUrgentOnes(t *testing.T) {
	p := repeatablePool(3)
	fill(t, p, now, 5, longTokens)
	begun, _ := fill(t, p, now, 1, shortTokens)
	require.InDelta(t, 3*40, len(begun), 30)
}

// TestLessUrgentRequestsBeginWhileUrgentOnesAreRefused guards against an inversion of priorities.
func TestLessUrgentRequestsBeginWhileUrgentOnesAreRefused(t *testing.T) {
	p := repeatablePool(3)
	begun, _ := fill(t, p, now, 1, shortTokens)
	for range 40 {
		require.IsType(t, &pool.Overloaded{}, ask(p, now, 1, shortTokens))
	}
	for _, a := range begun {
		a.PrefillDone(now.Add(50 * time.Millisecond))
	}
	refused, ok := ask(p, now.Add(50*time.Millisecond), 5, longTokens).(*pool.Overloaded)
	require.True(t, ok)
	require.NotNil(t, refused.Shed)
	require.IsType(t, &pool.Assignment{}, ask(p, now.Add(50*time.Millisecond), 0, shortTokens), "more urgent than those")
	later := now.Add(5 * time.Second)
	require.IsType(t, &pool.Assignment{}, ask(p, later, 5, longTokens))
}

// TestLessUrgentRequestsAreRefusedAfterSurge guards against refusals that go on for seconds after the last
// one of an urgent request, because those of a surge outnumber all that comes after it.
func TestLessUrgentRequestsAreRefusedAfterSurge(t *testing.T) {
	p := repeatablePool(3)
	begun, _ := fill(t, p, now, 1, shortTokens)
	for range 1000 {
		require.IsType(t, &pool.Overloaded{}, ask(p, now, 1, shortTokens))
		require.IsType(t, &pool.Overloaded{}, ask(p, now, 3, shortTokens))
	}
	for _, a := range begun {
		a.PrefillDone(now.Add(50 * time.Millisecond))
	}
	for ms := 100; ms < 1000; ms += 100 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		ask(p, at, 1, shortTokens).(*pool.Assignment).PrefillDone(at)
		ask(p, at, 3, shortTokens)
	}
	require.IsType(t, &pool.Assignment{}, ask(p, now.Add(time.Second), 5, longTokens))
}

// TestLargePromptIsRefusedForItsOwnLength guards against prompts that are never served.
func TestLargePromptIsRefusedForItsOwnLength(t *testing.T) {
	require.IsType(t, &pool.Assignment{}, ask(repeatablePool(3), now, 5, 100*longTokens))
}

// TestMeasuredWaitOutlivesLoad guards against requests that are refused after a surge because the last
// that were served had waited long. Nothing else tells that engines are idle again if all are refused.
func TestMeasuredWaitOutlivesLoad(t *testing.T) {
	p := repeatablePool(3)
	begun, _ := fill(t, p, now, 5, shortTokens)
	at := now.Add(4 * time.Second) // 13 times what was expected
	for _, a := range begun {
		a.PrefillDone(at)
	}
	slow, _ := fill(t, p, at, 5, shortTokens)
	require.Less(t, len(slow), len(begun)/2)
	for _, a := range slow {
		a.End(at)
	}
	again, _ := fill(t, p, at.Add(40*time.Second), 5, shortTokens)
	require.InEpsilon(t, len(begun), len(again), 0.1)
}

// TestRefusedCallersReturnAtOnce guards against callers that are all told to return at the same time.
func TestRefusedCallersReturnAtOnce(t *testing.T) {
	p := repeatablePool(3)
	fill(t, p, now, 5, longTokens)
	var last time.Time
	for range 100 {
		refused, ok := ask(p, now, 5, longTokens).(*pool.Overloaded)
		require.True(t, ok)
		require.True(t, refused.RetryAt.After(last))
		last = refused.RetryAt
	}
	require.InDelta(t, (100 * 100 * time.Millisecond / 3).Seconds(), last.Sub(now).Seconds(), 0.5, "as fast as the engines read")
	for range 1000 {
		refused, ok := ask(p, now, 5, longTokens).(*pool.Overloaded)
		require.True(t, ok)
		require.LessOrEqual(t, refused.RetryAt.Sub(now), 10*time.Second)
	}
}

// TestFewRequestsForEachGatewayTellOfAverageBacklog guards against a gateway of a large fleet that takes
// engines without requests of its own for idle ones.
func TestFewRequestsForEachGatewayTellOfAverageBacklog(t *testing.T) {
	p := repeatablePool(30)
	p.SetGatewayCount(100)
	begun, _ := fill(t, p, now, 5, longTokens)
	require.InDelta(t, 30*4.0/100, len(begun), 3)
}
