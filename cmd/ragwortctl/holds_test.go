package main

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/quarantine"
)

// TestHolds lists a part that a gateway holds back and releases it.
func TestHolds(t *testing.T) {
	register := quarantine.New()
	register.Restore(time.Now(), []quarantine.Hold{{Part: "a/b", Since: time.Now().Add(-time.Minute), Crashes: 3}})
	g := gateway.New(gateway.Deps{Quarantine: register, FleetTime: time.Now, Metrics: metrics.NewRegistry(), Logger: log.NewNopLogger()})
	server := httptest.NewServer(g.HoldsHandler())
	defer server.Close()
	entry := strings.TrimPrefix(server.URL, "http://")
	out := &bytes.Buffer{}
	env := &commandEnv{out: out}
	require.NoError(t, (&holdsList{Entry: entry}).Run(env))
	require.Contains(t, out.String(), "a/b held since")
	require.Contains(t, out.String(), "3 crashes")
	require.NoError(t, (&holdsRelease{Part: "a/b", Entry: entry}).Run(env))
	_, held := register.Held(time.Now(), []id.PromptPart{"a/b"})
	require.False(t, held)
	require.ErrorContains(t, (&holdsRelease{Part: "a/b", Entry: entry}).Run(env), "is not held")
}
