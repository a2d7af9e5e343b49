package pace

// This file defines how the figures of several gateways become the pace of an upstream.

import (
	"cmp"
	"math"
	"slices"
)

const (
	// maxCountedSamples is how many samples of one gateway count at most beside those of others, so that one that sees
	// much more than they do doesn't decide alone.
	maxCountedSamples = 16
	// priorSamples is how many samples weigh as much as the assumption that an upstream is like the others.
	priorSamples = 1
	// maxFromMedian is how many times the median a gateway's figure counts at most, and its inverse at least.
	maxFromMedian = 1.5
)

// alikeWithin is the logarithm of the factor within which upstreams count as alike. Beyond twice that a pace counts in
// full: loads that gateways don't know make alike upstreams differ by as much.
var alikeWithin = math.Log(1.4)

// Merge returns the pace of an upstream by the figures of gateways: their mean, each weighted by its samples and held
// near their median, drawn towards that of the others by priorSamples. The median keeps a single gateway from moving the
// result much, and the mean tells more than the median where each gateway has few samples.
func Merge(figures []Figure) Pace {
	figures = slices.DeleteFunc(figures, func(f Figure) bool { return f.Samples <= 0 })
	if len(figures) == 0 {
		return Even
	}
	slices.SortFunc(figures, func(a, b Figure) int { return cmp.Compare(a.Pace, b.Pace) })
	total, samples := 0.0, 0.0
	for _, f := range figures {
		total += f.weight()
		samples += f.Samples
	}
	median, mean := medianOf(figures, total), 0.0
	for _, f := range figures {
		mean += f.weight() / total * float64(min(max(f.Pace, median/maxFromMedian), median*maxFromMedian))
	}
	return bounded(Pace(math.Pow(mean, samples/(samples+priorSamples))))
}

// weight returns the samples that count.
func (f Figure) weight() float64 { return min(f.Samples, maxCountedSamples) }

// medianOf returns the weighted median of figures in order.
func medianOf(figures []Figure, total float64) Pace {
	below := 0.0
	for _, f := range figures {
		if below += f.weight(); below >= total/2 {
			return f.Pace
		}
	}
	return figures[len(figures)-1].Pace
}

// Normalise scales paces so that their geometric mean is one.
func Normalise(paces []*Pace) {
	mean := 0.0
	for _, p := range paces {
		mean += math.Log(float64(*p)) / float64(len(paces))
	}
	for _, p := range paces {
		*p *= Pace(math.Exp(-mean))
	}
}

// Distinct returns the pace that decisions go by, in which upstreams that hardly differ are alike.
func (p Pace) Distinct() Pace {
	switch factor := math.Log(float64(p)); {
	case math.Abs(factor) <= alikeWithin:
		return Even
	case math.Abs(factor) < 2*alikeWithin:
		return Pace(math.Exp(2 * (factor - math.Copysign(alikeWithin, factor))))
	}
	return p
}
