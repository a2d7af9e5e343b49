package feed

// This file defines View, and how followers exchange the content of a topic with peers and copies.

import (
	"cmp"
	"slices"
	"time"
)

// View is the content of a topic as a follower passes it to a peer.
type View struct {
	Page
	Loaded      bool      // the content is known; the other fields mean nothing if it is not
	Contact     time.Time // when the view was last known to be current
	Incremental bool      // the records are only those from the requested offset on
}

// View returns the state of the follower without records.
func (f *Follower) View() View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return View{Page: Page{Next: f.next}, Loaded: f.loaded, Contact: f.contact}
}

// PeerAhead reports whether a peer has told of a newer view, whose records are missing here.
func (f *Follower) PeerAhead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerNext.Compare(f.next) > 0
}

// ViewFor returns the view for a peer that has loaded all records before peerNext, or
// none if peerLoaded is false. It has the records that the peer lacks if these are still
// held, and otherwise the newest of all keys.
func (f *Follower) ViewFor(peerNext Position, peerLoaded bool) View {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := View{Page: Page{Next: f.next}, Loaded: f.loaded, Contact: f.contact}
	if !f.loaded || peerLoaded && peerNext.Compare(f.next) >= 0 {
		return v
	}
	v.Incremental = peerLoaded && peerNext.Era == f.next.Era && peerNext.Offset >= f.completeFrom
	for _, r := range f.newest {
		if v.Incremental && r.Offset >= peerNext.Offset || !v.Incremental && r.Value != nil {
			v.Records = append(v.Records, r)
		}
	}
	slices.SortFunc(v.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return v
}

// Adopt takes over the view of a peer or a copy if it is newer than the follower's own.
// A view that is equally new only shows that the own one was current at its contact time.
// Adopt reports whether records were taken over.
func (f *Follower) Adopt(now time.Time, v View) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !v.Loaded || f.loaded && v.Next.Compare(f.next) < 0 {
		return false
	}
	if v.Next.Compare(f.peerNext) > 0 {
		f.peerNext = v.Next
	}
	isNew, from := !f.loaded || v.Next.Compare(f.next) > 0, sourcePeer
	if v.Contact.IsZero() {
		from = sourceCopy
	}
	if isNew && len(v.Records) == 0 || v.Incremental && (!f.loaded || v.Next.Era != f.next.Era) {
		return false // the peer was asked for no records, or for others than are missing now
	}
	if v.Contact.After(f.contact) {
		f.contact = v.Contact
	}
	if v.Contact.After(f.failingSince) {
		f.endOutageLocked(now, v.Next)
	}
	switch {
	case !isNew:
		return false
	case v.Incremental:
		records := recordsFrom(v.Records, f.next.Offset)
		f.recordLocked(records)
		f.sink.Apply(now, records)
		f.next = v.Next
		f.logRecords(now, from, records)
	default:
		f.replaceLocked(now, v.Page)
		f.logRecords(now, from, v.Records)
	}
	return true
}
