package emulator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/emulator"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
)

// smallBatch has steps of 10 ms, to which each 10 tokens of a prompt add 1 ms.
func smallBatch() emulator.BatchConfig {
	return emulator.BatchConfig{
		Slots: 2, Queue: 1, KVCacheTokens: 1000, StepTime: emulator.Duration{Duration: 10 * time.Millisecond},
		PrefillTokensPerMS: 10, ChunkTokens: 50, EventTokens: 2,
	}
}

// engineRun runs a Batch and writes down what happens.
type engineRun struct {
	t     *testing.T
	batch *emulator.Batch
	start time.Time
	now   time.Time
	names map[*emulator.Work]string
	log   []string // "name@ms", with a dot after the last event
}

func newEngineRun(t *testing.T, cfg emulator.BatchConfig) *engineRun {
	epoch := time.Unix(1_800_000_000, 0)
	return &engineRun{t: t, batch: emulator.NewBatch(cfg), start: epoch, now: epoch, names: make(map[*emulator.Work]string)}
}

// run plays steps until the engine is idle, or for a number of them.
func (r *engineRun) run(steps int) {
	for range steps {
		end, busy := r.batch.StepEnd()
		if !busy {
			return
		}
		r.now = end
		for _, e := range r.batch.Step(end) {
			entry := fmt.Sprint(r.names[e.Work], "@", end.Sub(r.start).Milliseconds())
			if e.Last {
				entry += "."
			}
			r.log = append(r.log, entry)
		}
	}
}

const untilIdle = 1000

// work returns a request; parts are pairs of an id and a length.
func (r *engineRun) work(name string, urgency int, output id.Tokens, parts ...any) *emulator.Work {
	w := &emulator.Work{Model: "m", Output: output, Urgency: urgency}
	for i := 0; i < len(parts); i += 2 {
		w.Parts = append(w.Parts, pool.PromptPart{ID: id.PromptPart(parts[i].(string)), Tokens: id.Tokens(parts[i+1].(int))})
	}
	r.names[w] = name
	return w
}

func (r *engineRun) submit(w *emulator.Work) {
	r.t.Helper()
	require.True(r.t, r.batch.Submit(r.now, w))
}

// TestBatchReadsPromptThenGeneratesTokens: two chunks of 15 ms, the second with the first token, and
// three tokens in steps of 10 ms; the first token is an event, and then two are.
func TestBatchReadsPromptThenGeneratesTokens(t *testing.T) {
	r := newEngineRun(t, smallBatch())
	w := r.work("a", 5, 4, "own", 100)
	r.submit(w)
	r.run(untilIdle)
	require.Equal(t, []string{"a@30", "a@50", "a@60."}, r.log)
	require.Equal(t, 60*time.Millisecond, w.Cost)
	require.Equal(t, emulator.BatchStats{Busy: 60 * time.Millisecond, SlotTime: 60 * time.Millisecond, ReadTokens: 100}, r.batch.Stats())
}

// TestBatchLongPromptDelaysTokensOfOthers: b's chunks of 5 ms each lengthen three steps of a. These
// are b's, and half of the rest of the four steps that it takes part in.
func TestBatchLongPromptDelaysTokensOfOthers(t *testing.T) {
	r := newEngineRun(t, smallBatch())
	a, b := r.work("a", 5, 8, "a", 50), r.work("b", 5, 2, "b", 150)
	r.submit(a)
	r.run(1)    // a has a token at 15
	r.submit(b) // in the middle of a's second step, which ends at 25
	r.run(untilIdle)
	require.Equal(t, []string{"a@15", "a@40", "a@70", "b@70", "b@80.", "a@90", "a@100."}, r.log)
	require.Equal(t, 100*time.Millisecond, a.Cost+b.Cost)
	require.Equal(t, (3*5+4*5)*time.Millisecond, b.Cost)
}

// TestBatchReadsOnePromptAfterTheOther: of a in the first two steps, of b in the next two.
func TestBatchReadsOnePromptAfterTheOther(t *testing.T) {
	r := newEngineRun(t, smallBatch())
	r.submit(r.work("a", 5, 2, "a", 100))
	r.submit(r.work("b", 5, 1, "b", 100))
	r.run(untilIdle)
	require.Equal(t, []string{"a@30", "a@45.", "b@60."}, r.log)
}

// TestBatchStepTimes: three steps that last longer by 1 ms each; or by 0, 5 and 10 ms, with 100 ms for 1000 tokens
// in memory; or two chunks by 10 and 30 ms, with 8 s for a million pairs, of which the chunks have 1250 and 3750.
func TestBatchStepTimes(t *testing.T) {
	for _, tc := range []struct {
		change func(*emulator.BatchConfig)
		ends   string
	}{
		{func(c *emulator.BatchConfig) { c.SlotTime.Duration = time.Millisecond }, "a@43."},
		{func(c *emulator.BatchConfig) { c.ContextTime.Duration = 100 * time.Millisecond }, "a@55."},
		{func(c *emulator.BatchConfig) { c.PairTime.Duration = 8 * time.Second }, "a@80."},
	} {
		cfg := smallBatch()
		tc.change(&cfg)
		r := newEngineRun(t, cfg)
		r.submit(r.work("a", 5, 2, "a", 100))
		r.run(untilIdle)
		require.Equal(t, tc.ends, r.log[1])
	}
}

