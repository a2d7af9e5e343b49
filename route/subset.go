package route

// This file defines Subset, the processes of one kind that an entry watches.

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/ragwortpass/ragwortpass/id"
)

const (
	watchAll     = 6 // a group of at most this many is watched whole
	watchEach    = 2 // members of a larger group that each entry watches
	watchersEach = 3 // entries that watch each member
)

// Subset returns the members of a group that entry self watches, in the order of
// their ids. Every entry watches at least watchEach members of a group, and every
// member is watched by at least watchersEach entries, as far as there are so many.
// An entry or a member that comes or goes changes what a few others watch.
func Subset(self id.Node, entries, members []id.Node) []id.Node {
	members = slices.Sorted(slices.Values(members))
	if len(members) <= watchAll {
		return members
	}
	entryHashes, memberHashes := hashes(entries), hashes(members)
	own := hash(self)
	watched := members[:0]
	for i, m := range memberHashes {
		if isTop(m, memberHashes, own, watchEach) || isTop(own, entryHashes, m, watchersEach) {
			watched = append(watched, members[i])
		}
	}
	return watched
}

// isTop reports whether x is among the n nodes with the highest rendezvous hash
// with a node. It looks at few nodes if x is not.
func isTop(x uint64, nodes []uint64, with uint64, n int) bool {
	mine := score(x, with)
	for _, node := range nodes {
		if score(node, with) > mine {
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
