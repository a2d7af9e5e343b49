package bench

// This file defines naive, the baseline policy: requests in the order of their
// arrival, upstreams in turn, and a retry on any error. It knows no tiers,
// shares, deadlines of answers or limits of single upstreams.

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/rule"
	"github.com/ragwortpass/ragwortpass/wire"
)

const (
	naiveAttempts = 3
	naiveBuffer   = 32 << 10
)

// naive is shared by all entries of a fleet.
type naive struct {
	set      *rule.Set
	slots    chan struct{} // requests that may run at once; waiters are served in order
	client   *http.Client
	next     atomic.Uint64
	engines  atomic.Pointer[[]*Upstream]
	services atomic.Pointer[[]*Upstream]
	drained  atomic.Pointer[id.DataCentre]
}

func newNaive(d *Deployment, engines int) (*naive, error) {
	set, err := d.RuleSet()
	if err != nil {
		return nil, err
	}
	u := set.UpstreamFor("", []id.Model{d.Model}, "")
	return &naive{set: set, slots: make(chan struct{}, engines*u.MaxConcurrency), client: process.NewExternalClient()}, nil
}

// setUpstreams replaces the upstreams, without those of a drained data centre.
func (n *naive) setUpstreams(all []*Upstream) {
	var engines, services []*Upstream
	for _, u := range all {
		switch {
		case n.drained.Load() != nil && *n.drained.Load() == u.DataCentre:
		case u.Engine != nil:
			engines = append(engines, u)
		default:
			services = append(services, u)
		}
	}
	n.engines.Store(&engines)
	n.services.Store(&services)
}

// drain takes a data centre out; empty: takes all back.
func (n *naive) drain(dc id.DataCentre, all []*Upstream) {
	n.drained.Store(&dc)
	n.setUpstreams(all)
}

func (n *naive) service(node *Node, logger log.Logger) process.Server {
	return process.Server{
		Handler: n, Ready: func() error { return nil }, Metrics: node.Metrics, Logger: logger,
	}
}

// ServeHTTP implements http.Handler.
func (n *naive) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rid := id.New("rq", time.Now())
	w.Header().Set(wire.HeaderRequestID, rid)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	list, path := n.engines.Load(), r.URL.Path
	if rest, ok := strings.CutPrefix(path, "/services/"); ok {
		_, path, _ = strings.Cut(rest, "/")
		list, path = n.services.Load(), "/"+path
	} else if !n.acquire(r) {
		problem.New(problem.DeadlineExceeded, problem.NotRun, http.StatusServiceUnavailable, "no slot in time").Write(w)
		return
	} else {
		defer func() { <-n.slots }()
	}
	n.attempts(w, r, *list, path, rid, body)
}

// acquire waits for a slot as long as the class may wait.
func (n *naive) acquire(r *http.Request) bool {
	wait := time.Duration(0)
	if c := n.set.Classes[id.Class(r.Header.Get("X-Class"))]; c != nil {
		wait = c.MaxWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	select {
	case n.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempts tries one upstream after another.
func (n *naive) attempts(w http.ResponseWriter, r *http.Request, list []*Upstream, path, rid string, body []byte) {
	for range naiveAttempts {
		if len(list) == 0 {
			break
		}
		u := list[n.next.Add(1)%uint64(len(list))]
		rq, err := http.NewRequestWithContext(r.Context(), r.Method, u.URL+path, bytes.NewReader(body))
		if err != nil {
			break
		}
		rq.Header = r.Header.Clone()
		rq.Header.Del("Authorization")
		rq.Header.Set(wire.HeaderRequestID, rid)
		rs, err := n.client.Do(rq)
		if err != nil {
			continue
		}
		if rs.StatusCode >= http.StatusInternalServerError {
			_ = rs.Body.Close()
			continue
		}
		n.relay(w, rs)
		return
	}
	problem.New(problem.UpstreamFailed, problem.RunUnknown, http.StatusBadGateway, "no upstream answered").Write(w)
}

// relay copies an answer; a cut one stays cut.
func (n *naive) relay(w http.ResponseWriter, rs *http.Response) {
	defer rs.Body.Close()
	for name, values := range rs.Header {
		w.Header()[name] = slices.Clone(values)
	}
	w.WriteHeader(rs.StatusCode)
	buf := make([]byte, naiveBuffer)
	for {
		k, err := rs.Body.Read(buf)
		if k > 0 {
			_, _ = w.Write(buf[:k])
			_ = http.NewResponseController(w).Flush()
		}
		switch err {
		case nil:
		case io.EOF:
			return
		default:
			panic(http.ErrAbortHandler)
		}
	}
}
