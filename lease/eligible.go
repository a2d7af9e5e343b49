package lease

// This file selects the processes that compete for a lease if not all of them should.

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

// Eligible reports whether self is one of the n processes that may compete for a
// duty's lease. The processes are self and others; others may contain self. They are
// ordered by a hash of duty and process (rendezvous hashing), so every process
// selects the same n, and a process that joins or leaves changes at most one of them.
func Eligible(duty id.Duty, self id.Node, others []id.Node, n int) bool {
	order := append(slices.Clone(others), self)
	slices.SortFunc(order, func(a, b id.Node) int {
		return cmp.Or(cmp.Compare(rank(duty, a), rank(duty, b)), cmp.Compare(a, b))
	})
	order = slices.Compact(order)
	return slices.Contains(order[:min(n, len(order))], self)
}

func rank(duty id.Duty, node id.Node) uint64 {
	return xxhash.Sum64String(string(duty) + "/" + string(node))
}
