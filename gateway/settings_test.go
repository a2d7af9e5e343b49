package gateway_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/gateway"
	"github.com/ragwortpass/ragwortpass/setting"
)

const goodSettings = `{"node":"n1","data_centre":"th-a","listen":{"callers":"127.0.0.1:1","ready":"127.0.0.1:2","peers":"127.0.0.1:3"},
"seeds":["127.0.0.1:4"],"store_address":"127.0.0.1:5","duty_address":"127.0.0.1:6","duties":["usage"],"memory_mb":284,"new":{"x":1},
"bounds":{"config_ms":2000,"retry_ratio":0.2,"retry_slack":58,"retry_window_s":10,"grace_s":8,"lease_ms":3000,"window_s":5,"usage_late_s":10}}`

func TestParseSettings(t *testing.T) {
	s, err := gateway.ParseSettings([]byte(goodSettings))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:3", s.Listen.Peers)
	require.InDelta(t, 58, s.Bounds.RetrySlack, 0)
}

func TestParseSettingsNamesEveryFault(t *testing.T) {
	_, err := gateway.ParseSettings([]byte(`{"node":"","data_centre":"a b","listen":{"callers":"x","ready":"127.0.0.1:2"},"store_address":"s","duty_address":"127.0.0.1:6","bounds":{"retry_ratio":-1}}`))
	var faults setting.Errors
	require.True(t, errors.As(err, &faults))
	for _, name := range []string{"node", "data_centre", "listen.callers", "store_address", "bounds.config_ms", "bounds.retry_ratio", "bounds.retry_window_s", "bounds.grace_s", "bounds.lease_ms", "bounds.window_s", "bounds.usage_late_s"} {
		require.Contains(t, err.Error(), "--"+name+":")
	}
	require.Equal(t, setting.ExitBadSettings, setting.ExitCode(err))
	_, err = gateway.ParseSettings([]byte(`{"node":`))
	require.Error(t, err)
}

// TestParseSettingsRejectsTimesOutOfRange guards against a process whose times are others on another
// processor, or zero, by which it would divide.
func TestParseSettingsRejectsTimesOutOfRange(t *testing.T) {
	for _, name := range []string{"config_ms", "retry_window_s", "grace_s", "lease_ms", "window_s", "usage_late_s"} {
		for _, value := range []string{"1e300", "1e-12", "-1"} {
			text := regexp.MustCompile(`"`+name+`":[0-9.]+`).ReplaceAllString(goodSettings, `"`+name+`":`+value)
			_, err := gateway.ParseSettings([]byte(text))
			require.ErrorContains(t, err, "--bounds."+name+":", value)
		}
	}
	for _, value := range []string{"1e300", "-1"} {
		_, err := gateway.ParseSettings([]byte(strings.Replace(goodSettings, `"memory_mb":284`, `"memory_mb":`+value, 1)))
		require.ErrorContains(t, err, "--memory_mb:", value)
	}
}

// TestRolloutBounds answers platforms on which nobody orders roll-outs, whose template leaves the bounds empty.
func TestRolloutBounds(t *testing.T) {
	with := func(bounds string) string {
		return strings.Replace(goodSettings, `"bounds":{`, `"bounds":{`+bounds+`,`, 1)
	}
	s, err := gateway.ParseSettings([]byte(with(`"expose_share":null,"expose_slack":null,"rollback_ms":null`)))
	require.NoError(t, err)
	require.Zero(t, s.Bounds.RollbackMS)
	s, err = gateway.ParseSettings([]byte(with(`"expose_share":0.1,"expose_slack":50,"rollback_ms":5000`)))
	require.NoError(t, err)
	require.InDelta(t, 0.1, s.Bounds.ExposeShare, 0)
	for bounds, name := range map[string]string{
		`"expose_share":1.1`: "expose_share", `"expose_share":-1`: "expose_share", `"expose_slack":-1`: "expose_slack", `"expose_slack":1e300`: "expose_slack",
		`"rollback_ms":-1`: "rollback_ms", `"rollback_ms":1e300`: "rollback_ms", `"rollback_ms":1e-12`: "rollback_ms",
	} {
		_, err := gateway.ParseSettings([]byte(with(bounds)))
		require.ErrorContains(t, err, "--bounds."+name+":", bounds)
	}
}

// TestTemplateHasEverySetting checks that the deployment's template names every setting.
func TestTemplateHasEverySetting(t *testing.T) {
	text, err := os.ReadFile("../deploy/entry.json.tmpl")
	require.NoError(t, err)
	for _, name := range []string{"node", "data_centre", "callers", "ready", "peers", "seeds", "store_address", "duty_address", "duties", "memory_mb", "config_ms", "retry_ratio", "retry_slack", "retry_window_s", "grace_s", "lease_ms", "window_s", "usage_late_s", "expose_share", "expose_slack", "rollback_ms"} {
		require.Equal(t, 1, strings.Count(string(text), `"`+name+`"`), name)
	}
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := gateway.ParseSettings(data)
		if err == nil {
			require.NotEmpty(t, s.StoreAddress)
		}
	})
}
