package emulator_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/emulator"
)

// fleetOf returns a fleet of a size with load in proportion.
func fleetOf(gateways, engines int, seed uint64) emulator.Config {
	return emulator.Config{
		Seed: seed, Gateways: gateways, Engines: engines, SoundPerSecond: 4 * float64(engines), BadPerSecond: 10, BadFrom: 3 * time.Second,
		FirstParts: 20, SecondParts: 250, Attempts: 2, Contact: 3 * time.Second, Length: 15 * time.Second,
	}
}

// seeds returns how many seeds a test plays: SEEDS, if set, as in a run by hand.
func seeds(fallback int) uint64 {
	if n, err := strconv.ParseUint(os.Getenv("SEEDS"), 10, 32); err == nil {
		return n
	}
	return uint64(fallback)
}

// TestCrashingPartIsHeldInTime checks the promise for requests with a part that crashes engines, over
// sizes of the fleet, rates and places of the part.
func TestCrashingPartIsHeldInTime(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		gateways, engines int
		rate              float64
		place             emulator.Place
		seeds             int
	}{
		{1, 9, 10, emulator.Middle, 3},
		{4, 18, 2, emulator.Middle, 3},
		{4, 18, 10, emulator.Middle, 3},
		{10, 18, 10, emulator.First, 2},
		{10, 18, 40, emulator.Middle, 1},
		{25, 46, 10, emulator.Middle, 1},
		{103, 180, 10, emulator.Middle, 0},
	} {
		t.Run(fmt.Sprint(tc.gateways, "_", tc.rate, "_", tc.place), func(t *testing.T) {
			t.Parallel()
			var sum emulator.Result
			n := seeds(tc.seeds)
			if n == 0 {
				t.Skip("takes a minute with the race detector: set SEEDS")
			}
			for seed := range n {
				cfg := fleetOf(tc.gateways, tc.engines, seed)
				cfg.BadPerSecond, cfg.BadPlace = tc.rate, tc.place
				r := emulator.Run(cfg)
				require.LessOrEqual(t, r.BadLate, 3, "seed %d: %+v", seed, r)
				if r.SiblingsSent >= 20 {
					require.GreaterOrEqual(t, 2*r.SiblingsBegun, r.SiblingsSent, "seed %d: %+v", seed, r)
				}
				sum.BadCrashes += r.BadCrashes
				sum.BadLate += r.BadLate
				sum.SoundHeld += r.SoundHeld
				sum.SoundSent += r.SoundSent
				sum.SoundRefused += r.SoundRefused
				sum.SoundBegun += r.SoundBegun
				sum.HeldAfter += r.HeldAfter / time.Duration(n)
			}
			t.Logf("%d seeds: %.1f crashes, held after %v, %d late, %d sound parts held, %d of %d sound requests refused, %d begun",
				n, float64(sum.BadCrashes)/float64(n), sum.HeldAfter.Round(time.Millisecond), sum.BadLate, sum.SoundHeld, sum.SoundRefused, sum.SoundSent, sum.SoundBegun)
		})
	}
}

// TestOtherFaultsHoldNoPart checks that crashes with other causes, alone and together, hold no
// sound part.
func TestOtherFaultsHoldNoPart(t *testing.T) {
	t.Parallel()
	for name, faults := range map[string]emulator.Faults{
		"crashes": {CrashesPerSecond: 0.5},
		"herds":   {HerdInterval: 5 * time.Second, HerdShare: 0.35},
		"cuts":    {CutsPerSecond: 5},
		"all":     {CrashesPerSecond: 0.3, HerdInterval: 7 * time.Second, HerdShare: 0.25, CutsPerSecond: 2, LostExchanges: 0.3, KillAllAt: 12 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n, held, refused, crashes := seeds(3), 0, 0, 0
			for seed := range n {
				cfg := fleetOf(10, 18, seed)
				cfg.BadPerSecond, cfg.Faults, cfg.Length = 0, faults, 30*time.Second
				r := emulator.Run(cfg)
				held, refused, crashes = held+r.SoundHeld, refused+r.SoundRefused, crashes+r.OtherCrashes
			}
			t.Logf("%d seeds, %d crashes: %d sound parts held, %d sound requests refused", n, crashes, held, refused)
			require.Zero(t, held)
		})
	}
}

// TestHoldsOutliveTheFleet checks that the gateways that start after all were killed know what
// was held.
func TestHoldsOutliveTheFleet(t *testing.T) {
	t.Parallel()
	for seed := range seeds(2) {
		cfg := fleetOf(10, 18, seed)
		cfg.Faults = emulator.Faults{KillAllAt: 10 * time.Second}
		cfg.Length = 25 * time.Second
		r := emulator.Run(cfg)
		require.LessOrEqual(t, r.BadLate, 3, "seed %d: %+v", seed, r)
	}
}
