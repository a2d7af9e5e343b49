package sidecar

// This file defines the filters of a request at the sidecar: vet, wait for a
// slot, run, relay.

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	slotPoll    = 5 * time.Millisecond
	slotWait    = 200 * time.Millisecond
	relayBuffer = 32 << 10
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
	if s.leaving.Load() || s.deps.State.Rules().Drained(s.cfg.DataCentre) {
		return problem.New(problem.UpstreamDraining, problem.NotRun, http.StatusServiceUnavailable, "upstream %s takes no new work", s.cfg.Upstream)
	}
	if st := s.state(); !st.TakesWork() {
		return problem.New(problem.NotReady, problem.NotRun, http.StatusServiceUnavailable, "upstream %s is %s", s.cfg.Upstream, st)
	}
	return nil
}

// refuse answers with a problem and the load.
func (s *Sidecar) refuse(w http.ResponseWriter, e wire.Envelope, p *problem.Problem) {
	s.count("sidecar_refused_" + string(p.Reason))
	s.deps.Traces.Add(time.Now(), e.Request, "sidecar", string(p.Reason), p.Detail)
	p.Request = string(e.Request)
	w.Header().Set(wire.HeaderLoad, s.load().String())
	w.Header().Set(wire.HeaderRefused, string(p.Reason))
	p.Write(w)
}

// run waits for a slot, sends the request to the upstream and relays the answer.
func (s *Sidecar) run(w http.ResponseWriter, r *http.Request) {
	e := r.Context().Value(envelopeKey{}).(wire.Envelope)
	if !s.acquire(r.Context()) {
		s.refuse(w, e, s.noSlot(r.Context()))
		return
	}
	evidence := upstream.Evidence{}
	defer func() { s.limiter.Release(evidence) }()
	if c := s.deps.State.Rules().Classes[e.Class]; c != nil {
		evidence.Target = c.TTFT
	}
	start := time.Now()
	s.deps.Traces.Add(start, e.Request, "sidecar", "run", "attempt="+strconv.Itoa(e.Attempt))
	rs, err := s.send(r, e)
	if err != nil {
		evidence.Failed = r.Context().Err() == nil
		s.refuse(w, e, problem.New(problem.UpstreamFailed, problem.Unknown, http.StatusBadGateway, "upstream %s: %v", s.cfg.Upstream, err))
		return
	}
	defer rs.Body.Close()
	wire.DropInternal(rs.Header)
	copyHeaders(w.Header(), rs.Header)
	w.Header().Set(wire.HeaderLoad, s.load().String())
	w.WriteHeader(rs.StatusCode)
	evidence.FirstToken, err = relay(w, rs.Body, start)
	evidence.Failed = err != nil && r.Context().Err() == nil
	if err != nil {
		s.count("sidecar_answer_cut")
		if s.endedByWithdrawal(r.Context(), w) {
			return
		}
		panic(http.ErrAbortHandler) // the entry must not take a cut answer for a whole one
	}
}

// noSlot returns the refusal of a request that got no slot.
func (s *Sidecar) noSlot(ctx context.Context) *problem.Problem {
	var withdrawn *key.WithdrawnError
	if errors.As(context.Cause(ctx), &withdrawn) {
		return problem.New(problem.KeyWithdrawn, problem.NotRun, http.StatusUnauthorized, "%v", withdrawn)
	}
	return problem.New(problem.UpstreamBusy, problem.NotRun, http.StatusServiceUnavailable, "upstream %s has no free slot", s.cfg.Upstream)
}

// acquire waits a short while for a slot.
func (s *Sidecar) acquire(ctx context.Context) bool {
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	tick := time.NewTicker(slotPoll)
	defer tick.Stop()
	end := time.NewTimer(slotWait)
	defer end.Stop()
	for !s.limiter.Acquire() {
		select {
		case <-ctx.Done():
			return false
		case <-end.C:
			return false
		case <-tick.C:
		}
	}
	return true
}

// send passes the request on without the router's own headers.
func (s *Sidecar) send(r *http.Request, e wire.Envelope) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(r.Context(), r.Method, s.cfg.UpstreamURL+r.URL.RequestURI(), r.Body)
	if err != nil {
		return nil, err
	}
	rq.ContentLength = r.ContentLength
	copyHeaders(rq.Header, r.Header)
	wire.DropInternal(rq.Header)
	rq.Header.Set(wire.HeaderRequestID, string(e.Request))
	if e.Once {
		return s.deps.Once.Do(rq)
	}
	return s.deps.Client.Do(rq)
}

// relay copies the body, flushing as it goes, and returns the time to its first byte.
func relay(w http.ResponseWriter, body io.Reader, start time.Time) (time.Duration, error) {
	first := time.Duration(0)
	flush := http.NewResponseController(w)
	buf := make([]byte, relayBuffer)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if first == 0 {
				first = time.Since(start)
			}
			if _, werr := w.Write(buf[:n]); werr != nil {
				return first, werr
			}
			_ = flush.Flush()
		}
		if errors.Is(err, io.EOF) {
			return first, nil
		}
		if err != nil {
			return first, err
		}
	}
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
