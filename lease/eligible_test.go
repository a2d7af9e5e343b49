package lease_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/lease"
)

// eligible returns the nodes that Eligible selects.
func eligible(nodes []id.Node, n int) (selected []id.Node) {
	for _, node := range nodes {
		if lease.Eligible(duty, node, nodes, n) {
			selected = append(selected, node)
		}
	}
	return selected
}

// TestEligible checks that n processes are selected, and that one that leaves is replaced
// by a single other.
func TestEligible(t *testing.T) {
	var nodes []id.Node
	for i := range 400 {
		nodes = append(nodes, id.Node(fmt.Sprint("e", i)))
	}
	selected := eligible(nodes, 5)
	require.Len(t, selected, 5)
	require.True(t, lease.Eligible(duty, "alone", nil, 5), "a process that is not listed yet must count itself")

	var remaining []id.Node
	for _, node := range nodes {
		if node != selected[2] {
			remaining = append(remaining, node)
		}
	}
	kept := 0
	for _, node := range eligible(remaining, 5) {
		for _, old := range selected {
			if node == old {
				kept++
			}
		}
	}
	require.Equal(t, 4, kept, "a node that leaves must be replaced by a single other node")
}
