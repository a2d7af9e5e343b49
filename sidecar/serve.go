package sidecar

// This file defines the steps of a request at the sidecar: validate it, wait for a slot,
// send it to the upstream, and relay the answer.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

type envelopeKey struct{}

// validate refuses a request with an invalid envelope or without a valid key, or that arrives
// while the upstream takes no work.
func (s *Sidecar) validate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderUpstream, string(s.cfg.Upstream))
		e, err := wire.ReadEnvelope(r.Header)
		if err != nil {
			s.refuse(w, e, problem.New(problem.BadRequest, problem.NotRun, http.StatusBadRequest, "%v", err))
			return
		}
		if p := s.notAcceptingProblem(); p != nil {
			s.refuse(w, e, p)
			return
		}
		ctx, done, p := s.trackKeyUse(r.Context(), e)
		if p != nil {
			s.refuse(w, e, p)
			return
		}
		defer done()
		next.ServeHTTP(w, r.WithContext(context.WithValue(ctx, envelopeKey{}, e)))
	})
}

// notAcceptingProblem returns the refusal if the upstream takes no work, otherwise nil.
func (s *Sidecar) notAcceptingProblem() *problem.Problem {
	if s.state() == upstream.Draining {
		return problem.New(problem.UpstreamDraining, problem.NotRun, http.StatusServiceUnavailable, "upstream %s takes no new work", s.cfg.Upstream)
	}
	if st := s.state(); !st.AcceptsRequests() {
		return problem.New(problem.NotReady, problem.NotRun, http.StatusServiceUnavailable, "upstream %s is %s", s.cfg.Upstream, st)
	}
	return nil
}

// refuse counts, traces and sends a refusal, with the upstream's load in a header.
func (s *Sidecar) refuse(w http.ResponseWriter, e wire.Envelope, p *problem.Problem) {
	s.count("sidecar_refused_" + string(p.Reason))
	s.deps.Traces.Add(time.Now(), e.Request, "sidecar", string(p.Reason), s.describeState()+" "+p.Detail)
	p.Request = string(e.Request)
	w.Header().Set(wire.HeaderLoad, s.load().String())
	w.Header().Set(wire.HeaderRefused, string(p.Reason))
	p.Write(w)
}

// serve waits for a slot, sends the request to the upstream and relays the answer.
func (s *Sidecar) serve(w http.ResponseWriter, r *http.Request) {
	e := r.Context().Value(envelopeKey{}).(wire.Envelope)
	ctx, req, p := s.acquire(r.Context(), e)
	if p != nil {
		s.refuse(w, e, withWithdrawal(r.Context(), p))
		return
	}
	r = r.WithContext(ctx)
	x := s.beginExchange(time.Now(), e, req)
	defer x.end()
	sentAt := time.Now()
	rs, err := s.sendUpstream(r, e)
	if err != nil {
		var notSent *notSentError
		if errors.As(err, &notSent) {
			s.slots.unsent(req)
		}
		x.sample.Failed = r.Context().Err() == nil
		s.refuse(w, e, s.sendProblem(err))
		return
	}
	defer rs.Body.Close()
	if rid := rs.Header.Get(wire.HeaderRequestID); rid != "" && rid != string(e.Request) {
		x.sample.Failed = true
		s.dropForeignResponse(rs)
		s.refuse(w, e, problem.New(problem.AnswerCrossed, problem.RunUnknown, http.StatusBadGateway, "upstream %s: a response with status %d is for request %q", s.cfg.Upstream, rs.StatusCode, rid))
		return
	}
	s.hearLimit(time.Now(), sentAt, e.Request, rs.Header)
	if s.cfg.Service == "" && rs.StatusCode == http.StatusServiceUnavailable {
		x.sample.Failed = true
		s.markLost(rs.Status)
		s.refuse(w, e, problem.New(problem.UpstreamFailed, problem.RunUnknown, http.StatusBadGateway, "upstream %s: %s", s.cfg.Upstream, rs.Status))
		return
	}
	wire.DropInternalHeaders(rs.Header)
	copyHeaders(w.Header(), rs.Header)
	w.Header().Set(wire.HeaderLoad, s.load().String())
	w.WriteHeader(rs.StatusCode)
	if err := x.relay(w, rs); err != nil {
		if wasPreempted(ctx) && x.atEventEnd {
			writePreemptedEvent(w)
			return
		}
		x.sample.Failed = r.Context().Err() == nil
		s.count("sidecar_answer_cut")
		if s.endWithTrailer(r.Context(), w) {
			return
		}
		panic(http.ErrAbortHandler) // the entry must not take an incomplete answer for a complete one
	}
}

// dropForeignResponse closes the connection of a response that belongs to another request: the
// response to the request that was sent may follow on it, and be taken for that of the next. A
// connection whose response has no body is idle by now, and cannot be told from the others.
func (s *Sidecar) dropForeignResponse(rs *http.Response) {
	_ = rs.Body.Close() // before its end, which closes the connection
	s.deps.UpstreamClient.CloseIdleConnections()
}

// notSentError reports that no connection was opened to send a request.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.cause }

// sendProblem returns the refusal for a request that received no response. A failed dial shows
// that the upstream is gone.
func (s *Sidecar) sendProblem(err error) *problem.Problem {
	run := problem.RunUnknown
	var notSent *notSentError
	if errors.As(err, &notSent) {
		run = problem.NotRun
	}
	if dialFailed(err) {
		s.markLost(err.Error())
	}
	return problem.New(problem.UpstreamFailed, run, http.StatusBadGateway, "upstream %s: %v", s.cfg.Upstream, err)
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// sendUpstream sends the request to the upstream, without the router's own headers except for
// the request id. The error is a *notSentError if nothing was sent. A failed dial alone does not
// prove this: if a reused connection breaks, the transport sends some requests again, over a new
// one.
func (s *Sidecar) sendUpstream(r *http.Request, e wire.Envelope) (*http.Response, error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	rq, err := http.NewRequestWithContext(ctx, r.Method, s.cfg.UpstreamURL+r.URL.RequestURI(), r.Body)
	if err != nil {
		return nil, err
	}
	rq.ContentLength = r.ContentLength
	copyHeaders(rq.Header, r.Header)
	wire.DropInternalHeaders(rq.Header)
	rq.Header.Set(wire.HeaderRequestID, string(e.Request))
	client := s.deps.UpstreamClient
	if e.AtMostOnce {
		client = s.deps.OnceClient
	}
	rs, err := client.Do(rq)
	if err != nil && dialFailed(err) && !connected.Load() {
		return nil, &notSentError{err}
	}
	return rs, err
}

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// copyHeaders copies the headers that are forwarded.
func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range connectionHeaders {
		to.Del(name)
	}
}
