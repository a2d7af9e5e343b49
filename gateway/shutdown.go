package gateway

// This file defines the shutdown of a Program within the grace period of the platform.

import (
	"os"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/peer"
)

const (
	// shutdownAcceptPeriod is how long a process that is shutting down accepts every new
	// request. The load balancer checks readiness once a second and removes a process after
	// two failed checks; requests accepted later may not finish in time.
	shutdownAcceptPeriod = 2800 * time.Millisecond
	// shutdownReadyPeriod is how long a process that is shutting down stays ready if all
	// others are shutting down as well. A load balancer that checks once a second and needs
	// two failed checks must have removed it within four seconds.
	shutdownReadyPeriod = 1800 * time.Millisecond
	// shutdownIdlePeriod is how long no request must have arrived before a process that is
	// shutting down ends. It exceeds the time for which a busy VM leaves a request unread.
	shutdownIdlePeriod = 500 * time.Millisecond
	// shutdownPollInterval is the time between two checks of whether the process may end.
	shutdownPollInterval = 50 * time.Millisecond
	// shutdownMargin is the time between the planned end of the process and the platform's
	// SIGKILL.
	shutdownMargin = 400 * time.Millisecond
)

// gracePeriod is the time from a SIGTERM to the planned end of the process. The time for which the
// VM is suspended is part of it: the platform's SIGKILL comes no later for that.
type gracePeriod struct {
	bootNow func() time.Time // of a clock that also counts suspensions
	began   time.Time        // by bootNow
	length  time.Duration
}

func (g *gracePeriod) elapsed() time.Duration { return g.bootNow().Sub(g.began) }

// left returns the time until the end of the process, which is not negative.
func (g *gracePeriod) left() time.Duration { return max(0, g.length-g.elapsed()) }

// poll waits until done reports true or the grace period has ended.
func (g *gracePeriod) poll(done func() bool) {
	for !done() && g.left() > 0 {
		time.Sleep(min(g.left(), shutdownPollInterval))
	}
}

// shutDown ends the service within the grace period that the platform gives. It serves
// all requests until the load balancer has noticed, then refuses those that may outlast
// the process, and returns when running requests have finished and no new ones arrive.
//
// Callers use open connections until these are closed. Every response during the
// shutdown is therefore the last one on its connection: closing a connection while a
// request is on its way would lose the request.
func (p *Program) shutDown(sig os.Signal) error {
	p.gateway.BeginShutdown(time.Now())
	_ = p.logger.Log("event", "leaving", "signal", sig, "running", p.gateway.InFlight())
	grace := &gracePeriod{bootNow: p.bootNow, began: p.bootNow(), length: durationS(p.settings.Bounds.GraceS) - shutdownMargin}
	grace.poll(func() bool { return grace.elapsed() >= shutdownAcceptPeriod })
	grace.poll(func() bool {
		p.gateway.SetShutdownDeadline(time.Now().Add(grace.left()))
		return p.gateway.Idle(time.Now(), shutdownIdlePeriod)
	})
	err := p.callers.Close()
	grace.poll(func() bool { // some requests may outlast the grace period; the log line counts them
		p.gateway.SetShutdownDeadline(time.Now().Add(grace.left()))
		p.callers.CloseIdle(time.Now(), shutdownIdlePeriod)
		return p.callers.Len() == 0
	})
	_ = p.logger.Log("event", "left", "after", grace.elapsed(), "running", p.gateway.InFlight(), "connections", p.callers.Len(), "err", err)
	return err
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
