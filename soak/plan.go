package main

// This file draws the schedule of faults from a seed and injects them. Faults overlap, and
// each may occur more than once.

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// scheduledFault is one fault of the schedule.
type scheduledFault struct {
	name     string
	target   int           // index of a node, upstream or data centre, modulo their number
	start    time.Duration // since the start of the load
	duration time.Duration
	variant  int // selects a delay, direction or set of topics, modulo their number
}

func (f scheduledFault) String() string {
	return fmt.Sprintf("%5.1f s for %.1f s: %s (%d, %d)", f.start.Seconds(), f.duration.Seconds(), f.name, f.target, f.variant)
}

// faultNames are the faults to draw from; a repeated name is drawn more often.
var faultNames = []string{
	"terminate", "terminate", "kill", "kill_all", "pause", "pause", "reload", "reload_faulty", "roll",
	"store_cut", "store_cut", "store_slow", "store_silent", "store_one_way",
	"platform_refuses", "platform_busy", "platform_silent", "platform_slow", "platform_loses", "platform_forgets", "platform_partly",
	"upstream_slow", "upstream_silent", "upstream_cut", "upstream_full", "upstream_failing", "upstream_cutting",
	"drain", "drain", "replace", "key", "key", "key", "evacuate",
}

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 700 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault: from hardly
	// noticeable to about bounds.contact, so that the other nodes stay undisturbed.
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 2500 * time.Millisecond
	// maxPause bounds how long a process is stopped: half of the duty lease, so that pauses
	// end both before and after the holder's claim expires.
	maxPause = 1500 * time.Millisecond
	// storeDelay delays each response of the store to fifty times its usual duration, and
	// lostAppends is how many appends in a row are stored without a response.
	storeDelay, lostAppends = 200 * time.Millisecond, 5
	// storeAbsence is how long a store is away before it comes back from a copy, and
	// rewriteDelay bounds the time until operators and upstreams have written again.
	storeAbsence, rewriteDelay = 300 * time.Millisecond, 600 * time.Millisecond
	// maxLinkDelay bounds the delay of a slow link.
	maxLinkDelay = time.Second
	// silenceInterval is the mean time between two losses of all connections to the store.
	silenceInterval = 4 * time.Second
	// servesAfterRemoval is how long an upstream still serves after its listing was removed.
	servesAfterRemoval = time.Second
)

