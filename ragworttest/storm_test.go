package ragworttest_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/standin"
)

// When every answer fails, the attempts stay within one for each request and the
// retry budget: a fifth of the requests, a reserve of 64, and one a second. Who is
// given up gets the refusal at once, with advice when to come back.
func TestRetryStorm(t *testing.T) {
	e, _, g, key := single(t, standin.DefaultEngineConfig())
	g.SetFaults(standin.EngineFaults{CutNext: 1 << 30})
	const requests = 80
	start, spent := time.Now(), 0
	for range requests {
		rs := send(t, e, key, "storm", "")
		got := listen(t, rs)
		rs.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, got.status, got.failed)
		require.Equal(t, "unknown", gjson.Get(got.failed, "run").Str)
		require.NotEmpty(t, rs.Header.Get("Retry-After"))
		if gjson.Get(got.failed, "reason").Str == "retry_budget_spent" {
			spent++
		}
	}
	require.Positive(t, spent)
	budget := 64 + requests/5 + time.Since(start).Seconds() + 1
	require.LessOrEqual(t, float64(g.Stats().Requests), requests+budget)
	require.EqualValues(t, spent, counter(t, e, "refused_retry_budget_spent"))
}
