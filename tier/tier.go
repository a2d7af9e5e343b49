// Package tier defines the service tiers and the priority queue in which requests
// wait for an upstream.
//
// Priority between tiers is strict: requests of a lower tier wait, are shed and
// are preempted before any request of a higher tier. The floor of a class, its
// minimum share of dispatches, changes the dispatch order but never causes a
// request to be shed.
package tier

import "fmt"

// Tier is a priority level. A lower number is a higher tier.
type Tier uint8

// The tiers, highest first, and their number.
const (
	Platinum Tier = iota
	Gold
	Silver
	Bronze
	Count int = iota
)

var names = [Count]string{"platinum", "gold", "silver", "bronze"}

// UnknownError reports a name that is not the name of a tier.
type UnknownError struct{ Name string }

func (e *UnknownError) Error() string { return fmt.Sprintf("unknown tier %q", e.Name) }

// Parse returns the tier with the given name; its error is an *UnknownError.
func Parse(name string) (Tier, error) {
	for i, n := range names {
		if n == name {
			return Tier(i), nil
		}
	}
	return 0, &UnknownError{Name: name}
}

// String returns the tier's name.
func (t Tier) String() string {
	if int(t) < Count {
		return names[t]
	}
	return fmt.Sprintf("tier(%d)", uint8(t))
}

// Above reports whether t is a higher tier than o.
func (t Tier) Above(o Tier) bool { return t < o }
