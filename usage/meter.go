package usage

// This file defines Meter, which counts deliveries in shards on the request path.

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const meterShards = 16

// Meter holds what was delivered and not yet taken by a flush. The zero value is
// ready for use; it is safe for concurrent use.
type Meter struct {
	shards [meterShards]meterShard
}

type meterShard struct {
	mu      sync.Mutex
	windows map[Window]Lines
}

// Add counts figures into a window.
func (m *Meter) Add(w Window, line LineKey, f Counts) {
	s := &m.shards[xxhash.Sum64String(string(line.Workspace))%meterShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windows == nil {
		s.windows = make(map[Window]Lines)
	}
	if s.windows[w] == nil {
		s.windows[w] = make(Lines)
	}
	s.windows[w].Add(line, f)
}

// Take removes everything counted and returns it by window. What was taken must
// be appended under one sequence until it is read back, or be given back.
func (m *Meter) Take() map[Window]Lines {
	taken := make(map[Window]Lines)
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		windows := s.windows
		s.windows = nil
		s.mu.Unlock()
		for w, lines := range windows {
			if taken[w] == nil {
				taken[w] = make(Lines)
			}
			taken[w].AddAll(lines)
		}
	}
	return taken
}

// Pending returns the sum of what has not been taken.
func (m *Meter) Pending() Counts {
	var sum Counts
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for _, lines := range s.windows {
			sum = sum.Add(lines.Total())
		}
		s.mu.Unlock()
	}
	return sum
}

// CountedRecord returns the record that adds lines to a window.
func CountedRecord(w Window, lines Lines) *ragwortv1.UsageCounted {
	return &ragwortv1.UsageCounted{WindowUnixS: int64(w), Lines: lines.ToWire()}
}
