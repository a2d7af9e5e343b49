package entry

// This file defines one attempt of a request at one upstream.

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

// statusCallerGone is logged for a caller that has left; nobody receives it.
const statusCallerGone = 499

// result is how an attempt ended: *answered, *refused or *broken.
type result interface{ result() }

// answered says that the caller has got the whole answer.
type answered struct{ used used }

// refused says that the attempt was not run.
type refused struct{ problem *problem.Problem }

// broken says that the attempt may have run and gave no whole answer.
type broken struct{ problem *problem.Problem }

func (*answered) result() {}
func (*refused) result()  {}
func (*broken) result()   {}

// attempt sends the request to one upstream's sidecar and relays the answer.
func (e *Entry) attempt(ctx context.Context, a *answer, u *upstream.View, n int) result {
	defer e.upstreams.RequestEnded(u.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rq := a.rq
	hr, err := http.NewRequestWithContext(ctx, rq.method, "http://"+u.Address+rq.uri, bytes.NewReader(a.body()))
	if err != nil {
		return &refused{problem.New(problem.Internal, problem.NotRun, http.StatusInternalServerError, "%v", err)}
	}
	hr.Header = rq.header.Clone()
	if rq.once() {
		hr.GetBody = nil // else the transport may send it a second time
	}
	e.envelope(rq, n).SetHeaders(hr.Header)
	rs, err := e.deps.Peers.Do(hr)
	if err != nil {
		return e.sendFailure(ctx, u, err)
	}
	defer rs.Body.Close()
	if l, ok := wire.ParseLoad(rs.Header.Get(wire.HeaderLoad)); ok {
		e.upstreams.UpdateLoad(u.ID, l, time.Now())
	}
	res := refusedLate(u, rs, e.relay(a, u, rs))
	if b, ok := res.(*broken); ok {
		return brokenWhile(ctx, u, b)
	}
	return res
}

// sendFailure judges a request that got no response. A failed dial means that no
// byte can have arrived; nothing more is sent there until it is heard from.
func (e *Entry) sendFailure(ctx context.Context, u *upstream.View, err error) result {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e.upstreams.MarkUnreachable(u.ID)
		return &refused{problem.New(problem.UpstreamFailed, problem.NotRun, http.StatusBadGateway, "upstream %s: %v", u.ID, err)}
	}
	return brokenWhile(ctx, u, brokenBy(problem.UpstreamFailed, u, err.Error()))
}

// brokenWhile names the cause of a broken attempt if it lies on the caller's side.
func brokenWhile(ctx context.Context, u *upstream.View, b *broken) result {
	if callerGone(ctx) {
		return &broken{problem.New(problem.CallerGone, problem.RunUnknown, statusCallerGone, "the caller has left")}
	}
	if ctx.Err() != nil {
		return &broken{problem.New(problem.DeadlineExceeded, problem.RunUnknown, http.StatusGatewayTimeout, "deadline passed at upstream %s", u.ID)}
	}
	return b
}

func (e *Entry) envelope(rq *request, attempt int) wire.Envelope {
	return wire.Envelope{
		Request: rq.id, Key: rq.key.ID, Workspace: rq.workspace(), Class: rq.class.Name, Tier: rq.class.Tier,
		Deadline: rq.deadline, Attempt: attempt, ConfigOffset: e.deps.State.Offset(), AtMostOnce: rq.once(), Resumable: rq.resumable,
	}
}
