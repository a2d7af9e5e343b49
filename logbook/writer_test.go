package logbook_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/ragwortpass/ragwortpass/hosting"
	"github.com/ragwortpass/ragwortpass/id"
	"github.com/ragwortpass/ragwortpass/logbook"
	"github.com/ragwortpass/ragwortpass/wire/ragwortv1"
)

// lossyLog is a log whose appends are applied to a state at once. Every third append
// returns an error although it succeeded.
type lossyLog struct {
	state *logbook.State

	mu      sync.Mutex
	appends int
}

func (l *lossyLog) Read(context.Context, id.Offset, time.Duration) (hosting.Page, error) {
	panic("unreachable")
}

func (l *lossyLog) Append(_ context.Context, payload []byte) (id.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	at := l.state.Offset() + 1
	l.state.Apply(at, payload)
	if l.appends%3 == 0 {
		return 0, errors.New("response lost")
	}
	return at, nil
}

// TestWriterBatches appends many records concurrently while append results are lost. It
// checks that each record is applied once and that the rate of appends stays low.
func TestWriterBatches(t *testing.T) {
	const (
		records          = 2000
		appendsPerSecond = 20
	)
	state := logbook.NewState()
	l := &lossyLog{state: state}
	w := logbook.NewWriter(l, state, "w", log.NewNopLogger(), metrics.NewRegistry())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	begin := time.Now()
	go w.Run(ctx)
	var wg sync.WaitGroup
	for i := range records {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond / 2)
			o, err := w.Append(ctx, time.Now(), &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{
				KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: id.New("k", time.Now())},
			}})
			if err != nil || o.Result != logbook.Accepted {
				t.Errorf("record %d: %v %v", i, o.Result, err)
			}
		})
	}
	wg.Wait()
	require.Len(t, state.Snapshot().GetWithdrawnKeys(), records)
	l.mu.Lock()
	defer l.mu.Unlock()
	// A retry after a lost result does not wait for the next interval, so there may be
	// twice as many appends as intervals.
	require.LessOrEqual(t, l.appends, 2*(1+int(time.Since(begin).Seconds()*appendsPerSecond+1)))
	t.Logf("%d records in %d appends within %v", records, l.appends, time.Since(begin))
}

// TestAppendTimeout checks the errors of Append for a record that was never sent and
// for one that was sent but not confirmed before the context was done.
func TestAppendTimeout(t *testing.T) {
	state := logbook.NewState()
	w := logbook.NewWriter(&stuckLog{}, state, "w", log.NewNopLogger(), metrics.NewRegistry())
	run, stop := context.WithCancel(t.Context())
	defer stop()
	record := func() *ragwortv1.Record {
		return &ragwortv1.Record{Body: &ragwortv1.Record_KeyWithdrawn{KeyWithdrawn: &ragwortv1.KeyWithdrawn{Key: "k"}}}
	}
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := w.Append(short, time.Now(), record())
	var notSent *logbook.NotSentError
	require.ErrorAs(t, err, &notSent, "without Run, the record cannot have been sent")
	go w.Run(run)
	short, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = w.Append(short, time.Now(), record())
	var uncertain *logbook.UncertainError
	require.ErrorAs(t, err, &uncertain)
}

// stuckLog is a log whose appends block until their context is done.
type stuckLog struct{}

func (*stuckLog) Read(context.Context, id.Offset, time.Duration) (hosting.Page, error) {
	panic("unreachable")
}

func (*stuckLog) Append(ctx context.Context, _ []byte) (id.Offset, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}
