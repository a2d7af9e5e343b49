package pace

// This file defines measure, how the times of one upstream compare to those that are expected, and the form in which
// gateways tell each other.

import (
	"math"
	"time"
)

const (
	// measureTimeConstant is the time constant of the exponential decay of samples of an upstream. It is longer than the
	// moments in which machines are slow by chance, and shorter than the time for which a caller waits.
	measureTimeConstant = 3 * time.Second
	// maxSampleRatio is how many times the expected time a sample counts at most.
	maxSampleRatio = 4
	// maxPace and its inverse bound a pace, so that an upstream that is slow still gets a share of the requests.
	maxPace = 4
	// stepsPerOctave is how many steps a pace has for a factor of two when it is told, and samplesPerOctave the same
	// for a number of samples.
	stepsPerOctave, samplesPerOctave = 16, 2
	// maxPaceStep and maxSampleStep are the largest steps.
	maxPaceStep, maxSampleStep = 4 * stepsPerOctave, 40
)

// Figure is the pace of an upstream by its answers to one gateway, and the recent samples that it rests on.
type Figure struct {
	Pace    Pace
	Samples float64
}

// measure sums times and what was expected of them. Both decay.
type measure struct {
	took, expected, samples float64 // in seconds
	at                      time.Time
}

// decay brings the sums up to a time.
func (m *measure) decay(now time.Time) {
	if elapsed := now.Sub(m.at); elapsed > 0 {
		left := math.Exp(-elapsed.Seconds() / measureTimeConstant.Seconds())
		if m.at.IsZero() {
			left = 0
		}
		m.took, m.expected, m.samples, m.at = m.took*left, m.expected*left, m.samples*left, now
	}
}

// add records a time, what was expected, and how many samples it counts as.
func (m *measure) add(now time.Time, took, expected, samples float64) {
	m.decay(now)
	m.took += took
	m.expected += expected
	m.samples += samples
}

// mean returns the mean relative to what was expected, and zero if nothing is known.
func (m *measure) mean(now time.Time) float64 {
	if m.decay(now); m.expected <= 0 {
		return 0
	}
	return m.took / m.expected
}

// figure returns the result.
func (m *measure) figure(now time.Time) Figure {
	m.decay(now)
	if m.expected <= 0 {
		return Figure{Pace: Even}
	}
	return Figure{Pace: bounded(Pace(m.took / m.expected)), Samples: m.samples}
}

// bounded returns the nearest pace within the bounds.
func bounded(p Pace) Pace { return min(max(p, 1.0/maxPace), maxPace) }

// Encode returns the steps that stand for a figure.
func (f Figure) Encode() (pace, samples uint32) {
	octaves := math.Log2(float64(bounded(f.Pace)) * maxPace)
	return uint32(math.Round(octaves * stepsPerOctave)), min(uint32(samplesPerOctave*math.Log2(1+f.Samples)), maxSampleStep)
}

// DecodeFigure returns the figure that steps stand for. Steps that are out of range count as the largest.
func DecodeFigure(pace, samples uint32) Figure {
	return Figure{
		Pace:    Pace(math.Exp2(float64(min(pace, maxPaceStep))/stepsPerOctave) / maxPace),
		Samples: math.Exp2(float64(min(samples, maxSampleStep))/samplesPerOctave) - 1,
	}
}
