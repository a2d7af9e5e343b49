// Package tier defines the service tiers and the queue that serves them.
//
// Tiers are strict: work of a lower tier waits, is shed and is preempted before
// any work of a higher tier. Class floors order dispatch but never shed.
package tier

import "fmt"

// Tier is a priority; a lower number is a higher tier.
type Tier uint8

// The tiers, highest first.
const (
	Platinum Tier = iota
	Gold
	Silver
	Bronze
	Count int = iota
)

var names = [Count]string{"platinum", "gold", "silver", "bronze"}

// UnknownError says that a text names no tier.
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
