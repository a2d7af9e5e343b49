package process

// This file tests connections of HTTP/2, and those that only look like it.

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHeadOfPRITakesMemory guards against heads that begin as HTTP/2 does being taken for it, so that they take no memory of
// the budget: one on a server without HTTP/2, and one that goes on otherwise.
func TestHeadOfPRITakesMemory(t *testing.T) {
	const fields, leastFieldBytes = 2000, 100
	for name, tc := range map[string]struct {
		multiplexes bool
		head        string
	}{
		"without HTTP/2":       {false, "PRI * HTTP/2.0\r\nHost: h\r\n"},
		"of HTTP/1.1":          {false, "PRI * HTTP/1.1\r\nHost: h\r\n"},
		"with HTTP/2":          {true, "PRI * HTTP/2.0\r\nHost: h\r\n"},
		"HTTP/1.1 with HTTP/2": {true, "PRI * HTTP/1.1\r\nHost: h\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, c := newSmallServerOf(t, 200, tc.multiplexes)
			dialCaller(t, address, tc.head+strings.Repeat("a:\r\n", fields))
			require.Eventually(t, func() bool { return c.memory.Used() > fields*leastFieldBytes }, 5*time.Second, time.Millisecond)
		})
	}
}
