// Package estimate predicts how many tokens an answer will have, from the answers
// of the same class and workspace before it.
//
// The prediction is a quantile of a histogram with a bounded relative error and a
// bounded size. Histograms are filled in turn, so that old answers count no
// longer once two newer fillings have come. A workspace with few answers is
// predicted by its class.
package estimate

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	quantile  = 75.0 // percent
	fallback  = id.Tokens(256)
	longest   = 1 << 16 // tokens
	precision = 1       // significant digits

	enough  = 16  // answers of a workspace from which on its own are used
	refresh = 8   // answers between two looks at the quantile
	filling = 256 // answers of one histogram

	shardCount = 16
)

// Predictor predicts answer lengths. It is safe for concurrent use.
type Predictor struct {
	shards [shardCount]shard
}

type shard struct {
	mu     sync.RWMutex
	series map[source]*series
}

// source is where answers come from; the workspace is empty for a whole class.
type source struct {
	class     id.Class
	workspace id.Workspace
}

// series is the answers of one source.
type series struct {
	filled  *hdrhistogram.Histogram // the last full one; nil: none yet
	current *hdrhistogram.Histogram
	seen    int
	guess   id.Tokens
}

// New returns a predictor that has seen no answers.
func New() *Predictor {
	l := &Predictor{}
	for i := range l.shards {
		l.shards[i].series = make(map[source]*series)
	}
	return l
}

func (l *Predictor) shard(s source) *shard {
	return &l.shards[xxhash.Sum64String(string(s.workspace))%shardCount]
}

// Predict returns the expected tokens of an answer.
func (l *Predictor) Predict(c id.Class, ws id.Workspace) id.Tokens {
	if guess, ok := l.guess(source{c, ws}); ok {
		return guess
	}
	if guess, ok := l.guess(source{class: c}); ok {
		return guess
	}
	return fallback
}

func (l *Predictor) guess(from source) (id.Tokens, bool) {
	s := l.shard(from)
	s.mu.RLock()
	defer s.mu.RUnlock()
	x := s.series[from]
	if x == nil || x.seen < enough {
		return 0, false
	}
	return x.guess, true
}

// Observe takes a finished answer into account.
func (l *Predictor) Observe(c id.Class, ws id.Workspace, n id.Tokens) {
	l.observe(source{c, ws}, n)
	l.observe(source{class: c}, n)
}

func (l *Predictor) observe(from source, n id.Tokens) {
	s := l.shard(from)
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.series[from]
	if x == nil {
		x = &series{current: newHistogram()}
		s.series[from] = x
	}
	x.observe(n)
}

// Retain forgets the workspaces for which keep returns false.
func (l *Predictor) Retain(keep func(id.Workspace) bool) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for from := range s.series {
			if from.workspace != "" && !keep(from.workspace) {
				delete(s.series, from)
			}
		}
		s.mu.Unlock()
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, precision) }

func (x *series) observe(n id.Tokens) {
	// Within its bounds, a histogram records every value.
	_ = x.current.RecordValue(min(max(int64(n), 1), longest))
	x.seen++
	if x.seen%refresh == 0 {
		x.guess = x.quantile()
	}
	if x.current.TotalCount() == filling {
		x.filled, x.current = x.current, x.emptied()
	}
}

// emptied returns the histogram to fill next.
func (x *series) emptied() *hdrhistogram.Histogram {
	if x.filled == nil {
		return newHistogram()
	}
	x.filled.Reset()
	return x.filled
}

// quantile weighs the current and the last full histogram by their counts.
func (x *series) quantile() id.Tokens {
	now := float64(x.current.ValueAtQuantile(quantile))
	if x.filled == nil {
		return id.Tokens(now)
	}
	weight := float64(x.current.TotalCount()) / filling
	return id.Tokens(weight*now + (1-weight)*float64(x.filled.ValueAtQuantile(quantile)))
}
