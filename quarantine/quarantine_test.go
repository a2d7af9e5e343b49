package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quarantine"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

var epoch = time.Unix(1_800_000_000, 0)

// register is a register with the time of its last event.
type register struct {
	*quarantine.Register
	now     time.Time
	crashes int
}

func newRegister() *register { return &register{Register: quarantine.New(), now: epoch} }

// crash records a crash of another engine some time later, under requests whose engines have
// sent nothing.
func (r *register) crash(after time.Duration, prompts ...[]id.PromptPart) {
	r.now = r.now.Add(after)
	r.crashes++
	for _, parts := range prompts {
		r.RecordCrash(r.now, quarantine.Start{Upstream: id.Upstream(fmt.Sprint("i-", r.crashes))}, parts, false)
	}
}

func (r *register) sound(after time.Duration, parts ...id.PromptPart) {
	r.now = r.now.Add(after)
	r.RecordSound(r.now, parts)
}

func (r *register) heldParts() []id.PromptPart {
	var parts []id.PromptPart
	for _, h := range r.Holds(r.now) {
		parts = append(parts, h.Part)
	}
	return parts
}

const step = 200 * time.Millisecond

func TestPartIsHeldAfterThreeCrashes(t *testing.T) {
	r := newRegister()
	for _, want := range [][]id.PromptPart{nil, nil, {"bad"}} {
		r.crash(step, []id.PromptPart{"first", "bad"})
		r.sound(10*time.Millisecond, "first")
		require.Equal(t, want, r.heldParts())
	}
	hold, held := r.Held(r.now, []id.PromptPart{"other", "bad"})
	require.True(t, held)
	require.Equal(t, 3, hold.Crashes)
	_, held = r.Held(r.now, []id.PromptPart{"first", "other"})
	require.False(t, held, "requests with the other parts of the prompt run on")
}

func TestCrashSeenByManyRequestsCountsOnce(t *testing.T) {
	r := newRegister()
	for range 5 {
		r.RecordCrash(r.now, quarantine.Start{Upstream: "i-1", UnixMS: 1}, []id.PromptPart{"p"}, false)
		r.now = r.now.Add(step)
	}
	require.Empty(t, r.heldParts())
}

// TestEnginesThatEndTogetherCountOnce guards against a rack without power being blamed on what ran
// there.
func TestEnginesThatEndTogetherCountOnce(t *testing.T) {
	r := newRegister()
	for range 6 {
		r.crash(10*time.Millisecond, []id.PromptPart{"p"})
	}
	require.Empty(t, r.heldParts())
}

func TestAnswerClearsPart(t *testing.T) {
	r := newRegister()
	for range 8 {
		r.crash(step, []id.PromptPart{"p"})
		r.crash(step, []id.PromptPart{"p"})
		r.sound(step, "p")
	}
	require.Empty(t, r.heldParts())
}

// TestPartThatWasSoundNeedsMore checks that a part that engines have survived before is held later,
// but is held.
func TestPartThatWasSoundNeedsMore(t *testing.T) {
	r := newRegister()
	r.sound(0, "p")
	for n := 1; n <= 5; n++ {
		r.crash(step, []id.PromptPart{"p"})
		require.Equal(t, n >= 5, len(r.heldParts()) == 1, n)
	}
}

// TestRequestsWithEventsCountHalf checks that requests of which the engine had sent events, as
// most that ran beside the one that crashed it, speak less against their parts.
func TestRequestsWithEventsCountHalf(t *testing.T) {
	r := newRegister()
	for n := 1; n <= 6; n++ {
		r.now = r.now.Add(step)
		r.RecordCrash(r.now, quarantine.Start{Upstream: id.Upstream(fmt.Sprint(n))}, []id.PromptPart{"p"}, true)
		require.Equal(t, n >= 6, len(r.heldParts()) == 1, n)
	}
}

// TestBystandersAreNotHeld guards against holding back what ran beside a part that crashes engines:
// another part explains the crashes.
func TestBystandersAreNotHeld(t *testing.T) {
	r := newRegister()
	for range 3 {
		r.crash(step, []id.PromptPart{"first", "bad"}, []id.PromptPart{"first", "beside"})
		r.sound(0, "first")
	}
	r.crash(step, []id.PromptPart{"bad"})
	require.Len(t, r.heldParts(), 1)
}

