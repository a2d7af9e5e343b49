package sidecar

// This file defines what a sidecar makes of keys and of the offsets that entries
// name: it checks each request's key again, and ends what a withdrawn key runs.

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/wire"
)

// staleWait is how long a request waits for the sidecar to fold what its entry has:
// time to hear of the offset and to fetch the state.
const staleWait = 1500 * time.Millisecond

// use returns a context that ends when the request's key is withdrawn, or the reason
// to refuse the request. The function returned must be called at the end of the use.
func (s *Sidecar) use(ctx context.Context, e wire.Envelope) (context.Context, func(), *problem.Problem) {
	k, err := s.findKey(ctx, e)
	var withdrawn *key.WithdrawnError
	switch {
	case errors.As(err, &withdrawn):
		return nil, nil, problem.New(problem.KeyWithdrawn, problem.NotRun, http.StatusUnauthorized, "%v", err)
	case err != nil && s.deps.State.Offset() < e.ConfigOffset:
		return nil, nil, problem.New(problem.StaleConfig, problem.NotRun, http.StatusServiceUnavailable,
			"sidecar is at offset %d, the entry at %d", s.deps.State.Offset(), e.ConfigOffset)
	case err != nil:
		return nil, nil, problem.New(problem.KeyUnknown, problem.NotRun, http.StatusUnauthorized, "%v", err)
	case k.Workspace != e.Workspace:
		return nil, nil, problem.New(problem.KeyUnknown, problem.NotRun, http.StatusUnauthorized,
			"key %q is not of workspace %q", e.Key, e.Workspace)
	}
	ctx, done := s.uses.Track(ctx, e.Key)
	return ctx, done, nil
}

// findKey looks the request's key up. One that is not known yet is waited for a
// short while if the entry has folded more than the sidecar.
func (s *Sidecar) findKey(ctx context.Context, e wire.Envelope) (*key.Key, error) {
	end := time.NewTimer(staleWait)
	defer end.Stop()
	for {
		changed := s.deps.State.Changed()
		k, err := s.deps.State.Keys.Find(e.Key)
		var unknown *key.UnknownError
		if !errors.As(err, &unknown) || s.deps.State.Offset() >= e.ConfigOffset {
			return k, err
		}
		select {
		case <-changed:
		case <-end.C:
			return nil, err
		case <-ctx.Done():
			return nil, err
		}
	}
}

// cause returns p, or the refusal for a withdrawn key if that is why the request was
// given up before it ran.
func cause(ctx context.Context, p *problem.Problem) *problem.Problem {
	var withdrawn *key.WithdrawnError
	if !errors.As(context.Cause(ctx), &withdrawn) {
		return p
	}
	return problem.New(problem.KeyWithdrawn, problem.NotRun, http.StatusUnauthorized, "%v", withdrawn)
}

// endedByWithdrawal ends a stream whose key has been withdrawn, and tells the entry
// why in a trailer. Only a stream may end without its last byte: the entry misses its
// last event and does not take it for whole.
func (s *Sidecar) endedByWithdrawal(ctx context.Context, w http.ResponseWriter) bool {
	var withdrawn *key.WithdrawnError
	if !errors.As(context.Cause(ctx), &withdrawn) || !strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		return false
	}
	w.Header().Set(http.TrailerPrefix+wire.HeaderRefused, string(problem.KeyWithdrawn))
	return true
}

// heard takes the offset that an entry named; what the sidecar lacks is fetched.
func (s *Sidecar) heard(address string, offset id.Offset) {
	if address == "" || offset <= s.deps.State.Offset() {
		return
	}
	go s.deps.Catcher.ObserveHeartbeat(context.Background(), time.Now(), address, offset)
}

// endWithdrawn ends the uses of a key when its withdrawal is folded.
func (s *Sidecar) endWithdrawn() {
	logbook.CancelWithdrawn(s.deps.State, s.uses, func(n int) { s.add("sidecar_ended_key_withdrawn", n) })
}
