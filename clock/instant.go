package clock

// This file defines Instant, a moment of this process that may be kept in an atomic variable.

import (
	"sync/atomic"
	"time"
)

// originAge is the age of the origin at the start of the process. It makes all Instants that a
// program deals with positive, and leaves room for times in the far future.
const originAge = 50 * 365 * 24 * time.Hour

// origin is where Instants count from, at a full second of the system time.
var origin = newOrigin(time.Now())

func newOrigin(started time.Time) time.Time {
	return started.Add(-originAge - time.Duration(started.Nanosecond()))
}

// Instant is a moment of this process by its monotonic clock. Unlike the Unix time of a
// time.Time it does not depend on steps of the system time between two moments. It says
// nothing to another process. The zero Instant means not set.
type Instant int64 // nanoseconds since origin

// InstantOf returns the Instant of a time that time.Now has returned, or of one computed from
// such a time with Add. Times too far away for an Instant become the nearest one.
func InstantOf(t time.Time) Instant { return Instant(t.Sub(origin)) }

// Time returns i as a time with a monotonic reading.
func (i Instant) Time() time.Time { return origin.Add(time.Duration(i)) }

// Add returns the Instant after a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// AtomicInstant is an Instant that is safe for concurrent use.
type AtomicInstant struct{ nanoseconds atomic.Int64 }

// Load returns the Instant.
func (a *AtomicInstant) Load() Instant { return Instant(a.nanoseconds.Load()) }

// Store sets the Instant.
func (a *AtomicInstant) Store(i Instant) { a.nanoseconds.Store(int64(i)) }
