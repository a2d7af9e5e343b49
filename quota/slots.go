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
	PerSecond id.PerSecond // above zero; there is no limit above MaxPerSecond
	// Usable is how long after its start a slot may be used. Slots that pass unused are lost. In any
	// span of time, the fleet thus sends at most as many requests as slots start in the span and in
	// the time of Usable before it.
	Usable time.Duration
	// Burst says whether a gateway may use several slots at once that are usable. Otherwise it loses all
	// of them but one.
	Burst bool
}

const (
	// MaxPerSecond is the highest rate that has slots.
	MaxPerSecond id.PerSecond = 100_000
	// maxSlotLength bounds the time between two slots.
	maxSlotLength = 365 * 24 * time.Hour
	// maxSearchSlots is how many slots are searched for one of this gateway at once. In a fleet of a
	// thousand gateways, one search in ten million finds none.
	maxSearchSlots = 16 << 10
)

// slotLength returns the time from one slot to the next.
func (r *Rate) slotLength() time.Duration {
	return time.Duration(min(float64(time.Second)/float64(r.PerSecond), float64(maxSlotLength)))
}

// Slots records which of its slots of a rate this gateway has used. The zero value has used none.
type Slots struct {
	rate  Rate
	fleet Fleet
	// The following times are common ones.
	start  time.Time   // of the next slot; zero: not known
	owned  bool        // start is that of a slot, and not the end of a search that has found none
	usedTo time.Time   // slots that start until then are used or lost
	spare  []time.Time // starts of slots that were given back
}

// Clone returns a copy whose use does not use the slots of s.
func (s *Slots) Clone() Slots {
	c := *s
	c.spare = slices.Clone(s.spare)
	return c
}

// Slot is the use of a slot by a request.
type Slot struct{ start time.Time }

// Next returns the start, by the own clock, of the first slot that this gateway has not used and that
// is usable at now or later. A request may be sent from then on.
func (s *Slots) Next(now time.Time, rate Rate, fleet Fleet) time.Time {
	if rate.PerSecond > MaxPerSecond {
		return now
	}
	s.advance(now, rate, fleet)
	if len(s.spare) > 0 {
		return fleet.local(s.spare[0])
	}
	return fleet.local(s.start)
}

// Take uses the slot that Next returns for one request.
func (s *Slots) Take(now time.Time, rate Rate, fleet Fleet) Slot {
	if rate.PerSecond > MaxPerSecond {
		return Slot{}
	}
	s.advance(now, rate, fleet)
	if len(s.spare) > 0 {
		taken := s.spare[0]
		s.spare = slices.Delete(s.spare, 0, 1)
		return Slot{taken}
	}
	taken := s.start
	s.usedTo, s.start = taken, time.Time{}
	if !rate.Burst {
		s.usedTo = fleet.Common(now)
	}
	return Slot{taken}
}

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
	common := fleet.Common(now)
	earliest := common.Add(-rate.Usable) // start of the first slot that is still usable
	s.spare = slices.DeleteFunc(s.spare, func(start time.Time) bool { return start.Before(earliest) })
	if !s.start.IsZero() && !s.start.Before(earliest) && (s.owned || common.Before(s.start)) {
		return
	}
	if from := s.usedTo.Add(1); from.After(earliest) {
		earliest = from
	}
	s.start, s.owned = s.search(earliest)
}

// search returns the first slot of this gateway that starts at a time or later. If there is none within
// maxSearchSlots, it returns the end of these.
func (s *Slots) search(from time.Time) (start time.Time, owned bool) {
	length := s.rate.slotLength()
	first := (from.UnixNano() + int64(length) - 1) / int64(length)
	for slot := first; slot < first+maxSearchSlots; slot++ {
		if s.fleet.owns(s.rate.Key, slot) {
			return startOf(slot, length), true
		}
	}
	return startOf(first+maxSearchSlots, length), false
}

// startOf returns the start of a slot; a slot too late for time.Time counts as far away.
func startOf(slot int64, length time.Duration) time.Time {
	if slot > int64(1<<62)/int64(length) {
		return time.Unix(0, 1<<62)
	}
	return time.Unix(0, slot*int64(length))
}
