package pool

// This file defines when answers are expected to end, for the log: an engine that reads prompts all the time makes few
// steps, so that answers which begin in time are cut at their deadlines. No decision goes by it (docs/design/pace.md).

import (
	"time"

	"github.com/ragwortpass/ragwortpass/pace"
)

// meanLoadTime is the time over which the load beside an answer is taken to be what it was.
const meanLoadTime = 3 * time.Second

// followLoad updates the mean load of an upstream, paceInterval after the last time. The caller holds the lock.
func (p *Pool) followLoad(u *upstreamState, fleet runningEstimate) {
	const weight = float64(paceInterval) / float64(meanLoadTime)
	present := p.conditions(u, fleet)
	u.meanLoad.Running += weight * (present.Running - u.meanLoad.Running)
	u.meanLoad.Unread += weight * (present.Unread - u.meanLoad.Unread)
}

// expectedTokens returns how many tokens an answer is expected to have, or may have if the caller does not tell.
func (p *Prompt) expectedTokens() float64 {
	if p.Hint > 0 {
		return float64(p.Hint)
	}
	return float64(p.Output)
}

// timeToEnd returns how long the whole answer to a request is expected to take that begins after some time, and zero if
// that is not known. The caller holds the lock.
func (p *Pool) timeToEnd(u *upstreamState, begins time.Duration, prompt *Prompt) time.Duration {
	common := &p.pacesOf(u.Service).common
	load := pace.Conditions{Running: u.meanLoad.Running + 1, Unread: u.meanLoad.Unread}
	events, step := common.Events(prompt.expectedTokens()), common.StepTime(u.pace, load)
	if events == 0 || step == 0 {
		return 0
	}
	return begins + time.Duration(events*float64(step))
}
