package lease_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
)

func ranked(all []id.Node, n int) (first []id.Node) {
	for _, node := range all {
		if lease.Eligible(duty, node, all, n) {
			first = append(first, node)
		}
	}
	return first
}

func TestRanked(t *testing.T) {
	var all []id.Node
	for i := range 400 {
		all = append(all, id.Node(fmt.Sprint("e", i)))
	}
	first := ranked(all, 5)
	require.Len(t, first, 5)
	require.True(t, lease.Eligible(duty, "alone", nil, 5), "one that is not listed yet counts itself")

	var rest []id.Node
	for _, node := range all {
		if node != first[2] {
			rest = append(rest, node)
		}
	}
	kept := 0
	for _, node := range ranked(rest, 5) {
		for _, old := range first {
			if node == old {
				kept++
			}
		}
	}
	require.Equal(t, 4, kept, "one that leaves is replaced by one")
}
