package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/fleet"
	_ "github.com/ragwortpass/ragwortpass/ragworttest/fixedseed"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// TestOrderTableMatchesReference applies random records, with a snapshot and restore
// after each, and compares the table with maps of the accepted records.
func TestOrderTableMatchesReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		orders := fleet.NewOrderTable()
		decided, settled := make(map[string]bool), make(map[string]string)
		for range 40 {
			name := fmt.Sprint("o", rapid.IntRange(0, 9).Draw(rt, "order"))
			current := rapid.IntRange(0, 4).Draw(rt, "current") > 0
			if rapid.Bool().Draw(rt, "decide") {
				want := current && !decided[name]
				require.Equal(rt, want, orders.ApplyDecided(&ragwortv1.OrderDecided{Order: name, Kind: string(fleet.Start)}, current))
				if want {
					decided[name] = true
				}
			} else {
				outcome := rapid.SampledFrom([]string{"done", "refused", "expired"}).Draw(rt, "outcome")
				want := current && decided[name] && settled[name] == ""
				require.Equal(rt, want, orders.ApplySettled(&ragwortv1.OrderSettled{Order: name, Outcome: outcome}, current))
				if want {
					settled[name] = outcome
				}
			}
			var s ragwortv1.State
			orders.Snapshot(&s)
			orders = fleet.NewOrderTable()
			orders.Restore(&s)
			require.Len(rt, orders.All(), len(decided))
			require.Len(rt, orders.Open(), len(decided)-len(settled))
			for _, d := range orders.All() {
				require.Equal(rt, settled[d.Record.GetOrder()], d.Settlement.GetOutcome())
			}
		}
	})
}

// TestOldestSettledOrdersArePruned checks that the number of settled orders stays bounded,
// and that an open order is kept however old it is.
func TestOldestSettledOrdersArePruned(t *testing.T) {
	orders := fleet.NewOrderTable()
	require.True(t, orders.ApplyDecided(&ragwortv1.OrderDecided{Order: "open"}, true))
	for i := range 1100 {
		name := fmt.Sprint("o", i)
		require.True(t, orders.ApplyDecided(&ragwortv1.OrderDecided{Order: name}, true))
		require.True(t, orders.ApplySettled(&ragwortv1.OrderSettled{Order: name}, true))
	}
	all := orders.All()
	require.Len(t, all, 1025)
	require.Equal(t, "open", all[0].Record.GetOrder())
	require.Equal(t, "o1099", all[1024].Record.GetOrder())
}
