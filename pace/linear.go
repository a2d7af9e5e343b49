package pace

// This file defines linear, a time that is learned as a linear function of a few quantities by least squares.

import (
	"math"
	"time"
)

const (
	// commonTimeConstant is the time constant of the exponential decay of what the upstreams of a service have in common.
	commonTimeConstant = 15 * time.Second
	// minCommonSamples is how many samples are needed for a first estimate, and samplesPerFit how many until the next.
	minCommonSamples, samplesPerFit = 6, 4
	// ridge keeps the coefficients of quantities small that hardly vary.
	ridge = 1e-3
	// minShareOfMean is the smallest expected time, as a share of the mean of the samples.
	minShareOfMean = 0.1
	// dimensions is the number of quantities; the first is one.
	dimensions = 3
)

// features are the quantities that a time depends on. The first is one.
type features [dimensions]float64

// linear is a time as a linear function of features, none of which shortens it. The zero value knows nothing.
type linear struct {
	coefficients features // in seconds
	mean         float64  // of the samples, in seconds
	products     [dimensions]features
	times        features // sums of products with the samples' times
	samples      float64
	sinceFit     int
	at           time.Time // up to which the sums have decayed
}

// value returns the expected time in seconds, and zero as long as there are too few samples.
func (l *linear) value(x features) (expected float64) {
	for i, c := range l.coefficients {
		expected += c * x[i]
	}
	return max(expected, minShareOfMean*l.mean)
}

// add records a sample in seconds.
func (l *linear) add(now time.Time, x features, took float64) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / commonTimeConstant.Seconds())
		if l.at.IsZero() {
			decay = 0
		}
		for i := range l.products {
			l.times[i] *= decay
			for j := range l.products[i] {
				l.products[i][j] *= decay
			}
		}
		l.samples *= decay
		l.at = now
	}
	for i := range x {
		l.times[i] += x[i] * took
		for j := range x {
			l.products[i][j] += x[i] * x[j]
		}
	}
	l.samples++
	l.sinceFit++
	if l.samples >= minCommonSamples && l.sinceFit >= samplesPerFit {
		l.sinceFit = 0
		l.fit()
	}
}

// fit finds the coefficients. A quantity that appears to shorten the time is left out.
func (l *linear) fit() {
	used := [dimensions]bool{true, true, true}
	for range dimensions {
		c := l.solve(used)
		lowest := 0
		for i := 1; i < dimensions; i++ {
			if c[i] < c[lowest] || lowest == 0 {
				lowest = i
			}
		}
		if c[lowest] >= 0 {
			l.coefficients, l.mean = c, l.times[0]/l.samples
			return
		}
		used[lowest] = false
	}
}

// solve returns the coefficients of the quantities in use by Gaussian elimination; those of the others are zero. The
// matrix is positive definite by its ridge, so that the diagonal serves as pivots.
func (l *linear) solve(used [dimensions]bool) (c features) {
	m, rhs := l.products, l.times
	for i := range m {
		if !used[i] || m[i][i] == 0 {
			m[i], rhs[i] = features{}, 0
			for j := range m {
				m[j][i] = 0
			}
			m[i][i] = 1
		} else if i > 0 {
			m[i][i] *= 1 + ridge
		}
	}
	for i := range m {
		for j := i + 1; j < dimensions; j++ {
			factor := m[j][i] / m[i][i]
			for k := range m[j] {
				m[j][k] -= factor * m[i][k]
			}
			rhs[j] -= factor * rhs[i]
		}
	}
	for i := dimensions - 1; i >= 0; i-- {
		sum := rhs[i]
		for j := i + 1; j < dimensions; j++ {
			sum -= m[i][j] * c[j]
		}
		c[i] = sum / m[i][i]
	}
	return c
}
