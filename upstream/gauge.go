package upstream

// This file defines gauge, which tells how much slower an upstream is than it was
// under little load.

// A gauge compares a short average of its samples with a baseline. The baseline
// follows the average down, and more slowly up, the latter only under little load:
// an upstream that stays slow when it has little to do is slow, not overloaded.
type gauge struct {
	samples  int
	recent   float64
	baseline float64
}

const (
	recentWeight = 1.0 / 8
	downWeight   = 1.0 / 32
	upWeight     = 1.0 / 128
	firstSamples = 16  // before the baseline is trusted
	outlier      = 8.0 // times the baseline at which a sample is cut off
)

// observe adds a sample, taken under little load or not.
func (g *gauge) observe(x float64, little bool) {
	g.samples++
	if g.samples == 1 {
		g.recent, g.baseline = x, x
		return
	}
	if g.trusted() {
		x = min(x, outlier*g.baseline)
	}
	g.recent += recentWeight * (x - g.recent)
	switch {
	case !g.trusted():
		g.baseline += recentWeight * (g.recent - g.baseline)
	case g.recent < g.baseline:
		g.baseline += downWeight * (g.recent - g.baseline)
	case little:
		g.baseline += upWeight * (g.recent - g.baseline)
	}
}

func (g *gauge) trusted() bool { return g.samples > firstSamples }

// ratio returns how many times slower than its baseline the upstream is now; it
// is 1 until the baseline can be trusted.
func (g *gauge) ratio() float64 {
	if !g.trusted() || g.baseline <= 0 {
		return 1
	}
	return g.recent / g.baseline
}
