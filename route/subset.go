package route

// This file defines Subset, which selects the processes that an entry watches.

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	maxFullWatch     = 6 // largest group of which every entry watches all members
	watchedPerEntry  = 2 // least number of members of a larger group that each entry watches
	entriesPerMember = 3 // least number of entries that watch each member
)

// Subset returns the members of a group of interchangeable processes that the entry
// self watches, sorted by id. Every entry watches at least watchedPerEntry members of a
// group, and every member is watched by at least entriesPerMember entries, as far as
// there are so many. When an entry or a member is added or removed, only a few subsets
// change.
func Subset(self id.Node, entries, members []id.Node) []id.Node {
	members = slices.Sorted(slices.Values(members))
	if len(members) <= maxFullWatch {
		return members
	}
	entryHashes, memberHashes := hashes(entries), hashes(members)
	selfHash := hash(self)
	watched := members[:0]
	for i, m := range memberHashes {
		if isTop(m, memberHashes, selfHash, watchedPerEntry) || isTop(selfHash, entryHashes, m, entriesPerMember) {
			watched = append(watched, members[i])
		}
	}
	return watched
}

// isTop reports whether node is among the n of nodes that have the highest rendezvous
// hashes with target. Nodes are given by the hashes of their ids. For a node that is not
// among the n, the loop usually ends after a few nodes.
func isTop(node uint64, nodes []uint64, target uint64, n int) bool {
	own := score(node, target)
	for _, other := range nodes {
		if score(other, target) > own {
			n--
		}
		if n == 0 {
			return false
		}
	}
	return true
}

func hash(n id.Node) uint64 { return xxhash.Sum64String(string(n)) }

func hashes(nodes []id.Node) []uint64 {
	all := make([]uint64, len(nodes))
	for i, n := range nodes {
		all[i] = hash(n)
	}
	return all
}
