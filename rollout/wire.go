package rollout

// This file defines the form in which reports travel between gateways.

import (
	"math"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// maxPeerRunning bounds what a peer can say of the requests that it runs.
const maxPeerRunning = 1 << 20

// Encode returns the wire form of reports.
func Encode(reports []Report) (out []*ragwortv1.RolloutReport) {
	for i := range reports {
		r := &reports[i]
		report := &ragwortv1.RolloutReport{
			Service: string(r.Service), Target: string(r.Target), Order: r.Order, State: ragwortv1.RolloutState(r.State), Reason: string(r.Reason),
			StartedUnixMs: unixMS(r.Started), AtUnixMs: unixMS(r.At), By: string(r.By), Condemned: string(r.Condemned), OtherRunning: uint32(r.OtherRunning),
		}
		for _, v := range r.Rejected {
			report.Rejected = append(report.Rejected, string(v))
		}
		for route, c := range r.Counts {
			report.Routes = append(report.Routes, &ragwortv1.RolloutRoute{Route: string(route), Other: encodeTally(&c.Other), Target: encodeTally(&c.Target)})
		}
		for key, t := range r.Upstreams {
			report.Upstreams = append(report.Upstreams, &ragwortv1.RolloutUpstream{Upstream: uint32(key), Answers: t.Answers, Failures: t.Failures})
		}
		out = append(out, report)
	}
	return out
}

// unixMS returns a time in Unix milliseconds; zero for the zero time.
func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// timeOf is the inverse of unixMS.
func timeOf(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func encodeTally(t *Tally) *ragwortv1.RolloutTally {
	return &ragwortv1.RolloutTally{Answers: t.Answers, Failures: t.Failures, Durations: encodeHistogram(&t.Durations), Streams: encodeHistogram(&t.Streams)}
}

// encodeHistogram returns the counts without the empty buckets at the end.
func encodeHistogram(h *Histogram) []uint32 {
	n := histogramBuckets
	for n > 0 && h[n-1] == 0 {
		n--
	}
	return append([]uint32(nil), h[:n]...)
}

// IsRecordable reports whether a time can be kept in a record.
func IsRecordable(t time.Time) bool {
	return t.After(time.Unix(0, 0)) && t.Before(time.Unix(0, math.MaxInt64))
}

// isTimeMS reports whether Unix milliseconds stand for no time or for one that can be kept in a record.
func isTimeMS(ms int64) bool { return ms == 0 || IsRecordable(time.UnixMilli(ms)) }

// Decode returns the reports of a peer. One with a state that does not exist, or a time that no record can hold, is left out.
func Decode(rows []*ragwortv1.RolloutReport) (reports []Report) {
	for _, row := range rows {
		state := State(row.GetState())
		if state < Unknown || state > Done || !isTimeMS(row.GetStartedUnixMs()) || !isTimeMS(row.GetAtUnixMs()) {
			continue
		}
		r := Report{
			Service: id.Service(row.GetService()), Target: id.Version(row.GetTarget()), Order: row.GetOrder(), State: state, Reason: Reason(row.GetReason()),
			Started: timeOf(row.GetStartedUnixMs()), At: timeOf(row.GetAtUnixMs()), By: id.Node(row.GetBy()), Condemned: Reason(row.GetCondemned()),
			OtherRunning: int(min(row.GetOtherRunning(), maxPeerRunning)), Counts: make(Counts), Upstreams: make(Upstreams),
		}
		for _, v := range row.GetRejected() {
			r.Rejected = append(r.Rejected, id.Version(v))
		}
		for _, t := range row.GetUpstreams() {
			r.Upstreams[UpstreamKey(t.GetUpstream())] = UpstreamTally{Answers: t.GetAnswers(), Failures: min(t.GetFailures(), t.GetAnswers())}
		}
		for _, c := range row.GetRoutes() {
			counts := r.Counts.route(id.Route(c.GetRoute()))
			counts.Other.add(decodeTally(c.GetOther()), 1)
			counts.Target.add(decodeTally(c.GetTarget()), 1)
		}
		reports = append(reports, r)
	}
	return reports
}

func decodeTally(row *ragwortv1.RolloutTally) *Tally {
	t := &Tally{Answers: row.GetAnswers(), Failures: min(row.GetFailures(), row.GetAnswers())}
	copy(t.Durations[:], row.GetDurations())
	copy(t.Streams[:], row.GetStreams())
	return t
}
