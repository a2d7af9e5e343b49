package entry

// This file defines meter: what a request delivered is counted for billing.

import "github.com/rcrowley/go-metrics"

// meter counts what rq delivered.
func (e *Entry) meter(rq *request, u used) {
	metrics.GetOrRegisterCounter("answered_"+string(rq.class.Name), e.deps.Metrics).Inc(1)
	metrics.GetOrRegisterCounter("output_tokens", e.deps.Metrics).Inc(int64(u.output))
}
