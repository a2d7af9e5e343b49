package logbook

// This file defines recentRecords, a bounded buffer of the newest log records. A peer
// that cannot read the log fetches these records instead of the whole state, so that
// following a peer costs no more than following the log.

import (
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

const maxRecentBytes = 4 << 20

type recentRecords struct {
	records []*ragwortv1.LogRecord // with consecutive offsets
	bytes   int
}

// add appends a record and drops the oldest ones beyond maxRecentBytes. A gap in the
// offsets empties the buffer first.
func (r *recentRecords) add(offset id.Offset, payload []byte) {
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

func (r *recentRecords) clear() { *r = recentRecords{} }

// recordsAfter returns the records after an offset. It reports false if not all of
// them are in the buffer.
func (s *State) recordsAfter(after id.Offset) ([]*ragwortv1.LogRecord, bool) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	r := s.recentRecords.records
	if len(r) == 0 || r[0].GetOffset() > uint64(after)+1 {
		return nil, false
	}
	skip := min(int(uint64(after)+1-r[0].GetOffset()), len(r))
	return append([]*ragwortv1.LogRecord(nil), r[skip:]...), true
}