// TestWrongHoldIsReleased checks that a part that stood beside the guilty one each time is released
// when engines crash without it.
func TestWrongHoldIsReleased(t *testing.T) {
	r := newRegister()
	for range 3 {
		r.crash(step, []id.PromptPart{"a-beside", "guilty"}) // both explain all crashes
	}
	require.Len(t, r.heldParts(), 1)
	r.crash(step, []id.PromptPart{"guilty"})
	require.Equal(t, []id.PromptPart{"guilty"}, r.heldParts())
}

func TestEvidenceOfPeersAddsUp(t *testing.T) {
	a, b := newRegister(), newRegister()
	start := func(n int) quarantine.Start { return quarantine.Start{Upstream: id.Upstream(fmt.Sprint(n))} }
	a.RecordCrash(epoch, start(1), []id.PromptPart{"bad"}, false)
	a.RecordCrash(epoch.Add(step), start(2), []id.PromptPart{"bad"}, false)
	b.RecordCrash(epoch.Add(2*step), start(3), []id.PromptPart{"bad"}, false)
	b.RecordCrash(epoch.Add(step), start(2), []id.PromptPart{"bad"}, false) // seen by both
	now := epoch.Add(3 * step)
	report, _ := a.Report(now, false)
	for range 3 { // repeats change nothing
		b.Merge(now, quarantine.Decode(quarantine.Encode(report, true)))
	}
	require.Equal(t, 3, b.Holds(now)[0].Crashes)
	report, _ = b.Report(now, false)
	require.Len(t, a.Merge(now, report), 1)
	_, held := a.Held(now, []id.PromptPart{"bad"})
	require.True(t, held)
}

// TestReleaseHoldsEverywhere checks that what an operator releases is not held again by what
// peers still report.
func TestReleaseHoldsEverywhere(t *testing.T) {
	a, b := newRegister(), newRegister()
	for range 3 {
		a.crash(step, []id.PromptPart{"p"})
	}
	before, _ := a.Report(a.now, true)
	b.Merge(a.now, before)
	require.Len(t, b.Holds(a.now), 1)
	later := a.now.Add(time.Second)
	require.Len(t, a.Release(later, "p"), 1)
	after, _ := a.Report(later, true)
	b.Merge(later, after)
	require.Empty(t, b.Holds(later))
	require.Empty(t, b.Merge(later, before), "an older report")
	require.Empty(t, a.Merge(later, before))
}

func TestHoldEnds(t *testing.T) {
	r := newRegister()
	for range 3 {
		r.crash(step, []id.PromptPart{"p"})
	}
	_, held := r.Held(r.now.Add(59*time.Minute), []id.PromptPart{"p"})
	require.True(t, held)
	_, held = r.Held(r.now.Add(61*time.Minute), []id.PromptPart{"p"})
	require.False(t, held)
}

// TestHeldPartOutlivesItsEvidence checks that a hold without evidence, as from the store, stays
// when engines crash for other reasons.
func TestHeldPartOutlivesItsEvidence(t *testing.T) {
	r := newRegister()
	r.Restore(r.now, []quarantine.Hold{{Part: "bad", Since: r.now, Crashes: 3}})
	for range 4 {
		r.crash(step, []id.PromptPart{"bad", "beside"}, []id.PromptPart{"other"})
		r.sound(0, "other")
	}
	require.Equal(t, []id.PromptPart{"bad"}, r.heldParts(), "the held part explains the crashes")
}

// TestRandomPartsAreBounded guards against callers that fill the memory, or push out holds, with parts
// that nobody else has.
func TestRandomPartsAreBounded(t *testing.T) {
	r := newRegister()
	for range 3 {
		r.crash(step, []id.PromptPart{"bad"})
	}
	for n := range 1500 {
		part := id.PromptPart(fmt.Sprintf("%01000d", n)) // longer than any id of the platform
		r.crash(time.Millisecond, []id.PromptPart{part})
		r.sound(0, part+"x")
	}
	require.Contains(t, r.heldParts(), id.PromptPart("bad"))
	report, _ := r.Report(r.now, true)
	require.Less(t, proto.Size(quarantine.Encode(report, true)), 64<<10)
}

