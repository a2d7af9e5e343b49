package rollout

// This file defines Controller, which decides when this gateway records the next step of an order.

import (
	"time"

	"github.com/ragwortpass/ragwortpass/feed"
	"github.com/ragwortpass/ragwortpass/id"
)

// stagger is the time between gateways that may record a step, from when it is due, so that they do not
// do so at the same time.
const stagger = 500 * time.Millisecond

// View is the state of the fleet as this gateway knows it when it takes a step.
type View struct {
	Rank   int      // of this gateway among the live ones that are not shutting down, from zero; negative: it acts for none
	Leader bool     // it is the first of them
	Era    feed.Era // newest era of the store that this gateway knows
}

// Action is the next thing to do: *Wait, *ReadRecords or *AppendRecord.
type Action interface{ action() }

// Wait means that there is nothing to do now.
type Wait struct{}

// ReadRecords asks for the newest records. The result goes to Controller.RecordsRead.
type ReadRecords struct{}

// AppendRecord asks to append a record if the topic ends at the expected position. Success
// goes to Controller.RecordAppended, any failure to Controller.RequireReread.
type AppendRecord struct {
	ExpectedEnd feed.Position
	Record      Record
	Detail      Detail
}

func (*Wait) action()         {}
func (*ReadRecords) action()  {}
func (*AppendRecord) action() {}

// Detail holds what a step was decided on, for the log.
type Detail struct {
	Repeated                  bool // the store has lost the record
	Answers, Failures         uint32
	OtherAnswers, OtherFailed uint32
	Upstreams, OtherUpstreams int
	OtherRunning              int
	SinceStart, UntilDeadline time.Duration
}

// Controller decides when this gateway records a step. It is not safe for concurrent use.
type Controller struct {
	node     id.Node
	register *Register
	isRead   bool                     // the records of end.Era have been read, and no append has failed since
	end      feed.Position            // of the topic
	stored   map[id.Service]Record    // as the store has them
	verified map[id.Service]State     // the known state when the store was last read or appended to
	dueSince map[id.Service]time.Time // since when a step has been due that the store does not have
}

// NewController returns a controller that has not read anything yet.
func NewController(node id.Node, register *Register) *Controller {
	return &Controller{node: node, register: register, stored: make(map[id.Service]Record), verified: make(map[id.Service]State), dueSince: make(map[id.Service]time.Time)}
}

// Step returns the next action.
func (c *Controller) Step(now time.Time, v View) Action {
	if v.Era > c.end.Era {
		c.isRead, c.end = false, feed.Position{Era: v.Era}
	}
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	for service, r := range c.register.rollouts {
		if r.unread && !r.withdrawn {
			continue
		}
		next, due := c.next(now, r, v.Leader)
		if !due {
			delete(c.dueSince, service)
			continue
		}
		since, known := c.dueSince[service]
		if !known {
			since = now
			c.dueSince[service] = now
		}
		if v.Rank < 0 || now.Sub(since) < time.Duration(v.Rank)*stagger {
			continue
		}
		if !c.isRead || c.verified[service] != r.record.State {
			return &ReadRecords{}
		}
		if stored := c.stored[service]; stored.Order > max(r.order.Offset, r.superseded) {
			continue // an order that this gateway has not read yet
		}
		return &AppendRecord{ExpectedEnd: c.end, Record: next, Detail: r.detail(now, next.State == r.record.State)}
	}
	return &Wait{}
}

// next returns the record that the store should have and does not have, as far as is known. Only the leader finds
// out whether the store has lost a record. The caller holds the lock of the register.
func (c *Controller) next(now time.Time, r *rollout, leads bool) (Record, bool) {
	stored := c.stored[r.order.Service]
	isStored := c.isRead && stored.of(&r.order) && stored.State >= r.record.State
	if r.record.State != Unknown && leads && !isStored {
		again := r.record
		again.Rejected = r.rejectedVersions()
		return again, true
	}
	state, reason := r.next(now, c.register.isolated)
	if state <= r.record.State {
		return Record{}, false
	}
	return Record{
		Service: r.order.Service, Target: r.order.Target, Order: r.order.Offset, State: state, Reason: reason,
		Started: r.started, At: now, By: c.node, Rejected: r.rejectedVersions(),
	}, true
}

