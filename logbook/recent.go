package logbook

// This file defines recent, the newest records of the log as they were read. A peer
// that cannot read the log gets them in place of the whole state, so that following
// a peer costs what following the log costs.

import (
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const maxRecentBytes = 4 << 20

type recent struct {
	records []*ragwortv1.LogRecord // with offsets that follow each other
	bytes   int
}

// add keeps a record and drops the oldest beyond the bound.
func (r *recent) add(offset id.Offset, payload []byte) {
	if n := len(r.records); n > 0 && r.records[n-1].GetOffset()+1 != uint64(offset) {
		r.clear()
	}
	r.records = append(r.records, &ragwortv1.LogRecord{Offset: uint64(offset), Payload: payload})
	r.bytes += len(payload)
	drop := 0
	for r.bytes > maxRecentBytes {
		r.bytes -= len(r.records[drop].GetPayload())
		drop++
	}
	clear(r.records[:drop])
	r.records = r.records[drop:]
}

func (r *recent) clear() { *r = recent{} }

// recordsAfter returns the records after an offset; it reports false if not all of
// them are kept.
func (s *State) recordsAfter(after id.Offset) ([]*ragwortv1.LogRecord, bool) {
	s.fold.Lock()
	defer s.fold.Unlock()
	r := s.recent.records
	if len(r) == 0 || r[0].GetOffset() > uint64(after)+1 {
		return nil, false
	}
	skip := min(int(uint64(after)+1-r[0].GetOffset()), len(r))
	return append([]*ragwortv1.LogRecord(nil), r[skip:]...), true
}
