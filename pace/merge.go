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
	// priorStepSamples and priorReadSamples are how many samples weigh as much as what is assumed without any. Reading
	// times vary more, with what an engine has cached of prompts.
	priorStepSamples, priorReadSamples = 4, 16
	// maxFromMedian is how many times the median a gateway's figure counts at most, and its inverse at least.
	maxFromMedian = 1.5
)

// Merge returns the pace of an upstream by the reports of gateways. An upstream is assumed to be like the others
// until samples tell, and to read prompts as fast as it makes steps.
func Merge(reports []Report) Pace {
	steps, reads := make([]Figure, 0, len(reports)), make([]Figure, 0, len(reports))
	for _, r := range reports {
		steps, reads = append(steps, r.Step), append(reads, r.Read)
	}
	step := mergeFigures(steps, 1, priorStepSamples)
	return Pace{Step: step, Read: mergeFigures(reads, step, priorReadSamples)}
}

// mergeFigures returns the mean of figures, each weighted by its samples and held near their median, drawn towards what
// is assumed by the samples that this weighs as much as. The median keeps a single gateway from moving the result
// much, and the mean tells more than the median where each gateway has few samples.
func mergeFigures(figures []Figure, assumed Relative, priorSamples float64) Relative {
	figures = slices.DeleteFunc(figures, func(f Figure) bool { return f.Samples <= 0 })
	if len(figures) == 0 {
		return assumed
	}
	slices.SortFunc(figures, func(a, b Figure) int { return cmp.Compare(a.Relative, b.Relative) })
	total, samples := 0.0, 0.0
	for _, f := range figures {
		total += f.weight()
		samples += f.Samples
	}
	median, mean := medianOf(figures, total), 0.0
	for _, f := range figures {
		mean += f.weight() / total * float64(min(max(f.Relative, median/maxFromMedian), median*maxFromMedian))
	}
	return bounded(assumed * Relative(math.Pow(mean/float64(assumed), samples/(samples+priorSamples))))
}

// weight returns the samples that count.
func (f Figure) weight() float64 { return min(f.Samples, maxCountedSamples) }

// medianOf returns the weighted median of figures in order.
func medianOf(figures []Figure, total float64) Relative {
	below := 0.0
	for _, f := range figures {
		if below += f.weight(); below >= total/2 {
			return f.Relative
		}
	}
	return figures[len(figures)-1].Relative
}

// Normalise scales paces so that their geometric means are one.
func Normalise(paces []*Pace) {
	step, read := 0.0, 0.0
	for _, p := range paces {
		step += math.Log(float64(p.Step)) / float64(len(paces))
		read += math.Log(float64(p.Read)) / float64(len(paces))
	}
	for _, p := range paces {
		p.Step *= Relative(math.Exp(-step))
		p.Read *= Relative(math.Exp(-read))
	}
}