// TestBatchDoesNotReadCachedPrefix: the shared part is found, the own one is read.
func TestBatchDoesNotReadCachedPrefix(t *testing.T) {
	r := newEngineRun(t, smallBatch())
	r.submit(r.work("a", 5, 1, "shared", 100, "a", 50))
	r.run(untilIdle)
	r.submit(r.work("b", 5, 1, "shared", 100, "b", 50))
	r.run(untilIdle)
	require.Equal(t, []string{"a@45.", "b@60."}, r.log)
	require.EqualValues(t, 100, r.batch.Stats().HitTokens)
}

// TestBatchDoesNotUsePartBehindAnUncachedOne: "second" is cached, but what stands before it is not.
func TestBatchDoesNotUsePartBehindAnUncachedOne(t *testing.T) {
	r := newEngineRun(t, smallBatch())
	r.submit(r.work("a", 5, 1, "first", 50, "second", 50, "a", 50))
	r.run(untilIdle)
	r.submit(r.work("b", 5, 1, "other", 50, "second", 50, "b", 50))
	r.run(untilIdle)
	require.Zero(t, r.batch.Stats().HitTokens)
}

// TestBatchDropsLeastRecentlyUsedPart: with 1000 tokens, the third prompt has the first's yield, unless
// that was used again meanwhile.
func TestBatchDropsLeastRecentlyUsedPart(t *testing.T) {
	for _, tc := range []struct {
		again string
		hits  int
	}{{"first", 400}, {"second", 0}} {
		r := newEngineRun(t, smallBatch())
		for _, part := range []string{"first", "second", tc.again, "third"} {
			r.submit(r.work(part, 5, 1, part, 400, part+"-own", 1))
			r.run(untilIdle)
		}
		before := r.batch.Stats().HitTokens
		r.submit(r.work("check", 5, 1, "first", 400, "check", 1))
		r.run(untilIdle)
		require.EqualValues(t, tc.hits, r.batch.Stats().HitTokens-before, tc.again)
	}
}

// TestBatchPreemptsNewestOfLeastUrgentWhenMemoryRunsOut: the memory holds both prompts and 20 tokens.
func TestBatchPreemptsNewestOfLeastUrgentWhenMemoryRunsOut(t *testing.T) {
	for _, tc := range []struct{ first, second, preempted int }{{5, 5, 1}, {5, 3, 0}, {3, 5, 1}} {
		r := newEngineRun(t, smallBatch())
		works := []*emulator.Work{r.work("a", tc.first, 30, "a", 490), r.work("b", tc.second, 30, "b", 490)}
		r.submit(works[0])
		r.submit(works[1])
		r.run(untilIdle)
		require.Equal(t, 1, r.batch.Stats().Preemptions)
		require.Equal(t, 1, works[tc.preempted].Preemptions, "%+v", tc)
		require.Equal(t, fmt.Sprintf("%s@", string("ab"[tc.preempted])), r.log[len(r.log)-1][:2], "the one that was preempted ends last")
		// What it had got before is read once more with its prompt.
		require.Greater(t, r.batch.Stats().ReadTokens+r.batch.Stats().HitTokens, id.Tokens(2*490))
	}
}

// TestBatchAdmitsByUrgency: a more urgent request takes the slot of a less urgent one; of those that
// wait, the more urgent comes first, and of equals the one that came first. Of what a had read, only
// its one token is read again, in 0.1 ms.
func TestBatchAdmitsByUrgency(t *testing.T) {
	cfg := smallBatch()
	cfg.Slots, cfg.Queue = 1, 3
	r := newEngineRun(t, cfg)
	for _, w := range []*emulator.Work{r.work("a", 5, 2, "a", 10), r.work("b", 6, 2, "b", 10), r.work("c", 5, 2, "c", 10), r.work("d", 1, 2, "d", 10)} {
		r.submit(w)
	}
	r.run(untilIdle)
	require.Equal(t, []string{"a@11", "d@22", "d@32.", "a@42.", "c@53", "c@63.", "b@74", "b@84."}, r.log)
}

// TestBatchRefuses: two run, one waits, and the next is refused; so is one that is larger than the memory.
func TestBatchRefuses(t *testing.T) {
	r := newEngineRun(t, smallBatch())
	for _, name := range []string{"a", "b", "c"} {
		r.submit(r.work(name, 5, 1, name, 10))
	}
	require.False(t, r.batch.Submit(r.now, r.work("d", 0, 1, "d", 10)))
	r.run(untilIdle)
	require.False(t, r.batch.Submit(r.now, r.work("large", 0, 1, "large", 1000)))
	r.submit(r.work("e", 5, 1, "e", 999))
}

// TestBatchFreesPlaceOfCancelledRequest: c runs at once when a's caller has left.
func TestBatchFreesPlaceOfCancelledRequest(t *testing.T) {
	r := newEngineRun(t, smallBatch())
	a, b := r.work("a", 5, 100, "a", 10), r.work("b", 5, 100, "b", 10)
	c := r.work("c", 5, 1, "c", 10)
	r.submit(a)
	r.submit(b)
	r.submit(c)
	r.run(3)
	r.batch.Cancel(a)
	r.run(2)
	require.Equal(t, "c", r.log[len(r.log)-1][:1])
	r.batch.Cancel(b)
	r.run(1)
	require.Zero(t, r.batch.Running()+r.batch.Waiting())
}
