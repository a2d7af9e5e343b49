package process_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/process"
)

// TestServerTaskStartsAgain serves with a task that panics once. The server must go on and the task start
// again.
func TestServerTaskStartsAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var logged bytes.Buffer
	ctx, cancel := context.WithCancel(t.Context())
	runs, again := 0, make(chan struct{})
	task := func(ctx context.Context) {
		if runs++; runs == 1 {
			panic("broken message")
		}
		close(again)
		<-ctx.Done()
	}
	ended := make(chan error, 1)
	go func() {
		ended <- process.Serve(ctx, process.Server{
			Listener: l, Handler: http.NotFoundHandler(), Ready: func() error { return nil }, Metrics: metrics.NewRegistry(),
			Logger: log.NewLogfmtLogger(log.NewSyncWriter(&logged)), Tasks: []func(context.Context){task},
		})
	}()
	<-again
	rs, err := http.Get("http://" + l.Addr().String() + "/readyz")
	require.NoError(t, err)
	require.NoError(t, rs.Body.Close())
	require.Equal(t, http.StatusOK, rs.StatusCode)
	http.DefaultClient.CloseIdleConnections()
	cancel()
	require.NoError(t, <-ended)
	require.Contains(t, logged.String(), "event=task_panicked task=server_task")
}
