package duty_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ragwortpass/ragwortpass/duty"
)

// TestWindowSet compares a set with a map over random windows near the newest.
func TestWindowSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const base = 358_000_000
		windows := rapid.SliceOfN(rapid.IntRange(base, base+130), 0, 40)
		var newest duty.Window
		contents := map[duty.Window]bool{}
		draw := func(label string) (s duty.WindowSet) {
			for _, w := range windows.Draw(t, label) {
				s = s.With(duty.Window(w))
				contents[duty.Window(w)] = true
				newest = max(newest, duty.Window(w))
			}
			return s
		}
		union := draw("first").Union(draw("second"))
		for w := newest - 64; w <= newest+1; w++ {
			require.Equal(t, contents[w], union.Has(w), "window %d of %d", w, newest)
		}
		require.False(t, union.Has(newest-65))
	})
}
