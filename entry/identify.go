package entry

// This file defines the first filters: accept assigns a request id and drops the
// headers that only the router may set; identify authenticates the caller's key.

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

// requestID returns the id that accept assigned.
func requestID(ctx context.Context) id.Request {
	rq, _ := ctx.Value(requestIDKey{}).(id.Request)
	return rq
}

// authenticatedKey returns the key that identify has authenticated.
func authenticatedKey(ctx context.Context) *key.Key {
	k, _ := ctx.Value(callerKey{}).(*key.Key)
	return k
}

// accept assigns a request id, drops the headers that only the router may set, and limits
// the size of the body. It refuses every request until the entry has caught up with the
// log.
func (e *Entry) accept(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rq := id.Request(id.New("rq", time.Now()))
		wire.DropInternalHeaders(r.Header)
		w.Header().Set(wire.HeaderRequestID, string(rq))
		r.Body = http.MaxBytesReader(w, r.Body, e.cfg.MaxBodyBytes)
		r = r.WithContext(context.WithValue(r.Context(), requestIDKey{}, rq))
		e.count("requests")
		if !e.deps.Follower.CaughtUp() {
			e.refuse(w, r, problem.New(problem.NotReady, problem.NotRun, http.StatusServiceUnavailable, "the entry has not read its configuration yet").WithRetryAfter(time.Second))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// identify refuses a request without a valid key and removes the key from the headers.
// The request ends when the key is withdrawn, also while it is queued or being answered.
func (e *Entry) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		secret, ok := bearer(r.Header.Get("Authorization"))
		r.Header.Del("Authorization")
		if !ok {
			e.refuse(w, r, problem.New(problem.KeyMissing, problem.NotRun, http.StatusUnauthorized, "expected Authorization: Bearer <key>"))
			return
		}
		k, err := e.deps.State.Keys.Authenticate(key.Secret(secret))
		if err != nil {
			e.refuse(w, r, keyProblem(err))
			return
		}
		now := time.Now()
		e.traceDecision(now, requestID(r.Context()), "identify", "key_valid", "key="+string(k.ID)+" workspace="+string(k.Workspace))
		ctx, done := e.requestTracker.Track(context.WithValue(r.Context(), callerKey{}, k), k.ID)
		defer done()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// bearer returns the credentials of an Authorization header. The scheme is not case
// sensitive.
func bearer(header string) (string, bool) {
	scheme, credentials, ok := strings.Cut(header, " ")
	return credentials, ok && strings.EqualFold(scheme, "Bearer")
}

// keyProblem returns the refusal for a failed key check. It names the key only if the
// presented secret was right. Otherwise it repeats no part of the presented text, which may
// be some other secret that was sent by mistake.
func keyProblem(err error) *problem.Problem {
	var withdrawn *key.WithdrawnError
	if errors.As(err, &withdrawn) {
		return problem.New(problem.KeyWithdrawn, problem.NotRun, http.StatusUnauthorized, "%v", err)
	}
	return problem.New(problem.KeyUnknown, problem.NotRun, http.StatusUnauthorized, "the key is not known")
}
