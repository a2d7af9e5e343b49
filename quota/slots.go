package quota

// This file defines Slots, this gateway's slots of a rate.

import (
	"slices"
	"time"

	"github.com/ragwortpass/ragwortpass/id"
)

// Rate is how many requests a second all gateways together may send somewhere.
type Rate struct {
	// Key distinguishes the rate from others: gateways own different slots of each.
	Key       uint64
	PerSecond id.PerSecond // above zero
	// Usable is how long after its start a slot may be used. Slots that pass unused are lost. In any
	// span of time, the fleet thus sends at most as many requests as slots start in the span and in
	// the time of Usable before it.
	Usable time.Duration
}

const (
	// minSlotLength is the shortest time from one slot to the next. A slot of a higher rate is
	// for several requests.
	minSlotLength = 20 * time.Millisecond
	// maxSlotLength bounds the time between two slots.
	maxSlotLength = 365 * 24 * time.Hour
	// maxPerSlot bounds the requests of a slot. A rate above is no limit.
	maxPerSlot = 1 << 20
	// maxSearchSlots is how many slots are searched for one of this gateway at once. In a fleet of a
	// thousand gateways, one search in ten million finds none.
	maxSearchSlots = 16 << 10
)

// slotLength returns the time from one slot to the next.
func (r *Rate) slotLength() time.Duration {
	return time.Duration(min(max(float64(time.Second)/float64(r.PerSecond), float64(minSlotLength)), float64(maxSlotLength)))
}

// size returns how many requests a slot is for. Slots differ by one if the rate has no whole number
// of requests in a slot.
func (r *Rate) size(slot int64) int {
	perSlot := float64(r.PerSecond) * minSlotLength.Seconds()
	switch {
	case perSlot <= 1:
		return 1
	case perSlot >= maxPerSlot:
		return maxPerSlot
	}
	const cycle = 1 << 20 // of slots, after which sizes repeat
	n := float64(uint64(slot) % cycle)
	return int((n+1)*perSlot) - int(n*perSlot)
}

// Slots records which of its slots of a rate this gateway has used. The zero value has used none.
// Times are those of the gateway's own clock.
type Slots struct {
	rate   Rate
	fleet  Fleet
	start  time.Time   // of the first slot that is not used up, by the common time; zero: not known
	left   int         // requests that the slot is still for
	usedTo time.Time   // slots that start until then, by the common time, are used up
	spare  []time.Time // starts of slots that were given back, by the common time
}

// Next returns the start of the first slot that this gateway has not used up and that is usable at now
// or later. A request may be sent from then on.
func (s *Slots) Next(now time.Time, rate Rate, fleet Fleet) time.Time {
	s.advance(now, rate, fleet)
	if len(s.spare) > 0 {
		return fleet.local(s.spare[0])
	}
	return fleet.local(s.start)
}

// Take uses the slot that Next returns for one request. It returns the slot, which GiveBack takes.
func (s *Slots) Take(now time.Time, rate Rate, fleet Fleet) Slot {
	s.advance(now, rate, fleet)
	if len(s.spare) > 0 {
		taken := s.spare[0]
		s.spare = slices.Delete(s.spare, 0, 1)
		return Slot{taken}
	}
	taken := s.start
	if s.left--; s.left <= 0 {
		s.usedTo, s.start = s.start, time.Time{}
	}
	return Slot{taken}
}

// Slot is the use of a slot by a request.
type Slot struct{ start time.Time }

// GiveBack makes a slot usable again whose request was not sent.
func (s *Slots) GiveBack(slot Slot) {
	s.spare = append(s.spare, slot.start)
	slices.SortFunc(s.spare, time.Time.Compare)
}

// advance drops slots that are no longer usable and finds the next one.
func (s *Slots) advance(now time.Time, rate Rate, fleet Fleet) {
	if rate != s.rate || !fleet.sameMembers(&s.fleet) {
		s.start = time.Time{}
	}
	s.rate, s.fleet = rate, fleet
	earliest := fleet.Common(now).Add(-rate.Usable) // start of the first slot that is still usable
	s.spare = slices.DeleteFunc(s.spare, func(start time.Time) bool { return start.Before(earliest) })
	if !s.start.IsZero() && !s.start.Before(earliest) && (s.left > 0 || fleet.Common(now).Before(s.start)) {
		return
	}
	if from := s.usedTo.Add(1); !s.usedTo.IsZero() && from.After(earliest) {
		earliest = from
	}
	s.start, s.left = s.search(earliest)
}

// search returns the start of the first slot of this gateway that starts at a time or later, and its size.
// If there is none within maxSearchSlots, it returns the end of these, and zero.
func (s *Slots) search(from time.Time) (start time.Time, size int) {
	length := s.rate.slotLength()
	first := (from.UnixNano() + int64(length) - 1) / int64(length)
	for slot := first; slot < first+maxSearchSlots; slot++ {
		if s.fleet.owns(s.rate.Key, slot) {
			if size := s.rate.size(slot); size > 0 {
				return startOf(slot, length), size
			}
		}
	}
	return startOf(first+maxSearchSlots, length), 0
}

// startOf returns the start of a slot; a slot too late for time.Time counts as far away.
func startOf(slot int64, length time.Duration) time.Time {
	if slot > int64(1<<62)/int64(length) {
		return time.Unix(0, 1<<62)
	}
	return time.Unix(0, slot*int64(length))
}
