// Package quota divides a bound on what all gateways do together among them, so that each keeps
// its part by itself.
//
// A total is divided evenly (Fleet.Part). A rate is divided in time: it has slots at fixed times, each of
// which belongs to one gateway, by a hash that all gateways compute alike (Slots, in slots.go).
//
// The sum of the parts is the bound if the gateways agree on who they are and, for a rate, on the
// time and on the rate. Where they differ, the excess is this:
//
//   - A slot has two owners only where two gateways differ in a member that either counts as its
//     owner. A gateway that is cut off from all others takes every slot as its own, once these have
//     been silent for as long as its list of members bears.
//   - The slots of gateways whose clocks differ by some time overlap by as much.
//
// Users of the package leave a margin for this and name it.
package quota

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

// Fleet is a gateway's view of all gateways and of their common time. It does not change. The zero
// value is a fleet of one gateway.
type Fleet struct {
	others []uint64 // hashes of the other gateways, in ascending order
	self   uint64
	at     time.Time // by the own clock
	common time.Time // the common time then
}

// NewFleet returns the fleet of the members, to which self belongs whether it is listed or not. Now is
// the time by the own clock, and common the common time.
func NewFleet(self id.Node, members []id.Node, now, common time.Time) Fleet {
	f := Fleet{self: hashNode(self), at: now, common: common}
	for _, m := range members {
		if m != self {
			f.others = append(f.others, hashNode(m))
		}
	}
	slices.Sort(f.others)
	f.others = slices.Compact(f.others)
	return f
}

func hashNode(n id.Node) uint64 { return xxhash.Sum64String(string(n)) }

// Len returns the number of gateways.
func (f *Fleet) Len() int { return len(f.others) + 1 }

// Part returns the part of this gateway in a total of the fleet.
func (f *Fleet) Part(total float64) float64 { return total / float64(f.Len()) }

// sameMembers reports whether two fleets have the same gateways.
func (f *Fleet) sameMembers(g *Fleet) bool {
	if f.self != g.self || len(f.others) != len(g.others) {
		return false
	}
	return len(f.others) == 0 || &f.others[0] == &g.others[0] || slices.Equal(f.others, g.others)
}

// Common returns the common time at a time by the own clock. It does not depend on steps of that
// clock, as times are compared by its monotonic part.
func (f *Fleet) Common(t time.Time) time.Time {
	if f.at.IsZero() {
		return t
	}
	return f.common.Add(t.Sub(f.at))
}

// local returns the time by the own clock at a common time.
func (f *Fleet) local(common time.Time) time.Time {
	if f.at.IsZero() {
		return common
	}
	return f.at.Add(common.Sub(f.common))
}

// owns reports whether a slot of a rate belongs to this gateway: of all gateways, it has the highest
// hash with the slot. If a gateway joins or leaves, no other slots than its own change their owner.
func (f *Fleet) owns(rate uint64, slot int64) bool {
	seed := Mix(rate + uint64(slot))
	own := Mix(f.self ^ seed)
	for _, other := range f.others {
		if Mix(other^seed) > own {
			return false
		}
	}
	return true
}

// Mix is the finaliser of MurmurHash3, which spreads the bits of a hash.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
