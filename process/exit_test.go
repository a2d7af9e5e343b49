package process_test

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/guard"
	"github.com/ragwortpass/ragwortpass/process"
	"github.com/ragwortpass/ragwortpass/setting"
)

// TestExitLines ends a program in every way that leaves a line. The line must name the cause, so that
// the log alone tells the ends apart, and the exit code must be that of the cause.
func TestExitLines(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func() error
		code int
		want []string
	}{
		{"planned stop", func() error { return nil }, 0, []string{"cause=signal", "err=null"}},
		{"taken port", func() error {
			return eris.Wrap(&process.ServerError{Server: "callers", Address: "127.0.0.1:1", Err: net.ErrClosed}, "run")
		}, setting.ExitFailure, []string{"cause=server", "server callers on 127.0.0.1:1"}},
		{"settings", func() error { return &process.SettingsError{Path: "settings.json", Err: errors.New("empty")} },
			setting.ExitBadSettings, []string{"cause=settings", "settings file settings.json: empty"}},
		{"panic of main", func() error { panic("broken") }, process.ExitPanic, []string{"cause=panic", "task=main", "panic in main: broken", "exit_test.go"}},
		{"panic of a task", func() error { return guard.Catch("usage", func() error { panic("broken") }) },
			process.ExitPanic, []string{"cause=panic", "task=usage", "exit_test.go"}},
		{"other", func() error { return net.ErrClosed }, setting.ExitFailure, []string{"cause=failure"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			require.Equal(t, c.code, process.Main(log.NewLogfmtLogger(&out), c.run))
			for _, text := range append(c.want, "event=exit", "uptime=") {
				require.Contains(t, out.String(), text)
			}
		})
	}
}

// TestVitals reads the gauges of the test's own process. The peak cannot be below what is resident, and a
// further descriptor must be counted.
func TestVitals(t *testing.T) {
	r := metrics.NewRegistry()
	process.RegisterVitals(r)
	read := func(name string) int64 {
		g, ok := r.Get(name).(metrics.Gauge)
		require.True(t, ok, name)
		return g.Value()
	}
	resident := read("process_resident_bytes")
	require.Positive(t, resident)
	require.GreaterOrEqual(t, read("process_peak_resident_bytes"), resident)
	require.Positive(t, read("process_goroutines"))
	require.Eventually(t, func() bool { // connections of earlier tests may be closed meanwhile
		before := read("process_open_descriptors")
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		return read("process_open_descriptors") > before
	}, 5*time.Second, time.Millisecond)
	require.Greater(t, process.Uptime(), time.Duration(0))
	require.Less(t, process.Uptime(), time.Hour)
}
