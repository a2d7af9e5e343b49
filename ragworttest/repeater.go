package ragworttest

// This file defines RefusalRepeater, a stand-in for a connection of an upstream that repeats
// refusals.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/standin"
)

// Treatment is what a RefusalRepeater does with a request.
type Treatment int

const (
	// Refused requests are not run.
	Refused Treatment = iota
	// Answered requests are run, and nothing but the response is sent.
	Answered
	// AnsweredAfterRepeat is Answered, with the refusal of an earlier request on the connection
	// once more before the response.
	AnsweredAfterRepeat
	// AnsweredAfterMisdirected is Answered, with a refusal of that request that has status 421.
	AnsweredAfterMisdirected
	// AnsweredAfterTooMany is Answered, with a refusal of that request that has status 429.
	AnsweredAfterTooMany
	// AnsweredAfterOther is Answered, with a refusal of a request of another connection.
	AnsweredAfterOther
	// AnsweredAfterUnnamed is Answered, with a refusal that does not name a request.
	AnsweredAfterUnnamed
	// FailedWithPromise requests are run and then fail with a signed 503 or 429, which does not say
	// that they have not run.
	FailedWithPromise
)

// Of the requests while there is no refusal to repeat, refusedShare are Refused and failedShare are
// FailedWithPromise if these may be drawn at all.
const refusedShare, failedShare = 0.25, 0.1

// RefusalRepeater serves a connection: it refuses some requests, and before the response to the
// request after such a one, which it runs, it writes a refusal that is not of this request.
type RefusalRepeater struct {
	// Repeats are the treatments of a request after a refused one, all equally frequent.
	Repeats []Treatment
	// FailsWithPromise is whether some requests are FailedWithPromise.
	FailsWithPromise bool
	// Handler runs a request and responds to it.
	Handler http.Handler
	// BeforeResponse is called with each request before anything is sent. It reports whether
	// the connection is used for further requests.
	BeforeResponse func(request id.Request, treatment Treatment) bool

	refused id.Request // the request whose refusal is to be repeated; empty: none
}

// Serve serves the requests that it reads, after first if that is not nil, until the connection
// ends or is not to be used any more.
func (p *RefusalRepeater) Serve(first *http.Request, in *bufio.Reader, out io.Writer) {
	for r := first; ; r = nil {
		if r == nil {
			var err error
			if r, err = http.ReadRequest(in); err != nil {
				return // the sender has closed the connection
			}
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the sender has closed the connection
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !p.respond(r, out) {
			return
		}
	}
}

// treatment draws how to treat the next request.
func (p *RefusalRepeater) treatment() Treatment {
	if p.refused != "" {
		return p.Repeats[rand.IntN(len(p.Repeats))]
	}
	switch n := rand.Float64(); {
	case n < refusedShare:
		return Refused
	case n < refusedShare+failedShare && p.FailsWithPromise:
		return FailedWithPromise
	}
	return Answered
}

// respond responds to a request. It reports whether the connection is used for further requests.
func (p *RefusalRepeater) respond(r *http.Request, out io.Writer) bool {
	request := standin.ParseReplicaRequest(r.Header).Request
	treatment := p.treatment()
	keep := p.BeforeResponse(request, treatment)
	if treatment == Refused {
		p.refused = request
		return writeResponse(out, refusal(http.StatusServiceUnavailable, request), keep) && keep
	}
	var pending bytes.Buffer
	switch treatment {
	case AnsweredAfterRepeat:
		writeResponse(&pending, refusal(http.StatusServiceUnavailable, p.refused), true)
	case AnsweredAfterMisdirected:
		writeResponse(&pending, refusal(http.StatusMisdirectedRequest, p.refused), true)
	case AnsweredAfterTooMany:
		writeResponse(&pending, refusal(http.StatusTooManyRequests, p.refused), true)
	case AnsweredAfterOther:
		writeResponse(&pending, refusal(http.StatusServiceUnavailable, "another"), true)
	case AnsweredAfterUnnamed:
		writeResponse(&pending, refusal(http.StatusServiceUnavailable, ""), true)
	}
	p.refused = ""
	if rand.IntN(2) == 0 { // otherwise both arrive together
		if _, err := pending.WriteTo(out); err != nil {
			return false // the sender has closed the connection
		}
	}
	resp := httptest.NewRecorder()
	if !serve(p.Handler, resp, r) {
		return false
	}
	if treatment == FailedWithPromise {
		resp = httptest.NewRecorder()
		standin.SignResponse(resp.Header(), request)
		resp.WriteHeader([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[rand.IntN(2)])
	}
	writeResponse(&pending, resp, keep)
	_, err := pending.WriteTo(out)
	return err == nil && keep
}

// serve calls a handler; it reports whether the handler did not abort the connection.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) (served bool) {
	defer func() {
		if err, ok := recover().(error); ok && !errors.Is(err, http.ErrAbortHandler) {
			panic(err)
		}
	}()
	h.ServeHTTP(w, r)
	return true
}

// refusal returns the refusal of a request, with or without a body.
func refusal(status int, request id.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	standin.MarkNotRun(w.Header(), request)
	w.WriteHeader(status)
	if rand.IntN(2) == 0 {
		_, _ = io.WriteString(w, strings.ToLower(http.StatusText(status)))
	}
	return w
}

// writeResponse writes a response with its length; it reports whether that succeeded.
func writeResponse(out io.Writer, w *httptest.ResponseRecorder, keep bool) bool {
	resp := w.Result()
	resp.ContentLength, resp.Close = int64(w.Body.Len()), !keep
	return resp.Write(out) == nil
}
