package logbook

// This file defines what the records of leases, usage and orders do to the state.

import (
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// applyDuty folds the records of leases and of what their holders do.
func (s *State) applyDuty(offset id.Offset, r *ragwortv1.Record) Result {
	switch b := r.GetBody().(type) {
	case *ragwortv1.Record_LeaseClaimed:
		return accepted(s.Leases.ApplyClaim(offset, b.LeaseClaimed), Conflict)
	case *ragwortv1.Record_LeaseRenewed:
		return accepted(s.Leases.ApplyRenewal(offset, b.LeaseRenewed), Conflict)
	case *ragwortv1.Record_LeaseReleased:
		return accepted(s.Leases.ApplyRelease(offset, b.LeaseReleased), Conflict)
	case *ragwortv1.Record_OrderDecided:
		return accepted(s.Orders.ApplyDecided(b.OrderDecided, s.current(id.DutyOrders, b.OrderDecided.GetTerm())), Conflict)
	case *ragwortv1.Record_OrderSettled:
		return accepted(s.Orders.ApplySettled(b.OrderSettled, s.current(id.DutyOrders, b.OrderSettled.GetTerm())), Conflict)
	case *ragwortv1.Record_UsageCounted:
		return accepted(s.Usage.ApplyCounted(b.UsageCounted), Invalid)
	case *ragwortv1.Record_WindowClosed:
		return accepted(s.Usage.ApplyClosed(offset, b.WindowClosed, s.current(id.DutyUsage, b.WindowClosed.GetTerm())), Conflict)
	case *ragwortv1.Record_WindowReported:
		return accepted(s.Usage.ApplyReported(b.WindowReported), Conflict)
	default:
		return Unknown
	}
}

// current reports whether term is the fencing number in force for a duty.
func (s *State) current(duty id.Duty, term uint64) bool {
	return s.Leases.Current(duty, id.Term(term))
}
