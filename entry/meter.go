package entry

// This file defines meter: what a request delivered is counted for billing.

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/usage"
)

// meter counts a whole answer.
func (e *Entry) meter(rq *request, u used) {
	metrics.GetOrRegisterCounter("answered_"+string(rq.class.Name), e.deps.Metrics).Inc(1)
	if rq.service == "" {
		e.lengths.Observe(rq.class.Name, rq.workspace(), u.output)
	}
	e.bill(rq, u)
}

// meterPart counts what a caller got of an answer that broke off. If that is
// nothing, nothing is billed.
func (e *Entry) meterPart(rq *request, u used) {
	if u.output > 0 {
		e.bill(rq, u)
	}
}

func (e *Entry) bill(rq *request, u used) {
	rq.delivered = u.output
	metrics.GetOrRegisterCounter("output_tokens", e.deps.Metrics).Inc(int64(u.output))
	w := usage.WindowAt(time.Now(), e.cfg.Usage.WindowLength)
	line := usage.LineKey{Workspace: rq.workspace(), Class: rq.class.Name, Model: rq.model}
	e.billing.meter.Add(w, line, usage.Counts{Requests: 1, PromptTokens: u.prompt, OutputTokens: u.output})
}
