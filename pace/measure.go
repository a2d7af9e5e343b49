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
	maxSampleRatio = 8
	// maxRelative and its inverse bound a Relative, so that an upstream that is slow still gets a share of the requests.
	maxRelative = 4
	// stepsPerOctave is how many steps a Relative has for a factor of two when it is told, and samplesPerOctave the same
	// for a number of samples.
	stepsPerOctave, samplesPerOctave = 16, 2
	// maxRelativeStep and maxSampleStep are the largest steps.
	maxRelativeStep, maxSampleStep = 4 * stepsPerOctave, 40
)

// Figure is the relative time that an upstream has taken for something, and the recent samples that this rests on.
type Figure struct {
	Relative Relative
	Samples  float64
}

// Report is what the answers of an upstream to one gateway have shown.
type Report struct{ Step, Read Figure }

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

// add records a time and what was expected.
func (m *measure) add(now time.Time, took, expected float64) {
	m.decay(now)
	m.took += took
	m.expected += expected
	m.samples++
}

// figure returns the result.
func (m *measure) figure(now time.Time) Figure {
	m.decay(now)
	if m.expected <= 0 {
		return Figure{Relative: 1}
	}
	return Figure{Relative: bounded(Relative(m.took / m.expected)), Samples: m.samples}
}

// bounded returns the nearest relative time within the bounds.
func bounded(r Relative) Relative { return min(max(r, 1.0/maxRelative), maxRelative) }

// Encode returns the steps that stand for a figure.
func (f Figure) Encode() (relative, samples uint32) {
	octaves := math.Log2(float64(bounded(f.Relative)) * maxRelative)
	return uint32(math.Round(octaves * stepsPerOctave)), min(uint32(samplesPerOctave*math.Log2(1+f.Samples)), maxSampleStep)
}

// DecodeFigure returns the figure that steps stand for. Steps that are out of range count as the largest.
func DecodeFigure(relative, samples uint32) Figure {
	return Figure{
		Relative: Relative(math.Exp2(float64(min(relative, maxRelativeStep))/stepsPerOctave) / maxRelative),
		Samples:  math.Exp2(float64(min(samples, maxSampleStep))/samplesPerOctave) - 1,
	}
}