// FuzzMerge checks that no report of a peer breaks a register, and that a part that an engine
// has just survived is not held.
func FuzzMerge(f *testing.F) {
	seed := quarantine.Report{
		Crashes:    []quarantine.Crash{{Start: quarantine.Start{Upstream: "i-1", UnixMS: 1}, At: epoch, Silent: []id.PromptPart{"p"}, Begun: []id.PromptPart{"q"}}},
		Clearances: []quarantine.Clearance{{Part: "p", At: epoch}},
		Holds:      []quarantine.Hold{{Part: "p", Since: epoch, Crashes: 3}},
	}
	data, err := proto.Marshal(quarantine.Encode(seed, true))
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var evidence ragwortv1.PromptEvidence
		if proto.Unmarshal(data, &evidence) != nil {
			return
		}
		r := quarantine.New()
		for n := range 3 {
			r.Merge(epoch.Add(time.Duration(n)*step), quarantine.Decode(&evidence))
		}
		now := epoch.Add(time.Hour)
		r.RecordSound(now, []id.PromptPart{"p"})
		_, held := r.Held(now, []id.PromptPart{"p"})
		require.False(t, held)
		report, _ := r.Report(now, true)
		require.LessOrEqual(t, len(report.Holds), 128)
	})
}

// TestHoldFromFarAheadIsNotAdopted guards against a part that stays held for ever because of a
// peer, or a saved hold, whose time is wrong.
func TestHoldFromFarAheadIsNotAdopted(t *testing.T) {
	for _, ahead := range []time.Duration{3 * time.Minute, 24 * time.Hour, 1<<63 - 1} {
		r := newRegister()
		require.Empty(t, r.Restore(r.now, []quarantine.Hold{{Part: "odd", Since: r.now.Add(ahead), Crashes: 3}}))
		require.Empty(t, r.heldParts())
	}
	r := newRegister()
	r.Restore(r.now, []quarantine.Hold{{Part: "bad", Since: r.now.Add(time.Second), Crashes: 3}})
	require.Equal(t, []id.PromptPart{"bad"}, r.heldParts(), "clocks differ a little")
}

// TestCommonPartIsNotHeldAtOnce has three engines crash after a start of the whole fleet, before any of them has
// answered: the part that all prompts share is in each crash, but so it is at every other engine.
func TestCommonPartIsNotHeldAtOnce(t *testing.T) {
	r := newRegister()
	for i := range 9 {
		r.CountRequest([]id.PromptPart{"shared", id.PromptPart(fmt.Sprint("document-", i))})
	}
	for i := range 3 {
		r.crash(step, []id.PromptPart{"shared", id.PromptPart(fmt.Sprint("document-", i))})
	}
	require.Empty(t, r.heldParts())
	r.crash(step, []id.PromptPart{"shared", "document-4"})
	r.crash(step, []id.PromptPart{"shared", "document-5"})
	require.Equal(t, []id.PromptPart{"shared"}, r.heldParts(), "no engine has survived it")
}

// TestPartOfFewRequestsIsHeldAfterThreeCrashes has requests with a crashing part among many others.
func TestPartOfFewRequestsIsHeldAfterThreeCrashes(t *testing.T) {
	r := newRegister()
	for i := range 2000 {
		parts := []id.PromptPart{"shared", id.PromptPart(fmt.Sprint("document-", i%10))}
		if i%10 == 0 {
			parts = append(parts, "bad")
		}
		r.CountRequest(parts)
	}
	for range 3 {
		r.crash(step, []id.PromptPart{"shared", "bad"})
		r.sound(10*time.Millisecond, "shared")
	}
	require.Equal(t, []id.PromptPart{"bad"}, r.heldParts())
}

// TestRarerPartIsHeldWhicheverIsSeenFirst has engines crash under requests with two common parts, of
// which every second request has the one that crashes them. In the last crash, the one beside it is seen
// first.
func TestRarerPartIsHeldWhicheverIsSeenFirst(t *testing.T) {
	r := newRegister()
	beside, crashing := []id.PromptPart{"shared"}, []id.PromptPart{"shared", "z-bad"}
	for range 5 {
		r.CountRequest(beside)
		r.CountRequest(crashing)
		r.crash(step, beside, crashing)
	}
	require.Equal(t, []id.PromptPart{"z-bad"}, r.heldParts())
	r.crash(step, beside) // crashes that the held part does not explain
	require.Equal(t, []id.PromptPart{"shared"}, r.heldParts())
}
