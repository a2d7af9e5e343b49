package entry

// This file defines what a caller is told when its key is withdrawn while its request
// waits or its answer is being relayed.

import (
	"context"
	"errors"
	"net/http"

	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/problem"
	"github.com/ragwortpass/ragwortpass/upstream"
	"github.com/ragwortpass/ragwortpass/wire"
)

// cause returns p, or the refusal for a withdrawn key if that is why the request
// was given up.
func cause(ctx context.Context, p *problem.Problem) *problem.Problem {
	var withdrawn *key.WithdrawnError
	if p.Reason == problem.KeyWithdrawn || !errors.As(context.Cause(ctx), &withdrawn) {
		return p
	}
	return problem.New(problem.KeyWithdrawn, p.Run, http.StatusUnauthorized, "%v", withdrawn)
}

// refusedLate returns res, or the reason for which the sidecar ended the answer after
// it had begun. The sidecar may learn of a withdrawal before the entry does.
func refusedLate(u *upstream.View, rs *http.Response, res result) result {
	reason := problem.Reason(rs.Trailer.Get(wire.HeaderRefused))
	b, ok := res.(*broken)
	if !ok || reason != problem.KeyWithdrawn {
		return res
	}
	c := *b
	c.problem = problem.New(reason, b.problem.Run, http.StatusUnauthorized, "upstream %s: the key is withdrawn", u.ID)
	return &c
}
