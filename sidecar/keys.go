package sidecar

// This file defines how a sidecar uses keys and the log offsets that entries report: it
// checks the key of each request again, and cancels the requests of a withdrawn key.

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

// staleConfigTimeout is how long a request waits until the sidecar has applied the log up
// to its entry's offset. It covers learning the offset and fetching the state.
const staleConfigTimeout = 1500 * time.Millisecond

// trackKeyUse checks the request's key. It returns a context that ends when the key is
// withdrawn, or the refusal of the request. The returned function must be called when the
// request ends.
func (s *Sidecar) trackKeyUse(ctx context.Context, e wire.Envelope) (context.Context, func(), *problem.Problem) {
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
			"key %q does not belong to workspace %q", e.Key, e.Workspace)
	}
	ctx, done := s.requestTracker.Track(ctx, e.Key)
	return ctx, done, nil
}

// findKey returns the request's key. If the key is unknown and the entry has applied more
// of the log than this sidecar, it waits a short time for the key.
func (s *Sidecar) findKey(ctx context.Context, e wire.Envelope) (*key.Key, error) {
	end := time.NewTimer(staleConfigTimeout)
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

// withWithdrawal returns the refusal for a withdrawn key if that is why ctx ended before
// the request ran, otherwise p.
func withWithdrawal(ctx context.Context, p *problem.Problem) *problem.Problem {
	var withdrawn *key.WithdrawnError
	if !errors.As(context.Cause(ctx), &withdrawn) {
		return p
	}
	return problem.New(problem.KeyWithdrawn, problem.NotRun, http.StatusUnauthorized, "%v", withdrawn)
}

// endWithTrailer ends a stream whose key has been withdrawn and gives the reason in a
// trailer. It reports false if the key is not withdrawn or the answer is not a stream. Only a
// stream can be ended in this way: its last event is missing, so the entry does not take it
// for complete.
func (s *Sidecar) endWithTrailer(ctx context.Context, w http.ResponseWriter) bool {
	var withdrawn *key.WithdrawnError
	if !errors.As(context.Cause(ctx), &withdrawn) || !strings.HasPrefix(w.Header().Get("Content-Type"), "text/event-stream") {
		return false
	}
	w.Header().Set(http.TrailerPrefix+wire.HeaderRefused, string(problem.KeyWithdrawn))
	return true
}

// fetchIfBehind fetches an entry's state if the reported offset is ahead of this sidecar.
func (s *Sidecar) fetchIfBehind(address string, offset id.Offset) {
	if address == "" || offset <= s.deps.State.Offset() {
		return
	}
	go s.deps.PeerFetcher.ObserveHeartbeat(context.Background(), time.Now(), address, offset)
}

// cancelWithdrawn cancels the requests of a key when the key's withdrawal is applied.
func (s *Sidecar) cancelWithdrawn() {
	logbook.CancelWithdrawn(s.deps.State, s.requestTracker, func(n int) { s.add("sidecar_ended_key_withdrawn", n) })
}
