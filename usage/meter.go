package usage

// This file defines Meter, which counts usage on the request path. It is sharded to
// reduce lock contention.

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const meterShards = 16

// Meter counts delivered usage until a flush takes it. The zero value is ready for
// use. It is safe for concurrent use.
type Meter struct {
	shards [meterShards]meterShard
}

type meterShard struct {
	mu      sync.Mutex
	windows map[Window]Lines
}

// Add adds counts to a line of a window.
func (m *Meter) Add(w Window, key LineKey, counts Counts) {
	s := &m.shards[xxhash.Sum64String(string(key.Workspace))%meterShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windows == nil {
		s.windows = make(map[Window]Lines)
	}
	if s.windows[w] == nil {
		s.windows[w] = make(Lines)
	}
	s.windows[w].Add(key, counts)
}

// Take returns everything counted, by window, and resets the meter. The caller must
// append the lines of each window as one record, and retry with the same sequence until
// the record is known to be on the log, or else add the lines to the meter again.
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

// Pending returns the sum of the usage that has not been taken.
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
