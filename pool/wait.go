package pool

// This file defines wait, how long requests have waited at an upstream lately.
//
// It answers the load pattern of many entries that each send little: an upstream whose
// prompts are popular is overloaded by requests of which every entry sees one or two.
// What each entry does see is how long these took to begin.

import (
	"math"
	"time"
)

const (
	// firstEvent is the time from the end of reading to the first event at an idle
	// engine, with the way there and back.
	firstEvent = 60 * time.Millisecond
	// rejectedWait stands for a request that was turned away: about the wait at an engine
	// whose batch is full.
	rejectedWait = 400 * time.Millisecond
	// waitMemory is the time constant over which waits are forgotten: an entry of a large
	// fleet sends a request to each upstream every few seconds.
	waitMemory = 4 * time.Second
	// waitWeight is the part of a new wait in the average.
	waitWeight = 0.4
)

// wait is an average that falls to zero when nothing is heard.
type wait struct {
	mean  time.Duration
	noted time.Time
}

// at returns the average as of now.
func (w *wait) at(now time.Time) time.Duration {
	if w.mean == 0 {
		return 0
	}
	return time.Duration(float64(w.mean) * math.Exp(-now.Sub(w.noted).Seconds()/waitMemory.Seconds()))
}

// note takes the wait of one request.
func (w *wait) note(now time.Time, d time.Duration) {
	w.mean = time.Duration((1-waitWeight)*float64(w.at(now)) + waitWeight*float64(max(0, d)))
	w.noted = now
}
