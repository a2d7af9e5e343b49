package ragworttest_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"github.com/ragwortpass/ragwortpass/standin"
)

// TestRetryStorm guards against retries that multiply the load when every answer fails: the
// attempts must stay within one for each request plus the retry budget, which is a fifth of the
// requests, a reserve of 64, and one a second. A request that gets no retry must be refused
// at once, with a Retry-After header.
func TestRetryStorm(t *testing.T) {
	e, _, g, key := newSingleEngineFleet(t, standin.DefaultEngineConfig())
	g.SetFaults(standin.EngineFaults{CutNext: 1 << 30})
	const requests = 80
	start, budgetRefusals := time.Now(), 0
	for range requests {
		rs := sendChat(t, e, key, "storm", "")
		got := readAnswer(t, rs)
		rs.Body.Close()
		require.Equal(t, http.StatusBadGateway, got.status, got.errorBody)
		require.Equal(t, "unknown", gjson.Get(got.errorBody, "run").Str)
		require.NotEmpty(t, rs.Header.Get("Retry-After"))
		if gjson.Get(got.errorBody, "reason").Str == "retry_budget_spent" {
			budgetRefusals++
		}
	}
	require.Positive(t, budgetRefusals)
	budget := 64 + requests/5 + time.Since(start).Seconds() + 1
	require.LessOrEqual(t, float64(g.Stats().Requests), requests+budget)
	require.EqualValues(t, budgetRefusals, counterValue(t, e, "refused_retry_budget_spent"))
}
