package gateway

// This file defines the planned stop of a Program within the grace period of the platform. It is a
// sequence of phases; stopSchedule decides when the next one begins, and plannedStop does what each
// phase is for.
//
// Callers use open connections until these are closed. Every response during a stop is therefore the
// last one on its connection: closing a connection while a request is on its way would lose the request.

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortpass/ragwortpass/peer"
	"github.com/ragwortpass/ragwortpass/problem"
)

const (
	// shutdownAcceptPeriod is how long a process that is shutting down serves every new
	// request. The load balancer checks readiness once a second and removes a process after
	// two failed checks; requests accepted later may not finish in time.
	shutdownAcceptPeriod = 2800 * time.Millisecond
	// shutdownReadyPeriod is how long a process that is shutting down stays ready if all
	// others are shutting down as well. A load balancer that checks once a second and needs
	// two failed checks must have removed it within four seconds.
	shutdownReadyPeriod = 1800 * time.Millisecond
	// shutdownIdlePeriod is how long no request must have arrived before a process that is
	// shutting down closes its listener, and before it closes a connection. It exceeds the time
	// for which a busy VM leaves a request unread.
	shutdownIdlePeriod = 500 * time.Millisecond
	// shutdownClosePeriod is the time from the close of the listener to the last answers, at the
	// least. A connection that is accepted last is kept for shutdownIdlePeriod, and its request
	// then has the time to be refused.
	shutdownClosePeriod = shutdownIdlePeriod + 200*time.Millisecond
	// shutdownAnswerPeriod is how long before the planned end those who still wait are answered.
	shutdownAnswerPeriod = 100 * time.Millisecond
	// shutdownPollInterval is the time between two checks of whether the next phase begins.
	shutdownPollInterval = 50 * time.Millisecond
	// shutdownAnswerPollInterval is the same in the phase that answers those who still wait.
	shutdownAnswerPollInterval = 10 * time.Millisecond
	// shutdownMargin is the time between the planned end of the process and the platform's
	// SIGKILL.
	shutdownMargin = 400 * time.Millisecond
)

// stopPhase is a phase of a planned stop. The phases follow each other in this order.
type stopPhase int

const (
	stopServing   stopPhase = iota // every request is served
	stopRefusing                   // requests that may outlast the process are refused
	stopClosing                    // no connection is accepted, and idle ones are closed
	stopAnswering                  // those who still wait are told that the process ends
	stopEnded                      // what is left is cut
)

var stopPhaseNames = [...]string{stopServing: "serving", stopRefusing: "refusing", stopClosing: "closing", stopAnswering: "answering", stopEnded: "ended"}

func (p stopPhase) String() string { return stopPhaseNames[p] }

// stopSchedule holds the times since the SIGTERM at which phases begin at the latest.
type stopSchedule struct{ refusing, closing, answering, ended time.Duration }

// newStopSchedule returns the schedule of a stop that the platform ends after the grace period.
func newStopSchedule(grace time.Duration) stopSchedule {
	ended := max(0, grace-shutdownMargin)
	answering := max(0, ended-shutdownAnswerPeriod)
	closing := max(0, answering-shutdownClosePeriod)
	return stopSchedule{refusing: min(shutdownAcceptPeriod, closing), closing: closing, answering: answering, ended: ended}
}

// stopStatus is what a stopSchedule decides by.
type stopStatus struct {
	elapsed     time.Duration // since the SIGTERM, suspensions of the VM included
	inPhase     time.Duration // since the phase began, without suspensions
	quiet       bool          // no request is being served, and none has arrived for shutdownIdlePeriod
	connections int
}

// next returns the phase that follows p now, or p. A VM that was suspended goes through every phase, and still
// has shutdownAnswerPeriod for answers.
func (s stopSchedule) next(p stopPhase, now stopStatus) stopPhase {
	switch p {
	case stopServing:
		if now.elapsed >= s.refusing {
			return stopRefusing
		}
	case stopRefusing:
		if now.quiet || now.elapsed >= s.closing {
			return stopClosing
		}
	case stopClosing:
		switch {
		case now.connections == 0:
			return stopEnded
		case now.elapsed >= s.answering:
			return stopAnswering
		}
	case stopAnswering:
		if now.connections == 0 || now.elapsed >= s.ended && now.inPhase >= shutdownAnswerPeriod {
			return stopEnded
		}
	case stopEnded:
	}
	return p
}

// plannedStop is a planned stop that is under way.
type plannedStop struct {
	program  *Program
	schedule stopSchedule
	began    time.Time // by the clock that also counts suspensions
	phase    stopPhase
	entered  time.Time // when the phase began
	counts   stopCounts
}

// stopCounts are the connections and requests that a stop has ended.
type stopCounts struct {
	idle        int // connections without a request
	heads       int // requests refused while their heads were being read
	interrupted int // requests answered while an upstream had them
}

