package logbook

// This file defines how records of leases, orders and usage change the state.

import (
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// applyDutyRecord applies records of leases, and of the orders and usage that lease
// holders process. It returns Unknown for other records.
func (s *State) applyDutyRecord(offset id.Offset, r *ragwortv1.Record) Result {
	switch b := r.GetBody().(type) {
	case *ragwortv1.Record_LeaseClaimed:
		return resultOf(s.Leases.ApplyClaim(offset, b.LeaseClaimed), Conflict)
	case *ragwortv1.Record_LeaseRenewed:
		return resultOf(s.Leases.ApplyRenewal(offset, b.LeaseRenewed), Conflict)
	case *ragwortv1.Record_LeaseReleased:
		return resultOf(s.Leases.ApplyRelease(offset, b.LeaseReleased), Conflict)
	case *ragwortv1.Record_OrderDecided:
		return resultOf(s.Orders.ApplyDecided(b.OrderDecided, s.isCurrentTerm(id.DutyOrders, b.OrderDecided.GetTerm())), Conflict)
	case *ragwortv1.Record_OrderSettled:
		return resultOf(s.Orders.ApplySettled(b.OrderSettled, s.isCurrentTerm(id.DutyOrders, b.OrderSettled.GetTerm())), Conflict)
	case *ragwortv1.Record_UsageCounted:
		return resultOf(s.Usage.ApplyCounted(b.UsageCounted), Invalid)
	case *ragwortv1.Record_WindowClosed:
		return resultOf(s.Usage.ApplyClosed(offset, b.WindowClosed, s.isCurrentTerm(id.DutyUsage, b.WindowClosed.GetTerm())), Conflict)
	case *ragwortv1.Record_WindowReported:
		return resultOf(s.Usage.ApplyReported(b.WindowReported), Conflict)
	default:
		return Unknown
	}
}

// isCurrentTerm reports whether term is the current fencing number of a duty's lease.
func (s *State) isCurrentTerm(duty id.Duty, term uint64) bool {
	return s.Leases.Current(duty, id.Term(term))
}
