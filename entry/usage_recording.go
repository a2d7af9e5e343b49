package entry

// This file defines how the usage of answered requests is recorded, for billing.

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/ragwortpass/ragwortpass/usage"
)

// recordAnswer records a complete answer, also for the prediction of the length of later
// answers.
func (e *Entry) recordAnswer(rq *request, u tokenUsage) {
	metrics.GetOrRegisterCounter("answered_"+string(rq.class.Name), e.deps.Metrics).Inc(1)
	if rq.service == "" {
		e.lengthPredictor.Observe(rq.class.Name, rq.workspace(), u.output)
	}
	e.recordUsage(rq, u)
}

// recordPartialAnswer records the part of an interrupted answer that the caller
// received. An answer without output is not billed.
func (e *Entry) recordPartialAnswer(rq *request, u tokenUsage) {
	if u.output > 0 {
		e.recordUsage(rq, u)
	}
}

func (e *Entry) recordUsage(rq *request, u tokenUsage) {
	rq.deliveredOutput = u.output
	metrics.GetOrRegisterCounter("output_tokens", e.deps.Metrics).Inc(int64(u.output))
	w := usage.WindowAt(time.Now(), e.cfg.Usage.WindowLength)
	line := usage.LineKey{Workspace: rq.workspace(), Class: rq.class.Name, Model: rq.model}
	e.usageWriter.counted.Add(w, line, usage.Counts{Requests: 1, PromptTokens: u.prompt, OutputTokens: u.output})
}
