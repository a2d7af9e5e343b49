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
	t := peer.NewTable(peer.Member{Node: id.Node(node), Incarnation: in})
	t.Publish(now, &peer.Row{Address: node}, false)
	return t
}

// pull lets a table take what another has, as an exchange does.
func pull(at time.Time, to, from *peer.Table) []peer.Member {
	return to.Merge(at, from.MissingRows(to.Marks()), from.Marks())
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
	require.Equal(t, []peer.Member{{Node: "a", Incarnation: 1}}, pull(now, b, a))
	pull(now, c, b)
	require.Equal(t, []string{"a/1", "b/1", "c/1"}, nodes(c.Live(now)))
	require.Empty(t, pull(now, c, a))
}

func TestOlderRowsChangeNothing(t *testing.T) {
	a, b := table("a", 1), table("b", 1)
	old, oldMarks := a.Rows(), a.Marks()
	a.Publish(now, &peer.Row{Leaving: true}, true)
	pull(now, b, a)
	b.Merge(now, old, oldMarks)
	require.True(t, b.Live(now)[0].GetLeaving())
}

// TestEndedGateway falls silent: it is no longer alive, and what it counted is kept
// for the report of its last window.
func TestEndedGateway(t *testing.T) {
	a, b := table("a", 1), table("b", 1)
	pull(now, b, a)
	later := now.Add(2 * time.Second)
	b.Merge(later, a.Rows(), a.Marks()) // passed on by others, without news
	require.Equal(t, []string{"b/1"}, nodes(b.Live(later)))
	require.Equal(t, []string{"a/1", "b/1"}, nodes(b.Rows()))
	b.Merge(now.Add(time.Minute), nil, nil)
	require.Equal(t, []string{"b/1"}, nodes(b.Rows()))
}

// TestRestartedGateway counts once among the living; both of its rows are kept.
func TestRestartedGateway(t *testing.T) {
	b := table("b", 1)
	pull(now, b, table("a", 1))
	pull(now, b, table("a", 2))
	require.Equal(t, []string{"a/2", "b/1"}, nodes(b.Live(now)))
	require.Equal(t, []string{"a/1", "a/2", "b/1"}, nodes(b.Rows()))
}

// TestSignsOfLifeTravelWithoutRows lets a large fleet's gateway give signs of life: its
// row travels once a second, not each round.
func TestSignsOfLifeTravelWithoutRows(t *testing.T) {
	a, b := table("a", 1), table("b", 1)
	for i := range 31 {
		pull(now, a, table(fmt.Sprint("n", i), 1))
	}
	pull(now, b, a)
	rows := 0
	at := now
	for range 40 {
		at = at.Add(250 * time.Millisecond)
		for _, n := range a.Live(now) { // all others live on
			if n.GetNode() != "a" && n.GetNode() != "b" {
				a.Merge(at, nil, []*peer.Mark{{Node: n.GetNode(), Incarnation: 1, Beat: uint64(at.UnixMilli())}})
			}
		}
		a.Publish(at, &peer.Row{Address: "a"}, false)
		rows += len(a.MissingRows(b.Marks()))
		pull(at, b, a)
		require.Len(t, b.Live(at), 33)
	}
	require.InDelta(t, 10, rows, 2)
	a.Publish(at, &peer.Row{Address: "a"}, true)
	require.Len(t, a.MissingRows(b.Marks()), 1, "an urgent row travels at once")
}

// TestMedianClock lets a minority of clocks step, the own one or another.
func TestMedianClock(t *testing.T) {
	b := table("b", 1)
	require.Zero(t, b.MedianClockOffset(now))
	for i, d := range []time.Duration{-2 * time.Millisecond, 0, 2400 * time.Millisecond, time.Millisecond} {
		b.RecordClockOffset(now, id.Node(fmt.Sprint("n", i)), d)
	}
	require.Less(t, b.MedianClockOffset(now).Abs(), 10*time.Millisecond)
	for i := range 4 { // the own clock is 2.4 s behind all others
		b.RecordClockOffset(now, id.Node(fmt.Sprint("n", i)), 2400*time.Millisecond)
	}
	require.Equal(t, 2400*time.Millisecond, b.MedianClockOffset(now))
	require.Zero(t, b.MedianClockOffset(now.Add(time.Minute)), "peers that have not been heard for long do not count")
}
