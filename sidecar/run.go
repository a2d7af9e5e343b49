package sidecar

// This file defines the filters of a request at the sidecar: vet, wait for a
// slot, run, relay.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

type envelopeKey struct{}

// vet refuses a request whose envelope is bad, whose key is withdrawn or which
// arrives while the upstream takes no work.
func (s *Sidecar) vet(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderUpstream, string(s.cfg.Upstream))
		e, err := wire.ReadEnvelope(r.Header)
		if err != nil {
			s.refuse(w, e, problem.New(problem.BadRequest, problem.NotRun, http.StatusBadRequest, "%v", err))
			return
		}
		if p := s.judge(); p != nil {
			s.refuse(w, e, p)
			return
		}
		ctx, done, p := s.use(r.Context(), e)
		if p != nil {
			s.refuse(w, e, p)
			return
		}
		defer done()
		next.ServeHTTP(w, r.WithContext(context.WithValue(ctx, envelopeKey{}, e)))
	})
}

// judge returns the reason to refuse a request before it runs, or nil.
func (s *Sidecar) judge() *problem.Problem {
	if s.state() == upstream.Draining {
		return problem.New(problem.UpstreamDraining, problem.NotRun, http.StatusServiceUnavailable, "upstream %s takes no new work", s.cfg.Upstream)
	}
	if st := s.state(); !st.AcceptsRequests() {
		return problem.New(problem.NotReady, problem.NotRun, http.StatusServiceUnavailable, "upstream %s is %s", s.cfg.Upstream, st)
	}
	return nil
}

// refuse answers with a problem and the load.
func (s *Sidecar) refuse(w http.ResponseWriter, e wire.Envelope, p *problem.Problem) {
	s.count("sidecar_refused_" + string(p.Reason))
	s.deps.Traces.Add(time.Now(), e.Request, "sidecar", string(p.Reason), s.inputs()+" "+p.Detail)
	p.Request = string(e.Request)
	w.Header().Set(wire.HeaderLoad, s.load().String())
	w.Header().Set(wire.HeaderRefused, string(p.Reason))
	p.Write(w)
}

// run waits for a slot, sends the request to the upstream and relays the answer.
func (s *Sidecar) run(w http.ResponseWriter, r *http.Request) {
	e := r.Context().Value(envelopeKey{}).(wire.Envelope)
	ctx, t, p := s.acquire(r.Context(), e)
	if p != nil {
		s.refuse(w, e, cause(r.Context(), p))
		return
	}
	r = r.WithContext(ctx)
	x := s.begin(time.Now(), e, t)
	defer x.end()
	rs, err := s.send(r, e)
	if err != nil {
		x.evidence.Failed = r.Context().Err() == nil
		s.refuse(w, e, s.sendFailure(err))
		return
	}
	defer rs.Body.Close()
	if s.cfg.Service == "" && rs.StatusCode == http.StatusServiceUnavailable {
		x.evidence.Failed = true
		s.lost(rs.Status)
		s.refuse(w, e, problem.New(problem.UpstreamFailed, problem.RunUnknown, http.StatusBadGateway, "upstream %s: %s", s.cfg.Upstream, rs.Status))
		return
	}
	wire.DropInternalHeaders(rs.Header)
	copyHeaders(w.Header(), rs.Header)
	w.Header().Set(wire.HeaderLoad, s.load().String())
	w.WriteHeader(rs.StatusCode)
	if err := x.relay(w, rs); err != nil {
		if preempted(ctx) && x.whole {
			endPreempted(w)
			return
		}
		x.evidence.Failed = r.Context().Err() == nil
		s.count("sidecar_answer_cut")
		if s.endedByWithdrawal(r.Context(), w) {
			return
		}
		panic(http.ErrAbortHandler) // the entry must not take a cut answer for a whole one
	}
}

// sendFailure judges a request that got no response. A failed dial means that no
// byte can have arrived, and that the upstream is gone.
func (s *Sidecar) sendFailure(err error) *problem.Problem {
	run := problem.RunUnknown
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		run = problem.NotRun
		s.lost(err.Error())
	}
	return problem.New(problem.UpstreamFailed, run, http.StatusBadGateway, "upstream %s: %v", s.cfg.Upstream, err)
}

// send passes the request on without the router's own headers.
func (s *Sidecar) send(r *http.Request, e wire.Envelope) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(r.Context(), r.Method, s.cfg.UpstreamURL+r.URL.RequestURI(), r.Body)
	if err != nil {
		return nil, err
	}
	rq.ContentLength = r.ContentLength
	copyHeaders(rq.Header, r.Header)
	wire.DropInternalHeaders(rq.Header)
	rq.Header.Set(wire.HeaderRequestID, string(e.Request))
	if e.AtMostOnce {
		return s.deps.Once.Do(rq)
	}
	return s.deps.Client.Do(rq)
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func copyHeaders(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	for _, name := range connectionHeaders {
		to.Del(name)
	}
}
