package gateway

// This file defines how a gateway notices that an engine has crashed under a request, and
// refuses requests with a part of a prompt that is held for it (package quarantine).

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/quarantine"
)

const (
	// maxCrashesPerRequest is how many upstreams may crash under one request, whatever its
	// prompt, before it is given up.
	maxCrashesPerRequest = 2
	// crashRetention is how long it is remembered that a start of an upstream has crashed.
	crashRetention = 10 * time.Second
)

// crashDetector tells a crash of an upstream from a response that was lost on its way. It is
// safe for concurrent use.
type crashDetector struct {
	client *UpstreamClient
	pool   *pool.Pool
	checks singleflight.Group

	mu      sync.Mutex
	crashed map[upstreamStart]time.Time
}

func newCrashDetector(client *UpstreamClient, p *pool.Pool) *crashDetector {
	return &crashDetector{client: client, pool: p, crashed: make(map[upstreamStart]time.Time)}
}

// hasCrashed reports whether an upstream that has cut a response has ended: nothing listens at
// its address. IsNew is true for the first caller that learns it. The error is that of a connection
// that failed for another reason, so that nothing is known.
func (d *crashDetector) hasCrashed(ctx context.Context, l *pool.Listing) (crashed, isNew bool, err error) {
	start := upstreamStart{l.Address, l.ID, l.StartUnixMS}
	if d.isKnown(start) {
		return true, false, nil
	}
	_, err, _ = d.checks.Do(l.Address+" "+string(l.ID), func() (any, error) {
		conn, err := d.client.Connect(context.WithoutCancel(ctx), l.Address)
		if err == nil {
			conn.Close()
		}
		return nil, err
	})
	switch {
	case err == nil:
		return false, false, nil
	case !errors.Is(err, syscall.ECONNREFUSED):
		return false, false, err
	}
	now := time.Now()
	d.mu.Lock()
	_, known := d.crashed[start]
	for other, at := range d.crashed {
		if now.Sub(at) > crashRetention {
			delete(d.crashed, other)
		}
	}
	d.crashed[start] = now
	d.mu.Unlock()
	if !known {
		d.pool.MarkUnreachable(now, l.ID)
	}
	return true, !known, nil
}

func (d *crashDetector) isKnown(start upstreamStart) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.crashed[start]
	return known
}

// partIDs returns the ids of the parts that a prompt may share with others.
func partIDs(p *pool.Prompt) []id.PromptPart {
	var ids []id.PromptPart
	for _, part := range p.SharedParts() {
		ids = append(ids, part.ID)
	}
	return ids
}

// heldProblem returns the problem of a request with a part that is held, or nil if it has none.
// It has no Retry-After: the part will still be held.
func (f *forwarding) heldProblem() *problem.Problem {
	hold, held := f.gateway.deps.Quarantine.Held(f.gateway.deps.FleetTime(), f.parts)
	if !held {
		return nil
	}
	return problem.New(problem.PromptHeld, f.runState(), http.StatusServiceUnavailable,
		"part %.64q of the prompt is held back since %s: %d engines have crashed under it", string(hold.Part), hold.Since.UTC().Format(time.RFC3339), hold.Crashes)
}

// mindsCrashes reports whether it makes a difference that an upstream has crashed under the
// request: to find out takes a connection.
func (f *forwarding) mindsCrashes() bool {
	return len(f.parts) > 0 || f.req.route.MaxAttempts > maxCrashesPerRequest
}

// noteCut records that a response was cut off before its engine had shown that it survives the
// request, if that was because the upstream has crashed.
func (f *forwarding) noteCut(ctx context.Context, assignment *pool.Assignment) {
	u := &assignment.Upstream
	crashed, isNew, err := f.gateway.crashes.hasCrashed(ctx, u)
	if !crashed {
		_ = f.gateway.logRequest(f.req, "event", "response_lost", "upstream", u.ID, "err", err)
		return
	}
	f.crashes++
	if isNew {
		f.gateway.incrementCounter("upstream_crashed")
	}
	_ = f.gateway.logRequest(f.req, "event", "upstream_crashed", "upstream", u.ID, "born", u.StartUnixMS, "begun", !f.firstEvent.IsZero(), "parts", loggedParts(&f.req.info.Prompt))
	if len(f.parts) > 0 {
		now := f.gateway.deps.FleetTime()
		f.gateway.ApplyHolds(f.gateway.deps.Quarantine.RecordCrash(now, quarantine.Start{Upstream: u.ID, UnixMS: u.StartUnixMS}, f.parts, !f.firstEvent.IsZero()))
		f.gateway.deps.TellPeers()
	}
}

// noteEvent records that the upstream has sent an event, and whether it has survived the
// request thereby.
func (f *forwarding) noteEvent(now time.Time) {
	if f.firstEvent.IsZero() {
		f.firstEvent = now
		f.gateway.pending.remove(f)
	}
	if now.Sub(f.firstEvent) >= quarantine.ProofOfLife {
		f.noteSurvived()
	}
}

// noteSurvived records that the upstream has survived the request.
func (f *forwarding) noteSurvived() {
	if f.survived {
		return
	}
	f.survived = true
	if len(f.parts) > 0 {
		f.gateway.ApplyHolds(f.gateway.deps.Quarantine.RecordSound(f.gateway.deps.FleetTime(), f.parts))
	}
}

// ApplyHolds logs and counts the parts of prompts that are held from now on, or no longer, and
// ends the attempts with a held part of which no event has come: their engines would crash.
func (g *Gateway) ApplyHolds(changes []quarantine.Change) {
	for _, c := range changes {
		event, ended := "prompt_released", 0
		if c.Held {
			event, ended = "prompt_held", g.pending.cancel(c.Hold.Part)
		}
		g.incrementCounter(event)
		_ = g.deps.Logger.Log("event", event, "part", string(c.Hold.Part), "crashes", c.Hold.Crashes, "since", c.Hold.Since.UTC().Format(time.RFC3339Nano), "why", c.Reason, "attempts_ended", ended)
	}
}

// errPromptHeld is why an attempt ends when a part of its prompt is held.
var errPromptHeld = errors.New("a part of the prompt is held back")

// pendingAttempts are the attempts of which no event has come yet. It is safe for concurrent use.
type pendingAttempts struct {
	mu       sync.Mutex
	attempts map[*forwarding]context.CancelCauseFunc
}

func newPendingAttempts() *pendingAttempts {
	return &pendingAttempts{attempts: make(map[*forwarding]context.CancelCauseFunc)}
}

// add adds an attempt of a request with parts that it may share with others.
func (p *pendingAttempts) add(f *forwarding, cancel context.CancelCauseFunc) {
	if len(f.parts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts[f] = cancel
}

// remove removes an attempt, if it is pending.
func (p *pendingAttempts) remove(f *forwarding) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.attempts, f)
}

// cancel ends the attempts with a part and returns their number.
func (p *pendingAttempts) cancel(part id.PromptPart) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for f, cancel := range p.attempts {
		if slices.Contains(f.parts, part) {
			cancel(errPromptHeld)
			n++
		}
	}
	return n
}
