package clock_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/clock"
	"github.com/ragwortpass/ragwortpass/clock/clocktest"
)

func ExampleInstant() {
	now := time.Now()
	var lastRead clock.AtomicInstant
	lastRead.Store(clock.InstantOf(now))
	later := clocktest.Step(now.Add(3*time.Second), -time.Hour) // the system time is set back
	fmt.Println(clock.InstantOf(later).Sub(lastRead.Load()))
	// Output: 3s
}

func TestInstantKeepsOrderOfFarTimes(t *testing.T) {
	now := time.Now()
	require.Greater(t, clock.InstantOf(now.Add(math.MaxInt64)), clock.InstantOf(now.Add(time.Hour)))
	require.Positive(t, clock.InstantOf(time.Unix(1_000_000_000, 0)))
	require.Zero(t, clock.InstantOf(now).Time().Sub(now))
}
