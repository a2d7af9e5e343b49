package entry

// This file defines dispatch: attempts of one request until it is answered or
// refused.

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const maxAttempts = 3

// result is how an attempt ended: *answered, *refused or *broken.
type result interface{ result() }

// answered says that the caller has got the whole answer.
type answered struct{ used used }

// refused says that the attempt was not run.
type refused struct{ problem *problem.Problem }

// broken says that the attempt may have run and gave no whole answer.
type broken struct {
	problem *problem.Problem
	used    used // delivered before it broke
}

func (*answered) result() {}
func (*refused) result()  {}
func (*broken) result()   {}

// dispatch runs attempts until one answers.
func (e *Entry) dispatch(w http.ResponseWriter, r *http.Request, rq *request) {
	ctx, cancel := withDeadline(r.Context(), rq.deadline)
	defer cancel()
	a := &answer{w: w, rq: rq}
	var avoid []id.Upstream
	for attempt := 1; ; attempt++ {
		u, p := e.admit(ctx, rq, avoid)
		if p != nil {
			e.end(r, a, p)
			return
		}
		switch res := e.attempt(ctx, a, rq, u, attempt).(type) {
		case *answered:
			e.meter(rq, res.used)
			e.decide(time.Now(), rq.id, "relay", "answered", "upstream="+string(u.ID)+" output_tokens="+strconv.FormatInt(int64(res.used.output), 10))
			return
		case *refused:
			e.count("retried_" + string(res.problem.Reason))
			e.decide(time.Now(), rq.id, "dispatch", string(res.problem.Reason), res.problem.Detail)
			if res.problem.Reason == problem.KeyWithdrawn {
				e.end(r, a, res.problem)
				return
			}
			avoid = nil
			if res.problem.Reason != problem.UpstreamBusy && res.problem.Reason != problem.StaleConfig {
				avoid = []id.Upstream{u.ID}
			}
		case *broken:
			e.decide(time.Now(), rq.id, "dispatch", string(res.problem.Reason), res.problem.Detail)
			if a.started || rq.once() || attempt >= maxAttempts || ctx.Err() != nil {
				e.meterPart(rq, res.used)
				e.end(r, a, res.problem)
				return
			}
			e.count("retried_" + string(res.problem.Reason))
			avoid = []id.Upstream{u.ID}
		}
	}
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// end finishes an answer that could not be completed: with a refusal if nothing
// was relayed, else with an explicit error event.
func (e *Entry) end(r *http.Request, a *answer, p *problem.Problem) {
	if !a.started {
		e.refuse(a.w, r, p)
		return
	}
	p = cause(r.Context(), p)
	p.Request = string(a.rq.id)
	e.count("cut_" + string(p.Reason))
	if !a.rq.stream {
		panic(http.ErrAbortHandler)
	}
	doc, _ := json.Marshal(p)
	a.write("event: error\ndata: " + string(doc) + "\n\n")
}

// attempt sends the request to one upstream's sidecar and relays the answer.
func (e *Entry) attempt(ctx context.Context, a *answer, rq *request, u *upstream.View, n int) result {
	defer e.upstreams.Finish(u.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, rq.method, "http://"+u.Address+rq.uri, bytes.NewReader(rq.body))
	if err != nil {
		return &refused{problem.New(problem.Internal, problem.NotRun, http.StatusInternalServerError, "%v", err)}
	}
	hr.Header = rq.header.Clone()
	e.envelope(rq, n).Set(hr.Header)
	rs, err := e.deps.Peers.Do(hr)
	if err != nil {
		return sendFailure(ctx, u, err)
	}
	defer rs.Body.Close()
	if l, ok := wire.ParseLoad(rs.Header.Get(wire.HeaderLoad)); ok {
		e.upstreams.Piggyback(u.ID, l, time.Now())
	}
	return refusedLate(u, rs, e.relay(a, u, rs))
}

func (e *Entry) envelope(rq *request, attempt int) wire.Envelope {
	return wire.Envelope{
		Request: rq.id, Key: rq.key.ID, Workspace: rq.workspace(), Class: rq.class.Name, Tier: rq.class.Tier,
		Deadline: rq.deadline, Attempt: attempt, Config: e.deps.State.Offset(), Once: rq.once(),
	}
}
