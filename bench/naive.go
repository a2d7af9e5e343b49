package bench

// This file defines naiveRouter, the baseline policy: requests in the order of their
// arrival, upstreams in turn, and a retry after any error. It has no tiers, no
// workspace weights, no deadlines for responses and no limits for each upstream.

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
	maxNaiveAttempts = 3
	naiveBufferBytes = 32 << 10
)

// naiveRouter is the handler of all entries of a fleet with the naive policy.
type naiveRouter struct {
	set      *rule.Set
	slots    chan struct{} // bounds concurrent model requests; waiters are served in order
	client   *http.Client
	next     atomic.Uint64
	engines  atomic.Pointer[[]*Upstream]
	services atomic.Pointer[[]*Upstream]
	drained  atomic.Pointer[id.DataCentre] // nil or empty: none
}

func newNaiveRouter(d *Deployment, engines int) (*naiveRouter, error) {
	set, err := d.RuleSet()
	if err != nil {
		return nil, err
	}
	u := set.UpstreamFor("", []id.Model{d.Model}, "")
	return &naiveRouter{set: set, slots: make(chan struct{}, engines*u.MaxConcurrency), client: process.NewExternalClient()}, nil
}

// setUpstreams replaces the upstreams, leaving out those of the drained data centre.
func (n *naiveRouter) setUpstreams(all []*Upstream) {
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

// setDrained drains a data centre; empty: none is drained.
func (n *naiveRouter) setDrained(dc id.DataCentre, all []*Upstream) {
	n.drained.Store(&dc)
	n.setUpstreams(all)
}

// service returns the server of an entry with the naive policy.
func (n *naiveRouter) service(node *Node, logger log.Logger) process.Server {
	return process.Server{
		Handler: n, Ready: func() error { return nil }, Metrics: node.Metrics, Logger: logger,
	}
}

// ServeHTTP implements http.Handler.
func (n *naiveRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	requestID := id.New("rq", time.Now())
	w.Header().Set(wire.HeaderRequestID, requestID)
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
	n.tryUpstreams(w, r, *list, path, requestID, body)
}

// acquire waits for a slot for at most the maximum wait of the class that the request
// names, and reports whether it got one.
func (n *naiveRouter) acquire(r *http.Request) bool {
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

// tryUpstreams sends the request to one upstream after another until one of them
// responds without a server error, at most maxNaiveAttempts times.
func (n *naiveRouter) tryUpstreams(w http.ResponseWriter, r *http.Request, list []*Upstream, path, requestID string, body []byte) {
	for range maxNaiveAttempts {
		if len(list) == 0 {
			break
		}
		u := list[n.next.Add(1)%uint64(len(list))]
		req, err := http.NewRequestWithContext(r.Context(), r.Method, u.URL+path, bytes.NewReader(body))
		if err != nil {
			break
		}
		req.Header = r.Header.Clone()
		req.Header.Del("Authorization")
		req.Header.Set(wire.HeaderRequestID, requestID)
		resp, err := n.client.Do(req)
		if err != nil {
			continue
		}
		if resp.StatusCode >= http.StatusInternalServerError {
			_ = resp.Body.Close()
			continue
		}
		n.relay(w, resp)
		return
	}
	problem.New(problem.UpstreamFailed, problem.RunUnknown, http.StatusBadGateway, "no upstream answered").Write(w)
}

// relay copies a response to the caller; if the upstream's response breaks off, so
// does the caller's.
func (n *naiveRouter) relay(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	for name, values := range resp.Header {
		w.Header()[name] = slices.Clone(values)
	}
	w.WriteHeader(resp.StatusCode)
	buf := make([]byte, naiveBufferBytes)
	for {
		k, err := resp.Body.Read(buf)
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
