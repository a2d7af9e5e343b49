package entry

// This file defines usageReporter, which does the work of the usage lease: it closes
// usage windows on the log and reports closed windows to the platform.

import (
	"context"
	"errors"
	"time"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/usage"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// usageReporter does the work of the usage lease.
type usageReporter struct {
	e    *Entry
	task *leaseTask
}

func newUsageReporter(e *Entry) *usageReporter {
	r := &usageReporter{e: e}
	r.task = newLeaseTask(e, e.deps.Usage, id.DutyUsage, r.step)
	return r
}

// step closes or reports one window if that is due.
func (r *usageReporter) step(ctx context.Context) {
	switch action := usage.NextAction(time.Now(), r.task.stream.State.Usage, r.e.cfg.Usage).(type) {
	case *usage.CloseWindow:
		r.closeWindow(ctx, action)
	case *usage.SendReport:
		r.report(ctx, action.Closed)
	case *usage.Wait:
	}
}

// closeWindow records the counts of a window on the log. It reads the offset after the
// counts: if usage is applied in between, the close is refused, since its counts differ from
// those of the log. So an accepted close holds all usage up to its offset.
func (r *usageReporter) closeWindow(ctx context.Context, action *usage.CloseWindow) {
	upTo := r.task.stream.State.Offset()
	err := r.task.do(ctx, func(ctx context.Context, term id.Term) error {
		now := time.Now()
		out, err := r.task.stream.Writer.Append(ctx, now, &ragwortv1.Record{Body: &ragwortv1.Record_WindowClosed{
			WindowClosed: &ragwortv1.WindowClosed{
				WindowUnixS: int64(action.Window), Term: uint64(term), UpToOffset: uint64(upTo),
				Lines: action.Lines.ToWire(), Report: id.New("report", now),
			},
		}})
		if err == nil && out.Result == logbook.Conflict {
			r.e.count("usage_close_refused")
		}
		return err
	})
	r.recordResult("usage_window_closed", int64(action.Window), err)
}

// report sends the counts of a closed window under the report's id, and records the
// platform's acknowledgement on the log.
func (r *usageReporter) report(ctx context.Context, closed *ragwortv1.WindowClosed) {
	var term id.Term
	err := r.task.do(ctx, func(ctx context.Context, t id.Term) error {
		term = t
		return r.e.deps.Platform.SubmitUsage(ctx, hosting.UsageReport{
			ID: closed.GetReport(), WindowStart: usage.Window(closed.GetWindowUnixS()).Start(), FencingNumber: t,
			ReportedBy: r.task.cfg.Holder, Lines: usage.ReportLines(closed.GetLines()),
		})
	})
	r.recordResult("usage_reported", closed.GetWindowUnixS(), err)
	if err != nil {
		return
	}
	appendCtx, cancel := context.WithTimeout(ctx, r.task.cfg.MaxOrderLifetime)
	defer cancel()
	_, _ = r.task.stream.Writer.Append(appendCtx, time.Now(), &ragwortv1.Record{Body: &ragwortv1.Record_WindowReported{
		WindowReported: &ragwortv1.WindowReported{WindowUnixS: closed.GetWindowUnixS(), Term: uint64(term), Report: closed.GetReport()},
	}})
}

// recordResult counts and logs the result of a close or report.
func (r *usageReporter) recordResult(event string, window int64, err error) {
	var stale *hosting.StaleFencingError
	switch {
	case errors.As(err, &stale):
		event += "_stale"
	case err != nil:
		event += "_failed"
	}
	r.e.count(event)
	_ = r.e.deps.Logger.Log("event", event, "window", window, "err", err)
}
