// Package clock provides a clock that is not affected by steps of the system time and
// that includes the time for which the VM was suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the system time at its creation plus the time elapsed since by
// CLOCK_BOOTTIME, which never steps and advances while the VM is suspended. It is safe for
// concurrent use.
type Clock struct {
	startTime     time.Time
	startBootTime time.Duration
}

// New returns a clock that starts at the current system time.
func New() *Clock { return &Clock{startTime: time.Now().Round(0), startBootTime: BootTime()} }

// NewWithOffset returns a clock that differs from the system time by a fixed offset, to
// test the effects of clock errors.
func NewWithOffset(offset time.Duration) *Clock {
	c := New()
	c.startTime = c.startTime.Add(offset)
	return c
}

// Now returns the clock's current time.
func (c *Clock) Now() time.Time { return c.startTime.Add(BootTime() - c.startBootTime) }

// BootTime returns the time since the VM was booted, including the time for which it was suspended.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: cannot read CLOCK_BOOTTIME: " + err.Error()) // supported since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
