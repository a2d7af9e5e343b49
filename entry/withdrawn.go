package entry

// This file defines what a caller is told when its key is withdrawn while its request
// waits or its answer is being relayed.

import (
	"context"
	"errors"
	"net/http"

	"github.com/ragwortpass/ragwortpass/key"
	"github.com/ragwortpass/ragwortpass/problem"
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
