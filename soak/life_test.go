package main

import (
	"bytes"
	"net/netip"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/ragworttest"
)

// TestServingProcessIsRecognised guards against servesPattern not matching the line of a process that serves, which
// makes checkOwnEnds take every end for one of a process that has not served.
func TestServingProcessIsRecognised(t *testing.T) {
	var text bytes.Buffer
	address := netip.MustParseAddrPort(ragworttest.FreeAddress(t))
	l := process.NewListener(time.Now(), "callers", address, 0, log.NewLogfmtLogger(&text))
	require.NoError(t, l.Close())
	require.True(t, servesPattern.MatchString(text.String()), text.String())
}
