package main

// This file defines the fault of requests with a part in their prompts that crashes upstreams, and
// its checker.

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/ragwortpass/ragwortpass/catalog"
	"github.com/ragwortpass/ragwortpass/id"
)

const (
	// crashDuration is how long an upstream that has crashed refuses connections.
	crashDuration = 800 * time.Millisecond
	// crashTime is from the arrival of a request that crashes an upstream to the crash.
	crashTime = 30 * time.Millisecond
	// promptInterval is the mean time between requests with the part that crashes upstreams, and
	// between sound requests with the part before it.
	promptInterval = 100 * time.Millisecond
	// maxCrashesLate is how many requests may reach upstreams later than the contact time after
	// the separate crash with the number crashesKnown. Crashes less than crashSpacing apart count as one: upstreams
	// that end together have a common cause.
	maxCrashesLate, crashesKnown = 3, 5
	crashSpacing                 = 100 * time.Millisecond
	// minSoundPrompts is how many sound requests must be due to begin to compare how many did.
	minSoundPrompts = 20

	sharedPart, crashingPart = "shared", "crashing"
)

// promptRoute is the route of requests with prompts, which are repeated.
var promptRoute = testRoute{catalog.KindResumable, 1}

// sendCrashingPrompts sends requests with a part that crashes upstreams, and sound ones beside
// them, for the duration of the fault.
func (tb *testbed) sendCrashingPrompts(f scheduledFault) {
	var callers sync.WaitGroup
	defer callers.Wait()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	end := tb.now() + f.duration
	for n := 0; tb.now() < end && tb.sleep(time.Duration(rand.ExpFloat64()*float64(promptInterval)/2)); n++ {
		nodes := tb.nodesInRotation()
		target := nodes[rand.IntN(len(nodes))]
		parts := []string{sharedPart, crashingPart, fmt.Sprint("own-", n)}
		if n%2 == 0 {
			parts = slices.Delete(parts, 1, 2)
		}
		callers.Go(func() {
			tb.send(client, target, call{request: id.Request(fmt.Sprintf("prompt-%d-%08x", n, rand.Uint32())), route: promptRoute, parts: parts})
		})
	}
}

// crash ends the upstream, which starts again later under its id. It does nothing if another fault
// affects its link.
func (u *upstream) crash() {
	tb := u.testbed
	if _, taken := tb.underFault.LoadOrStore(u.link, true); taken {
		return
	}
	defer tb.underFault.Delete(u.link)
	u.markDisturbed()
	tb.add(func() { tb.crashes = append(tb.crashes, tb.now()) })
	u.link.Disable()
	tb.sleep(crashDuration)
	u.mu.Lock()
	u.startUnixMS = time.Now().UnixMilli()
	u.mu.Unlock()
	u.markDisturbed()
	u.publishListing()
	u.link.Enable()
}

// checkCrashing checks that requests with a part that crashes upstreams no longer reach them, and
// that sound ones with the part before it still do, at least half as often as requests without a prompt
// at the same time: there may be no upstream for either.
func checkCrashing(h *history) (v checkResult) {
	crashes := separateCrashes(h.crashes)
	if len(crashes) < crashesKnown {
		return v
	}
	known := crashes[crashesKnown-1]
	runs := h.arrivalsByRequest()
	began := func(r *result) bool {
		return slices.ContainsFunc(runs[r.request], func(a *arrival) bool { return a.ran })
	}
	var sound, others []*result
	late, begun := 0, 0
	for _, r := range h.results {
		compared := r.sent > known+2*h.bounds.contact && h.inContact(r.node, span{r.sent, r.done}) && !r.abandoned
		switch {
		case r.prompt == crashingPart:
			for _, a := range runs[r.request] {
				if a.at > known+h.bounds.contact && h.inContact(r.node, span{a.at, a.at}) {
					v.checked++
					late++
				}
			}
		case r.prompt == sharedPart && compared:
			v.checked++
			sound = append(sound, r)
			if began(r) {
				begun++
			}
		case r.prompt == "" && serviceOf(r.kind) == modelService && compared:
			others = append(others, r)
		}
	}
	if late > maxCrashesLate {
		v.violation("%d requests under which upstreams crash reached them later than %v after the crash at %v", late, h.bounds.contact, known)
	}
	expected := 0.0 // to begin, if they are treated as those without a prompt
	for _, r := range sound {
		expected += shareNear(others, r.sent, began)
	}
	if expected >= minSoundPrompts && 2*float64(begun) < expected {
		v.violation("%d of %d sound requests beside those began, of those without a prompt as many as %.1f", begun, len(sound), expected)
	}
	return v
}

// separateCrashes returns the times of the crashes that count as separate, in order.
func separateCrashes(crashes []time.Duration) (separate []time.Duration) {
	for _, at := range slices.Sorted(slices.Values(crashes)) {
		if len(separate) == 0 || at-separate[len(separate)-1] >= crashSpacing {
			separate = append(separate, at)
		}
	}
	return separate
}

// shareNear returns the share of the requests sent around a time that satisfy a condition; 1 if there
// are none.
func shareNear(results []*result, at time.Duration, condition func(*result) bool) float64 {
	near, satisfy := 0, 0
	for _, r := range results {
		if (r.sent - at).Abs() > promptInterval {
			continue
		}
		near++
		if condition(r) {
			satisfy++
		}
	}
	if near == 0 {
		return 1
	}
	return float64(satisfy) / float64(near)
}
