package logbook

// This file defines the clock of a State, by which retention is measured. It depends
// on the log alone, so that every process computes the same time.
//
// Each record moves the clock towards the time at which it was written, by at most
// maxClockStep. A single writer whose clock is wrong can therefore not expire entries
// that others still need: the records of the other writers move the clock back.

import "time"

const (
	maxClockStep  = time.Second
	maxRecordLead = 24 * time.Hour // how far a record's timestamp may be ahead of the clock
)

// maxStartTime is the latest time at which the clock may start. The limit ensures
// that no sum of a time and a duration overflows.
var maxStartTime = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

type recordClock struct{ now time.Time }

// advance moves the clock towards the time at which a record was written.
func (c *recordClock) advance(written time.Time) {
	if c.now.IsZero() {
		c.now = time.UnixMilli(min(max(written.UnixMilli(), 1), maxStartTime.UnixMilli()))
		return
	}
	c.now = c.now.Add(min(max(written.Sub(c.now), -maxClockStep), maxClockStep))
}

// timestamp returns the time that is used for a record: the time at which it was
// written, limited to the range from the clock's time to maxRecordLead after it.
func (c *recordClock) timestamp(written time.Time) time.Time {
	lead := min(max(written.Sub(c.now), 0), maxRecordLead)
	return c.now.Add(lead)
}
