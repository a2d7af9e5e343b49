package main

// This file defines the faults of a run, which a seed draws: what is disturbed, when and
// for how long. They overlap, and each may come more than once.

import (
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/ragworttest"
	"github.com/ragwortpass/ragwortpass/standin"
)

// step is one fault. Its times are from the start of the faults.
type step struct {
	what  string
	which int // of the nodes or upstreams, modulo how many there are
	at    time.Duration
	last  time.Duration
	how   int
}

func (s step) String() string {
	return fmt.Sprintf("%5.1f s for %.1f s: %s (%d, %d)", s.at.Seconds(), s.last.Seconds(), s.what, s.which, s.how)
}

// faultNames are the faults that a plan draws from; a name comes as often as it is to be
// drawn.
var faultNames = []string{
	"terminate", "terminate", "kill", "kill_all", "pause", "pause", "reload", "reload_faulty", "roll",
	"store_cut", "store_cut", "store_slow", "store_silent", "store_one_way",
	"platform_refuses", "platform_busy", "platform_silent", "platform_slow", "platform_loses", "platform_forgets", "platform_partly",
	"upstream_slow", "upstream_silent", "upstream_cut", "upstream_full", "upstream_failing", "upstream_cutting",
	"drain", "drain", "replace", "key", "key", "key", "evacuate",
}

const (
	// stepEvery is the mean time between two faults.
	stepEvery = 700 * time.Millisecond
	// shortestStep and longestStep bound a fault: from what hardly shows to about the contact
	// time, which leaves other nodes calm.
	shortestStep, longestStep = 200 * time.Millisecond, 2500 * time.Millisecond
	// pauseMax bounds how long a process is stopped: half of the lease of a duty, so that
	// stops end before and after a permit does.
	pauseMax = 1500 * time.Millisecond
	// slowAnswers delays each answer of the store, fifty times as long as usual, and lostAnswers
	// is how many appends in a row are done and not answered.
	slowAnswers, lostAnswers = 200 * time.Millisecond, 5
	// slowestLink bounds the delay of a slow link.
	slowestLink = time.Second
	// lastsOn is how long an upstream serves on after its entry was removed.
	lastsOn = time.Second
)

// draw draws the faults of some time.
func (w *world) draw(d time.Duration) []step {
	var steps []step
	for at := time.Duration(0); ; {
		at += time.Duration(w.rng.ExpFloat64() * float64(stepEvery))
		s := step{
			what: faultNames[w.rng.IntN(len(faultNames))], which: w.rng.IntN(1 << 16), at: at, how: w.rng.IntN(1 << 16),
			last: shortestStep + time.Duration(w.rng.Int64N(int64(longestStep-shortestStep))),
		}
		if at+s.last > d {
			return steps
		}
		steps = append(steps, s)
	}
}

// do carries a fault out and returns when it is over.
func (w *world) do(s step) {
	n := w.nodes[s.which%len(w.nodes)]
	from := w.now()
	note := func(node id.Node, planned bool) {
		w.disturb(fault{what: s.what, node: node, span: span{from, w.now()}, planned: planned})
	}
	switch s.what {
	case "terminate":
		w.disturb(fault{what: s.what, node: n.name, planned: true, span: span{from, from + w.bounds.grace + time.Second}})
		n.end(syscall.SIGTERM)
	case "roll":
		for _, n := range w.nodes {
			w.disturb(fault{what: s.what, node: n.name, planned: true, span: span{w.now(), w.now() + w.bounds.grace + time.Second}})
			n.end(syscall.SIGTERM)
			if !w.sleep(s.last) {
				return
			}
		}
	case "kill":
		defer note(n.name, false)
		n.end(syscall.SIGKILL)
		w.sleep(restartPause + startMargin)
	case "kill_all":
		defer note("", false)
		for _, n := range w.nodes {
			n.end(syscall.SIGKILL)
		}
		w.sleep(restartPause + startMargin)
	case "pause":
		defer note(n.name, false)
		n.signal(syscall.SIGSTOP)
		w.sleep(min(s.last, pauseMax))
		n.signal(syscall.SIGCONT)
	case "reload", "reload_faulty":
		suffix := map[bool]string{true: "}", false: ""}[s.what == "reload_faulty"]
		n.write(suffix)
		n.signal(syscall.SIGHUP)
		w.sleep(s.last)
		n.write("")
		n.signal(syscall.SIGHUP)
		note(n.name, true)
	case "store_cut", "store_slow", "store_silent", "store_one_way":
		defer note(n.name, false)
		w.disturbLink(s, n.link)
	case "drain", "replace":
		w.drain(s)
	case "key":
		w.rotateKey(s)
	case "evacuate":
		w.evacuate(s)
	default:
		w.doPlatform(s, note)
	}
}