// next returns the state that the order should be in now. A gateway that is isolated neither begins a shift nor finds that
// nothing runs on other versions.
func (r *rollout) next(now time.Time, isolated bool) (State, Reason) {
	target, others := r.loads()
	times := r.schedule()
	switch {
	case r.record.State.Final():
		return r.record.State, r.record.Reason
	case r.withdrawn:
		return RolledBack, ReasonWithdrawn
	case r.condemned != "":
		return RolledBack, r.condemned
	case !r.service.Known:
		return RolledBack, ReasonNoService
	case target.Upstreams+others.Upstreams == 0 && now.Before(times.Deadline) && r.record.State != Unknown:
		return r.record.State, "" // the listings have not been read, or nothing can be done
	case r.record.State == Unknown && r.runsTargetOnly():
		return Done, ReasonRunning
	case r.record.State == Unknown:
		return Canary, ReasonOrdered
	case r.record.State == Canary && now.Before(times.Shift):
		return Canary, ""
	case r.record.State == Canary && now.After(times.Undecide):
		if target.Upstreams == 0 {
			return RolledBack, ReasonAbsent
		}
		return RolledBack, ReasonUndecided
	case r.record.State == Canary:
		if !isolated && r.isGood() && float64(target.size()) >= minCapacity*float64(others.size()) {
			return Shifting, ReasonGood
		}
		return Canary, ""
	case target.Upstreams == 0:
		if now.Before(times.Finish) {
			return Shifting, ""
		}
		return RolledBack, ReasonAbsent
	case !isolated && r.otherRunning == 0 && r.allShifting && now.Sub(r.record.At) >= settleTime && now.Sub(r.knownSince) >= informTime && r.judge(suspected) == nil:
		return Done, ReasonMoved
	case now.Before(times.Finish):
		return Shifting, ""
	}
	if v := r.judge(inDoubt); v != nil {
		return RolledBack, v.Reason
	}
	return Done, ReasonTime
}

// detail returns what a step is decided on.
func (r *rollout) detail(now time.Time, repeated bool) Detail {
	all := r.whole.all()
	target, others := r.loads()
	return Detail{
		Repeated: repeated, Answers: all.Target.Answers, Failures: all.Target.Failures, OtherAnswers: all.Other.Answers, OtherFailed: all.Other.Failures,
		Upstreams: target.Upstreams, OtherUpstreams: others.Upstreams, OtherRunning: r.otherRunning,
		SinceStart: now.Sub(r.started), UntilDeadline: r.schedule().Deadline.Sub(now),
	}
}

// RequireReread records that an append has failed, or may have failed.
func (c *Controller) RequireReread() { c.isRead = false }

// RecordsRead takes over the newest records and the end of the topic. A record of a service without a known order holds for as long as
// none is read.
func (c *Controller) RecordsRead(records []Record, end feed.Position) (adopted []Record) {
	c.isRead, c.end = true, end
	clear(c.stored)
	for _, r := range records {
		c.stored[r.Service] = r
		c.register.noteRecord(r)
		if c.register.Adopt(r) {
			adopted = append(adopted, r)
		}
	}
	c.register.mu.Lock()
	defer c.register.mu.Unlock()
	for service, r := range c.register.rollouts {
		c.verified[service] = r.record.State
	}
	return adopted
}

// RecordAppended takes over a record that this gateway has appended, and the end of the topic after it.
func (c *Controller) RecordAppended(r Record, end feed.Position) {
	c.end = end
	c.stored[r.Service], c.verified[r.Service] = r, r.State
	c.register.Adopt(r)
}
