package gateway

// This file defines one attempt: a request is sent to one upstream and its answer
// is checked and relayed.

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/ragwortpass/ragwortpass/pool"
	"github.com/ragwortpass/ragwortpass/problem"
)

// sent tells whether a byte of an attempt has left.
type sent struct {
	conn *countedConn
	from int64 // bytes written to the connection before
}

func (s *sent) any() bool { return s.conn != nil && s.conn.written.Load() > s.from }

// attempt sends the request to one upstream.
func (n *run) attempt(ctx context.Context, c *pool.Chosen) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &sent{}
	n.sentAt = time.Now()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if counted, ok := info.Conn.(*countedConn); ok {
			s.conn, s.from = counted, counted.written.Load()
		}
		if !info.Reused {
			n.g.count("upstream_connections")
		}
	}})
	hr, err := n.outgoing(traced, c)
	if err != nil {
		return &unsent{err}
	}
	rs, err := n.g.deps.Client.Do(hr)
	if err != nil {
		switch {
		case !s.any() && ctx.Err() == nil:
			return &unsent{err}
		case ctx.Err() == nil:
			n.meter(time.Since(n.sentAt)) // an answer that is lost was most likely made
			return &lost{problem.UpstreamCut, err}
		}
		if s.conn != nil { // a write may still have been on its way when the time was over
			n.mayRun = true
			n.meterPlain()
		}
		return &gone{goneReason(ctx)}
	}
	defer rs.Body.Close()
	n.g.deps.Pool.Heard(c.Upstream.ID)
	return n.judge(ctx, c, rs)
}

// once is a body that the transport cannot send a second time by itself.
type once struct{ io.Reader }

// Close implements io.Closer.
func (once) Close() error { return nil }

// outgoing returns the request for the upstream.
func (n *run) outgoing(ctx context.Context, c *pool.Chosen) (*http.Request, error) {
	rq := n.rq
	hr, err := http.NewRequestWithContext(ctx, rq.method, "http://"+c.Upstream.Address+rq.uri, once{bytes.NewReader(rq.body)})
	if err != nil {
		return nil, err
	}
	hr.ContentLength = int64(len(rq.body))
	hr.Host = rq.host
	hr.Header = rq.header.Clone()
	removeConnectionHeaders(hr.Header)
	n.g.deps.Codec.SetUpstreamHeaders(hr.Header, UpstreamRequestInfo{
		Upstream: c.Upstream.ID, Workspace: rq.workspace, Timeout: time.Until(rq.deadline), Urgency: rq.urgency,
		LastEventID: n.after, Resumes: n.resumes,
	})
	if _, said := hr.Header["User-Agent"]; !said {
		hr.Header["User-Agent"] = nil // keeps the library from adding its own
	}
	return hr, nil
}

// judge decides what an upstream's answer means, and relays it.
func (n *run) judge(ctx context.Context, c *pool.Chosen, rs *http.Response) outcome {
	reply := n.g.deps.Codec.ParseResponse(rs)
	success := rs.StatusCode >= http.StatusOK && rs.StatusCode < http.StatusMultipleChoices
	switch {
	case !reply.Signed || reply.NotRun:
	case success:
		n.meterPlain()
	default:
		n.meter(time.Since(n.sentAt)) // a failure that does not say otherwise has run, of a stream too
	}
	switch {
	case reply.Misdirected:
		n.g.deps.Pool.Moved(c.Upstream.ID)
		return &moved{}
	case reply.NotRun && !success:
		return &rejected{rs.StatusCode}
	case reply.RequestID != n.rq.ask.ID:
		n.g.count("answer_crossed")
		return &lost{problem.AnswerCrossed, fmt.Errorf("answer %d is for request %q", rs.StatusCode, reply.RequestID)}
	case !reply.Signed:
		return &lost{problem.UpstreamFailed, fmt.Errorf("answer %d is not signed", rs.StatusCode)}
	case success && rs.Header.Get("Content-Encoding") != "":
		return &lost{problem.UpstreamFailed, errors.New("the answer is encoded")}
	case !success && n.started:
		return &lost{problem.UpstreamFailed, fmt.Errorf("the rest of the stream came as %d", rs.StatusCode)}
	case !success && rs.StatusCode >= http.StatusInternalServerError && n.retryable():
		return &lost{problem.UpstreamFailed, fmt.Errorf("answer %d", rs.StatusCode)}
	}
	if success && n.rq.route.Kind.Streams() {
		return n.relayEvents(ctx, c, rs)
	}
	return n.relayPlain(ctx, rs)
}

// retryable reports whether an upstream's own failure may be followed by another
// attempt.
func (n *run) retryable() bool {
	return n.rq.route.Kind.Repeatable() && n.sends+1 < n.rq.route.Attempts
}

// meter counts the request once: a stream when its first event comes, any other as
// begun when it was sent.
func (n *run) meter(ago time.Duration) {
	if !n.counted {
		n.counted = true
		n.g.deps.Meter.CountRequest(ago, n.rq.workspace)
	}
}

// meterPlain counts a request that is no stream: it begins about when it arrives,
// also if nobody waits for its answer. A stream begins with its first token, which
// one that nobody waits for may never reach.
func (n *run) meterPlain() {
	if !n.rq.route.Kind.Streams() {
		n.meter(time.Since(n.sentAt))
	}
}

// callerFailed judges a failed write to the caller.
func callerFailed(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return &gone{goneReason(ctx)}
	}
	return &gone{problem.CallerGone}
}
