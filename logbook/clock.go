package logbook

// This file defines the fold's clock, by which retention is measured.
//
// The clock follows the writers' clocks, and moves by at most one step a record.
// One writer whose clock is wrong can therefore not make the fold drop what others
// still need: it moves the clock by a step for each of its records, and the others
// move it back.

import "time"

const (
	clockStep = time.Second
	maxAhead  = 24 * time.Hour // by which a record's own time may lead the clock
)

// latestStart bounds the time at which the clock starts, so that no sum of a time
// and a duration overflows.
var latestStart = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

type clock struct{ now time.Time }

// tick moves the clock towards the time at which a record was written.
func (c *clock) tick(written time.Time) {
	if c.now.IsZero() {
		c.now = time.UnixMilli(min(max(written.UnixMilli(), 1), latestStart.UnixMilli()))
		return
	}
	c.now = c.now.Add(min(max(written.Sub(c.now), -clockStep), clockStep))
}

// stamp returns the time that counts for a record: when it was written, if that
// lies between the clock and maxAhead after it.
func (c *clock) stamp(written time.Time) time.Time {
	lead := min(max(written.Sub(c.now), 0), maxAhead)
	return c.now.Add(lead)
}
