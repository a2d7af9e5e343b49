// Package clock tells the time in ways that survive steps of the time of day and
// suspended VMs.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock follows the time of day as it was at its start, by a clock that never steps
// and that goes on while the VM is suspended. It is safe for concurrent use.
type Clock struct {
	wall time.Time
	boot time.Duration
}

// New returns a clock that agrees with the time of day now.
func New() *Clock { return &Clock{wall: time.Now().Round(0), boot: sinceBoot()} }

// NewWithOffset returns a clock that is off by a known error, for drills.
func NewWithOffset(off time.Duration) *Clock {
	c := New()
	c.wall = c.wall.Add(off)
	return c
}

// Now returns the time of day at the start plus what has passed since.
func (c *Clock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

// sinceBoot reads the clock that counts suspended time.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("clock: no boot time: " + err.Error()) // Linux has had it since 2.6.39
	}
	return time.Duration(t.Nano())
}