// drawFaults draws the schedule of faults that end within the total time.
func (tb *testbed) drawFaults(total time.Duration) []scheduledFault {
	var faults []scheduledFault
	for start := time.Duration(0); start < total; {
		start += time.Duration(tb.rng.ExpFloat64() * float64(meanFaultInterval))
		f := scheduledFault{
			name: faultNames[tb.rng.IntN(len(faultNames))], target: tb.rng.IntN(1 << 16), start: start, variant: tb.rng.IntN(1 << 16),
			duration: minFaultDuration + time.Duration(tb.rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		if start+f.duration > total {
			break
		}
		faults = append(faults, f)
	}
	// Drawn after all others, which stay as they were for seeds that once failed.
	if f := (scheduledFault{name: "platform_rewinds", duration: maxFaultDuration, variant: tb.rng.IntN(1 << 16)}); total > 2*maxFaultDuration {
		f.start = time.Duration(tb.rng.Int64N(int64(total - 2*maxFaultDuration)))
		faults = append(faults, f)
	}
	if f := (scheduledFault{name: "crashing_prompts"}); total > 2*tb.bounds.contact {
		f.start = time.Duration(tb.rng.Int64N(int64(total / 4)))
		f.duration = total - f.start
		faults = append(faults, f)
	}
	if f := (scheduledFault{name: "repeated_refusals", target: tb.rng.IntN(1 << 16), duration: total / 2}); total > maxFaultDuration {
		f.start = time.Duration(tb.rng.Int64N(int64(total / 4)))
		faults = append(faults, f)
	}
	if f := (scheduledFault{name: "named_limit", target: tb.rng.IntN(1 << 16), variant: tb.rng.IntN(1 << 16)}); total > 4*tb.bounds.contact {
		f.start = time.Duration(tb.rng.Int64N(int64(total / 8)))
		f.duration = total - f.start
		faults = append(faults, f)
	}
	return faults
}

// drawSilences draws when the connections to the store fall silent. It is called after those, so that the schedules of
// seeds that once failed stay as they were.
func (tb *testbed) drawSilences(total time.Duration) (faults []scheduledFault) {
	for range total / silenceInterval {
		faults = append(faults, scheduledFault{name: "store_forgets_connections", start: time.Duration(tb.rng.Int64N(int64(total))), target: tb.rng.IntN(1 << 16), variant: tb.rng.IntN(1 << 16)})
	}
	return faults
}

// inject applies a fault and waits until it is over, except for terminate, rollout and platform_forgets.
func (tb *testbed) inject(f scheduledFault) {
	n := tb.nodes[f.target%len(tb.nodes)]
	from := tb.now()
	record := func(node id.Node, maintenance bool) {
		tb.addDisturbance(disturbance{cause: f.name, node: node, span: span{from, tb.now()}, maintenance: maintenance})
	}
	switch f.name {
	case "terminate":
		tb.addDisturbance(disturbance{cause: f.name, node: n.name, maintenance: true, span: span{from, from + tb.bounds.grace + time.Second}})
		n.sendEndSignal(syscall.SIGTERM)
	case "roll":
		for _, n := range tb.nodes {
			tb.addDisturbance(disturbance{cause: f.name, node: n.name, maintenance: true, span: span{tb.now(), tb.now() + tb.bounds.grace + time.Second}})
			n.sendEndSignal(syscall.SIGTERM)
			if !tb.sleep(f.duration) {
				return
			}
		}
	case "kill":
		defer record(n.name, false)
		n.sendEndSignal(syscall.SIGKILL)
		tb.sleep(restartDelay + startMargin)
	case "kill_all":
		defer record("", false)
		for _, n := range tb.nodes {
			n.sendEndSignal(syscall.SIGKILL)
		}
		tb.sleep(restartDelay + startMargin)
	case "pause":
		defer record(n.name, false)
		n.sendSignal(syscall.SIGSTOP)
		tb.sleep(min(f.duration, maxPause))
		n.sendSignal(syscall.SIGCONT)
	case "reload", "reload_faulty":
		suffix := map[bool]string{true: "}", false: ""}[f.name == "reload_faulty"]
		n.writeSettings(suffix)
		n.sendSignal(syscall.SIGHUP)
		tb.sleep(f.duration)
		n.writeSettings("")
		n.sendSignal(syscall.SIGHUP)
		record(n.name, true)
	case "store_cut", "store_slow", "store_silent", "store_one_way":
		defer record(n.name, false)
		tb.disturbLink(f, n.link)
	case "drain", "replace":
		tb.drain(f)
	case "key":
		tb.rotateKey(f, func() {})
	case "evacuate":
		tb.evacuate(f)
	case "start_hangup", "start_terminate", "start_port", "start_settings", "hangup", "hangup_stop", "output_gone", "many_callers", "busy_stop":
		tb.injectLifeFault(f, n)
	default:
		tb.injectStoreFault(f, record)
	}
}

// disturbLink cuts, delays or silences a link as the name of the fault says. It does nothing
// if another fault already affects the link.
func (tb *testbed) disturbLink(f scheduledFault, link *ragworttest.Proxy) {
	if _, taken := tb.underFault.LoadOrStore(link, true); taken {
		return
	}
	defer tb.underFault.Delete(link)
	switch f.name {
	case "store_cut", "upstream_cut":
		link.Disable()
		tb.sleep(f.duration)
		link.Enable()
		return
	case "store_slow", "upstream_slow":
		link.AddLatency(time.Duration(f.variant%int(maxLinkDelay.Milliseconds())) * time.Millisecond)
	case "store_silent", "upstream_silent":
		link.BlockDirection("upstream")
		link.BlockDirection("downstream")
	case "store_one_way":
		link.BlockDirection([]string{"upstream", "downstream"}[f.variant%2])
	}
	tb.sleep(f.duration)
	link.RemoveFaults()
}

// injectStoreFault applies a fault of the whole store, or else one of an upstream.
func (tb *testbed) injectStoreFault(f scheduledFault, record func(node id.Node, maintenance bool)) {
	faults := standin.StoreFaults{}
	switch f.name {
	case "platform_refuses":
		faults.Status = http.StatusServiceUnavailable
	case "platform_busy":
		faults.Status = http.StatusTooManyRequests
	case "platform_silent":
		faults.Hang = true
	case "platform_slow":
		faults.ResponseDelay = storeDelay
	case "platform_loses":
		faults.DropResponses = lostAppends
	case "platform_rewinds":
		tb.rewindStore(f)
		return
	case "store_forgets_connections":
		tb.forgetConnections(f)
		return
	case "platform_partly":
		faults.UnavailablePartitions = [][]string{
			{standin.OperatorsTopic},
			{standin.ReplicasTopic, standin.CopyPartition(standin.ReplicasTopic, 1)},
			{standin.OperatorsTopic, standin.CopyPartition(standin.OperatorsTopic, 2), standin.ClaimsTopic},
		}[f.variant%3]
	case "platform_forgets":
		for _, topic := range []string{standin.OperatorsTopic, standin.ReplicasTopic} {
			tb.store.Trim(topic)
		}
		return
	default:
		tb.injectUpstreamFault(f)
		return
	}
	defer record("", false)
	tb.store.SetFaults(faults)
	tb.sleep(f.duration)
	tb.store.SetFaults(standin.StoreFaults{})
}

// rewindStore takes the store away for a moment and brings it back from the content that it had
// at the start of the fault. Operators and upstreams write again what was lost.
func (tb *testbed) rewindStore(f scheduledFault) {
	copied := tb.store.Copy()
	if !tb.sleep(f.duration) {
		return
	}
	from := tb.now()
	tb.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	tb.sleep(storeAbsence)
	rewrite := tb.store.Restore(copied)
	tb.store.SetFaults(standin.StoreFaults{})
	tb.sleep(time.Duration(f.variant%int(rewriteDelay.Milliseconds())) * time.Millisecond)
	rewrite()
	tb.addDisturbance(disturbance{cause: f.name, span: span{from, tb.now()}})
}

func (tb *testbed) injectUpstreamFault(f scheduledFault) {
	switch f.name {
	case "rollout":
		tb.rollouts.Go(func() { tb.rollOut(f) }) // it goes on when the other faults are over
		return
	case "crashing_prompts":
		tb.sendCrashingPrompts(f)
		return
	case "repeated_refusals":
		tb.repeatRefusals(f)
		return
	case "named_limit":
		tb.nameLimits(f)
		return
	case "garbled_heads":
		tb.garbleHeads(f)
		return
	}
	all := tb.listedUpstreams()
	u := all[f.target%len(all)]
	u.markDisturbed()
	switch f.name {
	case "upstream_slow", "upstream_silent", "upstream_cut":
		tb.disturbLink(f, u.link)
	case "upstream_full", "upstream_failing", "upstream_cutting":
		mode := f.name[len("upstream_"):]
		if mode == "full" && f.variant%2 == 1 {
			mode = "asking_wait"
		}
		u.setMode(mode)
		tb.sleep(f.duration)
		u.setMode("")
	default:
		tb.t.Errorf("unknown fault %q", f.name)
	}
	u.markDisturbed()
}

// markDisturbed records that a fault of the upstream or its link begins or ends now. An answer that the
// upstream has just finished may still be on the link.
func (u *upstream) markDisturbed() {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.testbed.now()
	u.lastDisturbed = now
	u.testbed.add(func() {
		u.testbed.edges = append(u.testbed.edges, faultEdge{now, u.service})
		for _, a := range u.testbed.arrivals {
			if a.upstream == u.name && a.ended != 0 && a.ended >= now-linkTransit {
				a.interrupted = true
			}
		}
	})
}

func (u *upstream) setMode(mode string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = mode
}

// drain drains an upstream, adds a cold one in its place and then removes the drained one.
// The fault "replace" removes the listing without announcing that the upstream drains.
func (tb *testbed) drain(f scheduledFault) {
	tb.listMu.Lock()
	u := tb.upstreams[f.target%len(tb.upstreams)]
	remaining := tb.upstreams[:0:0]
	for _, other := range tb.upstreams {
		if other != u {
			remaining = append(remaining, other)
		}
	}
	tb.upstreams = remaining
	tb.listMu.Unlock()
	tb.addUpstream(u.service, u.dataCentre, true)
	u.mu.Lock()
	u.draining, u.unlisted = f.name == "drain", f.name == "replace"
	u.leaving = f.variant%2 == 1
	u.mu.Unlock()
	if f.name == "drain" {
		u.publishListing()
	} else {
		tb.store.DeleteListing(u.name)
	}
	tb.addChange(change{kind: "drained", name: string(u.name), span: span{from: tb.now()}})
	tb.sleep(tb.bounds.drain + f.duration)
	u.mu.Lock()
	u.unlisted, u.lastDisturbed = true, tb.now()
	u.mu.Unlock()
	tb.store.DeleteListing(u.name)
	tb.sleep(servesAfterRemoval)
	u.server.CloseClientConnections()
	u.closeRepeaters()
	if _, taken := tb.underFault.LoadOrStore(u.link, true); !taken {
		u.link.Disable()
	}
}

// evacuate evacuates a data centre for longer than the bound within which entries must stop
// using it. It does nothing if the data centre is already being evacuated.
func (tb *testbed) evacuate(f scheduledFault) {
	dataCentre := dataCentres[f.target%len(dataCentres)]
	if _, taken := tb.underFault.LoadOrStore(dataCentre, true); taken {
		return
	}
	defer tb.underFault.Delete(dataCentre)
	tb.store.SetEvacuated(dataCentre, true)
	from := tb.now()
	tb.sleep(tb.bounds.evacuate + f.duration)
	tb.addChange(change{kind: "evacuated", name: string(dataCentre), span: span{from, tb.now()}})
	tb.store.SetEvacuated(dataCentre, false)
}

// forgetConnections lets the open connections of all entries to the store fall silent, or every second time those
// of one, just before it adds a key and again before it withdraws the key. New connections work, so that no
// guarantee is suspended. A change just before lets the reads of all entries begin together, so that no entry hears
// much earlier than the others.
func (tb *testbed) forgetConnections(f scheduledFault) {
	nodes := tb.nodes
	if f.variant%2 == 1 {
		nodes = []*node{tb.nodes[f.target%len(tb.nodes)]}
	}
	tb.rotateKey(f, func() {
		tb.publishConfig()
		tb.sleep(time.Duration(f.variant%int(tb.bounds.config.Milliseconds())) * time.Millisecond / 4)
		for _, n := range nodes {
			n.link.SilenceConnections()
		}
	})
}

// rotateKey adds a key and later withdraws it. Before is called before either.
func (tb *testbed) rotateKey(f scheduledFault, before func()) {
	key := fmt.Sprint("key-", f.variant)
	before()
	tb.listMu.Lock()
	if _, taken := tb.keys[key]; taken {
		tb.listMu.Unlock()
		return
	}
	tb.keys[key] = "ws-b"
	tb.listMu.Unlock()
	tb.addChange(change{kind: "key_added", name: key, span: span{from: tb.now()}})
	tb.publishConfig()
	tb.sleep(tb.bounds.config + f.duration)
	before()
	tb.listMu.Lock()
	delete(tb.keys, key)
	tb.listMu.Unlock()
	tb.publishConfig()
	tb.addChange(change{kind: "key_withdrawn", name: key, span: span{from: tb.now()}})
}
