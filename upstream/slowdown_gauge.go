package upstream

// This file defines slowdownGauge, which measures how much slower an upstream is now
// than under light load.

// slowdownGauge compares a short-term moving average of its samples with a baseline.
// The baseline follows the average down, and more slowly up. It rises only under light
// load, because an upstream that stays slow under light load is slow, not overloaded.
type slowdownGauge struct {
	samples  int
	average  float64
	baseline float64
}

const (
	averageWeight      = 1.0 / 8   // of a sample in the average
	baselineDownWeight = 1.0 / 32  // of a lower average in the baseline
	baselineUpWeight   = 1.0 / 128 // of a higher average in the baseline
	minSamples         = 16        // before the baseline is used
	outlierFactor      = 8.0       // multiple of the baseline at which a sample is capped
)

// observe adds a sample, with whether it was taken under light load.
func (g *slowdownGauge) observe(x float64, lightLoad bool) {
	g.samples++
	if g.samples == 1 {
		g.average, g.baseline = x, x
		return
	}
	if g.baselineKnown() {
		x = min(x, outlierFactor*g.baseline)
	}
	g.average += averageWeight * (x - g.average)
	switch {
	case !g.baselineKnown():
		g.baseline += averageWeight * (g.average - g.baseline)
	case g.average < g.baseline:
		g.baseline += baselineDownWeight * (g.average - g.baseline)
	case lightLoad:
		g.baseline += baselineUpWeight * (g.average - g.baseline)
	}
}

func (g *slowdownGauge) baselineKnown() bool { return g.samples > minSamples }

// slowdown returns the factor by which the upstream is now slower than its baseline.
// It is 1 until the baseline is known.
func (g *slowdownGauge) slowdown() float64 {
	if !g.baselineKnown() || g.baseline <= 0 {
		return 1
	}
	return g.average / g.baseline
}
