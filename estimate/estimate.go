// Package estimate predicts the number of tokens in an answer from earlier answers of
// the same class and workspace.
//
// The prediction is a percentile of a histogram of bounded size and bounded relative
// error. Two histograms per source are filled alternately, so an answer no longer
// counts once the histogram after its own is full. For a workspace with few answers,
// the prediction for its whole class is used.
package estimate

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	percentile        = 75.0           // of answer lengths
	defaultTokens     = id.Tokens(256) // prediction before any answers
	maxTokens         = 1 << 16        // longer answers are recorded with this length
	significantDigits = 1              // of a recorded length

	minAnswers       = 16  // answers of a source before its own prediction is used
	refreshInterval  = 8   // answers between two updates of the prediction
	histogramAnswers = 256 // answers that fill one histogram

	shardCount = 16
)

// Predictor predicts the length of answers in tokens. It is safe for concurrent use.
type Predictor struct {
	shards [shardCount]shard
}

// shard holds the series of some of the sources under its own lock.
type shard struct {
	mu     sync.RWMutex
	series map[source]*series
}

// source identifies the answers of one class and workspace, or of a whole class if the
// workspace is empty.
type source struct {
	class     id.Class
	workspace id.Workspace
}

// series summarises the answers of one source.
type series struct {
	previous   *hdrhistogram.Histogram // last full histogram; nil if none is full yet
	current    *hdrhistogram.Histogram
	answers    int
	prediction id.Tokens
}

// New returns a predictor without any observed answers.
func New() *Predictor {
	p := &Predictor{}
	for i := range p.shards {
		p.shards[i].series = make(map[source]*series)
	}
	return p
}

func (p *Predictor) shard(src source) *shard {
	return &p.shards[xxhash.Sum64String(string(src.workspace))%shardCount]
}

// Predict returns the expected number of tokens of an answer.
func (p *Predictor) Predict(c id.Class, ws id.Workspace) id.Tokens {
	if prediction, ok := p.prediction(source{c, ws}); ok {
		return prediction
	}
	if prediction, ok := p.prediction(source{class: c}); ok {
		return prediction
	}
	return defaultTokens
}

// prediction returns the prediction for one source. It reports false if the source has
// too few answers.
func (p *Predictor) prediction(src source) (id.Tokens, bool) {
	s := p.shard(src)
	s.mu.RLock()
	defer s.mu.RUnlock()
	history := s.series[src]
	if history == nil || history.answers < minAnswers {
		return 0, false
	}
	return history.prediction, true
}

// Observe records the number of tokens of a finished answer.
func (p *Predictor) Observe(c id.Class, ws id.Workspace, n id.Tokens) {
	p.observe(source{c, ws}, n)
	p.observe(source{class: c}, n)
}

func (p *Predictor) observe(src source, n id.Tokens) {
	s := p.shard(src)
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.series[src]
	if history == nil {
		history = &series{current: newHistogram()}
		s.series[src] = history
	}
	history.observe(n)
}

// Retain removes the workspaces for which keep returns false.
func (p *Predictor) Retain(keep func(id.Workspace) bool) {
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.Lock()
		for src := range s.series {
			if src.workspace != "" && !keep(src.workspace) {
				delete(s.series, src)
			}
		}
		s.mu.Unlock()
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxTokens, significantDigits) }

func (s *series) observe(n id.Tokens) {
	// RecordValue fails only for values outside the bounds of the histogram.
	_ = s.current.RecordValue(min(max(int64(n), 1), maxTokens))
	s.answers++
	if s.answers%refreshInterval == 0 {
		s.prediction = s.percentile()
	}
	if s.current.TotalCount() == histogramAnswers {
		s.previous, s.current = s.current, s.nextHistogram()
	}
}

// nextHistogram returns an empty histogram to fill next, reusing the oldest one.
func (s *series) nextHistogram() *hdrhistogram.Histogram {
	if s.previous == nil {
		return newHistogram()
	}
	s.previous.Reset()
	return s.previous
}

// percentile returns the weighted mean of the percentiles of the current and of the
// last full histogram. The weight of the current one is the fraction that is filled.
func (s *series) percentile() id.Tokens {
	newest := float64(s.current.ValueAtQuantile(percentile))
	if s.previous == nil {
		return id.Tokens(newest)
	}
	weight := float64(s.current.TotalCount()) / histogramAnswers
	return id.Tokens(weight*newest + (1-weight)*float64(s.previous.ValueAtQuantile(percentile)))
}
