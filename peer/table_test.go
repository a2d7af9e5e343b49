package peer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/peer"
)

var now = time.Unix(1_800_000_000, 0)

func table(node string, in id.Incarnation) *peer.Table {
	t := peer.NewTable(peer.Name{Node: id.Node(node), Incarnation: in})
	t.Say(now, &peer.Row{Address: node})
	return t
}

func nodes(rows []*peer.Row) []string {
	var out []string
	for _, r := range rows {
		out = append(out, fmt.Sprint(r.GetNode(), "/", r.GetIncarnation()))
	}
	return out
}

func TestRowsTravelOverOthers(t *testing.T) {
	a, b, c := table("a", 1), table("b", 1), table("c", 1)
	require.Equal(t, []peer.Name{{Node: "a", Incarnation: 1}}, b.Merge(now, a.Rows()))
	c.Merge(now, b.Rows())
	require.Equal(t, []string{"a/1", "b/1", "c/1"}, nodes(c.Live(now)))
	require.Empty(t, c.Merge(now, a.Rows()))
}

func TestOlderRowsChangeNothing(t *testing.T) {
	a, b := table("a", 1), table("b", 1)
	old := a.Rows()
	a.Say(now, &peer.Row{Leaving: true})
	b.Merge(now, a.Rows())
	b.Merge(now, old)
	require.True(t, b.Live(now)[0].GetLeaving())
}

// TestEndedGateway falls silent: it is no longer alive, and what it counted is kept
// for the report of its last window.
func TestEndedGateway(t *testing.T) {
	a, b := table("a", 1), table("b", 1)
	b.Merge(now, a.Rows())
	later := now.Add(2 * time.Second)
	b.Merge(later, a.Rows()) // passed on by others, without news
	require.Equal(t, []string{"b/1"}, nodes(b.Live(later)))
	require.Equal(t, []string{"a/1", "b/1"}, nodes(b.Rows()))
	b.Merge(now.Add(time.Minute), nil)
	require.Equal(t, []string{"b/1"}, nodes(b.Rows()))
}

// TestRestartedGateway counts once among the living; both of its rows are kept.
func TestRestartedGateway(t *testing.T) {
	b := table("b", 1)
	b.Merge(now, table("a", 1).Rows())
	b.Merge(now, table("a", 2).Rows())
	require.Equal(t, []string{"a/2", "b/1"}, nodes(b.Live(now)))
	require.Equal(t, []string{"a/1", "a/2", "b/1"}, nodes(b.Rows()))
}

// TestMedianClock lets a minority of clocks step, the own one or another.
func TestMedianClock(t *testing.T) {
	b := table("b", 1)
	require.Zero(t, b.Ahead(now))
	for i, d := range []time.Duration{-2 * time.Millisecond, 0, 2400 * time.Millisecond, time.Millisecond} {
		b.Clock(now, id.Node(fmt.Sprint("n", i)), d)
	}
	require.Less(t, b.Ahead(now).Abs(), 10*time.Millisecond)
	for i := range 4 { // the own clock is 2.4 s behind all others
		b.Clock(now, id.Node(fmt.Sprint("n", i)), 2400*time.Millisecond)
	}
	require.Equal(t, 2400*time.Millisecond, b.Ahead(now))
	require.Zero(t, b.Ahead(now.Add(time.Minute)), "peers that have not been heard for long do not count")
}
