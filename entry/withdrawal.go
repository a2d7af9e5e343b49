package entry

// This file defines the refusal of a request whose key is withdrawn while the request is
// queued or its answer is being relayed.

import (
	"context"
	"errors"
	"net/http"

	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

// withWithdrawal returns the refusal for a withdrawn key if that is why ctx ended,
// otherwise p.
func withWithdrawal(ctx context.Context, p *problem.Problem) *problem.Problem {
	var withdrawn *key.WithdrawnError
	if p.Reason == problem.KeyWithdrawn || !errors.As(context.Cause(ctx), &withdrawn) {
		return p
	}
	return problem.New(problem.KeyWithdrawn, p.Run, http.StatusUnauthorized, "%v", withdrawn)
}

// withTrailerRefusal returns the failure for a withdrawn key if the sidecar ended the answer
// for that reason, otherwise res. The sidecar sends the reason in a trailer, since the
// answer has begun; it may learn of a withdrawal before the entry does.
func withTrailerRefusal(u *upstream.View, rs *http.Response, res attemptResult) attemptResult {
	reason := problem.Reason(rs.Trailer.Get(wire.HeaderRefused))
	failure, ok := res.(*attemptFailed)
	if !ok || reason != problem.KeyWithdrawn {
		return res
	}
	replaced := *failure
	replaced.problem = problem.New(reason, failure.problem.Run, http.StatusUnauthorized, "upstream %s: the sidecar reports that the key is withdrawn", u.ID)
	return &replaced
}
