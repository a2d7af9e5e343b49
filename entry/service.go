package entry

// This file defines the handler for requests to plain services.

import (
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/problem"
)

// service serves /services/{route}/{path...}.
func (e *Entry) service(w http.ResponseWriter, r *http.Request) {
	rq, p := e.readService(time.Now(), w, r)
	if rq != nil && rq.share != nil {
		defer rq.share.Release()
	}
	key := r.Header.Get(IdempotencyHeader)
	if p == nil && !e.isKnownCall(rq, key) {
		p = e.limit(time.Now(), rq)
	}
	if p != nil {
		e.refuse(w, r, p)
		return
	}
	defer e.settleCharge(rq)
	e.running.Add(1)
	defer e.running.Add(-1)
	if rq.atMostOnce() && key != "" {
		e.serveBooking(w, r, rq, key)
		return
	}
	e.dispatch(w, r, rq)
}

// readService returns the classified request with its path and body.
func (e *Entry) readService(now time.Time, w http.ResponseWriter, r *http.Request) (*request, *problem.Problem) {
	path := "/" + r.PathValue("path")
	route := e.deps.State.Rules().ServiceRoute(r.PathValue("route"), r.Method, path)
	rq, p := e.classify(now, r, route)
	if p != nil {
		return nil, p
	}
	rq.service = route.Service
	rq.uri = path
	if r.URL.RawQuery != "" {
		rq.uri += "?" + r.URL.RawQuery
	}
	rq.body, p = e.readBody(w, r, rq)
	return rq, p
}