// shutDown stops the service within the grace period that the platform gives.
func (p *Program) shutDown(sig os.Signal) error {
	p.gateway.BeginShutdown(time.Now())
	_ = p.logger.Log("event", "leaving", "signal", sig, "running", p.gateway.InFlight())
	s := &plannedStop{program: p, schedule: newStopSchedule(durationS(p.settings.Bounds.GraceS)), began: p.bootNow(), entered: time.Now()}
	var err error
	for s.phase != stopEnded {
		now := time.Now()
		s.act(now)
		if next := s.schedule.next(s.phase, s.status(now)); next != s.phase {
			s.phase, s.entered = next, now
			if next == stopClosing {
				err = p.callers.Stop()
			}
			continue
		}
		time.Sleep(s.pollInterval())
	}
	s.logEnd(err)
	return err
}

func (s *plannedStop) elapsed() time.Duration { return s.program.bootNow().Sub(s.began) }

func (s *plannedStop) status(now time.Time) stopStatus {
	return stopStatus{
		elapsed: s.elapsed(), inPhase: now.Sub(s.entered),
		quiet: s.program.gateway.Idle(now, shutdownIdlePeriod), connections: s.program.callers.Len(),
	}
}

// act does what the phase is for. It is called repeatedly.
func (s *plannedStop) act(now time.Time) {
	p := s.program
	if s.phase >= stopRefusing {
		p.gateway.SetShutdownDeadline(now.Add(max(0, s.schedule.answering-s.elapsed())))
	}
	if s.phase >= stopClosing {
		s.counts.idle += p.callers.CloseIdle(now, shutdownIdlePeriod)
	}
	if s.phase >= stopAnswering {
		s.counts.heads += p.callers.RefuseHeads(now.Add(-shutdownPollInterval), p.gateway.incompleteHeadAnswer())
		s.counts.interrupted += p.gateway.attempts.endUnanswered()
	}
}

// pollInterval returns the time until the next check.
func (s *plannedStop) pollInterval() time.Duration {
	if s.phase == stopAnswering {
		return shutdownAnswerPollInterval
	}
	latest := map[stopPhase]time.Duration{stopServing: s.schedule.refusing, stopRefusing: s.schedule.closing, stopClosing: s.schedule.answering}
	return min(shutdownPollInterval, max(time.Millisecond, latest[s.phase]-s.elapsed()))
}

// logEnd logs how the stop has ended, and what is cut: connections without a request, and requests by whether
// they are being read, wait for an upstream, or were passed on to one. Those that were answered are not among them.
func (s *plannedStop) logEnd(err error) {
	g := s.program.gateway
	open, passedOn := s.program.callers.States(), g.attempts.endAll()
	reading, answered := g.bodies.count()
	_ = s.program.logger.Log("event", "left", "after", s.elapsed(),
		"closed_idle", s.counts.idle, "refused_reading", s.counts.heads, "interrupted", s.counts.interrupted,
		"cut_idle", open.Idle, "cut_reading", open.Reading+reading, "cut_waiting", max(0, open.Serving-reading-answered-passedOn), "cut_passed_on", passedOn, "err", err)
}

// incompleteHeadAnswer returns the response to a request of which the process will not read the whole head.
func (g *Gateway) incompleteHeadAnswer() []byte {
	p := problem.New(problem.Leaving, problem.NotRun, http.StatusServiceUnavailable, "the process ends before the head of the request is complete")
	body, err := json.Marshal(p)
	if err != nil {
		_ = g.deps.Logger.Log("event", "answer_not_made", "err", err) // the status alone says it
	}
	resp := &http.Response{
		StatusCode: p.Status, ProtoMajor: 1, ProtoMinor: 1, Close: true, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body)),
		Header: http.Header{"Content-Type": {problem.ContentType}, "Retry-After": {strconv.FormatFloat(shutdownRetryAfter.Seconds(), 'f', 3, 64)}},
	}
	var text bytes.Buffer
	if err := resp.Write(&text); err != nil {
		_ = g.deps.Logger.Log("event", "answer_not_made", "err", err)
	}
	return text.Bytes()
}

// count returns how many bodies are being read, and of how many the rest is whose requests were answered.
func (b *bodyReads) count() (reading, answered int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.reads {
		if r.answered {
			answered++
		} else {
			reading++
		}
	}
	return reading, answered
}

// staysReady reports whether a process that is shutting down stays ready for now. This
// is for rolling restarts that go on to the next process before the previous one has
// ended: with no gateway ready, a load balancer sends callers to all of them, those
// included that are about to end.
func (p *Program) staysReady(now time.Time) bool {
	started := p.gateway.ShutdownStarted()
	if started.IsZero() || now.Sub(started) >= shutdownReadyPeriod || p.gateway.deps.Catalog.Load() == nil {
		return false
	}
	return !slices.ContainsFunc(p.table.Live(now), func(r *peer.Row) bool { return !r.GetLeaving() })
}