// disturbLink disturbs a link in the way that the step's name says after the first word.
// One that is disturbed already is left alone.
func (w *world) disturbLink(s step, link *ragworttest.Proxy) {
	if _, taken := w.busy.LoadOrStore(link, true); taken {
		return
	}
	defer w.busy.Delete(link)
	switch s.what {
	case "store_cut", "upstream_cut":
		link.Disable()
		w.sleep(s.last)
		link.Enable()
		return
	case "store_slow", "upstream_slow":
		link.AddLatency(time.Duration(s.how%int(slowestLink.Milliseconds())) * time.Millisecond)
	case "store_silent", "upstream_silent":
		link.BlockDirection("upstream")
		link.BlockDirection("downstream")
	case "store_one_way":
		link.BlockDirection([]string{"upstream", "downstream"}[s.how%2])
	}
	w.sleep(s.last)
	link.RemoveFaults()
}

// doPlatform carries out the faults of the whole store and of upstreams.
func (w *world) doPlatform(s step, note func(node id.Node, planned bool)) {
	faults := standin.StoreFaults{}
	switch s.what {
	case "platform_refuses":
		faults.Status = http.StatusServiceUnavailable
	case "platform_busy":
		faults.Status = http.StatusTooManyRequests
	case "platform_silent":
		faults.Hang = true
	case "platform_slow":
		faults.ResponseDelay = slowAnswers
	case "platform_loses":
		faults.DropResponses = lostAnswers
	case "platform_partly":
		faults.UnavailablePartitions = [][]string{
			{standin.OperatorsTopic},
			{standin.ReplicasTopic, standin.CopyPartition(standin.ReplicasTopic, 1)},
			{standin.OperatorsTopic, standin.CopyPartition(standin.OperatorsTopic, 2), standin.ClaimsTopic},
		}[s.how%3]
	case "platform_forgets":
		for _, topic := range []string{standin.OperatorsTopic, standin.ReplicasTopic} {
			w.store.Trim(topic)
		}
		return
	default:
		w.doUpstream(s)
		return
	}
	defer note("", false)
	w.store.SetFaults(faults)
	w.sleep(s.last)
	w.store.SetFaults(standin.StoreFaults{})
}

func (w *world) doUpstream(s step) {
	all := w.listed()
	u := all[s.which%len(all)]
	note := func() {
		u.mu.Lock()
		u.disturbed = w.now()
		u.mu.Unlock()
	}
	note()
	switch s.what {
	case "upstream_slow", "upstream_silent", "upstream_cut":
		w.disturbLink(s, u.link)
	case "upstream_full", "upstream_failing", "upstream_cutting":
		u.set(s.what[len("upstream_"):])
		w.sleep(s.last)
		u.set("")
	default:
		w.t.Errorf("no such fault: %s", s.what)
	}
	note()
}

func (u *upstream) set(mode string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = mode
}

// drain empties an upstream, adds a cold one in its place and takes the first away. One
// that is replaced ends without having said that it drains.
func (w *world) drain(s step) {
	w.listMu.Lock()
	u := w.upstreams[s.which%len(w.upstreams)]
	kept := w.upstreams[:0:0]
	for _, other := range w.upstreams {
		if other != u {
			kept = append(kept, other)
		}
	}
	w.upstreams = kept
	w.listMu.Unlock()
	w.addUpstream(u.service, u.centre, true)
	u.mu.Lock()
	u.draining, u.gone = s.what == "drain", s.what == "replace"
	u.mu.Unlock()
	if s.what == "drain" {
		u.list()
	} else {
		w.store.DeleteListing(u.name)
	}
	w.changed(change{what: "drained", name: string(u.name), span: span{from: w.now()}})
	w.sleep(w.bounds.drain + s.last)
	u.mu.Lock()
	u.gone, u.disturbed = true, w.now()
	u.mu.Unlock()
	w.store.DeleteListing(u.name)
	w.sleep(lastsOn)
	u.server.CloseClientConnections()
	if _, taken := w.busy.LoadOrStore(u.link, true); !taken {
		u.link.Disable()
	}
}

// evacuate empties a data centre for longer than entries have to obey. One that is being
// emptied is left alone.
func (w *world) evacuate(s step) {
	centre := centres[s.which%len(centres)]
	if _, taken := w.busy.LoadOrStore(centre, true); taken {
		return
	}
	defer w.busy.Delete(centre)
	w.store.SetEvacuated(centre, true)
	from := w.now()
	w.sleep(w.bounds.evacuate + s.last)
	w.changed(change{what: "evacuated", name: string(centre), span: span{from, w.now()}})
	w.store.SetEvacuated(centre, false)
}

// rotateKey adds a key, and withdraws it later.
func (w *world) rotateKey(s step) {
	key := fmt.Sprint("key-", s.how)
	w.listMu.Lock()
	if _, taken := w.keys[key]; taken {
		w.listMu.Unlock()
		return
	}
	w.keys[key] = "ws-b"
	w.listMu.Unlock()
	w.changed(change{what: "key_added", name: key, span: span{from: w.now()}})
	w.configure()
	w.sleep(w.bounds.config + s.last)
	w.listMu.Lock()
	delete(w.keys, key)
	w.listMu.Unlock()
	w.configure()
	w.changed(change{what: "key_withdrawn", name: key, span: span{from: w.now()}})
}
