package entry

// This file defines the first filters: accept gives a request its id and drops
// headers that only the router may set; identify finds the caller's key.

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire"
)

type (
	requestIDKey struct{}
	callerKey    struct{}
)

// requestID returns the id that accept gave the request.
func requestID(ctx context.Context) id.Request {
	rq, _ := ctx.Value(requestIDKey{}).(id.Request)
	return rq
}

// caller returns the key that identify found.
func caller(ctx context.Context) *key.Key {
	k, _ := ctx.Value(callerKey{}).(*key.Key)
	return k
}

// accept gives the request an id and bounds its body.
func (e *Entry) accept(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rq := id.Request(id.New("rq", time.Now()))
		wire.DropInternal(r.Header)
		w.Header().Set(wire.HeaderRequestID, string(rq))
		r.Body = http.MaxBytesReader(w, r.Body, e.cfg.MaxBody)
		r = r.WithContext(context.WithValue(r.Context(), requestIDKey{}, rq))
		e.count("requests")
		if !e.deps.Follower.CaughtUp() {
			e.refuse(w, r, problem.New(problem.NotReady, problem.NotRun, http.StatusServiceUnavailable, "the entry has not read its configuration yet").WithRetryAfter(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// identify refuses a request without a valid key and drops the key from it.
func (e *Entry) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		r.Header.Del("Authorization")
		if !ok {
			e.refuse(w, r, problem.New(problem.KeyMissing, problem.NotRun, http.StatusUnauthorized, "expected Authorization: Bearer <key>"))
			return
		}
		k, err := e.deps.State.Keys.Check(key.Secret(secret))
		if err != nil {
			e.refuse(w, r, keyProblem(err))
			return
		}
		now := time.Now()
		e.decide(now, requestID(r.Context()), "identify", "key_valid", "key="+string(k.ID)+" workspace="+string(k.Workspace))
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, k)))
	})
}

// keyProblem returns the refusal for a key that did not check.
func keyProblem(err error) *problem.Problem {
	reason := problem.KeyUnknown
	var withdrawn *key.WithdrawnError
	if errors.As(err, &withdrawn) {
		reason = problem.KeyWithdrawn
	}
	return problem.New(reason, problem.NotRun, http.StatusUnauthorized, "%v", err)
}
