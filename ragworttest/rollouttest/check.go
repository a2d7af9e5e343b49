// Package rollouttest plays roll-outs to real gateways: it sends requests, and judges from what replicas
// have run and from what the operator was told whether the promises about roll-outs were kept.
package rollouttest

// This file defines Exposure, which holds what a roll-out exposed to its target version.

import (
	"fmt"
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/standin"
)

// Bounds are the bounds of the promises about roll-outs.
type Bounds struct {
	ExposeShare float64       // of a service's requests that a bad version may get
	ExposeSlack float64       // requests beyond the share
	Rollback    time.Duration // from the badLimit-th bad answer until no request reaches the version
}

// badLimit is the number of the bad answer from which the time to roll back counts.
const badLimit = 50

// statusLag bounds the time from the write of a status until the stand-in platform has seen it.
const statusLag = 200 * time.Millisecond

// Exposure is what the target version of a roll-out got.
type Exposure struct {
	Requests   int       // of the service, from the order to its deadline
	Exposed    int       // of these, those that the target got
	Bad        int       // bad answers
	LimitAt    time.Time // end of the badLimit-th of them; zero: there were fewer
	LastAt     time.Time // of a request at the target; zero: it got none
	AfterLimit int       // requests that the target got later than the time to roll back
	End        standin.StatusChange
	Ended      bool
	Deadline   time.Time
	Problems   []string // with statuses
}

// Excuse reports whether the gateway that sent a request to the target was out of touch at any time from a
// time until the request reached it.
type Excuse func(run standin.ReplicaRun, from time.Time) bool

// NoExcuse excuses nothing.
func NoExcuse(standin.ReplicaRun, time.Time) bool { return false }

// Count returns the exposure of a roll-out. Only requests that came too late are excused: a gateway keeps to
// its share by itself.
func Count(runs []standin.ReplicaRun, r *standin.RolloutRecord, b Bounds, excuse Excuse) Exposure {
	e := Exposure{Deadline: r.Deadline, Problems: r.Problems}
	e.End, e.Ended = r.End()
	for _, run := range runs {
		target := run.Version == r.Target
		if run.Service != r.Service || run.At.Before(r.OrderedAt) {
			continue
		}
		if !run.At.After(e.Deadline) {
			e.Requests++
			if target {
				e.Exposed++
			}
		}
		if target {
			e.LastAt = run.At
		}
		if target && run.Bad {
			e.Bad++
		}
	}
	e.countAfterLimit(runs, r, b, excuse)
	return e
}

// countAfterLimit counts the requests that came too late. A bad answer counts from its end.
func (e *Exposure) countAfterLimit(runs []standin.ReplicaRun, r *standin.RolloutRecord, b Bounds, excuse Excuse) {
	var ends []time.Time
	for _, run := range runs {
		if run.Service == r.Service && run.Version == r.Target && run.Bad && !run.Ended.IsZero() {
			ends = append(ends, run.Ended)
		}
	}
	if len(ends) < badLimit {
		return
	}
	slices.SortFunc(ends, time.Time.Compare)
	e.LimitAt = ends[badLimit-1]
	for _, run := range runs {
		if run.Service == r.Service && run.Version == r.Target && run.At.After(e.LimitAt.Add(b.Rollback)) && !excuse(run, e.LimitAt) {
			e.AfterLimit++
		}
	}
}

// String describes the exposure.
func (e Exposure) String() string {
	end := "not ended"
	if e.Ended {
		end = fmt.Sprintf("%s %.1f s before the deadline", e.End.State, e.Deadline.Sub(e.End.At).Seconds())
	}
	return fmt.Sprintf("%d of %d requests, %d bad answers, %s", e.Exposed, e.Requests, e.Bad, end)
}

// SharedViolations returns a line for each promise that a bad version's requests broke, whether or not it
// was rolled back in time.
func (e Exposure) SharedViolations(b Bounds) (lines []string) {
	lines = append(lines, e.Problems...)
	if allowed := b.ExposeShare*float64(e.Requests) + b.ExposeSlack; float64(e.Exposed) > allowed {
		lines = append(lines, fmt.Sprintf("the bad version got %d of %d requests, allowed %.0f", e.Exposed, e.Requests, allowed))
	}
	if e.AfterLimit > 0 {
		lines = append(lines, fmt.Sprintf("the bad version got %d requests later than %v after bad answer %d", e.AfterLimit, b.Rollback, badLimit))
	}
	if e.Ended && e.End.State == standin.RolloutDone {
		lines = append(lines, "the bad version was reported as done")
	}
	return lines
}

// BadViolations returns a line for each promise that was broken about a version that is bad.
func (e Exposure) BadViolations(b Bounds) []string {
	lines := e.SharedViolations(b)
	late := e.End.At.Sub(e.Deadline)
	switch {
	case !e.Ended:
		lines = append(lines, "the bad version was not reported as rolled_back")
	case e.End.State == standin.RolloutRolledBack && late > statusLag:
		lines = append(lines, fmt.Sprintf("the bad version was reported as rolled_back %v after the deadline", late))
	}
	return lines
}

// GoodViolations returns a line for each promise that was broken about a version that is good.
func (e Exposure) GoodViolations() (lines []string) {
	lines = append(lines, e.Problems...)
	switch {
	case !e.Ended:
		lines = append(lines, "the good version was not reported as done")
	case e.End.State != standin.RolloutDone:
		lines = append(lines, fmt.Sprintf("the good version was reported as %s", e.End.State))
	case e.End.At.Sub(e.Deadline) > statusLag:
		lines = append(lines, fmt.Sprintf("the good version was reported as done %v after the deadline", e.End.At.Sub(e.Deadline)))
	}
	return lines
}
