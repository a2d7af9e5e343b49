package entry

// This file defines reporting, the work of the usage lease: it closes windows on
// the log and reports closed ones to the platform.

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

// reporting does the work of the usage lease.
type reporting struct {
	e    *Entry
	duty *duty
}

func newReporting(e *Entry) *reporting {
	r := &reporting{e: e}
	r.duty = newDuty(e, e.deps.Usage, id.DutyUsage, r.round)
	return r
}

// round does the one thing that is due.
func (r *reporting) round(ctx context.Context) {
	switch d := usage.NextAction(time.Now(), r.duty.log.State.Usage, r.e.cfg.Usage).(type) {
	case *usage.CloseWindow:
		r.close(ctx, d)
	case *usage.SendReport:
		r.report(ctx, d.Closed)
	case *usage.Wait:
	}
}

// close puts the figures of a window on the log. The offset is read after the
// figures: a count folded in between makes the fold refuse the close.
func (r *reporting) close(ctx context.Context, d *usage.CloseWindow) {
	upTo := r.duty.log.State.Offset()
	err := r.duty.send(ctx, func(ctx context.Context, term id.Term) error {
		now := time.Now()
		out, err := r.duty.log.Writer.Append(ctx, now, &ragwortv1.Record{Body: &ragwortv1.Record_WindowClosed{
			WindowClosed: &ragwortv1.WindowClosed{
				WindowUnixS: int64(d.Window), Term: uint64(term), UpToOffset: uint64(upTo),
				Lines: d.Lines.ToWire(), Report: id.New("report", now),
			},
		}})
		if err == nil && out.Result == logbook.Conflict {
			r.e.count("usage_close_refused")
		}
		return err
	})
	r.note("usage_window_closed", int64(d.Window), err)
}

// report sends the figures of the close record, under its id, and notes the
// platform's acknowledgement on the log.
func (r *reporting) report(ctx context.Context, c *ragwortv1.WindowClosed) {
	var term id.Term
	err := r.duty.send(ctx, func(ctx context.Context, t id.Term) error {
		term = t
		return r.e.deps.Platform.SubmitUsage(ctx, hosting.UsageReport{
			ID: c.GetReport(), WindowStart: usage.Window(c.GetWindowUnixS()).Start(), FencingNumber: t,
			ReportedBy: r.duty.cfg.Holder, Lines: usage.ReportLines(c.GetLines()),
		})
	})
	r.note("usage_reported", c.GetWindowUnixS(), err)
	if err != nil {
		return
	}
	actx, cancel := context.WithTimeout(ctx, r.duty.cfg.MaxOrderLifetime)
	defer cancel()
	_, _ = r.duty.log.Writer.Append(actx, time.Now(), &ragwortv1.Record{Body: &ragwortv1.Record_WindowReported{
		WindowReported: &ragwortv1.WindowReported{WindowUnixS: c.GetWindowUnixS(), Term: uint64(term), Report: c.GetReport()},
	}})
}

// note counts and logs how an act ended.
func (r *reporting) note(event string, window int64, err error) {
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
