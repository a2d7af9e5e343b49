package lease

// This file defines which processes stand for a duty when not all should.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

// Eligible reports whether self is among the first n of all processes, itself
// included, in an order that every process computes alike and that changes little
// when processes come and go.
func Eligible(duty id.Duty, self id.Node, all []id.Node, n int) bool {
	order := append(slices.Clone(all), self)
	slices.SortFunc(order, func(a, b id.Node) int {
		return cmp.Or(cmp.Compare(rank(duty, a), rank(duty, b)), cmp.Compare(a, b))
	})
	order = slices.Compact(order)
	return slices.Contains(order[:min(n, len(order))], self)
}

func rank(duty id.Duty, node id.Node) uint64 {
	return xxhash.Sum64String(string(duty) + "/" + string(node))
}
